package speed

import (
	"math"
	"time"
)

const (
	// engineVariance and modelVariance are the variances of the logarithms of speed and cost before the first
	// measurement: about a factor of 1.5 and 1.8.
	engineVariance = 0.16
	modelVariance  = 0.35
	// noise and queueNoise are the variances of one measurement: queueNoise if the call was sent into a backlog, whose
	// length is itself an estimate.
	noise      = 0.03
	queueNoise = 0.08
	// engineDrift and modelDrift are added to the variances with each measurement. They bound the weight of a new
	// measurement from below: to about 0.2 for an engine and 0.05 for a model.
	engineDrift = 0.0015
	modelDrift  = 0.00008
	// idleDrift is added to the variance of an engine for each second without a measurement.
	idleDrift = 0.001
	// priorVariance is the variance after a restart of the engine, and after an import from another host.
	priorVariance = 0.08
	// surprise is the residual, as a logarithm, from which a measurement does not fit the estimate. changeAfter such
	// measurements in the same direction mean that the engine has changed: the next ones then count like the first.
	surprise    = 0.45
	changeAfter = 2
	// maxResidual bounds the residual of one measurement as a multiple of its standard deviation.
	maxResidual = 2.5
	// usualWeight is the lowest weight of a measurement in the usual speed of an engine, maxUsualStep bounds how far
	// one counts: a slow period of some minutes must not change it by much.
	usualWeight  = 0.02
	maxUsualStep = 0.3
	// usualCount is the number of measurements from which on a slow period is told apart from the usual speed.
	usualCount = 8
	// recoveryTime is the time constant with which an engine without measurements is assumed to return to its usual
	// speed, so that it gets calls again.
	// It begins after recoveryDelay.
	recoveryTime  = 6 * time.Second
	recoveryDelay = 3 * time.Second
	// changeVariance is the variance after a change of the engine's speed has been found.
	changeVariance = 0.4
	// minUsualDiff is the difference from the usual speed that counts as a slow or fast period.
	minUsualDiff = 0.1
)

// filter is the estimate of one logarithm.
type filter struct {
	log      float64
	variance float64
	count    int // measurements and imports
	updated  time.Time
}

// add adds a measurement; total is its variance with those of all estimates that it depends on.
func (f *filter) add(now time.Time, residual, total, drift float64) {
	weight := f.variance / total
	f.log += weight * residual
	f.variance = f.variance*(1-weight) + drift
	f.count++
	f.updated = now
}

// Engine is the estimate of the speed of one instance of an engine.
type Engine struct {
	filter          // of the slowness now, the inverse of the speed
	usual   float64 // logarithm of the slowness that the engine returns to
	prior   bool    // usual is known from an earlier instance
	off     int     // measurements in a row that did not fit, negative if the engine was faster
	factor  float64 // slowness after the last measurement
	boot    int64
	service *service
}

// Slowness returns by how much a prefill is expected to take longer than on an engine of usual speed.
func (e *Engine) Slowness(now time.Time) float64 {
	if e.count == 0 || !e.recovers(now) {
		return e.factor
	}
	return math.Exp(e.slowness(now))
}

// slowness returns the logarithm of Slowness.
func (e *Engine) slowness(now time.Time) float64 {
	if e.count == 0 || !e.recovers(now) {
		return e.log
	}
	idle := now.Sub(e.updated) - recoveryDelay
	return e.usual + (e.log-e.usual)*math.Exp(-idle.Seconds()/recoveryTime.Seconds())
}

// recovers reports whether the engine is assumed to be on the way to its usual speed, because it has not been measured
// for some time.
func (e *Engine) recovers(now time.Time) bool {
	return math.Abs(e.log-e.usual) > minUsualDiff && now.Sub(e.updated) > recoveryDelay
}

// measure adds a measurement of which the model's estimate explains a part; m is nil if it says nothing of one model.
func (e *Engine) measure(now time.Time, m *Model, measured float64) {
	e.log = e.slowness(now)
	if e.count > 0 {
		e.variance = min(e.variance+idleDrift*now.Sub(e.updated).Seconds(), max(e.variance, engineVariance))
	}
	residual := measured - e.log
	switch {
	case residual > surprise:
		e.off = max(e.off, 0) + 1
	case residual < -surprise:
		e.off = min(e.off, 0) - 1
	default:
		e.off = 0
	}
	if e.off == changeAfter || e.off == -changeAfter {
		e.variance = max(e.variance, changeVariance)
	}
	total := e.variance + queueNoise
	if m != nil {
		total = e.variance + m.variance + noise
	}
	limit := maxResidual * math.Sqrt(total)
	residual = min(max(residual, -limit), limit)
	e.add(now, residual, total, engineDrift)
	if m != nil {
		m.add(now, residual, total, modelDrift)
		m.log = min(max(m.log, -maxLog), maxLog)
	}
	e.settle()
}

// settle updates what follows from the logarithm.
func (e *Engine) settle() {
	e.log = min(max(e.log, -maxLog), maxLog)
	if e.count <= usualCount {
		e.usual = e.log
	} else {
		e.usual += usualWeight * min(max(e.log-e.usual, -maxUsualStep), maxUsualStep)
	}
	e.factor = math.Exp(e.log)
}
