package loads

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

// memStream is one side of an in-memory stream.
type memStream struct {
	in, out            chan []byte
	closed, peerClosed chan struct{}
	once               *sync.Once
}

func pipe() (a, b *memStream) {
	x, y := make(chan []byte, 4), make(chan []byte, 4)
	ga, gb := make(chan struct{}), make(chan struct{})
	return &memStream{x, y, ga, gb, new(sync.Once)}, &memStream{y, x, gb, ga, new(sync.Once)}
}

func (e *memStream) Send(v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	select {
	case <-e.closed:
		return io.ErrClosedPipe
	case <-e.peerClosed:
		return io.ErrClosedPipe
	case e.out <- b:
		return nil
	}
}

func (e *memStream) Recv(v any) error {
	select {
	case b := <-e.in:
		return cbor.Unmarshal(b, v)
	default:
	}
	select {
	case b := <-e.in:
		return cbor.Unmarshal(b, v)
	case <-e.peerClosed:
		return io.EOF
	case <-e.closed:
		return io.ErrClosedPipe
	}
}

func (e *memStream) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// fakeNetwork connects to the limiter at an address unless it is partitioned.
type fakeNetwork struct {
	mu          sync.Mutex
	limiters    map[string]*Limiter
	partitioned bool
	open        []*memStream
}

func (n *fakeNetwork) Open(_ context.Context, addr string, kind wire.Kind) (wire.Stream, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.limiters[addr]
	if l == nil || n.partitioned {
		return nil, errors.New("unreachable")
	}
	a, b := pipe()
	n.open = append(n.open, b)
	go l.Handle(context.Background(), "", kind, b)
	return a, nil
}

// partition blocks new streams and closes the open ones.
func (n *fakeNetwork) partition() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = true
	for _, e := range n.open {
		_ = e.Close()
	}
}

// testCluster has two limiters, k1 and k2, and a client that owns the pools p0 and p1. holder is the name of the
// limiter that holds the lease.
type testCluster struct {
	t         *testing.T
	ctx       context.Context
	net       *fakeNetwork
	client    *Client
	holder    atomic.Value
	running   atomic.Int64
	peak      atomic.Int64
	lastStart atomic.Int64
}

func newTestCluster(ctx context.Context, t *testing.T) *testCluster {
	c := &testCluster{t: t, ctx: ctx, net: &fakeNetwork{limiters: make(map[string]*Limiter)}}
	c.holder.Store("k1")
	pools := func() []string { return []string{"p0", "p1"} }
	for _, name := range []string{"k1", "k2"} {
		l := &Limiter{
			Limits: func() envdoc.WeightStore { return limits }, Pools: pools,
			Valid: func(time.Time) bool { return c.holder.Load() == name }, Epoch: func() int64 { return 1 },
		}
		c.net.limiters[name] = l
		go func() { _ = l.Run(ctx) }()
	}
	c.client = &Client{
		Dialer: c.net, Addr: func() string { return c.holder.Load().(string) },
		Limits: func() envdoc.WeightStore { return limits }, Pools: pools, Owned: pools,
	}
	go func() { _ = c.client.Run(ctx) }()
	return c
}

// load acquires a ticket, holds it for d and records the highest number of concurrent loads.
func (c *testCluster) load(req wire.LoadRequest, d time.Duration) {
	release, err := c.client.Acquire(c.ctx, req)
	if err != nil {
		return
	}
	now := time.Now().UnixNano()
	if gap := time.Duration(now - c.lastStart.Swap(now)); gap < time.Second/2 {
		c.t.Errorf("load began %s after the one before, limit %v per second", gap, limits.LoadsPerS)
	}
	n := c.running.Add(1)
	c.peak.Store(max(c.peak.Load(), n))
	time.Sleep(d)
	c.running.Add(-1)
	release()
}

// runCluster runs f on a new cluster with simulated time.
func runCluster(t *testing.T, f func(c *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f(newTestCluster(ctx, t))
		cancel()
		time.Sleep(time.Minute)
	})
}

// modelRequest returns a request for model i.
func modelRequest(pool string, i int, u plan.Urgency) wire.LoadRequest {
	return wire.LoadRequest{Pool: pool, Engine: "e", Item: fmt.Sprint("m", i), Urgency: int(u)}
}

// Guards against grants beyond a limit, grants during the startup delay, and repairs that starve demand.
func TestQueue(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var q queue
	q.startTerm(start, 10*time.Second)
	available := storeLimits{loadsPerS: limits.LoadsPerS, atOnce: limits.AtOnce, adapters: limits.AdaptersInTransit}
	demand := q.add(at(0), modelRequest("p0", 0, plan.UrgencyDemand))
	for i := range 8 {
		q.add(at(1), wire.LoadRequest{Pool: "p0", Item: fmt.Sprint("a", i), Adapter: true})
	}
	first := q.add(at(1), wire.LoadRequest{Pool: "p0", Item: "h", Held: true})
	second := q.add(at(2), wire.LoadRequest{Pool: "p0", Item: "h", Held: true})
	if got, _ := q.step(at(9), available); len(got) > 0 {
		t.Fatalf("granted %v in the startup delay", got)
	}
	if got, _ := q.step(at(10), available); len(got) != 7 || got[6] != demand {
		t.Errorf("granted %v, want 6 adapters and the model", got)
	}
	if models, _ := q.countTickets(); models != 2 || first == second {
		t.Errorf("%d models held, want the demand and one registered load", models)
	}
	missing := q.add(at(10), modelRequest("p1", 1, plan.UrgencyMissing))
	repair := q.add(at(10), modelRequest("p1", 2, plan.UrgencyRepair))
	old := q.add(at(-130), modelRequest("p1", 3, plan.UrgencyDemand))
	var order []int64
	for s := 10.0; s < 14; s += 0.1 {
		got, _ := q.step(at(s), available)
		order = append(order, got...)
		if s > 12 {
			q.remove(demand)
		}
	}
	if !slices.Equal(order, []int64{old, missing, repair}) {
		t.Errorf("granted %v, want %v: old demand, missing, repair", order, []int64{old, missing, repair})
	}
}

// Guards against more concurrent loads, or loads at a higher rate, than the limits allow, and against tickets that are
// unknown to a new limiter.
func TestLimitsAcrossLimiters(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		began := time.Now()
		for i := range 20 {
			go c.load(modelRequest(fmt.Sprint("p", i%2), i, plan.UrgencyRepair), 25*time.Second)
		}
		time.Sleep(20 * time.Second)
		c.holder.Store("none")
		time.Sleep(time.Second)
		c.holder.Store("k2")
		time.Sleep(4 * time.Minute)
		if c.running.Load() > 0 || c.peak.Load() > int64(limits.AtOnce) {
			c.t.Errorf("%d still running, %d at once after %s", c.running.Load(), c.peak.Load(), time.Since(began))
		}
		if c.peak.Load() < int64(limits.AtOnce) {
			c.t.Errorf("only %d at once", c.peak.Load())
		}
	})
}

// Guards against a missing model that is never loaded without a limiter, and against a pool that takes more than its
// share.
func TestWithoutLimiter(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		time.Sleep(20 * time.Second)
		c.net.partition()
		for i := range 6 {
			go c.load(modelRequest("p0", i, plan.UrgencyMissing), 20*time.Second)
		}
		go c.load(modelRequest("p0", 9, plan.UrgencyDemand), time.Second)
		time.Sleep(40 * time.Second)
		if n := c.running.Load(); n != 0 {
			c.t.Errorf("%d loads before a limiter would withhold the share", n)
		}
		time.Sleep(3 * time.Minute)
		if got, want := c.peak.Load(), int64(limits.AtOnce/2); got != want {
			c.t.Errorf("%d loads at once, want %d", got, want)
		}
	})
}

// Guards against a limiter that grants the share that a pool without contact may be using.
func TestSharesWithheld(t *testing.T) {
	now := time.Unix(100, 0)
	tests := []struct {
		name    string
		contact map[string]time.Time
		want    storeLimits
	}{
		{"all in contact", map[string]time.Time{"p0": now, "p1": now}, storeLimits{2, 4, 6}},
		{"one lost", map[string]time.Time{"p0": now, "p1": now.Add(-11 * time.Second)}, storeLimits{1, 2, 3}},
		{"none", nil, storeLimits{0, -1, -1}},
	}
	for _, tt := range tests {
		q := queue{lastContact: tt.contact}
		if got := q.available(now, limits, []string{"p0", "p1"}, 10*time.Second); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// Guards against a limiter that checks a lost lease without pause: its host used a whole processor until it held the
// lease again.
func TestLostLeaseEndsWait(t *testing.T) {
	valid := true
	l := &Limiter{
		Limits: func() envdoc.WeightStore { return limits }, Pools: func() []string { return []string{"p0"} },
		Valid: func(time.Time) bool { return valid }, Epoch: func() int64 { return 1 }, wake: make(chan struct{}, 1),
	}
	start := time.Unix(100, 0)
	l.runRound(start)
	valid = false
	for _, after := range []time.Duration{time.Second, defaultLeaseTime + time.Second, time.Hour} {
		if wait := l.runRound(start.Add(after)); wait != tickInterval {
			t.Errorf("the next round is due %v after one at %v, want %v", wait, after, tickInterval)
		}
	}
}
