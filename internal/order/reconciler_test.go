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

const testHorizon = time.Minute

// world is a pool with its fakes; doc and lease may change while owners run.
type world struct {
	t     *testing.T
	kv    *fakeKV
	fleet *fakeFleet
	doc   atomic.Pointer[envdoc.Doc]
}

// newWorld makes n engines in 3 failure domains, and models of the given sizes that need two copies.
func newWorld(t *testing.T, n, capacity int, checks bool, sizes ...int) *world {
	fleet := &fakeFleet{
		engines: make(map[string]*fakeEngine), loadTime: 2 * time.Second, on: make(map[string]string),
	}
	w := &world{t: t, kv: newKV(), fleet: fleet}
	pl := envdoc.Pool{Name: "p", OrderHorizonS: int(testHorizon / time.Second)}
	for i := range n {
		name := fmt.Sprintf("e%02d", i)
		w.fleet.engines[name] = &fakeEngine{
			name: name, checks: checks, capacity: capacity, items: make(map[string]*engine.Item),
		}
		pl.Engines = append(pl.Engines, envdoc.Engine{
			Name: name, URL: name, FailureDomain: fmt.Sprint("d", i%3),
			MemoryMB: capacity, MaxSeqs: 16, ChecksFencing: checks,
		})
	}
	d := &envdoc.Doc{Environment: "test", Pools: []envdoc.Pool{pl}}
	for i, size := range sizes {
		d.Models = append(d.Models, envdoc.Model{
			Name: fmt.Sprint("m", i), Version: "1", Pool: "p", MemoryMB: size, MinCopies: 2,
		})
	}
	w.doc.Store(d)
	w.fleet.sent = w.checkStored
	return w
}

// checkStored fails the test when an order goes out that the stored ledger does not count.
func (w *world) checkStored(url string, o engine.Order) {
	w.kv.mu.Lock()
	defer w.kv.mu.Unlock()
	led, err := ledger.Decode(w.kv.entries["engine/test/"+url].Value)
	if err != nil {
		w.t.Errorf("order without a ledger: %v", err)
		return
	}
	it := led.Item(o.Item)
	if led.Fence < o.Fence || isLoad(o) && (it == nil || it.Gone) {
		w.t.Errorf("order is not in the stored ledger: %+v", o)
	}
}

// lease is a lease that a test can end; epoch 0 means that it is not held.
type lease struct{ epoch atomic.Int64 }

func (w *world) owner(host string, l *lease) *Reconciler {
	return &Reconciler{
		KV: w.kv, Engines: w.fleet, Host: host, Pool: "p", Doc: w.doc.Load,
		Valid: func(time.Time) bool { return l.epoch.Load() > 0 },
		Epoch: l.epoch.Load,
	}
}

// start runs an owner; stop ends it and returns the error of Run.
func (w *world) start(o *Reconciler) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- o.Run(ctx) }()
	return func() error {
		cancel()
		return <-done
	}
}

func held(epoch int64) *lease {
	l := new(lease)
	l.epoch.Store(epoch)
	return l
}

// after lets virtual time pass.
func after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (w *world) wantCopies(item string, least int) {
	w.t.Helper()
	if got := w.fleet.holders(item); len(got) < least {
		w.t.Errorf("%s answers on %v, want %d engines", item, got, least)
	}
}

// Guards against a pool that does not come up from nothing, and against copies that share a failure domain.
func TestColdStart(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 6, 100, checks, 60, 40, 40, 30)
			stop := w.start(w.owner("a", held(1)))
			after(time.Minute)
			for i := range 4 {
				item := fmt.Sprintf("m%d@1", i)
				w.wantCopies(item, 2)
			}
			w.fleet.checkMemory(t)
			_ = stop()
		})
	}
}
