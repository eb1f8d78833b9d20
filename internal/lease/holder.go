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
	eventGain      = "lease_gain"
	eventLoss      = "lease_loss"
	eventHandOver  = "lease_hand_over"
	eventRebalance = "lease_rebalance"

	leaseTime  = 10 * time.Second
	renewEvery = 3 * time.Second
	// margin covers differences in clock rate and orders that are on their way when validity ends.
	margin = 3 * time.Second
	// callTimeout leaves room for two failed renewals before validity ends.
	callTimeout = 2 * time.Second
)

type (
	// Holder campaigns for one key and keeps its lease; exported fields are set before Run.
	Holder struct {
		Key string
		// Pool is the name that hand-over messages carry.
		Pool string
		// Self is the name of this host.
		Self string
		KV   kvapi.Service
		// Live returns the hosts that may hold the key; this host is not among them while it leaves.
		Live func() []wire.Member
		// LiveVersion changes with the names that Live returns; without it, ranks are computed on every check.
		LiveVersion func() uint64
		// Rank orders host names by preference for the key.
		Rank func(key string, members []string) []string
		// Dialer is for hand-over messages.
		Dialer wire.Dialer
		// OnGain and OnLoss are called in turn by Run, which they must not block for long. The epoch is the revision at
		// which the key was created; another holder's is higher, the same host's may be the same after a lapse.
		OnGain func(epoch int64)
		OnLoss func()
		// Rand makes every random choice; nil draws a random seed.
		Rand  *rand.Rand
		Stats *stats.Set

		once     sync.Once
		handed   chan struct{}
		releases chan release
		ended    chan struct{}

		// mu guards what Valid and Epoch read; the rest belongs to the goroutine of Run.
		mu         sync.Mutex
		held       bool
		epoch      int64
		validUntil time.Time

		leaseID  string
		id       string // unique per lease, the proof of an own write
		started  time.Time
		owner    string // the host that was last seen to hold the key
		polledAt time.Time
		spread   float64 // of the time until the next poll, drawn once per poll
		absentAt time.Time
		urgent   bool
		failures int

		ranks     []string
		rankedAt  uint64
		ranked    bool
		preferred string
		since     time.Time // since when preferred is the first in rank
		patience  time.Duration
	}

	// Candidate is told that the holder of its key has released it in favour of this host.
	Candidate interface {
		comparable
		CampaignNow()
	}

	release struct {
		ctx  context.Context
		done chan error
	}

	// claim is the value of a held key.
	claim struct {
		Host string `json:"host"`
		ID   string `json:"id"`
	}
)

// Run campaigns for the key and renews its lease until ctx ends or Release was called. Hosts that start it before they
// know each other all campaign at once.
func (h *Holder) Run(ctx context.Context) error {
	h.init()
	defer close(h.ended)
	defer h.lose()
	for {
		timer := time.NewTimer(h.step(ctx))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-h.handed:
			h.urgent = true
		case r := <-h.releases:
			timer.Stop()
			r.done <- h.handOver(r.ctx, h.successor())
			return nil
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Valid reports whether orders may still be sent at now: more than 3 s of the lease are left for certain.
func (h *Holder) Valid(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The wall clock counts as well, because the monotonic one stands still while a machine is suspended.
	return h.held && now.Before(h.validUntil) && now.Round(0).Before(h.validUntil.Round(0))
}

// Epoch returns the epoch of a valid lease.
func (h *Holder) Epoch(now time.Time) (int64, bool) {
	if !h.Valid(now) {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, true
}

// CampaignNow makes the host campaign at once, because the holder has released the key.
func (h *Holder) CampaignNow() {
	h.init()
	select {
	case h.handed <- struct{}{}:
	default:
	}
}

// Release gives the key up for good and hands it to the next host in rank; Run then ends.
func (h *Holder) Release(ctx context.Context) error {
	h.init()
	r := release{ctx: ctx, done: make(chan error, 1)}
	select {
	case h.releases <- r:
	case <-h.ended:
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "release %s", h.Key)
	}
	return <-r.done
}

// ServeHandover returns the handler of hand-over messages; find returns the campaign for a pool, or nil for an unknown
// one.
func ServeHandover[C Candidate](find func(pool string) C) wire.Handler {
	return func(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
		defer func() { _ = c.Close() }()
		var msg wire.Handover
		if c.Recv(&msg) != nil {
			return
		}
		var none C
		found := find(msg.Pool)
		if found != none {
			found.CampaignNow()
		}
		_ = c.Send(wire.ProbeResult{OK: found != none})
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
		h.handed = make(chan struct{}, 1)
		h.releases = make(chan release)
		h.ended = make(chan struct{})
	})
}

// gain starts to hold the key; it is valid by the start of the call that created or renewed the lease.
func (h *Holder) gain(epoch int64) {
	h.mu.Lock()
	h.held, h.epoch = true, epoch
	h.validUntil = h.started.Add(leaseTime - margin)
	h.mu.Unlock()
	h.failures, h.urgent, h.absentAt = 0, false, time.Time{}
	h.owner, h.preferred = h.Self, ""
	h.Stats.CountEvent(eventGain)
	if h.OnGain != nil {
		h.OnGain(epoch)
	}
}

func (h *Holder) lose() {
	h.mu.Lock()
	held := h.held
	h.held = false
	h.mu.Unlock()
	if !held {
		return
	}
	h.Stats.CountEvent(eventLoss)
	if h.OnLoss != nil {
		h.OnLoss()
	}
}

func (h *Holder) holds() (bool, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held, h.validUntil
}

// call bounds one call to the key-value service.
func (h *Holder) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f(ctx)
}
