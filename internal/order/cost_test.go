package order

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ledger"
	"github.com/figreel/figreel/pkg/envdoc"
)

// totals returns the calls so far.
func (w *world) totals() (writes, bytes, polls int) {
	w.kv.mu.Lock()
	defer w.kv.mu.Unlock()
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.kv.writes, w.kv.bytes, w.fleet.polls
}

// Guards against more writes than the key-value service's budget allows, and against a storm of polls at rest.
func TestCostPerOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, 100, true, 40, 30, 20, 20)
		d := w.doc.Load()
		for i := range 8 {
			d.Adapters = append(d.Adapters, envdoc.Adapter{
				Name: fmt.Sprint("a", i), Version: "1", Model: fmt.Sprint("m", i%4), MemoryMB: 1, MinCopies: 2,
			})
		}
		stop := w.start(w.owner("a", held(1)))
		after(2 * time.Minute)
		writes, bytes, polls := w.totals()
		orders := w.fleet.count()
		t.Logf("%d writes, %d bytes, %d loads, %d polls", writes, bytes, orders, polls)
		if orders != 24 || writes > 2*orders+12 {
			t.Errorf("%d writes for %d loads and 6 takeovers", writes, orders)
		}
		after(time.Minute)
		laterWrites, _, laterPolls := w.totals()
		if n := laterPolls - polls; n > 6*31 || laterWrites != writes {
			t.Errorf("%d polls and %d writes in a minute at rest", n, laterWrites-writes)
		}
		_ = stop()
	})
}

func BenchmarkLedgerBytes(b *testing.B) {
	for _, n := range []int{20, 60, 120} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			led := &ledger.Ledger{Engine: "engine-0000", Rules: ledger.Rules{CapacityMB: 1 << 20, ChecksFencing: true}}
			led.Takeover(time.Now(), 1)
			st := engine.Status{BootID: "b", Seq: 1}
			for i := range n {
				st.Items = append(st.Items, engine.Item{
					Name: fmt.Sprintf("adapter-name-%03d@1", i), Adapter: true, MemoryMB: 100, State: engine.Resident,
				})
			}
			led.ApplyReport(time.Now(), time.Now(), st)
			size := 0
			for b.Loop() {
				body, err := led.Encode()
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func cpu(t *testing.T) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Guards against moves at rest in a large pool; it logs the CPU time of the owner and its fakes for ten minutes.
func TestLargePoolAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sizes := make([]int, 100)
		for i := range sizes {
			sizes[i] = 10
		}
		w := newWorld(t, 24, 100, true, sizes...)
		stop := w.start(w.owner("a", held(1)))
		after(5 * time.Minute)
		loads, began := w.fleet.count(), cpu(t)
		after(10 * time.Minute)
		_, _, polls := w.totals()
		t.Logf("%s of CPU time in 10 min, %d polls", cpu(t)-began, polls)
		if n := w.fleet.count(); n != loads || n != 200 {
			t.Errorf("%d loads, then %d at rest", loads, n-loads)
		}
		_ = stop()
	})
}
