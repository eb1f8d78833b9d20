package elect

import (
	"context"
	"encoding/json"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/store"
)

const (
	// rankDelay is the time per rank, counted from 1, that a host waits before it campaigns for a vacant leadership. A
	// host with the previous leader's name does not wait, because it may send orders without a handover delay.
	rankDelay = 150 * time.Millisecond
	// maxRanked is how many hosts wait in line. For all others, unrankedSpread for each registered host, at most
	// maxUnrankedSpread, is the range of their further delay.
	maxRanked         = 6
	unrankedSpread    = 10 * time.Millisecond
	maxUnrankedSpread = 2 * time.Second
	// maxRejections is the number of consecutive rejected campaigns after which this host lists the leader key and the
	// leader record. The first ones are expected: another host was faster, and the change is on its way.
	maxRejections = 4
)

// campaignDelay returns the time until this host should try to become leader, and false if there is a leader or the
// state of the store is not known.
func (e *Elector) campaignDelay(now time.Duration) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.currentKnown || e.current != nil {
		return 0, false
	}
	delay := time.Duration(0)
	if _, unknown := e.earlierLeaders(now); unknown || e.lastLeader.Host != e.Self.Name {
		delay = e.rankedDelay(e.Rank(e.lastLeader.Host))
	}
	return e.vacantSince + delay - now, true
}

// rankedDelay returns how long the host with this rank waits before it campaigns. Hosts beyond the first maxRanked ones
// do not wait in line, because many hosts may be lost at once, but for times that are spread evenly.
func (e *Elector) rankedDelay(rank int) time.Duration {
	if rank < maxRanked {
		return rankDelay * time.Duration(1+rank)
	}
	hosts := 1
	if e.Hosts != nil {
		hosts = e.Hosts()
	}
	spread := min(unrankedSpread*time.Duration(hosts), maxUnrankedSpread)
	return rankDelay*time.Duration(1+maxRanked) + time.Duration(e.campaignPlace()*float64(spread))
}

// campaignPlace returns this host's place among the hosts without a rank, from 0 to 1; it stays the same for a lease.
func (e *Elector) campaignPlace() float64 {
	return float64(xxhash.Sum64String(e.nonce)) / math.MaxUint64
}

// campaign tries to write the leader key and the leader record.
func (e *Elector) campaign(ctx context.Context, lease store.Lease) time.Duration {
	e.mu.Lock()
	last, revision := e.lastLeader.Host, e.recordRevision
	earlier, unknown := e.earlierLeaders(e.now())
	self := Leader{Host: e.Self.Name, Link: e.Self.Link, Nonce: e.nonce, Era: e.era.number, After: earlier}
	if unknown {
		self.Era = e.lastLeader.Era
	}
	era := e.era.number
	// ordersFrom is set before the write, because its response may be lost and the watch may report the new leader
	// first.
	e.ordersFrom = e.takeoverTime(earlier, unknown)
	e.firstTerm = revision == 0 && !e.era.changed && !e.HasRun
	e.handover = handover{silent: earlier, unknown: unknown, unsettled: len(earlier) > 0 || unknown}
	e.mu.Unlock()
	value, err := json.Marshal(self)
	if err != nil {
		e.Log.Error().Err(err).Msg("failed to encode leader record")
		return renewInterval
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The condition on the record rejects a write that is executed late, after yet another leader.
	as, err := e.Store.Commit(ctx, store.Txn{
		Era:  era,
		If:   []store.Condition{{Key: leaderKey}, {Key: leaderRecordKey, Revision: revision}},
		Puts: []store.Item{{Key: leaderKey, Value: value, Lease: lease.ID}, {Key: leaderRecordKey, Value: value}},
	})
	switch {
	case errors.Is(err, store.ErrConflict):
		return e.rejected(ctx)
	case errors.Is(err, store.ErrRestored):
		e.mu.Lock()
		e.lease = store.Lease{}
		e.mu.Unlock()
		return 0
	case err != nil:
		e.Log.Warn().Err(err).Msg("failed to become leader")
		return retryDelay
	}
	e.mu.Lock()
	changed := false
	if e.learn(leaderKey, as) && !e.isCurrent(value) {
		changed = e.applyLeader(&store.Item{Key: leaderKey, Value: value, Lease: lease.ID, Revision: as.Revision})
	}
	leads := e.fence != 0
	e.mu.Unlock()
	if !leads {
		e.Log.Warn().Int64("token", fencingToken(as)).
			Msg("leadership ended before the response to the campaign arrived")
		return 0
	}
	e.Log.Info().Int64("token", fencingToken(as)).Str("last", last).Msg("became leader")
	if changed {
		e.LeadershipChanged(true)
	}
	return 0
}

// rejected returns the pause after a campaign that the store has rejected, because there is a leader or another leader
// record. If the changes that say so do not arrive, it lists them.
func (e *Elector) rejected(ctx context.Context) time.Duration {
	e.mu.Lock()
	e.rejections++
	n, known := e.rejections, e.known[leaderKey]
	e.mu.Unlock()
	if e.CampaignRejected != nil {
		e.CampaignRejected()
	}
	if n%maxRejections != 0 {
		return retryDelay
	}
	e.Log.Warn().Int("rejections", n).Int64("known_era", known.Era).Int64("known_revision", known.Revision).
		Msg("campaigns rejected, listing the leader records")
	items, as, err := e.Store.List(ctx, Prefix)
	if err != nil {
		e.Log.Warn().Err(err).Msg("failed to list the leader records")
		return retryDelay
	}
	e.Replace(as, items)
	return retryDelay
}
