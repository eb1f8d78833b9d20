package quota

import (
	"maps"
	"slices"
	"time"
)

const (
	// stampInterval is the time between two stamps that the leader sends to a follower.
	stampInterval = time.Second
	// lendTime is how long after it has sent a stamp a leader may count the part of a follower that echoes it. A
	// follower takes its part back when its last echo is older than that. It allows for one stamp that is lost or late.
	lendTime = 2 * time.Second
	// pushInterval is the least time between two messages of the leader to a follower about the state of accounts.
	pushInterval = 250 * time.Millisecond
	// reporterAge is how long a follower is told the state of an account after it has last reported charges to it.
	reporterAge = 10 * time.Second
	// toldTolerance is by how much the end of a wait may differ from what a follower was told.
	toldTolerance = 50 * time.Millisecond
)

// member is a follower as its leader knows it.
type member struct {
	stamp    int64 // newest stamp that it has echoed, 0 if there is none
	sequence uint64
	stampAt  time.Duration
	pushedAt time.Time
	wantsAck bool                 // it needs an acknowledgement before the next stamp
	released bool                 // it has been told that this host does not lead
	reported map[string]time.Time // when it last reported charges of a workspace
	told     map[string]told
}

func newMember() *member {
	return &member{reported: make(map[string]time.Time), told: make(map[string]told)}
}

// counts reports whether the follower's part of the rate belongs to the leader.
func (f *member) counts(boot time.Duration) bool {
	return f.stamp > 0 && boot+shareInterval < time.Duration(f.stamp)+lendTime
}

// receive applies a report and returns the charges that are new.
func (f *member) receive(now time.Time, boot, since time.Duration, m *Message) []Usage {
	if stamp := time.Duration(m.Stamp); stamp >= since && stamp <= boot {
		f.stamp = max(f.stamp, m.Stamp)
	}
	if m.Sequence <= f.sequence {
		return nil
	}
	f.sequence = m.Sequence
	for _, c := range m.Charges {
		f.reported[c.Workspace] = now
	}
	return m.Charges
}

// message returns the next message to the follower, or nil if there is nothing to tell it yet.
func (f *member) message(now time.Time, boot time.Duration, s *accounts) *Message {
	m := &Message{}
	stampDue := f.stampAt == 0 || boot-f.stampAt >= stampInterval
	if stampDue || now.Sub(f.pushedAt) >= pushInterval {
		m.Standings = f.changes(now, s)
	}
	if ack := f.wantsAck && now.Sub(f.pushedAt) >= pushInterval; !stampDue && len(m.Standings) == 0 && !ack {
		return nil
	}
	if stampDue {
		m.Stamp, f.stampAt = int64(boot), boot
	}
	m.Sequence, f.wantsAck, f.pushedAt = f.sequence, false, now
	return m
}

// changes returns the accounts whose state differs from what the follower was told.
func (f *member) changes(now time.Time, s *accounts) []Standing {
	var out []Standing
	for _, name := range slices.Sorted(maps.Keys(f.reported)) {
		if now.Sub(f.reported[name]) > reporterAge {
			delete(f.reported, name)
			delete(f.told, name)
			out = append(out, Standing{Workspace: name, Scarce: true})
			continue
		}
		standing := s.standing(now, name)
		until := now.Add(time.Duration(standing.WaitMS) * time.Millisecond)
		old, known := f.told[name]
		waits, waited := standing.WaitMS > 0, old.until.After(now)
		moved := (waits || waited) && until.Sub(old.until).Abs() > toldTolerance
		if known && old.scarce == standing.Scarce && !moved {
			continue
		}
		f.told[name] = told{until: until, scarce: standing.Scarce}
		out = append(out, standing)
	}
	return out
}
