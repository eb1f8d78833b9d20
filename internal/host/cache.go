package host

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/fresh"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// listTimeout is the timeout of one list call.
	listTimeout = 1500 * time.Millisecond
	// maxWatchWait is how long one watch call may wait for events. A long wait saves calls to the store; a dead
	// connection ends the wait sooner.
	maxWatchWait = 10 * time.Second
	// probeWait replaces maxWatchWait after a failed call. It is short so that a response soon shows that the store is
	// reachable again.
	probeWait = 50 * time.Millisecond
	// maxFailures is the number of consecutive failed calls after which the store counts as unreachable.
	maxFailures = 2
	// maxLists is the number of consecutive lists without a backoff whose history the store does not have.
	maxLists = 2
	// initialBackoff is the backoff after a failed call to the store.
	initialBackoff = 100 * time.Millisecond
	// minWatchWait is the shortest wait of a watch call for upstreams.
	minWatchWait = 50 * time.Millisecond
	// refreshWait is the wait of a watch call that asks for the changes up to now.
	refreshWait = time.Millisecond
	// batchDelay is the pause after a watch call that returned changes of upstreams or hosts. The next call then
	// returns several changes at once, which saves calls: the platform charges for each.
	batchDelay = 400 * time.Millisecond
	// roleInterval is the interval at which a host checks whether it watches the store itself and which sources it
	// follows.
	roleInterval = 100 * time.Millisecond
	// lapsedTime is how long a host counts as sending calls after its registration has ended. One that has lost the
	// store still gets calls of callers that know its address.
	lapsedTime = time.Minute
	// maxDeletions is how many deletions are kept for other hosts; hosts that miss older ones get all items.
	maxDeletions = 500
)

// errOutageEnded is the cause of the end of a watch call that was sent before the store became reachable again.
var errOutageEnded = errors.New("the store has become reachable again")

// storeCache is this host's copy of the configuration, the upstreams and the registered hosts in the store.
type storeCache struct {
	platform *Platform
	stats    *stats.Set
	log      zerolog.Logger
	elector  *elect.Elector
	onChange func()
	limits   ageLimits
	age      *fresh.Copy // of the configuration
	// schedules reports whether this host schedules calls; nil means that it always does.
	schedules func() bool
	// isSource reports whether this host watches the store for others; nil reports false.
	isSource func() bool
	// now returns the boot time, which includes the time for which the machine is suspended.
	now func() time.Duration

	// delivery is held while a change is applied and passed on to the elector, so that it gets all changes in the order
	// of the copy. It is locked before mu.
	delivery sync.Mutex

	mu          sync.Mutex
	config      *topo.Config
	states      map[string]*prefixState
	upstreams   map[string]*topo.Upstream
	hosts       map[string]topo.Host
	lapsed      map[string]time.Duration // boot times at which registrations ended
	ended       map[string]endedUpstream // upstreams whose entries were removed lately
	retired     map[serviceVersion]bool  // of upstreams removed or replaced since the last call of takeRetired
	hostsChange int                      // number of changes of hosts
	outageAt    time.Duration            // boot time at which an outage was last confirmed, 0 if there is none
	outageEnd   time.Duration            // boot time at which the copy was first confirmed after an outage, 0 before
	nextChange  chan struct{}            // closed at the next change
	retryNow    chan struct{}            // closed when calls to the store should be made again at once
}

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, software string }

// prefixState is the copy of the items below one prefix.
type prefixState struct {
	prefix         string
	items          map[string]store.Item
	graceUntil     map[string]time.Time // deleted entries that stay in use, and until when
	suspects       map[string]time.Time // entries that are not in use because they may be older, and until when
	deletions      []store.Event        // the newest deletions, oldest first
	deletionsSince int64                // revision of the current era since which deletions is complete
	version        store.Version        // version of the store as of which items is complete, but for details
	detailRevision int64                // revision as of which it is complete with them, at most that of version
	detailsAt      time.Duration        // boot time at which details last arrived
	routedAt       map[string]int64     // revision at which an item last changed in more than details
	confirmedAt    time.Duration        // boot time as of which items is complete, 0 before the first list
	sent           link.PrefixState     // the changes that were last sent to another host
	sentFor        sentRequest          // request to which they were sent
	list           sentList             // the newest list of all items that was sent
	failures       int                  // consecutive failed calls for this prefix
	unreachable    bool                 // the last calls for this prefix failed
}

func newStoreCache(
	p *Platform, limits ageLimits, s *elect.Elector, st *stats.Set, log zerolog.Logger,
) *storeCache {
	sc := &storeCache{
		platform: p, limits: limits, elector: s, stats: st, log: log, states: make(map[string]*prefixState),
		upstreams: make(map[string]*topo.Upstream), hosts: make(map[string]topo.Host),
		lapsed: make(map[string]time.Duration), ended: make(map[string]endedUpstream),
		retired:    make(map[serviceVersion]bool),
		nextChange: make(chan struct{}), retryNow: make(chan struct{}),
		now: clock.SinceBoot, age: &fresh.Copy{Place: rand.Float64()},
	}
	for _, prefix := range sc.prefixes() {
		sc.states[prefix] = &prefixState{
			prefix: prefix, items: make(map[string]store.Item), graceUntil: make(map[string]time.Time),
			suspects: make(map[string]time.Time), routedAt: make(map[string]int64),
		}
	}
	return sc
}

func (sc *storeCache) prefixes() []string {
	return []string{sc.platform.ConfigPrefix, sc.platform.UpstreamPrefix, elect.Prefix}
}

// run lists one prefix and then watches it, until ctx ends. While watchesStore returns false it does neither, because
// other hosts send the state and its changes.
func (sc *storeCache) run(ctx context.Context, prefix string, watchesStore func() bool) {
	pause := initialBackoff
	listAgain, lists := false, 0
	for ctx.Err() == nil {
		if !watchesStore() {
			sc.stopCalls(prefix)
			clock.Sleep(ctx, roleInterval)
			continue
		}
		var err error
		watching := !listAgain && sc.isKnown(prefix)
		if watching {
			err = sc.watch(ctx, prefix)
		} else {
			err = sc.list(ctx, prefix)
		}
		if err == nil {
			listAgain = false
			if watching {
				lists, pause = 0, initialBackoff
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored) {
			sc.log.Info().Err(err).Str("prefix", prefix).Msg("listing all items of the store")
			listAgain = true
			lists++
			if lists <= maxLists {
				continue
			}
		} else {
			sc.markFailed(prefix, err)
		}
		sc.backOff(ctx, prefix, pause)
		pause = min(2*pause, sc.maxBackoff())
	}
}

// backOff waits after a failed call for a prefix: for about the given time, and then until no prefix before it is
// unreachable, so that only one of them is tried during an outage. It ends early when the store is reachable again.
func (sc *storeCache) backOff(ctx context.Context, prefix string, pause time.Duration) {
	sc.mu.Lock()
	retryNow := sc.retryNow
	sc.mu.Unlock()
	timer := time.NewTimer(elect.Jitter(pause))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-retryNow:
	case <-ctx.Done():
	}
	for !sc.isProbed(prefix) && clock.Sleep(ctx, roleInterval) {
	}
}

// isProbed reports whether no prefix before this one is unreachable.
func (sc *storeCache) isProbed(prefix string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, other := range sc.prefixes() {
		if other == prefix {
			break
		}
		if sc.states[other].unreachable {
			return false
		}
	}
	return true
}

// maxBackoff returns the longest time between two calls to an unreachable store.
func (sc *storeCache) maxBackoff() time.Duration { return elect.OutageRetryInterval(sc.hostCount()) }

// retryStore ends all waits after failed calls to the store, and all watch calls: the responses to those that were sent
// before the store became reachable again may be lost.
func (sc *storeCache) retryStore() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	close(sc.retryNow)
	sc.retryNow = make(chan struct{})
}

// isKnown reports whether the cache holds the state of a prefix.
func (sc *storeCache) isKnown(prefix string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.states[prefix].version.Revision > 0
}

func (sc *storeCache) list(ctx context.Context, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	start := sc.now()
	items, as, err := sc.platform.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	sc.markReachable(prefix)
	sc.replace(link.PrefixState{
		Prefix: prefix, Revision: as.Revision, Era: as.Era, Items: items, DetailRevision: as.Revision,
	}, originStore)
	sc.confirm(prefix, start)
	if prefix == sc.platform.ConfigPrefix {
		sc.age.NoteList(start)
	}
	return nil
}

func (sc *storeCache) watch(ctx context.Context, prefix string) error {
	confirms := prefix == sc.platform.ConfigPrefix && sc.confirmsConfig()
	sc.mu.Lock()
	start := sc.now()
	p := sc.states[prefix]
	// Details that are older than the rest are read with the changes.
	after, wait := store.Version{Era: p.version.Era, Revision: p.detailRevision}, maxWatchWait
	if prefix == sc.platform.UpstreamPrefix {
		wait = max(p.confirmedAt+sc.limits.Confirm-start, minWatchWait)
	}
	if confirms {
		wait = sc.age.Wait(start)
	}
	if p.failures > 0 {
		wait = probeWait
	}
	sc.mu.Unlock()
	events, as, err := sc.callWatch(ctx, prefix, after, wait)
	switch {
	case errors.Is(err, fresh.ErrConfirmNow):
		return nil
	case errors.Is(err, errOutageEnded):
		sc.stats.CountEvent("watch_repeated")
		sc.log.Info().Str("prefix", prefix).Dur("waited_ms", sc.now()-start).Msg("watch call repeated after an outage")
		return nil
	case errors.Is(err, fresh.ErrMissed):
		sc.stats.CountEvent("watch_missed_change")
		sc.log.Warn().Str("prefix", prefix).Dur("waited_ms", sc.now()-start).Msg("watch call has missed a change")
		return err
	case err != nil:
		return err
	}
	sc.markReachable(prefix)
	if as.Era != after.Era {
		return store.ErrRestored
	}
	sc.apply(link.PrefixState{
		Prefix: prefix, Revision: as.Revision, Era: as.Era, Delta: true, Events: events, DetailRevision: as.Revision,
	}, originStore)
	// The response may have been read late.
	sc.confirm(prefix, min(sc.now(), start+wait))
	if prefix == sc.platform.ConfigPrefix {
		sc.age.NoteWatch(start, sc.now(), wait, len(events) > 0)
	}
	if len(events) > 0 && prefix != sc.platform.ConfigPrefix {
		clock.Sleep(ctx, batchDelay)
	}
	return nil
}

// refresh brings the copy of the upstreams up to date with the store, as of a moment after the call begins.
func (sc *storeCache) refresh(ctx context.Context) error {
	sc.mu.Lock()
	after := sc.states[sc.platform.UpstreamPrefix].version
	sc.mu.Unlock()
	if after.Revision == 0 {
		return errors.New("the upstreams are not known yet")
	}
	events, as, err := sc.platform.Store.Watch(ctx, sc.platform.UpstreamPrefix, after, refreshWait)
	if err != nil {
		return err
	}
	if as.Era != after.Era {
		return store.ErrRestored
	}
	sc.apply(link.PrefixState{
		Prefix: sc.platform.UpstreamPrefix, Revision: as.Revision, Era: as.Era, Delta: true, Events: events,
	}, originStore)
	return nil
}

// markFailed records a failed call. The store may end a call that waits, so only a second failure in a row means that
// it is unreachable.
func (sc *storeCache) markFailed(prefix string, err error) {
	sc.mu.Lock()
	p := sc.states[prefix]
	p.failures++
	lost := p.failures == maxFailures
	if lost {
		p.unreachable = true
		sc.notify()
	}
	if p.unreachable && !sc.knowsOthers() {
		sc.outageAt = sc.now()
	}
	sc.mu.Unlock()
	if lost {
		sc.log.Warn().Err(err).Str("prefix", prefix).Msg("store unreachable")
		return
	}
	sc.log.Debug().Err(err).Str("prefix", prefix).Msg("store call failed")
}

func (sc *storeCache) markReachable(prefix string) {
	sc.mu.Lock()
	p := sc.states[prefix]
	was := p.unreachable
	p.unreachable, p.failures = false, 0
	sc.mu.Unlock()
	if was {
		sc.log.Info().Str("prefix", prefix).Msg("store reachable again")
		sc.retryStore()
		sc.elector.RetryStore()
	}
}

// unreachable reports whether the last store call for any prefix failed.
func (sc *storeCache) unreachable() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, p := range sc.states {
		if p.unreachable {
			return true
		}
	}
	return false
}

// replace replaces all items of a prefix unless the cache has a newer version.
func (sc *storeCache) replace(l link.PrefixState, via string) {
	if sc.replaceItems(l, via) {
		sc.onChange()
	}
}

// replaceItems is replace without the call of onChange; it reports whether the items were replaced.
func (sc *storeCache) replaceItems(l link.PrefixState, via string) bool {
	sc.delivery.Lock()
	defer sc.delivery.Unlock()
	sc.mu.Lock()
	p := sc.states[l.Prefix]
	if p == nil {
		sc.mu.Unlock()
		return false
	}
	sc.logVersion(p, l.Version(), via)
	if l.Version().Compare(p.version) < 0 {
		sc.mu.Unlock()
		return false
	}
	restored := p.version.Revision > 0 && l.Era > p.version.Era
	if restored {
		p.startEra(l.Revision)
	}
	now, from := time.Now(), sc.origin(p, via)
	current := make(map[string]store.Item, len(l.Items))
	for _, it := range l.Items {
		current[it.Key] = it
	}
	for key := range p.items {
		if _, ok := current[key]; !ok {
			sc.remove(now, p, key, l.Revision, from, restored)
		}
	}
	if p.version.Revision == 0 {
		p.deletionsSince = l.Revision
	}
	for key, it := range current {
		if restored {
			sc.putCopied(now, p, key, it, from)
			continue
		}
		sc.put(p, key, it, from)
	}
	if restored {
		p.detailRevision = 0
	}
	p.version = l.Version()
	sc.addDetails(p, &l)
	sc.notify()
	sc.mu.Unlock()
	if l.Prefix == elect.Prefix {
		sc.elector.Replace(l.Version(), l.Items)
	}
	return true
}

// apply applies changes up to a version, except those that the cache has.
func (sc *storeCache) apply(l link.PrefixState, via string) {
	if sc.applyEvents(&l, via) {
		sc.onChange()
	}
}

// applyEvents is apply without the call of onChange; it reports whether there were any changes.
func (sc *storeCache) applyEvents(l *link.PrefixState, via string) bool {
	sc.delivery.Lock()
	defer sc.delivery.Unlock()
	sc.mu.Lock()
	p := sc.states[l.Prefix]
	if p == nil || l.Era != p.version.Era {
		sc.mu.Unlock()
		return false
	}
	known := p.version.Revision
	changes := slices.DeleteFunc(slices.Clone(l.Events), func(e store.Event) bool {
		return e.Revision <= known && !p.addsDetails(&e)
	})
	if len(changes) < len(l.Events) {
		sc.stats.CountEvent("old_changes_dropped")
	}
	sc.addDetails(p, l)
	if l.Revision <= known && len(changes) == 0 {
		sc.mu.Unlock()
		return false
	}
	now, from := time.Now(), sc.origin(p, via)
	for _, e := range changes {
		if e.Deleted {
			sc.remove(now, p, e.Key, e.Revision, from, false)
			continue
		}
		sc.put(p, e.Key, e.Item, from)
	}
	p.version.Revision = max(known, l.Revision)
	sc.notify()
	sc.mu.Unlock()
	if l.Prefix == elect.Prefix && len(changes) > 0 {
		sc.elector.Apply(l.Era, changes)
	}
	return len(changes) > 0
}

// logVersion logs a list of another era than that of the copy, or of an older version.
func (sc *storeCache) logVersion(p *prefixState, got store.Version, via string) {
	line := sc.log.Debug()
	message := "older list of items dropped"
	switch {
	case p.version.Revision > 0 && got.Era > p.version.Era:
		line, message = sc.log.Warn(), "store restored from an older copy"
		sc.stats.CountEvent("store_restored")
	case got.Compare(p.version) >= 0:
		return
	}
	line.Str("prefix", p.prefix).Int64("era", got.Era).Int64("revision", got.Revision).
		Int64("known_era", p.version.Era).Int64("known_revision", p.version.Revision).Str("via", via).Msg(message)
}

// put stores a new item and puts it into use.
func (sc *storeCache) put(p *prefixState, key string, it store.Item, from origin) {
	old, ok := p.items[key]
	if ok && old.Revision >= it.Revision {
		return
	}
	p.items[key] = it
	delete(p.graceUntil, key)
	delete(p.suspects, key)
	before := sc.upstreams[key]
	sc.use(p, key, it, from)
	if !ok || !sameRouting(before, sc.upstreams[key]) {
		p.routedAt[key] = it.Revision
	}
}

// use decodes an item and puts it into use. An invalid configuration or host registration leaves the previous one in
// use; an invalid upstream entry removes the upstream.
func (sc *storeCache) use(p *prefixState, key string, it store.Item, from origin) {
	switch p.prefix {
	case sc.platform.ConfigPrefix:
		c, err := sc.platform.Config(it)
		switch {
		case err != nil:
			sc.log.Error().Err(err).Msg("invalid configuration, the previous one stays active")
		case c != nil && (sc.config == nil || c.Version > sc.config.Version):
			sc.config = c
			sc.log.Info().Int64("version", c.Version).Int("routes", len(c.Routes)).Msg("configuration active")
		}
	case sc.platform.UpstreamPrefix:
		u, err := sc.platform.Upstream(it)
		if err != nil {
			sc.log.Warn().Err(err).Msg("invalid upstream entry")
			sc.retire(key)
			return
		}
		if old := sc.upstreams[key]; old == nil || old.Leaving != u.Leaving || old.Boot != u.Boot {
			sc.log.Info().Str("upstream", u.ID).Str("addr", u.Addr).Bool("leaving", u.Leaving).Int64("boot", u.Boot).
				Str("software", u.Software).Str("via", from.via).Dur("age_ms", from.age).Msg("upstream changed")
		}
		u.Revision = it.Revision
		sc.retire(key)
		sc.upstreams[key] = u
		delete(sc.ended, key)
	default:
		if !strings.HasPrefix(key, elect.HostPrefix) {
			return
		}
		var h topo.Host
		if err := json.Unmarshal(it.Value, &h); err != nil {
			sc.log.Warn().Err(err).Str("key", key).Msg("invalid host registration")
			return
		}
		h.Registered = it.Revision
		sc.hosts[key] = h
		delete(sc.lapsed, key)
		sc.hostsChange++
	}
}

// notify wakes the goroutines that wait for the next change.
func (sc *storeCache) notify() {
	close(sc.nextChange)
	sc.nextChange = make(chan struct{})
}

// wakeWaiting wakes the goroutines that wait for the next change, because the store has become unreachable.
func (sc *storeCache) wakeWaiting() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.notify()
}
