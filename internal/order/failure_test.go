package order

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/ledger"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

func isLoad(o engine.Order) bool { return o.Kind == engine.LoadModel || o.Kind == engine.LoadAdapter }

// faultFirst returns a function that returns the fault f for the first n orders for which match is true.
func faultFirst(n int, match func(engine.Order) bool, f fault) func(engine.Order) fault {
	var mu sync.Mutex
	return func(o engine.Order) fault {
		mu.Lock()
		defer mu.Unlock()
		if n == 0 || !match(o) {
			return fault{}
		}
		n--
		return f
	}
}

// upgrade replaces the version of every model; the new versions need memory that the old ones occupy.
func (tp *testPool) upgrade(version string) {
	d := *tp.doc.Load()
	d.Models = slices.Clone(d.Models)
	for i := range d.Models {
		d.Models[i].Version = version
	}
	tp.doc.Store(&d)
}

// checkConverged checks that every model has its replicas, that memory was never exceeded, and that no order to an
// available engine is in doubt.
func (tp *testPool) checkConverged(r *Reconciler) {
	tp.t.Helper()
	for _, m := range tp.doc.Load().Models {
		tp.wantReplicas(m.Item(), m.MinCopies)
	}
	tp.engines.checkMemory(tp.t)
	for _, e := range r.Snapshot().Engines {
		if e.Up && len(e.InDoubt) > 0 {
			tp.t.Errorf("orders in doubt: %+v", e)
		}
	}
}

// Guards against orders that stay in doubt, and against reusing memory while a delayed order can still occupy it.
func TestOrderFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"lost", fault{lost: true}},
		{"response lost", fault{noResponse: true}},
		{"late", fault{delay: 50 * time.Second}},
		{"duplicated", fault{duplicateAfter: 50 * time.Second}},
		{"late and duplicated", fault{delay: 20 * time.Second, duplicateAfter: 55 * time.Second}},
	}
	for _, tt := range tests {
		for _, fencing := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/fencing %t", tt.name, fencing), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					tp := newTestPool(t, 3, 100, fencing, 50, 30)
					tp.engines.faults = faultFirst(3, isLoad, tt.fault)
					r := tp.newReconciler("a", newLease(1))
					stop := tp.start(r)
					advance(30 * time.Second)
					tp.upgrade("2")
					advance(5 * time.Minute)
					tp.checkConverged(r)
					_ = stop()
				})
			})
		}
	}
}

// leaseEnd records the time at which a lease ended and the ledgers that were stored from then on. An order of an
// earlier ledger may still be sent at the same instant, because another goroutine can have checked the lease just
// before it ended.
type leaseEnd struct {
	mu            sync.Mutex
	at            time.Time
	storedLedgers [][]byte
}

func (l *leaseEnd) record(ledger []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() {
		l.at = time.Now()
	}
	l.storedLedgers = append(l.storedLedgers, ledger)
}

func (l *leaseEnd) forbids(order string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() {
		return false
	}
	id := []byte(strconv.Quote(order))
	stored := slices.ContainsFunc(l.storedLedgers, func(b []byte) bool { return bytes.Contains(b, id) })
	return stored || time.Now().After(l.at)
}

// Guards against an order that stays in doubt because its owner died between storing and sending it, and against orders
// that this owner sends after its lease ended.
func TestOwnerDiesBetweenWriteAndSend(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tp := newTestPool(t, 3, 100, fencing, 50, 30)
			l := newLease(1)
			var second atomic.Bool
			var end leaseEnd
			tp.kv.onPut = func(n int, put kvapi.Write) {
				if n == 5 {
					l.epoch.Store(0)
				}
				if n >= 5 && !second.Load() {
					end.record(put.Value)
				}
			}
			tp.engines.faults = func(o engine.Order) fault {
				if !fencing && !second.Load() && end.forbids(o.ID) {
					t.Errorf("order sent without a lease: %+v", o)
				}
				return fault{}
			}
			stop := tp.start(tp.newReconciler("a", l))
			advance(5 * time.Second)
			_ = stop()
			second.Store(true)
			r := tp.newReconciler("b", newLease(2))
			stop = tp.start(r)
			advance(3 * time.Minute)
			tp.checkConverged(r)
			_ = stop()
		})
	}
}

// Guards against an owner that continues after another has taken over: its Run must end, and the new owner must
// account for its late orders.
func TestPausedOwner(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tp := newTestPool(t, 3, 100, fencing, 50, 30)
			tp.engines.faults = faultFirst(2, isLoad, fault{delay: 55 * time.Second, duplicateAfter: 50 * time.Second})
			stopA := tp.start(tp.newReconciler("a", newLease(1)))
			advance(2 * time.Second)
			r := tp.newReconciler("b", newLease(2))
			stopB := tp.start(r)
			advance(20 * time.Second)
			tp.upgrade("2")
			advance(5 * time.Minute)
			tp.checkConverged(r)
			if err := stopA(); !errors.Is(err, ErrSuperseded) {
				t.Errorf("Run of the first owner returned %v", err)
			}
			_ = stopB()
		})
	}
}

// Guards against a takeover that frees memory which a late order of the earlier owner can still occupy.
func TestLateOrderOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPool(t, 1, 100, false, 60)
		tp.engines.faults = faultFirst(1, isLoad, fault{delay: 55 * time.Second})
		stop := tp.start(tp.newReconciler("a", newLease(1)))
		advance(2 * time.Second)
		_ = stop()
		d := *tp.doc.Load()
		d.Models = []envdoc.Model{{Name: "n", Version: "1", Pool: "p", MemoryMB: 60, MinCopies: 1}}
		tp.doc.Store(&d)
		r := tp.newReconciler("b", newLease(2))
		stop = tp.start(r)
		advance(3 * time.Minute)
		tp.checkConverged(r)
		_ = stop()
	})
}

// Guards against a restart of an engine that leaves a model without a replica in a long outage of the store, and
// against orders without a lease to engines that ignore fencing.
func TestOutageWithRestart(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tp := newTestPool(t, 3, 100, fencing, 50, 30)
			l := newLease(1)
			r := tp.newReconciler("a", l)
			stop := tp.start(r)
			advance(time.Minute)
			tp.kv.setDown(true)
			l.epoch.Store(0)
			advance(time.Minute)
			hosting := tp.engines.residentOn("m0@1")
			tp.engines.restart(hosting[0])
			advance(10 * time.Minute)
			if got := slices.Contains(tp.engines.residentOn("m0@1"), hosting[0]); got != fencing {
				t.Errorf("fencing %t: restarted engine has m0@1: %t", fencing, got)
			}
			tp.wantReplicas("m0@1", 1)
			tp.kv.setDown(false)
			l.epoch.Store(2)
			advance(2 * time.Minute)
			tp.checkConverged(r)
			_ = stop()
		})
	}
}

// Guards against loads without a lease on an engine that checks fencing tokens but loses its own in a restart.
func TestOutageWithLostFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPool(t, 3, 100, true, 50, 30)
		for _, e := range tp.engines.engines {
			e.losesFence = true
		}
		l := newLease(1)
		stop := tp.start(tp.newReconciler("a", l))
		advance(time.Minute)
		l.epoch.Store(0)
		hosting := tp.engines.residentOn("m0@1")
		tp.engines.restart(hosting[0])
		advance(5 * time.Minute)
		if got := tp.engines.residentOn("m0@1"); len(got) != 1 {
			t.Errorf("m0@1 is resident on %v, want one engine", got)
		}
		_ = stop()
	})
}

// Guards against late orders at an engine that lost its fencing token in a restart: it accepts any order until it has
// received a new token, so a sync order must come first.
func TestRestartIsFollowedBySync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPool(t, 3, 100, true, 50, 30)
		for _, e := range tp.engines.engines {
			e.losesFence = true
		}
		stop := tp.start(tp.newReconciler("a", newLease(1)))
		advance(time.Minute)
		name := tp.engines.residentOn("m0@1")[0]
		var mu sync.Mutex
		var first engine.OrderKind
		tp.engines.onSend = func(url string, o engine.Order) {
			mu.Lock()
			defer mu.Unlock()
			if first == "" && url == name {
				first = o.Kind
			}
		}
		tp.engines.restart(name)
		advance(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if first != engine.Sync {
			t.Errorf("the first order after the restart was %q, want %q", first, engine.Sync)
		}
		_ = stop()
	})
}

// Guards against a load without a lease that relies on a report from before a pause of the owner's process: the engine
// may have restarted since, and a new owner may have used the memory for other items.
func TestStoredLoadNeedsRecentReport(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		sent int
	}{
		{"recent", time.Second, 1},
		{"from before a pause", maxReportAge + time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tp := newTestPool(t, 1, 100, true, 50)
				r := tp.newReconciler("a", newLease(0))
				r.init()
				led := &ledger.Ledger{Engine: "e0", Fence: 3, Rules: ledger.Rules{CapacityMB: 100, ChecksFencing: true}}
				led.Items = []ledger.Item{{Name: "m0@1", MemoryMB: 50, Desired: true}}
				began := time.Now()
				led.ApplyReport(began, began, engine.Status{BootID: "1", Seq: 1, Fence: 3, MemoryMB: 100})
				stored, err := led.Encode()
				if err != nil {
					t.Fatal(err)
				}
				es := &engineState{
					spec: tp.doc.Load().Pools[0].Engines[0], led: led, storedLedger: stored, reportedAt: began,
				}
				sent := 0
				tp.engines.onSend = func(string, engine.Order) { sent++ }
				time.Sleep(tt.age)
				if !r.sendStoredLoad(t.Context(), es, "m0@1") {
					t.Fatal("the stored load was not started")
				}
				r.workers.Wait()
				if sent != tt.sent {
					t.Errorf("%d orders sent, want %d", sent, tt.sent)
				}
			})
		})
	}
}

// Guards against replicas that are not replaced after the loss of engines, and against more concurrent loads than there
// are load tickets.
func TestEngineLoss(t *testing.T) {
	tests := []struct {
		name string
		lost []string
	}{
		{"engine", []string{"e00"}},
		{"failure domain", []string{"e00", "e03", "e06"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tp := newTestPool(t, 9, 100, false, 50, 50, 30, 30, 20)
				r := tp.newReconciler("a", newLease(1))
				lim := &fakeLimiter{limit: 2}
				r.Acquire = lim.acquire
				stop := tp.start(r)
				advance(time.Minute)
				tp.engines.setDown(true, tt.lost...)
				advance(time.Minute)
				tp.checkConverged(r)
				_ = stop()
				if lim.peak != lim.limit {
					t.Errorf("%d concurrent loads, want %d", lim.peak, lim.limit)
				}
			})
		})
	}
}

// Guards against orders to engines that ignore fencing tokens after the lease has expired, and against a lost order
// that is not repeated once there is a lease again.
func TestExpiredLeaseAndLostOrder(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tp := newTestPool(t, 3, 100, fencing, 50, 30)
			tp.engines.faults = faultFirst(2, isLoad, fault{lost: true})
			l := newLease(1)
			r := tp.newReconciler("a", l)
			stop := tp.start(r)
			advance(2 * time.Second)
			l.epoch.Store(0)
			advance(11 * time.Second)
			before := tp.engines.loadCount()
			advance(time.Minute)
			if n := tp.engines.loadCount(); !fencing && n != before {
				t.Errorf("%d orders without a lease", n-before)
			}
			l.epoch.Store(3)
			advance(2 * time.Minute)
			tp.checkConverged(r)
			_ = stop()
		})
	}
}

// Guards against load requests without backoff in an outage of the store, for a load that cannot start because the
// ledger with it was not stored.
func TestUnstoredLoadInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPool(t, 3, 100, true, 50, 30)
		l := newLease(1)
		tp.kv.onPut = func(n int, _ kvapi.Write) { tp.kv.down = n >= 7 }
		var requests atomic.Int64
		r := tp.newReconciler("a", l)
		r.Acquire = func(ctx context.Context, _ wire.LoadRequest) (func(), error) {
			if requests.Add(1) > 2000 {
				t.Error("more than 2000 load requests")
				<-ctx.Done()
			}
			return func() {}, nil
		}
		stop := tp.start(r)
		advance(5 * time.Second)
		l.epoch.Store(0)
		advance(5 * time.Minute)
		tp.kv.mu.Lock()
		tp.kv.onPut = nil
		tp.kv.down = false
		tp.kv.mu.Unlock()
		l.epoch.Store(2)
		advance(time.Minute)
		tp.checkConverged(r)
		_ = stop()
	})
}

// Guards against a write that took effect although its response was lost, and that is treated as failed or causes an
// order to be sent twice.
func TestLostWriteResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPool(t, 3, 100, false, 50, 30)
		tp.kv.onPut = func(n int, _ kvapi.Write) {
			if n == 5 {
				tp.kv.loseResponses = 2
			}
		}
		r := tp.newReconciler("a", newLease(1))
		stop := tp.start(r)
		advance(time.Minute)
		tp.checkConverged(r)
		if n := tp.engines.loadCount(); n != 4 {
			t.Errorf("%d loads arrived, want 4", n)
		}
		if n := r.Stats.Events.Get("order_takeover").String(); n != "3" {
			t.Errorf("%s takeovers of 3 engines", n)
		}
		_ = stop()
	})
}

// Guards against a leaving engine whose replicas are not replaced, and against a removed model that keeps its memory.
func TestDocumentAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPool(t, 4, 100, true, 50, 30)
		d := *tp.doc.Load()
		d.Adapters = []envdoc.Adapter{{Name: "z0", Version: "1", Model: "m0", MemoryMB: 5, MinCopies: 2}}
		tp.doc.Store(&d)
		r := tp.newReconciler("a", newLease(1))
		stop := tp.start(r)
		advance(time.Minute)
		tp.wantReplicas("z0@1", 2)
		leavingName := tp.engines.residentOn("z0@1")[0]
		tp.engines.mu.Lock()
		tp.engines.engines[leavingName].leaving = true
		tp.engines.mu.Unlock()
		advance(time.Minute)
		tp.wantReplicas("m0@1", 3)
		tp.wantReplicas("z0@1", 3)
		d.Models = d.Models[1:]
		d.Adapters = nil
		next := d
		tp.doc.Store(&next)
		advance(2 * time.Minute)
		if got := tp.engines.residentOn("m0@1"); !slices.Equal(got, []string{leavingName}) {
			t.Errorf("removed model is still on %v", got)
		}
		tp.engines.checkMemory(t)
		_ = stop()
	})
}
