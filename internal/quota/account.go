package quota

import (
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// accounts are the accounts of a leader.
type accounts struct {
	bounds *Bounds
	since  time.Time // start of the term
	share  float64   // share of the rate and the burst that belongs to the connected hosts
	byName map[string]*account
}

type account struct {
	quota topo.Quota
	bucket
}

func newAccounts(now time.Time, b *Bounds, quotas map[string]topo.Quota) *accounts {
	s := &accounts{bounds: b, since: now, byName: make(map[string]*account, len(quotas))}
	for name, q := range quotas {
		s.byName[name] = &account{quota: q, bucket: bucket{at: now}}
	}
	return s
}

// setQuotas applies a new configuration.
func (s *accounts) setQuotas(now time.Time, quotas map[string]topo.Quota) {
	for name, a := range s.byName {
		q, ok := quotas[name]
		if !ok {
			delete(s.byName, name)
			continue
		}
		s.settle(now, a)
		if q.InTokens != a.quota.InTokens {
			a.level = min(a.level, 0)
		}
		a.quota = q
		a.level = min(a.level, q.Burst*s.share)
	}
	known := now.Sub(s.since) >= s.bounds.window()
	for name, q := range quotas {
		if s.byName[name] != nil {
			continue
		}
		a := &account{quota: q, bucket: bucket{at: now}}
		if known {
			a.level = q.Burst * s.share
		}
		s.byName[name] = a
	}
}

// setShare sets the share of the rate and the burst that the accounts get from now on.
func (s *accounts) setShare(now time.Time, share float64) {
	if share == s.share {
		return
	}
	for _, a := range s.byName {
		s.settle(now, a)
		a.level = min(a.level, a.quota.Burst*share)
	}
	s.share = share
}

func (s *accounts) settle(now time.Time, a *account) {
	a.refill(now, a.quota.Rate*s.share, a.quota.Burst*s.share)
}

// charge takes the cost of a call from an account. If the account lacks it, charge returns the time until it has it.
func (s *accounts) charge(now time.Time, a *account, cost float64) (time.Duration, bool) {
	s.settle(now, a)
	need := cost
	if capacity := a.quota.Burst * s.share; cost > capacity && s.oversize(a, cost) {
		need = capacity
	}
	if a.level >= need-tolerance {
		a.level -= cost
		return 0, true
	}
	return fillTime(need-a.level, a.quota.Rate*s.share, s.bounds.window()), false
}

// oversize reports whether a call that is larger than the account can ever hold may take it below zero. Only one leader
// has more than half of the hosts.
func (s *accounts) oversize(a *account, cost float64) bool {
	return s.share > 0.5 && cost <= oversizeRoom*s.bounds.room(&a.quota)
}

// debit takes units that have been used already.
func (s *accounts) debit(now time.Time, name string, units float64) {
	if a := s.byName[name]; a != nil && units > 0 {
		s.settle(now, a)
		a.level -= units
	}
}

// standing returns what followers are told about an account.
func (s *accounts) standing(now time.Time, name string) Standing {
	a := s.byName[name]
	if a == nil {
		return Standing{Workspace: name}
	}
	s.settle(now, a)
	need := plainCost(&a.quota)
	if capacity := a.quota.Burst * s.share; need > capacity && s.oversize(a, need) {
		need = capacity
	}
	wait := fillTime(need-a.level, a.quota.Rate*s.share, s.bounds.window())
	return Standing{
		Workspace: name, WaitMS: (wait + time.Millisecond - 1).Milliseconds(),
		Scarce: a.level < scarceBurst*a.quota.Burst*s.share || a.level <= 0,
	}
}

// plainCost returns what a plain call of the workspace costs.
func plainCost(q *topo.Quota) float64 { return q.Cost(0, 0, true) }
