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

// adapterEngine is an engine that finishes runs whose callers have left, and then unloads their adapters.
type adapterEngine struct {
	mu        sync.Mutex
	slots     int
	sequence  int64
	adapters  []string
	unloading []string // waits for its runs
	runs      map[string]int
	overfull  int // loads beyond the slots
	loads     int
}

func (e *adapterEngine) Report(context.Context, *topo.Upstream) (*topo.Report, topo.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &topo.Report{
		Boot: 1, Sequence: e.sequence, Models: []topo.Resident{{Name: "m", Adapters: slices.Clone(e.adapters)}},
	}, topo.Notice{}, nil
}

func (e *adapterEngine) Order(
	_ context.Context, _ *topo.Upstream, o *topo.Order,
) (topo.OrderResult, topo.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.ExpectedSequence != e.sequence {
		return topo.OrderConflict, topo.Notice{}, nil
	}
	e.sequence++
	switch {
	case o.Unload && e.runs[o.Adapter] > 0:
		e.unloading = append(e.unloading, o.Adapter)
		return topo.OrderAccepted, topo.Notice{}, nil
	case o.Unload:
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == o.Adapter })
		return topo.OrderNoChange, topo.Notice{}, nil
	}
	if e.loads++; len(e.adapters) >= e.slots {
		e.overfull++
	}
	e.adapters = append(e.adapters, o.Adapter)
	return topo.OrderAccepted, topo.Notice{}, nil
}

// end ends the run of an adapter.
func (e *adapterEngine) end(adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[adapter]--
	if slices.Contains(e.unloading, adapter) {
		e.adapters = slices.DeleteFunc(e.adapters, func(a string) bool { return a == adapter })
	}
}

// Guards against an engine that is ordered to load more adapters than it has slots for, because the adapter that was to
// be unloaded is still used by a run whose caller has left; and against a call that then never gets its adapter.
func TestAdapterOfAbandonedRun(t *testing.T) {
	withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
		e := &adapterEngine{
			slots: 2, sequence: 3, adapters: []string{"a1", "a2"}, runs: map[string]int{"a1": 1, "a2": 1},
		}
		cfg := &topo.Config{Version: 1, Services: map[string]topo.Service{"llm": {Name: "llm", Engine: &topo.EngineSpec{
			Slots: 8, KVTokens: 1000, MemoryMB: 100, AdapterSlots: e.slots,
			Models: []topo.Model{{Name: "m", MemoryMB: 50, AdapterMB: 1, LoadTime: time.Second}},
		}}}}
		up := &topo.Upstream{
			ID: "e", Boot: 1, Service: "llm", Slots: 8,
			Models: []topo.Resident{{Name: "m", Adapters: e.adapters}},
		}
		leader.withScheduler(func(now time.Time, k *sched.Scheduler) {
			k.SetConfig(cfg)
			k.SetUpstreams(now, []*topo.Upstream{up})
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		r := &reconciler{
			self: "leader", elector: leader.elector, cache: testCache(s), tickets: leader, engines: e,
			stats: leader.stats,
		}
		r.cache.config = cfg
		leader.loadAdapters = func(loads []sched.AdapterLoad) { r.loadAdapters(ctx, loads) }
		go r.run(ctx)
		go leader.run(ctx)
		time.Sleep(3 * time.Second)
		request := func(adapter string) sched.Decision {
			d, err := leader.RequestTicket(t.Context(), sched.Request{
				Call: "call for " + adapter, Service: "llm", Remaining: 20 * time.Second,
				TargetLatency: 20 * time.Second, Spec: topo.CallSpec{Model: "m", Adapter: adapter, PromptTokens: 10},
			})
			if err != nil || d.Kind != sched.Granted {
				t.Errorf("call for %s: %+v, %v", adapter, d, err)
			}
			return d
		}
		left := request("a1")
		request("a2")
		leader.Release(left.Grant, sched.Canceled)
		granted := make(chan time.Duration, 1)
		start := time.Now()
		go func() {
			request("a3")
			granted <- time.Since(start)
		}()
		time.Sleep(2 * time.Second)
		e.end("a1")
		if took := <-granted; took < 2*time.Second || took > 3*time.Second {
			t.Errorf("the call waited for %v, its slot was free after 2s", took)
		}
		if e.overfull > 0 || e.loads != 1 {
			t.Errorf("%d loads, %d of them beyond the slots, want one", e.loads, e.overfull)
		}
		if again := request("a2"); again.Grant.Engine != "e" {
			t.Errorf("call for an adapter in use: %+v", again)
		}
	})
}
