package quota

import (
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// locals are the accounts of a host that has no leader.
type locals struct {
	bounds  *Bounds
	started time.Time // start of the process
	byName  map[string]*local
}

// local is an account of a host that has no leader. The base gets the host's part of the rate while the host has no
// leader. The reserve is refilled at all times.
type local struct {
	quota   topo.Quota
	base    bucket
	reserve bucket
	started bool      // the reserve has been filled for the first time
	debtAt  time.Time // when a call last took the base below zero
	largest float64   // largest recent cost of a call
	seenAt  time.Time // when a call of at least half of it was last seen
}

// largestAge is how long the cost of a large call is remembered.
const largestAge = 10 * time.Minute

// part is what belongs to a host that has no leader.
type part struct {
	hosts float64
	since time.Time // since when the host has its own part of the rate; zero if it has not
	// rank returns the position of the host in the order of all hosts for a workspace.
	rank func(workspace string) int
}

func (s *locals) setQuotas(now time.Time, quotas map[string]topo.Quota) {
	for name, a := range s.byName {
		q, ok := quotas[name]
		switch {
		case !ok:
			delete(s.byName, name)
			continue
		case q.InTokens != a.quota.InTokens:
			a.base.level, a.reserve.level = min(a.base.level, 0), 0
		}
		a.quota = q
	}
	for name, q := range quotas {
		if s.byName[name] == nil {
			s.byName[name] = &local{quota: q, base: bucket{at: now}, reserve: bucket{at: now}}
		}
	}
}

// surrender empties all bases, because the host's part of the rate belongs to the leader from now on. Debts stay.
func (s *locals) surrender() {
	for _, a := range s.byName {
		a.base.level = min(a.base.level, 0)
	}
}

func (s *locals) settle(now time.Time, a *local, p *part) {
	r := s.bounds.reserve(&a.quota, p.hosts)
	if !a.started {
		a.started, a.reserve.level = true, r
	}
	a.reserve.refill(now, r/s.bounds.window().Seconds(), r)
	if p.since.IsZero() {
		return
	}
	if a.base.at.Before(p.since) {
		a.base.at = p.since
	}
	a.base.refill(now, a.quota.Rate/p.hosts, a.quota.Burst/p.hosts)
}

// note remembers the cost of a call, whoever decides on it.
func (a *local) note(now time.Time, cost float64) {
	if cost >= a.largest || now.Sub(a.seenAt) > largestAge {
		a.largest = cost
	}
	if cost >= a.largest/2 {
		a.seenAt = now
	}
}

// charge takes the cost of a call from the base and then from the reserve, and returns what it has taken from each. If
// they lack it, charge returns the time until they have it.
func (s *locals) charge(now time.Time, name string, cost float64, p *part) (base, reserve float64, wait time.Duration,
	ok bool,
) {
	a := s.byName[name]
	s.settle(now, a, p)
	free := max(a.base.level, 0)
	if cost <= free+a.reserve.level+tolerance {
		base = min(cost, free)
		reserve = cost - base
		a.base.level -= base
		a.reserve.level -= reserve
		return base, reserve, 0, true
	}
	capacity := a.quota.Burst / p.hosts
	if cost > capacity+s.bounds.reserve(&a.quota, p.hosts) {
		if s.mayOwe(now, name, a, p) {
			a.base.level -= cost
			a.debtAt = now
			return cost, 0, 0, true
		}
		return 0, 0, s.bounds.window(), false
	}
	rate := s.bounds.reserve(&a.quota, p.hosts) / s.bounds.window().Seconds()
	if !p.since.IsZero() {
		rate += a.quota.Rate / p.hosts
	}
	return 0, 0, fillTime(cost-a.reserve.level-a.base.level, rate, s.bounds.window()), false
}

// mayOwe reports whether a call that is larger than the account can ever hold may take it below zero now. Each chosen
// host may do that once in a window.
func (s *locals) mayOwe(now time.Time, name string, a *local, p *part) bool {
	window := s.bounds.window()
	if p.since.IsZero() || a.base.level < 0 || !a.debtAt.IsZero() && now.Sub(a.debtAt) < window {
		return false
	}
	return p.rank(name) < s.bounds.debtors(&a.quota, a.largest)
}
