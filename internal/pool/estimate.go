package pool

import (
	"math"
	"time"
)

const (
	// fitDecay multiplies the weight of older samples of a fit with each new sample.
	fitDecay = 0.995
	// minFitSamples is the weight of samples below which a fit keeps its initial line.
	minFitSamples = 8
	// priorWeight is the weight of the prior in an output length, as a number of observed calls.
	priorWeight = 4
	// lengthGain is the minimum weight of a new observation in a mean output length.
	lengthGain = 0.05
	// The histogram has ttftBuckets buckets; each upper bound is bucketGrowth times the previous one.
	ttftBuckets  = 72
	bucketGrowth = 1.15
	// bucketDecay multiplies the counts of a histogram with each new sample.
	bucketDecay = 0.998
	// minHedgeCount is the weight of samples below which a class gets no hedges.
	minHedgeCount = 50
	// demandFast and demandSlow are the time constants of the two averages of a rate.
	demandFast = 2 * time.Second
	demandSlow = 20 * time.Second
	// Demand is rising if its fast average is above risingMinCalls per second and risingRatio times the slow one.
	risingRatio    = 1.4
	risingMinCalls = 1.0
)

type (
	// fit is a linear least-squares fit y = a + b*x with exponentially decayed samples.
	fit struct {
		n, x, y, xx, xy float64
		a, b            float64
	}

	// length is the running mean of the number of output tokens.
	length struct {
		n    float64
		mean float64
	}

	// quantiles is a histogram of times in ms with exponentially decayed counts and buckets of geometric width.
	quantiles struct {
		count   float64
		buckets [ttftBuckets]float64
	}

	// rate estimates events per second with two time constants, demandFast and demandSlow.
	rate struct {
		at         time.Time
		fast, slow float64
	}
)

func (f *fit) add(x, y float64) {
	f.n = f.n*fitDecay + 1
	f.x = f.x*fitDecay + x
	f.y = f.y*fitDecay + y
	f.xx = f.xx*fitDecay + x*x
	f.xy = f.xy*fitDecay + x*y
	if f.n < minFitSamples {
		return
	}
	mx, my := f.x/f.n, f.y/f.n
	varx := f.xx/f.n - mx*mx
	slope := f.b
	if varx > 1e-6*(1+mx*mx) {
		slope = (f.xy/f.n - mx*my) / varx
	}
	// Times neither fall with load nor are negative without load, so a negative slope or intercept is noise.
	slope = min(max(slope, 0), my/max(mx, 1e-9))
	f.b = slope
	f.a = my - slope*mx
}

func (f *fit) predict(x float64) float64 { return f.a + f.b*x }

func (l *length) add(tokens int) {
	l.n++
	gain := max(1/l.n, lengthGain)
	l.mean += gain * (float64(tokens) - l.mean)
}

// blend returns the mean weighted with a prior.
func (l *length) blend(prior float64) float64 {
	n := min(l.n, 1/lengthGain)
	return (prior*priorWeight + l.mean*n) / (priorWeight + n)
}

func (q *quantiles) add(ms float64) {
	i := int(math.Log(max(ms, 1)) / math.Log(bucketGrowth))
	for j := range q.buckets {
		q.buckets[j] *= bucketDecay
	}
	q.buckets[min(i, ttftBuckets-1)]++
	q.count = q.count*bucketDecay + 1
}

// quantile returns the upper bound, in ms, of the bucket that holds quantile p.
func (q *quantiles) quantile(p float64) float64 {
	sum := 0.0
	for i, n := range q.buckets {
		sum += n
		if sum >= p*q.count {
			return math.Pow(bucketGrowth, float64(i+1))
		}
	}
	return math.Pow(bucketGrowth, ttftBuckets)
}

func (r *rate) add(now time.Time, v float64) {
	r.decay(now)
	r.fast += v / demandFast.Seconds()
	r.slow += v / demandSlow.Seconds()
}

func (r *rate) decay(now time.Time) {
	if r.at.IsZero() {
		r.at = now
	}
	dt := now.Sub(r.at)
	if dt <= 0 {
		return
	}
	r.fast *= math.Exp(-dt.Seconds() / demandFast.Seconds())
	r.slow *= math.Exp(-dt.Seconds() / demandSlow.Seconds())
	r.at = now
}
