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
	// maxTakeover is the lease time, one poll of the first host in rank, and the timeout of one store call.
	maxTakeover = 10*time.Second + 2500*time.Millisecond + 2*time.Second
	// maxLeaveDelay is the time after which no new ticket names a leaving engine.
	maxLeaveDelay   = 3 * time.Second
	initialLoadTime = 10 * time.Second
)

type (
	// cluster is a few hosts with one pool, with fakes for the store and the engines, in virtual time.
	cluster struct {
		t       *testing.T
		kv      *kvfake.Store
		engines *fakeEngines
		doc     *envdoc.Doc
		hosts   []*testHost

		mu                sync.Mutex
		leavingEngines    map[string]bool
		dropAnnouncements bool // hosts get no updates about owners
		leavingHosts      map[string]bool
		calls             int
	}

	testHost struct {
		*Manager
		cluster *cluster
		stop    context.CancelFunc
		done    chan struct{}
	}

	// fakeEngines is an engine.API over engines whose loads are immediate, keyed by URL.
	fakeEngines struct {
		engine.API
		mu      sync.Mutex
		engines map[string]*engine.Status
	}

	// handoverDialer connects to the host with the given name; each message sent there makes it campaign at once.
	handoverDialer struct{ cluster *cluster }

	handoverConn struct{ to *testHost }
)

func (f *fakeEngines) Status(_ context.Context, url string) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[url]
	e.Seq++
	st := *e
	st.Items = slices.Clone(e.Items)
	return st, nil
}

func (f *fakeEngines) SendOrder(_ context.Context, url string, o engine.Order) (engine.OrderResult, error) {
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

func (f *fakeEngines) update(url string, change func(*engine.Status)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.engines[url])
}

func (d handoverDialer) Open(_ context.Context, addr string, _ wire.Kind) (wire.Stream, error) {
	for _, h := range d.cluster.hosts {
		if h.Host == addr {
			return handoverConn{h}, nil
		}
	}
	return nil, fmt.Errorf("no host at %s", addr)
}

func (c handoverConn) Send(any) error { c.to.CampaignNow(); return nil }
func (c handoverConn) Recv(any) error { return nil }
func (c handoverConn) Close() error   { return nil }

// runCluster starts hosts a, b and so on, ranked in this order, with engines e1 and e2, and stops them after f.
func runCluster(t *testing.T, hosts int, f func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{
			t: t, kv: kvfake.New(), engines: &fakeEngines{engines: make(map[string]*engine.Status)},
			leavingEngines: make(map[string]bool), leavingHosts: make(map[string]bool),
		}
		cl.kv.Latency = time.Millisecond
		cl.doc = cl.document()
		for i := range hosts {
			cl.hosts = append(cl.hosts, cl.newHost(string(rune('a'+i)), uint64(i)))
		}
		for _, h := range cl.hosts {
			cl.start(h)
		}
		f(cl)
		for _, h := range cl.hosts {
			h.stop()
			<-h.done
		}
	})
}

func (cl *cluster) document() *envdoc.Doc {
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
		cl.engines.engines[name] = &engine.Status{BootID: "1", MemoryMB: 10_000}
		doc.Pools[0].Engines = append(doc.Pools[0].Engines, envdoc.Engine{
			Name: name, URL: name, FailureDomain: name, MemoryMB: 10_000, Accelerators: 1, MaxSeqs: 4,
			ChecksFencing: true,
		})
	}
	return doc
}

func (cl *cluster) newHost(name string, seed uint64) *testHost {
	h := &testHost{cluster: cl, done: make(chan struct{})}
	h.Manager = &Manager{
		Host: name, Pool: poolName, Loop: ctrl.New(), KV: cl.kv.Client(name), Engines: cl.engines,
		Stats: new(stats.Set), Log: zerolog.Nop(), Doc: func() *envdoc.Doc { return cl.doc },
		Announce: cl.announce, IsLeaving: cl.isEngineLeaving,
		Acquire: func(context.Context, wire.LoadRequest) (func(), error) { return func() {}, nil },
		NewLease: func(acquired func(int64), lost func()) Lease {
			return &lease.Holder{
				Key: "pool/trial/" + poolName, Pool: poolName, Self: name, KV: cl.kv.Client(name), Live: cl.liveHosts,
				Rank:   func(_ string, names []string) []string { return names },
				Dialer: handoverDialer{cl}, OnAcquired: acquired, OnLost: lost, Rand: rand.New(rand.NewPCG(1, seed)),
			}
		},
	}
	return h
}

func (cl *cluster) start(h *testHost) {
	ctx, stop := context.WithCancel(cl.t.Context())
	h.stop = stop
	h.Init()
	go h.Loop.Run(ctx)
	h.Loop.Post(func() { h.Configure(cl.doc) })
	go func() {
		defer close(h.done)
		h.Run(ctx)
	}()
}

func (cl *cluster) liveHosts() []wire.Member {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []wire.Member
	for _, h := range cl.hosts {
		if !cl.leavingHosts[h.Host] {
			out = append(out, wire.Member{Name: h.Host, Addr: h.Host})
		}
	}
	return out
}

func (cl *cluster) announce(o wire.Owner) {
	cl.mu.Lock()
	drop := cl.dropAnnouncements
	cl.mu.Unlock()
	for _, h := range cl.hosts {
		if !drop {
			h.ObserveOwner(o)
		}
	}
}

func (cl *cluster) isEngineLeaving(name string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.leavingEngines[name]
}

// setEngineLeaving notifies all hosts that an engine is leaving or is back.
func (cl *cluster) setEngineLeaving(name string, leaving bool) {
	cl.mu.Lock()
	cl.leavingEngines[name] = leaving
	cl.mu.Unlock()
	for _, h := range cl.hosts {
		h.Loop.Post(h.Refresh)
	}
}

// release executes the graceful shutdown of a host up to the handover of its lease.
func (cl *cluster) release(h *testHost) {
	cl.mu.Lock()
	cl.leavingHosts[h.Host] = true
	cl.mu.Unlock()
	ctx, cancel := context.WithTimeout(cl.t.Context(), 3*time.Second)
	defer cancel()
	h.Release(ctx)
}

func (cl *cluster) owners() string {
	var names string
	for _, h := range cl.hosts {
		if h.Owned() {
			names += h.Host
		}
	}
	return names
}

func (cl *cluster) wantOwners(when, want string) {
	cl.t.Helper()
	synctest.Wait()
	if got := cl.owners(); got != want {
		cl.t.Errorf("%s: owners are %q, want %q", when, got, want)
	}
}

// grantsByEngine requests n tickets from a host, keeps them open meanwhile, and counts the grants of each engine.
func (cl *cluster) grantsByEngine(h *testHost, n int) map[string]int {
	got := make(map[string]int)
	var tickets []ticket.Ticket
	for range n {
		cl.calls++
		ctx, cancel := context.WithTimeout(cl.t.Context(), time.Second)
		t, err := h.Runner().RequestTicket(ctx, wire.TicketRequest{
			CallID: fmt.Sprint("call-", cl.calls), Pool: poolName, Model: "slots", Class: "quick", Caller: "branch",
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

func (cl *cluster) wantEngines(when string, h *testHost, want ...string) {
	cl.t.Helper()
	got := cl.grantsByEngine(h, 4)
	if names := slices.Sorted(maps.Keys(got)); !slices.Equal(names, want) {
		cl.t.Errorf("%s: grants are %v, want them on %v", when, got, want)
	}
}

// Guards against a pool without an owner, and against an owner that goes on after another host has taken over.
func TestOwnership(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(cl *cluster)
	}{
		{"one host acquires the lease and serves", func(cl *cluster) {
			cl.wantOwners("after the start", "a")
			cl.wantEngines("after the start", cl.hosts[0], "e1", "e2")
		}},
		{"an owner without a lease dispatches until it learns of another", func(cl *cluster) {
			cl.mu.Lock()
			cl.dropAnnouncements = true
			cl.mu.Unlock()
			cl.kv.SetPartitioned("a", true)
			time.Sleep(maxTakeover)
			cl.wantOwners("after the lease expired, without updates", "ab")
			cl.wantEngines("without a lease", cl.hosts[0], "e1", "e2")
			a := cl.hosts[0]
			a.ObserveOwner(wire.Owner{Pool: poolName, Host: "b", Epoch: a.epoch.Load()})
			cl.wantOwners("after an update with an epoch that is not higher", "ab")
			a.ObserveOwner(wire.Owner{Pool: poolName, Host: "b", Epoch: cl.hosts[1].epoch.Load()})
			cl.wantOwners("after an update with the higher epoch", "b")
		}},
		{"an outage leaves the owner dispatching", func(cl *cluster) {
			cl.kv.SetOutage(true)
			time.Sleep(time.Minute)
			cl.wantOwners("in the outage", "a")
			cl.wantEngines("in the outage", cl.hosts[0], "e1", "e2")
		}},
		{"another host takes over from a killed owner", func(cl *cluster) {
			cl.hosts[0].stop()
			<-cl.hosts[0].done
			time.Sleep(maxTakeover)
			cl.wantOwners("after the lease expired", "b")
			time.Sleep(initialLoadTime)
			cl.wantEngines("from the next owner", cl.hosts[1], "e1", "e2")
		}},
		{"a graceful shutdown hands over at once", func(cl *cluster) {
			cl.release(cl.hosts[0])
			time.Sleep(100 * time.Millisecond)
			cl.wantOwners("after the handover", "b")
		}},
		{"a lease that could not be handed over expires while the host still waits for calls", func(cl *cluster) {
			// A renewal that hangs keeps the lease holder busy, and the release times out before it is processed.
			cl.kv.InjectFault(kvfake.Fault{Client: "a", Kind: kvfake.Renew, Hang: true, Times: 2})
			time.Sleep(4 * time.Second)
			ctx, cancel := context.WithTimeout(cl.t.Context(), time.Millisecond)
			defer cancel()
			cl.mu.Lock()
			cl.leavingHosts["a"] = true
			cl.mu.Unlock()
			cl.hosts[0].Release(ctx)
			time.Sleep(maxTakeover)
			cl.wantOwners("after the lease expired", "b")
		}},
		{"a call that waits at a former owner starts once that host learns the residency", func(cl *cluster) {
			a := cl.hosts[0]
			cl.release(a)
			a.Loop.Call(func() { a.ApplyView(wire.PoolView{Engines: []wire.EngineView{{Name: "e1"}, {Name: "e2"}}}) })
			got := make(chan map[string]int, 1)
			go func() { got <- cl.grantsByEngine(a, 1) }()
			time.Sleep(500 * time.Millisecond)
			a.Loop.Call(func() {
				if waiting, _ := a.Runner().Counts(); waiting != 1 {
					cl.t.Errorf("%d calls wait, want 1", waiting)
				}
				loaded := wire.EngineView{Name: "e2", Items: []string{"slots@1"}}
				a.ApplyView(wire.PoolView{Engines: []wire.EngineView{{Name: "e1"}, loaded}})
			})
			if n := <-got; n["e2"] != 1 {
				cl.t.Errorf("grants are %v, want one on e2", n)
			}
		}},
		{"a lease acquired during a graceful shutdown starts no reconciler", func(cl *cluster) {
			cl.release(cl.hosts[0])
			cl.hosts[0].acquired(1 << 40)
			if cl.hosts[0].Owned() {
				cl.t.Error("the host that shuts down owns the pool again")
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 2, func(cl *cluster) {
				time.Sleep(initialLoadTime)
				c.run(cl)
			})
		})
	}
}

// Guards against new tickets on a leaving engine, and against an engine that returned but gets no tickets.
func TestEngineLeaves(t *testing.T) {
	for _, c := range []struct {
		name        string
		leave, back func(cl *cluster)
	}{
		{
			"by the service registry",
			func(cl *cluster) { cl.setEngineLeaving("e1", true) },
			func(cl *cluster) { cl.setEngineLeaving("e1", false) },
		},
		{
			"by its own status, and back with a new boot id",
			func(cl *cluster) { cl.engines.update("e1", func(e *engine.Status) { e.Leaving = true }) },
			func(cl *cluster) {
				cl.engines.update("e1", func(e *engine.Status) { *e = engine.Status{BootID: "2", MemoryMB: 10_000} })
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			runCluster(t, 1, func(cl *cluster) {
				time.Sleep(initialLoadTime)
				a := cl.hosts[0]
				cl.wantEngines("before", a, "e1", "e2")
				c.leave(cl)
				time.Sleep(maxLeaveDelay)
				cl.wantEngines("after it began to leave", a, "e2")
				c.back(cl)
				// Slow start sends calls only gradually to an engine that has returned.
				time.Sleep(time.Minute)
				cl.wantEngines("after it returned", a, "e1", "e2")
			})
		})
	}
}

// Guards against engine states of a stopped reconciler that overwrite those of its successor.
func TestReportOfStoppedReconciler(t *testing.T) {
	runCluster(t, 1, func(cl *cluster) {
		time.Sleep(initialLoadTime)
		a := cl.hosts[0]
		a.Loop.Call(func() { a.setEnginesFrom(new(order.Reconciler), []pool.EngineState{{Name: "e1", Up: true}}) })
		cl.wantEngines("after the report", a, "e1", "e2")
	})
}

// Guards against a crash when a view arrives before the first document is active.
func TestConfigureBeforeDocument(t *testing.T) {
	runCluster(t, 1, func(cl *cluster) {
		h := cl.newHost("z", 9)
		h.Doc = func() *envdoc.Doc { return nil }
		h.Init()
		h.ApplyView(wire.PoolView{})
	})
}
