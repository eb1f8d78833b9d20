package host

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/poison"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

func testTickets() *ticketService {
	e := &elect.Elector{LeadershipChanged: func(bool) {}}
	return newTicketService("h1", e, &notice.Table{}, &stats.Set{}, zerolog.Nop())
}

// serveGrants answers the ticket requests of a host as a leader that grants them all, and reports whether the grant was
// released.
func serveGrants(c *link.Conn, grant sched.Grant, released *atomic.Bool) {
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		if m.Kind == link.Release {
			released.Store(m.Ticket == grant.Ticket)
		}
		if m.Kind != link.TicketRequest {
			continue
		}
		decision := &sched.Decision{Kind: sched.Granted, Call: m.Call, Grant: grant}
		if c.Send(&link.Message{Kind: link.Reply, Call: m.Call, Decision: decision}) != nil {
			return
		}
	}
}

// Guards against calls to an engine that this host knows to have left or to have started again with other software, and
// against calls that this host knows to crash engines, because a leader that does not know it yet has granted them.
func TestGrantOfOutdatedLeader(t *testing.T) {
	nothing := func(*stub.Store, *ticketService) {}
	quarantine := func(_ *stub.Store, tickets *ticketService) {
		records := []poison.Record{{Segments: []uint64{1}, Active: true, Version: 1}}
		tickets.mergePoison(&poison.State{Records: records}, "another host")
	}
	for _, tt := range []struct {
		name  string
		do    func(s *stub.Store, tickets *ticketService)
		grant sched.Grant
		want  string // engine of the call, or empty if it is rejected
	}{
		{"in use", nothing, sched.Grant{Engine: "e1"}, "e1"},
		{"not known here yet", nothing, sched.Grant{Engine: "e3"}, "e3"},
		{
			"leaving", func(s *stub.Store, _ *ticketService) { s.Set("up/e1", "llm leaving") },
			sched.Grant{Engine: "e1"},
			"local",
		},
		{"removed", func(s *stub.Store, _ *ticketService) { s.Delete("up/e1") }, sched.Grant{Engine: "e1"}, "local"},
		{
			"invalid entry", func(s *stub.Store, _ *ticketService) { s.Set("up/e1", "?") },
			sched.Grant{Engine: "e1"},
			"local",
		},
		{
			"started again with other software", func(_ *stub.Store, tickets *ticketService) {
				tickets.scheduler.SetUpstreams(time.Now(), []*topo.Upstream{
					{ID: "e1", Boot: 2, Service: "llm", Slots: 8, Software: "v2"},
					{ID: "local", Service: "llm", Slots: 8, Software: "v1", Models: []topo.Resident{{Name: "m"}}},
				})
			},
			sched.Grant{Engine: "e1", Boot: 1, Software: "v1"},
			"local",
		},
		{"quarantined", quarantine, sched.Grant{Engine: "e1"}, ""},
		{"quarantined, to be tested", quarantine, sched.Grant{Engine: "e1", Probe: true}, "e1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withCache(t, func(s *stub.Store, sc *storeCache) {
				tickets := testTickets()
				tickets.departed = sc.departed
				tickets.scheduler.SetConfig(&topo.Config{Services: map[string]topo.Service{"llm": {
					Name: "llm", Engine: &topo.EngineSpec{Slots: 8, KVTokens: 1000, Models: []topo.Model{{Name: "m"}}},
				}}})
				tickets.scheduler.SetUpstreams(time.Now(), []*topo.Upstream{
					{ID: "local", Service: "llm", Slots: 8, Models: []topo.Resident{{Name: "m"}}},
				})
				tt.do(s, tickets)
				time.Sleep(time.Second)
				ours, leader := net.Pipe()
				tickets.leaderConn = link.NewConn(ours)
				var released atomic.Bool
				tt.grant.Ticket = 7
				go serveGrants(link.NewConn(leader), tt.grant, &released)
				go func() { _ = tickets.readReplies(tickets.leaderConn) }()
				spec := topo.CallSpec{Model: "m", PromptTokens: 10, Segments: []topo.PromptSegment{{ID: 1}, {ID: 2}}}
				decision, err := tickets.RequestTicket(context.Background(), sched.Request{
					Call: "c", Service: "llm", Remaining: time.Second, TargetLatency: time.Second, Spec: spec,
				})
				if err != nil || decision.Grant.Engine != tt.want {
					t.Errorf("%+v, %v, want a grant of %q", decision, err, tt.want)
				}
				time.Sleep(time.Second)
				if want := tt.want != tt.grant.Engine; released.Load() != want {
					t.Errorf("ticket of the leader released: %v, want %v", released.Load(), want)
				}
				tickets.leaderConn.Close()
			})
		})
	}
}

// Guards against calls that wait for a decision of a suspended leader until its lease ends, although an engine is free.
func TestCallWaitsAtSuspendedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		host := streamTickets(&stub.Store{}, "v1")
		machine := &fleetHost{}
		ours, theirs := net.Pipe()
		c, leader := link.NewConn(ours), link.NewConn(&fleetConn{theirs, machine, &fleetHost{}})
		host.leaderConn = c
		defer c.Close()
		go func() {
			leader.Acknowledge(ackDelay, func(error) {})
			for m, err := leader.Receive(); err == nil; m, err = leader.Receive() {
				if m.Kind == link.TicketRequest {
					waiting := &sched.Decision{Kind: sched.Waiting, Call: m.Call}
					_ = leader.Send(&link.Message{Kind: link.Reply, Call: m.Call, Decision: waiting})
					machine.silent.Store(true)
				}
			}
		}()
		go func() { _ = host.readReplies(c) }()
		go host.run(t.Context())
		time.AfterFunc(time.Second, func() { begin(host, host, "a", "v1") })
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		decision, err := host.RequestTicket(ctx, sched.Request{
			Call: "c", Service: "llm", Remaining: 20 * time.Second, TargetLatency: 10 * time.Second,
			Spec: topo.CallSpec{Model: "m", PromptTokens: 10},
		})
		if took := time.Since(start); err != nil || decision.Kind != sched.Granted || took > 2*time.Second {
			t.Errorf("%+v, %v after %v, want a grant within a second of the silence", decision, err, took)
		}
	})
}

// Guards against a leader that counts a call at an engine for good, because the grant arrived as its caller left.
func TestGrantAsCallEnds(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received := make(chan link.Message, 4)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		dec := cbor.NewDecoder(nc)
		for {
			var m link.Message
			if dec.Decode(&m) != nil {
				return
			}
			received <- m
		}
	}()
	c, err := link.Dial(context.Background(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := testTickets()
	reply := make(chan sched.Decision, 2)
	reply <- sched.Decision{Kind: sched.Waiting}
	reply <- sched.Decision{Kind: sched.Granted, Grant: sched.Grant{Ticket: 7}}
	s.releaseUnread(c, reply)
	select {
	case m := <-received:
		if m.Kind != link.Release || m.Ticket != 7 || m.Outcome != sched.Canceled {
			t.Errorf("message %+v, want the release of ticket 7", m)
		}
	case <-time.After(5 * time.Second):
		t.Error("the ticket is not released")
	}
}

// Guards against a crash of the leader when the old connection of a follower ends after its newer one was released.
func TestOldConnectionOfFollowerEndsLast(t *testing.T) {
	s := testTickets()
	old := &follower{tickets: map[uint64]bool{1: true}, waiting: map[string]bool{"a": true}}
	successor := &follower{tickets: map[uint64]bool{1: true}, waiting: map[string]bool{}}
	s.followers["h2"] = successor
	s.releaseFollower("h2", successor)
	s.releaseFollower("h2", old)
	if len(s.followers) > 0 {
		t.Errorf("%d followers left", len(s.followers))
	}
}
