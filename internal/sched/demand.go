package sched

import (
	"math"
	"time"
)

type demand struct {
	work  float64
	at    time.Time
	asked bool
}

// Demand returns the recent work of every model that was asked for.
func (d *Scheduler) Demand(now time.Time) map[string]ModelDemand {
	out := make(map[string]ModelDemand, len(d.demand))
	for name, m := range d.demand {
		out[name] = ModelDemand{OfferedLoad: m.decayed(now), Requested: m.asked}
	}
	for _, a := range d.waiting {
		if a.engine != "" {
			continue
		}
		n := out[a.Spec.Model]
		n.Waiting++
		out[a.Spec.Model] = n
	}
	return out
}

// count adds the call's work to its model's demand.
func (d *Scheduler) count(now time.Time, q *Request) {
	m := d.demand[q.Spec.Model]
	if m == nil {
		m = &demand{at: now}
		d.demand[q.Spec.Model] = m
	}
	m.asked = true
	work := d.freshTime(&q.Spec) + time.Duration(q.Spec.OutputTokens)*outputCost
	m.work = m.decayed(now) + work.Seconds()/demandTime.Seconds()
	m.at = now
}

func (m *demand) decayed(now time.Time) float64 {
	return m.work * math.Exp(-now.Sub(m.at).Seconds()/demandTime.Seconds())
}
