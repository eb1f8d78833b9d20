package member

import (
	"math/bits"
	"slices"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// maxPingBytes limits the encoded size of a ping.
	maxPingBytes = 600
	// pingOverheadBytes is reserved for the encoding of the CBOR map and the headers of its three lists.
	pingOverheadBytes = 12
	// An update is sent about retransmitFactor*log2(members) times.
	retransmitFactor = 2
)

type (
	// gossip queues updates to send with pings, one per subject, each for a limited number of times.
	gossip struct {
		updates map[string]*update
	}

	// update is a record or entry to send; exactly one of member, owner and departure is set.
	update struct {
		subject   string
		size      int
		sent      int
		member    *wire.Member
		owner     *wire.Owner
		departure *wire.Departure
	}
)

func (g *gossip) addMember(m wire.Member) {
	g.add(&update{subject: "m/" + m.Name, size: sizeOf(m), member: &m})
}

func (g *gossip) addOwner(o wire.Owner) {
	g.add(&update{subject: "o/" + o.Pool, size: sizeOf(o), owner: &o})
}

func (g *gossip) addDeparture(d wire.Departure) {
	g.add(&update{subject: "d/" + d.Upstream, size: sizeOf(d), departure: &d})
}

// add queues an update; it replaces an older one of the same subject.
func (g *gossip) add(u *update) {
	if g.updates == nil {
		g.updates = make(map[string]*update)
	}
	g.updates[u.subject] = u
}

// fill appends updates to p, those sent the fewest times first, and skips those that would make it exceed maxPingBytes.
// hosts is the number of members, this host included.
func (g *gossip) fill(p *wire.Ping, hosts int) {
	if len(g.updates) == 0 {
		return
	}
	remaining := maxPingBytes - pingOverheadBytes - sizeOf(p)
	limit := retransmitFactor * bits.Len(uint(hosts))
	for _, u := range g.sortedUpdates() {
		if u.size > remaining {
			continue
		}
		remaining -= u.size
		u.sent++
		if u.sent >= limit {
			delete(g.updates, u.subject)
		}
		switch {
		case u.member != nil:
			p.Members = append(p.Members, *u.member)
		case u.owner != nil:
			p.Owners = append(p.Owners, *u.owner)
		default:
			p.Departures = append(p.Departures, *u.departure)
		}
	}
}

// dropConverged drops the updates that the digest covers; it is called once the digests of other hosts match. Suspected
// and dead members are not part of the digest, so their updates stay.
func (g *gossip) dropConverged() {
	for subject, u := range g.updates {
		if u.member == nil || u.member.State == wire.Alive || u.member.State == wire.Leaving {
			delete(g.updates, subject)
		}
	}
}

// sortedUpdates returns the updates sorted by the number of transmissions, and then by subject, so that runs with the
// same random seed give the same result.
func (g *gossip) sortedUpdates() []*update {
	list := make([]*update, 0, len(g.updates))
	for _, u := range g.updates {
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b *update) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		if a.subject < b.subject {
			return -1
		}
		return 1
	})
	return list
}

// sizeOf returns the encoded size of v in bytes. The types of this package always encode; on an error, the result is
// large enough to keep v out of a ping.
func sizeOf(v any) int {
	b, err := wire.Marshal(v)
	if err != nil {
		return maxPingBytes
	}
	return len(b)
}
