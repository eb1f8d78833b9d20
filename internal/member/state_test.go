package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/wire"
)

var startTime = time.Unix(1000, 0)

// member returns the record of host i.
func member(i int, inc uint64, state wire.MemberState) wire.Member {
	return wire.Member{Name: nameOf(i), Addr: addrOf(i), Incarnation: inc, State: state}
}

// Guards against stale records that bring back dead, leaving or removed members, and against believing a full table
// that lists a live member as dead.
func TestMergeKeepsTheNewestRecord(t *testing.T) {
	tests := []struct {
		name     string
		have     wire.Member
		after    time.Duration // between the two records
		received wire.Member
		table    bool // received in a full table instead of by gossip
		want     wire.MemberState
		wantInc  uint64
	}{
		{"stale alive after dead", member(1, 5, wire.Dead), 0, member(1, 5, wire.Alive), false, wire.Dead, 5},
		{"stale alive after leaving", member(1, 5, wire.Leaving), 0, member(1, 5, wire.Alive), false, wire.Leaving, 5},
		{"suspicion of leaving", member(1, 5, wire.Leaving), 0, member(1, 5, wire.Suspect), false, wire.Leaving, 5},
		{"new incarnation after dead", member(1, 5, wire.Dead), 0, member(1, 6, wire.Alive), false, wire.Alive, 6},
		{"old incarnation suspected", member(1, 5, wire.Alive), 0, member(1, 4, wire.Suspect), false, wire.Alive, 5},
		{"suspicion by gossip", member(1, 5, wire.Alive), 0, member(1, 5, wire.Suspect), false, wire.Suspect, 5},
		{"death in a table", member(1, 5, wire.Alive), 0, member(1, 5, wire.Dead), true, wire.Alive, 5},
		{"leaving in a table", member(1, 5, wire.Alive), 0, member(1, 5, wire.Leaving), true, wire.Leaving, 5},
		{"expired suspicion", member(1, 5, wire.Suspect), suspicionTime, member(1, 5, wire.Alive), true, wire.Dead, 5},
		{"stale after removal", member(1, 5, wire.Dead), removeAfter, member(1, 5, wire.Alive), true, wire.Dead, 0},
		{"new after removal", member(1, 5, wire.Dead), removeAfter, member(1, 6, wire.Alive), true, wire.Alive, 6},
		{"incarnation limit", member(1, 5, wire.Alive), 0, member(1, maxIncarnation, wire.Dead), false, wire.Alive, 5},
	}
	for _, tt := range tests {
		s := newState(member(0, 1, wire.Alive))
		s.merge(startTime, tt.have)
		s.expire(startTime.Add(tt.after))
		if tt.table {
			s.mergeTable(startTime.Add(tt.after), tt.received)
		} else {
			s.merge(startTime.Add(tt.after), tt.received)
		}
		got := wire.Member{State: wire.Dead}
		if r := s.members[nameOf(1)]; r != nil {
			got = r.member
		}
		if got.State != tt.want || got.Incarnation != tt.wantInc {
			t.Errorf("%s: got %+v, want state %d and incarnation %d", tt.name, got, tt.want, tt.wantInc)
		}
	}
}

// Guards against a host that accepts a record of its own death, and against a leaving host that becomes live again by
// refuting one.
func TestRefutationKeepsLeavingState(t *testing.T) {
	s := newState(member(0, 7, wire.Alive))
	s.leave()
	s.merge(startTime, member(0, 9, wire.Dead))
	if s.self.Incarnation != 10 || s.self.State != wire.Leaving {
		t.Errorf("got %+v, want incarnation 10 and leaving", s.self)
	}
	if s.digest != memberHash(s.self) {
		t.Error("the digest does not match the record of this host")
	}
}

// Guards against declaring live members dead when this process resumes after a pause longer than the suspicion time, in
// which it could not receive refutations.
func TestPausePostponesSuspicions(t *testing.T) {
	s := newState(member(0, 1, wire.Alive))
	s.merge(startTime, member(1, 1, wire.Suspect))
	s.extendSuspicions(time.Minute)
	s.expire(startTime.Add(time.Minute))
	if got := s.members[nameOf(1)].member.State; got != wire.Suspect {
		t.Errorf("got state %d right after the pause, want suspect", got)
	}
}

// Guards against pings of more than 600 bytes, and against updates that are sent forever or not at all.
func TestGossipIsBounded(t *testing.T) {
	s := newState(member(0, 1, wire.Alive))
	for i := range 200 {
		s.merge(startTime, member(i+1, 1<<50, wire.Alive))
		s.setOwner(wire.Owner{Pool: fmt.Sprint("pool-", i), Host: nameOf(i), Epoch: 1 << 40})
		s.setDeparture(wire.Departure{Upstream: fmt.Sprint("engine-", i), Seq: 1 << 40})
	}
	sent := make(map[string]int)
	for range 5000 {
		p := wire.Ping{From: s.self, Revision: 1 << 40, Digest: s.digest}
		s.gossip.fill(&p, 200)
		if size := sizeOf(p); size > maxPingBytes {
			t.Fatalf("ping of %d bytes", size)
		}
		for _, m := range p.Members {
			sent[m.Name]++
		}
	}
	if len(s.gossip.updates) != 0 || len(sent) != 201 {
		t.Errorf("%d updates left, %d members sent", len(s.gossip.updates), len(sent))
	}
	for name, n := range sent {
		if n != 16 {
			t.Errorf("%s was sent %d times, want 2*log2(200)", name, n)
		}
	}
}

// Guards against members that are not pinged for a long time, even while other members keep changing.
func TestEachTargetIsPingedWithinOneRound(t *testing.T) {
	for _, fanout := range []int{0, DefaultFanout} {
		rnd := rand.New(rand.NewPCG(1, 2))
		s := newState(member(0, 1, wire.Alive))
		for i := range 40 {
			s.merge(startTime, member(i+1, 1, wire.Alive))
		}
		var r ring
		last, pings := make(map[string]int), 0
		for i := range 2000 {
			// Host 40 alternates between dead and alive. It may be skipped, but must not delay the pings to others.
			s.merge(startTime, member(40, uint64(i+2), []wire.MemberState{wire.Dead, wire.Alive}[i%2]))
			m, ok := r.pick(s, fanout, rnd)
			if !ok {
				t.Fatal("no target")
			}
			if m.Name != nameOf(40) {
				pings++
			}
			last[m.Name] = pings
			for name := range targets(s, fanout) {
				// A target may come first in one round and last in the next, almost two rounds later.
				if name != nameOf(40) && i > 100 && pings-last[name] > 2*len(r.targets) {
					t.Fatalf("fanout %d: %s was not pinged for %d pings", fanout, name, pings-last[name])
				}
			}
		}
	}
}

// Guards against members that no other member pings, or too many: each has one predecessor per hash ring, and one
// member may be the predecessor on several rings.
func TestEachMemberHasEnoughPredecessors(t *testing.T) {
	const n, fanout = 60, DefaultFanout
	pingedBy := make(map[string]int)
	for i := range n {
		s := newState(member(i, 1, wire.Alive))
		for j := range n {
			s.merge(startTime, member(j, 1, wire.Alive))
		}
		for name := range targets(s, fanout) {
			pingedBy[name]++
		}
	}
	for i := range n {
		if k := pingedBy[nameOf(i)]; k < fanout/2 || k > fanout {
			t.Errorf("%s is pinged by %d members", nameOf(i), k)
		}
	}
}
