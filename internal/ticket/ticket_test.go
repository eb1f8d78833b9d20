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

// testHost is one host of a test: its runner, its server for other hosts and its router.
type testHost struct {
	netHost *simnet.Host
	loop    *ctrl.Loop
	runner  *Runner
	router  *Router
	mu      sync.Mutex
	owner   string // address of the dispatcher that the router uses, empty for none
	isOwner bool
	stats   stats.Set
}

func newTestHost(t *testing.T, n *simnet.Net, name string) *testHost {
	t.Helper()
	s := &testHost{netHost: n.Host(t.Context(), name, name), loop: ctrl.New()}
	go s.loop.Run(t.Context())
	dispatcher := &pool.Dispatcher{
		Pool: "p", TicketPrefix: name + "/",
		Classes: []envdoc.Class{{Name: "quick", FirstTokenMS: 500, TotalMS: 60000, ExpectedTokens: 10}},
		Callers: []envdoc.Caller{{Name: "c", Share: 1}},
		Models:  []envdoc.Model{{Name: "m", Version: "1"}},
	}
	dispatcher.Configure()
	s.runner = &Runner{Pool: "p", Loop: s.loop, Dispatcher: dispatcher}
	s.loop.Call(func() {
		s.runner.SetEngines([]pool.EngineState{
			{Name: "e1", URL: "u1", Up: true, MaxSeqs: seqs, Items: []string{"m@1"}, BootID: "b"},
		})
	})
	server := &Server{Owned: func(string) *Runner {
		if !s.isOwner {
			return nil
		}
		return s.runner
	}}
	for _, kind := range []wire.Kind{wire.KindTicket, wire.KindRestore} {
		s.netHost.Handlers[kind] = func(ctx context.Context, _ string, kind wire.Kind, c wire.Stream) {
			server.Handle(ctx, kind, c)
		}
	}
	s.router = &Router{
		Dial: s.netHost, Stats: &s.stats, Local: func(string) *Runner { return s.runner },
		Owner: func(string) (string, bool) {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.owner, s.owner != ""
		},
	}
	return s
}

func (s *testHost) openTickets() (n int) {
	s.loop.Call(func() { _, n = s.runner.Counts() })
	return n
}

func ticketRequest(id string) wire.TicketRequest {
	return wire.TicketRequest{
		CallID: id, Pool: "p", Model: "m", Class: "quick", Caller: "c", ExpectedTokens: 10, PromptTokens: 10,
		Deadline: time.Now().Add(time.Minute),
	}
}

// Guards against tickets that are lost or stay open when the entry host, the dispatcher or the network between them
// fails.
func TestTickets(t *testing.T) {
	tests := []struct {
		name  string
		fail  func(n *simnet.Net, entry, owner *testHost)
		local int64 // requests that fell back to local dispatch
	}{
		{name: "returned", fail: func(*simnet.Net, *testHost, *testHost) {}},
		{
			name: "dispatcher dead before the request", local: 1,
			fail: func(_ *simnet.Net, _, owner *testHost) { owner.netHost.Kill() },
		},
		{
			name: "partition before the request", local: 1,
			fail: func(n *simnet.Net, _, _ *testHost) { n.Partition("entry", "owner") },
		},
		{
			name: "dispatcher stepped down", local: 1,
			fail: func(_ *simnet.Net, _, owner *testHost) { owner.isOwner = false },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &simnet.Net{Delay: time.Millisecond}
				entry, owner := newTestHost(t, n, "entry"), newTestHost(t, n, "owner")
				entry.owner, owner.isOwner = "owner", true
				tt.fail(n, entry, owner)
				start := time.Now()
				ticket, err := entry.router.RequestTicket(t.Context(), ticketRequest("1"))
				if err != nil {
					t.Fatal(err)
				}
				if took := time.Since(start); took > 2*ackTimeout {
					t.Errorf("the request took %s, want at most %s", took, 2*ackTimeout)
				}
				ticket.ReportProgress(wire.Progress{Tokens: 1, FirstTokenMS: 5})
				ticket.ReportProgress(wire.Progress{Tokens: 2, Done: true})
				time.Sleep(10 * time.Second)
				if got := entry.stats.Events.Get("local_dispatch"); fmt.Sprint(got) != fmt.Sprint(wantCount(tt.local)) {
					t.Errorf("local dispatch %v, want %v", got, wantCount(tt.local))
				}
				if owner.openTickets() != 0 || entry.openTickets() != 0 {
					t.Errorf("tickets still open: owner %d, entry %d", owner.openTickets(), entry.openTickets())
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

// Guards against engine slots that stay occupied after the entry host died with open tickets.
func TestEntryHostDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, owner := newTestHost(t, n, "entry"), newTestHost(t, n, "owner")
		entry.owner, owner.isOwner = "owner", true
		for i := range seqs {
			ticket, err := entry.router.RequestTicket(t.Context(), ticketRequest(fmt.Sprint(i)))
			if err != nil {
				t.Fatal(err)
			}
			defer ticket.Close() // ends the goroutine of the dead host's ticket
		}
		if owner.openTickets() != seqs {
			t.Fatalf("%d tickets open, want %d", owner.openTickets(), seqs)
		}
		entry.netHost.Kill()
		time.Sleep(6 * time.Second)
		if owner.openTickets() != 0 {
			t.Errorf("%d tickets still open 6 s after the entry host died", owner.openTickets())
		}
	})
}

// Guards against a new dispatcher that doesn't know the calls in flight and overfills the engines.
func TestOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, old, next := newTestHost(t, n, "entry"), newTestHost(t, n, "old"), newTestHost(t, n, "next")
		entry.owner, old.isOwner = "old", true
		tickets := make([]Ticket, seqs)
		for i := range tickets {
			var err error
			if tickets[i], err = entry.router.RequestTicket(t.Context(), ticketRequest(fmt.Sprint(i))); err != nil {
				t.Fatal(err)
			}
		}
		old.netHost.Kill()
		next.isOwner, entry.owner = true, "next"
		entry.router.OwnerChanged(t.Context(), "p", "next")
		time.Sleep(time.Second)
		if next.openTickets() != seqs {
			t.Fatalf("the new dispatcher counts %d tickets, want %d", next.openTickets(), seqs)
		}
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := entry.router.RequestTicket(short, ticketRequest("late")); err == nil {
			t.Error("a call was granted although the engine is full")
		}
		for _, ticket := range tickets {
			ticket.Close()
		}
		time.Sleep(time.Second)
		if next.openTickets() != 0 {
			t.Errorf("%d tickets open after all were returned", next.openTickets())
		}
	})
}

// Guards against calls that keep waiting at the runner of a host that no longer dispatches the pool.
func TestWaitingRequestFollowsOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, owner := newTestHost(t, n, "entry"), newTestHost(t, n, "owner")
		entry.loop.Call(func() { entry.runner.SetEngines(nil) })
		granted := make(chan error, 1)
		go func() {
			ticket, err := entry.router.RequestTicket(t.Context(), ticketRequest("1"))
			if err == nil {
				ticket.Close()
			}
			granted <- err
		}()
		time.Sleep(time.Second)
		owner.isOwner = true
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

// Guards against calls to an engine that this host knows to be leaving, because a dispatcher that does not know it yet
// has granted them.
func TestTicketForLeavingEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, owner := newTestHost(t, n, "entry"), newTestHost(t, n, "owner")
		entry.owner, owner.isOwner = "owner", true
		entry.router.IsLeaving = func(engine string) bool { return engine == "e1" }
		entry.loop.Call(func() {
			entry.runner.SetEngines([]pool.EngineState{
				{Name: "e1", URL: "u1", Up: true, MaxSeqs: seqs, Items: []string{"m@1"}, BootID: "b", Leaving: true},
				{Name: "e2", URL: "u2", Up: true, MaxSeqs: seqs, Items: []string{"m@1"}, BootID: "b"},
			})
		})
		ticket, err := entry.router.RequestTicket(t.Context(), ticketRequest("1"))
		if err != nil {
			t.Fatal(err)
		}
		if got := ticket.Grant().Engine; got != "e2" {
			t.Errorf("ticket for %s, want e2", got)
		}
		time.Sleep(time.Second)
		if got := owner.openTickets(); got != 0 {
			t.Errorf("%d tickets of the dispatcher are open, want none", got)
		}
		ticket.Close()
		time.Sleep(time.Second)
	})
}

// Guards against rejections that lose their code or outcome between hosts.
func TestRejectionCrossesHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &simnet.Net{Delay: time.Millisecond}
		entry, owner := newTestHost(t, n, "entry"), newTestHost(t, n, "owner")
		entry.owner, owner.isOwner = "owner", true
		a := ticketRequest("1")
		a.Model = "absent"
		_, err := entry.router.RequestTicket(t.Context(), a)
		e := answer.From(err)
		if e.Code != pool.CodeUnknownModel || e.Outcome != answer.NotRun {
			t.Errorf("got %v, want code %s with outcome not_run", e, pool.CodeUnknownModel)
		}
	})
}
