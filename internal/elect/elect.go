package elect

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// Prefix is the prefix of the keys that all hosts follow.
	Prefix = "figreel/"
	// HostPrefix is the prefix of the keys of host registrations.
	HostPrefix      = Prefix + "hosts/"
	leaderKey       = Prefix + "seat"
	leaderRecordKey = Prefix + "term"

	// leaseTime is the lease duration, which bounds how long a dead host stays registered.
	leaseTime = 3 * time.Second
	// renewInterval is the time between renewals; it leaves time for two further attempts after a lost renewal.
	renewInterval = time.Second
	// safetyMargin is subtracted from the lease duration to cover differences in clock rate and an order that is in
	// flight when leadership ends.
	safetyMargin = 300 * time.Millisecond
	// maxOutage bounds how long the leader sends orders beyond its lease while the store is unreachable for all hosts.
	maxOutage = 20 * time.Second
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// retryDelay is the pause after a failed call to the store. It doubles with each further failure of a call for the
	// lease, up to OutageRetryInterval.
	retryDelay = 250 * time.Millisecond
)

type (
	// Elector registers a host and campaigns for leadership; its exported fields are set before Run.
	Elector struct {
		Self  topo.Host
		Store store.Store
		Log   zerolog.Logger
		// HandoverDelay is the minimum time between an order of one leader and the first order of the next.
		HandoverDelay time.Duration
		// HasRun states that the system has run before this host started, so that there has been a leader record.
		HasRun bool
		// Rank returns this host's position among the live hosts, from 0; prev is the host name of the previous leader.
		Rank func(prev string) int
		// RequestStepDown asks an earlier leader to step down for this one, and returns a lower bound of the time since
		// its last order.
		RequestStepDown func(ctx context.Context, earlier Leader, t Term) (time.Duration, error)
		// LeadershipChanged is called after this host became leader or lost the leadership.
		LeadershipChanged func(leader bool)
		// PromisedUntil returns the time since boot before which no other host sends orders, as all of them have
		// promised this leader, or 0; nil means 0.
		PromisedUntil func(Term) time.Duration
		// Hosts returns the number of registered hosts; nil means one.
		Hosts func() int
		// StoreReachable is called when a call for the lease has succeeded after a failure; nil does nothing.
		StoreReachable func()
		// StoreLost is called when a call for the lease has failed after a success; nil does nothing.
		StoreLost func()
		// CampaignRejected is called when the store has rejected a campaign of this host; nil does nothing.
		CampaignRejected func()
		// Now returns the time since boot, including time in suspend; nil uses the system clock.
		Now func() time.Duration

		wake chan struct{}
		mu   sync.Mutex
		// The fields below are guarded by mu.
		lease           store.Lease   // ID 0 if there is none
		leaseEnd        time.Duration // boot time at which the lease expires
		registered      bool
		registeredSince time.Duration // boot time at which the registration under this lease was confirmed
		stillRegistered bool          // registered in an earlier era, to be registered again
		leaving         bool          // Leave was called
		era             eraState
		storeFailing    bool                     // the last call for the lease failed
		failures        int                      // consecutive failures of calls for the lease
		retryAt         time.Duration            // boot time before which no call for the lease is made
		nonce           string                   // identifies this host's leader records; new for each lease
		known           map[string]store.Version // version as of which the state of a key is known
		current         *store.Item              // leader key as last seen in the store, or nil if it is missing
		currentKnown    bool                     // current was read from the store
		vacantSince     time.Duration            // boot time at which the leader key was first seen missing
		firstVacancy    time.Duration            // the same for the first leader whose orders may not have ended
		firstTerm       bool                     // no host had led before this one campaigned
		rejections      int                      // consecutive campaigns that the store has rejected
		lastLeader      Leader                   // current or previous leader, from the leader record
		recordRevision  int64                    // revision of the leader record, 0 if there is none
		fence           int64                    // fencing token while this host is leader, else 0
		token           int64                    // fencing token of the leadership with tokenNonce
		tokenNonce      string
		ordersFrom      time.Duration // boot time before which this leader must not send orders
		handover        handover
		lastOrder       time.Duration // boot time of the last call of Fence that allowed an order
		started         time.Duration // boot time of the call of Run
		promisedTo      string        // nonce of the leader to which this host has made its newest promise
		promisedAt      time.Duration // boot time of that promise
	}

	// Leader is the leader record: it names the current or previous leader.
	Leader struct {
		Host  string `json:"host"`
		Link  string `json:"link"` // address for other hosts
		Nonce string `json:"nonce"`
		// Era is the first era of the store since which the record names all leaders whose orders may not have ended.
		Era int64 `json:"era,omitempty"`
		// After are the earlier leaders on other hosts whose orders may not have ended.
		After []Leader `json:"after,omitempty"`
	}

	// Term is one leadership of a host.
	Term struct {
		Nonce    string
		Token    int64
		LeaseEnd time.Duration // boot time at which the lease expires
	}
)

// Run keeps the host registered and campaigns for leadership until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	e.mu.Lock()
	e.started = e.now()
	e.mu.Unlock()
	for ctx.Err() == nil {
		wait := e.step(ctx)
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-e.wakeChan():
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// Fence returns the fencing token for an order that is about to be sent, and false if this host must not send orders.
func (e *Elector) Fence() (int64, bool) {
	promised := e.promisedUntil()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.maySendOrders(now, promised) {
		return 0, false
	}
	e.lastOrder = now
	return e.fence, true
}

// OrderDelay returns the time until this host may send orders, and false if its leadership is not valid.
func (e *Elector) OrderDelay() (time.Duration, bool) {
	promised := e.promisedUntil()
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if !e.leadershipValid(now, promised) {
		return 0, false
	}
	return max(e.ordersFrom-now, 0), true
}

// maySendOrders reports whether the leadership of this host is valid and the handover delay has passed.
func (e *Elector) maySendOrders(now, promised time.Duration) bool {
	return now >= e.ordersFrom && e.leadershipValid(now, promised)
}

// leadershipValid reports whether this host is the leader and its lease has not expired. The lease counts for longer,
// by maxOutage at most, while all other hosts have promised to send no orders. The handover delay is not considered.
func (e *Elector) leadershipValid(now, promised time.Duration) bool {
	if e.fence == 0 || e.leaving {
		return false
	}
	return now < e.leaseEnd-safetyMargin || now < promised && now < e.leaseEnd+maxOutage
}

// promisedUntil returns the time before which no other host sends orders after those of this host.
func (e *Elector) promisedUntil() time.Duration {
	if e.PromisedUntil == nil {
		return 0
	}
	t, leads := e.Term()
	if !leads {
		return 0
	}
	return e.PromisedUntil(t)
}

// Term returns the leadership of this host, and false if it is not the leader.
func (e *Elector) Term() (Term, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Term{Nonce: e.nonce, Token: e.fence, LeaseEnd: e.leaseEnd}, e.fence != 0
}

// RenewalOverdue reports whether the lease should have been renewed by now.
func (e *Elector) RenewalOverdue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now() > e.leaseEnd-leaseTime+renewInterval+safetyMargin
}

// StoreUnreachable reports whether the last grant or renewal of the lease failed.
func (e *Elector) StoreUnreachable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeFailing
}

// IsLeader reports whether this host is the leader, also if it may not send orders yet.
func (e *Elector) IsLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence != 0
}

// IsFirstLeader reports whether this host is the leader and no host had led before.
func (e *Elector) IsFirstLeader() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence != 0 && e.firstTerm
}

// Leader returns the current leader, and false if there is none.
func (e *Elector) Leader() (Leader, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return Leader{}, false
	}
	return decodeLeader(e.current.Value), true
}

// StepDown ends the leadership of this host in favour of a later one. It returns the time since the last order, or
// since the start if that is later, and false if the leadership of this host is that one or a later one.
func (e *Elector) StepDown(t Term) (time.Duration, bool) {
	e.mu.Lock()
	if t.Nonce == e.nonce || t.Token != 0 && e.fence > t.Token {
		e.mu.Unlock()
		return 0, false
	}
	wasLeader := e.fence != 0
	e.fence = 0
	if wasLeader {
		// An older copy of the store may still show this host as the leader.
		e.nonce = newNonce()
	}
	sinceLast := e.now() - max(e.lastOrder, e.started)
	e.mu.Unlock()
	if wasLeader {
		e.Log.Warn().Msg("stepped down for another leader")
		e.LeadershipChanged(false)
	}
	return sinceLast, true
}

// Leave revokes the lease, which ends the registration and the leadership of this host.
func (e *Elector) Leave(ctx context.Context) {
	e.mu.Lock()
	e.leaving = true
	wasLeader := e.fence != 0
	e.fence = 0
	lease := e.lease
	e.mu.Unlock()
	if wasLeader {
		e.LeadershipChanged(false)
	}
	if lease.ID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.Store.Revoke(ctx, lease); err != nil {
		e.Log.Warn().Err(err).Msg("failed to revoke lease")
	}
}

func (e *Elector) now() time.Duration {
	if e.Now != nil {
		return e.Now()
	}
	return clock.SinceBoot()
}

// notify calls LeadershipChanged if needed and wakes Run.
func (e *Elector) notify(changed bool) {
	if changed {
		e.LeadershipChanged(e.IsLeader())
	}
	select {
	case e.wakeChan() <- struct{}{}:
	default:
	}
}

func (e *Elector) wakeChan() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wake == nil {
		e.wake = make(chan struct{}, 1)
	}
	return e.wake
}

// step performs the action that is due and returns the time until the next step.
func (e *Elector) step(ctx context.Context) time.Duration {
	e.mu.Lock()
	leaving, lease, registered, until, retryAt := e.leaving, e.lease, e.registered, e.leaseEnd, e.retryAt
	outdated := e.holdsOutdatedKey()
	e.mu.Unlock()
	now := e.now()
	switch {
	case leaving:
		return renewInterval
	case now < retryAt:
		return retryAt - now
	case lease.ID == 0 || now >= until:
		return e.grantLease(ctx)
	case !registered:
		return e.register(ctx, lease)
	case now >= until-leaseTime+renewInterval:
		return e.renew(ctx, lease)
	}
	if outdated {
		return e.removeOutdatedKey(ctx)
	}
	if wait, due := e.campaignDelay(now); due {
		if wait <= 0 {
			return e.campaign(ctx, lease)
		}
		return min(wait, renewInterval)
	}
	return min(e.continueHandover(ctx, now), until-leaseTime+renewInterval-now)
}

// grantLease obtains a new lease, which ends any leadership under the old one.
func (e *Elector) grantLease(ctx context.Context) time.Duration {
	start, promised := e.now(), e.promisedUntil()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, err := e.Store.Grant(ctx, leaseTime)
	pause := e.leaseCalled(err)
	if err != nil {
		e.Log.Warn().Err(err).Msg("failed to obtain a lease from the store")
		return pause
	}
	e.mu.Lock()
	lost := e.enterEra(granted.Era, promised) || e.fence != 0
	if granted.Era < e.era.number {
		e.mu.Unlock()
		return 0
	}
	e.lease, e.leaseEnd, e.registered, e.fence = granted, start+leaseTime, false, 0
	e.nonce = newNonce()
	e.mu.Unlock()
	if lost {
		e.LeadershipChanged(false)
	}
	return 0
}

func (e *Elector) register(ctx context.Context, lease store.Lease) time.Duration {
	value, err := json.Marshal(e.Self)
	if err != nil {
		e.Log.Error().Err(err).Msg("failed to encode registration")
		return renewInterval
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	as, err := e.Store.Commit(ctx, store.Txn{Era: lease.Era, Puts: []store.Item{
		{Key: HostPrefix + e.Self.Name, Value: value, Lease: lease.ID},
	}})
	gone := leaseLost(err)
	pause := e.leaseCalled(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		// A later event may have reported the end of the lease before this response arrived.
		if e.learn(HostPrefix+e.Self.Name, as) && e.lease == lease {
			e.confirmRegistration()
		}
		return 0
	case gone:
		e.lease = store.Lease{}
	}
	e.Log.Warn().Err(err).Msg("failed to register host")
	return pause
}

func (e *Elector) renew(ctx context.Context, lease store.Lease) time.Duration {
	start := e.now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.Store.Renew(ctx, lease)
	gone := leaseLost(err)
	pause := e.leaseCalled(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.lease != lease:
	case err == nil:
		e.leaseEnd = start + leaseTime
		return 0
	case gone:
		e.lease = store.Lease{}
	}
	e.Log.Warn().Err(err).Msg("failed to renew lease")
	return pause
}

// decodeLeader decodes a leader record; an invalid one yields the zero value.
func decodeLeader(value []byte) Leader {
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
