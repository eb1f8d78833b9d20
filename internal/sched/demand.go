package sched

import (
	"math"
	"time"
)

// demand is the moving average of a model's offered load and of its call rate.
type demand struct {
	load      float64 // engine-seconds per second, at the time of the update
	callRate  float64 // calls per second, at the time of the update
	updated   time.Time
	requested bool
}

// Demand returns the recent demand of every model that was requested. Calls that wait for an adapter do not count as
// waiting.
func (s *Scheduler) Demand(now time.Time) map[string]ModelDemand {
	out := make(map[string]ModelDemand, len(s.demand))
	for name, m := range s.demand {
		out[name] = ModelDemand{
			OfferedLoad: m.load * m.decay(now, demandTimeConstant),
			CallRate:    m.callRate * m.decay(now, callRateTimeConstant), Requested: m.requested,
		}
	}
	for _, p := range s.waiting {
		if p.loadingOn != "" {
			continue
		}
		n := out[p.Spec.Model]
		n.Waiting++
		if p.Software != "" && !s.isHeld(p) {
			if n.Versions == nil {
				n.Versions = make(map[string]int)
			}
			n.Versions[p.Software]++
		}
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
	work := s.unsharedPrefill(q) + time.Duration(q.Spec.OutputTokens)*outputTokenCost
	m.load = m.load*m.decay(now, demandTimeConstant) + work.Seconds()/demandTimeConstant.Seconds()
	m.callRate = m.callRate*m.decay(now, callRateTimeConstant) + 1/callRateTimeConstant.Seconds()
	m.updated = now
}

// decay returns the share of an average with the given time constant that is left at the time now.
func (m *demand) decay(now time.Time, timeConstant time.Duration) float64 {
	return math.Exp(-now.Sub(m.updated).Seconds() / timeConstant.Seconds())
}
