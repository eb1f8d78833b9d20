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
	t      *testing.T
	net    *simnet.Net
	hosts  []*simnet.Host
	tables []*Table
	stops  []context.CancelFunc
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func nameOf(i int) string { return fmt.Sprintf("host-%03d", i) }

// runCluster starts n hosts that know only the first as seed, lets them find each other, and runs f.
func runCluster(t *testing.T, n int, f func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, net: &simnet.Net{Delay: time.Millisecond}}
		defer c.stop()
		for i := range n {
			c.hosts, c.tables, c.stops = append(c.hosts, nil), append(c.tables, nil), append(c.stops, nil)
			c.start(i, 0)
		}
		c.settle(20*time.Second, "all hosts see each other", func() bool { return c.allSee(n) })
		f(c)
	})
}

func (c *cluster) stop() {
	for _, stop := range c.stops {
		if stop != nil {
			stop()
		}
	}
	// Exchanges with killed hosts end after their timeout.
	time.Sleep(10 * time.Second)
}

// start runs a host; incarnation 0 takes it from the clock.
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
	c.hosts[i], c.tables[i], c.stops[i] = h, table, cancel
	go func() { _ = table.Run(ctx) }()
}

func (c *cluster) kill(i int) {
	c.stops[i]()
	c.hosts[i].Kill()
}

// settle advances virtual time until ok holds and returns the time that it took.
func (c *cluster) settle(limit time.Duration, what string, ok func() bool) time.Duration {
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

// allSee reports that every running host has n live hosts in its table.
func (c *cluster) allSee(n int) bool {
	for i, table := range c.tables {
		if c.hosts[i] != nil && len(table.Live()) != n {
			return false
		}
	}
	return true
}

func (c *cluster) lists(i, j int) bool {
	for _, m := range c.tables[i].Live() {
		if m.Name == nameOf(j) {
			return true
		}
	}
	return false
}

// Guards against hosts that stay in a table after their death.
func TestKilledHostIsRemovedEverywhere(t *testing.T) {
	runCluster(t, 24, func(c *cluster) {
		c.kill(5)
		c.hosts[5] = nil
		took := c.settle(15*time.Second, "nobody lists the killed host", func() bool { return c.allSee(23) })
		if took < suspicionTime {
			t.Errorf("removed after %v, before the suspicion ended", took)
		}
	})
}

// Guards against declaring a host dead that was slow for less than the suspicion time.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	runCluster(t, 16, func(c *cluster) {
		before := c.tables[3].Members()[3].Incarnation
		for i := range c.hosts {
			c.net.Freeze(addrOf(3), addrOf(i))
		}
		c.settle(8*time.Second, "the slow host is suspected", func() bool {
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
				if i != 3 && !c.lists(i, 3) {
					t.Fatalf("host %d dropped the host that answered again", i)
				}
			}
		}
		for i := range c.tables {
			if m := c.tables[i].Members()[3]; m.State != wire.Alive || m.Incarnation <= before {
				t.Errorf("host %d holds %+v, want a refuted suspicion", i, m)
			}
		}
	})
}

// Guards against advertising a leaving host, also by records that arrive late, until it has restarted.
func TestLeavingHostIsNotLiveUntilItRestarts(t *testing.T) {
	runCluster(t, 16, func(c *cluster) {
		old := c.tables[2].Members()[2]
		if err := c.tables[2].Leave(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.settle(3*time.Second, "all hosts know of the planned stop", func() bool { return c.allSee(15) })
		for range 100 {
			for _, table := range c.tables {
				table.absorb(wire.Ping{From: old})
			}
			time.Sleep(100 * time.Millisecond)
			if !c.allSee(15) {
				t.Fatal("a stale record made the leaving host live")
			}
		}
		c.kill(2)
		c.start(2, 0)
		c.settle(20*time.Second, "the restarted host is live", func() bool { return c.allSee(16) })
	})
}

// Guards against halves of a partition that never meet again, and against dropping members of the own half when
// tables are exchanged in which they are dead.
func TestPartitionHealsWithoutDroppingMembers(t *testing.T) {
	tests := []time.Duration{2 * time.Minute, forgetAfter + time.Minute}
	const n = 12
	for _, lasting := range tests {
		runCluster(t, n, func(c *cluster) {
			between := func(f func(a, b string)) {
				for i := range n / 2 {
					for j := n / 2; j < n; j++ {
						f(addrOf(i), addrOf(j))
					}
				}
			}
			between(c.net.Partition)
			c.settle(40*time.Second, "each half sees only itself", func() bool { return c.allSee(n / 2) })
			time.Sleep(lasting)
			between(c.net.Heal)
			c.settle(90*time.Second, "all hosts see each other", func() bool {
				c.keepHalves(n)
				return c.allSee(n)
			})
		})
	}
}

// keepHalves fails the test if a host has dropped a member of its own half.
func (c *cluster) keepHalves(n int) {
	c.t.Helper()
	for i := range n {
		for j := range n {
			if i/(n/2) == j/(n/2) && !c.lists(i, j) {
				c.t.Fatalf("host %d dropped %d of its own half", i, j)
			}
		}
	}
}

// Guards against owners and departures that stay local or fall back to older ones, and unheard revisions.
func TestFactsSpreadAndNewestWins(t *testing.T) {
	runCluster(t, 16, func(c *cluster) {
		c.tables[1].SetOwner(wire.Owner{Pool: "p", Host: "host-001", Epoch: 5})
		c.tables[2].SetOwner(wire.Owner{Pool: "p", Host: "host-002", Epoch: 7})
		c.tables[3].SetDeparture(wire.Departure{Upstream: "e", Seq: 1})
		took := c.settle(3*time.Second, "facts are known everywhere", func() bool {
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
				t.Errorf("host %d: owner %+v, departed %v", i, o, table.IsLeaving("e"))
			}
		}
		t.Logf("facts reached 16 hosts after %v", took)
	})
}

// Guards against a host that restarts before the others noticed and stays dead to them because its clock is behind.
func TestRestartWithOldClockIsSeen(t *testing.T) {
	runCluster(t, 8, func(c *cluster) {
		c.kill(4)
		c.hosts[4] = nil
		c.settle(15*time.Second, "the host is dead", func() bool { return c.allSee(7) })
		c.start(4, 1)
		c.settle(20*time.Second, "the host is live again", func() bool { return c.allSee(8) })
	})
}

// Guards against a host that gives up, or floods the network, while no seed answers.
func TestJoinIsRetriedUntilASeedAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, net: &simnet.Net{Delay: time.Millisecond}}
		defer c.stop()
		c.hosts, c.tables, c.stops = make([]*simnet.Host, 6), make([]*Table, 6), make([]context.CancelFunc, 6)
		c.start(5, 0)
		time.Sleep(10 * time.Minute)
		if n := c.tables[5].Stats.Events.Get(eventSync).String(); len(n) > 3 {
			t.Errorf("%s attempts to join in 10 minutes", n)
		}
		c.start(0, 0)
		c.settle(10*time.Second, "the hosts see each other", func() bool { return c.lists(5, 0) && c.lists(0, 5) })
	})
}

// Guards against a host that reads of a leaving upstream itself and goes on sending it work: the news that other hosts
// bring later is none to it.
func TestOwnDepartureIsTold(t *testing.T) {
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
			"back",
			[]wire.Departure{{Upstream: "e", Seq: 2}, {Upstream: "e", Seq: 3, Returned: true}},
			[]wire.Departure{{Upstream: "e", Seq: 2}, {Upstream: "e", Seq: 3, Returned: true}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var told []wire.Departure
			table := &Table{
				Self:        wire.Member{Name: nameOf(0), Addr: addrOf(0), Domain: "a"},
				OnDeparture: func(d wire.Departure) { told = append(told, d) },
			}
			for _, d := range tt.set {
				table.SetDeparture(d)
			}
			if !slices.Equal(told, tt.want) {
				t.Errorf("told %+v, want %+v", told, tt.want)
			}
		})
	}
}
