package elect_test

import (
	"context"
	"sync"
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

const turnTime = 3 * time.Second

// host is one seat with its own path to the store.
type host struct {
	*elect.Elector
	mu     sync.Mutex
	cut    bool
	frozen time.Duration // by which its steady clock lags behind
	vouch  bool          // other hosts say that they have lost the store too
}

type path struct {
	store.Store
	h *host
}

func (p path) Commit(ctx context.Context, t store.Txn) (int64, error) {
	if p.h.isCut() {
		return 0, store.ErrOutcomeUnknown
	}
	return p.Store.Commit(ctx, t)
}

func (p path) Renew(ctx context.Context, id int64) error {
	if p.h.isCut() {
		return store.ErrOutcomeUnknown
	}
	return p.Store.Renew(ctx, id)
}

func (p path) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if p.h.isCut() {
		return 0, store.ErrOutcomeUnknown
	}
	return p.Store.Grant(ctx, ttl)
}

func (h *host) isCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut
}

func (h *host) setCut(v bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = v
}

func (h *host) orders() bool {
	_, ok := h.Fence()
	return ok
}

// start runs a host and its watch.
func start(ctx context.Context, s *stub.Store, name string, rank int, yield func() (time.Duration, error)) *host {
	h := &host{}
	begin := time.Now()
	h.Elector = &elect.Elector{
		Self: topo.Host{Name: name}, Store: path{s, h}, Log: zerolog.Nop(), HandoverDelay: turnTime,
		Rank:            func(string) int { return rank },
		RequestStepDown: func(context.Context, elect.Leader) (time.Duration, error) { return yield() },
		Now: func() time.Duration {
			h.mu.Lock()
			defer h.mu.Unlock()
			return time.Since(begin) + h.frozen
		},
		OutageConfirmed: func() bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.vouch
		},
		Changed: func(bool) {},
	}
	go h.Run(ctx)
	go func() {
		listed := false
		var rev int64
		for ctx.Err() == nil {
			if h.isCut() {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			if !listed {
				items, r, err := s.List(ctx, elect.Prefix)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				h.Replace(items)
				rev, listed = r, true
				continue
			}
			events, r, err := s.Watch(ctx, elect.Prefix, rev, 100*time.Millisecond)
			if err != nil {
				listed = false
				continue
			}
			rev = r
			h.Apply(events)
		}
	}()
	return h
}

// settle ends a bubble's hosts, which needs time to pass.
func settle(cancel func()) {
	cancel()
	time.Sleep(2 * time.Second)
}

func silent() (time.Duration, error) { return 0, errors.New("no answer") }

// bubble runs f with two hosts in virtual time.
func bubble(t *testing.T, yield func(a *host) (time.Duration, error), f func(t *testing.T, s *stub.Store, a, b *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer settle(cancel)
		s := &stub.Store{}
		a := start(ctx, s, "a", 0, silent)
		time.Sleep(400 * time.Millisecond)
		b := start(ctx, s, "b", 1, func() (time.Duration, error) { return yield(a) })
		time.Sleep(2 * time.Second)
		if !a.orders() || b.orders() {
			t.Fatalf("orders: a %v, b %v", a.orders(), b.orders())
		}
		f(t, s, a, b)
	})
}

// never counts a moment in which both hosts, or two within the time between turns, may send orders.
func never(t *testing.T, a, b *host, during time.Duration) (bFirst time.Duration) {
	t.Helper()
	var lastA time.Duration
	bFirst = -1
	for at := time.Duration(0); at < during; at += 20 * time.Millisecond {
		if a.orders() {
			lastA = at
			if bFirst >= 0 {
				t.Fatalf("a sends orders again at %v, b since %v", at, bFirst)
			}
		}
		if b.orders() && bFirst < 0 {
			bFirst = at
			if at-lastA < turnTime {
				t.Fatalf("b sends orders %v after a", at-lastA)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return bFirst
}

// Guards against two hosts that send orders in turns: a holder that is cut off, robbed of its keys or frozen.
func TestTurns(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(s *stub.Store, a *host)
	}{
		{"cut off", func(_ *stub.Store, a *host) { a.setCut(true) }},
		{"cut off while its keys are taken away", func(s *stub.Store, a *host) {
			a.setCut(true)
			s.RemoveKey("figreel/seat")
		}},
		{"frozen beyond its lease", func(_ *stub.Store, a *host) {
			a.setCut(true)
			a.mu.Lock()
			a.frozen += 10 * time.Second
			a.mu.Unlock()
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, func(*host) (time.Duration, error) { return silent() }, func(t *testing.T, s *stub.Store, a, b *host) {
				tt.do(s, a)
				if got := never(t, a, b, 12*time.Second); got < 0 {
					t.Error("b never takes over")
				}
			})
		})
	}
}

// Guards against a long pause in orders when the last holder can still be asked.
func TestYield(t *testing.T) {
	yield := func(a *host) (time.Duration, error) {
		ago, ok := a.StepDown("other")
		if !ok {
			return 0, errors.New("kept")
		}
		return ago, nil
	}
	bubble(t, yield, func(t *testing.T, s *stub.Store, a, b *host) {
		s.RemoveKey("figreel/seat")
		a.setCut(true)
		got := never(t, a, b, 8*time.Second)
		if got < 0 || got > turnTime+time.Second {
			t.Errorf("b sends orders after %v", got)
		}
	})
}

// Guards against a seat that is lost to a lost answer of the store, and against one that is held twice.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer settle(cancel)
		s := &stub.Store{LoseResponse: func(kind string) bool { return kind == "commit" }}
		a := start(ctx, s, "a", 0, silent)
		time.Sleep(2 * time.Second)
		if !a.orders() {
			t.Error("the seat was not taken")
		}
	})
}

// Guards against a restarted holder that waits although no other machine sent orders.
func TestSameMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub.Store{}
		ctx, cancel := context.WithCancel(context.Background())
		a := start(ctx, s, "a", 0, silent)
		time.Sleep(time.Second)
		before, _ := a.Fence()
		cancel()
		synctest.Wait()
		ctx, cancel = context.WithCancel(context.Background())
		defer settle(cancel)
		again := start(ctx, s, "a", 0, silent)
		time.Sleep(3500 * time.Millisecond)
		if after, ok := again.Fence(); !ok || after <= before {
			t.Errorf("token %d, %v after %d", after, ok, before)
		}
	})
}

// Guards against a pause in orders for as long as the store is away for all, and against orders beyond that.
func TestVouched(t *testing.T) {
	yield := func(*host) (time.Duration, error) { return silent() }
	bubble(t, yield, func(t *testing.T, s *stub.Store, a, b *host) {
		s.Do(func() { s.Fault = func(string) error { return store.ErrRefused } })
		a.mu.Lock()
		a.vouch = true
		a.mu.Unlock()
		time.Sleep(6 * time.Second)
		if !a.orders() || b.orders() {
			t.Errorf("away for all: orders of a %v, of b %v", a.orders(), b.orders())
		}
		a.mu.Lock()
		a.vouch = false
		a.mu.Unlock()
		a.setCut(true)
		s.Do(func() { s.Fault = nil })
		if a.orders() {
			t.Error("a sends orders without witnesses")
		}
		if got := never(t, a, b, 10*time.Second); got < 0 {
			t.Error("b never takes over")
		}
	})
}
