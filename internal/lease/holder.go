package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// Counters in stats.Set.Events.
	eventAcquired  = "lease_gain"
	eventLost      = "lease_loss"
	eventHandover  = "lease_hand_over"
	eventRebalance = "lease_rebalance"

	leaseTTL      = 10 * time.Second
	renewInterval = 3 * time.Second
	// safetyMargin is how long before the end of its lease a holder stops sending orders. It covers differences in
	// clock rate and orders that are still in transit at that time.
	safetyMargin = 3 * time.Second
	// callTimeout limits one call to the service. Two renewals may fail before the lease stops being valid.
	callTimeout = 2 * time.Second
)

type (
	// Holder campaigns for one key and renews its lease while it holds the key; exported fields are set before Run.
	Holder struct {
		// Key is the key in the key-value service.
		Key string
		// Pool is the pool name in handover messages.
		Pool string
		// Self is the name of this host.
		Self string
		KV   kvapi.Service
		// Live returns the hosts that may hold the key; this host is not among them while it is leaving.
		Live func() []wire.Member
		// LiveVersion returns a number that changes with the names that Live returns, so that the ranking can be
		// cached; if nil, the ranking is computed on every check.
		LiveVersion func() uint64
		// Rank sorts host names by preference for the key, the preferred one first.
		Rank func(key string, members []string) []string
		// Dialer opens streams to other hosts for handover messages.
		Dialer wire.Dialer
		// OnAcquired and OnLost are called alternately by Run and must not block for long. The epoch is the revision at
		// which the key was created. It increases when another host acquires the key, and may stay the same when this
		// host loses the key for a while and acquires it again.
		OnAcquired func(epoch int64)
		OnLost     func()
		// Rand is the source of all random delays and record IDs; nil means a randomly seeded one.
		Rand  *rand.Rand
		Stats *stats.Set

		once            sync.Once
		campaignSignal  chan struct{} // sent by CampaignNow
		releaseRequests chan releaseRequest
		done            chan struct{} // closed when Run ends

		// mu guards the fields that Valid and Epoch read; the others below are used only by the goroutine of Run.
		mu         sync.Mutex
		held       bool
		epoch      int64
		validUntil time.Time // safetyMargin before the end of the lease

		leaseID     string
		recordID    string    // unique per lease; a holder record with this ID is from this host's current lease
		renewedAt   time.Time // start of the call that granted or last renewed the lease
		keyHolder   string    // last observed holder of the key; empty if unknown
		lastPoll    time.Time
		pollJitter  float64   // in [0, 1), how much of a quarter poll interval is added; drawn for each poll
		absentSince time.Time // when a poll first found no key; zero while there is one
		campaignNow bool      // poll and campaign without the delays by rank
		failures    int       // consecutive failed calls

		rankedHosts    []string // cached ranking
		rankedVersion  uint64   // LiveVersion for rankedHosts
		rankCached     bool
		preferred      string        // host that ranks first, if it is another one
		preferredSince time.Time     // since when preferred has ranked first
		hysteresis     time.Duration // how long preferred has to rank first before it gets the key
	}

	// Candidate campaigns for a key; CampaignNow is called when the holder has released the key for this host.
	Candidate interface {
		comparable
		CampaignNow()
	}

	releaseRequest struct {
		ctx  context.Context
		done chan error
	}

	// holderRecord is the value of a held key.
	holderRecord struct {
		Host string `json:"host"`
		ID   string `json:"id"`
	}
)

// Run campaigns for the key and renews its lease until ctx ends or Release is called. Hosts that start it before they
// know of each other all rank themselves first and campaign at the same time.
func (h *Holder) Run(ctx context.Context) error {
	h.init()
	defer close(h.done)
	defer h.lose()
	for {
		timer := time.NewTimer(h.step(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-h.campaignSignal:
			h.campaignNow = true
		case r := <-h.releaseRequests:
			timer.Stop()
			r.done <- h.handOver(r.ctx, h.successor())
			return nil
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Valid reports whether orders may be sent at now: this host holds the key, and the service keeps its lease for at
// least another 3 s.
func (h *Holder) Valid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The wall clock is compared as well, because the monotonic clock does not advance while a machine is suspended.
	return h.held && now.Before(h.validUntil) && now.Round(0).Before(h.validUntil.Round(0))
}

// Epoch returns the epoch that OnAcquired last received and reports whether the lease is valid at now.
func (h *Holder) Epoch(now time.Time) (int64, bool) {
	if !h.Valid(now) {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, true
}

// CampaignNow makes this host campaign without delay, because the holder has released the key for it.
func (h *Holder) CampaignNow() {
	h.init()
	select {
	case h.campaignSignal <- struct{}{}:
	default:
	}
}

// Release ends Run. If this host holds the key, it is released and handed over to the next host in rank.
func (h *Holder) Release(ctx context.Context) error {
	h.init()
	r := releaseRequest{ctx: ctx, done: make(chan error, 1)}
	select {
	case h.releaseRequests <- r:
	case <-h.done:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "release %s", h.Key)
	}
	return <-r.done
}

// ServeHandover returns the handler of handover messages; find returns the candidate for a pool, or nil if the pool is
// unknown.
func ServeHandover[C Candidate](find func(pool string) C) wire.Handler {
	return func(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
		defer func() { _ = c.Close() }()
		var msg wire.Handover
		if c.Recv(&msg) != nil {
			return
		}
		var none C
		candidate := find(msg.Pool)
		if candidate != none {
			candidate.CampaignNow()
		}
		_ = c.Send(wire.ProbeResult{OK: candidate != none})
	}
}

func (h *Holder) init() {
	h.once.Do(func() {
		if h.Rand == nil {
			h.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		if h.Stats == nil {
			h.Stats = new(stats.Set)
		}
		h.campaignSignal = make(chan struct{}, 1)
		h.releaseRequests = make(chan releaseRequest)
		h.done = make(chan struct{})
	})
}

// acquire records that this host holds the key and calls OnAcquired. Validity counts from the start of the call that
// granted or renewed the lease.
func (h *Holder) acquire(epoch int64) {
	h.mu.Lock()
	h.held, h.epoch = true, epoch
	h.validUntil = h.renewedAt.Add(leaseTTL - safetyMargin)
	h.mu.Unlock()
	h.failures, h.campaignNow, h.absentSince = 0, false, time.Time{}
	h.keyHolder, h.preferred = h.Self, ""
	h.Stats.CountEvent(eventAcquired)
	if h.OnAcquired != nil {
		h.OnAcquired(epoch)
	}
}

// lose records that this host no longer holds the key and calls OnLost; it has no effect if the key is not held.
func (h *Holder) lose() {
	h.mu.Lock()
	held := h.held
	h.held = false
	h.mu.Unlock()
	if !held {
		return
	}
	h.Stats.CountEvent(eventLost)
	if h.OnLost != nil {
		h.OnLost()
	}
}

// validity returns whether this host holds the key and until when it may send orders.
func (h *Holder) validity() (bool, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held, h.validUntil
}

// call runs f, one call to the key-value service or another host, with a timeout of callTimeout.
func (h *Holder) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}
