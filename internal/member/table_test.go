package member

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/qrpc/simnet"
	"github.com/figreel/figreel/internal/wire"
)

// cluster is a set of tables on an in-memory network in virtual time.
type cluster struct {
	t       *testing.T
	net     *simnet.Net
	hosts   []*simnet.Host
	tables  []*Table
	cancels []context.CancelFunc
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func nameOf(i int) string { return fmt.Sprintf("host-%03d", i) }

// runCluster starts n hosts with the first two as seeds, waits until each has all others in its table, and runs f.
func runCluster(t *testing.T, n int, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, net: &simnet.Net{Delay: time.Millisecond}}
		defer c.stop()
		for i := range n {
			c.hosts, c.tables, c.cancels = append(c.hosts, nil), append(c.tables, nil), append(c.cancels, nil)
			c.start(i, 0)
		}
		c.waitFor(20*time.Second, "all hosts see each other", func() bool { return c.allHaveLive(n) })
		f(c)
	})
}

func (c *cluster) stop() {
	for _, stop := range c.cancels {
		if stop != nil {
			stop()
		}
	}
	// Calls to killed hosts end after their timeout; synctest needs all goroutines to end.
	time.Sleep(10 * time.Second)
}

// start runs host i; with incarnation 0, the table sets it from the clock.
func (c *cluster) start(i int, incarnation uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	h := c.net.Host(ctx, nameOf(i), addrOf(i))
	table := &Table{
		Self:   wire.Member{Name: nameOf(i), Addr: addrOf(i), Domain: fmt.Sprint(i % 4), Incarnation: incarnation},
		Seeds:  []string{addrOf(0), addrOf(1)},
		Dialer: h,
		Rand:   rand.New(rand.NewPCG(1, uint64(i))),
		Fanout: DefaultFanout,
	}
	h.Handlers = table.Handlers()
	c.hosts[i], c.tables[i], c.cancels[i] = h, table, cancel
	go func() { _ = table.Run(ctx) }()
}

// kill stops host i without an announcement.
func (c *cluster) kill(i int) {
	c.cancels[i]()
	c.hosts[i].Kill()
}

// waitFor advances the virtual time until ok returns true, and returns the time that passed. It fails the test after
// limit.
func (c *cluster) waitFor(limit time.Duration, what string, ok func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			for i, table := range c.tables {
				if table != nil {
					c.t.Logf("%s sees %d of %d", nameOf(i), len(table.Live()), len(table.Members()))
				}
			}
			c.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// allHaveLive reports whether each running host has n live hosts in its table.
func (c *cluster) allHaveLive(n int) bool {
	for i, table := range c.tables {
		if c.hosts[i] != nil && len(table.Live()) != n {
			return false
		}
	}
	return true
}

// hasLive reports whether host j is live in the table of host i.
func (c *cluster) hasLive(i, j int) bool {
	for _, m := range c.tables[i].Live() {
		if m.Name == nameOf(j) {
			return true
		}
	}
	return false
}

// Guards against killed hosts that stay live in a table, and against removing them before the suspicion time is over.
func TestKilledHostIsRemovedEverywhere(t *testing.T) {
	runCluster(t, 24, func(c *cluster) {
		c.kill(5)
		c.hosts[5] = nil
		took := c.waitFor(15*time.Second, "the killed host is removed", func() bool { return c.allHaveLive(23) })
		if took < suspicionTime {
			t.Errorf("removed after %v, before the suspicion ended", took)
		}
	})
}

// Guards against declaring a host dead that does not respond for less than the suspicion time and then refutes.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	runCluster(t, 16, func(c *cluster) {
		oldIncarnation := c.tables[3].Members()[3].Incarnation
		for i := range c.hosts {
			c.net.Freeze(addrOf(3), addrOf(i))
		}
		c.waitFor(8*time.Second, "the slow host is suspected", func() bool {
			return slices.ContainsFunc(c.tables, func(table *Table) bool {
				return table.Members()[3].State == wire.Suspect
			})
		})
		for i := range c.hosts {
			c.net.Heal(addrOf(3), addrOf(i))
		}
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			for i := range c.tables {
				if i != 3 && !c.hasLive(i, 3) {
					t.Fatalf("host %d dropped the host that responded again", i)
				}
			}
		}
		for i := range c.tables {
			if m := c.tables[i].Members()[3]; m.State != wire.Alive || m.Incarnation <= oldIncarnation {
				t.Errorf("host %d has %+v, want a refuted suspicion", i, m)
			}
		}
	})
}

// Guards against listing a leaving host as live before it has restarted, even if an older record of it arrives late.
func TestLeavingHostIsNotLiveUntilItRestarts(t *testing.T) {
	runCluster(t, 16, func(c *cluster) {
		staleRecord := c.tables[2].Members()[2]
		if err := c.tables[2].Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.waitFor(3*time.Second, "all hosts know of the graceful shutdown", func() bool { return c.allHaveLive(15) })
		for range 100 {
			for _, table := range c.tables {
				table.mergePing(wire.Ping{From: staleRecord})
			}
			time.Sleep(100 * time.Millisecond)
			if !c.allHaveLive(15) {
				t.Fatal("a stale record made the leaving host live")
			}
		}
		c.kill(2)
		c.start(2, 0)
		c.waitFor(20*time.Second, "the restarted host is live", func() bool { return c.allHaveLive(16) })
	})
}

// Guards against halves of a partitioned network that do not merge after the partition ends, and against members that
// their own half drops because the tables of the other half list them as dead. The longer partition lasts until the
// dead members have been removed from the tables.
func TestPartitionHealsWithoutDroppingMembers(t *testing.T) {
	durations := []time.Duration{2 * time.Minute, removeAfter + time.Minute}
	const n = 12
	for _, duration := range durations {
		runCluster(t, n, func(c *cluster) {
			forEachCrossPair := func(f func(a, b string)) {
				for i := range n / 2 {
					for j := n / 2; j < n; j++ {
						f(addrOf(i), addrOf(j))
					}
				}
			}
			forEachCrossPair(c.net.Partition)
			c.waitFor(40*time.Second, "each half sees only itself", func() bool { return c.allHaveLive(n / 2) })
			time.Sleep(duration)
			forEachCrossPair(c.net.Heal)
			c.waitFor(90*time.Second, "all hosts see each other", func() bool {
				c.checkHalves(n)
				return c.allHaveLive(n)
			})
		})
	}
}

// checkHalves fails the test if a host has dropped a member of its own half.
func (c *cluster) checkHalves(n int) {
	c.t.Helper()
	for i := range n {
		for j := range n {
			if i/(n/2) == j/(n/2) && !c.hasLive(i, j) {
				c.t.Fatalf("host %d dropped %d of its own half", i, j)
			}
		}
	}
}

// Guards against owners and departures that do not reach all hosts, or that older ones replace.
func TestGossipEntriesSpreadAndNewestWins(t *testing.T) {
	runCluster(t, 16, func(c *cluster) {
		c.tables[1].SetOwner(wire.Owner{Pool: "p", Host: "host-001", Epoch: 5})
		c.tables[2].SetOwner(wire.Owner{Pool: "p", Host: "host-002", Epoch: 7})
		c.tables[3].SetDeparture(wire.Departure{Upstream: "e", Seq: 1})
		took := c.waitFor(3*time.Second, "all hosts have the newest entries", func() bool {
			for _, table := range c.tables {
				if o, _ := table.Owner("p"); o.Epoch != 7 || !table.IsLeaving("e") {
					return false
				}
			}
			return true
		})
		c.tables[4].SetOwner(wire.Owner{Pool: "p", Host: "host-001", Epoch: 6})
		c.tables[4].SetDeparture(wire.Departure{Upstream: "e", Returned: true, Seq: 2})
		time.Sleep(10 * time.Second)
		for i, table := range c.tables {
			if o, _ := table.Owner("p"); o.Host != "host-002" || table.IsLeaving("e") {
				t.Errorf("host %d: owner %+v, leaving %v", i, o, table.IsLeaving("e"))
			}
		}
		t.Logf("entries reached 16 hosts after %v", took)
	})
}

// Guards against a restarted host that stays dead in the tables of others because its clock is behind, which gives it a
// lower incarnation than before. It must refute its death.
func TestRestartWithOldClockIsSeen(t *testing.T) {
	runCluster(t, 8, func(c *cluster) {
		c.kill(4)
		c.hosts[4] = nil
		c.waitFor(15*time.Second, "the host is dead", func() bool { return c.allHaveLive(7) })
		c.start(4, 1)
		c.waitFor(20*time.Second, "the host is live again", func() bool { return c.allHaveLive(8) })
	})
}

// Guards against a host that stops trying to join, or tries too often, while no seed responds.
func TestJoinIsRetriedUntilASeedResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, net: &simnet.Net{Delay: time.Millisecond}}
		defer c.stop()
		c.hosts, c.tables, c.cancels = make([]*simnet.Host, 6), make([]*Table, 6), make([]context.CancelFunc, 6)
		c.start(5, 0)
		time.Sleep(10 * time.Minute)
		// More than 3 digits mean 1000 attempts or more.
		if n := c.tables[5].Stats.Events.Get(eventSync).String(); len(n) > 3 {
			t.Errorf("%s attempts to join in 10 minutes", n)
		}
		c.start(0, 0)
		c.waitFor(10*time.Second, "the hosts see each other", func() bool { return c.hasLive(5, 0) && c.hasLive(0, 5) })
	})
}

// Guards against a host that goes on sending calls to an upstream after its own SetDeparture: gossip from other hosts
// is not new to it then, so only SetDeparture itself can call OnDeparture.
func TestSetDepartureCallsOnDeparture(t *testing.T) {
	for _, tt := range []struct {
		name string
		set  []wire.Departure
		want []wire.Departure
	}{
		{"first", []wire.Departure{{Upstream: "e", Seq: 2}}, []wire.Departure{{Upstream: "e", Seq: 2}}},
		{
			"older",
			[]wire.Departure{{Upstream: "e", Seq: 2}, {Upstream: "e", Seq: 1, Returned: true}},
			[]wire.Departure{{Upstream: "e", Seq: 2}},
		},
		{
			"returned",
			[]wire.Departure{{Upstream: "e", Seq: 2}, {Upstream: "e", Seq: 3, Returned: true}},
			[]wire.Departure{{Upstream: "e", Seq: 2}, {Upstream: "e", Seq: 3, Returned: true}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var got []wire.Departure
			table := &Table{
				Self:        wire.Member{Name: nameOf(0), Addr: addrOf(0), Domain: "a"},
				OnDeparture: func(d wire.Departure) { got = append(got, d) },
			}
			for _, d := range tt.set {
				table.SetDeparture(d)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("OnDeparture got %+v, want %+v", got, tt.want)
			}
		})
	}
}
