package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/wire"
)

// rebalanceAfter is how long the preferred host must have been the same before it gets the key. At 150 restarts a day
// over 370 hosts, a key then moves for a restart of its holder and once back, not for every join.
const rebalanceAfter = 10 * time.Minute

// order returns the live hosts by preference.
func (h *Holder) order() []string {
	if h.LiveVersion != nil {
		version := h.LiveVersion()
		if h.ranked && version == h.rankedAt {
			return h.ranks
		}
		h.rankedAt, h.ranked = version, true
	}
	live := h.Live()
	names := make([]string, 0, len(live))
	for _, m := range live {
		names = append(names, m.Name)
	}
	h.ranks = h.Rank(h.Key, names)
	return h.ranks
}

// position returns the place of this host among those that could follow the owner, or -1 if it must not hold the key.
func (h *Holder) position() (position int, ownerLive bool) {
	order := h.order()
	position = slices.Index(order, h.Self)
	owner := slices.Index(order, h.owner)
	if owner >= 0 && owner < position {
		position--
	}
	return position, owner >= 0
}

// rebalance returns the preferred host once it has been the same one for long.
func (h *Holder) rebalance(now time.Time) (string, bool) {
	order := h.order()
	if len(order) == 0 || order[0] == h.Self {
		h.preferred = ""
		return "", false
	}
	if order[0] != h.preferred {
		h.preferred, h.since = order[0], now
		// Holders that saw the same host join do not all hand over at once.
		h.patience = rebalanceAfter + time.Duration(h.Rand.Int64N(int64(rebalanceAfter/2)))
	}
	return h.preferred, now.Sub(h.since) >= h.patience
}

// successor is the first other host in rank.
func (h *Holder) successor() string {
	for _, name := range h.order() {
		if name != h.Self {
			return name
		}
	}
	return ""
}

// handOver gives the key up and tells another host to take it. A host that misses the message takes it by polling.
func (h *Holder) handOver(ctx context.Context, to string) error {
	leaseID := h.leaseID
	if leaseID == "" {
		return nil
	}
	h.abandon()
	h.Stats.CountEvent(eventHandOver)
	err := h.call(ctx, func(ctx context.Context) error { return h.KV.Revoke(ctx, leaseID) })
	if err != nil && !errors.Is(err, kvapi.ErrLeaseNotFound) {
		return errors.Wrapf(err, "release %s", h.Key)
	}
	for _, m := range h.Live() {
		if m.Name != to {
			continue
		}
		return h.call(ctx, func(ctx context.Context) error {
			var resp wire.ProbeResult
			err := wire.Call(ctx, h.Dialer, m.Addr, wire.KindHandover, wire.Handover{Pool: h.Pool}, &resp)
			return errors.Wrapf(err, "hand %s to %s", h.Key, to)
		})
	}
	return nil
}
