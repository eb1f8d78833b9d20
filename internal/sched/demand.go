package sched

import (
	"math"
	"time"
)

// demand is the moving average of a model's offered load.
type demand struct {
	load      float64 // engine-seconds per second, at the time of the update
	updated   time.Time
	requested bool
}

// Demand returns the recent demand of every model that was requested. Calls that wait for an adapter do not count as
// waiting.
func (s *Scheduler) Demand(now time.Time) map[string]ModelDemand {
	out := make(map[string]ModelDemand, len(s.demand))
	for name, m := range s.demand {
		out[name] = ModelDemand{OfferedLoad: m.decayed(now), Requested: m.requested}
	}
	for _, p := range s.waiting {
		if p.loadingOn != "" {
			continue
		}
		n := out[p.Spec.Model]
		n.Waiting++
		out[p.Spec.Model] = n
	}
	return out
}

// addDemand adds the call's estimated engine time to the offered load of its model.
func (s *Scheduler) addDemand(now time.Time, q *Request) {
	m := s.demand[q.Spec.Model]
	if m == nil {
		m = &demand{updated: now}
		s.demand[q.Spec.Model] = m
	}
	m.requested = true
	work := s.unsharedPrefill(&q.Spec) + time.Duration(q.Spec.OutputTokens)*outputTokenCost
	m.load = m.decayed(now) + work.Seconds()/demandTimeConstant.Seconds()
	m.updated = now
}

// decayed returns the load at the time now, after exponential decay.
func (m *demand) decayed(now time.Time) float64 {
	return m.load * math.Exp(-now.Sub(m.updated).Seconds()/demandTimeConstant.Seconds())
}
