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
	// checkInterval is how often a host checks its rank, which needs no call to the service.
	checkInterval = time.Second
	// idleInterval is the check interval of hosts that rank too low to poll, which are nearly all of them.
	idleInterval     = 5 * time.Second
	retryInterval    = time.Second
	maxRetryInterval = 8 * time.Second
	// campaignDelay is how long a host waits per rank above its own after it found the key absent, so that preferred
	// hosts campaign first.
	campaignDelay = 2 * time.Second
)

// pollIntervals are the times between polls of a held key, by rank; hosts that rank lower do not poll. With the first,
// a takeover takes at most 10 s for the lease to end plus 2.5 s for the next poll. All polls together are 0.75 calls a
// second per key.
var pollIntervals = []time.Duration{
	2 * time.Second, 6 * time.Second, 15 * time.Second, 50 * time.Second,
	50 * time.Second, 50 * time.Second, 50 * time.Second, 50 * time.Second,
}

// step renews the lease or polls the key if that is due, and returns the time until the next step.
func (h *Holder) step(ctx context.Context) time.Duration {
	if h.leaseID != "" && h.keyHolder == h.Self {
		return h.renew(ctx)
	}
	return h.poll(ctx)
}

// renew extends the lease when that is due. After validity has ended locally it still tries, because the service may
// keep the lease for a little longer.
func (h *Holder) renew(ctx context.Context) time.Duration {
	now := time.Now()
	held, until := h.validity()
	if held && !now.Before(until) {
		h.lose()
		held = false
	}
	if due := h.renewedAt.Add(renewInterval); held && h.failures == 0 && now.Before(due) {
		return due.Sub(now)
	}
	err := h.call(ctx, func(ctx context.Context) error {
		if held {
			// The call ends with validity at the latest, so that a call without a response does not delay OnLost.
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
	case errors.Is(err, kvapi.ErrLeaseNotFound) || time.Since(h.renewedAt) > leaseTTL+callTimeout:
		h.drop()
		return h.jitter(checkInterval)
	default:
		h.failures++
		return h.retryDelay(held, until)
	}
}

// renewed extends validity after a successful renewal. Validity counts from the start of the call, because the service
// may have renewed the lease long before its response arrived.
func (h *Holder) renewed(ctx context.Context, start time.Time) time.Duration {
	h.renewedAt = start
	h.mu.Lock()
	held := h.held
	if held {
		h.validUntil = start.Add(leaseTTL - safetyMargin)
	}
	h.mu.Unlock()
	if !held {
		return h.resolve(ctx)
	}
	if to, ok := h.rebalance(time.Now()); ok {
		h.Stats.CountEvent(eventRebalance)
		_ = h.handOver(ctx, to)
		return checkInterval
	}
	return max(0, time.Until(start.Add(renewInterval)))
}

// retryDelay returns the time until the next attempt to renew, which is no later than the end of validity.
func (h *Holder) retryDelay(held bool, until time.Time) time.Duration {
	wait := h.jitter(retryInterval)
	if held {
		return max(0, min(wait, time.Until(until)))
	}
	return wait
}

// poll reads the key when a poll is due for the rank of this host, and campaigns if the key is absent.
func (h *Holder) poll(ctx context.Context) time.Duration {
	now := time.Now()
	rank, holderLive := h.ownRank()
	if rank < 0 || rank >= len(pollIntervals) && !h.campaignNow {
		h.campaignNow = false
		return idleInterval
	}
	if wait := h.untilPoll(now, rank, holderLive); wait > 0 {
		return min(wait, checkInterval)
	}
	h.lastPoll, h.pollJitter = now, h.Rand.Float64()
	entry, err := h.readKey(ctx)
	switch {
	case errors.Is(err, kvapi.ErrNotFound):
		h.failures = 0
		return h.campaign(ctx, now, rank)
	case err != nil:
		h.failures++
		return checkInterval
	}
	h.failures, h.campaignNow = 0, false
	h.observe(entry)
	return 0
}

// untilPoll returns the time until the next poll; it is due if the result is zero or negative.
func (h *Holder) untilPoll(now time.Time, rank int, holderLive bool) time.Duration {
	wait := pollIntervals[min(rank, len(pollIntervals)-1)]
	switch {
	case h.failures > 0:
		// Backoff is never shorter than the interval of the rank, so that not all hosts call the service at once when
		// it is available again.
		wait = max(min(retryInterval<<min(h.failures, 8), maxRetryInterval), wait)
	case h.campaignNow:
		return 0
	case !h.absentSince.IsZero():
		return h.absentSince.Add(time.Duration(rank) * campaignDelay).Sub(now)
	case rank == 0 && !holderLive:
		wait = checkInterval
	}
	if h.lastPoll.IsZero() {
		// The first poll is due after a random part of a quarter interval, so that hosts that start together do not
		// poll together.
		h.lastPoll, h.pollJitter = now.Add(-wait), h.Rand.Float64()
	}
	wait += time.Duration(h.pollJitter * float64(wait) / 4)
	return h.lastPoll.Add(wait).Sub(now)
}

// observe records the holder of the key. This may be this host, by a write whose response was lost.
func (h *Holder) observe(entry kvapi.Entry) {
	h.absentSince = time.Time{}
	var rec holderRecord
	if json.Unmarshal(entry.Value, &rec) != nil {
		h.keyHolder = ""
		return
	}
	h.keyHolder = rec.Host
	if rec.Host == h.Self && rec.ID != h.recordID {
		// The record is from an earlier lease or process of this host, which is no longer renewed.
		h.keyHolder = ""
	}
}

// campaign creates the key, unless hosts that rank higher still have time to do so.
func (h *Holder) campaign(ctx context.Context, now time.Time, rank int) time.Duration {
	h.keyHolder = ""
	if h.absentSince.IsZero() {
		h.absentSince = now
	}
	if wait := h.absentSince.Add(time.Duration(rank) * campaignDelay).Sub(now); wait > 0 && !h.campaignNow {
		return min(wait, checkInterval)
	}
	h.campaignNow = false
	if err := h.ensureLease(ctx); err != nil {
		h.failures++
		return checkInterval
	}
	value, err := json.Marshal(holderRecord{Host: h.Self, ID: h.recordID})
	if err != nil {
		return checkInterval
	}
	var entry kvapi.Entry
	err = h.call(ctx, func(ctx context.Context) error {
		var err error
		entry, err = h.KV.Put(ctx, kvapi.Write{Key: h.Key, Value: value, IfVersion: kvapi.IfAbsent, LeaseID: h.leaseID})
		return err
	})
	switch {
	case err == nil:
		return h.acquireIfValid(entry.Revision)
	case errors.Is(err, kvapi.ErrLeaseNotFound):
		h.drop()
		return h.jitter(retryInterval)
	case errors.Is(err, kvapi.ErrRateLimited):
		h.failures++
		return checkInterval
	default:
		// The conflict may be with an earlier write of this host, and a failed call may have written the key.
		return h.resolve(ctx)
	}
}

// ensureLease obtains a new lease, or renews the one of an earlier attempt to write the key with unknown outcome.
func (h *Holder) ensureLease(ctx context.Context) error {
	start := time.Now()
	if h.leaseID != "" {
		err := h.call(ctx, func(ctx context.Context) error { return h.KV.Renew(ctx, h.leaseID) })
		if err == nil {
			h.renewedAt = start
			return nil
		}
		h.drop()
		if !errors.Is(err, kvapi.ErrLeaseNotFound) {
			return err
		}
		start = time.Now()
	}
	return h.call(ctx, func(ctx context.Context) error {
		id, err := h.KV.Grant(ctx, leaseTTL)
		if err != nil {
			return err
		}
		h.leaseID, h.renewedAt = id, start
		h.recordID = h.Self + "/" + strconv.FormatUint(h.Rand.Uint64(), 36)
		return nil
	})
}

// resolve reads the key to determine whether a write of this host with unknown outcome took effect.
func (h *Holder) resolve(ctx context.Context) time.Duration {
	entry, err := h.readKey(ctx)
	switch {
	case errors.Is(err, kvapi.ErrNotFound):
		// The write may still take effect. The next attempt uses the same lease and record ID, so it does not matter
		// which of the two creates the key.
		h.keyHolder = ""
		return h.jitter(retryInterval)
	case err != nil:
		h.failures++
		return h.jitter(retryInterval)
	}
	h.observe(entry)
	if h.keyHolder != h.Self {
		h.drop()
		return checkInterval
	}
	return h.acquireIfValid(entry.Revision)
}

// acquireIfValid acquires the key that this host has written. If the response came after the end of validity, the next
// step renews the lease first.
func (h *Holder) acquireIfValid(epoch int64) time.Duration {
	h.keyHolder, h.failures = h.Self, 0
	if time.Now().Before(h.renewedAt.Add(leaseTTL - safetyMargin)) {
		h.acquire(epoch)
	}
	return 0
}

func (h *Holder) readKey(ctx context.Context) (kvapi.Entry, error) {
	var entry kvapi.Entry
	err := h.call(ctx, func(ctx context.Context) error {
		var err error
		entry, err = h.KV.Get(ctx, h.Key)
		return err
	})
	return entry, err
}

// drop forgets a lease that has ended or is of no use any more; the service ends it when it expires.
func (h *Holder) drop() {
	h.lose()
	h.leaseID, h.recordID = "", ""
	if h.keyHolder == h.Self {
		h.keyHolder = ""
	}
	h.lastPoll = time.Now()
}

// jitter returns a random duration between d/2 and d.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(h.Rand.Int64N(int64(d/2)))
}
