package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/qrpc/simnet"
	"github.com/figreel/figreel/internal/wire"
)

const takeoverBound = 13 * time.Second

// group is a set of hosts that campaign for one key; names sort by preference.
type group struct {
	t       *testing.T
	kv      *fakeKV
	clients []*fakeClient
	holders []*Holder
	stops   []context.CancelFunc

	mu     sync.Mutex
	live   []bool
	gains  []int // index of the host for each gain, in order
	epochs []int64
	losses int
}

func runGroup(t *testing.T, n int, f func(g *group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &group{t: t, kv: newFakeKV(), live: make([]bool, n)}
		network := &simnet.Net{Delay: time.Millisecond}
		var runs []func()
		for i := range n {
			runs = append(runs, g.add(network, i))
		}
		for _, run := range runs {
			go run()
		}
		defer func() {
			for _, stop := range g.stops {
				stop()
			}
			time.Sleep(time.Minute)
		}()
		f(g)
	})
}

func hostName(i int) string { return fmt.Sprintf("h%02d", i) }

// add prepares a host and returns the function that runs it.
func (g *group) add(network *simnet.Net, i int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	client := &fakeClient{kv: g.kv}
	host := network.Host(ctx, hostName(i), hostName(i))
	h := &Holder{
		Key: "pool/test/p", Pool: "p", Self: hostName(i), KV: client, Live: g.members, Dialer: host,
		Rand:   rand.New(rand.NewPCG(1, uint64(i))),
		Rank:   func(_ string, names []string) []string { return slices.Sorted(slices.Values(names)) },
		OnGain: func(epoch int64) { g.gained(i, epoch) },
		OnLoss: func() { g.mu.Lock(); g.losses++; g.mu.Unlock() },
	}
	host.Handlers[wire.KindHandover] = ServeHandover(func(string) *Holder { return h })
	g.clients, g.holders, g.stops = append(g.clients, client), append(g.holders, h), append(g.stops, cancel)
	g.live[i] = true
	return func() { _ = h.Run(ctx) }
}

// gained checks at the moment of each gain that nobody else holds a valid lease, and that the epoch is higher.
func (g *group) gained(i int, epoch int64) {
	for j, h := range g.holders {
		if j != i && h.Valid(time.Now()) {
			g.t.Errorf("%s gains the key while %s is valid", hostName(i), hostName(j))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.epochs) > 0 && g.gains[len(g.gains)-1] != i && epoch <= g.epochs[len(g.epochs)-1] {
		g.t.Errorf("epoch %d after %v", epoch, g.epochs)
	}
	g.gains, g.epochs = append(g.gains, i), append(g.epochs, epoch)
}

func (g *group) members() []wire.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []wire.Member
	for i, live := range g.live {
		if live {
			out = append(out, wire.Member{Name: hostName(i), Addr: hostName(i)})
		}
	}
	return out
}

func (g *group) setLive(i int, live bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.live[i] = live
}

// history returns the gains and the number of losses so far.
func (g *group) history() ([]int, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.gains), g.losses
}

// valid returns the host that holds the key, or -1.
func (g *group) valid() int {
	return slices.IndexFunc(g.holders, func(h *Holder) bool { return h.Valid(time.Now()) })
}

func (g *group) await(limit time.Duration, what string, ok func() bool) time.Duration {
	g.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			gains, losses := g.history()
			g.t.Fatalf("not within %v: %s (held by %d, gains %v, %d losses)", limit, what, g.valid(), gains, losses)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (g *group) awaitHolder(limit time.Duration, i int) time.Duration {
	g.t.Helper()
	return g.await(limit, hostName(i)+" holds the key", func() bool { return g.valid() == i })
}

// Guards against slow takeover of a killed holder's key, whether or not its death was noticed, at any moment of the
// renewal period.
func TestKilledHolderIsReplacedInTime(t *testing.T) {
	for step := range 7 {
		for _, noticed := range []bool{true, false} {
			runGroup(t, 12, func(g *group) {
				g.awaitHolder(5*time.Second, 0)
				time.Sleep(20*time.Second + time.Duration(step)*500*time.Millisecond)
				g.stops[0]()
				if noticed {
					time.AfterFunc(6*time.Second, func() { g.setLive(0, false) })
				}
				took := g.awaitHolder(takeoverBound, 1)
				if took < leaseTime-renewEvery-time.Second {
					t.Errorf("taken over after %v, before the lease can have ended", took)
				}
			})
		}
	}
}

// Guards against a paused holder that still believes it holds the key when another gains it or when it wakes: answers
// that arrive after the pause must not extend validity.
func TestPausedHolderIsNotValidWhenItWakes(t *testing.T) {
	runGroup(t, 4, func(g *group) {
		g.awaitHolder(5*time.Second, 0)
		stuck := make(chan struct{})
		g.clients[0].set(func(c *fakeClient) { c.stuck = stuck })
		g.awaitHolder(renewEvery+takeoverBound, 1)
		g.clients[0].set(func(c *fakeClient) { c.stuck = nil })
		close(stuck)
		for range 300 {
			if g.holders[0].Valid(time.Now()) {
				t.Fatal("the host that was paused is valid although its key was taken")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if _, losses := g.history(); losses != 1 {
			t.Errorf("%d losses reported, want 1", losses)
		}
	})
}

// Guards against a holder that does not recognise its own write after the answer was lost, or the write came late.
func TestLostAnswerOfCampaignIsSettled(t *testing.T) {
	tests := []struct {
		give  string
		fault func(c *fakeClient)
	}{
		{"answer lost", func(c *fakeClient) { c.lost = true }},
		{"write 2.5 s late", func(c *fakeClient) { c.late = 2500 * time.Millisecond }},
	}
	for _, tt := range tests {
		runGroup(t, 1, func(g *group) {
			g.clients[0].set(tt.fault)
			took := g.awaitHolder(15*time.Second, 0)
			if epoch, _ := g.holders[0].Epoch(time.Now()); epoch != 1 {
				t.Errorf("%s: key written %d times, want 1 (after %v)", tt.give, epoch, took)
			}
		})
	}
}

// Guards against orders without a lease during an outage, a storm of calls in it, and slow recovery after it.
func TestOutageEndsValidityAndMakesFewCalls(t *testing.T) {
	runGroup(t, 30, func(g *group) {
		g.awaitHolder(5*time.Second, 0)
		for _, c := range g.clients {
			c.set(func(c *fakeClient) { c.down = true })
		}
		g.await(leaseTime, "validity ends", func() bool { return g.valid() < 0 })
		before := g.kv.counted()
		time.Sleep(5 * time.Minute)
		if perS := float64(g.kv.counted()-before) / 300; perS > 1 {
			t.Errorf("%.2f calls a second for one key during the outage, want at most 1", perS)
		}
		for _, c := range g.clients {
			c.set(func(c *fakeClient) { c.down = false })
		}
		g.await(takeoverBound, "someone holds the key", func() bool { return g.valid() >= 0 })
		before = g.kv.counted()
		time.Sleep(5 * time.Minute)
		perS := float64(g.kv.counted()-before) / 300
		if perS > 1.5 {
			t.Errorf("%.2f calls a second for one key in normal operation, want at most 1.5", perS)
		}
	})
}

// Guards against a planned stop that leaves the key unheld until polling finds it.
func TestReleaseHandsOverAtOnce(t *testing.T) {
	runGroup(t, 5, func(g *group) {
		g.awaitHolder(5*time.Second, 0)
		time.Sleep(time.Minute)
		g.setLive(0, false)
		if err := g.holders[0].Release(context.Background()); err != nil {
			t.Fatal(err)
		}
		if took := g.awaitHolder(time.Second, 1); took > 100*time.Millisecond {
			t.Errorf("hand-over took %v", took)
		}
	})
}

// Guards against churn: a preferred host that comes and goes must not move the key, one that stays gets it once.
func TestPreferredHostGetsTheKeyOnlyAfterAWhile(t *testing.T) {
	runGroup(t, 5, func(g *group) {
		g.setLive(0, false)
		g.awaitHolder(15*time.Second, 1)
		for range 10 {
			g.setLive(0, true)
			time.Sleep(rebalanceAfter / 2)
			g.setLive(0, false)
			time.Sleep(30 * time.Second)
		}
		if gains, _ := g.history(); len(gains) != 1 {
			t.Errorf("the key moved with a host that comes and goes: %v", gains)
		}
		g.setLive(0, true)
		g.awaitHolder(2*rebalanceAfter, 0)
		time.Sleep(2 * rebalanceAfter)
		if gains, _ := g.history(); len(gains) != 2 {
			t.Errorf("gains %v, want two", gains)
		}
	})
}

// Guards against two valid holders when the holder alone is cut off from the service, and against a stolen key after
// a short cut.
func TestHolderCutOffFromTheService(t *testing.T) {
	tests := []struct {
		cut  time.Duration
		want int
	}{
		{6 * time.Second, 0},
		{30 * time.Second, 1},
	}
	for _, tt := range tests {
		runGroup(t, 6, func(g *group) {
			g.awaitHolder(5*time.Second, 0)
			time.Sleep(time.Minute)
			g.clients[0].set(func(c *fakeClient) { c.down = true })
			time.Sleep(tt.cut)
			g.clients[0].set(func(c *fakeClient) { c.down = false })
			time.Sleep(5 * time.Second)
			if got := g.valid(); got != tt.want {
				t.Errorf("cut for %v: held by %d, want %d", tt.cut, got, tt.want)
			}
		})
	}
}
