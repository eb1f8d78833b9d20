package replay

import (
	"math"

	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// binMS is the length of a time bin of the linear program.
	binMS = 250.0
	// oracleRounds is the number of subgradient rounds; more rounds can only lower the bound.
	oracleRounds = 300
)

// minWork is a lower bound on the work of a call in engine-milliseconds, for the first token and for the rest, and the
// range of time bins in which the work must be done for the call to meet its targets.
type minWork struct {
	firstToken, rest     float64
	from, firstTokenTill int
	till                 int
}

// Oracle returns an upper bound on the number of calls, among those that count accepts, that any scheduler can serve
// within their targets.
//
// It relaxes the problem: all models are resident on every engine, prefixes are always cached, calls that count rejects
// need no work, a call may be split over engines and served in part, and each token costs only its share of a full
// batch. What remains is a linear program over time bins: the work for a call's first token must be done within the
// target for the time to first token, the rest within the longest total time that meets the targets, and a bin offers
// the time of the engines that are up, scaled by their speed. By weak duality, any non-negative vector of prices (one
// for each bin) gives an upper bound on that program. The result is the lowest bound over the rounds of a subgradient
// descent on the prices, so it is never below what a real schedule can reach.
func Oracle(workload *trace.Workload, calls []trace.Call, count func(trace.Call) bool) float64 {
	sum := 0.0
	for _, p := range workload.Pools {
		var work []minWork
		last := 0
		for _, c := range calls {
			if c.Pool == p.Name && count(c) {
				w := minWorkOf(workload, p, c)
				work = append(work, w)
				last = max(last, w.till)
			}
		}
		sum += upperBound(work, capacity(workload, p, last+1))
	}
	return sum
}

// minWorkOf returns the least work of a call, with the per-iteration cost shared by a full batch.
func minWorkOf(workload *trace.Workload, p trace.PoolWorkload, c trace.Call) minWork {
	perToken := workload.Engine.BaseMS/float64(p.MaxSeqs) + workload.Engine.PerSeqMS
	prompt := float64(max(c.PromptTokens-c.PrefixTokens, 1))
	first, total := targets(classOf(workload.Classes, c.Class), &c)
	return minWork{
		firstToken: prompt*workload.Engine.PerPromptTokenMS + perToken,
		rest:       float64(c.OutputTokens-1) * perToken,
		from:       int(c.AtMS / binMS), firstTokenTill: int((c.AtMS + first) / binMS),
		till: int((c.AtMS + total) / binMS),
	}
}

// capacity returns the engine-milliseconds that the pool offers in each time bin.
func capacity(workload *trace.Workload, p trace.PoolWorkload, bins int) []float64 {
	out := make([]float64, bins)
	for b := range out {
		at := float64(b) * binMS
		for e := range p.Engines {
			speed := 1.0
			for _, ev := range workload.Events {
				if ev.Pool != p.Name || ev.Engine != e || at+binMS <= ev.AtS*1000 || at >= (ev.AtS+ev.DurationS)*1000 {
					continue
				}
				// A bin that the event covers only in part counts at full speed, so that the result stays an upper
				// bound.
				if at >= ev.AtS*1000 && at+binMS <= (ev.AtS+ev.DurationS)*1000 {
					speed = min(speed, slowSpeed(ev.Factor))
				}
			}
			out[b] += binMS * speed
		}
	}
	return out
}

func slowSpeed(factor float64) float64 {
	if factor <= 0 {
		return 0
	}
	return 1 / factor
}

// upperBound returns the lowest dual bound on the number of served calls; offer is the capacity of each bin.
func upperBound(work []minWork, offer []float64) float64 {
	price := make([]float64, len(offer))
	use := make([]float64, len(offer))
	best := float64(len(work))
	stepScale := 0.0
	for _, w := range work {
		stepScale += w.firstToken + w.rest
	}
	if len(work) > 0 {
		stepScale = float64(len(work)) / stepScale
	}
	for round := range oracleRounds {
		value := 0.0
		for b := range use {
			use[b] = 0
			value += price[b] * offer[b]
		}
		for _, w := range work {
			f, r := cheapest(price, use, w.from, w.firstTokenTill), cheapest(price, use, w.from, w.till)
			if gain := 1 - w.firstToken*price[f] - w.rest*price[r]; gain > 0 {
				value += gain
				use[f] += w.firstToken
				use[r] += w.rest
			}
		}
		best = min(best, value)
		// The step shrinks with the square root of the round, so that the prices converge.
		step := stepScale * 0.3 / math.Sqrt(float64(round+1))
		for b := range price {
			over := (use[b] - offer[b]) / max(offer[b], binMS)
			price[b] = max(0, price[b]+step*min(max(over, -2), 2))
		}
	}
	return best
}

// cheapest returns the bin with the lowest price, and the least used one among bins of equal price.
func cheapest(price, use []float64, from, till int) int {
	best := from
	for b := from + 1; b <= till; b++ {
		if price[b] < price[best] || price[b] == price[best] && use[b] < use[best] {
			best = b
		}
	}
	return best
}

func classOf(list []envdoc.Class, name string) envdoc.Class {
	for _, c := range list {
		if c.Name == name {
			return c
		}
	}
	return envdoc.Class{}
}

// targets returns the longest time to first token and total time in milliseconds with which a call meets its targets.
func targets(cl envdoc.Class, c *trace.Call) (first, total float64) {
	total = float64(c.DeadlineMS) + drainMS
	if cl.TotalMS > 0 {
		total = float64(cl.TotalMS)
	}
	first = total
	if cl.FirstTokenMS > 0 {
		first = min(first, float64(cl.FirstTokenMS))
	}
	if cl.PerTokenMS > 0 {
		total = min(total, first+float64(cl.PerTokenMS*max(c.OutputTokens-1, 0)))
	}
	return first, total
}

// attained reports whether a completed call met the targets of its class. The time per token is the mean over the
// tokens after the first.
func attained(cl envdoc.Class, c *trace.Call, firstMS, totalMS float64) bool {
	first, total := targets(cl, c)
	if firstMS > first || cl.TotalMS > 0 && totalMS > float64(cl.TotalMS) {
		return false
	}
	decode := float64(cl.PerTokenMS * max(c.OutputTokens-1, 1))
	return totalMS <= total && (cl.PerTokenMS <= 0 || totalMS-firstMS <= decode)
}
