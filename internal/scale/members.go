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
	// regionDelay is assumed; the two regions of the design size have no stated distance.
	regionDelay = 30 * time.Millisecond
	idleTimeout = 60 * time.Second
	quietTime   = 5 * time.Minute
	churnTime   = 10 * time.Minute
	downTime    = 20 * time.Second
	cutTime     = 3 * time.Minute
	healLimit   = 5 * time.Minute
	// eventsPerDay at the design size of 370 hosts: 150 restarts and 8 failures, in proportion at other sizes.
	restartsPerDay = 150
	failuresPerDay = 8
	designHosts    = 370
	// churnFactor accelerates the events of a day.
	churnFactor = 60
	seeds       = 3
)

type (
	// MembershipResult is the cost of membership per host at one fleet size; rates are per second.
	MembershipResult struct {
		Hosts, Fanout int
		JoinTime      time.Duration
		// Start is the cost until all hosts agree after a common start.
		Start, Idle, Churn Rates
		Events             int
		HeapBytes          uint64
		OwnerPropagation   time.Duration
		LeavePropagation   time.Duration
		FirstDetection     time.Duration
		FullDetection      time.Duration
		FalsePositives     int
		// Heal is the time from the end of a partition of 3 minutes until all hosts see each other.
		Heal     Rates
		HealTime time.Duration
	}

	// Rates are per host and second; bytes are frames in both directions without packet overhead.
	Rates struct {
		Bytes, Exchanges, Handshakes float64
		CPU                          time.Duration
	}

	fleet struct {
		net    *simnet.Net
		rnd    *rand.Rand
		hosts  []*simnet.Host
		tables []*member.Table
		stops  []context.CancelFunc
		up     []bool
		past   simnet.Traffic
	}
)

// SimulateMembership simulates hosts: start, a quiet phase, changes, and a phase of accelerated restarts. It runs
// in RunInVirtualTime.
func SimulateMembership(hosts, fanout int, twoRegions bool) MembershipResult {
	res := MembershipResult{Hosts: hosts, Fanout: fanout}
	before := heapBytes()
	f := &fleet{net: &simnet.Net{Delay: oneWayDelay, IdleTimeout: idleTimeout}, rnd: rand.New(rand.NewPCG(1, 2))}
	if twoRegions {
		f.net.DelayBetween = delayBetween(hosts)
	}
	for i := range hosts {
		f.add(i, fanout)
	}
	res.Start = f.rates(func() { res.JoinTime = f.await(healLimit, f.agreed) })
	time.Sleep(time.Minute)
	res.Idle = f.rates(func() { time.Sleep(quietTime) })
	res.HeapBytes = (heapBytes() - before) / uint64(hosts)
	f.changes(&res, fanout)
	res.Churn = f.rates(func() { f.churn(&res, fanout) })
	f.await(time.Minute, f.agreed)
	f.partition(&res)
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(10 * time.Second)
	return res
}

// delayBetween puts hosts with even numbers into one region and those with odd numbers into the other.
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

func (f *fleet) add(i, fanout int) {
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

func (f *fleet) kill(i int) {
	c := f.hosts[i].Traffic()
	f.past.SentBytes += c.SentBytes
	f.past.ReceivedBytes += c.ReceivedBytes
	f.past.Opened += c.Opened
	f.past.Handshakes += c.Handshakes
	f.stops[i]()
	f.hosts[i].Kill()
	f.up[i] = false
}

// rates measures what all hosts spend during run.
func (f *fleet) rates(run func()) Rates {
	before, cpu, start := f.total(), cpuTime(), time.Now()
	run()
	after, spent := f.total(), cpuTime()-cpu
	per := float64(len(f.hosts)) * time.Since(start).Seconds()
	return Rates{
		Bytes:      float64(after.SentBytes+after.ReceivedBytes-before.SentBytes-before.ReceivedBytes) / per,
		Exchanges:  2 * float64(after.Opened-before.Opened) / per, // each has two ends
		Handshakes: 2 * float64(after.Handshakes-before.Handshakes) / per,
		CPU:        time.Duration(float64(spent) / per),
	}
}

func (f *fleet) total() simnet.Traffic {
	sum := f.past
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

// changes measures how long news takes to reach all hosts.
func (f *fleet) changes(res *MembershipResult, fanout int) {
	n := len(f.hosts)
	f.tables[n/2].SetOwner(wire.Owner{Pool: "pool", Host: nameOf(n / 2), Epoch: 1})
	res.OwnerPropagation = f.await(time.Minute, func() bool {
		return f.all(func(t *member.Table) bool {
			o, _ := t.Owner("pool")
			return o.Epoch == 1
		})
	})
	gone := n / 3
	start := time.Now()
	_ = f.tables[gone].Leave(context.Background())
	f.await(time.Minute, func() bool { return f.all(func(t *member.Table) bool { return !lists(t, gone) }) })
	res.LeavePropagation = time.Since(start)
	f.restart(gone, fanout)
	dead := n / 4
	f.kill(dead)
	start = time.Now()
	f.await(time.Minute, func() bool { return !f.all(func(t *member.Table) bool { return lists(t, dead) }) })
	res.FirstDetection = time.Since(start)
	f.await(time.Minute, func() bool { return f.all(func(t *member.Table) bool { return !lists(t, dead) }) })
	res.FullDetection = time.Since(start)
	f.restart(dead, fanout)
}

func (f *fleet) restart(i, fanout int) {
	if f.up[i] {
		f.kill(i)
	}
	time.Sleep(downTime)
	f.add(i, fanout)
	f.await(time.Minute, f.agreed)
	time.Sleep(time.Minute)
}

// churn restarts and kills hosts at the accelerated rate of a day, and counts running hosts that others dropped.
func (f *fleet) churn(res *MembershipResult, fanout int) {
	perDay := float64(restartsPerDay+failuresPerDay) * float64(len(f.hosts)) / designHosts
	gap := time.Duration(float64(24*time.Hour) / (perDay * churnFactor))
	back := make(map[int]time.Time)
	end, next := time.Now().Add(churnTime), time.Now().Add(gap)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		if !time.Now().Before(next) {
			next = next.Add(gap)
			f.event(res, back)
		}
		for i, at := range back {
			if !time.Now().Before(at) {
				delete(back, i)
				f.add(i, fanout)
			}
		}
		res.FalsePositives += f.dropped()
	}
}

// partition cuts the hosts with even numbers off from those with odd numbers for a while.
func (f *fleet) partition(res *MembershipResult) {
	between := func(do func(a, b string)) {
		for i := 0; i < len(f.hosts); i += 2 {
			for j := 1; j < len(f.hosts); j += 2 {
				do(addrOf(i), addrOf(j))
			}
		}
	}
	between(f.net.Partition)
	time.Sleep(cutTime)
	between(f.net.Heal)
	res.Heal = f.rates(func() { res.HealTime = f.await(healLimit, f.agreed) })
}

// event stops one host, by a planned stop in most cases.
func (f *fleet) event(res *MembershipResult, back map[int]time.Time) {
	i := seeds + f.rnd.IntN(len(f.hosts)-seeds)
	if !f.up[i] {
		return
	}
	res.Events++
	if f.rnd.IntN(restartsPerDay+failuresPerDay) < restartsPerDay {
		_ = f.tables[i].Leave(context.Background())
		time.Sleep(2 * time.Second)
	}
	f.kill(i)
	back[i] = time.Now().Add(downTime)
}

// dropped counts hosts that the first seed sees as dead although they run.
func (f *fleet) dropped() int {
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

func (f *fleet) incarnation(i int) uint64 {
	for _, m := range f.tables[i].Members() {
		if m.Name == nameOf(i) {
			return m.Incarnation
		}
	}
	return 0
}

func (f *fleet) await(limit time.Duration, ok func() bool) time.Duration {
	start := time.Now()
	for !ok() && time.Since(start) < limit {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// agreed reports that every running host sees every running host.
func (f *fleet) agreed() bool {
	n := 0
	for _, up := range f.up {
		if up {
			n++
		}
	}
	return f.all(func(t *member.Table) bool { return len(t.Live()) == n })
}

func (f *fleet) all(ok func(t *member.Table) bool) bool {
	for i, t := range f.tables {
		if f.up[i] && !ok(t) {
			return false
		}
	}
	return true
}

func lists(t *member.Table, i int) bool {
	for _, m := range t.Live() {
		if m.Name == nameOf(i) {
			return true
		}
	}
	return false
}

func addrOf(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1) }

func nameOf(i int) string { return fmt.Sprintf("host-%03d", i) }

// WriteMembership prints results as a markdown table.
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
