package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

const (
	// maxOutputTokens and maxPromptTokens limit the sizes that are drawn, which have no upper bound otherwise.
	maxOutputTokens = 6000
	maxPromptTokens = 16000
	// prefixesPerKey is the number of different shared prefixes per model and caller.
	prefixesPerKey = 3
	// expectedTokensSpread is the log-normal spread of the error in the callers' estimates of the output length.
	expectedTokensSpread = 0.4
	// callerZipfExponent skews the calls towards a few callers: caller i sends a share proportional to 1/(i+1)^0.8.
	callerZipfExponent = 0.8
)

type (
	// generator draws the calls of one pool.
	generator struct {
		spec          *Workload    // settings of all pools
		p             PoolWorkload // settings of this pool
		rnd           *rand.Rand
		modelWeights  []float64
		callerWeights []float64
		bursts        []burst
	}

	// burst multiplies the popularity of one model by up to factor between two times, in seconds.
	burst struct {
		model    int
		from, to float64
		factor   float64
	}
)

// Generate returns the calls of all pools, ordered by time. It is deterministic: the same workload gives the same
// calls.
func (w *Workload) Generate() []Call {
	var out []Call
	for i, p := range w.Pools {
		g := &generator{spec: w, p: p, rnd: rand.New(rand.NewPCG(w.Seed, uint64(i)+2))}
		g.modelWeights = zipfWeights(p.Models, p.Zipf)
		g.callerWeights = zipfWeights(w.Callers, callerZipfExponent)
		g.drawBursts()
		for _, m := range p.Mix {
			out = append(out, g.drawCalls(m)...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMS < out[j].AtMS })
	return out
}

// drawBursts draws the bursts of single models: a Poisson process with random lengths and factors.
func (g *generator) drawBursts() {
	b := g.spec.Bursts
	if b.PerMinute <= 0 {
		return
	}
	for t := g.rnd.ExpFloat64() * 60 / b.PerMinute; t < g.spec.DurationS; t += g.rnd.ExpFloat64() * 60 / b.PerMinute {
		g.bursts = append(g.bursts, burst{
			model: g.rnd.IntN(g.p.Models), from: t, to: t + b.DurationS*(0.5+g.rnd.Float64()),
			factor: 1 + (b.Factor-1)*g.rnd.Float64(),
		})
	}
}

// drawCalls draws the calls of one mix entry. It draws a Poisson process with the highest rate and thins it to the
// rate at each time. The highest rate is found by sampling the rate every 0.1 s.
func (g *generator) drawCalls(m MixEntry) []Call {
	var out []Call
	maxRate := 0.0
	for t := 0.0; t < g.spec.DurationS; t += 0.1 {
		maxRate = max(maxRate, g.callRate(m, t))
	}
	for t := 0.0; maxRate > 0; {
		t += g.rnd.ExpFloat64() / maxRate
		if t >= g.spec.DurationS {
			break
		}
		if g.rnd.Float64()*maxRate <= g.callRate(m, t) {
			out = append(out, g.drawCall(m, t))
		}
	}
	return out
}

// callRate returns the calls per second of the mix entry at time t in seconds.
func (g *generator) callRate(m MixEntry, t float64) float64 {
	rate := g.p.CallsPerS * m.Share * g.totalWeight(t)
	if g.interactive(m) {
		rate *= g.spec.Peak.rateFactor(t)
	}
	return rate
}

// interactive reports whether the class of the mix entry is not deferrable; an unknown class is interactive.
func (g *generator) interactive(m MixEntry) bool {
	for _, c := range g.spec.Classes {
		if c.Name == m.Class {
			return !c.Deferrable
		}
	}
	return true
}

// totalWeight returns the sum of the model weights at time t, which is 1 without bursts. It scales the call rate, so a
// burst of one model does not take calls from the others.
func (g *generator) totalWeight(t float64) float64 {
	sum := 0.0
	for i := range g.modelWeights {
		sum += g.modelWeight(i, t)
	}
	return sum
}

// modelWeight returns the popularity of the model at time t, bursts included.
func (g *generator) modelWeight(model int, t float64) float64 {
	w := g.modelWeights[model]
	for _, b := range g.bursts {
		if b.model == model {
			w *= 1 + (b.factor-1)*ramp(t, b.from, b.to, g.spec.Bursts.RampS)
		}
	}
	return w
}

func (g *generator) drawCall(m MixEntry, t float64) Call {
	model := g.pickWeighted(g.p.Models, func(i int) float64 { return g.modelWeight(i, t) })
	caller := g.pickWeighted(g.spec.Callers, func(i int) float64 { return g.callerWeights[i] })
	c := Call{
		AtMS: math.Round(t*1e6) / 1e3, Pool: g.p.Name, Class: m.Class, Caller: fmt.Sprintf("caller%02d", caller),
		Model: modelName(g.p, model), DeadlineMS: m.DeadlineMS, Long: m.Long,
		PromptTokens: g.drawSize(m.Prompt, m.PromptSpread, maxPromptTokens),
		OutputTokens: g.drawSize(m.Output, m.OutputSpread, maxOutputTokens),
	}
	// Adapter i belongs to model i modulo Models, so this model has n adapters.
	if n := (g.p.Adapters - model + g.p.Models - 1) / g.p.Models; n > 0 && g.rnd.Float64() < g.p.AdapterShare {
		c.Adapter = adapterName(g.p, model+g.p.Models*g.rnd.IntN(n))
	}
	c.ExpectedTokens = g.drawSize(float64(c.OutputTokens), expectedTokensSpread, maxOutputTokens)
	c.NotRepeatable = g.rnd.Float64() < g.p.NotRepeatableShare
	if m.PrefixShare > 0 {
		c.PrefixTokens = int(m.PrefixShare * float64(c.PromptTokens))
		c.PrefixHash = uint64(model)<<32 | uint64(caller)<<16 | uint64(g.rnd.IntN(prefixesPerKey)+1)
	}
	return c
}

// drawSize draws from a log-normal distribution, limited to the range from 1 to limit.
func (g *generator) drawSize(median, spread float64, limit int) int {
	return min(max(int(median*math.Exp(spread*g.rnd.NormFloat64())), 1), limit)
}

// pickWeighted draws an index below n with probabilities proportional to weight.
func (g *generator) pickWeighted(n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	rest := g.rnd.Float64() * sum
	for i := range n {
		rest -= weight(i)
		if rest < 0 {
			return i
		}
	}
	return n - 1
}

// rateFactor returns the factor of the peak at time t in seconds, 1 outside of the peak.
func (p Peak) rateFactor(t float64) float64 {
	if p.Factor <= 1 {
		return 1
	}
	return 1 + (p.Factor-1)*ramp(t, p.FromS, p.ToS, p.RampS)
}

// ramp rises linearly from 0 to 1 in the time rise after from, and falls back to 0 in the time rise before to.
func ramp(t, from, to, rise float64) float64 {
	if t <= from || t >= to {
		return 0
	}
	return min(1, min(t-from, to-t)/max(rise, 1e-3))
}

// zipfWeights returns n weights with the sum 1, proportional to 1/(i+1)^exponent.
func zipfWeights(n int, exponent float64) []float64 {
	w := make([]float64, n)
	sum := 0.0
	for i := range w {
		w[i] = math.Pow(float64(i+1), -exponent)
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}
