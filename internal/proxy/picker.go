package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// initialEjection is how long an upstream is ejected after its first failure. Each further failure in a row doubles
	// the time, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// maxEjectionShift limits the doubling, so that the shift cannot overflow; five doublings already exceed
	// maxEjection.
	maxEjectionShift = 5
)

const (
	served  result = iota // the upstream responded
	failed                // the upstream failed
	unknown               // it ended for a reason that says nothing about the upstream
)

type (
	// picker chooses among the upstreams of services by the calls in flight and the recent failures of this host.
	picker struct {
		mu     sync.Mutex
		states map[string]*upstreamState
	}

	// result is how a call at an upstream ended.
	result uint8

	// upstreamState is what this host has observed of one upstream.
	upstreamState struct {
		inFlight     int
		failures     int // consecutive
		ejectedUntil time.Time
	}
)

// pick returns the upstream with the fewest calls in flight from this host, and counts the new call. Among equals it
// prefers the given failure domain. Ejected upstreams are chosen only if no other is left. ok is false when every
// upstream is excluded.
func (p *picker) pick(now time.Time, ups []envdoc.Upstream, domain string, excluded func(string) bool) (
	up envdoc.Upstream, ok bool,
) {
	usable := slices.DeleteFunc(slices.Clone(ups), func(u envdoc.Upstream) bool { return excluded(u.Name) })
	if len(usable) == 0 {
		return envdoc.Upstream{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best := slices.MinFunc(usable, func(a, b envdoc.Upstream) int { return p.compare(now, a, b, domain) })
	p.state(best.Name).inFlight++
	return best, true
}

// done ends a call that pick counted. If the call failed, the upstream is ejected for a while; if it was served, its
// failures are forgotten and its ejection ends.
func (p *picker) done(now time.Time, name string, r result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(name)
	s.inFlight--
	switch r {
	case served:
		s.failures = 0
		s.ejectedUntil = time.Time{}
		return
	case unknown:
		return
	}
	ejection := min(initialEjection<<min(s.failures, maxEjectionShift), maxEjection)
	s.failures++
	s.ejectedUntil = now.Add(ejection)
}

// compare orders upstreams by preference: not ejected, fewest calls in flight, own failure domain.
func (p *picker) compare(now time.Time, a, b envdoc.Upstream, domain string) int {
	sa, sb := p.state(a.Name), p.state(b.Name)
	if d := boolToInt(now.Before(sa.ejectedUntil)) - boolToInt(now.Before(sb.ejectedUntil)); d != 0 {
		return d
	}
	if d := sa.inFlight - sb.inFlight; d != 0 {
		return d
	}
	return boolToInt(a.FailureDomain != domain) - boolToInt(b.FailureDomain != domain)
}

// state returns the state of an upstream and creates it if necessary; the caller holds mu.
func (p *picker) state(name string) *upstreamState {
	if p.states == nil {
		p.states = make(map[string]*upstreamState)
	}
	s := p.states[name]
	if s == nil {
		s = &upstreamState{}
		p.states[name] = s
	}
	return s
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
