package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/topo"
)

const (
	fleetSize = 78
	step      = 50 * time.Millisecond
	leaseTime = 3 * time.Second

	long, short, plain = 9240, 1116, 200
)

var (
	bounds = quota.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}
	// tight leaves so little room that a mistake shows at once.
	tight  = quota.Bounds{Window: 8 * time.Second, Overage: 0.01, Slack: 20_000}
	origin = time.Unix(1_000_000, 0)
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type (
	// fleet is a set of hosts in virtual time. At most one of them holds the lease of the leader.
	fleet struct {
		rng      *rand.Rand
		now      time.Duration
		nodes    []*node
		leader   *node
		leaseEnd time.Duration
		terms    int
		names    []topo.Host
		space    topo.Workspace
		packets  []packet
		uses     []use   // calls that were executed
		ideal    float64 // level of one account for all calls
		within   int     // calls that it allows
		allowed  int
		bounds   quota.Bounds
		faulty   bool // messages are lost, late and repeated
	}

	node struct {
		name       string
		lim        *quota.Limiter
		mono       time.Duration
		downUntil  time.Duration // killed
		stopUntil  time.Duration // suspended
		cutUntil   time.Duration // no message arrives or leaves
		to         *node         // leader that it is connected to
		term, conn int
		deadUntil  time.Duration // when a connection over a cut ends
		tickAt     time.Duration
		known      topo.Workspace
	}

	packet struct {
		at       time.Duration
		from, to *node
		follower *node
		conn     int
		message  *quota.Message
	}

	use struct {
		at    time.Duration
		units float64
	}
)

func newFleet(seed uint64, rate float64, b quota.Bounds) *fleet {
	f := &fleet{bounds: b, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Minute}
	f.space = topo.Workspace{Name: "hot", Quota: topo.Quota{Rate: rate, Burst: rate, InTokens: true, PlainTokens: plain}}
	for i := range fleetSize {
		f.names = append(f.names, topo.Host{Name: fmt.Sprint("host-", i)})
		n := &node{name: f.names[i].Name}
		f.nodes = append(f.nodes, n)
		f.boot(n)
	}
	return f
}

func (f *fleet) boot(n *node) {
	n.lim = &quota.Limiter{Self: n.name, Bounds: f.bounds, Hosts: func() []topo.Host { return f.names }}
	n.to, n.known = nil, f.space
	n.lim.SetWorkspaces(f.mono(n), []topo.Workspace{n.known})
}

func (f *fleet) mono(n *node) time.Time { return origin.Add(n.mono) }

func (f *fleet) runs(n *node) bool { return f.now >= n.downUntil && f.now >= n.stopUntil }

func (f *fleet) cut(n *node) bool { return f.now < n.cutUntil }

// update is called before each use of a host's limiter, as internal/host does.
func (f *fleet) update(n *node) {
	n.lim.Update(f.mono(n), f.now, n == f.leader && f.now < f.leaseEnd, fleetSize)
}

func (f *fleet) kill(n *node, d time.Duration) {
	n.downUntil = f.now + d
	if n == f.leader {
		f.leader = nil
	}
	for _, o := range f.nodes {
		if o.to == n && !f.cut(o) && !f.cut(n) {
			o.lim.Unfollow(f.now, true)
			o.to = nil
		}
	}
	if n.to != nil && !f.cut(n) {
		n.to.lim.Leave(n.name)
	}
	f.boot(n)
}

// advance moves the time on by a step, with the work of all hosts.
func (f *fleet) advance() {
	f.now += step
	f.ideal = min(f.ideal+f.space.Quota.Rate*step.Seconds(), f.space.Quota.Burst)
	if l := f.leader; l != nil && f.runs(l) && !f.cut(l) {
		f.leaseEnd = f.now + leaseTime
	}
	if f.now > f.leaseEnd {
		if n := f.nodes[f.rng.IntN(fleetSize)]; f.runs(n) && !f.cut(n) {
			f.leader, f.leaseEnd = n, f.now+leaseTime
			f.terms++
		}
	}
	for _, n := range f.nodes {
		if !f.runs(n) {
			continue
		}
		n.mono += step
		if f.now-n.tickAt >= 5*step {
			n.tickAt = f.now
			f.update(n)
			f.connect(n)
			f.report(n)
		}
	}
	f.deliver()
}

func (f *fleet) connect(n *node) {
	broken := n.to != nil && (f.cut(n) || f.cut(n.to) || n.to.downUntil > f.now)
	switch {
	case broken && n.deadUntil == 0:
		n.deadUntil = f.now + time.Duration(f.rng.IntN(1+f.rng.IntN(2)*5000))*time.Millisecond
	case broken && f.now >= n.deadUntil, n.to != nil && n.to != f.leader:
		n.lim.Unfollow(f.now, false)
		n.to.lim.Leave(n.name)
		n.to = nil
	}
	l := f.leader
	if n.to == nil && l != nil && n != l && !f.cut(n) && !f.cut(l) && f.runs(l) {
		n.to, n.term, n.deadUntil = l, f.terms, 0
		n.conn++
		l.lim.Join(n.name)
		n.lim.Follow(fmt.Sprint(f.terms))
	}
}

// report sends the messages that are due from a host to its leader, and from a leader to its followers.
func (f *fleet) report(n *node) {
	if n.to != nil {
		f.send(n, n.to, n, n.lim.Report(f.mono(n)))
	}
	for _, o := range f.nodes {
		if o.to == n {
			f.send(n, o, o, n.lim.Message(f.mono(n), o.name))
		}
	}
}

func (f *fleet) send(from, to, follower *node, m *quota.Message) {
	if m == nil {
		return
	}
	p := packet{f.now + time.Duration(1+f.rng.IntN(20))*time.Millisecond, from, to, follower, follower.conn, m}
	if f.faulty {
		switch f.rng.IntN(20) {
		case 0:
			return
		case 1:
			p.at += time.Duration(f.rng.IntN(4000)) * time.Millisecond
		case 2:
			f.packets = append(f.packets, p)
			p.at += time.Duration(f.rng.IntN(4000)) * time.Millisecond
		}
	}
	f.packets = append(f.packets, p)
}

func (f *fleet) deliver() {
	due := f.packets
	f.packets = nil
	for _, p := range due {
		switch {
		case p.at > f.now || !f.runs(p.to) && f.now >= p.to.downUntil:
			f.packets = append(f.packets, p)
		case f.cut(p.from) || f.cut(p.to) || !f.runs(p.to) || p.conn != p.follower.conn || p.follower.to == nil:
		case p.to == p.follower:
			f.update(p.to)
			p.to.lim.Apply(f.mono(p.to), p.message)
			f.send(p.to, p.from, p.follower, p.to.lim.Report(f.mono(p.to)))
		default:
			f.update(p.to)
			p.to.lim.Receive(f.mono(p.to), p.follower.name, p.message)
			f.send(p.to, p.from, p.follower, p.to.lim.Message(f.mono(p.to), p.follower.name))
		}
	}
}

// call makes a host serve a call if the quota allows it.
func (f *fleet) call(n *node, units float64) {
	if !f.runs(n) {
		return
	}
	if f.ideal >= units {
		f.ideal -= units
		f.within++
	}
	f.update(n)
	at, ok := n, false
	if units == plain {
		if _, ok = n.lim.ChargePlain(f.mono(n), "hot", units); n.to != nil {
			f.send(n, n.to, n, n.lim.Report(f.mono(n)))
		}
	} else {
		if l := n.to; l != nil && f.runs(l) && !f.cut(n) && !f.cut(l) && (!f.faulty || f.rng.IntN(30) > 0) {
			f.update(l)
			at = l
		}
		_, _, ok = at.lim.Charge(f.mono(at), "hot", units)
	}
	if !ok {
		return
	}
	f.allowed++
	f.uses = append(f.uses, use{f.now, units})
}

// worst returns the most units that were executed in any window which begins at or after since.
func (f *fleet) worst(since time.Duration) (most float64) {
	var sum float64
	first := 0
	for _, u := range f.uses {
		sum += u.units
		for f.uses[first].at <= u.at-bounds.Window || f.uses[first].at < since {
			sum -= f.uses[first].units
			if first++; first == len(f.uses) {
				break
			}
		}
		most = max(most, sum)
	}
	return most
}

func (f *fleet) bound() float64 {
	q := &f.space.Quota
	return (q.Rate*f.bounds.Window.Seconds()+q.Burst)*(1+f.bounds.Overage) + f.bounds.Slack
}

// disturb draws one fault of the hosts that the profile names.
func (f *fleet) disturb(t *rapid.T, profile string) {
	d := rapid.SampledFrom([]time.Duration{1, 10, 45, 65, 160}).Draw(t, "steps") * step
	some := f.nodes
	switch {
	case profile == "leader" && f.leader != nil:
		some = []*node{f.leader}
	case profile == "half":
		some = f.nodes[:fleetSize/2]
	case profile == "mixed":
		from := rapid.IntRange(0, fleetSize-1).Draw(t, "from")
		some = f.nodes[from:rapid.IntRange(from, fleetSize).Draw(t, "to")]
	}
	kind := rapid.SampledFrom([]string{"kill", "cut", "suspend"}).Draw(t, "kind")
	for _, n := range some {
		switch kind {
		case "kill":
			f.kill(n, d)
		case "cut":
			n.cutUntil = f.now + d
		case "suspend":
			n.stopUntil = f.now + d
		}
	}
}

// Guards against more use than the bound allows in any window, whatever fails: the leader or other hosts or all of them
// are killed, cut off or suspended, and messages are lost, late or repeated.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{29_000, 240_000, 1_050_000}).Draw(t, "rate")
		b := bounds
		if rate > 100_000 && rapid.Bool().Draw(t, "tight") {
			b = tight
		}
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rate, b)
		f.faulty = rapid.Bool().Draw(t, "faulty")
		profile := rapid.SampledFrom([]string{"mixed", "leader", "half", "all"}).Draw(t, "profile")
		flood := rapid.Bool().Draw(t, "flood")
		demand := rapid.Float64Range(4, 7).Draw(t, "demand") / 1.8 * rate
		for range 4 {
			f.disturb(t, profile)
			for range rapid.SampledFrom([]int{0, 40, 240}).Draw(t, "idle") {
				f.advance()
			}
			every := rapid.SampledFrom([]int{7, 20, 40, 64, 70, 100}).Draw(t, "every")
			for i := range rapid.SampledFrom([]int{60, 240}).Draw(t, "busy") {
				f.advance()
				if sum := f.shares(); sum > 1.001 {
					t.Fatalf("%.3f of the rate is in use at %s", sum, f.now)
				}
				if i%every == every-1 {
					f.disturb(t, profile)
				}
				f.load(demand*step.Seconds(), fleetSize)
				if flood && f.now%(2*step) == 0 {
					f.flood()
				}
			}
		}
		if worst, most := f.worst(0), f.bound(); worst > most {
			t.Fatalf("%.0f units in a window, the bound is %.0f", worst, most)
		}
	})
}

// shares returns the share of the rate that all hosts together use.
func (f *fleet) shares() (sum float64) {
	for _, n := range f.nodes {
		if f.runs(n) {
			f.update(n)
			sum += n.lim.Share()
		}
	}
	return sum
}

// load makes calls of so many units arrive at some of the hosts.
func (f *fleet) load(units float64, hosts int) {
	for units > 0 {
		cost := []float64{long, short, plain}[f.rng.IntN(3)]
		if units < cost && f.rng.Float64() > units/cost {
			return
		}
		units -= cost
		f.call(f.nodes[f.rng.IntN(hosts)], cost)
	}
}

// flood makes each host try a call of each kind.
func (f *fleet) flood() {
	for _, n := range f.nodes {
		for _, cost := range []float64{long, short, plain} {
			f.call(n, cost)
		}
	}
}

// Guards against a quota that refuses calls within it while nothing is disturbed, however the clients move.
func TestCallsWithinQuotaAreServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{29_000, 240_000, 1_050_000}).Draw(t, "rate")
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rate, bounds)
		for f.now < time.Minute+10*time.Second {
			f.advance()
		}
		for range 15 {
			hosts := rapid.SampledFrom([]int{1, 4, fleetSize}).Draw(t, "hosts")
			f.rng.Shuffle(fleetSize, func(i, j int) { f.nodes[i], f.nodes[j] = f.nodes[j], f.nodes[i] })
			for range 60 {
				f.advance()
				f.load(rate/1.8*step.Seconds(), hosts)
			}
		}
		if share := float64(f.allowed) / float64(f.within); share < 0.97 {
			t.Fatalf("%.4f of %d calls were allowed", share, f.within)
		}
	})
}

// Guards against hosts that go on with the accounts of a higher quota after a configuration has lowered it.
func TestLoweredQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), 1_050_000, bounds)
		run := func(steps int) {
			for range steps {
				f.advance()
				f.load(3*1_050_000*step.Seconds(), fleetSize)
			}
		}
		run(rapid.IntRange(60, 300).Draw(t, "before"))
		f.space.Quota.Rate, f.space.Quota.Burst = 29_000, 29_000
		order := slices.Clone(f.nodes)
		f.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, n := range order {
			n.known = f.space
			n.lim.SetWorkspaces(f.mono(n), []topo.Workspace{n.known})
			run(rapid.IntRange(0, 1).Draw(t, "until the next host"))
		}
		since := f.now + step
		run(200)
		if worst, most := f.worst(since), f.bound(); worst > most {
			t.Fatalf("%.0f units in a window, the bound is %.0f", worst, most)
		}
	})
}
