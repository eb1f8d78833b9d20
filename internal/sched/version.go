package sched

import (
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// fits reports whether the engine has the software version that the call requires.
func (p *pending) fits(e *engine) bool { return p.Software == "" || p.Software == e.Software }

// hasVersion reports whether an engine of the software version that the call requires has its model or is loading it.
// Placement goes by the demand for a model, whatever the version, so none is loaded for the call.
func (s *Scheduler) hasVersion(p *pending) bool {
	usable := func(e *engine) bool { return e.listed && !e.Leaving && p.fits(e) }
	k := p.modelKey()
	return slices.ContainsFunc(s.holders(k), usable) || slices.ContainsFunc(s.loaders(k), usable)
}

// SoftwareOf returns the software version of the engine of a grant. An engine that this scheduler knows to have started
// again since then has that of its newer instance.
func (s *Scheduler) SoftwareOf(g Grant) string {
	if e := s.engines[g.Engine]; e != nil && e.Boot > g.Boot {
		return e.Software
	}
	return g.Software
}

// RunsModels reports whether the upstreams of a service are engines.
func (s *Scheduler) RunsModels(service string) bool { return s.engineSpec(service) != nil }

// streamLife returns how long a stream can last with all attempts of its caller.
func streamLife(c *topo.Config) time.Duration {
	var longest time.Duration
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == topo.Stream && r.Resumable {
			longest = max(longest, r.Timeout)
		}
	}
	return lifeTimeouts * longest
}
