package host

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// orderedEngine is an engine with room for two models and two adapters of m1. It finishes runs whose callers have left.
type orderedEngine struct {
	mu             sync.Mutex
	up             topo.Upstream
	sequence       int64
	adapters       []string
	runs           map[string]int // by adapter; an unload waits for them
	silent         bool           // the next order gets no response
	late           *topo.Order    // the order without a response
	loads, tooMany int            // loads of adapters, and loads of anything beyond the room
}

func (e *orderedEngine) Report(context.Context, *topo.Upstream) (*topo.Report, topo.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := slices.Clone(e.up.Models)
	if len(models) > 0 {
		models[0].Adapters = slices.Clone(e.adapters)
	}
	return &topo.Report{Boot: e.up.Boot, Sequence: e.sequence, Models: models}, topo.Notice{}, nil
}

func (e *orderedEngine) Order(
	_ context.Context, _ *topo.Upstream, o *topo.Order,
) (topo.OrderResult, topo.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		e.silent, e.late = false, o
		return topo.OrderUnknown, topo.Notice{}, nil
	}
	return e.carryOut(o), topo.Notice{}, nil
}

func (e *orderedEngine) carryOut(o *topo.Order) topo.OrderResult {
	if o.ExpectedSequence != e.sequence {
		return topo.OrderConflict
	}
	e.sequence++
	switch {
	case o.Unload && e.runs[o.Adapter] > 0:
		return topo.OrderAccepted
	case o.Unload:
		e.unload(o.Adapter)
		return topo.OrderNoChange
	case o.Adapter != "":
		e.loads++
		e.adapters = append(e.adapters, o.Adapter)
	default:
		e.up.Models = append(e.up.Models, topo.Resident{Name: o.Model})
	}
	if len(e.adapters) > 2 || len(e.up.Models) > 2 {
		e.tooMany++
	}
	return topo.OrderAccepted
}

func (e *orderedEngine) unload(adapter string) {
	e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == adapter })
}

// withReconciler runs f with a leader that sends orders to an engine, and with a function that lists the engine.
func withReconciler(t *testing.T, e *orderedEngine, f func(t *testing.T, r *reconciler, list func())) {
	withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
		cfg := &topo.Config{Version: 1, Services: map[string]topo.Service{"llm": {
			Name: "llm", Engine: &topo.EngineSpec{
				Slots: 8, KVTokens: 1000, MemoryMB: 102, AdapterSlots: 2, Models: []topo.Model{
					{Name: "m1", MemoryMB: 50, AdapterMB: 1, LoadTime: time.Second},
					{Name: "m2", MemoryMB: 50},
					{Name: "m3", MemoryMB: 50},
				},
			},
		}}}
		r := &reconciler{
			self: "leader", elector: leader.elector, cache: testCache(s), tickets: leader, engines: e,
			stats: leader.stats, states: make(map[string]*engineState),
		}
		r.cache.config = cfg
		f(t, r, func() {
			up := e.up
			leader.withScheduler(func(now time.Time, k *sched.Scheduler) {
				k.SetConfig(cfg)
				k.SetUpstreams(now, []*topo.Upstream{&up})
			})
		})
	})
}

// Guards against an engine that is ordered to load more adapters than it has slots for, because the adapter that was to
// be unloaded is still used by a run whose caller has left; and against a call that then never gets its adapter.
func TestAdapterOfAbandonedRun(t *testing.T) {
	e := &orderedEngine{
		up:       topo.Upstream{ID: "e", Boot: 1, Service: "llm", Slots: 8, Models: []topo.Resident{{Name: "m1"}}},
		sequence: 3, adapters: []string{"a1", "a2"}, runs: map[string]int{"a1": 1, "a2": 1},
	}
	withReconciler(t, e, func(t *testing.T, r *reconciler, list func()) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		list()
		r.tickets.loadAdapters = func(loads []sched.AdapterLoad) { r.loadAdapters(ctx, loads) }
		go r.run(ctx)
		go r.tickets.run(ctx)
		time.Sleep(3 * time.Second)
		request := func(adapter string) sched.Decision {
			d, err := r.tickets.RequestTicket(t.Context(), sched.Request{
				Call: "call for " + adapter, Service: "llm", Remaining: 20 * time.Second,
				TargetLatency: 20 * time.Second, Spec: topo.CallSpec{Model: "m1", Adapter: adapter, PromptTokens: 10},
			})
			if err != nil || d.Kind != sched.Granted {
				t.Errorf("call for %s: %+v, %v", adapter, d, err)
			}
			return d
		}
		left := request("a1")
		request("a2")
		r.tickets.Release(left.Grant, sched.Canceled)
		granted := make(chan time.Duration, 1)
		start := time.Now()
		go func() {
			request("a3")
			granted <- time.Since(start)
		}()
		time.Sleep(2 * time.Second)
		e.mu.Lock()
		e.unload("a1") // its run ends
		e.mu.Unlock()
		if took := <-granted; took < 2*time.Second || took > 3*time.Second {
			t.Errorf("the call waited for %v, its slot was free after 2s", took)
		}
		if e.tooMany > 0 || e.loads != 1 {
			t.Errorf("%d loads of adapters, %d loads beyond the slots, want one and none", e.loads, e.tooMany)
		}
		request("a2")
	})
}

// Guards against an engine that is ordered to load more than it holds, because an order without a response to its
// earlier instance is carried out after a restart under the same id; and against an engine that stays empty for that.
func TestLateOrderAfterRestart(t *testing.T) {
	e := &orderedEngine{up: topo.Upstream{ID: "e", Boot: 1, Service: "llm"}, sequence: 2}
	withReconciler(t, e, func(t *testing.T, r *reconciler, list func()) {
		load := func(model string) bool {
			list()
			r.updateEngines()
			r.fetchReport(t.Context(), r.states["e"])
			return r.send(t.Context(), r.states["e"], topo.Order{Model: model}) == topo.OrderAccepted
		}
		e.silent = true
		if load("m3") {
			t.Fatal("an order without a response was accepted")
		}
		sent := time.Now()
		e.up.Boot, e.sequence = 2, 0
		if !load("m1") {
			t.Error("no load on the empty engine")
		}
		for !load("m2") {
			if time.Since(sent) > 13*time.Second {
				t.Fatal("no load long after the late order")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if time.Since(sent) < 12*time.Second {
			e.carryOut(e.late)
		}
		if e.tooMany > 0 {
			t.Error("the engine was ordered to load more than it holds")
		}
	})
}
