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
	// fakeKV keeps entries in memory; calls fail while down, and loseAnswers writes take effect without an answer.
	fakeKV struct {
		kvapi.Service
		mu          sync.Mutex
		entries     map[string]kvapi.Entry
		down        bool
		loseAnswers int
		onPut       func(n int, w kvapi.Write)
		writes      int
		bytes       int
	}

	// fault is what happens to one order: the first copy arrives after delay unless lost, a second one after twice.
	fault struct {
		lost, noAnswer bool
		delay, twice   time.Duration
	}

	fakeEngine struct {
		name                     string
		checks, forgets          bool
		capacity, used, peakUsed int
		fence, seq               int64
		boot                     int
		down, leaving            bool
		items                    map[string]*engine.Item
	}

	// fakeFleet is an engine.API over fake engines, keyed by name and URL alike.
	fakeFleet struct {
		engine.API
		mu       sync.Mutex
		engines  map[string]*fakeEngine
		faults   func(engine.Order) fault
		sent     func(url string, o engine.Order)
		loadTime time.Duration
		polls    int
		loads    []string
		// on is the model of each adapter by engine and name; orphans counts adapters that lost or lacked it.
		on      map[string]string
		orphans int
	}

	// gate gives out load tickets and notes the most that were held at once.
	gate struct {
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
	if k.loseAnswers > 0 {
		k.loseAnswers--
		return kvapi.Entry{}, kvapi.ErrOutcomeUnknown
	}
	return e, nil
}

func (k *fakeKV) set(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
}

func (f *fakeFleet) Status(_ context.Context, url string) (engine.Status, error) {
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

func (f *fakeFleet) SendOrder(ctx context.Context, url string, o engine.Order) (engine.OrderResult, error) {
	if f.sent != nil {
		f.sent(url, o)
	}
	var ft fault
	if f.faults != nil {
		ft = f.faults(o)
	}
	if ft.twice > 0 {
		time.AfterFunc(ft.twice, func() { f.arrive(url, o) })
	}
	if ft.lost {
		<-ctx.Done()
		return engine.OrderResult{}, ctx.Err()
	}
	answer := make(chan engine.OrderResult, 1)
	time.AfterFunc(ft.delay+time.Millisecond, func() {
		if res, ok := f.arrive(url, o); ok && !ft.noAnswer {
			answer <- res
		}
	})
	select {
	case res := <-answer:
		return res, nil
	case <-ctx.Done():
		return engine.OrderResult{}, ctx.Err()
	}
}

// arrive applies an order at the engine; ok is false when the engine is down.
func (f *fakeFleet) arrive(url string, o engine.Order) (engine.OrderResult, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[url]
	if e.down {
		return engine.OrderResult{}, false
	}
	e.seq++
	res := engine.OrderResult{Applied: true, Fence: e.fence, BootID: fmt.Sprint(e.boot), Seq: e.seq}
	if e.checks && o.Fence < e.fence {
		res.Applied = false
		res.Reason = "fence"
		return res, true
	}
	e.fence = max(e.fence, o.Fence)
	res.Fence = e.fence
	f.apply(e, o)
	return res, true
}

func (f *fakeFleet) apply(e *fakeEngine, o engine.Order) {
	have := e.items[o.Item]
	switch o.Kind {
	case engine.LoadModel, engine.LoadAdapter:
		f.loads = append(f.loads, e.name+" "+o.Item)
		if o.Kind == engine.LoadAdapter {
			f.on[e.name+" "+o.Item] = o.Model
			if e.items[o.Model] == nil {
				f.orphans++
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
			if it.Adapter && f.on[e.name+" "+name] == o.Item {
				f.orphans++
			}
		}
		if have != nil {
			e.used -= have.MemoryMB
			delete(e.items, o.Item)
		}
	}
}

// restart empties the engine; it keeps its number unless forgets is set.
func (f *fakeFleet) restart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[name]
	e.boot++
	e.seq = 0
	e.used = 0
	e.items = make(map[string]*engine.Item)
	if e.forgets {
		e.fence = 0
	}
}

func (f *fakeFleet) setDown(down bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.engines[name].down = down
	}
}

// holders returns the engines on which the item answers.
func (f *fakeFleet) holders(item string) []string {
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

func (f *fakeFleet) checkMemory(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.orphans > 0 {
		t.Errorf("%d adapters without their model", f.orphans)
	}
	for name, e := range f.engines {
		if e.peakUsed > e.capacity {
			t.Errorf("engine %s held %d MB of %d", name, e.peakUsed, e.capacity)
		}
	}
}

// count returns the number of loads that arrived.
func (f *fakeFleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.loads)
}

func (g *gate) acquire(ctx context.Context, _ wire.LoadRequest) (func(), error) {
	for {
		g.mu.Lock()
		if g.used < g.limit {
			g.used++
			g.peak = max(g.peak, g.used)
			g.mu.Unlock()
			return func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.used--
			}, nil
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}
