package host

import "time"

// Shares of the drain time. A host learns of a departure within maxAgeShare + takeoverShare and the time of one call to
// the store; the rest is for a call that was granted just before: the leader's reply, connecting, and the way there.
const (
	confirmShare  = 0.25
	pollShare     = 0.3
	maxAgeShare   = 0.45
	takeoverShare = 0.15
)

// Origins of changes that no other host has sent.
const (
	originStore = "store"
	originGrace = "grace period" // the grace period after an outage has ended
)

type (
	// ageLimits bounds the age of a host's copy of the upstreams.
	ageLimits struct {
		Confirm  time.Duration // longest time between two responses of the store to a host that watches it
		Poll     time.Duration // how long a host holds a request for changes while there is nothing to report
		Max      time.Duration // age beyond which a host watches the store itself
		Takeover time.Duration // longest random delay after Max, so that not all hosts turn to the store at once
	}

	// origin says where a change of the copy came from.
	origin struct {
		via string        // the store, or the name or address of a host
		age time.Duration // how old the copy was, an upper bound of the delay of the change
	}
)

// newAgeLimits returns the limits for the time within which departed upstreams must get no more calls.
func newAgeLimits(drain time.Duration) ageLimits {
	share := func(of float64) time.Duration { return time.Duration(of * float64(drain)) }
	return ageLimits{
		Confirm: share(confirmShare), Poll: share(pollShare), Max: share(maxAgeShare), Takeover: share(takeoverShare),
	}
}

// stopCalls records that this host makes no calls for a prefix, because its sources are current. So its next call is
// not taken for the end of an outage.
func (sc *storeCache) stopCalls(prefix string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.states[prefix]
	p.unreachable, p.failures = false, 0
	sc.outageAt = 0
}

// confirm records that the copy of a prefix is complete as of a boot time. It wakes the hosts that wait for changes,
// because they bound the age of their copies.
func (sc *storeCache) confirm(prefix string, at time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.states[prefix]
	if at <= p.confirmedAt {
		return
	}
	if prefix != sc.platform.UpstreamPrefix {
		p.confirmedAt = at
		return
	}
	wasOutage := sc.inOutage()
	p.confirmedAt = at
	if wasOutage && !sc.inOutage() {
		sc.outageEnd = sc.now()
	}
	sc.notify()
}

// isCurrent reports whether the copy of the upstreams is not older than the limit.
func (sc *storeCache) isCurrent() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	at := sc.states[sc.platform.UpstreamPrefix].confirmedAt
	return at > 0 && sc.now()-at <= sc.limits.Max
}

// origin returns the origin of changes that arrive now.
func (sc *storeCache) origin(p *prefixState, via string) origin {
	if p.confirmedAt == 0 {
		return origin{via: via}
	}
	return origin{via: via, age: sc.now() - p.confirmedAt}
}
