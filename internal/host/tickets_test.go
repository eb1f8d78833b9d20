package host

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

func testTickets() *ticketService {
	return newTicketService("h1", &elect.Elector{LeadershipChanged: func(bool) {}}, &stats.Set{}, zerolog.Nop())
}

// Guards against calls to an engine that this host knows to have left, because a leader that does not know it yet has
// granted them.
func TestGrantOfDepartedEngine(t *testing.T) {
	for _, tt := range []struct {
		name     string
		do       func(s *stub.Store)
		engine   string
		released bool
	}{
		{"in use", func(*stub.Store) {}, "e1", false},
		{"not known here yet", func(s *stub.Store) { s.Delete("up/e2") }, "e3", false},
		{"leaving", func(s *stub.Store) { s.Set("up/e1", "llm leaving") }, "e1", true},
		{"removed", func(s *stub.Store) { s.Delete("up/e1") }, "e1", true},
		{"invalid entry", func(s *stub.Store) { s.Set("up/e1", "?") }, "e1", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withCache(t, func(s *stub.Store, sc *storeCache) {
				tt.do(s)
				time.Sleep(time.Second)
				tickets := testTickets()
				tickets.departed = sc.departed
				tickets.scheduler.SetConfig(&topo.Config{Services: map[string]topo.Service{"llm": {
					Name: "llm", Engine: &topo.EngineSpec{Slots: 8, KVTokens: 1000, Models: []topo.Model{{Name: "m"}}},
				}}})
				tickets.scheduler.SetUpstreams(time.Now(), []*topo.Upstream{
					{ID: "local", Service: "llm", Slots: 8, Models: []topo.Resident{{Name: "m"}}},
				})
				ours, leader := net.Pipe()
				tickets.leaderConn = link.NewConn(ours)
				var released atomic.Bool
				go func() {
					c := link.NewConn(leader)
					for {
						m, err := c.Receive()
						if err != nil {
							return
						}
						if m.Kind == link.Release {
							released.Store(m.Ticket == 7)
						}
						if m.Kind != link.TicketRequest {
							continue
						}
						grant := sched.Grant{Ticket: 7, Engine: tt.engine}
						granted := &sched.Decision{Kind: sched.Granted, Call: m.Call, Grant: grant}
						if c.Send(&link.Message{Kind: link.Reply, Call: m.Call, Decision: granted}) != nil {
							return
						}
					}
				}()
				go func() { _ = tickets.readReplies(tickets.leaderConn) }()
				decision, err := tickets.RequestTicket(context.Background(), sched.Request{
					Call: "c", Service: "llm", Remaining: time.Second, TargetLatency: time.Second,
					Spec: topo.CallSpec{Model: "m", PromptTokens: 10, OutputTokens: 10},
				})
				want := tt.engine
				if tt.released {
					want = "local"
				}
				if err != nil || decision.Grant.Engine != want {
					t.Errorf("%+v, %v, want a grant of %s", decision, err, want)
				}
				time.Sleep(time.Second)
				if released.Load() != tt.released {
					t.Errorf("ticket of the leader released: %v, want %v", released.Load(), tt.released)
				}
				tickets.leaderConn.Close()
			})
		})
	}
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
