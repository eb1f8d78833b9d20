package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// fullLoad is the share of an engine's time that one copy of a model should take at most.
	fullLoad = 0.1
	// clearGain is how many times the load of a copy must exceed that of the copy that makes way for it.
	clearGain = 1.5
	// waitingWork is the work that a call without any copy of its model stands for.
	waitingWork = 0.3
	// rateShare is the part of the weight store's rate that is used; lost orders may still be carried out later.
	rateShare = 0.95
	// rateBurst is how many loads from the weight store may begin at once.
	rateBurst = 2.0
	// idleWork is the work below which nobody is taken to ask for a model.
	idleWork = 0.01
	// bareLimit is the load of each remaining copy up to which a model makes way for one that has no copy.
	bareLimit = 0.6
	// lackTime is how long such a model lacks a copy at most while others are loaded beyond that limit.
	lackTime = 5 * time.Second
	// harmTime is the load time that a victim's load of one weighs in the choice of an engine.
	harmTime = 10 * time.Second
	// joinTime without a new engine shows that those which live have registered: about two seconds after their start or
	// after an outage of the store.
	joinTime = 2500 * time.Millisecond
	// settleTime protects a new copy from making way before its calls have arrived.
	settleTime = 4 * time.Second
)

type (
	// Engine is what the planner knows of one engine.
	Engine struct {
		ID        string
		Resident  []string // models that it holds
		Loading   string   // a model on its way
		Unloading string   // a model that is being unloaded
		Busy      bool     // takes no order now
		Calls     map[string]int
		InRAM     []string
		OnDisk    []string
		Backlog   time.Duration
	}

	// Order asks for one change.
	Order struct {
		Engine string
		Model  string
		Unload bool
	}

	// Planner plans for one service; its fields are set before use.
	Planner struct {
		Spec *topo.EngineSpec

		tokens float64
		filled time.Time
		since  map[place]time.Time // when a copy was first seen
		known  map[string]bool     // engines that the last plan saw
		joined time.Time           // when the last new engine was seen
		// making is for which model each engine is unloading another one.
		making map[string]string
		// lacking is since when calls have come for a model without a copy.
		lacking map[string]time.Time
	}

	place struct{ engine, model string }

	// room tells which copy makes way, or none, and the load that each other copy of its model would then have.
	room struct {
		victim string
		harm   float64
	}

	want struct {
		model  *topo.Model
		copies int
		work   float64
		bare   bool // calls wait and no copy is on its way
		// overdue models have lacked a copy for so long that any other model makes way.
		overdue bool
		asked   bool
	}
)

// Plan returns at most one order for each engine.
func (p *Planner) Plan(now time.Time, engines []Engine, needs map[string]sched.ModelDemand) []Order {
	p.refill(now)
	p.noteEngines(now, engines)
	p.noteCopies(now, engines)
	wants := p.wants(now, engines, needs)
	var out []Order
	used := make(map[string]bool)
	for range len(engines) {
		slices.SortStableFunc(wants, func(a, b *want) int { return cmp.Compare(b.pressure(), a.pressure()) })
		o, ok := p.next(now, engines, wants, used)
		if !ok {
			return out
		}
		used[o.Engine] = true
		out = append(out, o)
	}
	return out
}

func (p *Planner) refill(now time.Time) {
	if p.filled.IsZero() {
		p.filled, p.tokens = now, rateBurst
	}
	p.tokens = min(p.tokens+now.Sub(p.filled).Seconds()*p.Spec.LoadsPerS*rateShare, rateBurst)
	p.filled = now
}

// noteEngines notes when a new engine was seen.
func (p *Planner) noteEngines(now time.Time, engines []Engine) {
	ids := make(map[string]bool, len(engines))
	for i := range engines {
		ids[engines[i].ID] = true
		if !p.known[engines[i].ID] {
			p.joined = now
		}
	}
	p.known = ids
}

// noteCopies notes since when each copy has been there.
func (p *Planner) noteCopies(now time.Time, engines []Engine) {
	seen := make(map[place]bool)
	first := p.since == nil
	if first {
		p.since = make(map[place]time.Time)
	}
	for i := range engines {
		e := &engines[i]
		for _, m := range e.Resident {
			at := place{e.ID, m}
			seen[at] = true
			switch _, known := p.since[at]; {
			case known:
			case first:
				p.since[at] = now.Add(-settleTime)
			default:
				p.since[at] = now
			}
		}
	}
	for at := range p.since {
		if !seen[at] {
			delete(p.since, at)
		}
	}
}

func (p *Planner) wants(now time.Time, engines []Engine, needs map[string]sched.ModelDemand) []*want {
	p.forgetRoom(engines)
	out := make([]*want, 0, len(p.Spec.Models))
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		n := needs[m.Name]
		w := &want{model: m, work: n.OfferedLoad, asked: n.Requested}
		for j := range engines {
			w.copies += engines[j].copies(m.Name)
			if p.making[engines[j].ID] == m.Name {
				w.copies++
			}
		}
		if w.copies == 0 && n.Waiting > 0 {
			w.bare = true
			w.work = max(w.work, waitingWork*float64(n.Waiting))
		}
		w.overdue = p.lacks(now, w)
		out = append(out, w)
	}
	return out
}

// forgetRoom forgets the room that was made: the engine has ended its unload, or is gone.
func (p *Planner) forgetRoom(engines []Engine) {
	if p.making == nil {
		p.making = make(map[string]string)
	}
	closing := make(map[string]bool)
	for i := range engines {
		closing[engines[i].ID] = engines[i].Unloading != ""
	}
	maps.DeleteFunc(p.making, func(id, _ string) bool { return !closing[id] })
}

// lacks reports whether calls wait for a model that has lacked a copy for lackTime.
func (p *Planner) lacks(now time.Time, w *want) bool {
	if p.lacking == nil {
		p.lacking = make(map[string]time.Time)
	}
	since, known := p.lacking[w.model.Name]
	switch {
	case w.copies > 0:
		delete(p.lacking, w.model.Name)
	case w.bare && !known:
		p.lacking[w.model.Name] = now
	}
	return w.bare && known && now.Sub(since) > lackTime
}

// copies counts a copy that is there or on its way.
func (e *Engine) copies(model string) int {
	if e.Loading == model || slices.Contains(e.Resident, model) && e.Unloading != model {
		return 1
	}
	return 0
}

// pressure orders the models by how much they need a further copy.
func (w *want) pressure() float64 {
	const bareFirst, reachable, unasked = 1000.0, 100.0, 0.001
	switch {
	case w.bare:
		return bareFirst + w.work
	case w.copies == 0 && w.asked:
		return reachable
	case w.copies == 0:
		return unasked
	}
	return w.work / float64(w.copies)
}

// next returns the most useful order that is possible now.
func (p *Planner) next(now time.Time, engines []Engine, wants []*want, used map[string]bool) (Order, bool) {
	for _, w := range wants {
		if w.copies > 0 && w.pressure() < fullLoad {
			continue
		}
		if w.copies == 0 && !w.bare && w.work < idleWork && now.Sub(p.joined) < joinTime {
			// An engine that has not registered yet may hold the model.
			continue
		}
		if o, ok := p.place(now, engines, wants, used, w); ok {
			return o, true
		}
	}
	return Order{}, false
}

// place finds the engine on which a further copy costs least.
func (p *Planner) place(
	now time.Time, engines []Engine, wants []*want, used map[string]bool, w *want,
) (Order, bool) {
	var best *Engine
	var bestRoom room
	var bestCost time.Duration
	for i := range engines {
		e := &engines[i]
		if e.Busy || used[e.ID] || e.Loading != "" || e.Unloading != "" || slices.Contains(e.Resident, w.model.Name) {
			continue
		}
		cost, stored := e.loadTime(w.model)
		if stored && p.tokens < 1 {
			continue
		}
		r, ok := p.makeRoom(now, e, wants, w)
		if !ok {
			continue
		}
		cost += e.Backlog + time.Duration(r.harm*float64(harmTime))
		if best == nil || cost < bestCost {
			best, bestRoom, bestCost = e, r, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	if bestRoom.victim != "" {
		best.Unloading = bestRoom.victim
		of(wants, bestRoom.victim).copies--
		// The room counts as the copy that it is made for, or every engine would make room at once.
		p.making[best.ID] = w.model.Name
		w.copies++
		w.bare, w.overdue = false, false
		return Order{Engine: best.ID, Model: bestRoom.victim, Unload: true}, true
	}
	if _, stored := best.loadTime(w.model); stored {
		p.tokens--
	}
	best.Loading = w.model.Name
	w.copies++
	w.bare = false
	return Order{Engine: best.ID, Model: w.model.Name}, true
}

// makeRoom returns how w finds room on the engine, with the victim that does least harm.
func (p *Planner) makeRoom(now time.Time, e *Engine, wants []*want, w *want) (room, bool) {
	held := 0.0
	for _, name := range e.Resident {
		if m := p.Spec.Model(name); m != nil {
			held += m.MemoryMB
		}
	}
	if held+p.adapterRoom()+w.model.MemoryMB <= p.Spec.MemoryMB {
		return room{}, true
	}
	var best room
	for _, name := range e.Resident {
		v := of(wants, name)
		if v == nil || e.Calls[name] > 0 && !w.bare {
			continue
		}
		if now.Sub(p.since[place{e.ID, name}]) < settleTime && v.work > idleWork && !w.bare {
			continue
		}
		if harm, ok := w.displaces(v); ok && (best.victim == "" || harm < best.harm) {
			best = room{name, harm}
		}
	}
	return best, best.victim != ""
}

// displaces reports whether a copy of w is worth one of v, and the load of each copy of v that would remain.
func (w *want) displaces(v *want) (harm float64, ok bool) {
	if v.copies < 2 {
		return 0, false
	}
	after := v.work / float64(v.copies-1)
	switch {
	case w.overdue:
		return after, true
	case w.bare:
		return after, after < bareLimit
	case w.copies == 0:
		return after, after < fullLoad
	}
	limit := w.pressure() / clearGain
	return after, after < limit && after < fullLoad || after < limit/clearGain
}

// adapterRoom is the memory that an engine's adapters may take at most.
func (p *Planner) adapterRoom() float64 {
	largest := 0.0
	for i := range p.Spec.Models {
		if m := &p.Spec.Models[i]; m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(p.Spec.AdapterSlots)
}

// loadTime returns how long a load takes on the engine, and whether it comes from the weight store.
func (e *Engine) loadTime(m *topo.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(e.InRAM, m.Name):
		return m.RAMLoadTime, false
	case slices.Contains(e.OnDisk, m.Name):
		return m.DiskLoadTime, false
	}
	return m.LoadTime, true
}

func of(wants []*want, model string) *want {
	for _, w := range wants {
		if w.model.Name == model {
			return w
		}
	}
	return nil
}
