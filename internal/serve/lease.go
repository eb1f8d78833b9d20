package serve

import (
	"time"

	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/rendez"
	"github.com/figreel/figreel/internal/wire"
)

// joinGracePeriod is long enough for several attempts to join the other hosts through the seeds.
const joinGracePeriod = 5 * time.Second

// newLease returns a holder that campaigns for the lease with the given key; pool is its name in handover messages.
func (h *Host) newLease(key, pool string, onAcquired func(epoch int64), onLost func()) *lease.Holder {
	return &lease.Holder{
		Key: key, Pool: pool, Self: h.Config.Name, KV: h.kv, Live: h.candidates, LiveVersion: h.candidateVersion,
		Rank: rendez.Rank, Dialer: h.endpoint,
		OnAcquired: onAcquired, OnLost: onLost, Stats: h.stats,
	}
}

// candidates returns the hosts that may hold leases. It returns none while this host knows only itself and may still be
// joining the others. Otherwise, when all hosts start together, each of them would rank itself first for every lease.
func (h *Host) candidates() []wire.Member {
	live := h.members.Live()
	if len(live) == 1 && h.joining() {
		return nil
	}
	return live
}

// candidateVersion returns a number that changes whenever the result of candidates may change.
func (h *Host) candidateVersion() uint64 {
	v := 2 * h.members.Version()
	if h.joining() {
		v++
	}
	return v
}

// joining reports whether the host started so recently that it may not have joined the other hosts yet.
func (h *Host) joining() bool {
	return len(h.Config.Peers.Seeds) > 0 && time.Since(h.startedAt) < joinGracePeriod
}

// campaign returns the campaign for the lease with the given name in handover messages, or nil if this host does not
// campaign for it.
func (h *Host) campaign(name string) interface{ CampaignNow() } {
	if name == h.loadLimiter.key {
		return h.loadLimiter.lease
	}
	if m := h.pools.get(name); m != nil {
		return m
	}
	return nil
}
