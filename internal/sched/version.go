package sched

import "slices"

// fits reports whether the engine has the software version that the call requires.
func (p *pending) fits(e *engine) bool { return p.Software == "" || p.Software == e.Software }

// hasVersion reports whether an engine of the software version that the call requires has its model or is loading it.
// Placement goes by the demand for a model, whatever the version, so none is loaded for the call.
func (s *Scheduler) hasVersion(p *pending) bool {
	usable := func(e *engine) bool { return e.listed && !e.Leaving && p.fits(e) }
	k := p.modelKey()
	return slices.ContainsFunc(s.holders(k), usable) || slices.ContainsFunc(s.loaders(k), usable)
}
