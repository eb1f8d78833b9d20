package elect

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/store"
)

const (
	// knownTime is how long a host must have been registered for an earlier leader to know of it: the lease duration,
	// the age that a host's copy of the registrations may have, and the delay until the vacancy is seen.
	knownTime = 10 * time.Second
	// recentTime is how long before a vacancy a host may have made its last promise for the leader to know of it still.
	// It is shorter than the time from the renewal of a lease to its end.
	recentTime = leaseTime - 500*time.Millisecond
	// stepDownInterval is the time between two requests to an earlier leader that has not stepped down.
	stepDownInterval = time.Second
	// never is a wait that other events end.
	never = time.Hour
)

// handover is the state of a new leader until the orders of earlier ones have ended.
type handover struct {
	silent    []Leader      // earlier leaders that have not stepped down
	stepped   []Leader      // those that have
	lastOrder time.Duration // boot time of the last order of those in stepped
	askedAt   time.Duration
	unknown   bool // there may be others, of which the store has lost the record
	unsettled bool // the leader record names earlier leaders, or may lack some
}

// others returns the leader of a record and the earlier ones that it names, without those on the named host, whose
// orders count as those of one holder.
func (l Leader) others(host string) []Leader {
	var out []Leader
	for _, o := range append([]Leader{l}, l.After...) {
		o.After = nil
		known := slices.ContainsFunc(out, func(x Leader) bool { return x.Host == o.Host })
		if o.Host != "" && o.Host != host && !known {
			out = append(out, o)
		}
	}
	return out
}

// takeoverTime returns the time before which this host must not send orders after earlier leaders that do not respond.
// They may send orders until their leases end, at most leaseTime after the key was removed, and for maxOutage longer if
// they do not know of this host, so that they need no promise of it. Of leaders whose records are lost it is not known
// since when they cannot renew their leases, but the leases of those that do not know of this host ended soon after its
// registration. The caller holds e.mu.
func (e *Elector) takeoverTime(earlier []Leader, unknown bool) time.Duration {
	if len(earlier) == 0 && !unknown {
		return e.promiseEnd(nil)
	}
	from := e.vacantSince + leaseTime + e.HandoverDelay
	switch {
	case !e.isKnownTo(earlier):
		from += maxOutage
	case unknown:
		from = max(from, min(from+maxOutage, e.registeredSince+knownTime+maxOutage+e.HandoverDelay))
	}
	return max(from, e.promiseEnd(nil))
}

// isKnownTo reports whether the earlier leaders know of this host, so that they extend no lease without its promise. A
// leader asks for promises only the hosts that it knows, and forgets none while it cannot renew its lease. The caller
// holds e.mu.
func (e *Elector) isKnownTo(earlier []Leader) bool {
	if e.registeredSince+knownTime <= e.firstVacancy {
		return true
	}
	return len(earlier) == 1 && e.promisedTo == earlier[0].Nonce && e.promisedAt+recentTime >= e.vacantSince
}

// continueHandover asks the earlier leaders to step down and, once their orders have ended, removes them from the
// leader record. It returns the time until the next step.
func (e *Elector) continueHandover(ctx context.Context, now time.Duration) time.Duration {
	e.mu.Lock()
	h := &e.handover
	if e.fence == 0 || e.leaving || !h.unsettled {
		e.mu.Unlock()
		return never
	}
	t := Term{Nonce: e.nonce, Token: e.fence, LeaseEnd: e.leaseEnd}
	if now >= e.ordersFrom {
		e.mu.Unlock()
		return e.settle(ctx, t)
	}
	wait := e.ordersFrom - now
	if len(h.silent) == 0 {
		e.mu.Unlock()
		return wait
	}
	if due := h.askedAt + stepDownInterval - now; h.askedAt != 0 && due > 0 {
		e.mu.Unlock()
		return min(wait, due)
	}
	h.askedAt = now
	silent := slices.Clone(h.silent)
	e.mu.Unlock()
	for _, l := range silent {
		go e.requestStepDown(l, t)
	}
	return min(wait, stepDownInterval)
}

// requestStepDown asks one earlier leader to step down. When all have, orders may follow their last one after the
// handover delay.
func (e *Elector) requestStepDown(l Leader, t Term) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	sinceLast, err := e.RequestStepDown(ctx, l, t)
	if err != nil {
		e.Log.Info().Err(err).Str("last", l.Host).Msg("earlier leader does not respond")
		return
	}
	e.mu.Lock()
	h := &e.handover
	if e.fence == 0 || e.nonce != t.Nonce {
		e.mu.Unlock()
		return
	}
	h.silent = slices.DeleteFunc(h.silent, func(o Leader) bool { return o.Host == l.Host })
	h.stepped = append(h.stepped, l)
	h.lastOrder = max(h.lastOrder, e.now()-sinceLast)
	if len(h.silent) == 0 && !h.unknown {
		e.ordersFrom = min(e.ordersFrom, max(h.lastOrder+e.HandoverDelay+safetyMargin, e.promiseEnd(h.stepped)))
	}
	e.mu.Unlock()
	e.notify(false)
}

// settle removes the earlier leaders from the leader record.
func (e *Elector) settle(ctx context.Context, t Term) time.Duration {
	e.mu.Lock()
	if e.current == nil || e.nonce != t.Nonce {
		e.mu.Unlock()
		return renewInterval
	}
	revision, era := e.current.Revision, e.era.number
	e.mu.Unlock()
	value, err := json.Marshal(Leader{Host: e.Self.Name, Link: e.Self.Link, Nonce: t.Nonce, Era: era})
	if err != nil {
		e.Log.Error().Err(err).Msg("failed to encode leader record")
		return renewInterval
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = e.Store.Commit(ctx, store.Txn{
		Era:  era,
		If:   []store.Condition{{Key: leaderKey, Revision: revision}},
		Puts: []store.Item{{Key: leaderRecordKey, Value: value}},
	})
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			e.Log.Warn().Err(err).Msg("failed to update leader record")
		}
		return renewInterval
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.nonce == t.Nonce {
		e.handover.unsettled = false
	}
	return 0
}
