package pool

import (
	"math"
	"slices"
	"time"
)

const (
	firstGain       = 0.15
	rateGain        = 0.35
	minSamples      = 3
	ratioFloorMS    = 20.0
	maxRatio        = 20.0
	overdueFactor   = 2.0
	overdueSlackMS  = 60.0
	goodProbes      = 2
	maxProbeGap     = 16 * time.Second
	rampStart       = 0.25
	reducedShare    = 0.4
	returnMargin    = 0.8
	maxFailures     = 3
	downFor         = time.Second
	learnBelowRatio = 1.5
)

// sampleFirst learns from an observed first-token time.
func (d *Dispatcher) sampleFirst(now time.Time, t *ticket, observed float64) {
	t.call.class.first.add(observed)
	load := float64(t.ahead + t.prompt)
	ratio := (observed + ratioFloorMS) / (d.first.at(load) + ratioFloorMS)
	d.sample(now, t, ratio, firstGain)
	if t.engine.ratio < learnBelowRatio {
		d.first.add(load, observed)
	}
}

// sampleRate learns from an observed time per token at a batch size.
func (d *Dispatcher) sampleRate(now time.Time, t *ticket, batch, observed float64) {
	d.sample(now, t, observed/max(d.perToken.at(batch), 1), rateGain)
	if t.engine.ratio < learnBelowRatio {
		d.perToken.add(batch, observed)
	}
}

func (d *Dispatcher) sample(now time.Time, t *ticket, ratio, gain float64) {
	e := t.engine
	ratio = min(ratio, maxRatio)
	e.samples++
	e.ratio *= math.Pow(ratio/e.ratio, max(gain, 1/e.samples))
	if e.mode == healthy || !t.probe {
		return
	}
	if ratio > d.tune.ReduceRatio {
		e.good = 0
		if !t.bad {
			e.probeGap = min(2*e.probeGap, maxProbeGap)
		}
		t.bad = true
		e.probeAt = now.Add(e.probeGap)
		return
	}
	e.good++
	e.probeAt = now
	if e.good >= goodProbes {
		e.restore(now)
		d.refreshEjected()
	}
}

// evaluate compares every engine with the pool's median and decides on its share of new work.
func (d *Dispatcher) evaluate(now time.Time) {
	for _, cl := range d.ranked {
		if cl.first.count >= minHedgeCount {
			cl.hedgeMS = int(cl.first.at(d.tune.HedgeQuantile))
		}
	}
	d.feelPressure()
	if d.tune.NoStragglers {
		return
	}
	median := d.medianRatio()
	for _, e := range d.engines {
		e.relative = max(e.ratio/median, 1)
		if e.samples < minSamples {
			e.relative = 1
		}
		e.relative = max(e.relative, d.overdue(now, e))
	}
	for _, e := range d.engines {
		d.judge(now, e)
	}
}

func (d *Dispatcher) medianRatio() float64 {
	ratios := d.ratios[:0]
	for _, e := range d.engines {
		if !e.Up {
			continue
		}
		if e.samples >= minSamples {
			ratios = append(ratios, e.ratio)
			continue
		}
		ratios = append(ratios, 1)
	}
	d.ratios = ratios
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return ratios[(len(ratios)-1)/2]
}

// overdue returns the slowness that first tokens still outstanding prove, without waiting for them.
func (d *Dispatcher) overdue(now time.Time, e *engine) float64 {
	late, worst := 0, 0.0
	for _, t := range e.pending {
		waited := inMS(now.Sub(t.granted))
		if waited > overdueFactor*t.predicted+overdueSlackMS {
			late++
			worst = max(worst, (waited+ratioFloorMS)/(t.predicted+ratioFloorMS))
		}
	}
	if late < 2 {
		return 1
	}
	return min(worst, maxRatio)
}

func (d *Dispatcher) judge(now time.Time, e *engine) {
	switch {
	case e.mode == ejected:
		return
	case e.relative >= d.tune.EjectRatio && d.mayEject():
		e.demote(now, ejected, d.tune.ProbeEvery)
		d.ejected |= e.bit
		d.moveAll(e)
	case e.relative >= d.tune.ReduceRatio && e.mode == healthy:
		e.demote(now, reduced, d.tune.ProbeEvery)
	case e.mode == reduced && e.relative < d.tune.ReduceRatio*returnMargin:
		e.mode = healthy
	}
}

func (e *engine) demote(now time.Time, mode engineMode, gap time.Duration) {
	e.mode = mode
	e.good = 0
	e.probeGap = gap
	e.probeAt = now.Add(gap)
}

// mayEject bounds the ejected engines to a share of those that are up.
func (d *Dispatcher) mayEject() bool {
	up := 0
	for _, e := range d.engines {
		if e.Up {
			up++
		}
	}
	return float64(d.ejected.count()+1) <= d.tune.MaxEjectedShare*float64(up)
}

// refreshEjected rebuilds the set of ejected engines.
func (d *Dispatcher) refreshEjected() {
	d.ejected = 0
	for _, e := range d.engines {
		if e.mode == ejected {
			d.ejected |= e.bit
		}
	}
}

// restore returns an ejected engine to service with a share that grows.
func (e *engine) restore(now time.Time) {
	e.mode = healthy
	e.ratio, e.samples, e.good = 1, 0, 0
	e.rampFrom = now
}

// forget drops what was learned of an engine that restarted.
func (e *engine) forget(now time.Time) {
	e.restore(now)
	e.failures = 0
	e.downTill = time.Time{}
	e.leavingTill = time.Time{}
	e.prefixes = newRecent(prefixesPerEngine)
}

// fail counts an attempt that the engine failed; several in a row stop new work for a while.
func (e *engine) fail(now time.Time) {
	e.failures++
	if e.failures >= maxFailures {
		e.downTill = now.Add(downFor)
	}
}

func (e *engine) down(now time.Time) bool { return now.Before(e.downTill) }

func (e *engine) leaving(now time.Time) bool { return e.Leaving || now.Before(e.leavingTill) }

func (e *engine) probeDue(now time.Time) bool {
	return e.mode != healthy && e.probing == 0 && !now.Before(e.probeAt)
}

func (e *engine) slowness() float64 { return max(e.relative, 1) }

func (e *engine) seqs() int {
	if e.MaxSeqs > 0 {
		return e.MaxSeqs
	}
	return defaultMaxSeqs
}

// allowed returns how many sequences the engine may hold in its mode.
func (e *engine) allowed(now time.Time, t Tunables) int {
	if e.failures >= maxFailures {
		return 1
	}
	share := 1.0
	if e.mode == reduced {
		share = reducedShare
	}
	if ramp := now.Sub(e.rampFrom); !e.rampFrom.IsZero() && ramp < t.SlowStart {
		share = min(share, rampStart+(1-rampStart)*float64(ramp)/float64(t.SlowStart))
	}
	return max(int(share*float64(e.seqs())), 1)
}
