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

// silentEngine is an engine with room for two models that carries out the first load of a third model late.
type silentEngine struct {
	mu       sync.Mutex
	boot     int64
	sequence int64
	models   []topo.Resident
	silent   bool // the next order gets no response
	late     *topo.Order
	overfull int
}

func (e *silentEngine) Report(context.Context, *topo.Upstream) (*topo.Report, topo.Notice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &topo.Report{Boot: e.boot, Sequence: e.sequence, Models: slices.Clone(e.models)}, topo.Notice{}, nil
}

func (e *silentEngine) Order(
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

func (e *silentEngine) carryOut(o *topo.Order) topo.OrderResult {
	if o.ExpectedSequence != e.sequence {
		return topo.OrderConflict
	}
	e.sequence++
	e.models = append(e.models, topo.Resident{Name: o.Model})
	if len(e.models) > 2 {
		e.overfull++
	}
	return topo.OrderAccepted
}

// Guards against an engine that is ordered to load more than it holds, because an order without a response to its
// earlier instance is carried out after a restart under the same id; and against an engine that stays empty for that.
func TestLateOrderAfterRestart(t *testing.T) {
	withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
		cfg := &topo.Config{Version: 1, Services: map[string]topo.Service{"llm": {
			Name: "llm", Engine: &topo.EngineSpec{MemoryMB: 100, Models: []topo.Model{
				{Name: "m1", MemoryMB: 50}, {Name: "m2", MemoryMB: 50}, {Name: "m3", MemoryMB: 50},
			}},
		}}}
		e := &silentEngine{boot: 1, sequence: 2}
		r := &reconciler{
			self: "leader", elector: leader.elector, cache: testCache(s), tickets: leader, engines: e,
			stats: leader.stats, states: make(map[string]*engineState),
		}
		r.cache.config = cfg
		started := func() *engineState {
			up := &topo.Upstream{ID: "e", Boot: e.boot, Service: "llm"}
			leader.withScheduler(func(now time.Time, k *sched.Scheduler) {
				k.SetConfig(cfg)
				k.SetUpstreams(now, []*topo.Upstream{up})
			})
			r.updateEngines()
			r.fetchReport(t.Context(), r.states["e"])
			return r.states["e"]
		}
		load := func(st *engineState, model string) bool {
			r.fetchReport(t.Context(), st)
			return r.send(t.Context(), st, topo.Order{Model: model}) == topo.OrderAccepted
		}
		st := started()
		e.silent = true
		if load(st, "m3") {
			t.Fatal("an order without a response was accepted")
		}
		sent := time.Now()
		e.boot, e.sequence, e.models = 2, 0, nil
		st = started()
		if !load(st, "m1") {
			t.Error("no load on the empty engine")
		}
		for !load(st, "m2") {
			if time.Since(sent) > 13*time.Second {
				t.Fatal("no load long after the late order")
			}
			time.Sleep(100 * time.Millisecond)
		}
		if time.Since(sent) < 12*time.Second {
			e.carryOut(e.late)
		}
		if e.overfull > 0 {
			t.Error("the engine was ordered to load more than it holds")
		}
	})
}
