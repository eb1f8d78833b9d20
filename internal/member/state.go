package member

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// suspicionTime is how long a suspected member has to refute before it counts as dead.
	suspicionTime = 4 * time.Second
	// removeAfter exceeds the duration of a network partition between regions, which is minutes: dead members must
	// stay in the table so that both sides can contact each other afterwards.
	removeAfter = 30 * time.Minute
	// tombstoneTime is how long the incarnation of a removed member is kept, so that a stale record does not add it
	// again.
	tombstoneTime = 24 * time.Hour

	// Limits on the entries that peers can make a host store; the design size is 370 hosts, 40 pools and 800 upstreams.
	maxMembers    = 4096
	maxOwners     = 1024
	maxDepartures = 8192
	// With these limits, one ping has space for two records of maximum size: that of the sender, and the state that the
	// sender reports of the receiver.
	maxNameBytes = 48
	maxAddrBytes = 56
	maxURLBytes  = 96
	// maxSubjectBytes limits the names of pools and upstreams.
	maxSubjectBytes = 128
	// maxIncarnation keeps refutations, which add one to a received incarnation, from overflowing.
	maxIncarnation = 1 << 62
)

type (
	// state is the part of a Table without I/O, clock or lock: callers pass the time and hold Table.mu.
	state struct {
		self       wire.Member
		members    map[string]*record
		tombstones map[string]tombstone
		owners     map[string]wire.Owner
		departures map[string]wire.Departure
		// disputed holds members on whose death this host and a received record disagree: live here, but suspected or
		// dead in a full table, or dead or removed here, but not in the record. The received record is not merged; the
		// member is pinged with the suspected or dead one, and refutes it by a higher incarnation if it is alive.
		disputed map[string]wire.Member
		gossip   gossip
		// digest is the XOR of the hashes of all entries that should be equal on all hosts.
		digest uint64
		// version is incremented by each change of a member.
		version uint64
		// noRebroadcast keeps merged entries out of the gossip queue; without it, a joining host would send the whole
		// table on, which the others already have.
		noRebroadcast bool
		// pushNow is set by changes that are sent at once instead of with the next periodic ping.
		pushNow bool
	}

	record struct {
		member    wire.Member
		changedAt time.Time
		deadline  time.Time // when a suspected member counts as dead
	}

	tombstone struct {
		incarnation uint64
		createdAt   time.Time
	}
)

func newState(self wire.Member) *state {
	s := &state{
		self:       self,
		members:    make(map[string]*record),
		tombstones: make(map[string]tombstone),
		owners:     make(map[string]wire.Owner),
		departures: make(map[string]wire.Departure),
		disputed:   make(map[string]wire.Member),
	}
	s.digest = memberHash(self)
	s.gossip.addMember(self)
	return s
}

// merge applies a record received by gossip and reports whether it changed the state.
func (s *state) merge(now time.Time, m wire.Member) bool {
	if !valid(m) {
		return false
	}
	if m.Name == s.self.Name {
		return s.refute(m)
	}
	cur := s.members[m.Name]
	if cur == nil {
		return s.mergeUnknown(now, m)
	}
	if !supersedes(m, cur.member) {
		return false
	}
	s.set(now, m)
	return true
}

// mergeTable applies a record of a full table. After a network partition, the tables of the other side list all members
// of this side as dead, so a suspected or dead state is added to disputed instead of merged. A member that is dead here
// but not in the received table is added, too.
func (s *state) mergeTable(now time.Time, m wire.Member) {
	cur := s.members[m.Name]
	if !valid(m) || m.Name == s.self.Name || cur == nil || m.Incarnation != cur.member.Incarnation {
		s.merge(now, m)
		return
	}
	reportedDown := m.State == wire.Suspect || m.State == wire.Dead
	switch {
	case reportedDown && cur.member.State <= wire.Suspect:
		s.disputed[m.Name] = m
	case cur.member.State == wire.Dead && m.State != wire.Dead:
		s.disputed[m.Name] = cur.member
	default:
		s.merge(now, m)
	}
}

// refute raises the incarnation of this host above that of a received record that supersedes its own, and reports
// whether it did. The state stays alive or leaving.
func (s *state) refute(m wire.Member) bool {
	if !supersedes(m, s.self) {
		return false
	}
	s.digest ^= memberHash(s.self)
	s.self.Incarnation = m.Incarnation + 1
	s.version++
	s.digest ^= memberHash(s.self)
	s.gossip.addMember(s.self)
	return true
}

// mergeUnknown applies the record of a host that is not in the table and reports whether it was added.
func (s *state) mergeUnknown(now time.Time, m wire.Member) bool {
	stone, removed := s.tombstones[m.Name]
	switch {
	case removed && m.Incarnation <= stone.incarnation:
		if m.State != wire.Dead {
			// The record is outdated, or the member was removed during a long partition. It is disputed as dead: if the
			// member is alive, it refutes this with a higher incarnation.
			m.State, m.Incarnation = wire.Dead, stone.incarnation
			s.disputed[m.Name] = m
		}
		return false
	case len(s.members) >= maxMembers:
		return false
	}
	s.set(now, m)
	return true
}

// set stores a record, new or newer than the present one, and queues it for gossip.
func (s *state) set(now time.Time, m wire.Member) {
	cur := s.members[m.Name]
	if cur == nil {
		cur = &record{}
		s.members[m.Name] = cur
		delete(s.tombstones, m.Name)
	} else {
		s.digest ^= memberHash(cur.member)
	}
	*cur = record{member: m, changedAt: now, deadline: now.Add(suspicionTime)}
	s.digest ^= memberHash(m)
	s.version++
	s.pushNow = s.pushNow || m.State == wire.Leaving && !s.noRebroadcast
	delete(s.disputed, m.Name)
	if !s.noRebroadcast {
		s.gossip.addMember(m)
	}
}

// suspect records that a member did not respond to a probe: an alive member becomes suspected, a leaving one dead.
// Nothing happens if the incarnation has changed since the probe.
func (s *state) suspect(now time.Time, probed wire.Member) {
	cur := s.members[probed.Name]
	if cur == nil || cur.member.Incarnation != probed.Incarnation {
		return
	}
	m := cur.member
	switch m.State {
	case wire.Alive:
		m.State = wire.Suspect
	case wire.Leaving:
		m.State = wire.Dead
	default:
		return
	}
	s.set(now, m)
}

// expire marks members dead at the end of their suspicion, replaces long dead members by tombstones, and deletes old
// tombstones.
func (s *state) expire(now time.Time) {
	for name, r := range s.members {
		switch {
		case r.member.State == wire.Suspect && !now.Before(r.deadline):
			m := r.member
			m.State = wire.Dead
			s.set(now, m)
		case r.member.State == wire.Dead && now.Sub(r.changedAt) >= removeAfter:
			s.tombstones[name] = tombstone{incarnation: r.member.Incarnation, createdAt: now}
			delete(s.members, name)
			s.version++
		}
	}
	for name, stone := range s.tombstones {
		if now.Sub(stone.createdAt) >= tombstoneTime {
			delete(s.tombstones, name)
		}
	}
}

// extendSuspicions moves the deadlines of suspicions by d, the length of a pause in which this process could not
// receive refutations.
func (s *state) extendSuspicions(d time.Duration) {
	for _, r := range s.members {
		r.deadline = r.deadline.Add(d)
	}
}

// leave sets the state of this host to leaving; repeated calls have no effect.
func (s *state) leave() {
	if s.self.State == wire.Leaving {
		return
	}
	s.digest ^= memberHash(s.self)
	s.self.State = wire.Leaving
	s.version++
	s.digest ^= memberHash(s.self)
	s.gossip.addMember(s.self)
	s.pushNow = true
}

// setOwner stores o unless it is invalid, not newer than the stored owner or over the limit; it reports whether it did.
func (s *state) setOwner(o wire.Owner) bool {
	cur, ok := s.owners[o.Pool]
	switch {
	case o.Pool == "" || len(o.Pool) > maxSubjectBytes || len(o.Host) > maxNameBytes:
		return false
	case ok && o.Epoch <= cur.Epoch || !ok && len(s.owners) >= maxOwners:
		return false
	}
	if ok {
		s.digest ^= ownerHash(cur)
	}
	s.owners[o.Pool] = o
	s.digest ^= ownerHash(o)
	if !s.noRebroadcast {
		s.pushNow = true
		s.gossip.addOwner(o)
	}
	return true
}

// setDeparture stores d unless it is invalid, not newer than the stored one or over the limit; it reports whether it
// did.
func (s *state) setDeparture(d wire.Departure) bool {
	cur, ok := s.departures[d.Upstream]
	switch {
	case d.Upstream == "" || len(d.Upstream) > maxSubjectBytes:
		return false
	case ok && d.Seq <= cur.Seq || !ok && len(s.departures) >= maxDepartures:
		return false
	}
	if ok {
		s.digest ^= departureHash(cur)
	}
	s.departures[d.Upstream] = d
	s.digest ^= departureHash(d)
	if !s.noRebroadcast {
		s.pushNow = true
		s.gossip.addDeparture(d)
	}
	return true
}

// noReachableMembers reports whether the table has no other members or only dead ones.
func (s *state) noReachableMembers() bool {
	for _, r := range s.members {
		if r.member.State != wire.Dead {
			return false
		}
	}
	return true
}

// reportedState returns the suspected, dead or disputed record of a member, which a ping to the member carries so that
// it can refute it; it returns false if there is none.
func (s *state) reportedState(name string) (wire.Member, bool) {
	if m, ok := s.disputed[name]; ok {
		return m, true
	}
	if r := s.members[name]; r != nil {
		return r.member, r.member.State == wire.Suspect || r.member.State == wire.Dead
	}
	if stone, ok := s.tombstones[name]; ok {
		// A tombstone has no address. The receiver ignores the address but requires a valid one, so that of this host
		// is sent.
		return wire.Member{Name: name, Addr: s.self.Addr, Incarnation: stone.incarnation, State: wire.Dead}, true
	}
	return wire.Member{}, false
}

// table returns all entries, with the record of this host first. It includes dead members, so that stale records of
// them do not bring them back on the receiver.
func (s *state) table(revision int64) wire.Table {
	t := wire.Table{Revision: revision, Members: []wire.Member{s.self}}
	for _, r := range s.members {
		t.Members = append(t.Members, r.member)
	}
	for _, o := range s.owners {
		t.Owners = append(t.Owners, o)
	}
	for _, d := range s.departures {
		t.Departures = append(t.Departures, d)
	}
	return t
}

// supersedes reports whether a replaces b, a record of the same member: it has a higher incarnation, or the same one
// and a later state in the order alive, suspect, leaving, dead.
func supersedes(a, b wire.Member) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.State > b.State
}

// valid reports whether the fields of a record are within their limits and its address is IP:PORT.
func valid(m wire.Member) bool {
	if m.Name == "" || len(m.Name) > maxNameBytes || len(m.Domain) > maxNameBytes || len(m.CallerURL) > maxURLBytes {
		return false
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil || len(m.Addr) > maxAddrBytes {
		return false
	}
	return m.State <= wire.Dead && m.Incarnation < maxIncarnation
}

// memberHash returns what a member contributes to the digest. A suspected member counts as alive, and a dead one does
// not count at all, because hosts may differ in these states for a while without harm.
func memberHash(m wire.Member) uint64 {
	if m.State == wire.Dead {
		return 0
	}
	leaving := int64(0)
	if m.State == wire.Leaving {
		leaving = 1
	}
	return entryHash("member", m.Name, int64(m.Incarnation), leaving)
}

func ownerHash(o wire.Owner) uint64 { return entryHash("owner", o.Pool, o.Epoch, 0) }

func departureHash(d wire.Departure) uint64 { return entryHash("departure", d.Upstream, d.Seq, 0) }

func entryHash(kind, name string, a, b int64) uint64 {
	buf := make([]byte, 0, 2*maxSubjectBytes)
	buf = append(buf, kind...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(a))
	buf = binary.BigEndian.AppendUint64(buf, uint64(b))
	buf = append(buf, name...)
	return xxhash.Sum64(buf)
}
