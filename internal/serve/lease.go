package serve

import (
	"time"

	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/rendez"
	"github.com/figreel/figreel/internal/wire"
)

// joinTime covers a few attempts to join through seeds.
const joinTime = 5 * time.Second

// newLease returns the campaign for a key; pool is the name that hand-over messages carry.
func (h *Host) newLease(key, pool string, gain func(epoch int64), loss func()) *lease.Holder {
	return &lease.Holder{
		Key: key, Pool: pool, Self: h.Config.Name, KV: h.kv, Live: h.candidates, LiveVersion: h.candidateVersion,
		Rank: rendez.Rank, Dialer: h.node,
		OnGain: gain, OnLoss: loss, Stats: h.stats,
	}
}

// candidates returns the hosts that may hold leases. It is empty while this host may not have met the others yet:
// alone in its table, every host of a common start would see itself as preferred.
func (h *Host) candidates() []wire.Member {
	live := h.table.Live()
	if len(live) == 1 && h.meeting() {
		return nil
	}
	return live
}

// candidateVersion changes with candidates.
func (h *Host) candidateVersion() uint64 {
	v := 2 * h.table.Version()
	if h.meeting() {
		v++
	}
	return v
}

// meeting reports whether the host has started so recently that it may not have joined the others.
func (h *Host) meeting() bool {
	return len(h.Config.Peers.Seeds) > 0 && time.Since(h.started) < joinTime
}

// campaign returns what this host campaigns for under the name that hand-over messages carry, or nil.
func (h *Host) campaign(name string) interface{ CampaignNow() } {
	if name == h.loads.key {
		return h.loads.lease
	}
	if d := h.pools.get(name); d != nil {
		return d
	}
	return nil
}
