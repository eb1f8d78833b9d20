package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// Of limitEngines engines and plainUpstreams upstreams of a plain service, most state a limit after statedAfter.
	// The rule counts from contactTime later on, over limitWindow.
	limitHosts     = 6
	limitEngines   = 12
	plainUpstreams = 3
	statedAfter    = 2 * time.Second
	contactTime    = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitRun       = 16 * time.Second
	modelRate      = 50 // calls per second
	plainRate      = 20
	serviceTime    = 60 * time.Millisecond
	maxPlainWait   = 500 * time.Millisecond
)

type (
	// limitFleet is a set of hosts that send calls to upstreams of which some state a limit.
	limitFleet struct {
		hosts   []*limitHost
		engines []*topo.Upstream
		plain   []*topo.Upstream
		limits  map[string]float64 // by upstream
		// notice returns what an upstream that has no limit states, by the time since the start.
		notice    func(u string, since time.Duration) topo.Notice
		started   time.Time
		conns     []*link.Conn
		ctx       context.Context
		mu        sync.Mutex
		arrivals  map[string][]time.Time
		byHost    map[hostPair][]time.Time
		stated    map[hostPair][]time.Time // responses with a departure or a hold
		abandoned int                      // calls that no upstream got
		calls     int
	}

	hostPair struct{ host, upstream string }

	limitHost struct {
		tickets  *ticketService
		balancer *entry.Balancer
		notices  *notice.Table
		sent     notice.Position // of what the source of changes was sent
		received notice.Position // of what it has sent
	}
)

func newLimitFleet(limits map[string]float64) *limitFleet {
	f := &limitFleet{
		started: time.Now(), limits: limits, arrivals: make(map[string][]time.Time),
		byHost: make(map[hostPair][]time.Time), stated: make(map[hostPair][]time.Time),
	}
	for i := range limitEngines {
		f.engines = append(f.engines, &topo.Upstream{
			ID: fmt.Sprint("e", i), Service: "llm", Boot: 1, Slots: 8, Models: []topo.Resident{{Name: "m"}},
		})
	}
	for i := range plainUpstreams {
		f.plain = append(f.plain, &topo.Upstream{ID: fmt.Sprint("p", i), Service: "plain", Boot: 1, Slots: 8})
	}
	for i := range limitHosts {
		f.hosts = append(f.hosts, f.newHost(i))
	}
	return f
}

func (f *limitFleet) newHost(i int) *limitHost {
	h := &limitHost{tickets: testTickets()}
	h.notices = h.tickets.notices
	h.notices.Changed = func(c notice.Change) { h.tickets.tellLeader(c.Instance) }
	h.tickets.senders = func() int { return limitHosts }
	h.tickets.self = fmt.Sprint("host-", i)
	h.tickets.departed = func(string) bool { return false }
	h.tickets.loadAdapters = func([]sched.AdapterLoad) {}
	h.tickets.scheduler.SetConfig(&topo.Config{Services: map[string]topo.Service{
		"llm": {Name: "llm", Engine: &topo.EngineSpec{Slots: 8, KVTokens: 100_000, Models: []topo.Model{{Name: "m"}}}},
	}})
	h.tickets.scheduler.SetUpstreams(time.Now(), f.engines)
	h.balancer = &entry.Balancer{
		Upstreams: func(string) []*topo.Upstream { return f.plain }, Notices: h.notices,
		LimitShare: h.tickets.hostShare,
	}
	return h
}

// lead makes a host the leader and connects the others to it, or disconnects all if i is negative.
func (f *limitFleet) lead(i int) {
	for _, c := range f.conns {
		c.Close()
	}
	f.conns = nil
	for j, h := range f.hosts {
		if i < 0 || j == i {
			continue
		}
		ours, theirs := net.Pipe()
		c, s := link.NewConn(ours), link.NewConn(theirs)
		f.conns = append(f.conns, c, s)
		leader := f.hosts[i].tickets
		go func() {
			if hello, err := s.Receive(); err == nil {
				leader.serveFollower(s, hello)
			}
		}()
		_ = h.tickets.join(c)
		h.tickets.mu.Lock()
		h.tickets.leaderConn = c
		h.tickets.mu.Unlock()
		go func() {
			_ = h.tickets.readReplies(c)
			h.tickets.mu.Lock()
			if h.tickets.leaderConn == c {
				h.tickets.leaderConn = nil
			}
			h.tickets.mu.Unlock()
		}()
	}
}

// exchange passes on what hosts know, as their requests for changes do.
func (f *limitFleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(600 * time.Millisecond)
		now := time.Now()
		f.mu.Lock()
		hosts := slices.Clone(f.hosts)
		f.mu.Unlock()
		source := hosts[0]
		for _, h := range hosts[1:] {
			var changes *notice.State
			changes, h.sent = h.notices.Changes(now, h.sent)
			source.notices.Merge(now, changes, h.tickets.self)
			changes, h.received = source.notices.Changes(now, h.received)
			h.notices.Merge(now, changes, source.tickets.self)
		}
	}
}

// serve counts a call at an upstream, responds to it, and returns what the response states.
func (f *limitFleet) serve(h *limitHost, u string) topo.Notice {
	pair := hostPair{h.tickets.self, u}
	sent := time.Now()
	f.mu.Lock()
	f.arrivals[u] = append(f.arrivals[u], sent)
	f.byHost[pair] = append(f.byHost[pair], sent)
	var n topo.Notice
	if limit, limited := f.limits[u]; limited && sent.Sub(f.started) > statedAfter {
		n.Limited, n.Limit = true, limit
	} else if f.notice != nil {
		n = f.notice(u, sent.Sub(f.started))
	}
	f.mu.Unlock()
	if n.Hold > 0 {
		n.Partial = true
		time.Sleep(time.Millisecond)
	} else {
		time.Sleep(serviceTime)
	}
	f.mu.Lock()
	if n.Hold > 0 || n.Leaving {
		f.stated[pair] = append(f.stated[pair], time.Now())
	}
	f.mu.Unlock()
	h.notices.Apply(time.Now(), sent, topo.Instance{ID: u, Boot: 1}, n)
	return n
}

func (f *limitFleet) abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandoned++
}

// callModel tries a call at two engines at most.
func (f *limitFleet) callModel(h *limitHost, name string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var tried []string
	for range 2 {
		dec, err := h.tickets.RequestTicket(ctx, sched.Request{
			Call: name, Service: "llm", Remaining: 2 * time.Second, TargetLatency: time.Second, Tried: tried,
			Spec: topo.CallSpec{Model: "m", PromptTokens: 200, OutputTokens: 50},
		})
		if err != nil || dec.Kind != sched.Granted {
			break
		}
		if n := f.serve(h, dec.Grant.Engine); n.Hold > 0 {
			h.tickets.Release(dec.Grant, sched.NotExecuted)
			tried = append(tried, dec.Grant.Engine)
			continue
		}
		h.tickets.FirstEvent(dec.Grant, nil)
		h.tickets.Release(dec.Grant, sched.Served)
		return
	}
	f.abandon()
}

func (f *limitFleet) callPlain(h *limitHost) {
	var tried []string
	for range 2 {
		u, wait := h.balancer.Pick(time.Now(), "plain", tried, maxPlainWait)
		if u == nil {
			break
		}
		time.Sleep(wait)
		if !h.notices.Admit(time.Now(), u.Instance()) {
			h.balancer.Done(time.Now(), u.ID, false)
			continue
		}
		n := f.serve(h, u.ID)
		h.balancer.Done(time.Now(), u.ID, false)
		if n.Hold == 0 {
			return
		}
		tried = append(tried, u.ID)
	}
	f.abandon()
}

// run sends calls at random hosts for limitRun, and calls step every half second.
func (f *limitFleet) run(rng *rand.Rand, step func(i int)) {
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	go f.exchange(ctx)
	for _, h := range f.hosts {
		go h.tickets.run(ctx)
	}
	var calls sync.WaitGroup
	for i := 0; time.Since(f.started) < limitRun; i++ {
		if i%(modelRate/2) == 0 {
			step(i / (modelRate / 2))
		}
		h := f.hosts[rng.IntN(len(f.hosts))]
		calls.Go(func() { f.callModel(h, fmt.Sprint("m", i)) })
		f.calls++
		if rng.Float64() < float64(plainRate)/modelRate {
			f.calls++
			plain := f.hosts[rng.IntN(len(f.hosts))]
			calls.Go(func() { f.callPlain(plain) })
		}
		time.Sleep(time.Second / modelRate)
	}
	time.Sleep(3 * time.Second)
	calls.Wait()
	cancel()
	f.lead(-1)
	time.Sleep(3 * time.Second)
}

// worst returns the largest number of calls in a window beyond what the limit of the upstream allows.
func (f *limitFleet) worst(u string) (excess, calls int) {
	limit := f.limits[u]
	allowed := int(1.5*limit*limitWindow.Seconds() + 5)
	list := f.arrivals[u]
	excess = -allowed
	for i, at := range list {
		if at.Sub(f.started) < statedAfter+contactTime {
			continue
		}
		n, _ := slices.BinarySearchFunc(list[i:], at.Add(limitWindow), time.Time.Compare)
		if n-allowed > excess {
			excess, calls = n-allowed, n
		}
	}
	return excess, calls
}

// firstStatement returns when the upstream first stated a departure or a hold, since the start.
func (f *limitFleet) firstStatement(u string) time.Duration {
	first := limitRun
	for pair, list := range f.stated {
		if pair.upstream == u {
			first = min(first, list[0].Sub(f.started))
		}
	}
	return first
}

// lastArrival returns when the upstream got its last call, since the start.
func (f *limitFleet) lastArrival(u string) time.Duration {
	list := f.arrivals[u]
	if len(list) == 0 {
		return 0
	}
	return list[len(list)-1].Sub(f.started)
}

// Guards against upstreams that get more calls than the limit that they state, which counts for all hosts together:
// engines, whose calls one leader schedules, and upstreams of plain services, which every host balances alone.
func TestStatedLimits(t *testing.T) {
	half := map[string]float64{"p0": 3, "p1": 2}
	for i := range limitEngines * 2 / 3 {
		half[fmt.Sprint("e", i)] = 1 + float64(i)/3
	}
	all := map[string]float64{"p0": 3, "p1": 2, "p2": 0.5}
	for i := range limitEngines {
		all[fmt.Sprint("e", i)] = 0.3 + float64(i)/4
	}
	for _, tt := range []struct {
		name         string
		limits       map[string]float64
		step         func(f *limitFleet, i int)
		maxAbandoned float64 // share of the calls
	}{
		{"steady leader", half, func(*limitFleet, int) {}, 0.02},
		{"every upstream is limited", all, func(*limitFleet, int) {}, 0.6},
		{"leader changes every 2 s", half, func(f *limitFleet, i int) {
			if i%4 == 0 {
				f.lead(i / 4 % limitHosts)
			}
		}, 0.05},
		{"no leader for 5 s", half, func(f *limitFleet, i int) {
			switch i {
			case 10:
				f.lead(-1)
			case 20:
				f.lead(3)
			}
		}, 0.05},
		{"hosts restart in turn", half, func(f *limitFleet, i int) {
			if n := i / 4; i%4 == 0 && n > 0 && n < limitHosts {
				h := f.newHost(n)
				f.mu.Lock()
				f.hosts[n] = h
				f.mu.Unlock()
				go h.tickets.run(f.ctx)
				f.lead(0)
			}
		}, 0.05},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(tt.limits)
				f.lead(0)
				f.run(rand.New(rand.NewPCG(1, 2)), func(i int) { tt.step(f, i) })
				for u, limit := range tt.limits {
					if excess, calls := f.worst(u); excess > 0 {
						t.Errorf("%s states %.2f calls a second and got %d in %v, %d too many", u, limit, calls,
							limitWindow, excess)
					}
				}
				if share := float64(f.abandoned) / float64(f.calls); share > tt.maxAbandoned {
					t.Errorf("%.3f of the calls got no upstream, want at most %.2f", share, tt.maxAbandoned)
				}
			})
		})
	}
}

// Guards against calls beyond a limit that the leader has not heard of, because its process has just started, while the
// hosts whose calls it schedules know it.
func TestLimitsKnownToFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls, limit, mostCalls = 60, 1, 3 // in the 2 s for which a call waits
		f := newLimitFleet(nil)
		follower := f.hosts[1]
		for _, e := range f.engines {
			follower.notices.Apply(time.Now(), time.Time{}, e.Instance(), topo.Notice{Limited: true, Limit: limit})
		}
		go f.hosts[0].tickets.run(t.Context())
		f.lead(0)
		for i := range calls {
			go f.callModel(follower, fmt.Sprint("m", i))
		}
		time.Sleep(5 * time.Second)
		f.lead(-1)
		time.Sleep(3 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for u, list := range f.arrivals {
			if len(list) > mostCalls {
				t.Errorf("%s states %d call a second and got %d", u, limit, len(list))
			}
		}
	})
}

// Guards against calls to an upstream after it has stated that it is leaving: by the host that got the response, from
// then on, and by any other host once it has been told, whatever its list of upstreams or a leader says.
func TestStatedDepartures(t *testing.T) {
	const toldWithin = 1500 * time.Millisecond
	for _, tt := range []struct {
		name string
		step func(f *limitFleet, i int)
	}{
		{"steady leader", func(*limitFleet, int) {}},
		{"leader changes every second", func(f *limitFleet, i int) {
			if i%2 == 0 {
				f.lead(i / 2 % limitHosts)
			}
		}},
		{"no leader", func(f *limitFleet, _ int) { f.lead(-1) }},
		{"list is sent again", func(f *limitFleet, _ int) {
			for _, h := range f.hosts {
				h.tickets.withScheduler(func(now time.Time, k *sched.Scheduler) { k.SetUpstreams(now, f.engines) })
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(nil)
				leaving := []string{"e3", "e4", "p0"}
				f.notice = func(u string, since time.Duration) topo.Notice {
					return topo.Notice{Leaving: since > statedAfter && slices.Contains(leaving, u)}
				}
				f.lead(0)
				f.run(rand.New(rand.NewPCG(3, 4)), func(i int) { tt.step(f, i) })
				for pair, list := range f.stated {
					for _, at := range f.byHost[pair] {
						if at.After(list[0]) {
							t.Errorf("%s sent a call to %s %v after its statement", pair.host, pair.upstream,
								at.Sub(list[0]))
						}
					}
				}
				for _, u := range leaving {
					if last := f.lastArrival(u); last > f.firstStatement(u)+toldWithin {
						t.Errorf("%s got a call %v after the start, its first statement came after %v", u, last,
							f.firstStatement(u))
					}
				}
				if f.abandoned > f.calls/50 {
					t.Errorf("%d of %d calls got no upstream", f.abandoned, f.calls)
				}
			})
		})
	}
}

// reportingEngine responds to every status report in the same way.
type reportingEngine struct {
	EngineClient
	report *topo.Report
	stated topo.Notice
	err    error
}

func (e reportingEngine) Report(context.Context, *topo.Upstream) (*topo.Report, topo.Notice, error) {
	return e.report, e.stated, e.err
}

// Guards against a leader that ignores what engines state in responses to its status reports, and against reports that
// end what was stated in responses to calls.
func TestStatedInReports(t *testing.T) {
	const hold = time.Second
	id := topo.Instance{ID: "e0", Boot: 1}
	report := &topo.Report{Boot: 1}
	for _, tt := range []struct {
		name   string
		before topo.Notice // in the response to a call
		engine reportingEngine
		want   topo.Notice
	}{
		{
			"limit",
			topo.Notice{},
			reportingEngine{report: report, stated: topo.Notice{Limited: true, Limit: 2}},
			topo.Notice{Limited: true, Limit: 2},
		},
		{
			"leaving",
			topo.Notice{},
			reportingEngine{report: report, stated: topo.Notice{Leaving: true}},
			topo.Notice{Leaving: true},
		},
		{
			"hold",
			topo.Notice{},
			reportingEngine{stated: topo.Notice{Hold: hold}, err: errNoConnection},
			topo.Notice{Hold: hold},
		},
		{
			"nothing stated after a limit",
			topo.Notice{Limited: true, Limit: 2},
			reportingEngine{report: report},
			topo.Notice{Limited: true, Limit: 2},
		},
		{
			"nothing stated after a hold",
			topo.Notice{Hold: hold},
			reportingEngine{report: report},
			topo.Notice{Hold: hold},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tickets := testTickets()
				tickets.notices.Apply(time.Now(), time.Now(), id, tt.before)
				r := &reconciler{tickets: tickets, engines: tt.engine, stats: tickets.stats}
				r.fetchReport(t.Context(), &engineState{up: topo.Upstream{ID: id.ID, Boot: id.Boot}})
				limit, limited := tickets.notices.LimitOf(id)
				got := topo.Notice{
					Limited: limited, Limit: limit, Leaving: tickets.notices.IsLeaving(id),
					Hold: tickets.notices.HoldWait(time.Now(), id),
				}
				if got != tt.want {
					t.Errorf("the table has %+v, want %+v", got, tt.want)
				}
			})
		})
	}
}

// Guards against calls to an upstream that has asked this host for a pause, against a crowd of calls when the pause
// ends, and against an upstream that takes down a service by asking again and again.
func TestStatedHolds(t *testing.T) {
	const hold = 1500 * time.Millisecond
	for _, tt := range []struct {
		name         string
		held         []string
		until        time.Duration // when they serve again
		maxAbandoned float64
		leads        bool
	}{
		{"two engines, one upstream", []string{"e3", "e4", "p0"}, 8 * time.Second, 0.02, true},
		{"without a leader", []string{"e3", "e4", "p0"}, 8 * time.Second, 0.02, false},
		{"for ever", []string{"e2", "e3", "e4", "p0"}, time.Hour, 0.05, true},
		{"nowhere left to go", []string{"p0", "p1", "p2"}, 5 * time.Second, 0.2, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLimitFleet(nil)
				f.notice = func(u string, since time.Duration) topo.Notice {
					if since > statedAfter && since < tt.until && slices.Contains(tt.held, u) {
						return topo.Notice{Hold: hold}
					}
					return topo.Notice{}
				}
				if tt.leads {
					f.lead(0)
				}
				f.run(rand.New(rand.NewPCG(5, 6)), func(int) {})
				for pair, list := range f.stated {
					for i, stated := range list {
						n := 0
						for _, at := range f.byHost[pair] {
							if at.After(stated) && at.Before(stated.Add(hold)) {
								t.Errorf("%s sent a call to %s %v after it had asked for a pause",
									pair.host, pair.upstream, at.Sub(stated))
							}
							if at.After(stated) && at.Before(stated.Add(hold+50*time.Millisecond)) {
								n++
							}
						}
						if last := i == len(list)-1; last && n > 1 {
							t.Errorf("%s sent %d calls at once to %s as the pause ended", pair.host, n, pair.upstream)
						}
					}
				}
				if f.abandoned > int(tt.maxAbandoned*float64(f.calls)) {
					t.Errorf("%d of %d calls got no upstream", f.abandoned, f.calls)
				}
				if last := f.lastArrival("p0"); tt.until < limitRun && last < limitRun-2*time.Second {
					t.Errorf("p0 got its last call %v after the start, though it serves again", last)
				}
			})
		})
	}
}

// Guards against upstreams that get more calls than the limit that they state because hosts that have lost the store,
// or those that still reach it, forget that the others send calls too.
func TestLimitShares(t *testing.T) {
	const hosts = 6
	for _, tt := range []struct {
		name string
		lost int // hosts that lose the store
	}{
		{"no host loses the store", 0},
		{"one host", 1},
		{"half of the hosts", 3},
		{"all hosts but one", 5},
		{"all hosts", 6},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, hosts)
				time.Sleep(2 * time.Second)
				worst := 0.0
				for i := range 50 {
					if i == 1 {
						for _, h := range f.hosts[:tt.lost] {
							h.cut.Store(true)
						}
					}
					if i == 41 {
						f.heal()
					}
					sum := 0.0
					for _, h := range f.hosts {
						sum += h.relay.tickets.hostShare()
					}
					worst = max(worst, sum)
					time.Sleep(500 * time.Millisecond)
				}
				if worst > 1.01 {
					t.Errorf("all hosts together use %.2f times a limit", worst)
				}
				cancel()
				time.Sleep(15 * time.Second)
			})
		})
	}
}
