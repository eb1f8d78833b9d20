package warm

import (
	"math"
	"time"

	"github.com/figreel/figreel/internal/plan"
)

const (
	// defaultReserveMB stays free on each engine for the adapters of new models.
	defaultReserveMB = 1500
	// horizon averages demand over several swings, so that a copy is there before the next one.
	horizon = 90 * time.Second
	// maxModelLoads leaves most of the weight store's loads at once to placement itself.
	maxModelLoads = 2
	// CoolDown is the pause of the base planner between further copies of an item; its own default of a minute is
	// longer than a swing, and 10 s unloads copies that the next swing needs.
	CoolDown = 30 * time.Second

	// maxAdapterLoads bounds the adapters that one pool has in transit.
	maxAdapterLoads = 8
	// adaptersPerS bounds the key-value writes for spare adapters: each load takes 1.5 writes, so that 40 pools that
	// fill up together make 240 writes/s of the several hundred that the service takes.
	adaptersPerS = 4
	// baseLevel in tokens per second spreads spare copies evenly while nothing is known of demand.
	baseLevel = 5.0

	reasonAhead = "ahead"
)

type (
	// Planner adds loads into free memory to the moves of Base; it belongs to one goroutine.
	Planner struct {
		Base plan.Planner
		// ReserveMB stays free on each engine; 0 means 1500.
		ReserveMB int

		levels map[string]float64
		at     time.Time
		// tokens are the spare adapters that may be loaded now.
		tokens float64
	}

	engine struct {
		room   *plan.Engine
		free   int
		load   float64
		copies map[string]*plan.Replica
	}

	model struct {
		item   string
		memory int
		level  float64
		copies int
	}
)

// Plan returns the moves of Base and further loads of models and adapters where memory and loads are idle.
func (p *Planner) Plan(now time.Time, in plan.Input) []plan.Action {
	p.observe(now, in)
	moves := p.Base.Plan(now, in)
	engines := survey(in, moves)
	moves = append(moves, p.adapters(in, engines)...)
	if m, ok := p.model(in, engines); ok {
		moves = append(moves, m)
	}
	return moves
}

func (p *Planner) observe(now time.Time, in plan.Input) {
	if p.levels == nil {
		p.levels = make(map[string]float64)
		p.at = now
	}
	keep := math.Exp(-now.Sub(p.at).Seconds() / horizon.Seconds())
	p.tokens = min(p.tokens+now.Sub(p.at).Seconds()*adaptersPerS, maxAdapterLoads)
	p.at = now
	for _, d := range in.Demand {
		p.levels[d.Item] = p.levels[d.Item]*keep + (1-keep)*d.TokensPerS
	}
}

// survey lists the engines that can take loads, with the moves already planned counted as done.
func survey(in plan.Input, moves []plan.Action) []*engine {
	var out []*engine
	byName := make(map[string]*engine, len(in.Engines))
	for i := range in.Engines {
		r := &in.Engines[i]
		if !r.State.Up || r.State.Leaving {
			continue
		}
		e := &engine{room: r, free: r.UsableMB - r.ReservedMB, copies: make(map[string]*plan.Replica, len(r.Replicas))}
		for j := range r.Replicas {
			e.copies[r.Replicas[j].Item] = &r.Replicas[j]
		}
		out = append(out, e)
		byName[r.State.Name] = e
	}
	for _, m := range moves {
		e := byName[m.Engine]
		if e == nil {
			continue
		}
		if m.Unload {
			e.copies[m.Item] = &plan.Replica{Item: m.Item, Unloading: true}
			continue
		}
		e.free -= m.MemoryMB
		e.copies[m.Item] = &plan.Replica{Item: m.Item, Adapter: m.Adapter, MemoryMB: m.MemoryMB}
	}
	return out
}

// adapters loads every adapter of a model beside each of the model's copies, because that takes milliseconds.
func (p *Planner) adapters(in plan.Input, engines []*engine) []plan.Action {
	coming := loading(engines, true)
	models := make(map[string]string, len(in.Models))
	for _, m := range in.Models {
		models[m.Name] = m.Item()
	}
	var out []plan.Action
	for _, a := range in.Adapters {
		base := models[a.Model]
		for _, e := range engines {
			on := e.copies[base]
			if coming+len(out) >= maxAdapterLoads || p.tokens < 1 {
				return out
			}
			if on == nil || !on.Ready || on.Unloading || e.copies[a.Item()] != nil || e.free < a.MemoryMB {
				continue
			}
			p.tokens--
			e.free -= a.MemoryMB
			out = append(out, plan.Action{
				Engine: e.room.State.Name, Item: a.Item(), Model: base, Adapter: true, MemoryMB: a.MemoryMB,
				Urgency: plan.UrgencyDemand, Reason: reasonAhead,
			})
		}
	}
	return out
}

// model returns one load of the model that has the highest demand per copy, while few other loads are under way.
func (p *Planner) model(in plan.Input, engines []*engine) (plan.Action, bool) {
	if loading(engines, false) >= maxModelLoads {
		return plan.Action{}, false
	}
	reserve := p.ReserveMB
	if reserve == 0 {
		reserve = defaultReserveMB
	}
	var best *model
	var at *engine
	for _, m := range p.count(in, engines) {
		if best != nil && m.perCopy() <= best.perCopy() {
			continue
		}
		if e := roomiest(engines, m, reserve); e != nil {
			best, at = m, e
		}
	}
	if best == nil {
		return plan.Action{}, false
	}
	return plan.Action{
		Engine: at.room.State.Name, Item: best.item, Model: best.item, MemoryMB: best.memory,
		Urgency: plan.UrgencyDemand, Reason: reasonAhead,
	}, true
}

// loading counts the copies under way.
func loading(engines []*engine, adapters bool) int {
	n := 0
	for _, e := range engines {
		for _, c := range e.copies {
			if c.Adapter == adapters && !c.Ready && !c.Unloading {
				n++
			}
		}
	}
	return n
}

// count returns the models with their copies, and adds their demand to the engines that hold them.
func (p *Planner) count(in plan.Input, engines []*engine) []*model {
	out := make([]*model, 0, len(in.Models))
	for _, v := range in.Models {
		m := &model{item: v.Item(), memory: v.MemoryMB, level: p.levels[v.Item()] + baseLevel}
		for _, e := range engines {
			if c := e.copies[m.item]; c != nil && !c.Unloading {
				m.copies++
			}
		}
		for _, e := range engines {
			if c := e.copies[m.item]; c != nil && !c.Unloading {
				e.load += m.perCopy()
			}
		}
		out = append(out, m)
	}
	return out
}

func (m *model) perCopy() float64 { return m.level / float64(max(m.copies, 1)) }

// roomiest returns the least loaded engine that can take the model.
func roomiest(engines []*engine, m *model, reserve int) *engine {
	var best *engine
	for _, e := range engines {
		if e.copies[m.item] != nil || e.free < m.memory+reserve {
			continue
		}
		if best == nil || e.load < best.load {
			best = e
		}
	}
	return best
}
