package host

import (
	"time"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/store"
)

const (
	// gracePeriod is how long upstreams and hosts stay in use after their entries expired during an outage of the
	// store. Those that are alive write their entries again within about two seconds; any other has left and must get
	// no further calls.
	gracePeriod = 1500 * time.Millisecond
	// graceWindow is how long after an outage of the store deleted entries still get the grace period.
	graceWindow = time.Second
)

// confirmOutage records that another host cannot reach the store either while this one cannot. Entries may expire in an
// outage of the store although their owners live; the loss of this host's own path to the store says nothing of them.
func (sc *storeCache) confirmOutage() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.outageAt = sc.now()
}

// knowsOthers reports whether another host is registered that could confirm an outage.
func (sc *storeCache) knowsOthers() bool {
	_, registered := sc.hosts[elect.HostPrefix+sc.elector.Self.Name]
	return len(sc.hosts) > 1 || len(sc.hosts) == 1 && !registered
}

// inOutage reports whether an outage of the store has been confirmed and no host has reached it for a while.
func (sc *storeCache) inOutage() bool {
	return sc.outageAt > sc.states[sc.platform.UpstreamPrefix].confirmedAt+sc.limits.Max
}

// remove deletes an item. Its upstream or host is discarded at once, or after gracePeriod if the store had an outage
// until a moment ago or has been restored.
func (sc *storeCache) remove(
	now time.Time, p *prefixState, key string, revision int64, from origin, restored bool,
) {
	delete(p.items, key)
	delete(p.routedAt, key)
	delete(p.suspects, key)
	p.deletions = append(p.deletions, store.Event{Item: store.Item{Key: key, Revision: revision}, Deleted: true})
	if n := len(p.deletions) - maxDeletions; n > 0 {
		p.deletionsSince = max(p.deletionsSince, p.deletions[n-1].Revision)
		p.deletions = append(p.deletions[:0], p.deletions[n:]...)
	}
	afterOutage := sc.inOutage() || sc.outageEnd > 0 && sc.now()-sc.outageEnd < graceWindow
	if (afterOutage || restored) && p.prefix != sc.platform.ConfigPrefix {
		p.graceUntil[key] = now.Add(gracePeriod)
		sc.log.Info().Str("key", key).Str("via", from.via).Dur("age_ms", from.age).
			Msg("expired entry stays in use for a while")
		return
	}
	sc.discard(key, from)
}

func (sc *storeCache) discard(key string, from origin) {
	if u := sc.upstreams[key]; u != nil {
		sc.log.Info().Str("upstream", u.ID).Str("via", from.via).Dur("age_ms", from.age).Msg("upstream removed")
		sc.retire(key)
		sc.addEnded(key, u.Boot)
	}
	if _, ok := sc.hosts[key]; ok {
		delete(sc.hosts, key)
		sc.lapsed[key] = sc.now()
		sc.hostsChange++
	}
}

// expireGrace discards upstreams and hosts whose grace period is over, and puts suspect entries into use that are still
// in the store.
func (sc *storeCache) expireGrace(now time.Time) {
	changed := false
	sc.mu.Lock()
	for _, p := range sc.states {
		for key, until := range p.graceUntil {
			if now.After(until) {
				delete(p.graceUntil, key)
				sc.discard(key, origin{via: originGrace})
				changed = true
			}
		}
		changed = sc.trustSuspects(now, p) || changed
	}
	sc.mu.Unlock()
	if changed {
		sc.onChange()
	}
}
