package sched

import (
	"time"

	"github.com/figreel/figreel/internal/speed"
	"github.com/figreel/figreel/internal/topo"
)

// LearnGrant keeps the speed and the cost that another scheduler assumed in a grant.
func (s *Scheduler) LearnGrant(now time.Time, q *Request, g *Grant) {
	s.speeds.Import(now, []speed.Estimate{
		{Engine: topo.Instance{ID: g.Engine, Boot: g.Boot}, Service: q.Service, Speed: g.Speed, Base: g.BaseCost},
		{Service: q.Service, Model: q.Spec.Model, Cost: g.TokenCost, Base: g.BaseCost},
	})
}

// Speeds returns the newest estimates of speeds and costs, for another scheduler.
func (s *Scheduler) Speeds(now time.Time) []speed.Estimate { return s.speeds.Export(now) }

// LearnSpeeds takes the estimates of another scheduler that are newer than those of this one.
func (s *Scheduler) LearnSpeeds(now time.Time, list []speed.Estimate) { s.speeds.Import(now, list) }

// UsualSpeed returns the usual speed of an engine as a multiple of the median of its service.
func (s *Scheduler) UsualSpeed(id string) float64 { return s.speeds.Usual(id) }

// SpeedSummary returns a summary of the speeds of all engines.
func (s *Scheduler) SpeedSummary(now time.Time) speed.Summary { return s.speeds.Summary(now) }
