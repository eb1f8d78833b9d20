package elect

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/store"
)

const (
	// tokenEraShift is the position of the era in a fencing token; the revision is below it. Engines may read tokens as
	// floating-point numbers, which hold 53 bits.
	tokenEraShift = 40
	// registerTime is how soon in a new era a host must have registered again to count as known to the others all the
	// while.
	registerTime = 1500 * time.Millisecond
	// maxOrdersAfterEra is how long after the start of an era leaders of earlier eras may send orders, without the
	// handover delay.
	maxOrdersAfterEra = leaseTime + maxOutage
)

// eraState is what a host knows of the era of the store and of the leaders of earlier ones.
type eraState struct {
	known   bool
	number  int64
	since   time.Duration // boot time at which this host first saw it
	changed bool          // this host has seen an earlier one
	led     bool          // this host was the only leader as the era began
	former  []Leader      // known leaders of earlier eras
	pending bool          // the orders of several of them may not have ended
}

// fencingToken returns the fencing token of the leadership that began with a version of the store. It rises from era to
// era, although revisions do not.
func fencingToken(v store.Version) int64 { return v.Era<<tokenEraShift | v.Revision }

// leaseLost reports whether an error of the store means that the lease does not exist any more.
func leaseLost(err error) bool {
	return errors.Is(err, store.ErrLeaseGone) || errors.Is(err, store.ErrRestored)
}

// enterEra starts a new era of the store: its copy may lack the lease, the registration and leader records, and may
// give their revisions and IDs to others. It returns whether this host was leader. The caller holds e.mu.
func (e *Elector) enterEra(era int64, promised time.Duration) (wasLeader bool) {
	if e.era.known && era <= e.era.number {
		return false
	}
	now := e.now()
	before := e.era
	e.era = eraState{known: true, number: era, since: now}
	if !before.known {
		return false
	}
	wasLeader = e.fence != 0
	e.era.changed = true
	e.era.led = e.leadershipValid(now, promised) && now >= e.ordersFrom && !e.handover.unsettled
	if !e.era.led {
		e.era.former = e.lastLeader.others("")
		e.era.pending = before.pending || len(e.lastLeader.After) > 0
		for _, l := range before.former {
			if !slices.ContainsFunc(e.era.former, func(o Leader) bool { return o.Host == l.Host }) {
				e.era.former = append(e.era.former, l)
			}
		}
	}
	e.Log.Warn().Int64("era", era).Int64("known_era", before.number).Bool("led", e.era.led).
		Msg("lease and registration dropped, the store was restored")
	// Other hosts keep the registration in use for a while, so registeredSince still holds if it is soon written again.
	e.stillRegistered = (e.registered || e.stillRegistered) && now < e.leaseEnd
	e.lease, e.registered, e.fence, e.nonce = store.Lease{}, false, 0, newNonce()
	e.currentKnown, e.vacantSince = false, 0
	return wasLeader
}

// RecentlyRestored reports whether the store came back from an older copy so lately that hosts which it does not list
// may be about to register again.
func (e *Elector) RecentlyRestored() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era.changed && e.now() < e.era.since+knownTime
}

// checkCopy applies the first list of an era. A registration that the copy did not have counts as new: a leader may
// know only the hosts in the copy. The caller holds e.mu.
func (e *Elector) checkCopy(own *store.Item) {
	if e.currentKnown || own != nil {
		return
	}
	e.stillRegistered = false
	if e.registered {
		e.registeredSince = e.now()
	}
}

// earlierLeaders returns the known leaders whose orders may not have ended, and whether there may have been others of
// which the store has lost the record. The caller holds e.mu.
func (e *Elector) earlierLeaders(now time.Duration) (earlier []Leader, unknown bool) {
	earlier = e.lastLeader.others(e.Self.Name)
	if now >= e.era.since+maxOrdersAfterEra+e.HandoverDelay {
		return earlier, false
	}
	for _, l := range e.era.former {
		known := slices.ContainsFunc(earlier, func(o Leader) bool { return o.Host == l.Host })
		if !known && l.Host != e.Self.Name {
			earlier = append(earlier, l)
		}
	}
	if e.era.led {
		return earlier, false
	}
	if e.recordRevision == 0 {
		return earlier, e.era.changed || e.HasRun
	}
	return earlier, e.lastLeader.Era != e.era.number
}

// holdsOutdatedKey reports whether the leader key in a restored store is that of an earlier leadership of this host.
// The caller holds e.mu.
func (e *Elector) holdsOutdatedKey() bool {
	if !e.era.changed || !e.currentKnown || e.current == nil {
		return false
	}
	l := decodeLeader(e.current.Value)
	return l.Host == e.Self.Name && l.Nonce != e.nonce
}

// removeOutdatedKey removes the leader key of an earlier leadership of this host, so that none has to wait for its end.
func (e *Elector) removeOutdatedKey(ctx context.Context) time.Duration {
	e.mu.Lock()
	if e.current == nil {
		e.mu.Unlock()
		return 0
	}
	t := store.Txn{
		Era:    e.era.number,
		If:     []store.Condition{{Key: leaderKey, Revision: e.current.Revision}},
		Remove: []string{leaderKey},
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	as, err := e.Store.Commit(ctx, t)
	if err != nil {
		e.Log.Info().Err(err).Msg("failed to remove an outdated leader key")
		return retryDelay
	}
	e.mu.Lock()
	changed := e.learn(leaderKey, as) && e.applyLeader(nil)
	e.mu.Unlock()
	if changed {
		e.LeadershipChanged(false)
	}
	return 0
}
