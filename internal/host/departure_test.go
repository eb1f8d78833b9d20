package host

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

const (
	testDrainTime = 2 * time.Second
	// testCallTime is the time from a decision to the arrival of the call at the upstream: the reply of the leader and
	// the time to connect.
	testCallTime = replyTimeout + testDialTime
	testDialTime = 400 * time.Millisecond
)

type (
	// fleet is a set of hosts in one process that share a store and are linked in memory.
	fleet struct {
		store *stub.Store
		hosts []*fleetHost
	}

	fleetHost struct {
		store.Store
		name    string
		cache   *storeCache
		relay   *watchRelay
		cut     atomic.Bool // calls to the store get no response
		silent  atomic.Bool // the host neither sends nor receives anything
		fleet   *fleet
		watched atomic.Bool // the host has called the store for the upstreams since the last reset
	}

	// fleetConn drops what is sent to or by a silent host.
	fleetConn struct {
		net.Conn
		a, b *fleetHost
	}
)

var errNoConnection = errors.New("connection timed out")

// newFleet starts n hosts in three failure domains and waits until they have registered.
func newFleet(ctx context.Context, n int) *fleet {
	started := time.Now()
	f := &fleet{store: &stub.Store{}}
	f.store.Set("conf/main", "5")
	f.store.Set("up/e1", "llm ready")
	f.store.Set("up/e2", "llm ready")
	now := func() time.Duration { return time.Since(started) + time.Second }
	for i := range n {
		h := &fleetHost{Store: f.store, fleet: f, name: fmt.Sprint("host-", i)}
		self := topo.Host{Name: h.name, Link: h.name, Domain: fmt.Sprint("domain-", i%3), Ready: true}
		h.cache = testCache(h)
		h.cache.now = now
		e := h.cache.elector
		e.Self, e.Now = self, now
		e.Hosts = h.cache.hostCount
		e.StoreReachable, e.StoreLost = h.cache.retryStore, h.cache.wakeWaiting
		e.Rank = func(previous string) int { return rankOf(h.cache.Hosts(), h.name, previous) }
		e.RequestStepDown = func(context.Context, elect.Leader) (time.Duration, error) { return 0, errNoConnection }
		h.relay = &watchRelay{
			self: self, cache: h.cache, elector: e, tickets: testTickets(), stats: h.cache.stats, log: h.cache.log,
			now: now, dial: h.dial,
		}
		h.relay.sources = sourceSet{Self: h.name, Limits: h.cache.limits}
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		go h.cache.elector.Run(ctx)
		go h.relay.run(ctx)
		for _, prefix := range h.cache.prefixes() {
			watchesStore := h.relay.watchesStore
			if prefix == h.cache.platform.ConfigPrefix {
				watchesStore = func() bool { return true }
			}
			go h.cache.run(ctx, prefix, watchesStore)
		}
	}
	time.Sleep(2500 * time.Millisecond)
	return f
}

// heal ends all faults.
func (f *fleet) heal() {
	for _, h := range f.hosts {
		h.cut.Store(false)
		h.silent.Store(false)
	}
}

// watchers returns the hosts that watch the store for all others.
func (f *fleet) watchers() []*fleetHost {
	for _, h := range f.hosts {
		h.watched.Store(false)
	}
	time.Sleep(time.Second)
	var out []*fleetHost
	for _, h := range f.hosts {
		if h.watched.Load() {
			out = append(out, h)
		}
	}
	return out
}

func (h *fleetHost) dial(ctx context.Context, addr string) (*link.Conn, error) {
	i := slices.IndexFunc(h.fleet.hosts, func(o *fleetHost) bool { return o.name == addr })
	other := h.fleet.hosts[i]
	if h.silent.Load() || other.silent.Load() {
		select {
		case <-time.After(testDialTime):
		case <-ctx.Done():
		}
		return nil, errNoConnection
	}
	ours, theirs := net.Pipe()
	go other.serve(link.NewConn(&fleetConn{theirs, other, h}))
	return link.NewConn(&fleetConn{ours, h, other}), nil
}

func (h *fleetHost) serve(c *link.Conn) {
	defer c.Close()
	if m, err := c.Receive(); err == nil {
		h.relay.serve(c, m)
	}
}

// Watch returns no response while the host is cut off from the store, as an open connection does that has gone silent;
// the probes of the connection end the call after two seconds.
func (h *fleetHost) Watch(
	ctx context.Context, prefix string, after int64, wait time.Duration,
) ([]store.Event, int64, error) {
	if strings.HasPrefix(prefix, "up/") {
		h.watched.Store(true)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+1500*time.Millisecond)
	defer cancel()
	events, revision, err := h.Store.Watch(ctx, prefix, after, wait)
	if h.isolated() {
		time.Sleep(2 * time.Second)
		return nil, 0, store.ErrOutcomeUnknown
	}
	return events, revision, err
}

func (h *fleetHost) List(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	if h.isolated() {
		time.Sleep(testDialTime)
		return nil, 0, store.ErrNotExecuted
	}
	return h.Store.List(ctx, prefix)
}

func (h *fleetHost) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if h.isolated() {
		time.Sleep(testDialTime)
		return 0, store.ErrNotExecuted
	}
	return h.Store.Grant(ctx, ttl)
}

func (h *fleetHost) Renew(ctx context.Context, id int64) error {
	if h.isolated() {
		<-ctx.Done()
		return store.ErrOutcomeUnknown
	}
	return h.Store.Renew(ctx, id)
}

func (h *fleetHost) Commit(ctx context.Context, t store.Txn) (int64, error) {
	if h.isolated() {
		time.Sleep(testDialTime)
		return 0, store.ErrNotExecuted
	}
	return h.Store.Commit(ctx, t)
}

func (h *fleetHost) isolated() bool { return h.cut.Load() || h.silent.Load() }

func (c *fleetConn) Write(b []byte) (int, error) {
	if c.a.silent.Load() || c.b.silent.Load() {
		return len(b), nil
	}
	n, err := c.Conn.Write(b)
	return n, errors.Wrap(err, "write")
}

func (c *fleetConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against calls to a departed upstream by hosts whose watch sources have gone silent or have lost the store
// without noticing it: the time in which a host finds that out must leave room for the call within the drain time.
func TestDeparturesAreKnownInTime(t *testing.T) {
	// The race detector of Go 1.26 crashes now and then if several processors run the timers of one bubble.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	cut := func(h *fleetHost) { h.cut.Store(true) }
	silence := func(h *fleetHost) { h.silent.Store(true) }
	for _, tt := range []struct {
		name  string
		fault func(*fleetHost)
		all   bool // the fault hits all hosts but one, else those that watch the store
	}{
		{"sources lose the store", cut, false},
		{"sources are silent", silence, false},
		{"all but one lose the store", cut, true},
		{"all but one are silent", silence, true},
	} {
		for _, phase := range []time.Duration{0, 170, 340, 510, 680, 850} {
			phase *= time.Millisecond
			t.Run(fmt.Sprint(tt.name, "/", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					f := newFleet(ctx, 6)
					watchers := f.watchers()
					if len(watchers) != maxWatchers {
						t.Errorf("%d hosts watch the store, want %d", len(watchers), maxWatchers)
					}
					time.Sleep(phase)
					var inTouch []*fleetHost
					for _, h := range f.hosts {
						if slices.Contains(watchers, h) || tt.all && len(inTouch) > 0 {
							tt.fault(h)
						} else {
							inTouch = append(inTouch, h)
						}
					}
					time.Sleep(20 * time.Millisecond)
					f.store.Set("up/e1", "llm leaving")
					f.store.Delete("up/e2")
					time.Sleep(testDrainTime - testCallTime)
					for _, h := range inTouch {
						if got := ids(h.cache); got != "" {
							t.Errorf("%s still uses %q after their departure", h.name, got)
						}
					}
					f.heal()
					cancel()
					time.Sleep(3 * time.Second)
				})
			})
		}
	}
}

// Guards against upstreams that are dropped because their entries expired in an outage of the store, by a host that hears
// of it from another one before it reaches the store itself.
func TestEntriesExpiredInOutageStayInUse(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 6)
		for _, h := range f.hosts {
			h.cut.Store(true)
		}
		time.Sleep(5 * time.Second)
		f.store.Delete("up/e1")
		time.Sleep(time.Second)
		f.heal()
		for i := 0; i < 300 && !t.Failed(); i++ {
			if i == 100 {
				f.store.Set("up/e1", "llm ready")
			}
			for _, h := range f.hosts {
				if got := ids(h.cache); got != "e1 e2" {
					t.Errorf("%s uses %q %d ms after the outage", h.name, got, 10*i)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against hosts that send calls that crash engines because only the leader knows of the quarantine, and against a
// quarantine that is lost with the host that has begun it.
func TestQuarantineReachesAllHosts(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const contactTime = 3 * time.Second
	spec := &topo.CallSpec{Segments: []topo.PromptSegment{{ID: 1}, {ID: 2}}}
	for i := range 6 {
		t.Run(fmt.Sprint("host-", i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, 6)
				first := f.hosts[i].relay.tickets
				first.mu.Lock()
				for n := range uint64(3) {
					segments := []topo.PromptSegment{{ID: 1}, {ID: 100 + n}}
					at := time.Now().Add(time.Duration(n) * time.Second)
					first.scheduler.Poison.Broken(at, at, fmt.Sprint(n), segments)
				}
				first.mu.Unlock()
				time.Sleep(contactTime / 2)
				f.hosts[i].silent.Store(true)
				time.Sleep(contactTime / 2)
				for _, h := range f.hosts {
					if !h.relay.tickets.blocks(spec) {
						t.Errorf("%s does not know of the quarantine", h.name)
					}
				}
				f.heal()
				cancel()
				time.Sleep(3 * time.Second)
			})
		})
	}
}
