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

// ioTotals returns the number of writes to the store, the bytes written, and the number of status polls so far.
func (tp *testPool) ioTotals() (writes, bytes, polls int) {
	tp.kv.mu.Lock()
	defer tp.kv.mu.Unlock()
	tp.engines.mu.Lock()
	defer tp.engines.mu.Unlock()
	return tp.kv.writes, tp.kv.bytes, tp.engines.polls
}

// Guards against more writes per order than the budget of the key-value service allows, and against unnecessary polls
// and writes while nothing changes.
func TestCostPerOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tp := newTestPool(t, 6, 100, true, 40, 30, 20, 20)
		d := tp.doc.Load()
		for i := range 8 {
			d.Adapters = append(d.Adapters, envdoc.Adapter{
				Name: fmt.Sprint("a", i), Version: "1", Model: fmt.Sprint("m", i%4), MemoryMB: 1, MinCopies: 2,
			})
		}
		stop := tp.start(tp.newReconciler("a", newLease(1)))
		advance(2 * time.Minute)
		writes, bytes, polls := tp.ioTotals()
		orders := tp.engines.loadCount()
		t.Logf("%d writes, %d bytes, %d loads, %d polls", writes, bytes, orders, polls)
		if orders != 24 || writes > 2*orders+12 {
			t.Errorf("%d writes for %d loads and 6 takeovers", writes, orders)
		}
		advance(time.Minute)
		laterWrites, _, laterPolls := tp.ioTotals()
		if n := laterPolls - polls; n > 6*31 || laterWrites != writes {
			t.Errorf("%d polls and %d writes in a minute without changes", n, laterWrites-writes)
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

// Guards against loads in a large pool while nothing changes; it logs the CPU time of the Reconciler and its fakes over
// ten minutes.
func TestLargePoolAtRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sizes := make([]int, 100)
		for i := range sizes {
			sizes[i] = 10
		}
		tp := newTestPool(t, 24, 100, true, sizes...)
		stop := tp.start(tp.newReconciler("a", newLease(1)))
		advance(5 * time.Minute)
		loads, began := tp.engines.loadCount(), cpu(t)
		advance(10 * time.Minute)
		_, _, polls := tp.ioTotals()
		t.Logf("%s of CPU time in 10 min, %d polls", cpu(t)-began, polls)
		if n := tp.engines.loadCount(); n != loads || n != 200 {
			t.Errorf("%d loads, then %d without changes", loads, n-loads)
		}
		_ = stop()
	})
}
