package pmgr

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/order"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	poolName = "assistant"
	// takeover is a lapsed lease, the first host's poll, and a call's timeout.
	takeover = 10*time.Second + 2500*time.Millisecond + 2*time.Second
	// departs is the time after which a leaving engine must get no new ticket.
	departs = 3 * time.Second
	loads   = 10 * time.Second
)

type (
	// site is a few hosts with one pool, over fakes in virtual time.
	site struct {
		t     *testing.T
		kv    *kvfake.Store
		fleet *fleet
		doc   *envdoc.Doc
		hosts []*host

		mu       sync.Mutex
		departed map[string]bool
		silent   bool // no host hears of owners
		leaving  map[string]bool
		calls    int
	}

	host struct {
		*Manager
		site *site
		stop context.CancelFunc
		done chan struct{}
	}

	// fleet is an engine.API over engines whose loads are immediate, keyed by URL.
	fleet struct {
		engine.API
		mu      sync.Mutex
		engines map[string]*engine.Status
	}

	// handDialer takes hand-over messages to the named host.
	handDialer struct{ site *site }

	handConn struct{ to *host }
)

func (f *fleet) Status(_ context.Context, url string) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[url]
	e.Seq++
	st := *e
	st.Items = slices.Clone(e.Items)
	return st, nil
}

func (f *fleet) SendOrder(_ context.Context, url string, o engine.Order) (engine.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[url]
	e.Seq++
	e.Fence = max(e.Fence, o.Fence)
	e.Items = slices.DeleteFunc(e.Items, func(it engine.Item) bool { return it.Name == o.Item })
	if o.Kind == engine.LoadModel {
		e.Items = append(e.Items, engine.Item{Name: o.Item, MemoryMB: o.MemoryMB, State: engine.Resident})
	}
	return engine.OrderResult{Applied: true, Fence: e.Fence, BootID: e.BootID, Seq: e.Seq}, nil
}

func (f *fleet) set(url string, change func(*engine.Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engines[url])
}

func (d handDialer) Open(_ context.Context, addr string, _ wire.Kind) (wire.Stream, error) {
	for _, h := range d.site.hosts {
		if h.Host == addr {
			return handConn{h}, nil
		}
	}
	return nil, fmt.Errorf("no host at %s", addr)
}

func (c handConn) Send(any) error { c.to.CampaignNow(); return nil }
func (c handConn) Recv(any) error { return nil }
func (c handConn) Close() error   { return nil }

// run starts hosts a, b and so on, in the order in which they are preferred, with engines e1 and e2.
func run(t *testing.T, hosts int, f func(s *site)) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{
			t: t, kv: kvfake.New(), fleet: &fleet{engines: make(map[string]*engine.Status)},
			departed: make(map[string]bool), leaving: make(map[string]bool),
		}
		s.kv.Latency = time.Millisecond
		s.doc = s.document()
		for i := range hosts {
			s.hosts = append(s.hosts, s.host(string(rune('a'+i)), uint64(i)))
		}
		for _, h := range s.hosts {
			s.start(h)
		}
		f(s)
		for _, h := range s.hosts {
			h.stop()
			<-h.done
		}
	})
}

func (s *site) document() *envdoc.Doc {
	doc := &envdoc.Doc{
		Environment: "trial",
		Classes:     []envdoc.Class{{Name: "quick", FirstTokenMS: 1000, TotalMS: 10_000, ExpectedTokens: 8}},
		Callers:     []envdoc.Caller{{Name: "branch", Share: 1}},
		Models: []envdoc.Model{
			{Name: "slots", Version: "1", MemoryMB: 1000, MinCopies: 2, Pool: poolName, Class: "quick"},
		},
		Pools:       []envdoc.Pool{{Name: poolName, OrderHorizonS: 20}},
		WeightStore: envdoc.WeightStore{LoadsPerS: 10, AtOnce: 6, AdaptersInTransit: 50},
	}
	for _, name := range []string{"e1", "e2"} {
		s.fleet.engines[name] = &engine.Status{BootID: "1", MemoryMB: 10_000}
		doc.Pools[0].Engines = append(doc.Pools[0].Engines, envdoc.Engine{
			Name: name, URL: name, FailureDomain: name, MemoryMB: 10_000, Accelerators: 1, MaxSeqs: 4,
			ChecksFencing: true,
		})
	}
	return doc
}

func (s *site) host(name string, seed uint64) *host {
	h := &host{site: s, done: make(chan struct{})}
	h.Manager = &Manager{
		Host: name, Pool: poolName, Loop: ctrl.New(), KV: s.kv.Client(name), Engines: s.fleet, Stats: new(stats.Set),
		Log: zerolog.Nop(), Doc: func() *envdoc.Doc { return s.doc }, Announce: s.announce, IsLeaving: s.isDeparted,
		Acquire: func(context.Context, wire.LoadRequest) (func(), error) { return func() {}, nil },
		NewLease: func(gain func(int64), loss func()) Lease {
			return &lease.Holder{
				Key: "pool/trial/" + poolName, Pool: poolName, Self: name, KV: s.kv.Client(name), Live: s.live,
				Rank:   func(_ string, names []string) []string { return names },
				Dialer: handDialer{s}, OnGain: gain, OnLoss: loss, Rand: rand.New(rand.NewPCG(1, seed)),
			}
		},
	}
	return h
}

func (s *site) start(h *host) {
	ctx, stop := context.WithCancel(s.t.Context())
	h.stop = stop
	h.Init()
	go h.Loop.Run(ctx)
	h.Loop.Post(func() { h.Configure(s.doc) })
	go func() {
		defer close(h.done)
		h.Run(ctx)
	}()
}

func (s *site) live() []wire.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []wire.Member
	for _, h := range s.hosts {
		if !s.leaving[h.Host] {
			out = append(out, wire.Member{Name: h.Host, Addr: h.Host})
		}
	}
	return out
}

func (s *site) announce(o wire.Owner) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	for _, h := range s.hosts {
		if !silent {
			h.ObserveOwner(o)
		}
	}
}

func (s *site) isDeparted(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departed[name]
}

// depart makes all hosts know that an engine leaves or is back.
func (s *site) depart(name string, departed bool) {
	s.mu.Lock()
	s.departed[name] = departed
	s.mu.Unlock()
	for _, h := range s.hosts {
		h.Loop.Post(h.Refresh)
	}
}

// release is a planned stop as the host does it, up to the hand-over.
func (s *site) release(h *host) {
	s.mu.Lock()
	s.leaving[h.Host] = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
	defer cancel()
	h.Release(ctx)
}

func (s *site) owners() string {
	var names string
	for _, h := range s.hosts {
		if h.Owned() {
			names += h.Host
		}
	}
	return names
}

func (s *site) wantOwners(when, want string) {
	s.t.Helper()
	synctest.Wait()
	if got := s.owners(); got != want {
		s.t.Errorf("%s: owners are %q, want %q", when, got, want)
	}
}

// granted asks a host n times, holding the tickets meanwhile, and counts the grants of each engine.
func (s *site) granted(h *host, n int) map[string]int {
	got := make(map[string]int)
	var tickets []ticket.Ticket
	for range n {
		s.calls++
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		t, err := h.Runner().RequestTicket(ctx, wire.TicketRequest{
			CallID: fmt.Sprint("call-", s.calls), Pool: poolName, Model: "slots", Class: "quick", Caller: "branch",
			Deadline: time.Now().Add(time.Second), ExpectedTokens: 8,
		})
		cancel()
		if err != nil {
			got[err.Error()]++
			continue
		}
		got[t.Grant().Engine]++
		tickets = append(tickets, t)
	}
	for _, t := range tickets {
		t.Close()
	}
	return got
}

func (s *site) wantEngines(when string, h *host, want ...string) {
	s.t.Helper()
	got := s.granted(h, 4)
	if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, want) {
		s.t.Errorf("%s: grants are %v, want them on %v", when, got, want)
	}
}

// TestOwnership guards against a pool without an owner or with an owner that never gives way.
func TestOwnership(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(s *site)
	}{
		{"one host gains and serves", func(s *site) {
			s.wantOwners("after the start", "a")
			s.wantEngines("after the start", s.hosts[0], "e1", "e2")
		}},
		{"an owner without a lease dispatches until it hears of another", func(s *site) {
			s.mu.Lock()
			s.silent = true
			s.mu.Unlock()
			s.kv.SetPartitioned("a", true)
			time.Sleep(takeover)
			s.wantOwners("after the lapse, without news", "ab")
			s.wantEngines("without a lease", s.hosts[0], "e1", "e2")
			a := s.hosts[0]
			a.ObserveOwner(wire.Owner{Pool: poolName, Host: "b", Epoch: a.epoch.Load()})
			s.wantOwners("after news of an epoch that is not higher", "ab")
			a.ObserveOwner(wire.Owner{Pool: poolName, Host: "b", Epoch: s.hosts[1].epoch.Load()})
			s.wantOwners("after news of the higher epoch", "b")
		}},
		{"an outage leaves the owner dispatching", func(s *site) {
			s.kv.SetDown(true)
			time.Sleep(time.Minute)
			s.wantOwners("in the outage", "a")
			s.wantEngines("in the outage", s.hosts[0], "e1", "e2")
		}},
		{"a killed owner is followed", func(s *site) {
			s.hosts[0].stop()
			<-s.hosts[0].done
			time.Sleep(takeover)
			s.wantOwners("after the lapse", "b")
			time.Sleep(loads)
			s.wantEngines("from the next owner", s.hosts[1], "e1", "e2")
		}},
		{"a planned stop hands over at once", func(s *site) {
			s.release(s.hosts[0])
			time.Sleep(100 * time.Millisecond)
			s.wantOwners("after the hand-over", "b")
		}},
		{"a lease that could not be handed over lapses while the host still waits for calls", func(s *site) {
			// A renewal that hangs keeps the campaign from taking the release within its time.
			s.kv.InjectFault(kvfake.Fault{Client: "a", Kind: kvfake.Renew, Hang: true, Times: 2})
			time.Sleep(4 * time.Second)
			ctx, cancel := context.WithTimeout(s.t.Context(), time.Millisecond)
			defer cancel()
			s.mu.Lock()
			s.leaving["a"] = true
			s.mu.Unlock()
			s.hosts[0].Release(ctx)
			time.Sleep(takeover)
			s.wantOwners("after the lapse", "b")
		}},
		{"a call that waits with a former owner starts once that learns the residency", func(s *site) {
			a := s.hosts[0]
			s.release(a)
			a.Loop.Call(func() { a.ApplyView(wire.PoolView{Engines: []wire.EngineView{{Name: "e1"}, {Name: "e2"}}}) })
			got := make(chan map[string]int, 1)
			go func() { got <- s.granted(a, 1) }()
			time.Sleep(500 * time.Millisecond)
			a.Loop.Call(func() {
				if waiting, _ := a.Runner().Counts(); waiting != 1 {
					s.t.Errorf("%d calls wait, want 1", waiting)
				}
				loaded := wire.EngineView{Name: "e2", Items: []string{"slots@1"}}
				a.ApplyView(wire.PoolView{Engines: []wire.EngineView{{Name: "e1"}, loaded}})
			})
			if n := <-got; n["e2"] != 1 {
				s.t.Errorf("grants are %v, want one on e2", n)
			}
		}},
		{"a lease gained during a planned stop starts no owner", func(s *site) {
			s.release(s.hosts[0])
			s.hosts[0].gained(1 << 40)
			if s.hosts[0].Owned() {
				s.t.Error("the stopping host owns the pool again")
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 2, func(s *site) {
				time.Sleep(loads)
				c.run(s)
			})
		})
	}
}

// TestEngineLeaves guards against new tickets on a leaving engine, and against one that returned but gets no work.
func TestEngineLeaves(t *testing.T) {
	for _, c := range []struct {
		name        string
		leave, back func(s *site)
	}{
		{
			"by the list",
			func(s *site) { s.depart("e1", true) },
			func(s *site) { s.depart("e1", false) },
		},
		{
			"by its own status, and back with a new boot id",
			func(s *site) { s.fleet.set("e1", func(e *engine.Status) { e.Leaving = true }) },
			func(s *site) {
				s.fleet.set("e1", func(e *engine.Status) { *e = engine.Status{BootID: "2", MemoryMB: 10_000} })
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, func(s *site) {
				time.Sleep(loads)
				a := s.hosts[0]
				s.wantEngines("before", a, "e1", "e2")
				c.leave(s)
				time.Sleep(departs)
				s.wantEngines("after it began to leave", a, "e2")
				c.back(s)
				// A returned engine starts slowly.
				time.Sleep(time.Minute)
				s.wantEngines("after it returned", a, "e1", "e2")
			})
		})
	}
}

// TestReportOfEndedOwner guards against states of a former ownership that overwrite what the new owner told.
func TestReportOfEndedOwner(t *testing.T) {
	run(t, 1, func(s *site) {
		time.Sleep(loads)
		a := s.hosts[0]
		a.Loop.Call(func() { a.report(new(order.Reconciler), []pool.EngineState{{Name: "e1", Up: true}}) })
		s.wantEngines("after the report", a, "e1", "e2")
	})
}

// TestConfigureBeforeDocument guards against a crash by news that arrives before the first document is in force.
func TestConfigureBeforeDocument(t *testing.T) {
	run(t, 1, func(s *site) {
		d := s.host("z", 9)
		d.Doc = func() *envdoc.Doc { return nil }
		d.Init()
		d.ApplyView(wire.PoolView{})
	})
}
