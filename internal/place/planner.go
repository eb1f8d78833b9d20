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
	// targetLoad is the highest load that one replica of a model should carry, as a share of the engine's time.
	targetLoad = 0.1
	// hysteresis is the factor by which the load per replica of a model must exceed what each remaining replica of the
	// victim would carry. It applies twice if the latter reaches targetLoad.
	hysteresis = 1.5
	// waitingLoad is the offered load that each waiting call for a model without a replica counts as.
	waitingLoad = 0.3
	// loadRateShare is the share of the weight store's rate that is used. The rest is left for orders whose responses
	// were lost and that may still be executed later.
	loadRateShare = 0.95
	// loadBurst is the number of loads from the weight store that may start at once.
	loadBurst = 2.0
	// idleLoad is the offered load below which a model counts as unused.
	idleLoad = 0.01
	// maxVictimLoad bounds an eviction for an unserved model: each remaining replica of the victim must carry less load
	// than this afterwards.
	maxVictimLoad = 0.6
	// maxUnserved is how long a model may be unserved because the load of all possible victims exceeds maxVictimLoad.
	maxUnserved = 5 * time.Second
	// victimPenalty weighs the victim's load in the choice of an engine: a load of 1 counts as this much load time.
	victimPenalty = 10 * time.Second
	// joinGracePeriod is how long unused models without a replica are not loaded after an engine has joined. Live
	// engines need about two seconds to register after their start or after an outage of the store.
	joinGracePeriod = 2500 * time.Millisecond
	// minResidency protects a new replica from eviction before its calls have arrived, unless it is evicted for an
	// unserved model.
	minResidency = 4 * time.Second
)

type (
	// Engine is the state of one engine as input of a plan.
	Engine struct {
		ID        string
		Resident  []string       // resident models
		Loading   string         // model that is being loaded, or empty
		Unloading string         // model that is being unloaded, or empty
		Busy      bool           // accepts no order now
		Calls     map[string]int // open tickets by model
		InRAM     []string       // models whose weights are in the memory of the machine
		OnDisk    []string       // models whose weights are on the disk of the machine
		Backlog   time.Duration  // prefill backlog
	}

	// Order is one load or unload of a model.
	Order struct {
		Engine string
		Model  string
		Unload bool
	}

	// Planner plans the placement of models for one service; its exported fields are set before use.
	Planner struct {
		Spec *topo.EngineSpec

		tokens        float64                  // loads from the weight store that may start now
		filled        time.Time                // when tokens was last refilled
		residentSince map[replicaKey]time.Time // when a replica was first seen
		knownEngines  map[string]bool          // engines of the last plan
		lastJoin      time.Time                // when a new engine was last seen
		// reservedFor maps an engine that is unloading a model to the model that will be loaded instead.
		reservedFor map[string]string
		// unservedSince is when a model without a replica first had waiting calls.
		unservedSince map[string]time.Time
	}

	replicaKey struct{ engine, model string }

	// eviction names the model to evict from an engine, or none, and the load that each of the remaining replicas of
	// that model would then carry.
	eviction struct {
		victim     string
		victimLoad float64
	}

	// target is the planning state of one model.
	target struct {
		model    *topo.Model
		replicas int     // loaded, loading, or with memory being freed for them
		load     float64 // offered load in engine-seconds per second
		unserved bool    // calls wait and there is no replica
		// overdue: unserved for longer than maxUnserved; any model with another replica may then be evicted to make
		// room, whatever its load.
		overdue   bool
		requested bool
	}
)

// Plan returns at most one order for each engine.
func (p *Planner) Plan(now time.Time, engines []Engine, demand map[string]sched.ModelDemand) []Order {
	p.refillTokens(now)
	p.trackEngines(now, engines)
	p.trackReplicas(now, engines)
	targets := p.targets(now, engines, demand)
	var out []Order
	used := make(map[string]bool)
	for range len(engines) {
		slices.SortStableFunc(targets, func(a, b *target) int { return cmp.Compare(b.priority(), a.priority()) })
		o, ok := p.nextOrder(now, engines, targets, used)
		if !ok {
			return out
		}
		used[o.Engine] = true
		out = append(out, o)
	}
	return out
}

// refillTokens refills the token bucket that limits loads from the weight store.
func (p *Planner) refillTokens(now time.Time) {
	if p.filled.IsZero() {
		p.filled, p.tokens = now, loadBurst
	}
	p.tokens = min(p.tokens+now.Sub(p.filled).Seconds()*p.Spec.LoadsPerS*loadRateShare, loadBurst)
	p.filled = now
}

// trackEngines records when a new engine was last seen.
func (p *Planner) trackEngines(now time.Time, engines []Engine) {
	ids := make(map[string]bool, len(engines))
	for i := range engines {
		ids[engines[i].ID] = true
		if !p.knownEngines[engines[i].ID] {
			p.lastJoin = now
		}
	}
	p.knownEngines = ids
}

// trackReplicas records when each replica was first seen. The replicas of the first plan count as old enough for
// eviction.
func (p *Planner) trackReplicas(now time.Time, engines []Engine) {
	seen := make(map[replicaKey]bool)
	first := p.residentSince == nil
	if first {
		p.residentSince = make(map[replicaKey]time.Time)
	}
	for i := range engines {
		e := &engines[i]
		for _, m := range e.Resident {
			key := replicaKey{e.ID, m}
			seen[key] = true
			switch _, known := p.residentSince[key]; {
			case known:
			case first:
				p.residentSince[key] = now.Add(-minResidency)
			default:
				p.residentSince[key] = now
			}
		}
	}
	for key := range p.residentSince {
		if !seen[key] {
			delete(p.residentSince, key)
		}
	}
}

// targets returns the planning state of each model of the spec.
func (p *Planner) targets(now time.Time, engines []Engine, demand map[string]sched.ModelDemand) []*target {
	p.clearReservations(engines)
	out := make([]*target, 0, len(p.Spec.Models))
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		d := demand[m.Name]
		t := &target{model: m, load: d.OfferedLoad, requested: d.Requested}
		for j := range engines {
			t.replicas += engines[j].replicas(m.Name)
			if p.reservedFor[engines[j].ID] == m.Name {
				t.replicas++
			}
		}
		if t.replicas == 0 && d.Waiting > 0 {
			t.unserved = true
			t.load = max(t.load, waitingLoad*float64(d.Waiting))
		}
		t.overdue = p.unservedTooLong(now, t)
		out = append(out, t)
	}
	return out
}

// clearReservations removes the reservations of engines that have finished their unload or are gone.
func (p *Planner) clearReservations(engines []Engine) {
	if p.reservedFor == nil {
		p.reservedFor = make(map[string]string)
	}
	unloading := make(map[string]bool)
	for i := range engines {
		unloading[engines[i].ID] = engines[i].Unloading != ""
	}
	maps.DeleteFunc(p.reservedFor, func(id, _ string) bool { return !unloading[id] })
}

// unservedTooLong reports whether calls wait for a model that has been unserved for longer than maxUnserved.
func (p *Planner) unservedTooLong(now time.Time, t *target) bool {
	if p.unservedSince == nil {
		p.unservedSince = make(map[string]time.Time)
	}
	since, known := p.unservedSince[t.model.Name]
	switch {
	case t.replicas > 0:
		delete(p.unservedSince, t.model.Name)
	case t.unserved && !known:
		p.unservedSince[t.model.Name] = now
	}
	return t.unserved && known && now.Sub(since) > maxUnserved
}

// replicas returns 1 if the engine holds or loads a replica of the model that is not being unloaded, and 0 otherwise.
func (e *Engine) replicas(model string) int {
	if e.Loading == model || slices.Contains(e.Resident, model) && e.Unloading != model {
		return 1
	}
	return 0
}

// priority returns how urgently the model needs a further replica; the highest value comes first. Models with replicas
// are ordered by their load per replica.
func (t *target) priority() float64 {
	const unservedFirst, noReplica, notRequested = 1000.0, 100.0, 0.001
	switch {
	case t.unserved:
		return unservedFirst + t.load
	case t.replicas == 0 && t.requested:
		return noReplica
	case t.replicas == 0:
		return notRequested
	}
	return t.load / float64(t.replicas)
}

// nextOrder returns the order for the model of the highest priority that can get a further replica now.
func (p *Planner) nextOrder(now time.Time, engines []Engine, targets []*target, used map[string]bool) (Order, bool) {
	for _, t := range targets {
		if t.replicas > 0 && t.priority() < targetLoad {
			continue
		}
		if t.replicas == 0 && !t.unserved && t.load < idleLoad && now.Sub(p.lastJoin) < joinGracePeriod {
			// The model may be resident on an engine that has not registered yet.
			continue
		}
		if o, ok := p.addReplica(now, engines, targets, used, t); ok {
			return o, true
		}
	}
	return Order{}, false
}

// addReplica returns the order for a further replica of the model on the engine with the lowest cost: the sum of load
// time, prefill backlog and weighted victim load. If the memory does not suffice, the order unloads a victim instead.
func (p *Planner) addReplica(
	now time.Time, engines []Engine, targets []*target, used map[string]bool, t *target,
) (Order, bool) {
	var best *Engine
	var bestEviction eviction
	var bestCost time.Duration
	for i := range engines {
		e := &engines[i]
		if e.Busy || used[e.ID] || e.Loading != "" || e.Unloading != "" || slices.Contains(e.Resident, t.model.Name) {
			continue
		}
		cost, fromStore := e.loadTime(t.model)
		if fromStore && p.tokens < 1 {
			continue
		}
		ev, ok := p.evictFor(now, e, targets, t)
		if !ok {
			continue
		}
		cost += e.Backlog + time.Duration(ev.victimLoad*float64(victimPenalty))
		if best == nil || cost < bestCost {
			best, bestEviction, bestCost = e, ev, cost
		}
	}
	if best == nil {
		return Order{}, false
	}
	if bestEviction.victim != "" {
		best.Unloading = bestEviction.victim
		targetFor(targets, bestEviction.victim).replicas--
		// Count the replica from the start of the unload; otherwise every engine would evict a model for it.
		p.reservedFor[best.ID] = t.model.Name
		t.replicas++
		t.unserved, t.overdue = false, false
		return Order{Engine: best.ID, Model: bestEviction.victim, Unload: true}, true
	}
	if _, fromStore := best.loadTime(t.model); fromStore {
		p.tokens--
	}
	best.Loading = t.model.Name
	t.replicas++
	t.unserved = false
	return Order{Engine: best.ID, Model: t.model.Name}, true
}

// evictFor returns the eviction that makes t fit on the engine, with the victim whose remaining replicas carry the
// least load. It names no victim if the free memory suffices, and returns false if there is no possible victim.
func (p *Planner) evictFor(now time.Time, e *Engine, targets []*target, t *target) (eviction, bool) {
	usedMB := 0.0
	for _, name := range e.Resident {
		if m := p.Spec.Model(name); m != nil {
			usedMB += m.MemoryMB
		}
	}
	if usedMB+p.adapterMemory()+t.model.MemoryMB <= p.Spec.MemoryMB {
		return eviction{}, true
	}
	var best eviction
	for _, name := range e.Resident {
		v := targetFor(targets, name)
		if v == nil || e.Calls[name] > 0 && !t.unserved {
			continue
		}
		if now.Sub(p.residentSince[replicaKey{e.ID, name}]) < minResidency && v.load > idleLoad && !t.unserved {
			continue
		}
		if load, ok := t.outranks(v); ok && (best.victim == "" || load < best.victimLoad) {
			best = eviction{name, load}
		}
	}
	return best, best.victim != ""
}

// outranks reports whether a replica of v may be evicted for one of t, and returns the load that each remaining replica
// of v would carry. The last replica of a model is never evicted.
func (t *target) outranks(v *target) (victimLoad float64, ok bool) {
	if v.replicas < 2 {
		return 0, false
	}
	after := v.load / float64(v.replicas-1)
	switch {
	case t.overdue:
		return after, true
	case t.unserved:
		return after, after < maxVictimLoad
	case t.replicas == 0:
		return after, after < targetLoad
	}
	limit := t.priority() / hysteresis
	return after, after < limit && after < targetLoad || after < limit/hysteresis
}

// adapterMemory returns the memory in MB that an engine's adapters may take at most.
func (p *Planner) adapterMemory() float64 {
	largest := 0.0
	for i := range p.Spec.Models {
		if m := &p.Spec.Models[i]; m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(p.Spec.AdapterSlots)
}

// loadTime returns how long a load of the model takes on the engine, and whether the weights come from the weight
// store.
func (e *Engine) loadTime(m *topo.Model) (time.Duration, bool) {
	switch {
	case slices.Contains(e.InRAM, m.Name):
		return m.RAMLoadTime, false
	case slices.Contains(e.OnDisk, m.Name):
		return m.DiskLoadTime, false
	}
	return m.LoadTime, true
}

// targetFor returns the planning state of the model, or nil if the spec does not list it.
func targetFor(targets []*target, model string) *target {
	for _, t := range targets {
		if t.model.Name == model {
			return t
		}
	}
	return nil
}
