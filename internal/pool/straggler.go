package pool

import (
	"math"
	"slices"
	"time"
)

const (
	// ttftGain and tokenTimeGain are the weights of a new observation in the slowdown of an engine.
	ttftGain      = 0.15
	tokenTimeGain = 0.35
	// minObservations is the number of observations below which the slowdown of an engine counts as 1.
	minObservations = 3
	// ttftFloorMS is added to both observed and predicted times to first token, so that small absolute differences
	// are not a large slowdown.
	ttftFloorMS = 20.0
	// maxSlowdown bounds a single observation.
	maxSlowdown = 20.0
	// A prefill is late after lateFactor times its predicted time to first token plus lateSlackMS.
	lateFactor  = 2.0
	lateSlackMS = 60.0
	// requiredProbes is the number of good probe results in a row that reinstate an engine.
	requiredProbes = 2
	// maxProbeInterval bounds the probe interval, which doubles with each slow probe.
	maxProbeInterval = 16 * time.Second
	// slowStartShare is the share of its sequences that a reinstated engine starts with.
	slowStartShare = 0.25
	// reducedShare is the share of its sequences that an engine in mode reduced gets.
	reducedShare = 0.4
	// recoveryFactor times ReduceRatio is the slowdown below which a reduced engine is healthy again; the gap keeps
	// it from alternating between the modes.
	recoveryFactor = 0.8
	// After maxFailures failures in a row, an engine gets no calls for unavailableTime, and then normally one at a time
	// until a call succeeds.
	maxFailures     = 3
	unavailableTime = time.Second
	// maxFitSlowdown is the slowdown from which the observations of an engine are left out of the latency estimates of
	// the pool.
	maxFitSlowdown = 1.5
)

// observeTTFT records an observed time to first token, in ms.
func (d *Dispatcher) observeTTFT(now time.Time, t *ticket, observed float64) {
	t.call.class.ttft.add(observed)
	load := float64(t.prefillBefore + t.prefillTokens)
	slowdown := (observed + ttftFloorMS) / (d.ttft.predict(load) + ttftFloorMS)
	d.observe(now, t, slowdown, ttftGain)
	if t.engine.slowdown < maxFitSlowdown {
		d.ttft.add(load, observed)
	}
}

// observeTokenTime records an observed time per token, in ms, at a batch size.
func (d *Dispatcher) observeTokenTime(now time.Time, t *ticket, batchSize, observed float64) {
	d.observe(now, t, observed/max(d.tokenTime.predict(batchSize), 1), tokenTimeGain)
	if t.engine.slowdown < maxFitSlowdown {
		d.tokenTime.add(batchSize, observed)
	}
}

// observe updates the slowdown of the engine, a geometric running mean. On a probe it also reinstates the engine or
// delays the next probe.
func (d *Dispatcher) observe(now time.Time, t *ticket, slowdown, gain float64) {
	e := t.engine
	slowdown = min(slowdown, maxSlowdown)
	e.observations++
	e.slowdown *= math.Pow(slowdown/e.slowdown, max(gain, 1/e.observations))
	if e.mode == healthy || !t.probe {
		return
	}
	if slowdown > d.tune.ReduceRatio {
		e.passedProbes = 0
		if !t.slowProbe {
			e.probeInterval = min(2*e.probeInterval, maxProbeInterval)
		}
		t.slowProbe = true
		e.probeAt = now.Add(e.probeInterval)
		return
	}
	e.passedProbes++
	e.probeAt = now
	if e.passedProbes >= requiredProbes {
		e.reinstate(now)
		d.rebuildEjected()
	}
}

// evaluate updates the hedging delays, and compares every engine with the median of the pool to set its mode.
func (d *Dispatcher) evaluate(now time.Time) {
	for _, cl := range d.classesByPriority {
		if cl.ttft.count >= minHedgeCount {
			cl.hedgeAfterMS = int(cl.ttft.quantile(d.tune.HedgeQuantile))
		}
	}
	d.updatePressure()
	if d.tune.NoStragglers {
		return
	}
	median := d.medianSlowdown()
	for _, e := range d.engines {
		e.relativeSlowdown = max(e.slowdown/median, 1)
		if e.observations < minObservations {
			e.relativeSlowdown = 1
		}
		e.relativeSlowdown = max(e.relativeSlowdown, d.lateSlowdown(now, e))
	}
	for _, e := range d.engines {
		d.updateMode(now, e)
	}
}

// medianSlowdown returns the lower median of the slowdowns of the engines that are up, or 1 if there are none.
func (d *Dispatcher) medianSlowdown() float64 {
	slowdowns := d.slowdowns[:0]
	for _, e := range d.engines {
		if !e.Up {
			continue
		}
		if e.observations >= minObservations {
			slowdowns = append(slowdowns, e.slowdown)
			continue
		}
		slowdowns = append(slowdowns, 1)
	}
	d.slowdowns = slowdowns
	if len(slowdowns) == 0 {
		return 1
	}
	slices.Sort(slowdowns)
	return slowdowns[(len(slowdowns)-1)/2]
}

// lateSlowdown returns the slowdown that late prefills show, before their first tokens arrive. It needs at least two
// late prefills, and returns 1 otherwise.
func (d *Dispatcher) lateSlowdown(now time.Time, e *engine) float64 {
	count, worst := 0, 0.0
	for _, t := range e.prefilling {
		waited := inMS(now.Sub(t.granted))
		if waited > lateFactor*t.predictedTTFT+lateSlackMS {
			count++
			worst = max(worst, (waited+ttftFloorMS)/(t.predictedTTFT+ttftFloorMS))
		}
	}
	if count < 2 {
		return 1
	}
	return min(worst, maxSlowdown)
}

// updateMode reduces or ejects an engine, or makes a reduced one healthy, by its relative slowdown. An ejection ends
// elsewhere: after successful probes, or when the engine restarts or goes down.
func (d *Dispatcher) updateMode(now time.Time, e *engine) {
	switch {
	case e.mode == ejected:
		return
	case e.relativeSlowdown >= d.tune.EjectRatio && d.canEject():
		e.demote(now, ejected, d.tune.ProbeEvery)
		d.ejected |= e.bit
		d.migrateAll(e)
	case e.relativeSlowdown >= d.tune.ReduceRatio && e.mode == healthy:
		e.demote(now, reduced, d.tune.ProbeEvery)
	case e.mode == reduced && e.relativeSlowdown < d.tune.ReduceRatio*recoveryFactor:
		e.mode = healthy
	}
}

func (e *engine) demote(now time.Time, mode engineMode, interval time.Duration) {
	e.mode = mode
	e.passedProbes = 0
	e.probeInterval = interval
	e.probeAt = now.Add(interval)
}

// canEject reports whether one more engine can be ejected within MaxEjectedShare of the engines that are up.
func (d *Dispatcher) canEject() bool {
	up := 0
	for _, e := range d.engines {
		if e.Up {
			up++
		}
	}
	return float64(d.ejected.count()+1) <= d.tune.MaxEjectedShare*float64(up)
}

// rebuildEjected recomputes the mask of ejected engines from their modes.
func (d *Dispatcher) rebuildEjected() {
	d.ejected = 0
	for _, e := range d.engines {
		if e.mode == ejected {
			d.ejected |= e.bit
		}
	}
}

// reinstate makes an engine healthy, with a share that grows during SlowStart.
func (e *engine) reinstate(now time.Time) {
	e.mode = healthy
	e.slowdown, e.observations, e.passedProbes = 1, 0, 0
	e.slowStartFrom = now
}

// reset discards the observations of an engine that has restarted.
func (e *engine) reset(now time.Time) {
	e.reinstate(now)
	e.consecutiveFailures = 0
	e.unavailableUntil = time.Time{}
	e.drainingUntil = time.Time{}
	e.prefixes = newRecentSet(prefixesPerEngine)
}

// recordFailure counts a failed attempt; maxFailures in a row make the engine unavailable for unavailableTime.
func (e *engine) recordFailure(now time.Time) {
	e.consecutiveFailures++
	if e.consecutiveFailures >= maxFailures {
		e.unavailableUntil = now.Add(unavailableTime)
	}
}

func (e *engine) unavailable(now time.Time) bool { return now.Before(e.unavailableUntil) }

func (e *engine) draining(now time.Time) bool { return e.Leaving || now.Before(e.drainingUntil) }

func (e *engine) probeDue(now time.Time) bool {
	return e.mode != healthy && e.openProbes == 0 && !now.Before(e.probeAt)
}

// latencyFactor returns the factor by which latency estimates are multiplied for the engine.
func (e *engine) latencyFactor() float64 { return max(e.relativeSlowdown, 1) }

func (e *engine) seqLimit() int {
	if e.MaxSeqs > 0 {
		return e.MaxSeqs
	}
	return defaultMaxSeqs
}

// allowedSeqs returns the number of sequences that the engine can have in its mode and during slow start.
func (e *engine) allowedSeqs(now time.Time, t Tunables) int {
	if e.consecutiveFailures >= maxFailures {
		return 1
	}
	share := 1.0
	if e.mode == reduced {
		share = reducedShare
	}
	if elapsed := now.Sub(e.slowStartFrom); !e.slowStartFrom.IsZero() && elapsed < t.SlowStart {
		share = min(share, slowStartShare+(1-slowStartShare)*float64(elapsed)/float64(t.SlowStart))
	}
	return max(int(share*float64(e.seqLimit())), 1)
}
