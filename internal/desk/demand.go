package desk

import (
	"math"
	"time"
)

type demand struct {
	work  float64
	at    time.Time
	asked bool
}

// Needs returns the recent work of every model that was asked for.
func (d *Desk) Needs(now time.Time) map[string]ModelNeed {
	out := make(map[string]ModelNeed, len(d.demand))
	for name, m := range d.demand {
		out[name] = ModelNeed{Work: m.decayed(now), Asked: m.asked}
	}
	for _, a := range d.waiting {
		if a.engine != "" {
			continue
		}
		n := out[a.Demand.Model]
		n.Waiting++
		out[a.Demand.Model] = n
	}
	return out
}

// count adds the call's work to its model's demand.
func (d *Desk) count(now time.Time, q *Ask) {
	m := d.demand[q.Demand.Model]
	if m == nil {
		m = &demand{at: now}
		d.demand[q.Demand.Model] = m
	}
	m.asked = true
	work := d.freshTime(&q.Demand) + time.Duration(q.Demand.OutputTokens)*outputCost
	m.work = m.decayed(now) + work.Seconds()/demandTime.Seconds()
	m.at = now
}

func (m *demand) decayed(now time.Time) float64 {
	return m.work * math.Exp(-now.Sub(m.at).Seconds()/demandTime.Seconds())
}
