package replay

import (
	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/pool"
)

const (
	// maxInitialRounds limits the planner's rounds for the initial placement, which ends earlier when a round adds
	// nothing.
	maxInitialRounds = 400
	// lruWaitMS is how long a call must wait before reactive placement loads another replica.
	lruWaitMS = 100
)

// weightStore simulates the weight store, which limits the rate at which model loads start and the number of concurrent
// ones. loadCredit is a token bucket of size one, refilled at LoadsPerS; refilledMS is the time of its last refill.
type weightStore struct {
	s            *sim
	queue        []*weightLoad
	running      int
	adapterLoads int
	loadCredit   float64
	refilledMS   float64
}

// weightLoad is a requested load. It is dropped if the engine restarts before it is complete, which changes bootCount.
// Lower urgency values are served first.
type weightLoad struct {
	pool      *poolSim
	engine    *engine
	item      *memoryItem
	bootCount int
	urgency   int
}

func newWeightStore(s *sim) weightStore { return weightStore{s: s, loadCredit: 1} }

// request queues a load by urgency, then by arrival. Adapter loads are not subject to the limits, but slow down in
// proportion once more than AdaptersInTransit are in progress.
func (w *weightStore) request(p *poolSim, e *engine, h *memoryItem, urgency int) {
	l := &weightLoad{pool: p, engine: e, item: h, bootCount: e.bootCount, urgency: urgency}
	if h.adapter {
		w.loadAdapter(l)
		return
	}
	pos := len(w.queue)
	for pos > 0 && w.queue[pos-1].urgency > urgency {
		pos--
	}
	w.queue = append(w.queue, nil)
	copy(w.queue[pos+1:], w.queue[pos:])
	w.queue[pos] = l
	w.startNext()
}

func (w *weightStore) loadAdapter(l *weightLoad) {
	w.adapterLoads++
	slowdown := max(1, float64(w.adapterLoads)/float64(max(w.s.doc.WeightStore.AdaptersInTransit, 1)))
	w.s.after(w.s.run.Workload.AdapterLoadMS*slowdown, func() {
		w.adapterLoads--
		w.s.finishLoad(l)
	})
}

// startNext starts as many queued model loads as the limits allow. If loadCredit is below 1, it schedules itself for
// when loadCredit reaches 1.
func (w *weightStore) startNext() {
	limits := w.s.doc.WeightStore
	w.loadCredit = min(1, w.loadCredit+(w.s.nowMS-w.refilledMS)/1000*limits.LoadsPerS)
	w.refilledMS = w.s.nowMS
	if len(w.queue) == 0 || w.running >= limits.AtOnce {
		return
	}
	// The tolerance and the extra 0.01 ms keep rounding errors from scheduling another wait.
	if w.loadCredit < 1-1e-9 {
		w.s.after((1-w.loadCredit)/limits.LoadsPerS*1000+0.01, w.startNext)
		return
	}
	w.loadCredit--
	l := w.queue[0]
	w.queue = w.queue[1:]
	w.running++
	w.s.after(float64(l.item.memoryMB)/w.s.run.Workload.LoadMBPerS*1000, func() {
		w.running--
		w.s.finishLoad(l)
		w.startNext()
	})
	w.startNext()
}

// finishLoad makes a loaded item resident, unless it was removed or its engine failed or restarted meanwhile.
func (s *sim) finishLoad(l *weightLoad) {
	if l.engine.items[l.item.name] != l.item || l.engine.bootCount != l.bootCount || !l.engine.up {
		return
	}
	l.item.resident = true
	l.item.lastUsedMS = s.nowMS
	s.updateEngines(l.pool)
}

// placeInitial fills an empty pool with the planner's placement before the trace starts; these loads take no time and
// are not counted.
func (s *sim) placeInitial(p *poolSim) {
	for range maxInitialRounds {
		actions := p.planner.Plan(s.time(), s.plannerInput(p, nil))
		added := 0
		for _, m := range actions {
			e := p.byName[m.Engine]
			if m.Unload || e.items[m.Item] != nil || e.usedMB()+m.MemoryMB > e.usableMB {
				continue
			}
			e.addItem(&memoryItem{
				name: m.Item, base: p.baseOf[m.Item], adapter: m.Adapter, memoryMB: m.MemoryMB, resident: true,
			})
			added++
		}
		if added == 0 {
			break
		}
	}
	s.updateEngines(p)
}

func (s *sim) plannerInput(p *poolSim, demand []pool.Demand) plan.Input {
	in := plan.Input{Models: p.models, Adapters: p.adapters, Demand: demand}
	for _, e := range p.engines {
		state := plan.Engine{State: s.state(e), UsableMB: e.usableMB, ReservedMB: e.usedMB()}
		for _, name := range e.order {
			h := e.items[name]
			state.Replicas = append(state.Replicas, plan.Replica{
				Item: name, Adapter: h.adapter, MemoryMB: h.memoryMB,
				Ready: h.resident && e.observedUp, Unloading: h.unloading,
			})
		}
		in.Engines = append(in.Engines, state)
	}
	return in
}

func (s *sim) plan(p *poolSim) {
	demand := p.dispatcher.Demand(s.time())
	if s.run.Placement == ReactiveLRU {
		s.planLRU(p, demand)
		return
	}
	for _, m := range p.planner.Plan(s.time(), s.plannerInput(p, demand)) {
		s.apply(p, m)
	}
}

// apply executes one action of the planner. A load that does not fit into the engine's memory is counted as an
// overcommit and not executed.
func (s *sim) apply(p *poolSim, m plan.Action) {
	e := p.byName[m.Engine]
	h := e.items[m.Item]
	switch {
	case m.Unload && h != nil && !h.unloading:
		s.unload(p, e, h)
	case !m.Unload && h == nil && e.observedUp:
		if e.usedMB()+m.MemoryMB > e.usableMB {
			s.result.Overcommits++
			return
		}
		h = &memoryItem{
			name: m.Item, base: p.baseOf[m.Item], adapter: m.Adapter, memoryMB: m.MemoryMB, lastUsedMS: s.nowMS,
		}
		e.addItem(h)
		if m.Adapter {
			s.result.AdapterLoads++
		} else {
			s.result.ModelLoads++
		}
		s.weightStore.request(p, e, h, int(m.Urgency))
	}
}

// unload drains an item and the adapters that depend on it; its memory is freed when no attempt uses it.
func (s *sim) unload(p *poolSim, e *engine, h *memoryItem) {
	h.unloading = true
	for _, name := range append([]string(nil), e.order...) {
		if other := e.items[name]; other.base == h.name && !other.unloading {
			s.unload(p, e, other)
		}
	}
	s.updateEngines(p)
	s.removeWhenIdle(p, e, h)
}

// removeWhenIdle removes an item after unloadMS, and checks again at that interval while attempts use it.
func (s *sim) removeWhenIdle(p *poolSim, e *engine, h *memoryItem) {
	s.after(unloadMS, func() {
		if e.items[h.name] != h {
			return
		}
		if h.users > 0 {
			s.removeWhenIdle(p, e, h)
			return
		}
		e.removeItem(h.name)
		s.updateEngines(p)
	})
}

// planLRU loads one replica of each item for which a call has waited at least lruWaitMS and that is not being loaded.
func (s *sim) planLRU(p *poolSim, demand []pool.Demand) {
	for _, d := range demand {
		size, known := p.sizeOf[d.Item]
		if !known || d.Waiting == 0 || d.OldestWaitMS < lruWaitMS || p.isLoading(d.Item) {
			continue
		}
		s.loadLRU(p, d.Item, size)
	}
}

func (p *poolSim) isLoading(item string) bool {
	for _, e := range p.engines {
		if h := e.items[item]; h != nil && !h.resident && e.up {
			return true
		}
	}
	return false
}

// loadLRU loads an item on an engine with enough free memory or, if there is none, on the engine whose victims have
// been unused for longest. If there are victims, it only unloads them; a later round loads the item.
func (s *sim) loadLRU(p *poolSim, item string, size int) {
	base := p.baseOf[item]
	var best *engine
	var victims []*memoryItem
	for _, e := range p.engines {
		if !e.observedUp || e.items[item] != nil || base != "" && !e.serves(base) {
			continue
		}
		enough, out := e.victims(base, size)
		if enough && (best == nil || latestUse(out) < latestUse(victims)) {
			best, victims = e, out
		}
	}
	if best == nil {
		return
	}
	if len(victims) > 0 {
		for _, h := range victims {
			s.unload(p, best, h)
		}
		return
	}
	s.apply(p, plan.Action{Engine: best.name, Item: item, Adapter: base != "", MemoryMB: size})
}

// victims returns the least recently used idle items to evict for size MB, and whether evicting them frees enough. The
// item keep is not evicted: it is the base model of the adapter to be loaded.
func (e *engine) victims(keep string, size int) (bool, []*memoryItem) {
	freeMB := e.usableMB - e.usedMB()
	var out []*memoryItem
	for freeMB < size {
		var oldest *memoryItem
		for _, name := range e.order {
			h := e.items[name]
			if h.users > 0 || h.name == keep || h.unloading || !h.resident || contains(out, h) ||
				e.hasActiveAdapter(h) {
				continue
			}
			if oldest == nil || h.lastUsedMS < oldest.lastUsedMS {
				oldest = h
			}
		}
		if oldest == nil {
			return false, nil
		}
		out = append(out, oldest)
		freeMB += oldest.memoryMB
	}
	return true, out
}

// hasActiveAdapter reports whether the item is the base model of an adapter that an attempt uses.
func (e *engine) hasActiveAdapter(h *memoryItem) bool {
	for _, name := range e.order {
		if other := e.items[name]; other.base == h.name && other.users > 0 {
			return true
		}
	}
	return false
}

// latestUse returns the most recent time of use among the items, or -1 for none.
func latestUse(list []*memoryItem) float64 {
	at := -1.0
	for _, h := range list {
		at = max(at, h.lastUsedMS)
	}
	return at
}

func contains(list []*memoryItem, h *memoryItem) bool {
	for _, v := range list {
		if v == h {
			return true
		}
	}
	return false
}
