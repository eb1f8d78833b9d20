package warm

import (
	"math"
	"time"

	"github.com/figreel/figreel/internal/plan"
)

const (
	// defaultReserveMB is kept free on each engine for the adapters of new models.
	defaultReserveMB = 1500
	// smoothing is the time constant of the demand average; it spans several bursts, so that a replica is loaded before
	// the next one.
	smoothing = 90 * time.Second
	// maxModelLoads is the number of model loads in progress from which no spare replica is loaded; most of the weight
	// store's concurrent loads stay available to the base planner.
	maxModelLoads = 2
	// CoolDown is the cooldown to set in the base planner. Its default of 1 min is longer than a burst; with 10 s,
	// replicas that the next burst needs are unloaded.
	CoolDown = 30 * time.Second

	// maxAdapterLoads limits the concurrent adapter loads of one pool.
	maxAdapterLoads = 8
	// adaptersPerS limits the key-value writes for spare adapters: each load takes 1.5 writes, so 40 pools that fill up
	// at the same time make 240 writes/s, and the key-value service accepts several hundred.
	adaptersPerS = 4
	// baseDemand in tokens per second is added to each model's demand, so that spare replicas are spread evenly over
	// the models while no demand is known.
	baseDemand = 5.0

	reasonPrewarm = "ahead"
)

type (
	// Planner adds loads into free memory to the actions of Base. It is not safe for concurrent use.
	Planner struct {
		Base plan.Planner
		// ReserveMB is kept free on each engine when a spare model is loaded; 0 means 1500.
		ReserveMB int

		// smoothed is the average demand of each item in tokens per second.
		smoothed map[string]float64
		updated  time.Time
		// adapterTokens is the number of spare adapters that may be loaded now.
		adapterTokens float64
	}

	// engineDraft is an engine with the actions planned so far.
	engineDraft struct {
		engine     *plan.Engine
		freeMB     int
		tokensPerS float64
		replicas   map[string]*plan.Replica
	}

	// modelDemand is a model with its demand and its number of replicas.
	modelDemand struct {
		item       string
		memoryMB   int
		tokensPerS float64
		replicas   int
	}
)

// Plan returns the actions of Base, and loads of spare models and adapters where memory and the weight store's load
// limits leave capacity.
func (p *Planner) Plan(now time.Time, in plan.Input) []plan.Action {
	p.observe(now, in)
	actions := p.Base.Plan(now, in)
	engines := draftEngines(in, actions)
	actions = append(actions, p.prewarmAdapters(in, engines)...)
	if a, ok := p.prewarmModel(in, engines); ok {
		actions = append(actions, a)
	}
	return actions
}

// observe updates the average demand and refills adapterTokens.
func (p *Planner) observe(now time.Time, in plan.Input) {
	if p.smoothed == nil {
		p.smoothed = make(map[string]float64)
		p.updated = now
	}
	keep := math.Exp(-now.Sub(p.updated).Seconds() / smoothing.Seconds())
	p.adapterTokens = min(p.adapterTokens+now.Sub(p.updated).Seconds()*adaptersPerS, maxAdapterLoads)
	p.updated = now
	for _, d := range in.Demand {
		p.smoothed[d.Item] = p.smoothed[d.Item]*keep + (1-keep)*d.TokensPerS
	}
}

// draftEngines returns the engines that can take loads, with the planned actions applied. The memory of planned unloads
// does not count as free yet.
func draftEngines(in plan.Input, actions []plan.Action) []*engineDraft {
	var out []*engineDraft
	byName := make(map[string]*engineDraft, len(in.Engines))
	for i := range in.Engines {
		engine := &in.Engines[i]
		if !engine.State.Up || engine.State.Leaving {
			continue
		}
		e := &engineDraft{
			engine: engine, freeMB: engine.UsableMB - engine.ReservedMB,
			replicas: make(map[string]*plan.Replica, len(engine.Replicas)),
		}
		for j := range engine.Replicas {
			e.replicas[engine.Replicas[j].Item] = &engine.Replicas[j]
		}
		out = append(out, e)
		byName[engine.State.Name] = e
	}
	for _, a := range actions {
		e := byName[a.Engine]
		if e == nil {
			continue
		}
		if a.Unload {
			e.replicas[a.Item] = &plan.Replica{Item: a.Item, Unloading: true}
			continue
		}
		e.freeMB -= a.MemoryMB
		e.replicas[a.Item] = &plan.Replica{Item: a.Item, Adapter: a.Adapter, MemoryMB: a.MemoryMB}
	}
	return out
}

// prewarmAdapters plans loads of every adapter on every engine with a ready replica of its model. An adapter load takes
// only milliseconds, so adapters are loaded even without demand.
func (p *Planner) prewarmAdapters(in plan.Input, engines []*engineDraft) []plan.Action {
	loading := countLoading(engines, true)
	models := make(map[string]string, len(in.Models))
	for _, m := range in.Models {
		models[m.Name] = m.Item()
	}
	var out []plan.Action
	for _, a := range in.Adapters {
		base := models[a.Model]
		for _, e := range engines {
			model := e.replicas[base]
			if loading+len(out) >= maxAdapterLoads || p.adapterTokens < 1 {
				return out
			}
			if model == nil || !model.Ready || model.Unloading || e.replicas[a.Item()] != nil || e.freeMB < a.MemoryMB {
				continue
			}
			p.adapterTokens--
			e.freeMB -= a.MemoryMB
			out = append(out, plan.Action{
				Engine: e.engine.State.Name, Item: a.Item(), Model: base, Adapter: true, MemoryMB: a.MemoryMB,
				Urgency: plan.UrgencyDemand, Reason: reasonPrewarm,
			})
		}
	}
	return out
}

// prewarmModel returns a load of the model with the highest demand per replica that fits on an engine, unless
// maxModelLoads models are loading already.
func (p *Planner) prewarmModel(in plan.Input, engines []*engineDraft) (plan.Action, bool) {
	if countLoading(engines, false) >= maxModelLoads {
		return plan.Action{}, false
	}
	reserve := p.ReserveMB
	if reserve == 0 {
		reserve = defaultReserveMB
	}
	var best *modelDemand
	var dst *engineDraft
	for _, m := range p.modelDemands(in, engines) {
		if best != nil && m.perReplica() <= best.perReplica() {
			continue
		}
		if e := leastLoaded(engines, m, reserve); e != nil {
			best, dst = m, e
		}
	}
	if best == nil {
		return plan.Action{}, false
	}
	return plan.Action{
		Engine: dst.engine.State.Name, Item: best.item, Model: best.item, MemoryMB: best.memoryMB,
		Urgency: plan.UrgencyDemand, Reason: reasonPrewarm,
	}, true
}

// countLoading counts the adapters or the models that are being loaded.
func countLoading(engines []*engineDraft, adapters bool) int {
	n := 0
	for _, e := range engines {
		for _, r := range e.replicas {
			if r.Adapter == adapters && !r.Ready && !r.Unloading {
				n++
			}
		}
	}
	return n
}

// modelDemands returns the models with their demand and replicas, and adds the demand to the engines that hold them.
func (p *Planner) modelDemands(in plan.Input, engines []*engineDraft) []*modelDemand {
	out := make([]*modelDemand, 0, len(in.Models))
	for _, v := range in.Models {
		m := &modelDemand{item: v.Item(), memoryMB: v.MemoryMB, tokensPerS: p.smoothed[v.Item()] + baseDemand}
		for _, e := range engines {
			if r := e.replicas[m.item]; r != nil && !r.Unloading {
				m.replicas++
			}
		}
		for _, e := range engines {
			if r := e.replicas[m.item]; r != nil && !r.Unloading {
				e.tokensPerS += m.perReplica()
			}
		}
		out = append(out, m)
	}
	return out
}

func (m *modelDemand) perReplica() float64 { return m.tokensPerS / float64(max(m.replicas, 1)) }

// leastLoaded returns the least loaded engine that lacks the model and has memory for it beside the reserve, or nil.
func leastLoaded(engines []*engineDraft, m *modelDemand, reserve int) *engineDraft {
	var best *engineDraft
	for _, e := range engines {
		if e.replicas[m.item] != nil || e.freeMB < m.memoryMB+reserve {
			continue
		}
		if best == nil || e.tokensPerS < best.tokensPerS {
			best = e
		}
	}
	return best
}
