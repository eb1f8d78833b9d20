package plan

import (
	"math"
	"sort"
	"time"
)

const (
	defaultMaxActions = 8
	defaultCoolDown   = time.Minute
	// defaultEngineTokensPerS is the assumed capacity of an engine until one reports a higher rate.
	defaultEngineTokensPerS = 1000
	// smoothing is the time constant of the demand average; shorter changes of demand cause no actions.
	smoothing = time.Minute
	// targetUtilization is the share of an engine's capacity that one item is planned to use; the rest absorbs bursts.
	targetUtilization = 0.7
	// risingFactor scales rising demand, because it grows further until a load is complete.
	risingFactor = 1.5
	// longWaitMS is the queueing time above which one more replica is planned.
	longWaitMS = 500
	// loadGranularity is the share of an engine's capacity by which loads must differ to affect the choice of engine.
	loadGranularity = 0.2
	// maxImbalance is the ratio of an engine's load to the mean above which a replica on another engine is planned.
	maxImbalance = 1.5
)

type (
	// Planner decides placement for one pool. The zero value uses the defaults. It is not safe for concurrent use.
	Planner struct {
		// MaxActions limits the loads in flight of the pool, and the actions of one plan; 0 means 8.
		MaxActions int
		// CoolDown is the minimum time between loads of an item for demand, and between its load and an unload that
		// makes space for other demand; 0 means 1 min.
		CoolDown time.Duration

		demand         map[string]*itemDemand
		replicaSince   map[replicaKey]time.Time
		lastDemandLoad map[string]time.Time
		peakTokensPerS float64
		lastPlan       time.Time
	}

	// itemDemand holds the current and the average demand of an item in tokens per second.
	itemDemand struct {
		current  float64
		smoothed float64
	}

	replicaKey struct{ engine, item string }
)

// Plan returns the actions to start now, most urgent first. Equal sequences of inputs give equal actions.
// Actions that are not started are planned again by the next call.
func (p *Planner) Plan(now time.Time, in Input) []Action {
	p.init()
	p.observe(now, in)
	d := newDraft(p, now, in)
	d.repair()
	d.spread()
	d.unloadObsolete()
	d.scaleUp()
	d.balance()
	p.lastPlan = now
	for _, a := range d.actions {
		if a.Urgency == UrgencyDemand && !a.Unload {
			p.lastDemandLoad[a.Item] = now
		}
	}
	return d.actions
}

func (p *Planner) init() {
	if p.MaxActions == 0 {
		p.MaxActions = defaultMaxActions
	}
	if p.CoolDown == 0 {
		p.CoolDown = defaultCoolDown
	}
	if p.demand == nil {
		p.demand = make(map[string]*itemDemand)
		p.replicaSince = make(map[replicaKey]time.Time)
		p.lastDemandLoad = make(map[string]time.Time)
		p.peakTokensPerS = defaultEngineTokensPerS
	}
}

// observe updates the average demand, and records since when each engine has had each replica.
func (p *Planner) observe(now time.Time, in Input) {
	keep := 0.0
	if !p.lastPlan.IsZero() {
		keep = math.Exp(-now.Sub(p.lastPlan).Seconds() / smoothing.Seconds())
	}
	for _, dem := range p.demand {
		dem.smoothed *= keep
		dem.current = 0
	}
	for _, d := range in.Demand {
		dem := p.demand[d.Item]
		if dem == nil {
			dem = new(itemDemand)
			p.demand[d.Item] = dem
		}
		dem.current = d.TokensPerS
		dem.smoothed += (1 - keep) * d.TokensPerS
	}
	for item, dem := range p.demand {
		if dem.smoothed < 1e-3 && dem.current == 0 {
			delete(p.demand, item)
		}
	}
	p.observeReplicas(now, in)
	for item, at := range p.lastDemandLoad {
		if now.Sub(at) > p.CoolDown {
			delete(p.lastDemandLoad, item)
		}
	}
}

func (p *Planner) observeReplicas(now time.Time, in Input) {
	since := make(map[replicaKey]time.Time, len(p.replicaSince))
	for i := range in.Engines {
		e := &in.Engines[i]
		p.peakTokensPerS = max(p.peakTokensPerS, e.State.TokensPerS)
		for _, r := range e.Replicas {
			k := replicaKey{e.State.Name, r.Item}
			at, ok := p.replicaSince[k]
			if !ok {
				at = now
			}
			since[k] = at
		}
	}
	p.replicaSince = since
}

// plannedTokensPerS returns the demand to plan for: the average, or a multiple of the current one if that is higher and
// demand is rising.
func (p *Planner) plannedTokensPerS(item string, rising bool) float64 {
	dem := p.demand[item]
	if dem == nil {
		return 0
	}
	if rising {
		return max(dem.smoothed, dem.current*risingFactor)
	}
	return dem.smoothed
}

// sortBy sorts the list in place and stably. Each key compares two elements like cmp.Compare; later keys break ties.
func sortBy[T any](list []T, keys ...func(a, b T) int) {
	sort.SliceStable(list, func(i, j int) bool {
		for _, key := range keys {
			if c := key(list[i], list[j]); c != 0 {
				return c < 0
			}
		}
		return false
	})
}
