package elect

import (
	"slices"
	"sync"
	"time"
)

const (
	// promiseTime is how long the leader may rely on a promise. A host that has made one sends no orders for this time
	// and the handover delay.
	promiseTime = leaseTime
	// maxListAge is how old the list of hosts may have been when the lease was last renewed.
	maxListAge = 2 * time.Second
	// maxMissing bounds the result of Missing.
	maxMissing = 5
)

// Promises records which hosts have lately promised this host, as the leader, to send no orders for a while; its
// exported field is set before use. A promise counts only while the lease holds, or if it follows an earlier one that
// still binds its host: otherwise the host may have led and have forgotten it by a restart. Times are those since boot,
// because hosts may be suspended.
type Promises struct {
	HandoverDelay time.Duration

	mu       sync.Mutex
	nonce    string                   // of the leadership that the promises are for
	asked    map[string]time.Duration // time at which the newest promise was asked for, by host
	hosts    []string                 // whose promises are needed
	listedAt time.Duration            // when hosts was last known to be complete
}

// SetHosts replaces the names of the other hosts that are registered, as of now.
func (p *Promises) SetHosts(now time.Duration, hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts, p.listedAt = hosts, now
}

// AddHosts adds hosts that are registered according to a list that may be old.
func (p *Promises) AddHosts(hosts []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range hosts {
		if !slices.Contains(p.hosts, name) {
			p.hosts = append(p.hosts, name)
		}
	}
}

// Record records the promise of a host to a leader, which it made between two times.
func (p *Promises) Record(t Term, host string, asked, received time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nonce != t.Nonce {
		p.nonce, p.asked = t.Nonce, make(map[string]time.Duration)
	}
	before, promised := p.asked[host]
	bound := promised && received < before+promiseTime+p.HandoverDelay-safetyMargin
	if received < t.LeaseEnd-safetyMargin || bound {
		p.asked[host] = max(before, asked)
	}
}

// Until returns the time before which no other host sends orders, or 0 if any other host has not promised it.
func (p *Promises) Until(t Term) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nonce != t.Nonce || len(p.hosts) == 0 || p.listedAt < t.LeaseEnd-leaseTime-maxListAge {
		return 0
	}
	var until time.Duration
	for _, name := range p.hosts {
		asked, promised := p.asked[name]
		if !promised {
			return 0
		}
		if end := asked + promiseTime - safetyMargin; until == 0 || end < until {
			until = end
		}
	}
	return until
}

// Missing returns the names of some hosts that have not promised a leader anything.
func (p *Promises) Missing(t Term) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, name := range p.hosts {
		if _, promised := p.asked[name]; (!promised || p.nonce != t.Nonce) && len(out) < maxMissing {
			out = append(out, name)
		}
	}
	return out
}

// Promise reports whether this host has seen neither a vacancy nor another leader than the one with this nonce. If so,
// it sends no orders before promiseTime and the handover delay have passed, unless that leader steps down.
func (e *Elector) Promise(nonce string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fence != 0 || e.currentKnown && (e.current == nil || decodeLeader(e.current.Value).Nonce != nonce) {
		return false
	}
	e.promisedTo, e.promisedAt = nonce, e.now()
	return true
}

// promiseEnd returns the time before which this host must not send orders because of its promise, unless the leader
// that it was made to has stepped down. The caller holds e.mu.
func (e *Elector) promiseEnd(stepped []Leader) time.Duration {
	if e.promisedTo == "" || slices.ContainsFunc(stepped, func(l Leader) bool { return l.Nonce == e.promisedTo }) {
		return 0
	}
	return e.promisedAt + promiseTime + e.HandoverDelay
}
