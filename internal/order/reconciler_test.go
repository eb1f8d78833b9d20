package order

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ledger"
	"github.com/figreel/figreel/pkg/envdoc"
)

const testMaxOrderDelay = time.Minute

// testPool is a pool with a fake store and fake engines; doc may change while a Reconciler runs.
type testPool struct {
	t       *testing.T
	kv      *fakeKV
	engines *fakeEngines
	doc     atomic.Pointer[envdoc.Doc]
}

// newTestPool makes n engines with the given capacity in MB, spread over 3 failure domains, and models of the given
// sizes in MB that need two replicas.
func newTestPool(t *testing.T, n, capacity int, fencing bool, sizes ...int) *testPool {
	engines := &fakeEngines{
		engines: make(map[string]*fakeEngine), loadTime: 2 * time.Second, adapterModel: make(map[string]string),
	}
	tp := &testPool{t: t, kv: newKV(), engines: engines}
	pl := envdoc.Pool{Name: "p", OrderHorizonS: int(testMaxOrderDelay / time.Second)}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		tp.engines.engines[name] = &fakeEngine{
			name: name, checksFencing: fencing, capacity: capacity, items: make(map[string]*engine.Item),
		}
		pl.Engines = append(pl.Engines, envdoc.Engine{
			Name: name, URL: name, FailureDomain: fmt.Sprint("d", i%3),
			MemoryMB: capacity, MaxSeqs: 16, ChecksFencing: fencing,
		})
	}
	d := &envdoc.Doc{Environment: "test", Pools: []envdoc.Pool{pl}}
	for i, size := range sizes {
		d.Models = append(d.Models, envdoc.Model{
			Name: fmt.Sprint("m", i), Version: "1", Pool: "p", MemoryMB: size, MinCopies: 2,
		})
	}
	tp.doc.Store(d)
	tp.engines.onSend = tp.checkStored
	return tp
}

// checkStored fails the test when an order is sent that the stored ledger does not include.
func (tp *testPool) checkStored(url string, o engine.Order) {
	tp.kv.mu.Lock()
	defer tp.kv.mu.Unlock()
	led, err := ledger.Decode(tp.kv.entries["engine/test/"+url].Value)
	if err != nil {
		tp.t.Errorf("order without a ledger: %v", err)
		return
	}
	it := led.Item(o.Item)
	if led.Fence < o.Fence || isLoad(o) && (it == nil || it.Gone) {
		tp.t.Errorf("order is not in the stored ledger: %+v", o)
	}
}

// fakeLease is a lease that a test can end; epoch 0 means that it is not held.
type fakeLease struct{ epoch atomic.Int64 }

func (tp *testPool) newReconciler(host string, l *fakeLease) *Reconciler {
	return &Reconciler{
		KV: tp.kv, Engines: tp.engines, Host: host, Pool: "p", Doc: tp.doc.Load,
		Valid: func(time.Time) bool { return l.epoch.Load() > 0 },
		Epoch: l.epoch.Load,
	}
}

// start runs r; stop ends it and returns the error of Run.
func (tp *testPool) start(r *Reconciler) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	return func() error {
		cancel()
		return <-done
	}
}

func newLease(epoch int64) *fakeLease {
	l := new(fakeLease)
	l.epoch.Store(epoch)
	return l
}

// advance lets virtual time pass, and then waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (tp *testPool) wantReplicas(item string, minimum int) {
	tp.t.Helper()
	if got := tp.engines.residentOn(item); len(got) < minimum {
		tp.t.Errorf("%s is resident on %v, want at least %d engines", item, got, minimum)
	}
}

// Guards against models that are not loaded on empty engines, and against loads that exceed the memory of an engine.
func TestColdStart(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			tp := newTestPool(t, 6, 100, fencing, 60, 40, 40, 30)
			stop := tp.start(tp.newReconciler("a", newLease(1)))
			advance(time.Minute)
			for i := range 4 {
				item := fmt.Sprintf("m%d@1", i)
				tp.wantReplicas(item, 2)
			}
			tp.engines.checkMemory(t)
			_ = stop()
		})
	}
}
