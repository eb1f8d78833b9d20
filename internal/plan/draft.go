package plan

import (
	"cmp"
	"math"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/pool"
)

type (
	// engineDraft is an engine with the actions planned so far; freeMB excludes the memory of planned loads.
	engineDraft struct {
		engine *Engine
		freeMB int
		// freeingMB is occupied by replicas whose unload is planned or in progress.
		freeingMB int
		// tokensPerS is the demand that the engine is expected to serve.
		tokensPerS float64
		replicas   map[string]*Replica
		// reservedMB is free or freeing memory set aside for loads that wait for an unload.
		reservedMB int
	}

	// target is an item of the document with its demand and the number of replicas to plan for.
	target struct {
		item, name, model     string
		adapter               bool
		memoryMB, minReplicas int
		replicas              int
		tokensPerS            float64
		demand                pool.Demand
		// adaptersMB is the memory of all adapters of a model; the model is placed where they fit too, if possible.
		adaptersMB int
	}

	// draft is the working state of one plan.
	draft struct {
		planner       *Planner
		now           time.Time
		engines       []*engineDraft
		targets       []*target
		byItem        map[string]*target
		byName        map[string]*target
		actions       []Action
		loadsInFlight int
	}
)

func newDraft(p *Planner, now time.Time, in Input) *draft {
	d := &draft{planner: p, now: now, byItem: make(map[string]*target), byName: make(map[string]*target)}
	for i := range in.Engines {
		d.addEngine(&in.Engines[i])
	}
	sortBy(d.engines, func(x, y *engineDraft) int { return cmp.Compare(x.engine.State.Name, y.engine.State.Name) })
	d.addTargets(in)
	for _, dm := range in.Demand {
		if t := d.byItem[dm.Item]; t != nil {
			t.demand = dm
		}
	}
	for _, t := range d.targets {
		t.tokensPerS = p.plannedTokensPerS(t.item, t.demand.Rising)
		t.replicas = d.desiredReplicas(t)
	}
	d.distributeDemand()
	return d
}

func (d *draft) addEngine(engine *Engine) {
	e := &engineDraft{
		engine: engine, freeMB: engine.UsableMB - engine.ReservedMB,
		replicas: make(map[string]*Replica, len(engine.Replicas)),
	}
	for i := range engine.Replicas {
		r := &engine.Replicas[i]
		e.replicas[r.Item] = r
		if r.Unloading {
			e.freeingMB += r.MemoryMB
		}
		if !r.Unloading && !r.Ready && engine.State.Up {
			d.loadsInFlight++
		}
	}
	d.engines = append(d.engines, e)
}

func (d *draft) addTargets(in Input) {
	for _, m := range in.Models {
		d.addTarget(&target{item: m.Item(), name: m.Name, memoryMB: m.MemoryMB, minReplicas: max(1, m.MinCopies)})
	}
	models := make(map[string]*target, len(d.targets))
	for _, t := range d.targets {
		models[t.name] = t
	}
	for _, a := range in.Adapters {
		m := models[a.Model]
		if m == nil {
			continue
		}
		d.addTarget(&target{
			item: a.Item(), name: a.Name, model: m.item, adapter: true,
			memoryMB: a.MemoryMB, minReplicas: max(1, a.MinCopies),
		})
		m.minReplicas = max(m.minReplicas, a.MinCopies)
		m.adaptersMB += a.MemoryMB
	}
	sortBy(
		d.targets,
		func(x, y *target) int { return cmp.Compare(modelsFirst(x), modelsFirst(y)) },
		func(x, y *target) int { return cmp.Compare(y.memoryMB+y.adaptersMB, x.memoryMB+x.adaptersMB) },
		func(x, y *target) int { return cmp.Compare(x.item, y.item) },
	)
}

func (d *draft) addTarget(t *target) {
	d.targets = append(d.targets, t)
	d.byItem[t.item] = t
	d.byName[t.name] = t
}

// desiredReplicas returns how many replicas the demand requires: at least the minimum, at most one per usable engine.
func (d *draft) desiredReplicas(t *target) int {
	n := int(math.Ceil(t.tokensPerS / (targetUtilization * d.planner.peakTokensPerS)))
	if t.demand.Waiting > 0 && t.demand.OldestWaitMS > longWaitMS {
		n = max(n, len(d.enginesWith(t, isServing))+1)
	}
	return min(max(n, t.minReplicas), max(1, d.usableEngines()))
}

// usableEngines counts the engines that are up and not leaving.
func (d *draft) usableEngines() int {
	n := 0
	for _, e := range d.engines {
		if e.usable() {
			n++
		}
	}
	return n
}

// distributeDemand divides each item's tokens per second evenly among the engines that serve it.
func (d *draft) distributeDemand() {
	for _, t := range d.targets {
		engines := d.enginesWith(t, isServing)
		for _, e := range engines {
			e.tokensPerS += t.tokensPerS / float64(len(engines))
		}
	}
}

// enginesWith returns the engines that have a replica of t on the current model version for which ok is true.
func (d *draft) enginesWith(t *target, ok func(*engineDraft, *Replica) bool) []*engineDraft {
	var out []*engineDraft
	for _, e := range d.engines {
		if r := e.replicas[t.item]; r != nil && onCurrentModel(t, r) && ok(e, r) {
			out = append(out, e)
		}
	}
	return out
}

// onCurrentModel reports false for an adapter that was loaded onto an older version of its model. An unknown version
// counts as the current one.
func onCurrentModel(t *target, r *Replica) bool {
	return !t.adapter || r.Model == "" || r.Model == t.model
}

// isServing reports whether the replica can serve calls now, even if its engine is leaving.
func isServing(e *engineDraft, r *Replica) bool {
	return e.engine.State.Up && r.Ready && !r.Unloading
}

// isStable reports whether the replica serves and will stay: its engine is not leaving and no unload is in doubt.
func isStable(e *engineDraft, r *Replica) bool {
	return isServing(e, r) && !e.engine.State.Leaving && !r.InDoubt
}

// countsAsReplica reports whether the replica is ready or loading on a usable engine and is not being unloaded.
func countsAsReplica(e *engineDraft, r *Replica) bool {
	return e.usable() && !r.Unloading
}

func (e *engineDraft) usable() bool { return e.engine.State.Up && !e.engine.State.Leaving }

func (e *engineDraft) domain() string { return e.engine.State.FailureDomain }

// modelsFirst is a sort key that puts models before adapters.
func modelsFirst(t *target) int {
	if t.adapter {
		return 1
	}
	return 0
}

func baseName(item string) string {
	name, _, _ := strings.Cut(item, "@")
	return name
}

// domains counts the engines per failure domain.
func domains(engines []*engineDraft) map[string]int {
	out := make(map[string]int)
	for _, e := range engines {
		out[e.domain()]++
	}
	return out
}
