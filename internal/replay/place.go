package replay

import (
	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/pool"
)

const (
	// maxFirstRounds bounds the rounds of the first placement.
	maxFirstRounds = 400
	// lruWaitMS is how long a call must wait before reactive placement loads another copy.
	lruWaitMS = 100
)

// weights is the weight store: loads begin at a limited rate, and few run at once.
type weights struct {
	s       *sim
	queue   []*load
	running int
	transit int
	credit  float64
	atMS    float64
}

type load struct {
	pool    *poolSim
	engine  *engine
	item    *held
	boot    int
	urgency int
}

func newWeights(s *sim) weights { return weights{s: s, credit: 1} }

// request queues a load; adapters do not use the rate limit, but get slower with the number in transit.
func (w *weights) request(p *poolSim, e *engine, h *held, urgency int) {
	l := &load{pool: p, engine: e, item: h, boot: e.boot, urgency: urgency}
	if h.adapter {
		w.adapter(l)
		return
	}
	at := len(w.queue)
	for at > 0 && w.queue[at-1].urgency > urgency {
		at--
	}
	w.queue = append(w.queue, nil)
	copy(w.queue[at+1:], w.queue[at:])
	w.queue[at] = l
	w.begin()
}

func (w *weights) adapter(l *load) {
	w.transit++
	slow := max(1, float64(w.transit)/float64(max(w.s.doc.WeightStore.AdaptersInTransit, 1)))
	w.s.after(w.s.run.Workload.AdapterLoadMS*slow, func() {
		w.transit--
		w.s.loaded(l)
	})
}

func (w *weights) begin() {
	limits := w.s.doc.WeightStore
	w.credit = min(1, w.credit+(w.s.nowMS-w.atMS)/1000*limits.LoadsPerS)
	w.atMS = w.s.nowMS
	if len(w.queue) == 0 || w.running >= limits.AtOnce {
		return
	}
	if w.credit < 1-1e-9 {
		w.s.after((1-w.credit)/limits.LoadsPerS*1000+0.01, w.begin)
		return
	}
	w.credit--
	l := w.queue[0]
	w.queue = w.queue[1:]
	w.running++
	w.s.after(float64(l.item.memoryMB)/w.s.run.Workload.LoadMBPerS*1000, func() {
		w.running--
		w.s.loaded(l)
		w.begin()
	})
	w.begin()
}

func (s *sim) loaded(l *load) {
	if l.engine.items[l.item.name] != l.item || l.engine.boot != l.boot || !l.engine.up {
		return
	}
	l.item.resident = true
	l.item.usedMS = s.nowMS
	s.show(l.pool)
}

// placeFirst applies what the planner wants of an empty pool at once and without counting it.
func (s *sim) placeFirst(p *poolSim) {
	for range maxFirstRounds {
		moves := p.planner.Plan(s.time(), s.input(p, nil))
		done := 0
		for _, m := range moves {
			e := p.byName[m.Engine]
			if m.Unload || e.items[m.Item] != nil || e.usedMB()+m.MemoryMB > e.usableMB {
				continue
			}
			e.hold(&held{
				name: m.Item, base: p.baseOf[m.Item], adapter: m.Adapter, memoryMB: m.MemoryMB, resident: true,
			})
			done++
		}
		if done == 0 {
			break
		}
	}
	s.show(p)
}

func (s *sim) input(p *poolSim, demand []pool.Demand) plan.Input {
	in := plan.Input{Models: p.models, Adapters: p.adapters, Demand: demand}
	for _, e := range p.engines {
		room := plan.Engine{State: s.state(e), UsableMB: e.usableMB, ReservedMB: e.usedMB()}
		for _, name := range e.order {
			h := e.items[name]
			room.Replicas = append(room.Replicas, plan.Replica{
				Item: name, Adapter: h.adapter, MemoryMB: h.memoryMB,
				Ready: h.resident && e.seenUp, Unloading: h.leaving,
			})
		}
		in.Engines = append(in.Engines, room)
	}
	return in
}

func (s *sim) plan(p *poolSim) {
	demand := p.dispatcher.Demand(s.time())
	if s.run.Placement == ReactiveLRU {
		s.planLRU(p, demand)
		return
	}
	for _, m := range p.planner.Plan(s.time(), s.input(p, demand)) {
		s.apply(p, m)
	}
}

func (s *sim) apply(p *poolSim, m plan.Action) {
	e := p.byName[m.Engine]
	h := e.items[m.Item]
	switch {
	case m.Unload && h != nil && !h.leaving:
		s.unload(p, e, h)
	case !m.Unload && h == nil && e.seenUp:
		if e.usedMB()+m.MemoryMB > e.usableMB {
			s.result.Overcommits++
			return
		}
		h = &held{name: m.Item, base: p.baseOf[m.Item], adapter: m.Adapter, memoryMB: m.MemoryMB, usedMS: s.nowMS}
		e.hold(h)
		if m.Adapter {
			s.result.AdapterLoads++
		} else {
			s.result.ModelLoads++
		}
		s.store.request(p, e, h, int(m.Urgency))
	}
}

// unload stops new work for the item and frees its memory when no attempt uses it.
func (s *sim) unload(p *poolSim, e *engine, h *held) {
	h.leaving = true
	for _, name := range append([]string(nil), e.order...) {
		if other := e.items[name]; other.base == h.name && !other.leaving {
			s.unload(p, e, other)
		}
	}
	s.show(p)
	s.release(p, e, h)
}

func (s *sim) release(p *poolSim, e *engine, h *held) {
	s.after(unloadMS, func() {
		if e.items[h.name] != h {
			return
		}
		if h.users > 0 {
			s.release(p, e, h)
			return
		}
		e.forget(h.name)
		s.show(p)
	})
}

// planLRU loads one copy of each item that calls wait for, on the engine whose eviction reaches back furthest.
func (s *sim) planLRU(p *poolSim, demand []pool.Demand) {
	for _, d := range demand {
		size, known := p.sizeOf[d.Item]
		if !known || d.Waiting == 0 || d.OldestWaitMS < lruWaitMS || p.loading(d.Item) {
			continue
		}
		s.loadLRU(p, d.Item, size)
	}
}

func (p *poolSim) loading(item string) bool {
	for _, e := range p.engines {
		if h := e.items[item]; h != nil && !h.resident && e.up {
			return true
		}
	}
	return false
}

func (s *sim) loadLRU(p *poolSim, item string, size int) {
	base := p.baseOf[item]
	var best *engine
	var victims []*held
	for _, e := range p.engines {
		if !e.seenUp || e.items[item] != nil || base != "" && !e.answers(base) {
			continue
		}
		free, out := e.evictable(base, size)
		if free && (best == nil || newest(out) < newest(victims)) {
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

// evictable returns the least recently used idle items that must go to make room, and whether that suffices.
func (e *engine) evictable(keep string, size int) (bool, []*held) {
	room := e.usableMB - e.usedMB()
	var out []*held
	for room < size {
		var oldest *held
		for _, name := range e.order {
			h := e.items[name]
			if h.users > 0 || h.name == keep || h.leaving || !h.resident || contains(out, h) || e.usedBase(h) {
				continue
			}
			if oldest == nil || h.usedMS < oldest.usedMS {
				oldest = h
			}
		}
		if oldest == nil {
			return false, nil
		}
		out = append(out, oldest)
		room += oldest.memoryMB
	}
	return true, out
}

// usedBase tells whether the item is the base of an adapter that attempts use.
func (e *engine) usedBase(h *held) bool {
	for _, name := range e.order {
		if other := e.items[name]; other.base == h.name && other.users > 0 {
			return true
		}
	}
	return false
}

func newest(list []*held) float64 {
	at := -1.0
	for _, h := range list {
		at = max(at, h.usedMS)
	}
	return at
}

func contains(list []*held, h *held) bool {
	for _, v := range list {
		if v == h {
			return true
		}
	}
	return false
}
