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

// firstOf gives the fault to the first n orders for which match is true.
func firstOf(n int, match func(engine.Order) bool, f fault) func(engine.Order) fault {
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

// upgrade replaces the version of every model, which needs room that the old versions hold.
func (w *world) upgrade(version string) {
	d := *w.doc.Load()
	d.Models = slices.Clone(d.Models)
	for i := range d.Models {
		d.Models[i].Version = version
	}
	w.doc.Store(&d)
}

// settled checks that every model has its copies, that memory was never exceeded and that no order
// to an engine that answers is in doubt.
func (w *world) settled(o *Reconciler) {
	w.t.Helper()
	for _, m := range w.doc.Load().Models {
		w.wantCopies(m.Item(), m.MinCopies)
	}
	w.fleet.checkMemory(w.t)
	for _, e := range o.Snapshot().Engines {
		if e.Up && len(e.InDoubt) > 0 {
			w.t.Errorf("orders in doubt: %+v", e)
		}
	}
}

// Guards against orders that are never settled, and against memory freed while a copy of an order can still arrive.
func TestOrderFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
	}{
		{"lost", fault{lost: true}},
		{"answer lost", fault{noAnswer: true}},
		{"late", fault{delay: 50 * time.Second}},
		{"doubled", fault{twice: 50 * time.Second}},
		{"late and doubled", fault{delay: 20 * time.Second, twice: 55 * time.Second}},
	}
	for _, tt := range tests {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/fencing %t", tt.name, checks), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, 3, 100, checks, 50, 30)
					w.fleet.faults = firstOf(3, isLoad, tt.fault)
					o := w.owner("a", held(1))
					stop := w.start(o)
					after(30 * time.Second)
					w.upgrade("2")
					after(5 * time.Minute)
					w.settled(o)
					_ = stop()
				})
			})
		}
	}
}

// lapse notes the time at which a lease ended and the orders that were stored from then on. An order of an earlier
// write may still be sent at the same instant, because another goroutine can have checked the lease just before it
// ended.
type lapse struct {
	mu     sync.Mutex
	at     time.Time
	ledger [][]byte
}

func (l *lapse) note(ledger []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() {
		l.at = time.Now()
	}
	l.ledger = append(l.ledger, ledger)
}

func (l *lapse) forbids(order string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() {
		return false
	}
	id := []byte(strconv.Quote(order))
	stored := slices.ContainsFunc(l.ledger, func(b []byte) bool { return bytes.Contains(b, id) })
	return stored || time.Now().After(l.at)
}

// Guards against an order that is stored but never sent by an owner that died, and against two owners.
func TestOwnerDiesBetweenWriteAndSend(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3, 100, checks, 50, 30)
			l := held(1)
			var second atomic.Bool
			var lapsed lapse
			w.kv.onPut = func(n int, put kvapi.Write) {
				if n == 5 {
					l.epoch.Store(0)
				}
				if n >= 5 && !second.Load() {
					lapsed.note(put.Value)
				}
			}
			w.fleet.faults = func(o engine.Order) fault {
				if !checks && !second.Load() && lapsed.forbids(o.ID) {
					t.Errorf("order sent without a lease: %+v", o)
				}
				return fault{}
			}
			stop := w.start(w.owner("a", l))
			after(5 * time.Second)
			_ = stop()
			second.Store(true)
			o := w.owner("b", held(2))
			stop = w.start(o)
			after(3 * time.Minute)
			w.settled(o)
			_ = stop()
		})
	}
}

// Guards against an owner that resumes after another has taken over: it must end, and its late orders are counted.
func TestPausedOwner(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3, 100, checks, 50, 30)
			w.fleet.faults = firstOf(2, isLoad, fault{delay: 55 * time.Second, twice: 50 * time.Second})
			stopA := w.start(w.owner("a", held(1)))
			after(2 * time.Second)
			o := w.owner("b", held(2))
			stopB := w.start(o)
			after(20 * time.Second)
			w.upgrade("2")
			after(5 * time.Minute)
			w.settled(o)
			if err := stopA(); !errors.Is(err, ErrSuperseded) {
				t.Errorf("first owner ended with %v", err)
			}
			_ = stopB()
		})
	}
}

// Guards against a takeover that frees what a late order of the earlier owner still adds.
func TestLateOrderOfEarlierOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1, 100, false, 60)
		w.fleet.faults = firstOf(1, isLoad, fault{delay: 55 * time.Second})
		stop := w.start(w.owner("a", held(1)))
		after(2 * time.Second)
		_ = stop()
		d := *w.doc.Load()
		d.Models = []envdoc.Model{{Name: "n", Version: "1", Pool: "p", MemoryMB: 60, MinCopies: 1}}
		w.doc.Store(&d)
		o := w.owner("b", held(2))
		stop = w.start(o)
		after(3 * time.Minute)
		w.settled(o)
		_ = stop()
	})
}

// Guards against a restart in a long outage that leaves a model without a copy, and against orders without a lease to
// engines that ignore fencing.
func TestOutageWithRestart(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3, 100, checks, 50, 30)
			l := held(1)
			o := w.owner("a", l)
			stop := w.start(o)
			after(time.Minute)
			w.kv.set(true)
			l.epoch.Store(0)
			after(time.Minute)
			had := w.fleet.holders("m0@1")
			w.fleet.restart(had[0])
			after(10 * time.Minute)
			if got := slices.Contains(w.fleet.holders("m0@1"), had[0]); got != checks {
				t.Errorf("fencing %t: restarted engine answers: %t", checks, got)
			}
			w.wantCopies("m0@1", 1)
			w.kv.set(false)
			l.epoch.Store(2)
			after(2 * time.Minute)
			w.settled(o)
			_ = stop()
		})
	}
}

// Guards against reloads without a lease on an engine that checks fencing but loses its number in a restart.
func TestOutageWithForgetfulEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 100, true, 50, 30)
		for _, e := range w.fleet.engines {
			e.forgets = true
		}
		l := held(1)
		stop := w.start(w.owner("a", l))
		after(time.Minute)
		l.epoch.Store(0)
		had := w.fleet.holders("m0@1")
		w.fleet.restart(had[0])
		after(5 * time.Minute)
		if got := w.fleet.holders("m0@1"); len(got) != 1 {
			t.Errorf("m0@1 answers on %v", got)
		}
		_ = stop()
	})
}

// Guards against late orders at an engine that has lost its number: it accepts any order until it has seen a new one.
func TestRestartIsFollowedBySync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 100, true, 50, 30)
		for _, e := range w.fleet.engines {
			e.forgets = true
		}
		stop := w.start(w.owner("a", held(1)))
		after(time.Minute)
		name := w.fleet.holders("m0@1")[0]
		var mu sync.Mutex
		var first engine.OrderKind
		w.fleet.sent = func(url string, o engine.Order) {
			mu.Lock()
			defer mu.Unlock()
			if first == "" && url == name {
				first = o.Kind
			}
		}
		w.fleet.restart(name)
		after(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if first != engine.Sync {
			t.Errorf("the first order after the restart was %q, want %q", first, engine.Sync)
		}
		_ = stop()
	})
}

// Guards against a reload without a lease that rests on a report from before a pause of the owner: the engine may have
// restarted since, and a new owner may have given the memory to other items.
func TestRecordedLoadNeedsFreshReport(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		sent int
	}{
		{"fresh", time.Second, 1},
		{"from before a pause", recordedFresh + time.Second, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 1, 100, true, 50)
				o := w.owner("a", held(0))
				o.init()
				led := &ledger.Ledger{Engine: "e0", Fence: 3, Rules: ledger.Rules{CapacityMB: 100, ChecksFencing: true}}
				led.Items = []ledger.Item{{Name: "m0@1", MemoryMB: 50, Desired: true}}
				began := time.Now()
				led.ApplyReport(began, began, engine.Status{BootID: "1", Seq: 1, Fence: 3, MemoryMB: 100})
				stored, err := led.Encode()
				if err != nil {
					t.Fatal(err)
				}
				p := &peer{doc: w.doc.Load().Pools[0].Engines[0], led: led, stored: stored, reportedAt: began}
				sent := 0
				w.fleet.sent = func(string, engine.Order) { sent++ }
				time.Sleep(tt.age)
				if !o.recorded(t.Context(), p, "m0@1") {
					t.Fatal("the recorded load was not begun")
				}
				o.workers.Wait()
				if sent != tt.sent {
					t.Errorf("%d orders sent, want %d", sent, tt.sent)
				}
			})
		})
	}
}

// Guards against copies that are not restored after a loss, and against more loads at once than there are tickets.
func TestLoss(t *testing.T) {
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
				w := newWorld(t, 9, 100, false, 50, 50, 30, 30, 20)
				o := w.owner("a", held(1))
				g := &gate{limit: 2}
				o.Acquire = g.acquire
				stop := w.start(o)
				after(time.Minute)
				w.fleet.setDown(true, tt.lost...)
				after(time.Minute)
				w.settled(o)
				_ = stop()
				if g.peak != g.limit {
					t.Errorf("%d loads at once, want %d", g.peak, g.limit)
				}
			})
		})
	}
}

// Guards against orders after the lease has lapsed, and against a lost order that nobody repeats afterwards.
func TestLapsedLeaseAndLostOrder(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 3, 100, checks, 50, 30)
			w.fleet.faults = firstOf(2, isLoad, fault{lost: true})
			l := held(1)
			o := w.owner("a", l)
			stop := w.start(o)
			after(2 * time.Second)
			l.epoch.Store(0)
			after(11 * time.Second)
			before := w.fleet.count()
			after(time.Minute)
			if n := w.fleet.count(); !checks && n != before {
				t.Errorf("%d orders without a lease", n-before)
			}
			l.epoch.Store(3)
			after(2 * time.Minute)
			w.settled(o)
			_ = stop()
		})
	}
}

// Guards against a load that is not stored and so cannot begin asking for tickets without a pause in an outage.
func TestUnstoredLoadInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 100, true, 50, 30)
		l := held(1)
		w.kv.onPut = func(n int, _ kvapi.Write) { w.kv.down = n >= 7 }
		var asks atomic.Int64
		o := w.owner("a", l)
		o.Acquire = func(ctx context.Context, _ wire.LoadRequest) (func(), error) {
			if asks.Add(1) > 2000 {
				t.Error("more than 2000 asks for a ticket")
				<-ctx.Done()
			}
			return func() {}, nil
		}
		stop := w.start(o)
		after(5 * time.Second)
		l.epoch.Store(0)
		after(5 * time.Minute)
		w.kv.mu.Lock()
		w.kv.onPut = nil
		w.kv.down = false
		w.kv.mu.Unlock()
		l.epoch.Store(2)
		after(time.Minute)
		w.settled(o)
		_ = stop()
	})
}

// Guards against a write that took effect without an answer being taken for failed, or sent twice.
func TestLostWriteAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3, 100, false, 50, 30)
		w.kv.onPut = func(n int, _ kvapi.Write) {
			if n == 5 {
				w.kv.loseAnswers = 2
			}
		}
		o := w.owner("a", held(1))
		stop := w.start(o)
		after(time.Minute)
		w.settled(o)
		if n := w.fleet.count(); n != 4 {
			t.Errorf("%d loads arrived, want 4", n)
		}
		if n := o.Stats.Events.Get("order_takeover").String(); n != "3" {
			t.Errorf("%s takeovers of 3 engines", n)
		}
		_ = stop()
	})
}

// Guards against a leaving engine whose only copies go with it, and against a removed model that keeps its memory.
func TestDocumentAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 4, 100, true, 50, 30)
		d := *w.doc.Load()
		d.Adapters = []envdoc.Adapter{{Name: "z0", Version: "1", Model: "m0", MemoryMB: 5, MinCopies: 2}}
		w.doc.Store(&d)
		o := w.owner("a", held(1))
		stop := w.start(o)
		after(time.Minute)
		w.wantCopies("z0@1", 2)
		left := w.fleet.holders("z0@1")[0]
		w.fleet.mu.Lock()
		w.fleet.engines[left].leaving = true
		w.fleet.mu.Unlock()
		after(time.Minute)
		w.wantCopies("m0@1", 3)
		w.wantCopies("z0@1", 3)
		d.Models = d.Models[1:]
		d.Adapters = nil
		next := d
		w.doc.Store(&next)
		after(2 * time.Minute)
		if got := w.fleet.holders("m0@1"); !slices.Equal(got, []string{left}) {
			t.Errorf("removed model is still on %v", got)
		}
		w.fleet.checkMemory(t)
		_ = stop()
	})
}
