package host

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
)

func testTickets() *ticketService {
	return newTicketService("h1", &elect.Elector{LeadershipChanged: func(bool) {}}, &stats.Set{}, zerolog.Nop())
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
