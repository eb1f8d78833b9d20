package quota

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

var limits = envdoc.WeightStore{LoadsPerS: 2, AtOnce: 4, AdaptersInTransit: 6}

// end is one side of an exchange in memory.
type end struct {
	in, out    chan []byte
	gone, peer chan struct{}
	once       *sync.Once
}

func pipe() (a, b *end) {
	x, y := make(chan []byte, 4), make(chan []byte, 4)
	ga, gb := make(chan struct{}), make(chan struct{})
	return &end{x, y, ga, gb, new(sync.Once)}, &end{y, x, gb, ga, new(sync.Once)}
}

func (e *end) Send(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	select {
	case <-e.gone:
		return io.ErrClosedPipe
	case <-e.peer:
		return io.ErrClosedPipe
	case e.out <- b:
		return nil
	}
}

func (e *end) Recv(v any) error {
	select {
	case b := <-e.in:
		return cbor.Unmarshal(b, v)
	default:
	}
	select {
	case b := <-e.in:
		return cbor.Unmarshal(b, v)
	case <-e.peer:
		return io.EOF
	case <-e.gone:
		return io.ErrClosedPipe
	}
}

func (e *end) Close() error {
	e.once.Do(func() { close(e.gone) })
	return nil
}

// net reaches the keeper at an address unless it is cut off.
type net struct {
	mu      sync.Mutex
	keepers map[string]*Limiter
	cut     bool
	open    []*end
}

func (n *net) Open(_ context.Context, addr string, kind wire.Kind) (wire.Stream, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	k := n.keepers[addr]
	if k == nil || n.cut {
		return nil, errors.New("unreachable")
	}
	a, b := pipe()
	n.open = append(n.open, b)
	go k.Handle(context.Background(), "", kind, b)
	return a, nil
}

// sever cuts all traffic and breaks open exchanges.
func (n *net) sever() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = true
	for _, e := range n.open {
		_ = e.Close()
	}
}

// bench is a keeper or two with a client for pools p0 and p1.
type bench struct {
	t       *testing.T
	ctx     context.Context
	net     *net
	client  *Client
	holder  atomic.Value
	running atomic.Int64
	peak    atomic.Int64
	last    atomic.Int64
}

func newBench(ctx context.Context, t *testing.T) *bench {
	b := &bench{t: t, ctx: ctx, net: &net{keepers: make(map[string]*Limiter)}}
	b.holder.Store("k1")
	pools := func() []string { return []string{"p0", "p1"} }
	for _, name := range []string{"k1", "k2"} {
		k := &Limiter{
			Limits: func() envdoc.WeightStore { return limits }, Pools: pools,
			Valid: func(time.Time) bool { return b.holder.Load() == name }, Epoch: func() int64 { return 1 },
		}
		b.net.keepers[name] = k
		go func() { _ = k.Run(ctx) }()
	}
	b.client = &Client{
		Dialer: b.net, Addr: func() string { return b.holder.Load().(string) },
		Limits: func() envdoc.WeightStore { return limits }, Pools: pools, Owned: pools,
	}
	go func() { _ = b.client.Run(ctx) }()
	return b
}

// load acquires a ticket, holds it for d and notes the most loads at once.
func (b *bench) load(m wire.LoadRequest, d time.Duration) {
	release, err := b.client.Acquire(b.ctx, m)
	if err != nil {
		return
	}
	now := time.Now().UnixNano()
	if gap := time.Duration(now - b.last.Swap(now)); gap < time.Second/2 {
		b.t.Errorf("load began %s after the one before, limit %v per second", gap, limits.LoadsPerS)
	}
	n := b.running.Add(1)
	b.peak.Store(max(b.peak.Load(), n))
	time.Sleep(d)
	b.running.Add(-1)
	release()
}

func run(t *testing.T, f func(b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(newBench(ctx, t))
		cancel()
		time.Sleep(time.Minute)
	})
}

func model(pool string, i int, u plan.Urgency) wire.LoadRequest {
	return wire.LoadRequest{Pool: pool, Engine: "e", Item: fmt.Sprint("m", i), Urgency: int(u)}
}

// Guards against exceeding a limit, grants in the silent term, and repairs that starve demand.
func TestQueue(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var q queue
	q.gain(start, 10*time.Second)
	b := bounds{rate: limits.LoadsPerS, atOnce: limits.AtOnce, adapters: limits.AdaptersInTransit}
	demand := q.add(at(0), model("p0", 0, plan.UrgencyDemand))
	for i := range 8 {
		q.add(at(1), wire.LoadRequest{Pool: "p0", Item: fmt.Sprint("a", i), Adapter: true})
	}
	held := q.add(at(1), wire.LoadRequest{Pool: "p0", Item: "h", Held: true})
	again := q.add(at(2), wire.LoadRequest{Pool: "p0", Item: "h", Held: true})
	if got, _ := q.step(at(9), b); len(got) > 0 {
		t.Fatalf("granted %v in the silent term", got)
	}
	if got, _ := q.step(at(10), b); len(got) != 7 || got[6] != demand {
		t.Errorf("granted %v, want 6 adapters and the model", got)
	}
	if models, _ := q.held(); models != 2 || held == again {
		t.Errorf("%d models held, want the demand and one registered load", models)
	}
	missing := q.add(at(10), model("p1", 1, plan.UrgencyMissing))
	repair := q.add(at(10), model("p1", 2, plan.UrgencyRepair))
	old := q.add(at(-130), model("p1", 3, plan.UrgencyDemand))
	var order []int64
	for s := 10.0; s < 14; s += 0.1 {
		got, _ := q.step(at(s), b)
		order = append(order, got...)
		if s > 12 {
			q.remove(demand)
		}
	}
	if !slices.Equal(order, []int64{old, missing, repair}) {
		t.Errorf("granted %v, want %v: an old ask of demand, missing, repair", order, []int64{old, missing, repair})
	}
}

// Guards against more loads at once, or faster, than the limits, and against tickets lost to a new keeper.
func TestLimitsAcrossKeepers(t *testing.T) {
	run(t, func(b *bench) {
		began := time.Now()
		for i := range 20 {
			go b.load(model(fmt.Sprint("p", i%2), i, plan.UrgencyRepair), 25*time.Second)
		}
		time.Sleep(20 * time.Second)
		b.holder.Store("none")
		time.Sleep(time.Second)
		b.holder.Store("k2")
		time.Sleep(4 * time.Minute)
		if b.running.Load() > 0 || b.peak.Load() > int64(limits.AtOnce) {
			b.t.Errorf("%d still running, %d at once after %s", b.running.Load(), b.peak.Load(), time.Since(began))
		}
		if b.peak.Load() < int64(limits.AtOnce) {
			b.t.Errorf("only %d at once", b.peak.Load())
		}
	})
}

// Guards against a missing model that stays missing without a keeper, and against a pool that takes more than its
// share.
func TestWithoutKeeper(t *testing.T) {
	run(t, func(b *bench) {
		time.Sleep(20 * time.Second)
		b.net.sever()
		for i := range 6 {
			go b.load(model("p0", i, plan.UrgencyMissing), 20*time.Second)
		}
		go b.load(model("p0", 9, plan.UrgencyDemand), time.Second)
		time.Sleep(40 * time.Second)
		if n := b.running.Load(); n != 0 {
			b.t.Errorf("%d loads before a keeper withholds the share", n)
		}
		time.Sleep(3 * time.Minute)
		if got, want := b.peak.Load(), int64(limits.AtOnce/2); got != want {
			b.t.Errorf("%d loads at once, want %d", got, want)
		}
	})
}

// Guards against a keeper that grants what a pool without contact may be using.
func TestSharesWithheld(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name    string
		contact map[string]time.Time
		want    bounds
	}{
		{"all in contact", map[string]time.Time{"p0": now, "p1": now}, bounds{2, 4, 6}},
		{"one silent", map[string]time.Time{"p0": now, "p1": now.Add(-11 * time.Second)}, bounds{1, 2, 3}},
		{"none", nil, bounds{0, -1, -1}},
	}
	for _, tt := range tests {
		q := queue{contact: tt.contact}
		if got := q.bounds(now, limits, []string{"p0", "p1"}, 10*time.Second); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}
