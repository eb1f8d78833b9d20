package scale

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/member"
	"github.com/figreel/figreel/internal/qrpc/simnet"
	"github.com/figreel/figreel/internal/wire"
)

const (
	oneWayDelay = 500 * time.Microsecond
	// regionDelay is the one-way delay between the two regions; it is assumed, because their distance is not specified.
	regionDelay = 30 * time.Millisecond
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 60 * time.Second
	// The durations of the idle phase, the churn phase and the partition.
	idlePhase     = 5 * time.Minute
	churnTime     = 10 * time.Minute
	partitionTime = 3 * time.Minute
	// downTime is the time between the stop and the restart of a host.
	downTime = 20 * time.Second
	// convergenceLimit limits the wait until all hosts see each other after the start or a partition.
	convergenceLimit = 5 * time.Minute
	// At the design size of 370 hosts, 150 restarts and 8 failures happen per day; other sizes have proportional rates.
	restartsPerDay = 150
	failuresPerDay = 8
	designHosts    = 370
	// churnFactor is the acceleration of restarts and failures in the churn phase.
	churnFactor = 60
	// seeds is the number of hosts that all others know at their start; churn does not stop them.
	seeds = 3
)

type (
	// MembershipResult is the cost of membership per host at one fleet size. Propagation and detection times last until
	// all hosts have the change; FirstDetection is that of the first host. FalsePositives sums, over
	// the seconds of the churn phase, the running hosts that the first seed sees as dead.
	MembershipResult struct {
		Hosts, Fanout int
		JoinTime      time.Duration
		// Start is the cost from a simultaneous start until every host sees all hosts, which takes JoinTime.
		Start, Idle, Churn Rates
		Events             int
		HeapBytes          uint64
		OwnerPropagation   time.Duration
		LeavePropagation   time.Duration
		FirstDetection     time.Duration
		FullDetection      time.Duration
		FalsePositives     int
		// Heal is the cost from the end of a partition of 3 minutes until every host sees all hosts, which takes
		// HealTime.
		Heal     Rates
		HealTime time.Duration
	}

	// Rates are averages per host and second. Bytes counts frames in both directions without packet headers; Exchanges
	// counts streams, each at both of its ends.
	Rates struct {
		Bytes, Exchanges, Handshakes float64
		CPU                          time.Duration
	}

	// fleet is a set of simulated hosts; stoppedTraffic sums the traffic of hosts that were killed.
	fleet struct {
		net            *simnet.Net
		rnd            *rand.Rand
		hosts          []*simnet.Host
		tables         []*member.Table
		stops          []context.CancelFunc
		up             []bool
		stoppedTraffic simnet.Traffic
	}
)

// SimulateMembership simulates a fleet of hosts: a simultaneous start, an idle phase, single changes, a phase of
// frequent restarts and failures, and a network partition. It must run within RunInVirtualTime.
func SimulateMembership(hosts, fanout int, twoRegions bool) MembershipResult {
	res := MembershipResult{Hosts: hosts, Fanout: fanout}
	before := heapBytes()
	f := &fleet{net: &simnet.Net{Delay: oneWayDelay, IdleTimeout: idleTimeout}, rnd: rand.New(rand.NewPCG(1, 2))}
	if twoRegions {
		f.net.DelayBetween = delayBetween(hosts)
	}
	for i := range hosts {
		f.startHost(i, fanout)
	}
	res.Start = f.measureRates(func() { res.JoinTime = f.waitFor(convergenceLimit, f.hasConverged) })
	time.Sleep(time.Minute)
	res.Idle = f.measureRates(func() { time.Sleep(idlePhase) })
	res.HeapBytes = (heapBytes() - before) / uint64(hosts)
	f.measurePropagation(&res, fanout)
	res.Churn = f.measureRates(func() { f.churn(&res, fanout) })
	f.waitFor(time.Minute, f.hasConverged)
	f.partition(&res)
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(10 * time.Second)
	return res
}

// delayBetween returns the delay function of two regions: one for hosts with even numbers, one for those with odd
// numbers.
func delayBetween(hosts int) func(a, b string) time.Duration {
	odd := make(map[string]bool)
	for i := range hosts {
		odd[addrOf(i)] = i%2 == 1
	}
	return func(a, b string) time.Duration {
		if odd[a] != odd[b] {
			return regionDelay
		}
		return oneWayDelay
	}
}

func (f *fleet) startHost(i, fanout int) {
	if i == len(f.hosts) {
		f.hosts, f.tables = append(f.hosts, nil), append(f.tables, nil)
		f.stops, f.up = append(f.stops, nil), append(f.up, false)
	}
	ctx, cancel := context.WithCancel(context.Background())
	addr := addrOf(i)
	h := f.net.Host(ctx, nameOf(i), addr)
	t := &member.Table{
		Self: wire.Member{
			Name: nameOf(i), Addr: addr, CallerURL: "https://" + addr, Domain: fmt.Sprint("zone-", i%4),
		},
		Dialer: h,
		Rand:   rand.New(rand.NewPCG(f.rnd.Uint64(), f.rnd.Uint64())),
		Fanout: fanout,
	}
	for s := range seeds {
		t.Seeds = append(t.Seeds, addrOf(s))
	}
	h.Handlers = t.Handlers()
	f.hosts[i], f.tables[i], f.stops[i], f.up[i] = h, t, cancel, true
	go func() { _ = t.Run(ctx) }()
}

func (f *fleet) killHost(i int) {
	c := f.hosts[i].Traffic()
	f.stoppedTraffic.SentBytes += c.SentBytes
	f.stoppedTraffic.ReceivedBytes += c.ReceivedBytes
	f.stoppedTraffic.Opened += c.Opened
	f.stoppedTraffic.Handshakes += c.Handshakes
	f.stops[i]()
	f.hosts[i].Kill()
	f.up[i] = false
}

// measureRates calls run and returns the average traffic and CPU time per host and second during it.
func (f *fleet) measureRates(run func()) Rates {
	before, cpu, start := f.totalTraffic(), cpuTime(), time.Now()
	run()
	after, spent := f.totalTraffic(), cpuTime()-cpu
	hostSeconds := float64(len(f.hosts)) * time.Since(start).Seconds()
	return Rates{
		Bytes:      float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes) / hostSeconds,
		Exchanges:  2 * float64(after.Opened-before.Opened) / hostSeconds, // counted at both ends
		Handshakes: 2 * float64(after.Handshakes-before.Handshakes) / hostSeconds,
		CPU:        time.Duration(float64(spent) / hostSeconds),
	}
}

func (f *fleet) totalTraffic() simnet.Traffic {
	sum := f.stoppedTraffic
	for i, h := range f.hosts {
		if !f.up[i] {
			continue
		}
		c := h.Traffic()
		sum.SentBytes += c.SentBytes
		sum.ReceivedBytes += c.ReceivedBytes
		sum.Opened += c.Opened
		sum.Handshakes += c.Handshakes
	}
	return sum
}

// measurePropagation measures how long a new owner, a graceful leave and a failed host take to reach all hosts.
func (f *fleet) measurePropagation(res *MembershipResult, fanout int) {
	n := len(f.hosts)
	f.tables[n/2].SetOwner(wire.Owner{Pool: "pool", Host: nameOf(n / 2), Epoch: 1})
	res.OwnerPropagation = f.waitFor(time.Minute, func() bool {
		return f.allRunning(func(t *member.Table) bool {
			o, _ := t.Owner("pool")
			return o.Epoch == 1
		})
	})
	left := n / 3
	start := time.Now()
	_ = f.tables[left].Leave(context.Background())
	f.waitFor(time.Minute, func() bool {
		return f.allRunning(func(t *member.Table) bool { return !hasLiveMember(t, left) })
	})
	res.LeavePropagation = time.Since(start)
	f.restartHost(left, fanout)
	dead := n / 4
	f.killHost(dead)
	start = time.Now()
	f.waitFor(time.Minute, func() bool {
		return !f.allRunning(func(t *member.Table) bool { return hasLiveMember(t, dead) })
	})
	res.FirstDetection = time.Since(start)
	f.waitFor(time.Minute, func() bool {
		return f.allRunning(func(t *member.Table) bool { return !hasLiveMember(t, dead) })
	})
	res.FullDetection = time.Since(start)
	f.restartHost(dead, fanout)
}

func (f *fleet) restartHost(i, fanout int) {
	if f.up[i] {
		f.killHost(i)
	}
	time.Sleep(downTime)
	f.startHost(i, fanout)
	f.waitFor(time.Minute, f.hasConverged)
	time.Sleep(time.Minute)
}

// churn restarts and kills hosts at churnFactor times the daily rate, and counts false positives of failure detection
// each second.
func (f *fleet) churn(res *MembershipResult, fanout int) {
	perDay := float64(restartsPerDay+failuresPerDay) * float64(len(f.hosts)) / designHosts
	interval := time.Duration(float64(24*time.Hour) / (perDay * churnFactor))
	restartAt := make(map[int]time.Time)
	end, next := time.Now().Add(churnTime), time.Now().Add(interval)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !time.Now().Before(next) {
			next = next.Add(interval)
			f.stopRandomHost(res, restartAt)
		}
		for i, at := range restartAt {
			if !time.Now().Before(at) {
				delete(restartAt, i)
				f.startHost(i, fanout)
			}
		}
		res.FalsePositives += f.countFalsePositives()
	}
}

// partition separates the hosts with even numbers from those with odd numbers for partitionTime, and measures the time
// and cost until all hosts see each other again.
func (f *fleet) partition(res *MembershipResult) {
	forEachCrossPair := func(apply func(a, b string)) {
		for i := 0; i < len(f.hosts); i += 2 {
			for j := 1; j < len(f.hosts); j += 2 {
				apply(addrOf(i), addrOf(j))
			}
		}
	}
	forEachCrossPair(f.net.Partition)
	time.Sleep(partitionTime)
	forEachCrossPair(f.net.Heal)
	res.Heal = f.measureRates(func() { res.HealTime = f.waitFor(convergenceLimit, f.hasConverged) })
}

// stopRandomHost stops a random running host that is not a seed and schedules its restart. Most stops are graceful, in
// the proportion of restarts to failures.
func (f *fleet) stopRandomHost(res *MembershipResult, restartAt map[int]time.Time) {
	i := seeds + f.rnd.IntN(len(f.hosts)-seeds)
	if !f.up[i] {
		return
	}
	res.Events++
	if f.rnd.IntN(restartsPerDay+failuresPerDay) < restartsPerDay {
		_ = f.tables[i].Leave(context.Background())
		time.Sleep(2 * time.Second)
	}
	f.killHost(i)
	restartAt[i] = time.Now().Add(downTime)
}

// countFalsePositives returns the number of running hosts that the first seed sees as dead in their present
// incarnation.
func (f *fleet) countFalsePositives() int {
	n := 0
	for _, m := range f.tables[0].Members() {
		for i := range f.hosts {
			if nameOf(i) == m.Name && m.State == wire.Dead && f.up[i] && m.Incarnation >= f.incarnation(i) {
				n++
			}
		}
	}
	return n
}

// incarnation returns the incarnation that a host reports of itself.
func (f *fleet) incarnation(i int) uint64 {
	for _, m := range f.tables[i].Members() {
		if m.Name == nameOf(i) {
			return m.Incarnation
		}
	}
	return 0
}

// waitFor waits until ok returns true or limit has passed, and returns the time spent.
func (f *fleet) waitFor(limit time.Duration, ok func() bool) time.Duration {
	start := time.Now()
	for !ok() && time.Since(start) < limit {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// hasConverged reports whether every running host sees as many live hosts as are running.
func (f *fleet) hasConverged() bool {
	n := 0
	for _, up := range f.up {
		if up {
			n++
		}
	}
	return f.allRunning(func(t *member.Table) bool { return len(t.Live()) == n })
}

// allRunning reports whether ok holds for the membership tables of all running hosts.
func (f *fleet) allRunning(ok func(t *member.Table) bool) bool {
	for i, t := range f.tables {
		if f.up[i] && !ok(t) {
			return false
		}
	}
	return true
}

func hasLiveMember(t *member.Table, i int) bool {
	for _, m := range t.Live() {
		if m.Name == nameOf(i) {
			return true
		}
	}
	return false
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func nameOf(i int) string { return fmt.Sprintf("host-%03d", i) }

// WriteMembership writes the results to w as a markdown table.
func WriteMembership(w io.Writer, list []MembershipResult) {
	fmt.Fprintln(w, "| hosts | fanout | join | join frame B/s | frame B/s | exchanges/s | handshakes/s "+
		"| CPU µs/s | heap KB "+
		"| owner to all | leave to all | death first | death all | churn events | churn frame B/s "+
		"| churn handshakes/s | churn CPU µs/s | falsely dropped | heal | heal frame B/s |")
	fmt.Fprintln(w, strings.Repeat("|--:", 20)+"|")
	for _, r := range list {
		fmt.Fprintf(w, "| %d | %d | %.1f s | %.0f | %.0f | %.2f | %.4f | %d | %d | %.2f s | %.2f s | %.1f s | %.1f s "+
			"| %d | %.0f | %.4f | %d | %d | %.1f s | %.0f |\n",
			r.Hosts, r.Fanout, r.JoinTime.Seconds(), r.Start.Bytes, r.Idle.Bytes, r.Idle.Exchanges, r.Idle.Handshakes,
			r.Idle.CPU.Microseconds(), r.HeapBytes/1024, r.OwnerPropagation.Seconds(), r.LeavePropagation.Seconds(),
			r.FirstDetection.Seconds(), r.FullDetection.Seconds(), r.Events, r.Churn.Bytes, r.Churn.Handshakes,
			r.Churn.CPU.Microseconds(), r.FalsePositives, r.HealTime.Seconds(), r.Heal.Bytes)
	}
}
