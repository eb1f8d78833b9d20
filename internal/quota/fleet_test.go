package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
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
	window    = 8 * time.Second

	long, short, plain = 9240, 1116, 200
)

var (
	bounds = quota.Bounds{Window: window, Overage: 0.1, Slack: 110_000}
	// tight leaves so little room that a mistake shows at once.
	tight  = quota.Bounds{Window: window, Overage: 0.01, Slack: 20_000}
	origin = time.Unix(1_000_000, 0)
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20", "rapid.nofailfile": "true"} {
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
		hosts    []topo.Host
		list     []topo.Workspace
		bounds   quota.Bounds
		packets  []packet
		uses     []use   // calls that were executed
		ideal    float64 // level of one account for all calls
		within   int     // calls that it allows
		faulty   bool    // messages are lost, late and repeated
	}

	node struct {
		name                           string
		lim                            *quota.Limiter
		mono                           time.Duration // since origin, without suspensions
		downUntil, stopUntil, cutUntil time.Duration // killed, suspended, without messages
		to                             *node         // leader that it is connected to
		conn                           int
	}

	// packet is a message on a connection of a follower.
	packet struct {
		at                 time.Duration
		from, to, follower *node
		conn               int
		message            *quota.Message
	}

	use struct {
		at    time.Duration
		units float64
	}
)

func newFleet(t *rapid.T, rate float64, b quota.Bounds) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Minute, bounds: b}
	f.list = workspaces(rate, "hot")
	for i := range fleetSize {
		n := &node{name: fmt.Sprint("host-", i)}
		f.nodes, f.hosts = append(f.nodes, n), append(f.hosts, topo.Host{Name: n.name})
		f.boot(n)
	}
	return f
}

func (f *fleet) boot(n *node) {
	n.lim = &quota.Limiter{Self: n.name, Bounds: f.bounds, Hosts: func() []topo.Host { return f.hosts }}
	n.lim.SetWorkspaces(n.time(), f.list)
	n.to = nil
}

func (n *node) time() time.Time { return origin.Add(n.mono) }

func (f *fleet) runs(n *node) bool { return f.now >= n.downUntil && f.now >= n.stopUntil }

func (f *fleet) linked(a, b *node) bool { return f.now >= max(a.cutUntil, b.cutUntil) }

// update is called before each use of a host's limiter, as internal/host does.
func (f *fleet) update(n *node) *quota.Limiter {
	n.lim.Update(n.time(), f.now, n == f.leader && f.now < f.leaseEnd, fleetSize)
	return n.lim
}

func (f *fleet) kill(n *node, d time.Duration) {
	n.downUntil = f.now + d
	if n == f.leader {
		f.leader = nil
	}
	for _, o := range f.nodes {
		if o.to == n && f.linked(o, n) {
			o.lim.Unfollow(f.now, true)
			o.to = nil
		}
	}
	if n.to != nil && f.linked(n, n.to) {
		n.to.lim.Leave(n.name)
	}
	f.boot(n)
}

// advance moves the time on by a step, with the work of all hosts.
func (f *fleet) advance() {
	f.now += step
	f.ideal = min(f.ideal+f.list[0].Quota.Rate*step.Seconds(), f.list[0].Quota.Burst)
	if l := f.leader; l != nil && f.runs(l) && f.linked(l, l) {
		f.leaseEnd = f.now + leaseTime
	}
	if n := f.nodes[f.rng.IntN(fleetSize)]; f.now > f.leaseEnd && f.runs(n) && f.linked(n, n) {
		f.leader, f.leaseEnd = n, f.now+leaseTime
		f.terms++
	}
	for i, n := range f.nodes {
		if !f.runs(n) {
			continue
		}
		n.mono += step
		if (f.now/step+time.Duration(i))%5 == 0 {
			f.update(n)
			f.connect(n)
			f.report(n)
		}
	}
	f.deliver()
}

func (f *fleet) connect(n *node) {
	if n.to != nil {
		broken := !f.linked(n, n.to) || n.to.downUntil > f.now
		if n.to == f.leader && (!broken || f.rng.IntN(8) > 0) {
			return
		}
		n.lim.Unfollow(f.now, false)
		n.to.lim.Leave(n.name)
		n.to = nil
	}
	if l := f.leader; l != nil && n != l && f.linked(n, l) && f.runs(l) {
		n.to = l
		n.conn++
		l.lim.Join(n.name)
		n.lim.Follow(fmt.Sprint(f.terms))
	}
}

// report sends the messages that are due from a host to its leader, and from a leader to its followers.
func (f *fleet) report(n *node) {
	if n.to != nil {
		f.send(n, n.to, n, n.lim.Report(n.time()))
	}
	for _, o := range f.nodes {
		if o.to == n {
			f.send(n, o, o, n.lim.Message(n.time(), o.name))
		}
	}
}

func (f *fleet) send(from, to, follower *node, m *quota.Message) {
	if m == nil {
		return
	}
	p := packet{f.now + time.Duration(f.rng.IntN(20))*time.Millisecond, from, to, follower, follower.conn, m}
	switch fault := f.rng.IntN(20); {
	case !f.faulty || fault > 2:
	case fault == 0:
		return
	default:
		if late := p; fault == 1 {
			f.packets = append(f.packets, late)
		}
		p.at += time.Duration(f.rng.IntN(4000)) * time.Millisecond
	}
	f.packets = append(f.packets, p)
}

func (f *fleet) deliver() {
	due := f.packets
	f.packets = nil
	for _, p := range due {
		switch {
		case p.at > f.now || f.now < p.to.stopUntil && f.now >= p.to.downUntil:
			f.packets = append(f.packets, p)
		case !f.linked(p.from, p.to) || !f.runs(p.to) || p.conn != p.follower.conn || p.follower.to == nil:
		case p.to == p.follower:
			f.update(p.to).Apply(p.to.time(), p.message)
			f.send(p.to, p.from, p.follower, p.to.lim.Report(p.to.time()))
		default:
			f.update(p.to).Receive(p.to.time(), p.follower.name, p.message)
			f.send(p.to, p.from, p.follower, p.to.lim.Message(p.to.time(), p.follower.name))
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
	l, ok := n.to, false
	switch {
	case units == plain:
		if _, ok = f.update(n).ChargePlain(n.time(), "hot", units); l != nil {
			f.send(n, l, n, n.lim.Report(n.time()))
		}
	case l != nil && f.runs(l) && f.linked(n, l) && (!f.faulty || f.rng.IntN(30) > 0):
		_, _, ok = f.update(l).Charge(l.time(), "hot", units)
	default:
		_, _, ok = f.update(n).Charge(n.time(), "hot", units)
	}
	if ok {
		f.uses = append(f.uses, use{f.now, units})
	}
}

// load makes calls of so many units arrive at some of the hosts, and with flood one of each kind at each host.
func (f *fleet) load(units float64, hosts int, flood bool) {
	for units > 0 {
		cost := []float64{long, short, plain}[f.rng.IntN(3)]
		if units < cost && f.rng.Float64() > units/cost {
			break
		}
		units -= cost
		f.call(f.nodes[f.rng.IntN(hosts)], cost)
	}
	for i := 0; flood && i < 3*fleetSize; i++ {
		f.call(f.nodes[i/3], []float64{long, short, plain}[i%3])
	}
}

// checkUse fails if a window that begins at or after since has more units than the bound allows.
func (f *fleet) checkUse(t *rapid.T, since time.Duration) {
	q := f.list[0].Quota
	bound := (q.Rate*window.Seconds()+q.Burst)*(1+f.bounds.Overage) + f.bounds.Slack
	var sum float64
	first := 0
	for _, u := range f.uses {
		sum += u.units
		for ; f.uses[first].at <= u.at-window || f.uses[first].at < min(since, u.at); first++ {
			sum -= f.uses[first].units
		}
		if u.at >= since && sum > bound {
			t.Fatalf("%.0f units until %s, the bound is %.0f", sum, u.at, bound)
		}
	}
}

// checkShares fails if hosts together use more than the whole rate.
func (f *fleet) checkShares(t *rapid.T) {
	var sum float64
	for _, n := range f.nodes {
		if f.runs(n) {
			sum += f.update(n).Share()
		}
	}
	if sum > 1.001 {
		t.Fatalf("%.3f of the rate is in use at %s", sum, f.now)
	}
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

// Guards against more use than the bound allows in any window, and against a part of the rate that is used twice,
// whatever fails: the leader, other hosts or all are killed, cut off or suspended; messages are lost, late or repeated.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, b := rapid.SampledFrom([]float64{29_000, 240_000, 1_050_000}).Draw(t, "rate"), bounds
		if rate > 100_000 && rapid.Bool().Draw(t, "tight") {
			b = tight
		}
		f := newFleet(t, rate, b)
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
				f.checkShares(t)
				if i%every == every-1 {
					f.disturb(t, profile)
				}
				f.load(demand*step.Seconds(), fleetSize, flood && i%2 == 0)
			}
		}
		f.checkUse(t, 0)
	})
}

// Guards against a quota that refuses calls within it while nothing is disturbed, however the clients move.
func TestCallsWithinQuotaAreServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{29_000, 240_000, 1_050_000}).Draw(t, "rate")
		f := newFleet(t, rate, bounds)
		for range 200 {
			f.advance()
		}
		for range 15 {
			hosts := rapid.SampledFrom([]int{1, 4, fleetSize}).Draw(t, "hosts")
			f.rng.Shuffle(fleetSize, func(i, j int) { f.nodes[i], f.nodes[j] = f.nodes[j], f.nodes[i] })
			for range 60 {
				f.advance()
				f.load(rate/1.8*step.Seconds(), hosts, false)
			}
		}
		if share := float64(len(f.uses)) / float64(f.within); share < 0.97 {
			t.Fatalf("%.4f of %d calls were allowed", share, f.within)
		}
	})
}

// Guards against hosts that go on with the accounts of a higher quota after a configuration has lowered it.
func TestLoweredQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 1_050_000, bounds)
		run := func(steps int) {
			for range steps {
				f.advance()
				f.load(3*1_050_000*step.Seconds(), fleetSize, false)
			}
		}
		run(rapid.IntRange(60, 300).Draw(t, "before"))
		f.list = workspaces(29_000, "hot")
		for _, i := range f.rng.Perm(fleetSize) {
			f.nodes[i].lim.SetWorkspaces(f.nodes[i].time(), f.list)
			run(f.rng.IntN(2))
		}
		since := f.now + step
		run(200)
		f.checkUse(t, since)
	})
}
