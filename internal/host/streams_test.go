package host

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/vers"
)

// streamTimeout is the timeout of the route, half of the time for which records are kept.
const streamTimeout = 8 * time.Second

// streamTickets returns a ticket service that has just started, whose scheduler knows one engine of each version.
func streamTickets(s store.Store, versions ...string) *ticketService {
	tk := testTickets()
	tk.departed = func(string) bool { return false }
	tk.streams = &streamStore{
		store: s, elector: tk.elector, tickets: tk, stats: tk.stats, log: tk.log,
		refresh: func(context.Context) error { return nil }, knownEra: func() int64 { return 0 },
		hosts: func() int { return 6 }, first: func() bool { return true },
	}
	tk.streams.init()
	tk.scheduler.SetConfig(&topo.Config{
		Routes: []topo.Route{{Kind: topo.Stream, Resumable: true, Timeout: streamTimeout}},
		Services: map[string]topo.Service{"llm": {
			Name: "llm", Engine: &topo.EngineSpec{Slots: 8, KVTokens: 1000, Models: []topo.Model{{Name: "m"}}},
		}},
	})
	list(tk, versions...)
	return tk
}

// list replaces the engines that a scheduler knows.
func list(tk *ticketService, versions ...string) {
	var ups []*topo.Upstream
	for _, v := range versions {
		ups = append(ups, &topo.Upstream{
			ID: "engine " + v, Service: "llm", Slots: 8, Software: v, Models: []topo.Resident{{Name: "m"}},
		})
	}
	tk.withScheduler(func(now time.Time, k *sched.Scheduler) { k.SetUpstreams(now, ups) })
}

// takeUp requests a ticket for a take-up of the stream that an attempt began, and returns the version of the engine
// that is granted, or the reason of the rejection.
func takeUp(t *testing.T, tk *ticketService, resumes string) string {
	t.Helper()
	decision, err := tk.RequestTicket(t.Context(), sched.Request{
		Call: "take-up of " + resumes, Service: "llm", Remaining: 4 * time.Second, TargetLatency: time.Second,
		Spec: topo.CallSpec{Model: "m", PromptTokens: 10}, TakesUp: true, Resumes: resumes, Resumable: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if decision.Kind == sched.Granted {
		tk.Release(decision.Grant, sched.Served)
		return decision.Grant.Software
	}
	return decision.Reason
}

// begin sends a stream through a host, which tells the leader of its first event.
func begin(tk *ticketService, leader *ticketService, id, software string) {
	tk.mu.Lock()
	tk.openTickets[7] = &sched.OpenTicket{Request: sched.Request{Call: id, Service: "llm", Resumable: true}}
	tk.mu.Unlock()
	g := sched.Grant{Ticket: 7, Engine: "engine " + software, Software: software}
	tk.FirstEvent(g, nil)
	tk.Release(g, sched.Served)
	if leader != tk {
		m := &link.Message{Kind: link.FirstEvent, Streams: []vers.Record{{Stream: vers.Stream(id), Software: software}}}
		leader.handle(&follower{}, m)
	}
}

// withLeader runs f in a bubble with the ticket service of a leader that saves the records of streams.
func withLeader(t *testing.T, f func(t *testing.T, s *stub.Store, leader *ticketService)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := newFleet(ctx, 1)
		h := fl.hosts[0]
		leader := streamTickets(&lateStore{Store: h})
		leader.elector = h.cache.elector
		leader.streams.elector, leader.streams.knownEra = h.cache.elector, h.cache.era
		go leader.streams.run(ctx)
		time.Sleep(5 * time.Second)
		if !h.cache.elector.IsLeader() {
			t.Fatal("the host does not lead")
		}
		f(t, fl.store, leader)
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against streams that go on at another software version than the one that began them when their callers take
// them up, and against take-ups that are rejected although the version is known or can only be one: at the host that
// began them, at another one, and after the loss of the leader or of all hosts.
func TestTakeUpOfStreams(t *testing.T) {
	const unknown, gone = sched.ReasonVersionUnknown, sched.ReasonVersionGone
	type world struct {
		t            *testing.T
		ctx          context.Context
		store        *stub.Store
		leader, host *ticketService
	}
	wait := func(d time.Duration) { time.Sleep(d) }
	nothing := func(world) {}
	for _, tt := range []struct {
		name   string
		listed string // versions in service; the stream a begins at the first one, b at the last one
		before func(w world)
		// fresh are the versions that a host knows that has just started and has no leader; empty is the host of the
		// streams.
		fresh string
		a, b  string // what take-ups get
	}{
		{"at the same host", "v1 v2", nothing, "", "v1", "v2"},
		{"at another host, without a leader", "v1 v2", func(world) { wait(time.Second) }, "v1 v2", "v1", "v2"},
		{"all hosts are lost at once", "v1 v2", nothing, "v1 v2", unknown, unknown},
		{"all hosts are lost, one version has left", "v1 v2", func(world) { wait(time.Second) }, "v2", gone, "v2"},
		{"all hosts are lost at once, one version has left", "v1 v2", func(w world) {
			wait(time.Second)
			begin(w.host, w.leader, "c", "v1")
		}, "v2", gone, "v2"},
		{"one version at all times", "v2", func(world) { wait(time.Second) }, "v2", "v2", "v2"},
		{"the second version begins later", "v2", func(w world) {
			list(w.leader, "v1", "v2")
			wait(time.Second)
		}, "v1 v2", "v2", "v2"},
		{
			"all hosts are lost, then the second version joins", "v2", func(world) { wait(time.Second) },
			"v1 v2", "v2", "v2",
		},
		{
			"the second version is listed, but no leader has seen any", "v2", func(w world) {
				wait(time.Second)
				w.store.Delete(streamPrefix + "single/llm")
			}, "v1 v2", unknown, unknown,
		},
		{"the versions have been one for as long as streams last", "v1 v2", func(w world) {
			list(w.leader, "v2")
			wait(4 * streamTimeout)
		}, "v2", "v2", "v2"},
		{"the store is away", "v1 v2", func(w world) {
			wait(time.Second)
			w.store.Do(func() { w.store.Fault = func(string) error { return store.ErrNotExecuted } })
		}, "v2", unknown, unknown},
		{"the store was away, and is back", "v1 v2", func(w world) {
			w.store.Do(func() { w.store.Fault = func(string) error { return store.ErrNotExecuted } })
			wait(time.Second)
			w.store.Do(func() { w.store.Fault = nil })
			wait(2 * time.Second)
		}, "v1 v2", "v1", "v2"},
		{"no host leads, then the host of the streams is lost", "v1 v2", func(w world) {
			go w.host.streams.run(w.ctx)
			begin(w.host, w.host, "c", "v1")
			wait(time.Second)
			if got := takeUp(w.t, streamTickets(w.store, "v1", "v2"), "c"); got != "v1" {
				w.t.Errorf("take-up of a stream that began without a leader: %q, want v1", got)
			}
			again := streamTickets(w.store, "v1", "v2")
			go again.streams.run(w.ctx)
			begin(again, again, "d", "v2")
			wait(time.Second)
			if got := takeUp(w.t, streamTickets(w.store, "v1", "v2"), "c"); got != "v1" {
				w.t.Errorf("take-up after the host has started again: %q, want v1", got)
			}
		}, "v1 v2", "v1", "v2"},
		{"the store loses its answers", "v1 v2", func(w world) {
			w.store.Do(func() { w.store.LoseResponse = func(kind string) bool { return kind == "commit" } })
			wait(3 * time.Second)
			w.store.Do(func() { w.store.LoseResponse = nil })
		}, "v1 v2", "v1", "v2"},
		{"the store is restored from a copy without the records", "v1 v2", func(w world) {
			older := w.store.Copy()
			wait(time.Second)
			w.store.Restore(older)
			wait(10 * time.Second)
		}, "v1 v2", "v1", "v2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
				versions := strings.Fields(tt.listed)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				w := world{t, ctx, s, leader, streamTickets(s, versions...)}
				list(leader, versions...)
				time.Sleep(saveInterval / 2)
				begin(w.host, leader, "a", versions[0])
				begin(w.host, leader, "b", versions[len(versions)-1])
				tt.before(w)
				at := w.host
				if tt.fresh != "" {
					at = streamTickets(s, strings.Fields(tt.fresh)...)
				}
				for id, want := range map[string]string{"a": tt.a, "b": tt.b} {
					if got := takeUp(t, at, id); got != want {
						t.Errorf("take-up of %s: %q, want %q", id, got, want)
					}
				}
				w.store.Do(func() { w.store.Fault = nil })
			})
		})
	}
}

// Guards against a leader that answers for the store without asking it, while hosts that it does not hear save records
// there, and against followers that ask the store although their leader does, or a leader that asks for each call.
func TestLeaderLooksStreamsUp(t *testing.T) {
	const callers = 40
	for _, versions := range []string{"v1 v2", "v2"} {
		t.Run(versions, func(t *testing.T) {
			withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
				list(leader, strings.Fields(versions)...)
				followers := []*ticketService{streamTickets(s, "v1", "v2"), streamTickets(s, "v1", "v2")}
				for _, f := range followers {
					follow(t, f, leader)
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				unheard := streamTickets(s, "v1", "v2")
				go unheard.streams.run(ctx)
				begin(unheard, unheard, "a", "v2")
				time.Sleep(time.Second)
				if got := takeUp(t, followers[0], "a"); got != "v2" {
					t.Errorf("take-up of a stream that only its host and the store know: %q, want v2", got)
				}
				want := map[string]string{"v1 v2": sched.ReasonVersionUnknown, "v2": "v2"}[versions]
				reads := s.Calls("list")
				var wg sync.WaitGroup
				for i := range callers {
					time.Sleep(time.Second / callers)
					wg.Go(func() {
						if got := takeUp(t, followers[i%2], fmt.Sprint("unknown ", i)); got != want {
							t.Errorf("take-up of an unknown stream: %q, want %q", got, want)
						}
					})
				}
				wg.Wait()
				if n, most := s.Calls("list")-reads, int(time.Second/lookupInterval)+1; n > most {
					t.Errorf("%d reads of the store in a second, at most %d are allowed", n, most)
				}
				for _, f := range followers {
					if n := f.stats.Events.Get("stream_lookups"); n != nil {
						t.Errorf("%v reads by a follower", n)
					}
				}
			})
		})
	}
}

// Guards against streams of two software versions because a host goes on at the only version that it knows, while
// another one has been in service for a moment: with a list of upstreams that is old, but not too old to be used.
func TestTakeUpBesideNewVersion(t *testing.T) {
	for _, tt := range []struct {
		name   string
		leads  bool
		before func(*stub.Store)
		after  string // entry of the new engine at the time of the take-up; empty if it has left
	}{
		{"leader", true, nil, "llm ready m software:v2"},
		{"host without a leader", false, nil, "llm ready m software:v2"},
		{"host without a leader, the engine has left", false, nil, ""},
		{"host without a leader, which cannot read the store", false, func(s *stub.Store) {
			s.Fault = func(string) error { return store.ErrNotExecuted }
		}, "llm ready m software:v2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &stub.Store{}
				s.Set("conf/main", "5")
				s.Set("up/e1", "llm ready m software:v1")
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					s.Do(func() { s.Fault = nil })
					cancel()
					time.Sleep(15 * time.Second)
				}()
				tk := listeningTickets(ctx, s, tt.leads)
				time.Sleep(5 * streamTimeout)
				if got := takeUp(t, tk, "a"); got != "v1" {
					t.Errorf("take-up while one version serves: %q, want v1", got)
				}
				// A watch that has returned changes is followed by a pause.
				s.Set("up/e1", "llm ready m n software:v1")
				time.Sleep(10 * time.Millisecond)
				s.Set("up/e2", "llm ready m software:v2")
				if tt.after == "" {
					s.Delete("up/e2")
				}
				if tt.before != nil {
					s.Do(func() { tt.before(s) })
				}
				time.Sleep(10 * time.Millisecond)
				if got := takeUp(t, tk, "b"); got != sched.ReasonVersionUnknown {
					t.Errorf("take-up of a stream that may be of either version: %q", got)
				}
			})
		})
	}
}

// listeningTickets returns the ticket service of a host that follows the store, which leads or has no leader.
func listeningTickets(ctx context.Context, s *stub.Store, leads bool) *ticketService {
	sc := testHost(s, topo.Host{Name: "h1", Ready: true})
	tk := streamTickets(s)
	tk.streams.refresh, tk.streams.knownEra = sc.refresh, sc.era
	if leads {
		tk.elector, tk.streams.elector = sc.elector, sc.elector
	}
	sc.onChange = func() {
		tk.withScheduler(func(now time.Time, k *sched.Scheduler) {
			k.SetUpstreams(now, sc.Upstreams(""))
			for _, v := range sc.takeRetired() {
				k.Streams.SetInService(now, v.service, v.software)
			}
		})
	}
	go sc.elector.Run(ctx)
	go tk.streams.run(ctx)
	for _, prefix := range sc.prefixes() {
		go sc.run(ctx, prefix, func() bool { return true })
	}
	return tk
}

// lateStore executes its next transaction late, and gives no response to it.
type lateStore struct {
	store.Store
	late atomic.Bool
}

func (s *lateStore) Commit(ctx context.Context, t store.Txn) (store.Version, error) {
	if s.late.Swap(false) {
		time.AfterFunc(3*time.Second, func() { _, _ = s.Store.Commit(context.Background(), t) })
		return store.Version{}, store.ErrOutcomeUnknown
	}
	return s.Store.Commit(ctx, t)
}

// Guards against records that a transaction without a response removes when it is executed late.
func TestLateWriteOfRecords(t *testing.T) {
	withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
		list(leader, "v1", "v2")
		time.Sleep(time.Second)
		leader.streams.store.(*lateStore).late.Store(true)
		begin(leader, leader, "a", "v1")
		time.Sleep(saveInterval + time.Millisecond)
		begin(leader, leader, "b", "v2")
		time.Sleep(5 * time.Second)
		fresh := streamTickets(s, "v1", "v2")
		for id, want := range map[string]string{"a": "v1", "b": "v2"} {
			if got := takeUp(t, fresh, id); got != want {
				t.Errorf("take-up of %s: %q, want %q", id, got, want)
			}
		}
	})
}

// Guards against a store that gets records while all streams can only go on at one version, or more than the note that
// says so, against more than one write in each interval, and against records that stay in the store when they are of
// no use any more.
func TestStreamRecordsInStore(t *testing.T) {
	withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
		list(leader, "v1")
		serve := func(d time.Duration) (commits, records, notes int) {
			before := s.Calls("commit")
			for range d / (50 * time.Millisecond) {
				begin(leader, leader, strconv.Itoa(rand.Int()), "v1")
				time.Sleep(50 * time.Millisecond)
			}
			items, _, err := s.List(t.Context(), streamPrefix)
			if err != nil {
				t.Fatal(err)
			}
			for _, it := range items {
				if strings.HasPrefix(it.Key, recordsPrefix) {
					records++
				}
			}
			return s.Calls("commit") - before, records, len(items) - records
		}
		if commits, records, notes := serve(10 * time.Second); commits != 1 || records != 0 || notes != 1 {
			t.Errorf("one version: %d transactions, %d keys of records, %d notes", commits, records, notes)
		}
		list(leader, "v1", "v2")
		commits, records, notes := serve(10 * time.Second)
		// A span of 10 s may touch one interval more than it has.
		if most := int(10*time.Second/saveInterval) + 1; commits == 0 || commits > most || records == 0 || notes != 1 {
			t.Errorf("two versions: %d transactions, want 1 to %d, %d keys of records, %d notes",
				commits, most, records, notes)
		}
		list(leader, "v1")
		serve(2 * streamTimeout)
		if commits, records, notes := serve(4 * streamTimeout); records != 0 || notes != 1 {
			t.Errorf("one version again: %d transactions, %d keys of records, %d notes", commits, records, notes)
		}
		if commits, _, _ := serve(10 * time.Second); commits != 0 {
			t.Errorf("one version for a while: %d transactions", commits)
		}
	})
}

// Guards against streams that go on at an engine which has started again under its id with another software version,
// because the host's list of upstreams is too old to say so and names one version.
func TestStartCheckWithOldList(t *testing.T) {
	for _, tt := range []struct {
		versions                 string
		current, resumable, want bool
	}{
		{"v1", true, true, false}, {"v1", false, true, true}, {"v1", false, false, false}, {"v1 v2", true, true, true},
	} {
		tk := streamTickets(&stub.Store{}, strings.Fields(tt.versions)...)
		tk.isCurrent = func() bool { return tt.current }
		decision, err := tk.RequestTicket(t.Context(), sched.Request{
			Call: "c", Service: "llm", Remaining: 4 * time.Second, TargetLatency: time.Second,
			Spec: topo.CallSpec{Model: "m", PromptTokens: 10}, Resumable: tt.resumable,
		})
		if err != nil || decision.Kind != sched.Granted || decision.Grant.CheckStart != tt.want {
			t.Errorf("%+v: %+v, %v", tt, decision, err)
		}
	}
}

// Guards against records of a large fleet that are saved only after the lease of a silent leader has ended, when they
// are of no use any more, and against saves of all hosts that take more of what the store allows than their share.
func TestSavesOfFleet(t *testing.T) {
	const run, pause = 30 * time.Second, 20 * time.Millisecond
	for hosts, writes := range map[int]float64{6: 400, 82: 1200, 370: 3200} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &stub.Store{}
			tk := streamTickets(s, "v1", "v2")
			tk.streams.hosts, tk.streams.writesPerS = func() int { return hosts }, writes
			go tk.streams.run(ctx)
			for i := range run / pause {
				begin(tk, tk, fmt.Sprint(i), "v1")
				time.Sleep(pause)
			}
			saves := float64(s.Calls("commit"))
			if all := saves * float64(hosts) / run.Seconds(); all > saveShare*writes*1.05 {
				t.Errorf("%.0f writes a second of %d hosts, the store allows %.0f", all, hosts, writes)
			}
			if delay := time.Duration(float64(run) / saves); delay > time.Second {
				t.Errorf("records of %d hosts are saved every %v", hosts, delay)
			}
		})
	}
}

// follow connects a host to a leader. The returned function suspends the leader, as far as the host can tell.
func follow(t *testing.T, host, leader *ticketService) (suspend func()) {
	t.Helper()
	machine := &fleetHost{}
	ours, theirs := net.Pipe()
	c := link.NewConn(&fleetConn{ours, &fleetHost{}, machine})
	go func() {
		c := link.NewConn(&fleetConn{theirs, machine, &fleetHost{}})
		if m, err := c.Receive(); err == nil {
			leader.serveFollower(c, m)
		}
	}()
	host.mu.Lock()
	hello := host.hello()
	host.leaderConn = c
	host.mu.Unlock()
	if err := c.Send(hello); err != nil {
		t.Fatal(err)
	}
	go func() { _ = host.readReplies(c) }()
	t.Cleanup(c.Close)
	return func() { machine.silent.Store(true) }
}

// Guards against streams that cannot be taken up at other hosts because they began while the leader was suspended: its
// connections stay open, so its followers left it to the leader to save the records. Guards also against followers of a
// leader in good order that save records too.
func TestStreamsBesideSuspendedLeader(t *testing.T) {
	withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
		host := streamTickets(s, "v1", "v2")
		list(leader, "v1", "v2")
		suspend := follow(t, host, leader)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go host.streams.run(ctx)
		begin(host, host, "a", "v1")
		time.Sleep(10 * time.Second)
		begin(host, host, "b", "v1")
		time.Sleep(time.Second)
		if n := host.stats.Events.Get("stream_saves"); n != nil {
			t.Errorf("%v saves by the follower of a leader in good order", n)
		}
		suspend()
		begin(host, host, "c", "v2")
		time.Sleep(time.Second)
		fresh := streamTickets(s, "v1", "v2")
		for id, want := range map[string]string{"a": "v1", "b": "v1", "c": "v2"} {
			if got := takeUp(t, fresh, id); got != want {
				t.Errorf("take-up of %s: %q, want %q", id, got, want)
			}
		}
	})
}

// Guards against streams that cannot be taken up because they began at a leader that is lost before a release, so that
// their records were neither at another host nor in the store.
func TestStreamsOfLostLeader(t *testing.T) {
	for leave := range 2 { // followers that leave before the leader is lost
		withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
			list(leader, "v1")
			var hosts []*ticketService
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for i := range 3 {
				h := streamTickets(s, "v1")
				h.self = fmt.Sprint("host-", i)
				follow(t, h, leader)
				go h.streams.run(ctx)
				hosts = append(hosts, h)
			}
			begin(leader, leader, "a", "v1")
			time.Sleep(time.Second)
			for i, h := range hosts {
				h.leaderConn.Close()
				h.mu.Lock()
				h.leaderConn = nil
				h.mu.Unlock()
				if i >= leave {
					list(h, "v1", "v2")
				}
				time.Sleep(time.Second)
			}
			if got := takeUp(t, hosts[2], "a"); got != "v1" {
				t.Errorf("take-up after %d followers have left: %q, want v1", leave, got)
			}
		})
	}
}

// Guards against a new leader that does not know the streams that began at the hosts that follow it, nor the speeds
// that the leader before it granted them with.
func TestFollowerTellsItsStreams(t *testing.T) {
	leader, host := streamTickets(&stub.Store{}, "v1", "v2"), streamTickets(&stub.Store{}, "v1", "v2")
	begin(host, host, "a", "v1")
	grant := sched.Grant{Ticket: 9, Engine: "slow", Boot: 3, Speed: 0.5, BaseCost: 26 * time.Microsecond}
	host.restore(sched.Request{Service: "llm"}, sched.Decision{Kind: sched.Granted, Grant: grant})
	ours, theirs := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := link.NewConn(theirs)
		if m, err := c.Receive(); err == nil {
			leader.serveFollower(c, m)
		}
	}()
	c := link.NewConn(ours)
	host.mu.Lock()
	hello := host.hello()
	host.mu.Unlock()
	if err := c.Send(hello); err != nil {
		t.Fatal(err)
	}
	c.Close()
	<-done
	if got := takeUp(t, leader, "a"); got != "v1" {
		t.Errorf("take-up: %q, want v1", got)
	}
	got := leader.scheduler.Speeds(time.Now())
	if len(got) != 1 || got[0].Engine != (topo.Instance{ID: "slow", Boot: 3}) || math.Abs(got[0].Speed-0.5) > 0.01 {
		t.Errorf("speeds at the new leader %+v, want one of 0.5", got)
	}
}
