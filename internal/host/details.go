package host

import (
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

// detailsInterval is the interval at which a host with a leader asks for details of upstreams: what is resident on
// engines. Only a host that schedules calls needs them sooner; the others ask for them when they lose the leader, and
// meanwhile use what they have. At 5 s the details were half of all bytes between 78 hosts.
const detailsInterval = 20 * time.Second

// maxListAge is how long a list of all items is sent to hosts that know none, although there are newer changes, which
// they get with their next request. A fleet that starts asks for it at once, and compressing it takes much longer than
// sending it.
const maxListAge = time.Second

// sentList is a list of all items of a prefix that was sent.
type sentList struct {
	link.PrefixState

	at          time.Duration // boot time, 0 if there is none
	confirmedAt time.Duration // boot time as of which the upstreams were complete
}

// sentRequest is what a host asked for in a request for the changes of a prefix.
type sentRequest struct {
	since        store.Version
	details      bool
	detailsSince int64
}

// schedulesCalls reports whether this host schedules calls now: for others as the leader, or alone without one.
func (sc *storeCache) schedulesCalls() bool { return sc.schedules == nil || sc.schedules() }

// wantsDetails reports whether a host should fetch the details of a prefix now.
func (sc *storeCache) wantsDetails(p *prefixState, schedules bool) bool {
	if p.prefix != sc.platform.UpstreamPrefix {
		return false
	}
	return schedules || sc.now()-p.detailsAt >= detailsInterval
}

// addDetails records as of which revision the details of a prefix are complete after a list or changes.
func (sc *storeCache) addDetails(p *prefixState, l *link.PrefixState) {
	if p.prefix != sc.platform.UpstreamPrefix {
		p.detailRevision = max(p.detailRevision, l.Revision)
		return
	}
	if l.DetailRevision > 0 {
		p.detailRevision, p.detailsAt = max(p.detailRevision, l.DetailRevision), sc.now()
	}
}

// addsDetails reports whether an event that is not newer than the copy has newer details of an item.
func (p *prefixState) addsDetails(e *store.Event) bool {
	it, ok := p.items[e.Key]
	return ok && !e.Deleted && it.Revision < e.Revision
}

// sameRouting reports whether two states of an entry of the store differ at most in details, which say nothing of where
// calls may be sent. Entries that are not upstreams have no details.
func sameRouting(a, b *topo.Upstream) bool {
	return a != nil && b != nil && a.ID == b.ID && a.Boot == b.Boot && a.Service == b.Service &&
		a.Software == b.Software && a.Addr == b.Addr && a.Domain == b.Domain && a.Leaving == b.Leaving &&
		a.Slots == b.Slots
}
