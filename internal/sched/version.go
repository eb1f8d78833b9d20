package sched

import (
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// fits reports whether the engine has the software version that the call requires.
func (p *pending) fits(e *engine) bool { return p.Software == "" || p.Software == e.Software }

// isHeld reports whether an engine of the software version that the call requires has its model or is loading it.
func (s *Scheduler) isHeld(p *pending) bool {
	usable := func(e *engine) bool { return e.listed && !e.Leaving && p.fits(e) }
	k := p.modelKey()
	return slices.ContainsFunc(s.holders(k), usable) || slices.ContainsFunc(s.loaders(k), usable)
}

// hasVersion reports whether an engine of the software version that the call requires is in service. If none has the
// model, it can be loaded on one.
func (s *Scheduler) hasVersion(p *pending) bool {
	if s.isHeld(p) {
		return true
	}
	for _, e := range s.engines {
		if e.listed && !e.Leaving && e.Service == p.Service && p.fits(e) {
			return true
		}
	}
	return false
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
