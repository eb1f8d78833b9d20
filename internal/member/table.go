package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// DefaultFanout limits the connections of a host, and with them the cost of handshakes and memory.
	DefaultFanout = 10

	defaultInterval = time.Second
	// Leave pings leaveTargets members and waits until requiredLeaveAcks of them have responded.
	requiredLeaveAcks = 3
	leaveTargets      = 6
)

// Table is the membership table of one host. Set the exported fields before its first use; its methods may be called
// from several goroutines.
type Table struct {
	// Self is the record of this host. All fields but State must be set; a zero Incarnation is replaced by the
	// wall-clock time in ms, so that a restarted host has a higher one.
	Self wire.Member
	// Seeds are addresses of hosts to join through; the address of this host is skipped.
	Seeds []string
	// DynamicSeeds returns more addresses to join through, such as those in the platform's service registry; it may be
	// nil and must not block.
	DynamicSeeds func() []string
	Dialer       wire.Dialer
	// Rand is the source of all random choices; nil means a generator with a random seed.
	Rand *rand.Rand
	// Interval is the time between two periodic pings; zero means 1 s.
	Interval time.Duration
	// Fanout is the number of members that this host pings in turn; zero means all.
	Fanout int

	// Revision returns the newest configuration revision of this host. OnPeerRevision receives the revision of each
	// peer that pings or responds, also if it is old, because the call shows that the peer is alive. Both may be nil.
	Revision       func() int64
	OnPeerRevision func(revision int64, from wire.Member)
	// OnOwner receives each new owner, and OnDeparture each new departure. OnOwner, OnDeparture and OnChange may be
	// nil; they are called without locks held, from several goroutines.
	OnOwner     func(wire.Owner)
	OnDeparture func(wire.Departure)
	// OnChange is called after changes of any member; one call may cover several changes.
	OnChange func()
	Stats    *stats.Set

	once sync.Once
	wake chan struct{}

	mu              sync.Mutex
	state           *state
	ring            ring
	started         time.Time
	notifiedVersion uint64 // state.version at the last call of OnChange
	isJoining       bool
	hasJoined       bool
	joinAt          time.Time // earliest start of the next attempt to join
	joinBackoff     time.Duration
	rejoinAt        time.Time // next table exchange with an unknown address
	differSince     time.Time // when digests of peers began to differ; zero if they match
	syncAt          time.Time // earliest table exchange because of different digests
	matchingPings   int       // consecutive received pings with a digest equal to matchedDigest
	matchedDigest   uint64
}

// Run pings members until ctx ends, and then returns nil. It returns an error at once if Self is invalid, because other
// hosts would ignore it.
func (t *Table) Run(ctx context.Context) error {
	t.init()
	if !valid(t.Self) {
		return errors.Errorf("record of this host is not valid: name and failure domain of at most %d bytes, "+
			"address IP:PORT, caller URL of at most %d bytes: %+v", maxNameBytes, maxURLBytes, t.Self)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	spawn := func(f func(context.Context)) { wg.Go(func() { f(ctx) }) }
	// A random delay spreads the pings of hosts that start at the same time.
	if !clock.Sleep(ctx, t.jitter(t.Interval)) {
		return nil
	}
	tick := time.NewTicker(t.Interval)
	defer tick.Stop()
	pushTimer := time.NewTimer(0)
	defer pushTimer.Stop()
	<-pushTimer.C
	lastTick, lastPush, pushPending := time.Now(), time.Time{}, false
	t.tick(lastTick, 0, spawn)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			now := time.Now()
			t.tick(now, now.Sub(lastTick), spawn)
			lastTick = now
		case <-t.wake:
			if !pushPending {
				pushPending = true
				pushTimer.Reset(max(0, time.Until(lastPush.Add(minPushInterval))))
			}
		case <-pushTimer.C:
			lastPush, pushPending = time.Now(), false
			t.push(spawn)
		}
		t.notify()
	}
}

// Handlers returns the handlers for pings, indirect probes and table exchanges, by kind of call.
func (t *Table) Handlers() map[wire.Kind]wire.Handler {
	t.init()
	return map[wire.Kind]wire.Handler{
		wire.KindPing:  t.servePing,
		wire.KindProbe: t.serveProbe,
		wire.KindJoin:  t.serveJoin,
	}
}

// Live returns the alive and suspected hosts, which accept calls, sorted by name. It includes this host unless it is
// leaving.
func (t *Table) Live() []wire.Member {
	return slices.DeleteFunc(t.Members(), func(m wire.Member) bool { return m.State > wire.Suspect })
}

// Members returns all known hosts in any state, this one included, sorted by name.
func (t *Table) Members() []wire.Member {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wire.Member, 0, len(t.state.members)+1)
	out = append(out, t.state.self)
	for _, r := range t.state.members {
		out = append(out, r.member)
	}
	slices.SortFunc(out, func(a, b wire.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Version returns a counter that increases whenever the result of Members changes.
func (t *Table) Version() uint64 {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.version
}

// Member returns the record of the named host, and whether the host is known.
func (t *Table) Member(name string) (wire.Member, bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == t.state.self.Name {
		return t.state.self, true
	}
	r, ok := t.state.members[name]
	if !ok {
		return wire.Member{}, false
	}
	return r.member, true
}

// Owner returns the host that holds the lease of a pool according to the newest known entry, and whether one is known.
func (t *Table) Owner(pool string) (wire.Owner, bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.state.owners[pool]
	return o, ok
}

// Owners returns the known owners of all pools, sorted by pool.
func (t *Table) Owners() []wire.Owner {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]wire.Owner, 0, len(t.state.owners))
	for _, o := range t.state.owners {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b wire.Owner) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}

// IsLeaving reports whether the newest known departure says that the upstream is leaving.
func (t *Table) IsLeaving(upstream string) bool {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.state.departures[upstream]
	return ok && !d.Returned
}

// SetOwner records the owner of a pool and sends it to all hosts; it is ignored if a known epoch is as high or higher.
func (t *Table) SetOwner(o wire.Owner) { t.update(func(s *state) { s.setOwner(o) }) }

// SetDeparture records that an upstream is leaving or has returned, calls OnDeparture and sends the entry to all hosts.
// It is ignored if a known sequence number is as high or higher.
func (t *Table) SetDeparture(d wire.Departure) {
	var isNew bool
	t.update(func(s *state) { isNew = s.setDeparture(d) })
	if isNew && t.OnDeparture != nil {
		t.OnDeparture(d)
	}
}

// RequestPush makes Run ping a few members soon, so that a new configuration revision does not wait for the next
// periodic ping. It does not block.
func (t *Table) RequestPush() {
	t.init()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Leave announces a graceful shutdown and returns once 3 members have responded or all pings have ended. The host stays
// in state leaving until it restarts. An error means that every ping failed.
func (t *Table) Leave(ctx context.Context) error {
	t.update(func(s *state) { s.leave() })
	t.mu.Lock()
	receivers := t.ring.sample(t.state, t.Fanout, leaveTargets, t.Rand)
	t.mu.Unlock()
	done := make(chan error, len(receivers))
	for _, m := range receivers {
		go func() { done <- t.ping(ctx, m) }()
	}
	acks := 0
	var lastErr error
	for range receivers {
		if err := <-done; err != nil {
			lastErr = err
			continue
		}
		if acks++; acks == requiredLeaveAcks {
			return nil
		}
	}
	if acks == 0 && lastErr != nil {
		return errors.Wrap(lastErr, "no member acknowledged the graceful shutdown")
	}
	return nil
}

func (t *Table) init() {
	t.once.Do(func() {
		if t.Rand == nil {
			t.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		if t.Interval == 0 {
			t.Interval = defaultInterval
		}
		if t.Stats == nil {
			t.Stats = new(stats.Set)
		}
		if t.Self.Incarnation == 0 {
			t.Self.Incarnation = uint64(time.Now().UnixMilli())
		}
		t.wake = make(chan struct{}, 1)
		t.state = newState(t.Self)
		t.started = time.Now()
	})
}

// update applies a local change, and makes Run ping members soon if the change set pushNow.
func (t *Table) update(f func(*state)) {
	t.init()
	t.mu.Lock()
	f(t.state)
	t.mu.Unlock()
	t.pushIfRequested()
}

// pushIfRequested calls RequestPush if a change has set state.pushNow, and clears it.
func (t *Table) pushIfRequested() {
	t.mu.Lock()
	requested := t.state.pushNow
	t.state.pushNow = false
	t.mu.Unlock()
	if requested {
		t.RequestPush()
	}
}

// notify calls OnChange once for all changes since its last call.
func (t *Table) notify() {
	t.mu.Lock()
	changed := t.notifiedVersion != t.state.version
	t.notifiedVersion = t.state.version
	t.mu.Unlock()
	if changed && t.OnChange != nil {
		t.OnChange()
	}
}

// jitter returns a random duration in [0, d).
func (t *Table) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.Rand.Int64N(int64(d)))
}
