package plan

import (
	"math"
	"sort"
	"time"
)

const (
	defaultMaxMoves = 8
	defaultCoolDown = time.Minute
	// defaultEngineTokensPerS stands for an engine's capacity until a higher figure has been seen.
	defaultEngineTokensPerS = 1000
	// smoothing is the time constant of the demand average; shorter swings cause no moves.
	smoothing = time.Minute
	// targetUse is the share of an engine's capacity that one item is planned to use, so that bursts find room.
	targetUse = 0.7
	// risingFactor plans for demand that is still growing while a load takes its time.
	risingFactor = 1.5
	// longWaitMS is a wait in the queue that asks for one more copy.
	longWaitMS = 500
	// loadStep is the share of an engine's capacity by which loads have to differ to matter for the choice.
	loadStep = 0.2
	// imbalance is the ratio of an engine's expected load to the mean above which a copy elsewhere is worth a load.
	imbalance = 1.5
)

type (
	// Planner decides placement for one pool; the zero value uses the defaults, and it belongs to one goroutine.
	Planner struct {
		// MaxActions bounds the loads in flight of the pool, and the moves of one plan; 0 means 8.
		MaxActions int
		// CoolDown is the least time between a load and an unload of an item for demand alone; 0 means 1 min.
		CoolDown time.Duration

		usage   map[string]*usage
		since   map[copyKey]time.Time
		moved   map[string]time.Time
		peak    float64
		planned time.Time
	}

	usage struct {
		tokens float64
		level  float64
	}

	copyKey struct{ engine, item string }
)

// Plan returns the moves to begin now, most urgent first; the same inputs in the same order give the same moves.
// Moves that are not begun are planned again by the next call.
func (p *Planner) Plan(now time.Time, in Input) []Action {
	p.init()
	p.observe(now, in)
	b := newBoard(p, now, in)
	b.repair()
	b.spread()
	b.retire()
	b.follow()
	b.balance()
	p.planned = now
	for _, m := range b.moves {
		if m.Urgency == UrgencyDemand && !m.Unload {
			p.moved[m.Item] = now
		}
	}
	return b.moves
}

func (p *Planner) init() {
	if p.MaxActions == 0 {
		p.MaxActions = defaultMaxMoves
	}
	if p.CoolDown == 0 {
		p.CoolDown = defaultCoolDown
	}
	if p.usage == nil {
		p.usage = make(map[string]*usage)
		p.since = make(map[copyKey]time.Time)
		p.moved = make(map[string]time.Time)
		p.peak = defaultEngineTokensPerS
	}
}

// observe smooths demand, and notes since when each copy has been placed.
func (p *Planner) observe(now time.Time, in Input) {
	keep := 0.0
	if !p.planned.IsZero() {
		keep = math.Exp(-now.Sub(p.planned).Seconds() / smoothing.Seconds())
	}
	for _, u := range p.usage {
		u.level *= keep
		u.tokens = 0
	}
	for _, d := range in.Demand {
		u := p.usage[d.Item]
		if u == nil {
			u = new(usage)
			p.usage[d.Item] = u
		}
		u.tokens = d.TokensPerS
		u.level += (1 - keep) * d.TokensPerS
	}
	for item, u := range p.usage {
		if u.level < 1e-3 && u.tokens == 0 {
			delete(p.usage, item)
		}
	}
	p.observeCopies(now, in)
	for item, at := range p.moved {
		if now.Sub(at) > p.CoolDown {
			delete(p.moved, item)
		}
	}
}

func (p *Planner) observeCopies(now time.Time, in Input) {
	seen := make(map[copyKey]time.Time, len(p.since))
	for i := range in.Engines {
		e := &in.Engines[i]
		p.peak = max(p.peak, e.State.TokensPerS)
		for _, c := range e.Replicas {
			k := copyKey{e.State.Name, c.Item}
			at, ok := p.since[k]
			if !ok {
				at = now
			}
			seen[k] = at
		}
	}
	p.since = seen
}

// level returns the tokens per second to plan for: the average, or more while demand is rising.
func (p *Planner) level(item string, rising bool) float64 {
	u := p.usage[item]
	if u == nil {
		return 0
	}
	if rising {
		return max(u.level, u.tokens*risingFactor)
	}
	return u.level
}

// sortBy orders in place by the given keys, each returning a negative number when a goes first.
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
