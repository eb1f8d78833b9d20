package lease

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
)

const (
	// checkEvery is how often the rank is looked at without a call to the service.
	checkEvery = time.Second
	// idleEvery is the same for hosts far back in rank, which are nearly all.
	idleEvery  = 5 * time.Second
	retryEvery = time.Second
	retryMax   = 8 * time.Second
	// absentDelay times the position lets hosts that are preferred go first.
	absentDelay = 2 * time.Second
)

// pollEvery is the time between two looks at a held key by position in rank; hosts further back make no calls. The
// first bounds a takeover to 10 s + 2.5 s, and all together cost 0.75 calls a second per key.
var pollEvery = []time.Duration{
	2 * time.Second, 6 * time.Second, 15 * time.Second, 50 * time.Second,
	50 * time.Second, 50 * time.Second, 50 * time.Second, 50 * time.Second,
}

// step does what is due and returns the time until the next step.
func (h *Holder) step(ctx context.Context) time.Duration {
	if h.leaseID != "" && h.owner == h.Self {
		return h.renew(ctx)
	}
	return h.watch(ctx)
}

// renew extends the lease. Its validity ends by itself, but the service may keep the lease a little longer.
func (h *Holder) renew(ctx context.Context) time.Duration {
	now := time.Now()
	held, until := h.holds()
	if held && !now.Before(until) {
		h.lose()
		held = false
	}
	if due := h.started.Add(renewEvery); held && h.failures == 0 && now.Before(due) {
		return due.Sub(now)
	}
	err := h.call(ctx, func(ctx context.Context) error {
		if held {
			// OnLoss must not wait for a call that hangs beyond the end of validity.
			var cancel context.CancelFunc
			ctx, cancel = context.WithDeadline(ctx, until)
			defer cancel()
		}
		return h.KV.Renew(ctx, h.leaseID)
	})
	switch {
	case err == nil:
		h.failures = 0
		return h.renewed(ctx, now)
	case errors.Is(err, kvapi.ErrLeaseNotFound) || time.Since(h.started) > leaseTime+callTimeout:
		h.abandon()
		return h.jitter(checkEvery)
	default:
		h.failures++
		return h.retry(held, until)
	}
}

// renewed counts validity from the start of the call, because its answer may have been held up.
func (h *Holder) renewed(ctx context.Context, start time.Time) time.Duration {
	h.started = start
	h.mu.Lock()
	held := h.held
	if held {
		h.validUntil = start.Add(leaseTime - margin)
	}
	h.mu.Unlock()
	if !held {
		return h.settle(ctx)
	}
	if to, ok := h.rebalance(time.Now()); ok {
		h.Stats.CountEvent(eventRebalance)
		_ = h.handOver(ctx, to)
		return checkEvery
	}
	return max(0, time.Until(start.Add(renewEvery)))
}

func (h *Holder) retry(held bool, until time.Time) time.Duration {
	wait := h.jitter(retryEvery)
	if held {
		return max(0, min(wait, time.Until(until)))
	}
	return wait
}

// watch looks at the key from time to time, by the position in rank, and campaigns when it does not exist.
func (h *Holder) watch(ctx context.Context) time.Duration {
	now := time.Now()
	position, ownerLive := h.position()
	if position < 0 || position >= len(pollEvery) && !h.urgent {
		h.urgent = false
		return idleEvery
	}
	if wait := h.untilPoll(now, position, ownerLive); wait > 0 {
		return min(wait, checkEvery)
	}
	h.polledAt, h.spread = now, h.Rand.Float64()
	entry, err := h.get(ctx)
	switch {
	case errors.Is(err, kvapi.ErrNotFound):
		h.failures = 0
		return h.campaign(ctx, now, position)
	case err != nil:
		h.failures++
		return checkEvery
	}
	h.failures, h.urgent = 0, false
	h.seen(entry)
	return 0
}

// untilPoll returns how long to wait before the next look at the key.
func (h *Holder) untilPoll(now time.Time, position int, ownerLive bool) time.Duration {
	wait := pollEvery[min(position, len(pollEvery)-1)]
	switch {
	case h.failures > 0:
		// The position still counts during an outage, so that the service is not met by all hosts when it returns.
		wait = max(min(retryEvery<<min(h.failures, 8), retryMax), wait)
	case h.urgent:
		return 0
	case !h.absentAt.IsZero():
		return h.absentAt.Add(time.Duration(position) * absentDelay).Sub(now)
	case position == 0 && !ownerLive:
		wait = checkEvery
	}
	if h.polledAt.IsZero() {
		// Hosts that start together do not look together.
		h.polledAt, h.spread = now.Add(-wait), h.Rand.Float64()
	}
	wait += time.Duration(h.spread * float64(wait) / 4)
	return h.polledAt.Add(wait).Sub(now)
}

// seen notes the holder, who may be this host by a write whose answer was lost.
func (h *Holder) seen(entry kvapi.Entry) {
	h.absentAt = time.Time{}
	var c claim
	if json.Unmarshal(entry.Value, &c) != nil {
		h.owner = ""
		return
	}
	h.owner = c.Host
	if c.Host == h.Self && c.ID != h.id {
		// It is from a former lease or process, which nobody renews.
		h.owner = ""
	}
}

// campaign creates the key unless a preferred host should go first.
func (h *Holder) campaign(ctx context.Context, now time.Time, position int) time.Duration {
	h.owner = ""
	if h.absentAt.IsZero() {
		h.absentAt = now
	}
	if wait := h.absentAt.Add(time.Duration(position) * absentDelay).Sub(now); wait > 0 && !h.urgent {
		return min(wait, checkEvery)
	}
	h.urgent = false
	if err := h.lease(ctx); err != nil {
		h.failures++
		return checkEvery
	}
	value, err := json.Marshal(claim{Host: h.Self, ID: h.id})
	if err != nil {
		return checkEvery
	}
	var entry kvapi.Entry
	err = h.call(ctx, func(ctx context.Context) error {
		var err error
		entry, err = h.KV.Put(ctx, kvapi.Write{Key: h.Key, Value: value, IfVersion: kvapi.IfAbsent, LeaseID: h.leaseID})
		return err
	})
	switch {
	case err == nil:
		return h.confirm(entry.Revision)
	case errors.Is(err, kvapi.ErrLeaseNotFound):
		h.abandon()
		return h.jitter(retryEvery)
	case errors.Is(err, kvapi.ErrRateLimited):
		h.failures++
		return checkEvery
	default:
		// A conflict may be with an own earlier write, and an error may follow a write that took effect.
		return h.settle(ctx)
	}
}

// lease makes a lease, or extends the one of an earlier attempt that is not settled.
func (h *Holder) lease(ctx context.Context) error {
	start := time.Now()
	if h.leaseID != "" {
		err := h.call(ctx, func(ctx context.Context) error { return h.KV.Renew(ctx, h.leaseID) })
		if err == nil {
			h.started = start
			return nil
		}
		h.abandon()
		if !errors.Is(err, kvapi.ErrLeaseNotFound) {
			return err
		}
		start = time.Now()
	}
	return h.call(ctx, func(ctx context.Context) error {
		id, err := h.KV.Grant(ctx, leaseTime)
		if err != nil {
			return err
		}
		h.leaseID, h.started = id, start
		h.id = h.Self + "/" + strconv.FormatUint(h.Rand.Uint64(), 36)
		return nil
	})
}

// settle reads the key back to learn whether an own write took effect.
func (h *Holder) settle(ctx context.Context) time.Duration {
	entry, err := h.get(ctx)
	switch {
	case errors.Is(err, kvapi.ErrNotFound):
		// The write may still arrive; the next attempt uses the same lease and id, so that both are the same claim.
		h.owner = ""
		return h.jitter(retryEvery)
	case err != nil:
		h.failures++
		return h.jitter(retryEvery)
	}
	h.seen(entry)
	if h.owner != h.Self {
		h.abandon()
		return checkEvery
	}
	return h.confirm(entry.Revision)
}

// confirm gains the key, unless its answer came so late that the lease has to be renewed first.
func (h *Holder) confirm(epoch int64) time.Duration {
	h.owner, h.failures = h.Self, 0
	if time.Now().Before(h.started.Add(leaseTime - margin)) {
		h.gain(epoch)
	}
	return 0
}

func (h *Holder) get(ctx context.Context) (kvapi.Entry, error) {
	var entry kvapi.Entry
	err := h.call(ctx, func(ctx context.Context) error {
		var err error
		entry, err = h.KV.Get(ctx, h.Key)
		return err
	})
	return entry, err
}

// abandon forgets a lease that is gone or useless; the service ends it by itself.
func (h *Holder) abandon() {
	h.lose()
	h.leaseID, h.id = "", ""
	if h.owner == h.Self {
		h.owner = ""
	}
	h.polledAt = time.Now()
}

// jitter returns between half of d and d.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(h.Rand.Int64N(int64(d/2)))
}
