package ticket

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/qrpc/simnet"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const seqs = 2

// site is one host of a test: its runner, its server for other hosts and its router.
type site struct {
	link   *simnet.Host
	loop   *ctrl.Loop
	runner *Runner
	router *Router
	mu     sync.Mutex
	owner  string // address of the dispatcher that the router uses, empty for none
	owns   bool
	stats  stats.Set
}

func newSite(t *testing.T, n *simnet.Net, name string) *site {
	t.Helper()
	s := &site{link: n.Host(t.Context(), name, name), loop: ctrl.New()}
	go s.loop.Run(t.Context())
	core := &pool.Dispatcher{
		Pool: "p", TicketPrefix: name + "/",
		Classes: []envdoc.Class{{Name: "quick", FirstTokenMS: 500, TotalMS: 60000, ExpectedTokens: 10}},
		Callers: []envdoc.Caller{{Name: "c", Share: 1}},
		Models:  []envdoc.Model{{Name: "m", Version: "1"}},
	}
	core.Configure()
	s.runner = &Runner{Pool: "p", Loop: s.loop, Dispatcher: core}
	s.loop.Call(func() {
		s.runner.SetEngines([]pool.EngineState{
			{Name: "e1", URL: "u1", Up: true, MaxSeqs: seqs, Items: []string{"m@1"}, BootID: "b"},
		})
	})
	server := &Server{Owned: func(string) *Runner {
		if !s.owns {
			return nil
		}
		return s.runner
	}}
	for _, kind := range []wire.Kind{wire.KindTicket, wire.KindRestore} {
		s.link.Handlers[kind] = func(ctx context.Context, _ string, kind wire.Kind, c wire.Stream) {
			server.Handle(ctx, kind, c)
		}
	}
	s.router = &Router{
		Dial: s.link, Stats: &s.stats, Local: func(string) *Runner { return s.runner },
		Owner: func(string) (string, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.owner, s.owner != ""
		},
	}
	return s
}

func (s *site) held() (n int) {
	s.loop.Call(func() { _, n = s.runner.Counts() })
	return n
}

func ask(id string) wire.TicketRequest {
	return wire.TicketRequest{
		CallID: id, Pool: "p", Model: "m", Class: "quick", Caller: "c", ExpectedTokens: 10, PromptTokens: 10,
		Deadline: time.Now().Add(time.Minute),
	}
}

// Guards against tickets that are lost or kept when the entry host, the dispatcher or the link between them fails.
func TestTickets(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(n *simnet.Net, entry, owner *site)
		local int64 // asks that fell back to local dispatch
	}{
		{name: "returned", fail: func(*simnet.Net, *site, *site) {}},
		{
			name: "dispatcher dead before the ask", local: 1,
			fail: func(_ *simnet.Net, _, owner *site) { owner.link.Kill() },
		},
		{
			name: "link cut before the ask", local: 1,
			fail: func(n *simnet.Net, _, _ *site) { n.Partition("entry", "owner") },
		},
		{
			name: "dispatcher stepped down", local: 1,
			fail: func(_ *simnet.Net, _, owner *site) { owner.owns = false },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &simnet.Net{Delay: time.Millisecond}
				entry, owner := newSite(t, n, "entry"), newSite(t, n, "owner")
				entry.owner, owner.owns = "owner", true
				tt.fail(n, entry, owner)
				began := time.Now()
				ticket, err := entry.router.RequestTicket(t.Context(), ask("1"))
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(began); took > 2*ackTimeout {
					t.Errorf("the ask took %s, want at most %s", took, 2*ackTimeout)
				}
				ticket.ReportProgress(wire.Progress{Tokens: 1, FirstTokenMS: 5})
				ticket.ReportProgress(wire.Progress{Tokens: 2, Done: true})
				time.Sleep(10 * time.Second)
				if got := entry.stats.Events.Get("local_dispatch"); fmt.Sprint(got) != fmt.Sprint(wantCount(tt.local)) {
					t.Errorf("local dispatch %v, want %v", got, wantCount(tt.local))
				}
				if owner.held() != 0 || entry.held() != 0 {
					t.Errorf("tickets kept: owner %d, entry %d", owner.held(), entry.held())
				}
			})
		})
	}
}

func wantCount(n int64) any {
	if n == 0 {
		return nil
	}
	return n
}

// Guards against engine slots that stay taken after the entry host died with open tickets and a waiting ask.
func TestEntryHostDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, owner := newSite(t, n, "entry"), newSite(t, n, "owner")
		entry.owner, owner.owns = "owner", true
		for i := range seqs {
			ticket, err := entry.router.RequestTicket(t.Context(), ask(fmt.Sprint(i)))
			if err != nil {
				t.Fatal(err)
			}
			defer ticket.Close() // ends the goroutine of the dead host's ticket
		}
		if owner.held() != seqs {
			t.Fatalf("%d tickets held, want %d", owner.held(), seqs)
		}
		entry.link.Kill()
		time.Sleep(6 * time.Second)
		if owner.held() != 0 {
			t.Errorf("%d tickets still held 6 s after the entry host died", owner.held())
		}
	})
}

// Guards against a new dispatcher that doesn't know the calls in flight and overfills the engines.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, old, next := newSite(t, n, "entry"), newSite(t, n, "old"), newSite(t, n, "next")
		entry.owner, old.owns = "old", true
		tickets := make([]Ticket, seqs)
		for i := range tickets {
			var err error
			if tickets[i], err = entry.router.RequestTicket(t.Context(), ask(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		old.link.Kill()
		next.owns, entry.owner = true, "next"
		entry.router.OwnerChanged(t.Context(), "p", "next")
		time.Sleep(time.Second)
		if next.held() != seqs {
			t.Fatalf("the new dispatcher counts %d tickets, want %d", next.held(), seqs)
		}
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := entry.router.RequestTicket(short, ask("late")); err == nil {
			t.Error("a call was granted although the engine is full")
		}
		for _, ticket := range tickets {
			ticket.Close()
		}
		time.Sleep(time.Second)
		if next.held() != 0 {
			t.Errorf("%d tickets held after all were returned", next.held())
		}
	})
}

// Guards against calls that keep waiting at the runner of a host that no longer dispatches the pool.
func TestWaitingAskFollowsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, owner := newSite(t, n, "entry"), newSite(t, n, "owner")
		entry.loop.Call(func() { entry.runner.SetEngines(nil) })
		granted := make(chan error, 1)
		go func() {
			ticket, err := entry.router.RequestTicket(t.Context(), ask("1"))
			if err == nil {
				ticket.Close()
			}
			granted <- err
		}()
		time.Sleep(time.Second)
		owner.owns = true
		entry.mu.Lock()
		entry.owner = "owner"
		entry.mu.Unlock()
		entry.router.OwnerChanged(t.Context(), "p", "owner")
		select {
		case err := <-granted:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(time.Second):
			t.Error("the call still waits a second after its pool got a dispatcher")
		}
	})
}

// Guards against refusals that lose their meaning on the way between hosts.
func TestRefusalCrossesHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, owner := newSite(t, n, "entry"), newSite(t, n, "owner")
		entry.owner, owner.owns = "owner", true
		a := ask("1")
		a.Model = "absent"
		_, err := entry.router.RequestTicket(t.Context(), a)
		e := answer.From(err)
		if e.Code != pool.CodeUnknownModel || e.Outcome != answer.NotRun {
			t.Errorf("got %v, want code %s with outcome not_run", e, pool.CodeUnknownModel)
		}
	})
}
