package elect_test

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

const (
	handoverDelay = 3 * time.Second
	// registrationTime is long enough for a leader to know of a host.
	registrationTime = 12 * time.Second
)

// host is an elector with its own connection to the store.
type host struct {
	*elect.Elector
	mu          sync.Mutex
	partitioned bool
	suspended   time.Duration // added to its clock, as after a suspend of the machine
	promised    time.Duration // time since its start until which the other hosts send no orders
}

// partitionableStore fails all writes and lease calls while its host is partitioned from the store.
type partitionableStore struct {
	store.Store
	h *host
}

func (s partitionableStore) Commit(ctx context.Context, t store.Txn) (store.Version, error) {
	if s.h.isPartitioned() {
		return store.Version{}, store.ErrOutcomeUnknown
	}
	return s.Store.Commit(ctx, t)
}

func (s partitionableStore) Renew(ctx context.Context, l store.Lease) error {
	if s.h.isPartitioned() {
		return store.ErrOutcomeUnknown
	}
	return s.Store.Renew(ctx, l)
}

func (s partitionableStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if s.h.isPartitioned() {
		return store.Lease{}, store.ErrOutcomeUnknown
	}
	return s.Store.Grant(ctx, ttl)
}

func (h *host) isPartitioned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitioned
}

func (h *host) setPartitioned(v bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned = v
}

func (h *host) maySendOrders() bool {
	_, ok := h.Fence()
	return ok
}

// start starts a host and its watch of the store.
func start(ctx context.Context, s *stub.Store, name string, rank int, stepDown func() (time.Duration, error)) *host {
	return startIn(ctx, s, name, rank, false, stepDown)
}

// startIn starts a host of a system that has run before or has not.
func startIn(
	ctx context.Context, s *stub.Store, name string, rank int, hasRun bool, stepDown func() (time.Duration, error),
) *host {
	h := &host{}
	started := time.Now()
	h.Elector = &elect.Elector{
		Self: topo.Host{Name: name}, Store: partitionableStore{s, h}, Log: zerolog.Nop(), HandoverDelay: handoverDelay,
		HasRun:          hasRun,
		Rank:            func(string) int { return rank },
		RequestStepDown: func(context.Context, elect.Leader, elect.Term) (time.Duration, error) { return stepDown() },
		Now: func() time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			return time.Since(started) + h.suspended
		},
		PromisedUntil: func(elect.Term) time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.promised
		},
		LeadershipChanged: func(bool) {},
	}
	go h.Run(ctx)
	go func() {
		listed := false
		var rev store.Version
		for ctx.Err() == nil {
			if h.isPartitioned() {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			if !listed {
				items, r, err := s.List(ctx, elect.Prefix)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				h.Replace(r, items)
				rev, listed = r, true
				continue
			}
			events, r, err := s.Watch(ctx, elect.Prefix, rev, 100*time.Millisecond)
			if err != nil || r.Era != rev.Era {
				listed = false
				continue
			}
			rev = r
			h.Apply(r.Era, events)
		}
	}()
	return h
}

// stopHosts stops all hosts and lets virtual time pass until their goroutines have ended, which synctest requires.
func stopHosts(cancel func()) {
	cancel()
	time.Sleep(2 * time.Second)
}

func noResponse() (time.Duration, error) { return 0, errors.New("no response") }

// runTwoHosts runs f in virtual time with two hosts, of which a is the leader.
func runTwoHosts(t *testing.T, stepDown func(a *host) (time.Duration, error), f func(t *testing.T, s *stub.Store, a, b *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer stopHosts(cancel)
		s := &stub.Store{}
		a := start(ctx, s, "a", 0, noResponse)
		time.Sleep(400 * time.Millisecond)
		b := start(ctx, s, "b", 1, func() (time.Duration, error) { return stepDown(a) })
		time.Sleep(registrationTime)
		if !a.maySendOrders() || b.maySendOrders() {
			t.Fatalf("orders: a %v, b %v", a.maySendOrders(), b.maySendOrders())
		}
		f(t, s, a, b)
	})
}

// checkHandover fails the test if a may send orders after b, or b less than handoverDelay after a. It returns when b
// may first send orders, or -1.
func checkHandover(t *testing.T, a, b *host, duration time.Duration) (bFirst time.Duration) {
	t.Helper()
	var lastA time.Duration
	bFirst = -1
	for at := time.Duration(0); at < duration; at += 20 * time.Millisecond {
		if a.maySendOrders() {
			lastA = at
			if bFirst >= 0 {
				t.Fatalf("a may send orders again at %v, b since %v", at, bFirst)
			}
		}
		if b.maySendOrders() && bFirst < 0 {
			bFirst = at
			if at-lastA < handoverDelay {
				t.Fatalf("b may send orders %v after a", at-lastA)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return bFirst
}

// Guards against interleaved orders of two hosts when the leader is partitioned from the store, loses its key in the
// store or is suspended.
func TestOrdersAreNotInterleaved(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(s *stub.Store, a *host)
	}{
		{"partitioned", func(_ *stub.Store, a *host) { a.setPartitioned(true) }},
		{"partitioned while its key is removed", func(s *stub.Store, a *host) {
			a.setPartitioned(true)
			s.RemoveKey("figreel/seat")
		}},
		{"suspended beyond its lease", func(_ *stub.Store, a *host) {
			a.setPartitioned(true)
			a.mu.Lock()
			a.suspended += 10 * time.Second
			a.mu.Unlock()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runTwoHosts(t, func(*host) (time.Duration, error) { return noResponse() }, func(t *testing.T, s *stub.Store, a, b *host) {
				tt.do(s, a)
				if got := checkHandover(t, a, b, 12*time.Second); got < 0 {
					t.Error("b never becomes leader")
				}
			})
		})
	}
}

// Guards against a long gap without orders when the previous leader still responds.
func TestStepDown(t *testing.T) {
	stepDown := func(a *host) (time.Duration, error) {
		sinceLast, ok := a.StepDown(elect.Term{Nonce: "other"})
		if !ok {
			return 0, errors.New("refused to step down")
		}
		return sinceLast, nil
	}
	runTwoHosts(t, stepDown, func(t *testing.T, s *stub.Store, a, b *host) {
		s.RemoveKey("figreel/seat")
		a.setPartitioned(true)
		got := checkHandover(t, a, b, 8*time.Second)
		if got < 0 || got > handoverDelay+time.Second {
			t.Errorf("b may send orders after %v", got)
		}
	})
}

// Guards against a host that does not recognise its own leader key after the store's response to the write was lost.
func TestLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer stopHosts(cancel)
		s := &stub.Store{LoseResponse: func(kind string) bool { return kind == "commit" }}
		a := start(ctx, s, "a", 0, noResponse)
		time.Sleep(2 * time.Second)
		if !a.maySendOrders() {
			t.Error("a did not become leader")
		}
	})
}

// Guards against a handover delay after a restart of the leader, although no other host sent orders.
func TestRestartedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub.Store{}
		ctx, cancel := context.WithCancel(context.Background())
		a := start(ctx, s, "a", 0, noResponse)
		time.Sleep(time.Second)
		before, _ := a.Fence()
		cancel()
		synctest.Wait()
		ctx, cancel = context.WithCancel(context.Background())
		defer stopHosts(cancel)
		restarted := start(ctx, s, "a", 0, noResponse)
		time.Sleep(3500 * time.Millisecond)
		if after, ok := restarted.Fence(); !ok || after <= before {
			t.Errorf("fencing token %d, %v after %d", after, ok, before)
		}
	})
}

// Guards against a gap without orders while the store is unreachable for all hosts, and against orders after the
// promises of the other hosts have ended.
func TestStoreOutage(t *testing.T) {
	stepDown := func(*host) (time.Duration, error) { return noResponse() }
	runTwoHosts(t, stepDown, func(t *testing.T, s *stub.Store, a, b *host) {
		s.Do(func() { s.Fault = func(string) error { return store.ErrNotExecuted } })
		a.mu.Lock()
		a.promised = time.Hour
		a.mu.Unlock()
		time.Sleep(6 * time.Second)
		if !a.maySendOrders() || b.maySendOrders() {
			t.Errorf("store unreachable for all hosts: orders of a %v, of b %v", a.maySendOrders(), b.maySendOrders())
		}
		a.mu.Lock()
		a.promised = 0
		a.mu.Unlock()
		term, _ := a.Term()
		if !b.Promise(term.Nonce) {
			t.Error("b makes no promise although it knows of no other leader")
		}
		a.setPartitioned(true)
		s.Do(func() { s.Fault = nil })
		if a.maySendOrders() {
			t.Error("a may send orders in an outage without promises")
		}
		if got := checkHandover(t, a, b, 10*time.Second); got < 0 {
			t.Error("b never becomes leader")
		}
	})
}

// Guards against a host that leads again after it has stepped down, or with a lower fencing token, because it gets a
// copy of the store that is older than its own leadership.
func TestOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer stopHosts(cancel)
		s := &stub.Store{}
		a := start(ctx, s, "a", 0, noResponse)
		time.Sleep(time.Second)
		term, leads := a.Term()
		items, as, err := s.List(ctx, elect.Prefix)
		if err != nil || !leads {
			t.Fatalf("a leads: %v, list: %v", leads, err)
		}
		a.setPartitioned(true)
		a.Replace(as, slices.DeleteFunc(slices.Clone(items), func(it store.Item) bool { return it.Key == "figreel/seat" }))
		if a.maySendOrders() {
			t.Error("a may send orders although its leader key is missing")
		}
		for i := range items {
			items[i].Revision-- // as if the response to the write had another revision than the key
		}
		a.Replace(as, items)
		if token, ok := a.Fence(); !ok || token != term.Token {
			t.Errorf("fencing token %d, %v after %d", token, ok, term.Token)
		}
		if _, ok := a.StepDown(elect.Term{Nonce: "older", Token: term.Token - 1}); ok {
			t.Error("a has stepped down for an earlier leader")
		}
		if _, ok := a.StepDown(elect.Term{Nonce: "later", Token: term.Token + 1}); !ok {
			t.Error("a has not stepped down for a later leader")
		}
		a.Replace(as, items)
		if a.maySendOrders() {
			t.Error("a may send orders after it has stepped down")
		}
	})
}

// Guards against hosts that keep a lease, a registration or a leadership that the store has lost in a restore, against a
// leader that waits although it led until then, and against a lower fencing token after a higher one.
func TestRestoredStore(t *testing.T) {
	const backIn = 1500 * time.Millisecond
	silent := func(*host) (time.Duration, error) { return noResponse() }
	for _, tt := range []struct {
		name string
		age  time.Duration // of the copy
	}{
		{"the copy has all records", time.Second},
		{"the copy has lost everything", 2 * registrationTime},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer stopHosts(cancel)
				s := &stub.Store{}
				empty := s.Copy()
				a := start(ctx, s, "a", 0, noResponse)
				time.Sleep(400 * time.Millisecond)
				b := start(ctx, s, "b", 1, func() (time.Duration, error) { return silent(a) })
				time.Sleep(registrationTime)
				older := s.Copy()
				if tt.age > registrationTime {
					older = empty
				}
				time.Sleep(min(tt.age, time.Second))
				before, _ := a.Fence()
				s.Restore(older)
				// Another client gets the lease IDs and revisions that hosts had.
				foreign, err := s.Grant(ctx, time.Hour)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(backIn)
				for _, name := range []string{"a", "b"} {
					if s.Value(elect.HostPrefix+name) == "" {
						t.Errorf("%s is not registered", name)
					}
				}
				if after, ok := a.Fence(); !ok || after <= before {
					t.Errorf("fencing token of a %d, %v after %d", after, ok, before)
				}
				if b.maySendOrders() {
					t.Error("b may send orders")
				}
				if err := s.Revoke(ctx, foreign); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Second)
				if s.Value(elect.HostPrefix+"a") == "" || !a.maySendOrders() {
					t.Error("a depends on the lease of another client")
				}
			})
		})
	}
}

// Guards against orders of a new leader while one of whose record the restored store knows nothing may still send some.
func TestLeaderLostByRestore(t *testing.T) {
	silent := func(*host) (time.Duration, error) { return noResponse() }
	for _, tt := range []struct {
		name  string
		fresh bool // the new leader has started after the restore
	}{{"known to the new leader", false}, {"before the new leader has started", true}} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer stopHosts(cancel)
				s := &stub.Store{}
				older := s.Copy()
				a := start(ctx, s, "a", 0, noResponse)
				time.Sleep(400 * time.Millisecond)
				var b *host
				if !tt.fresh {
					b = start(ctx, s, "b", 1, func() (time.Duration, error) { return silent(a) })
				}
				time.Sleep(registrationTime)
				a.setPartitioned(true)
				s.Restore(older)
				if tt.fresh {
					b = startIn(ctx, s, "b", 1, true, func() (time.Duration, error) { return silent(a) })
				}
				if got := checkHandover(t, a, b, 40*time.Second); got < 0 {
					t.Error("b never becomes leader")
				}
			})
		})
	}
}

// Guards against a host that takes an old change of the leader key, of the leader record or of its own registration for
// the current state, because it gets the changes from several sources and one of them was suspended: the leader stops
// acting and its key stays, a follower sees a vacancy and takes over too early, or campaigns are rejected without end.
func TestOldChanges(t *testing.T) {
	leaderGone := store.Event{Item: store.Item{Key: "figreel/seat", Revision: 1}, Deleted: true}
	oldRecord := store.Event{Item: store.Item{Key: "figreel/term", Value: []byte(`{"host":"x"}`), Revision: 1}}
	oldSelf := func(name string) store.Event {
		return store.Event{Item: store.Item{Key: elect.HostPrefix + name, Value: []byte(`{}`), Revision: 1, Lease: 99}}
	}
	for _, tt := range []struct {
		name  string
		apply func(h *host)
	}{
		{"removal of the leader key", func(h *host) { h.Apply(0, []store.Event{leaderGone}) }},
		{"leader record", func(h *host) { h.Apply(0, []store.Event{oldRecord}) }},
		{"registration of the host", func(h *host) { h.Apply(0, []store.Event{oldSelf(h.Self.Name)}) }},
		{"list of the empty store", func(h *host) { h.Replace(store.Version{}, nil) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			runTwoHosts(t, func(*host) (time.Duration, error) { return noResponse() }, func(t *testing.T, s *stub.Store, a, b *host) {
				before, _ := a.Term()
				for _, h := range []*host{a, b} {
					tt.apply(h)
					if l, ok := h.Leader(); !ok || l.Host != "a" {
						t.Errorf("%s: leader %q, %v", h.Self.Name, l.Host, ok)
					}
				}
				if !a.maySendOrders() {
					t.Error("a may send no orders")
				}
				time.Sleep(3 * time.Second)
				if after, leads := a.Term(); !leads || after.Token != before.Token {
					t.Errorf("a leads: %v, token %d after %d", leads, after.Token, before.Token)
				}
				a.setPartitioned(true)
				s.RemoveKey("figreel/seat")
				if got := checkHandover(t, a, b, 12*time.Second); got < 0 {
					t.Error("b never becomes leader")
				}
			})
		})
	}
}

// Guards against campaigns that are rejected without end by a host that has missed the change of leader.
func TestCampaignsOnOutdatedCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer stopHosts(cancel)
		s, started := &stub.Store{}, time.Now()
		items, as, err := s.List(ctx, elect.Prefix)
		if err != nil {
			t.Fatal(err)
		}
		start(ctx, s, "a", 0, noResponse)
		time.Sleep(time.Second)
		b := &elect.Elector{
			Self: topo.Host{Name: "b"}, Store: s, Log: zerolog.Nop(), Rank: func(string) int { return 0 },
			LeadershipChanged: func(bool) {}, Now: func() time.Duration { return time.Since(started) },
		}
		b.Replace(as, items)
		go b.Run(ctx)
		time.Sleep(3 * time.Second)
		if l, ok := b.Leader(); !ok || l.Host != "a" {
			t.Errorf("leader %q, %v", l.Host, ok)
		}
		before := s.Calls("commit")
		time.Sleep(5 * time.Second)
		if n := s.Calls("commit") - before; n > 0 {
			t.Errorf("%d campaigns although there is a leader", n)
		}
	})
}

// Guards against the end of an outage that goes unnoticed because another host has reported it before.
func TestStoreReachableAfterRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s, started := &stub.Store{}, time.Now()
		var reached atomic.Int32
		e := &elect.Elector{
			Now:  func() time.Duration { return time.Since(started) + time.Second },
			Self: topo.Host{Name: "a"}, Store: s, Log: zerolog.Nop(), LeadershipChanged: func(bool) {},
			Rank: func(string) int { return 0 }, StoreReachable: func() { reached.Add(1) },
		}
		go e.Run(ctx)
		time.Sleep(time.Second)
		s.Do(func() { s.Fault = func(string) error { return store.ErrNotExecuted } })
		time.Sleep(5 * time.Second)
		s.Do(func() { s.Fault = nil })
		e.RetryStore()
		time.Sleep(time.Second)
		if n := reached.Load(); n != 1 {
			t.Errorf("the end of the outage was reported %d times, want once", n)
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}
