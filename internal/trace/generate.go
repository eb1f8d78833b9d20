package trace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

const (
	maxOutput      = 6000
	maxPrompt      = 16000
	prefixesPerKey = 3
	// statedSpread is the log-normal error of the expected length that callers state.
	statedSpread = 0.4
	// callerZipf makes a few callers send most calls.
	callerZipf = 0.8
)

type (
	generator struct {
		s       *Workload
		p       PoolWorkload
		rnd     *rand.Rand
		models  []float64
		callers []float64
		bursts  []burst
	}

	burst struct {
		model    int
		from, to float64
		factor   float64
	}
)

// Generate returns the calls of all pools in order of time; the same settings give the same calls.
func (s *Workload) Generate() []Call {
	var out []Call
	for i, p := range s.Pools {
		g := &generator{s: s, p: p, rnd: rand.New(rand.NewPCG(s.Seed, uint64(i)+2))}
		g.models = zipf(p.Models, p.Zipf)
		g.callers = zipf(s.Callers, callerZipf)
		g.swings()
		for _, m := range p.Mix {
			out = append(out, g.calls(m)...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].AtMS < out[j].AtMS })
	return out
}

// swings draws the bursts of single models.
func (g *generator) swings() {
	w := g.s.Bursts
	if w.PerMinute <= 0 {
		return
	}
	for t := g.rnd.ExpFloat64() * 60 / w.PerMinute; t < g.s.DurationS; t += g.rnd.ExpFloat64() * 60 / w.PerMinute {
		g.bursts = append(g.bursts, burst{
			model: g.rnd.IntN(g.p.Models), from: t, to: t + w.DurationS*(0.5+g.rnd.Float64()),
			factor: 1 + (w.Factor-1)*g.rnd.Float64(),
		})
	}
}

// calls draws one kind of call by thinning a Poisson process at the highest rate.
func (g *generator) calls(m MixEntry) []Call {
	var out []Call
	top := 0.0
	for t := 0.0; t < g.s.DurationS; t += 0.1 {
		top = max(top, g.rate(m, t))
	}
	for t := 0.0; top > 0; {
		t += g.rnd.ExpFloat64() / top
		if t >= g.s.DurationS {
			break
		}
		if g.rnd.Float64()*top <= g.rate(m, t) {
			out = append(out, g.call(m, t))
		}
	}
	return out
}

func (g *generator) rate(m MixEntry, t float64) float64 {
	rate := g.p.CallsPerS * m.Share * g.popularity(t)
	if g.interactive(m) {
		rate *= g.s.Peak.at(t)
	}
	return rate
}

func (g *generator) interactive(m MixEntry) bool {
	for _, c := range g.s.Classes {
		if c.Name == m.Class {
			return !c.Deferrable
		}
	}
	return true
}

// popularity is the sum of the model weights at t, 1 without bursts.
func (g *generator) popularity(t float64) float64 {
	sum := 0.0
	for i := range g.models {
		sum += g.weight(i, t)
	}
	return sum
}

func (g *generator) weight(model int, t float64) float64 {
	w := g.models[model]
	for _, b := range g.bursts {
		if b.model == model {
			w *= 1 + (b.factor-1)*ramp(t, b.from, b.to, g.s.Bursts.RampS)
		}
	}
	return w
}

func (g *generator) call(m MixEntry, t float64) Call {
	model := g.pick(g.p.Models, func(i int) float64 { return g.weight(i, t) })
	caller := g.pick(g.s.Callers, func(i int) float64 { return g.callers[i] })
	c := Call{
		AtMS: math.Round(t*1e6) / 1e3, Pool: g.p.Name, Class: m.Class, Caller: fmt.Sprintf("caller%02d", caller),
		Model: modelName(g.p, model), DeadlineMS: m.DeadlineMS, Long: m.Long,
		PromptTokens: g.size(m.Prompt, m.PromptSpread, maxPrompt),
		OutputTokens: g.size(m.Output, m.OutputSpread, maxOutput),
	}
	if own := (g.p.Adapters - model + g.p.Models - 1) / g.p.Models; own > 0 && g.rnd.Float64() < g.p.AdapterShare {
		c.Adapter = adapterName(g.p, model+g.p.Models*g.rnd.IntN(own))
	}
	c.ExpectedTokens = g.size(float64(c.OutputTokens), statedSpread, maxOutput)
	c.NotRepeatable = g.rnd.Float64() < g.p.NotRepeatableShare
	if m.PrefixShare > 0 {
		c.PrefixTokens = int(m.PrefixShare * float64(c.PromptTokens))
		c.PrefixHash = uint64(model)<<32 | uint64(caller)<<16 | uint64(g.rnd.IntN(prefixesPerKey)+1)
	}
	return c
}

func (g *generator) size(median, spread float64, limit int) int {
	return min(max(int(median*math.Exp(spread*g.rnd.NormFloat64())), 1), limit)
}

func (g *generator) pick(n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	at := g.rnd.Float64() * sum
	for i := range n {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return n - 1
}

func (c Peak) at(t float64) float64 {
	if c.Factor <= 1 {
		return 1
	}
	return 1 + (c.Factor-1)*ramp(t, c.FromS, c.ToS, c.RampS)
}

// ramp rises from 0 to 1 after from, and falls back to 0 before to.
func ramp(t, from, to, rise float64) float64 {
	if t <= from || t >= to {
		return 0
	}
	return min(1, min(t-from, to-t)/max(rise, 1e-3))
}

func zipf(n int, s float64) []float64 {
	w := make([]float64, n)
	sum := 0.0
	for i := range w {
		w[i] = math.Pow(float64(i+1), -s)
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}
