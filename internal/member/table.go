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
	// DefaultFanout keeps the connections of a host few, and hence handshakes and memory within budget.
	DefaultFanout = 10

	defaultInterval = time.Second
	// leaveMessages is how many members must know of a planned stop before it continues, and leaveAttempts how many
	// are told.
	leaveMessages = 3
	leaveAttempts = 6
)

// Table is the view of one host on all hosts; exported fields are set before its first use.
type Table struct {
	// Self needs all fields but State; Incarnation zero is set from the clock, so that a restart has a higher one.
	Self wire.Member
	// Seeds are addresses to join through; the own one among them is skipped.
	Seeds []string
	// DynamicSeeds returns more addresses to join through, such as those of the platform's list; it may be nil and must
	// not block.
	DynamicSeeds func() []string
	Dialer       wire.Dialer
	// Rand makes every random choice; nil draws a random seed.
	Rand *rand.Rand
	// Interval is the time between two pings; zero means 1 s.
	Interval time.Duration
	// Fanout is how many members are pinged in turn; zero means all.
	Fanout int

	// Revision returns the newest configuration revision here, and OnPeerRevision is told of the revision of each
	// peer that answers, also of an older one, as a sign of life; both may be nil.
	Revision       func() int64
	OnPeerRevision func(revision int64, from wire.Member)
	// OnOwner, OnDeparture and OnChange may be nil; they are called without locks, from several goroutines.
	OnOwner     func(wire.Owner)
	OnDeparture func(wire.Departure)
	// OnChange follows changes of any member.
	OnChange func()
	Stats    *stats.Set

	once sync.Once
	poke chan struct{}

	mu       sync.Mutex
	state    *state
	ring     ring
	started  time.Time
	told     uint64 // version that OnChange followed last
	joining  bool
	joined   bool
	joinAt   time.Time
	joinWait time.Duration
	healAt   time.Time
	differ   time.Time // since when tables of peers differ from the own one
	syncAt   time.Time
	agreeing int // pings in a row from hosts that had the same table, whose digest is agreed
	agreed   uint64
}

// Run probes members until ctx ends; it returns an error at once if other hosts would not accept the own record.
func (t *Table) Run(ctx context.Context) error {
	t.init()
	if !valid(t.Self) {
		return errors.Errorf("record of this host is not valid: name and failure domain of at most %d bytes, "+
			"address IP:PORT, caller URL of at most %d bytes: %+v", maxNameBytes, maxURLBytes, t.Self)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	spawn := func(f func(context.Context)) { wg.Go(func() { f(ctx) }) }
	// A random phase keeps hosts that started together from pinging together.
	if !clock.Sleep(ctx, t.jitter(t.Interval)) {
		return nil
	}
	tick := time.NewTicker(t.Interval)
	defer tick.Stop()
	push := time.NewTimer(0)
	defer push.Stop()
	<-push.C
	last, pushed, pending := time.Now(), time.Time{}, false
	t.tick(last, 0, spawn)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			now := time.Now()
			t.tick(now, now.Sub(last), spawn)
			last = now
		case <-t.poke:
			if !pending {
				pending = true
				push.Reset(max(0, time.Until(pushed.Add(pushGap))))
			}
		case <-push.C:
			pushed, pending = time.Now(), false
			t.push(spawn)
		}
		t.notify()
	}
}

// Handlers returns the handlers of the exchanges that a Table serves.
func (t *Table) Handlers() map[wire.Kind]wire.Handler {
	t.init()
	return map[wire.Kind]wire.Handler{
		wire.KindPing:  t.servePing,
		wire.KindProbe: t.serveProbe,
		wire.KindJoin:  t.serveJoin,
	}
}

// Live returns the hosts that take work, this one included, sorted by name; leaving and dead ones are not among them.
func (t *Table) Live() []wire.Member {
	return slices.DeleteFunc(t.Members(), func(m wire.Member) bool { return m.State > wire.Suspect })
}

// Members returns every known host in any state, sorted by name.
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

// Version changes whenever Members does.
func (t *Table) Version() uint64 {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.version
}

// Member returns a host by its name.
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

// Owner returns the known holder of a pool's lease.
func (t *Table) Owner(pool string) (wire.Owner, bool) {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.state.owners[pool]
	return o, ok
}

// Owners returns all known lease holders, sorted by pool.
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

// IsLeaving reports whether an upstream is known to be leaving.
func (t *Table) IsLeaving(upstream string) bool {
	t.init()
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.state.departures[upstream]
	return ok && !d.Returned
}

// SetOwner tells all hosts of a lease holder; a known higher epoch wins.
func (t *Table) SetOwner(o wire.Owner) { t.announce(func(s *state) { s.setOwner(o) }) }

// SetDeparture tells all hosts, this one included, of an upstream that leaves or returned; a known higher sequence
// number wins.
func (t *Table) SetDeparture(d wire.Departure) {
	var news bool
	t.announce(func(s *state) { news = s.setDeparture(d) })
	if news && t.OnDeparture != nil {
		t.OnDeparture(d)
	}
}

// Push pings a few members at once, so that a new configuration revision does not wait for the next ping.
func (t *Table) Push() {
	t.init()
	select {
	case t.poke <- struct{}{}:
	default:
	}
}

// Leave announces a planned stop and returns once 3 members, or all, know; the host is never live again.
func (t *Table) Leave(ctx context.Context) error {
	t.announce(func(s *state) { s.leave() })
	t.mu.Lock()
	told := t.ring.sample(t.state, t.Fanout, leaveAttempts, t.Rand)
	t.mu.Unlock()
	done := make(chan error, len(told))
	for _, m := range told {
		go func() { done <- t.ping(ctx, m) }()
	}
	known := 0
	var last error
	for range told {
		if err := <-done; err != nil {
			last = err
			continue
		}
		if known++; known == leaveMessages {
			return nil
		}
	}
	if known == 0 && last != nil {
		return errors.Wrap(last, "no member heard of the planned stop")
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
		t.poke = make(chan struct{}, 1)
		t.state = newState(t.Self)
		t.started = time.Now()
	})
}

// announce changes the state on behalf of this host.
func (t *Table) announce(f func(*state)) {
	t.init()
	t.mu.Lock()
	f(t.state)
	t.mu.Unlock()
	t.pokeIfUrgent()
}

func (t *Table) pokeIfUrgent() {
	t.mu.Lock()
	urgent := t.state.urgent
	t.state.urgent = false
	t.mu.Unlock()
	if urgent {
		t.Push()
	}
}

// notify calls OnChange once for all changes since its last call.
func (t *Table) notify() {
	t.mu.Lock()
	changed := t.told != t.state.version
	t.told = t.state.version
	t.mu.Unlock()
	if changed && t.OnChange != nil {
		t.OnChange()
	}
}

func (t *Table) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.Rand.Int64N(int64(d)))
}
