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

// maxTakeover is 10 s for the lease to end and 2.5 s until the next poll, rounded up.
const maxTakeover = 13 * time.Second

// holderGroup is a set of hosts that campaign for one key; they are ranked by name.
type holderGroup struct {
	t       *testing.T
	kv      *fakeKV
	clients []*fakeClient
	holders []*Holder
	cancels []context.CancelFunc

	mu           sync.Mutex
	live         []bool
	acquisitions []int // index of the host for each acquisition, in order
	epochs       []int64
	losses       int
}

func runGroup(t *testing.T, n int, f func(g *holderGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &holderGroup{t: t, kv: newFakeKV(), live: make([]bool, n)}
		network := &simnet.Net{Delay: time.Millisecond}
		var runs []func()
		for i := range n {
			runs = append(runs, g.add(network, i))
		}
		for _, run := range runs {
			go run()
		}
		defer func() {
			for _, cancel := range g.cancels {
				cancel()
			}
			time.Sleep(time.Minute)
		}()
		f(g)
	})
}

func hostName(i int) string { return fmt.Sprintf("h%02d", i) }

// add creates a host and returns the function that runs it.
func (g *holderGroup) add(network *simnet.Net, i int) func() {
	ctx, cancel := context.WithCancel(context.Background())
	client := &fakeClient{kv: g.kv}
	host := network.Host(ctx, hostName(i), hostName(i))
	h := &Holder{
		Key: "pool/test/p", Pool: "p", Self: hostName(i), KV: client, Live: g.members, Dialer: host,
		Rand:       rand.New(rand.NewPCG(1, uint64(i))),
		Rank:       func(_ string, names []string) []string { return slices.Sorted(slices.Values(names)) },
		OnAcquired: func(epoch int64) { g.recordAcquired(i, epoch) },
		OnLost:     func() { g.mu.Lock(); g.losses++; g.mu.Unlock() },
	}
	host.Handlers[wire.KindHandover] = ServeHandover(func(string) *Holder { return h })
	g.clients, g.holders, g.cancels = append(g.clients, client), append(g.holders, h), append(g.cancels, cancel)
	g.live[i] = true
	return func() { _ = h.Run(ctx) }
}

// recordAcquired records that host i acquired the key, and checks that no other host holds a valid lease and that the
// epoch is higher than that of another host before.
func (g *holderGroup) recordAcquired(i int, epoch int64) {
	for j, h := range g.holders {
		if j != i && h.Valid(time.Now()) {
			g.t.Errorf("%s acquires the key while %s is valid", hostName(i), hostName(j))
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.epochs) > 0 && g.acquisitions[len(g.acquisitions)-1] != i && epoch <= g.epochs[len(g.epochs)-1] {
		g.t.Errorf("epoch %d after %v", epoch, g.epochs)
	}
	g.acquisitions, g.epochs = append(g.acquisitions, i), append(g.epochs, epoch)
}

func (g *holderGroup) members() []wire.Member {
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

func (g *holderGroup) setLive(i int, live bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.live[i] = live
}

// history returns the hosts that acquired the key, in order, and the number of losses so far.
func (g *holderGroup) history() ([]int, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.acquisitions), g.losses
}

// validHolder returns the host that holds the key, or -1.
func (g *holderGroup) validHolder() int {
	return slices.IndexFunc(g.holders, func(h *Holder) bool { return h.Valid(time.Now()) })
}

func (g *holderGroup) waitFor(limit time.Duration, what string, ok func() bool) time.Duration {
	g.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			acquired, losses := g.history()
			g.t.Fatalf("not within %v: %s (held by %d, acquired by %v, %d losses)",
				limit, what, g.validHolder(), acquired, losses)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func (g *holderGroup) waitForHolder(limit time.Duration, i int) time.Duration {
	g.t.Helper()
	return g.waitFor(limit, hostName(i)+" holds the key", func() bool { return g.validHolder() == i })
}

// Guards against a slow takeover of the key of a killed holder, at any time between two renewals, whether membership
// detects the failure or not.
func TestKilledHolderIsReplacedInTime(t *testing.T) {
	for step := range 7 {
		for _, detected := range []bool{true, false} {
			runGroup(t, 12, func(g *holderGroup) {
				g.waitForHolder(5*time.Second, 0)
				time.Sleep(20*time.Second + time.Duration(step)*500*time.Millisecond)
				g.cancels[0]()
				if detected {
					time.AfterFunc(6*time.Second, func() { g.setLive(0, false) })
				}
				took := g.waitForHolder(maxTakeover, 1)
				if took < leaseTTL-renewInterval-time.Second {
					t.Errorf("taken over after %v, before the lease can have ended", took)
				}
			})
		}
	}
}

// Guards against a paused host that treats its lease as valid after another host has acquired the key or after it
// resumes: responses that arrive after the pause must not extend validity.
func TestPausedHolderIsNotValidAfterResume(t *testing.T) {
	runGroup(t, 4, func(g *holderGroup) {
		g.waitForHolder(5*time.Second, 0)
		blocked := make(chan struct{})
		g.clients[0].set(func(c *fakeClient) { c.blockResponses = blocked })
		g.waitForHolder(renewInterval+maxTakeover, 1)
		g.clients[0].set(func(c *fakeClient) { c.blockResponses = nil })
		close(blocked)
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

// Guards against a host that does not recognize its own write if the response was lost or the write was delayed.
func TestUnknownCampaignWriteIsResolved(t *testing.T) {
	tests := []struct {
		give  string
		fault func(c *fakeClient)
	}{
		{"response lost", func(c *fakeClient) { c.dropResponses = true }},
		{"write delayed by 2.5 s", func(c *fakeClient) { c.writeDelay = 2500 * time.Millisecond }},
	}
	for _, tt := range tests {
		runGroup(t, 1, func(g *holderGroup) {
			g.clients[0].set(tt.fault)
			took := g.waitForHolder(15*time.Second, 0)
			if epoch, _ := g.holders[0].Epoch(time.Now()); epoch != 1 {
				t.Errorf("%s: key written %d times, want 1 (after %v)", tt.give, epoch, took)
			}
		})
	}
}

// Guards against a lease that stays valid during an outage of the service, against too many calls in the outage, and
// against a slow recovery after it.
func TestOutageEndsValidityWithFewCalls(t *testing.T) {
	runGroup(t, 30, func(g *holderGroup) {
		g.waitForHolder(5*time.Second, 0)
		for _, c := range g.clients {
			c.set(func(c *fakeClient) { c.unreachable = true })
		}
		g.waitFor(leaseTTL, "validity ends", func() bool { return g.validHolder() < 0 })
		before := g.kv.callCount()
		time.Sleep(5 * time.Minute)
		if perS := float64(g.kv.callCount()-before) / 300; perS > 1 {
			t.Errorf("%.2f calls a second for one key during the outage, want at most 1", perS)
		}
		for _, c := range g.clients {
			c.set(func(c *fakeClient) { c.unreachable = false })
		}
		g.waitFor(maxTakeover, "someone holds the key", func() bool { return g.validHolder() >= 0 })
		before = g.kv.callCount()
		time.Sleep(5 * time.Minute)
		perS := float64(g.kv.callCount()-before) / 300
		if perS > 1.5 {
			t.Errorf("%.2f calls a second for one key in normal operation, want at most 1.5", perS)
		}
	})
}

// Guards against a graceful shutdown that leaves the key without a holder until another host polls it.
func TestReleaseHandsOverImmediately(t *testing.T) {
	runGroup(t, 5, func(g *holderGroup) {
		g.waitForHolder(5*time.Second, 0)
		time.Sleep(time.Minute)
		g.setLive(0, false)
		if err := g.holders[0].Release(context.Background()); err != nil {
			t.Fatal(err)
		}
		if took := g.waitForHolder(time.Second, 1); took > 100*time.Millisecond {
			t.Errorf("handover took %v", took)
		}
	})
}

// Guards against needless handovers: the key must not move to a preferred host that joins and leaves repeatedly, and
// must move once to one that stays.
func TestPreferredHostGetsKeyAfterHysteresis(t *testing.T) {
	runGroup(t, 5, func(g *holderGroup) {
		g.setLive(0, false)
		g.waitForHolder(15*time.Second, 1)
		for range 10 {
			g.setLive(0, true)
			time.Sleep(rebalanceDelay / 2)
			g.setLive(0, false)
			time.Sleep(30 * time.Second)
		}
		if acquired, _ := g.history(); len(acquired) != 1 {
			t.Errorf("the key moved to a host that joins and leaves repeatedly: acquired by %v", acquired)
		}
		g.setLive(0, true)
		g.waitForHolder(2*rebalanceDelay, 0)
		time.Sleep(2 * rebalanceDelay)
		if acquired, _ := g.history(); len(acquired) != 2 {
			t.Errorf("acquired by %v, want two", acquired)
		}
	})
}

// Guards against two valid holders when only the holder cannot reach the service, and against losing the key in a short
// partition.
func TestHolderPartitionedFromService(t *testing.T) {
	tests := []struct {
		partition time.Duration
		want      int
	}{
		{6 * time.Second, 0},
		{30 * time.Second, 1},
	}
	for _, tt := range tests {
		runGroup(t, 6, func(g *holderGroup) {
			g.waitForHolder(5*time.Second, 0)
			time.Sleep(time.Minute)
			g.clients[0].set(func(c *fakeClient) { c.unreachable = true })
			time.Sleep(tt.partition)
			g.clients[0].set(func(c *fakeClient) { c.unreachable = false })
			time.Sleep(5 * time.Second)
			if got := g.validHolder(); got != tt.want {
				t.Errorf("partitioned for %v: held by %d, want %d", tt.partition, got, tt.want)
			}
		})
	}
}
