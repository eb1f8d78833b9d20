package elect

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// Prefix is that of every key that hosts write.
	Prefix = "figreel/"
	// HostPrefix is that of the registrations.
	HostPrefix = Prefix + "hosts/"
	seatKey    = Prefix + "seat"
	termKey    = Prefix + "term"

	// leaseTime bounds how long a dead host stays registered.
	leaseTime = 3 * time.Second
	// renewEvery leaves time for two further renewals after a lost one.
	renewEvery = time.Second
	// margin covers differences in clock rate and an order that is on its way when validity ends.
	margin = 300 * time.Millisecond
	// vouchTime bounds how long orders go on while the store is away for all hosts.
	vouchTime = 20 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// rankDelay times its rank is how long a host leaves a free seat to others; the last holder's machine goes first,
	// because orders may go on at once there.
	rankDelay = 150 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
)

type (
	// Elector registers a host and campaigns for the seat; its fields are set before Run.
	Elector struct {
		Self  topo.Host
		Store store.Store
		Log   zerolog.Logger
		// HandoverDelay must lie between the orders of two hosts.
		HandoverDelay time.Duration
		// Rank returns the host's place among the live ones, 0 first.
		Rank func(last string) int
		// RequestStepDown asks the last holder to stop, and returns how long ago it sent its last order at most.
		RequestStepDown func(ctx context.Context, last Leader) (time.Duration, error)
		// Changed is called after the seat was won or lost.
		Changed func(held bool)
		// OutageConfirmed reports whether other hosts have just said that the store is away for them too, so that
		// nobody can have taken the seat; nil never does.
		OutageConfirmed func() bool
		// Now is the time that goes on while the machine is suspended; nil is the machine's own.
		Now func() time.Duration

		wake chan struct{}
		mu   sync.Mutex
		// all below is guarded by mu
		lease      int64
		until      time.Duration // boot time at which the lease ends
		registered bool
		leaving    bool
		failing    bool // the last call for the lease failed
		nonce      string
		seat       *store.Item // the seat as the store last told
		seatKnown  bool
		free       time.Duration // boot time since when the seat is free
		term       Leader
		token      int64
		quiet      time.Duration // boot time before which no order is sent
		lastOrder  time.Duration
		started    time.Duration
	}

	// Leader is the record of the last holder.
	Leader struct {
		Host  string `json:"host"`
		Link  string `json:"link"`
		Nonce string `json:"nonce"`
	}
)

// Run registers the host and campaigns until ctx ends.
func (s *Elector) Run(ctx context.Context) {
	s.mu.Lock()
	s.started = s.now()
	s.mu.Unlock()
	for ctx.Err() == nil {
		wait := s.step(ctx)
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-s.wakeup():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// Fence returns the fencing token while this host may send orders.
func (s *Elector) Fence() (int64, bool) {
	vouched := s.OutageConfirmed != nil && s.OutageConfirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.able(now, vouched) {
		return 0, false
	}
	s.lastOrder = now
	return s.token, true
}

// OrderDelay returns in what time this host may send orders, and false when it may not send any.
func (s *Elector) OrderDelay() (time.Duration, bool) {
	vouched := s.OutageConfirmed != nil && s.OutageConfirmed()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.holds(now, vouched) {
		return 0, false
	}
	return max(s.quiet-now, 0), true
}

// able holds while the lease does, and beyond it for vouchTime while the store is away for all.
func (s *Elector) able(now time.Duration, vouched bool) bool {
	return now >= s.quiet && s.holds(now, vouched)
}

// holds is able without regard to the turns of hosts.
func (s *Elector) holds(now time.Duration, vouched bool) bool {
	if s.token == 0 || s.leaving {
		return false
	}
	return now < s.until-margin || vouched && now < s.until+vouchTime
}

// StoreUnreachable reports whether the last call for the lease failed.
func (s *Elector) StoreUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing
}

// IsLeader reports whether this host holds the seat, also while it may not send orders yet.
func (s *Elector) IsLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token != 0
}

// Leader returns the host that holds the seat.
func (s *Elector) Leader() (Leader, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seat == nil {
		return Leader{}, false
	}
	return termOf(s.seat.Value), true
}

// StepDown gives the seat up for the host that holds it now, and returns how long ago the last order was sent.
func (s *Elector) StepDown(nonce string) (time.Duration, bool) {
	s.mu.Lock()
	if nonce == s.nonce {
		s.mu.Unlock()
		return 0, false
	}
	held := s.token != 0
	s.token = 0
	ago := s.now() - max(s.lastOrder, s.started)
	s.mu.Unlock()
	if held {
		s.Log.Warn().Msg("seat given up for another host")
		s.Changed(false)
	}
	return ago, true
}

// Leave ends the registration and gives the seat up.
func (s *Elector) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	held := s.token != 0
	s.token = 0
	lease := s.lease
	s.mu.Unlock()
	if held {
		s.Changed(false)
	}
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.Store.Revoke(ctx, lease); err != nil {
		s.Log.Warn().Err(err).Msg("lease could not be ended")
	}
}

// Replace takes over what a list of all keys with Prefix shows.
func (s *Elector) Replace(items []store.Item) {
	var seat, own *store.Item
	s.mu.Lock()
	for i := range items {
		switch items[i].Key {
		case seatKey:
			seat = &items[i]
		case termKey:
			s.term = termOf(items[i].Value)
		case HostPrefix + s.Self.Name:
			own = &items[i]
		}
	}
	s.setOwn(own)
	changed := s.setSeat(seat)
	s.mu.Unlock()
	s.tell(changed)
}

// Apply takes over changes below Prefix.
func (s *Elector) Apply(events []store.Event) {
	changed := false
	s.mu.Lock()
	for i := range events {
		e := &events[i]
		it := &e.Item
		if e.Deleted {
			it = nil
		}
		switch e.Key {
		case seatKey:
			changed = s.setSeat(it) || changed
		case termKey:
			if it != nil {
				s.term = termOf(it.Value)
			}
		case HostPrefix + s.Self.Name:
			s.setOwn(it)
		}
	}
	s.mu.Unlock()
	s.tell(changed)
}

func (s *Elector) now() time.Duration {
	if s.Now != nil {
		return s.Now()
	}
	return clock.SinceBoot()
}

func (s *Elector) tell(changed bool) {
	if changed {
		s.Changed(s.IsLeader())
	}
	select {
	case s.wakeup() <- struct{}{}:
	default:
	}
}

func (s *Elector) wakeup() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// setOwn notes a registration whose answer was lost, or one that was taken away although the lease seems to hold.
func (s *Elector) setOwn(it *store.Item) {
	if it != nil && s.lease != 0 && it.Lease == s.lease {
		s.registered = true
		return
	}
	if s.registered && (it == nil || it.Lease != s.lease) {
		s.registered = false
		s.lease = 0
	}
}

// setSeat takes over the state of the seat and reports whether this host won or lost it.
func (s *Elector) setSeat(it *store.Item) bool {
	s.seatKnown = true
	had := s.token
	if it == nil {
		if s.seat != nil || s.free == 0 {
			s.free = s.now()
		}
		s.seat, s.token = nil, 0
		return had != 0
	}
	s.seat = it
	if t := termOf(it.Value); t.Nonce != s.nonce || it.Lease != s.lease || s.leaving {
		s.token = 0
		return had != 0
	}
	if s.token != 0 {
		// The store may number a write as a whole or each key of it; the first number stays.
		return false
	}
	s.token = it.Revision
	return true
}

// step does what is due and returns the time until the next step.
func (s *Elector) step(ctx context.Context) time.Duration {
	s.mu.Lock()
	leaving, lease, registered, until := s.leaving, s.lease, s.registered, s.until
	s.mu.Unlock()
	now := s.now()
	switch {
	case leaving:
		return renewEvery
	case lease == 0 || now >= until:
		return s.enter(ctx)
	case !registered:
		return s.register(ctx, lease)
	case now >= until-leaseTime+renewEvery:
		return s.renew(ctx, lease)
	}
	if wait, due := s.campaignIn(now); due {
		if wait <= 0 {
			return s.campaign(ctx, lease)
		}
		return min(wait, renewEvery)
	}
	return until - leaseTime + renewEvery - now
}

func (s *Elector) enter(ctx context.Context) time.Duration {
	start := s.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id, err := s.Store.Grant(ctx, leaseTime)
	s.mu.Lock()
	s.failing = err != nil
	s.mu.Unlock()
	if err != nil {
		s.Log.Warn().Err(err).Msg("no lease from the store")
		return retryDelay
	}
	s.mu.Lock()
	s.lease, s.until, s.registered = id, start+leaseTime, false
	lost := s.token != 0
	s.token = 0
	s.nonce = newNonce()
	s.mu.Unlock()
	if lost {
		s.Changed(false)
	}
	return 0
}

func (s *Elector) register(ctx context.Context, lease int64) time.Duration {
	value, err := json.Marshal(s.Self)
	if err != nil {
		s.Log.Error().Err(err).Msg("registration cannot be encoded")
		return renewEvery
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = s.Store.Commit(ctx, store.Txn{Puts: []store.Item{
		{Key: HostPrefix + s.Self.Name, Value: value, Lease: lease},
	}})
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.registered = s.lease == lease
		return 0
	case errors.Is(err, store.ErrLeaseGone):
		s.lease = 0
	}
	s.Log.Warn().Err(err).Msg("registration failed")
	return retryDelay
}

func (s *Elector) renew(ctx context.Context, lease int64) time.Duration {
	start := s.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.Store.Renew(ctx, lease)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = err != nil && !errors.Is(err, store.ErrLeaseGone)
	switch {
	case s.lease != lease:
	case err == nil:
		s.until = start + leaseTime
		return 0
	case errors.Is(err, store.ErrLeaseGone):
		s.lease = 0
	}
	s.Log.Warn().Err(err).Msg("renewal failed")
	return retryDelay
}

// campaignIn returns when this host should try to take the free seat.
func (s *Elector) campaignIn(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.seatKnown || s.seat != nil {
		return 0, false
	}
	delay := time.Duration(0)
	if s.term.Host != s.Self.Name {
		delay = rankDelay * time.Duration(1+s.Rank(s.term.Host))
	}
	return s.free + delay - now, true
}

func (s *Elector) campaign(ctx context.Context, lease int64) time.Duration {
	s.mu.Lock()
	last := s.term
	mine := Leader{Host: s.Self.Name, Link: s.Self.Link, Nonce: s.nonce}
	// The wait is set before the write, whose answer may be lost while the watch tells of the new seat.
	s.quiet = s.free + leaseTime + s.HandoverDelay
	if last.Host == "" || last.Host == s.Self.Name {
		s.quiet = 0
	}
	s.mu.Unlock()
	value, err := json.Marshal(mine)
	if err != nil {
		s.Log.Error().Err(err).Msg("seat cannot be encoded")
		return renewEvery
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rev, err := s.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: seatKey}},
		Puts: []store.Item{{Key: seatKey, Value: value, Lease: lease}, {Key: termKey, Value: value}},
	})
	switch {
	case errors.Is(err, store.ErrConflict):
		return retryDelay
	case err != nil:
		s.Log.Warn().Err(err).Msg("seat could not be taken")
		return retryDelay
	}
	s.mu.Lock()
	changed := s.setSeat(&store.Item{Key: seatKey, Value: value, Lease: lease, Revision: rev})
	s.mu.Unlock()
	s.Log.Info().Int64("token", rev).Str("last", last.Host).Msg("seat taken")
	if changed {
		s.Changed(true)
	}
	if last.Host != "" && last.Host != s.Self.Name {
		go s.shorten(last, mine.Nonce)
	}
	return 0
}

// shorten asks the last holder when it sent its last order, so that less time has to pass.
func (s *Elector) shorten(last Leader, nonce string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	ago, err := s.RequestStepDown(ctx, last)
	if err != nil {
		s.Log.Info().Err(err).Str("last", last.Host).Msg("last holder of the seat does not answer")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.token != 0 && s.nonce == nonce {
		s.quiet = min(s.quiet, s.now()+max(s.HandoverDelay+margin-ago, 0))
	}
}

func termOf(value []byte) Leader {
	var t Leader
	if err := json.Unmarshal(value, &t); err != nil {
		return Leader{}
	}
	return t
}

func newNonce() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b [12]byte
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b[:])
}
