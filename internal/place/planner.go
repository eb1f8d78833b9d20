package place

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// targetLoad is the highest load that one replica of a model should carry, as a share of the engine's time.
	targetLoad = 0.1
	// idleLoad is the offered load below which a model counts as unused.
	idleLoad = 0.01
	// victimPenalty weighs the victim's load in the choice of an engine: a load of 1 counts as this much load time.
	victimPenalty = 10 * time.Second
	// speedPenalty weighs the speed of an engine in its choice for a model with a load of 1 or more: twice the time of
	// the work on an engine of usual speed counts as this much load time.
	speedPenalty = 2 * time.Second
	// minSpeed bounds how much the speed of an engine counts, and its inverse likewise.
	minSpeed = 0.25
	// joinGracePeriod is how long unused models without a replica are not loaded after an engine has joined. Live
	// engines need about two seconds to register after their start or after an outage of the store.
	joinGracePeriod = 2500 * time.Millisecond
)

type (
	// Engine is the state of one engine as input of a plan.
	Engine struct {
		ID        string
		Software  string         // version of its software
		Resident  []string       // resident models
		Loading   string         // model that is being loaded, or empty
		Unloading string         // model that is being unloaded, or empty
		Busy      bool           // accepts no order now
		Calls     map[string]int // open tickets by model
		InRAM     []string       // models whose weights are in the memory of the machine
		OnDisk    []string       // models whose weights are on the disk of the machine
		Backlog   time.Duration  // prefill backlog
		Speed     float64        // as a multiple of the usual one; 0 means usual
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

		bucket        tokenBucket              // loads from the weight store that may start now
		residentSince map[replicaKey]time.Time // when a replica was first seen
		knownEngines  map[string]bool          // engines of the last plan
		lastJoin      time.Time                // when a new engine was last seen
		// reservedFor maps an engine that is unloading a model to the model that will be loaded instead.
		reservedFor map[string]string
		// unservedSince is when a model without a replica first had waiting calls.
		unservedSince map[string]time.Time
		// versionUnservedSince is the same for models that calls need at a software version.
		versionUnservedSince map[versionKey]time.Time
	}

	replicaKey struct{ engine, model string }

	versionKey struct{ model, software string }

	// round is the state of one plan.
	round struct {
		*Planner
		now     time.Time
		targets map[string]*target
		sites   []*site            // engines that may get an order
		cached  map[string][]*site // the engines among them that have a model's weights in memory or on disk, by model
		failed  map[class]failure
	}

	// site is an engine that may get an order, with what the plan needs to know of it.
	site struct {
		*Engine
		residents []resident
		usedMB    float64 // memory of the resident models and of the adapters at most
		ordered   bool    // the plan has an order for the engine
	}

	// resident is a replica on a site.
	resident struct {
		*target
		age   time.Duration
		calls int // open tickets
	}

	// failure is the search for an engine that failed for the first model of a class. It fails for every other model of
	// that class with no higher claim and no less memory, except on engines that were not searched.
	failure struct {
		claim    float64
		memoryMB float64
		skipped  []*site // engines that hold the model of the failed search
	}
)

// Plan returns at most one order for each engine.
func (p *Planner) Plan(now time.Time, engines []Engine, demand map[string]sched.ModelDemand) []Order {
	p.bucket.refill(now, p.Spec.LoadsPerS)
	p.trackEngines(now, engines)
	p.trackReplicas(now, engines)
	p.clearReservations(engines)
	r := &round{Planner: p, now: now, targets: p.newTargets(now, engines, demand), failed: make(map[class]failure)}
	r.addSites(engines)
	queue := make(targetQueue, 0, len(r.targets))
	queue = append(queue, p.versionTargets(now, engines, demand, r.targets)...)
	for _, t := range r.targets {
		if r.wantsReplica(t) {
			queue = append(queue, t)
		}
	}
	heap.Init(&queue)
	var out []Order
	for len(queue) > 0 {
		t := queue[0]
		o, ok := r.addReplica(t)
		if ok {
			out = append(out, o)
		}
		if ok && r.wantsReplica(t) {
			heap.Fix(&queue, 0)
			continue
		}
		heap.Pop(&queue)
	}
	return out
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

// addSites collects the engines that may get an order.
func (r *round) addSites(engines []Engine) {
	adapterMB := r.adapterMemory()
	r.cached = make(map[string][]*site)
	for i := range engines {
		e := &engines[i]
		if e.Busy || e.Loading != "" || e.Unloading != "" {
			continue
		}
		s := &site{Engine: e, usedMB: adapterMB, residents: make([]resident, 0, len(e.Resident))}
		for _, name := range e.Resident {
			if t := r.targets[name]; t != nil {
				age := r.now.Sub(r.residentSince[replicaKey{e.ID, name}])
				s.residents = append(s.residents, resident{t, age, e.Calls[name]})
				s.usedMB += t.model.MemoryMB
			}
		}
		r.sites = append(r.sites, s)
		for _, name := range e.InRAM {
			r.cached[name] = append(r.cached[name], s)
		}
		for _, name := range e.OnDisk {
			if !slices.Contains(e.InRAM, name) {
				r.cached[name] = append(r.cached[name], s)
			}
		}
	}
}

// wantsReplica reports whether the model should get a further replica now.
func (r *round) wantsReplica(t *target) bool {
	if t.replicas > 0 {
		return t.priority() >= targetLoad
	}
	// A model without demand may be resident on an engine that has not registered yet.
	return t.unserved || t.load >= idleLoad || r.now.Sub(r.lastJoin) >= joinGracePeriod
}

// addReplica returns the order for a further replica of the model on the engine with the lowest cost: the sum of load
// time, prefill backlog, weighted victim load and slowness. If the memory does not suffice, the order unloads a victim
// instead.
func (r *round) addReplica(t *target) (Order, bool) {
	best, ev := r.bestSite(t)
	if best == nil {
		return Order{}, false
	}
	best.ordered = true
	t.add(best.speed())
	if v := ev.victim; v != nil {
		v.replicas--
		v.capacity -= best.speed()
		// Count the replica from the start of the unload; otherwise every engine would evict a model for it.
		r.reservedFor[best.ID] = t.model.Name
		return Order{Engine: best.ID, Model: v.model.Name, Unload: true}, true
	}
	if _, fromStore := best.loadTime(t.model); fromStore {
		r.bucket.take()
	}
	return Order{Engine: best.ID, Model: t.model.Name}, true
}

// bestSite returns the engine with the lowest cost for a further replica of the model, or nil if there is none.
func (r *round) bestSite(t *target) (best *site, bestEviction eviction) {
	if !r.bucket.available() {
		return r.cheapest(t, r.cached[t.model.Name])
	}
	if t.software != "" {
		return r.cheapest(t, r.sites)
	}
	f, failed := r.failed[t.class()]
	if failed && t.claim() <= f.claim && t.model.MemoryMB >= f.memoryMB {
		return r.cheapest(t, slices.Concat(r.cached[t.model.Name], f.skipped))
	}
	best, bestEviction = r.cheapest(t, r.sites)
	if best == nil {
		f = failure{claim: t.claim(), memoryMB: t.model.MemoryMB}
		for _, s := range r.sites {
			if slices.Contains(s.Resident, t.model.Name) {
				f.skipped = append(f.skipped, s)
			}
		}
		r.failed[t.class()] = f
	}
	return best, bestEviction
}

// cheapest returns the engine with the lowest cost among the given ones.
func (r *round) cheapest(t *target, sites []*site) (best *site, bestEviction eviction) {
	var bestCost time.Duration
	for _, s := range sites {
		if s.ordered || slices.Contains(s.Resident, t.model.Name) || t.software != "" && t.software != s.Software {
			continue
		}
		loadTime, _ := s.loadTime(t.model)
		ev, ok := r.evictFor(s, t, loadTime)
		if !ok {
			continue
		}
		cost := loadTime + s.Backlog + time.Duration(ev.victimLoad*float64(victimPenalty))
		cost += time.Duration(min(t.load, 1) * (1/s.speed() - 1) * float64(speedPenalty))
		if best == nil || cost < bestCost || cost == bestCost && s.ID < best.ID {
			best, bestEviction, bestCost = s, ev, cost
		}
	}
	return best, bestEviction
}

// speed returns the speed of the engine as a multiple of the usual one.
func (e *Engine) speed() float64 {
	if e.Speed <= 0 {
		return 1
	}
	return min(max(e.Speed, minSpeed), 1/minSpeed)
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

// targetQueue is a heap of targets with the most urgent one first.
type targetQueue []*target

func (q targetQueue) Len() int { return len(q) }

func (q targetQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[j].priority(), q[i].priority()), cmp.Compare(q[i].index, q[j].index)) < 0
}

func (q targetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *targetQueue) Push(x any) { *q = append(*q, x.(*target)) }

func (q *targetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
