package replay

import (
	"math"

	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	binMS        = 250.0
	oracleRounds = 300
)

// demandOf is the least work of a call in engine-milliseconds, and the bins in which it must be done to count.
type leastWork struct {
	first, rest     float64
	from, firstTill int
	till            int
}

// Oracle returns an upper bound on how many of the calls that count accepts any scheduler can attain.
//
// It relaxes the problem: all models are resident everywhere, prefixes are always cached, no other call needs work,
// a call may be split over engines and served in part, and each token costs only its share of a full batch. What
// remains is a linear program over bins of time: a call's first token needs its work within the first-token target,
// the rest within the call's longest attained duration, and a bin offers the engines that are up, at their speed. By
// weak duality every vector of prices that is not negative bounds that program from above; the least bound over the
// rounds of a subgradient descent is returned, so the oracle is never below what is possible.
func Oracle(set *trace.Workload, calls []trace.Call, count func(trace.Call) bool) float64 {
	sum := 0.0
	for _, p := range set.Pools {
		var work []leastWork
		last := 0
		for _, c := range calls {
			if c.Pool == p.Name && count(c) {
				w := least(set, p, c)
				work = append(work, w)
				last = max(last, w.till)
			}
		}
		sum += bound(work, capacity(set, p, last+1))
	}
	return sum
}

func least(set *trace.Workload, p trace.PoolWorkload, c trace.Call) leastWork {
	perToken := set.Engine.BaseMS/float64(p.MaxSeqs) + set.Engine.PerSeqMS
	prompt := float64(max(c.PromptTokens-c.PrefixTokens, 1))
	first, total := targets(classOf(set.Classes, c.Class), &c)
	return leastWork{
		first: prompt*set.Engine.PerPromptTokenMS + perToken,
		rest:  float64(c.OutputTokens-1) * perToken,
		from:  int(c.AtMS / binMS), firstTill: int((c.AtMS + first) / binMS), till: int((c.AtMS + total) / binMS),
	}
}

// capacity returns the engine-milliseconds that each bin offers.
func capacity(set *trace.Workload, p trace.PoolWorkload, bins int) []float64 {
	out := make([]float64, bins)
	for b := range out {
		at := float64(b) * binMS
		for e := range p.Engines {
			speed := 1.0
			for _, ev := range set.Events {
				if ev.Pool != p.Name || ev.Engine != e || at+binMS <= ev.AtS*1000 || at >= (ev.AtS+ev.DurationS)*1000 {
					continue
				}
				// A bin that the event covers only in part counts at full speed, which keeps the bound above.
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

func bound(work []leastWork, offer []float64) float64 {
	price := make([]float64, len(offer))
	use := make([]float64, len(offer))
	best := float64(len(work))
	scale := 0.0
	for _, w := range work {
		scale += w.first + w.rest
	}
	if len(work) > 0 {
		scale = float64(len(work)) / scale
	}
	for round := range oracleRounds {
		value := 0.0
		for b := range use {
			use[b] = 0
			value += price[b] * offer[b]
		}
		for _, w := range work {
			f, r := cheapest(price, use, w.from, w.firstTill), cheapest(price, use, w.from, w.till)
			if gain := 1 - w.first*price[f] - w.rest*price[r]; gain > 0 {
				value += gain
				use[f] += w.first
				use[r] += w.rest
			}
		}
		best = min(best, value)
		step := scale * 0.3 / math.Sqrt(float64(round+1))
		for b := range price {
			over := (use[b] - offer[b]) / max(offer[b], binMS)
			price[b] = max(0, price[b]+step*min(max(over, -2), 2))
		}
	}
	return best
}

// cheapest returns the bin with the lowest price, among equal ones that with the least use.
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

// targets returns the longest first-token time and total time of an attained call in milliseconds.
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

// attained tells whether a complete call met its class targets; time per token is the mean over the call.
func attained(cl envdoc.Class, c *trace.Call, firstMS, totalMS float64) bool {
	first, total := targets(cl, c)
	if firstMS > first || cl.TotalMS > 0 && totalMS > float64(cl.TotalMS) {
		return false
	}
	decode := float64(cl.PerTokenMS * max(c.OutputTokens-1, 1))
	return totalMS <= total && (cl.PerTokenMS <= 0 || totalMS-firstMS <= decode)
}
