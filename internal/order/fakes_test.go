package order

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/wire"
)

type (
	// fakeKV keeps entries in memory. Calls fail while down is set; the next loseResponses writes take effect without a
	// response.
	fakeKV struct {
		kvapi.Service
		mu            sync.Mutex
		entries       map[string]kvapi.Entry
		down          bool
		loseResponses int
		onPut         func(n int, w kvapi.Write)
		writes        int
		bytes         int
	}

	// fault is the transport fault of one order: it arrives after delay unless lost is set, and a duplicate arrives
	// after duplicateAfter unless that is 0.
	fault struct {
		lost, noResponse      bool
		delay, duplicateAfter time.Duration
	}

	fakeEngine struct {
		name                      string
		checksFencing, losesFence bool
		capacity, used, peakUsed  int
		fence, seq                int64
		boot                      int
		down, leaving             bool
		items                     map[string]*engine.Item
	}

	// fakeEngines is an engine.API over fake engines, keyed by name and URL alike.
	fakeEngines struct {
		engine.API
		mu       sync.Mutex
		engines  map[string]*fakeEngine
		faults   func(engine.Order) fault
		onSend   func(url string, o engine.Order)
		loadTime time.Duration
		polls    int
		loads    []string
		// adapterModel is the model of each adapter by "ENGINE ITEM". baseMissing counts loads of an adapter without
		// its model, and adapters that were resident when their model was unloaded.
		adapterModel map[string]string
		baseMissing  int
	}

	// fakeLimiter grants load tickets, up to limit at a time, and records the peak of their number.
	fakeLimiter struct {
		mu                sync.Mutex
		limit, used, peak int
	}
)

func newKV() *fakeKV { return &fakeKV{entries: make(map[string]kvapi.Entry)} }

func (k *fakeKV) Get(_ context.Context, key string) (kvapi.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	e, ok := k.entries[key]
	switch {
	case k.down:
		return e, kvapi.ErrOutcomeUnknown
	case !ok:
		return e, kvapi.ErrNotFound
	}
	return e, nil
}

func (k *fakeKV) Put(_ context.Context, w kvapi.Write) (kvapi.Entry, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return kvapi.Entry{}, kvapi.ErrOutcomeUnknown
	}
	k.writes++
	k.bytes += len(w.Value)
	if k.onPut != nil {
		k.onPut(k.writes, w)
	}
	e := k.entries[w.Key]
	if e.Version != w.IfVersion {
		return kvapi.Entry{}, kvapi.ErrConflict
	}
	e = kvapi.Entry{Key: w.Key, Value: w.Value, Version: e.Version + 1}
	k.entries[w.Key] = e
	if k.loseResponses > 0 {
		k.loseResponses--
		return kvapi.Entry{}, kvapi.ErrOutcomeUnknown
	}
	return e, nil
}

func (k *fakeKV) setDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

func (f *fakeEngines) Status(_ context.Context, url string) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	e := f.engines[url]
	if e.down {
		return engine.Status{}, context.DeadlineExceeded
	}
	e.seq++
	st := engine.Status{
		BootID: fmt.Sprint(e.boot), Seq: e.seq, Leaving: e.leaving, Fence: e.fence,
		MemoryMB: e.capacity, UsedMB: e.used,
	}
	for _, it := range e.items {
		st.Items = append(st.Items, *it)
	}
	slices.SortFunc(st.Items, func(a, b engine.Item) int { return cmp.Compare(a.Name, b.Name) })
	return st, nil
}

func (f *fakeEngines) SendOrder(ctx context.Context, url string, o engine.Order) (engine.OrderResult, error) {
	if f.onSend != nil {
		f.onSend(url, o)
	}
	var ft fault
	if f.faults != nil {
		ft = f.faults(o)
	}
	if ft.duplicateAfter > 0 {
		time.AfterFunc(ft.duplicateAfter, func() { f.receive(url, o) })
	}
	if ft.lost {
		<-ctx.Done()
		return engine.OrderResult{}, ctx.Err()
	}
	response := make(chan engine.OrderResult, 1)
	time.AfterFunc(ft.delay+time.Millisecond, func() {
		if res, ok := f.receive(url, o); ok && !ft.noResponse {
			response <- res
		}
	})
	select {
	case res := <-response:
		return res, nil
	case <-ctx.Done():
		return engine.OrderResult{}, ctx.Err()
	}
}

// receive applies an order at the engine; it returns false when the engine is down.
func (f *fakeEngines) receive(url string, o engine.Order) (engine.OrderResult, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[url]
	if e.down {
		return engine.OrderResult{}, false
	}
	e.seq++
	res := engine.OrderResult{Applied: true, Fence: e.fence, BootID: fmt.Sprint(e.boot), Seq: e.seq}
	if e.checksFencing && o.Fence < e.fence {
		res.Applied = false
		res.Reason = "fence"
		return res, true
	}
	e.fence = max(e.fence, o.Fence)
	res.Fence = e.fence
	f.apply(e, o)
	return res, true
}

func (f *fakeEngines) apply(e *fakeEngine, o engine.Order) {
	have := e.items[o.Item]
	switch o.Kind {
	case engine.LoadModel, engine.LoadAdapter:
		f.loads = append(f.loads, e.name+" "+o.Item)
		if o.Kind == engine.LoadAdapter {
			f.adapterModel[e.name+" "+o.Item] = o.Model
			if e.items[o.Model] == nil {
				f.baseMissing++
			}
		}
		if have != nil {
			return
		}
		it := &engine.Item{
			Name: o.Item, Adapter: o.Kind == engine.LoadAdapter, MemoryMB: o.MemoryMB, State: engine.Loading,
		}
		e.items[o.Item] = it
		e.used += o.MemoryMB
		e.peakUsed = max(e.peakUsed, e.used)
		time.AfterFunc(f.loadTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			it.State = engine.Resident
		})
	case engine.UnloadModel, engine.UnloadAdapter:
		for name, it := range e.items {
			if it.Adapter && f.adapterModel[e.name+" "+name] == o.Item {
				f.baseMissing++
			}
		}
		if have != nil {
			e.used -= have.MemoryMB
			delete(e.items, o.Item)
		}
	}
}

// restart empties the engine; it keeps its fencing token unless losesFence is set.
func (f *fakeEngines) restart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[name]
	e.boot++
	e.seq = 0
	e.used = 0
	e.items = make(map[string]*engine.Item)
	if e.losesFence {
		e.fence = 0
	}
}

func (f *fakeEngines) setDown(down bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.engines[name].down = down
	}
}

// residentOn returns the available engines on which the item is resident.
func (f *fakeEngines) residentOn(item string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name, e := range f.engines {
		if it := e.items[item]; it != nil && it.State == engine.Resident && !e.down {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (f *fakeEngines) checkMemory(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.baseMissing > 0 {
		t.Errorf("%d adapters without their model", f.baseMissing)
	}
	for name, e := range f.engines {
		if e.peakUsed > e.capacity {
			t.Errorf("engine %s used %d MB of %d", name, e.peakUsed, e.capacity)
		}
	}
}

// loadCount returns the number of load orders that the engines accepted.
func (f *fakeEngines) loadCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.loads)
}

func (l *fakeLimiter) acquire(ctx context.Context, _ wire.LoadRequest) (func(), error) {
	for {
		l.mu.Lock()
		if l.used < l.limit {
			l.used++
			l.peak = max(l.peak, l.used)
			l.mu.Unlock()
			return func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				l.used--
			}, nil
		}
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}
