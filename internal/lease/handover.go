package lease

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/wire"
)

// rebalanceDelay is the minimum time for which the same host must rank first before the key is handed over to it. With
// 150 restarts a day among 370 hosts, a key then moves when its holder restarts and once back, not whenever a host
// joins.
const rebalanceDelay = 10 * time.Minute

// ranking returns the names of the live hosts in order of preference for the key.
func (h *Holder) ranking() []string {
	if h.LiveVersion != nil {
		version := h.LiveVersion()
		if h.rankCached && version == h.rankedVersion {
			return h.rankedHosts
		}
		h.rankedVersion, h.rankCached = version, true
	}
	live := h.Live()
	names := make([]string, 0, len(live))
	for _, m := range live {
		names = append(names, m.Name)
	}
	h.rankedHosts = h.Rank(h.Key, names)
	return h.rankedHosts
}

// ownRank returns the rank of this host among the live hosts other than the current holder, or -1 if this host must not
// hold the key. It also reports whether the current holder is live.
func (h *Holder) ownRank() (rank int, holderLive bool) {
	ranking := h.ranking()
	rank = slices.Index(ranking, h.Self)
	holderRank := slices.Index(ranking, h.keyHolder)
	if holderRank >= 0 && holderRank < rank {
		rank--
	}
	return rank, holderRank >= 0
}

// rebalance returns the host that ranks first if it is another one, and reports whether it has ranked first long enough
// to get the key.
func (h *Holder) rebalance(now time.Time) (string, bool) {
	ranking := h.ranking()
	if len(ranking) == 0 || ranking[0] == h.Self {
		h.preferred = ""
		return "", false
	}
	if ranking[0] != h.preferred {
		h.preferred, h.preferredSince = ranking[0], now
		// The delay is random, so that holders of many keys do not all hand over to a newly joined host at once.
		h.hysteresis = rebalanceDelay + time.Duration(h.Rand.Int64N(int64(rebalanceDelay/2)))
	}
	return h.preferred, now.Sub(h.preferredSince) >= h.hysteresis
}

// successor returns the highest ranked host other than this one, or an empty string.
func (h *Holder) successor() string {
	for _, name := range h.ranking() {
		if name != h.Self {
			return name
		}
	}
	return ""
}

// handOver releases the key and sends a handover message to another host, which then campaigns at once. If the message
// is lost, a host finds by polling that the key is absent.
func (h *Holder) handOver(ctx context.Context, to string) error {
	leaseID := h.leaseID
	if leaseID == "" {
		return nil
	}
	h.drop()
	h.Stats.CountEvent(eventHandover)
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
			return errors.Wrapf(err, "hand %s over to %s", h.Key, to)
		})
	}
	return nil
}
