package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// responseMargin is how much longer than the requested wait a response to a request for changes may take.
	responseMargin = 400 * time.Millisecond
	// sourceRetryDelay is the delay before a failed watch source is tried again.
	sourceRetryDelay = 250 * time.Millisecond
	// sourceGrace is how long a source may be out of date before another host is followed instead.
	sourceGrace = 400 * time.Millisecond
	// minLostReports is the number of consecutive responses of hosts that cannot reach the store that show an outage
	// for all hosts rather than one for some.
	minLostReports = 3
	// outageFetchInterval is the interval at which this host asks another one for changes while it cannot reach the
	// store.
	outageFetchInterval = 300 * time.Millisecond
)

var (
	errSourceLostStore = errors.New("the watch source cannot reach the store")
	errSourceStale     = errors.New("the watch source's copy of the store is too old")
)

// watchRelay distributes changes of the store, and what hosts know of quarantines, among the hosts: a few hosts watch
// the store, and all others fetch the changes from them (their watch sources). A host whose copy becomes too old
// watches the store itself.
type watchRelay struct {
	self    topo.Host
	cache   *storeCache
	elector *elect.Elector
	tickets *ticketService
	// seeds are the addresses of hosts to ask before any host is known.
	seeds []string
	stats *stats.Set
	log   zerolog.Logger
	// now returns the boot time, which includes the time for which the machine is suspended.
	now func() time.Duration
	// dial connects to another host.
	dial func(ctx context.Context, addr string) (*link.Conn, error)

	// promises are those of the other hosts to send no orders while this host is the leader.
	promises elect.Promises

	mu          sync.Mutex
	sources     sourceSet
	hostChanges int // changes of the registered hosts that sources has
	lostReports int // consecutive responses of hosts that cannot reach the store
}

// storeUnreachable reports whether this host's last store call for any prefix or for its lease failed.
func (r *watchRelay) storeUnreachable() bool {
	return r.cache.unreachable() || r.elector.StoreUnreachable()
}

// setSeeds replaces the addresses of hosts to ask before any host is known.
func (r *watchRelay) setSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

func (r *watchRelay) otherHosts() []topo.Host {
	return slices.DeleteFunc(r.cache.Hosts(), func(o topo.Host) bool { return o.Name == r.self.Name })
}

// watchesStore reports whether this host watches the store itself.
func (r *watchRelay) watchesStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateHosts()
	return r.sources.watchesStore(r.cache.now())
}

// updateHosts passes the registered hosts to the sources if they have changed.
func (r *watchRelay) updateHosts() {
	if n := r.cache.hostChanges(); n != r.hostChanges {
		r.hostChanges = n
		r.sources.setHosts(r.cache.Hosts())
	}
}

// run follows the current watch sources until ctx ends. While this host cannot reach the store, it also asks other
// hosts for changes, and as the leader for promises to send no orders.
func (r *watchRelay) run(ctx context.Context) {
	following := make(map[string]context.CancelFunc)
	lastFetch := time.Time{}
	var promises promiseRound
	fetches, scheduled := 0, true
	for clock.Sleep(ctx, roleInterval) {
		r.cache.expireGrace(time.Now())
		schedules := r.cache.schedulesCalls()
		leader, _ := r.elector.Leader()
		r.mu.Lock()
		r.updateHosts()
		r.sources.setLeader(leader.Host)
		list, _ := r.sources.choose()
		probes := r.sources.dueProbes(time.Now())
		starting := len(r.sources.order) == 0
		r.mu.Unlock()
		for _, o := range probes {
			go r.probeSource(ctx, o)
		}
		if schedules && !scheduled && len(list) > 0 {
			// The request that waits at a source asks for no details.
			go r.fetchFrom(ctx, list[rand.IntN(len(list))].Link)
		}
		scheduled = schedules
		wanted := make(map[string]bool, len(list))
		for _, o := range list {
			wanted[o.Link] = true
			if following[o.Link] == nil {
				sourceCtx, cancel := context.WithCancel(ctx)
				following[o.Link] = cancel
				go r.follow(sourceCtx, o)
			}
		}
		for addr, cancel := range following {
			if !wanted[addr] {
				cancel()
				delete(following, addr)
			}
		}
		if r.elector.IsLeader() {
			r.updatePromises(ctx, &promises)
		}
		if !starting && (!r.storeUnreachable() || time.Since(lastFetch) < outageFetchInterval) {
			continue
		}
		lastFetch = time.Now()
		fetches++
		go r.fetchFromAny(ctx, fetches)
	}
}

// follow merges the changes of one watch source until ctx ends.
func (r *watchRelay) follow(ctx context.Context, o topo.Host) {
	for ctx.Err() == nil {
		err := r.followConn(ctx, o)
		if ctx.Err() == nil {
			r.log.Info().Err(err).Str("source", o.Name).Msg("connection to watch source ended")
			r.mu.Lock()
			r.sources.fail(o.Link)
			r.mu.Unlock()
		}
		clock.Sleep(ctx, sourceRetryDelay)
	}
}

// probeSource asks a failed source for changes; it may be followed again if it answers and is current.
func (r *watchRelay) probeSource(ctx context.Context, o topo.Host) {
	if err := r.fetchOnce(ctx, o.Link); err != nil {
		return
	}
	r.log.Info().Str("source", o.Name).Msg("watch source works again")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources.restore(o.Link)
}

// followConn merges the changes that one connection to a watch source brings. It ends when the connection fails, or
// when the source has been out of date for sourceGrace although this host reaches the store.
func (r *watchRelay) followConn(ctx context.Context, o topo.Host) error {
	c, err := r.dial(ctx, o.Link)
	if err != nil {
		return err
	}
	defer c.Close()
	var outdatedSince time.Time
	var sent notice.Position
	lapsed := false
	for ctx.Err() == nil {
		wait, before := r.cache.limits.Poll, lapsed
		if lapsed = r.cache.age.Lapsed(r.cache.now()); lapsed && !before {
			// After a suspension the source confirms the configuration at once.
			wait = 0
		}
		if err := r.fetchChanges(ctx, c, wait, &sent); err != nil {
			if !errors.Is(err, errSourceLostStore) && !errors.Is(err, errSourceStale) {
				return err
			}
			if outdatedSince.IsZero() {
				outdatedSince = time.Now()
			}
			// In an outage for all hosts no other source is better.
			if time.Since(outdatedSince) > sourceGrace && !r.storeUnreachable() {
				return err
			}
			clock.Sleep(ctx, roleInterval)
			continue
		}
		outdatedSince = time.Time{}
	}
	return ctx.Err()
}

// fetchChanges sends one request for changes and merges the response; sent is the position of the statements that were
// sent on the connection. It returns errSourceLostStore if the other host cannot reach the store, and errSourceStale if
// its copy of the store may be outdated.
func (r *watchRelay) fetchChanges(ctx context.Context, c *link.Conn, wait time.Duration, sent *notice.Position) error {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	start := r.cache.now()
	request := &link.Message{
		Kind: link.GetChanges, Host: r.self.Name, Prefixes: r.cache.knownRevisions(), WaitMS: wait.Milliseconds(),
		Poison: r.tickets.poisonState(),
	}
	request.Notices, *sent = r.tickets.notices.Changes(time.Now(), *sent)
	m, err := c.RoundTrip(ctx, request)
	if err != nil {
		return err
	}
	r.cache.merge(m.Prefixes, m.Host)
	r.tickets.mergePoison(m.Poison, m.Host)
	r.tickets.notices.Merge(time.Now(), m.Notices, m.Host)
	r.cache.age.Merge(start, m.Config, r.cache.configVersion())
	if !m.Stale {
		r.confirm(start + time.Duration(m.ConfirmedMS)*time.Millisecond)
	}
	r.noteStore(m.StoreUnreachable)
	if m.StoreUnreachable {
		if r.storeUnreachable() {
			r.cache.confirmOutage()
		}
		return errSourceLostStore
	}
	if m.Stale {
		return errSourceStale
	}
	return nil
}

// noteStore records whether another host reaches the store. The first that does after several that did not shows that
// an outage has ended, so this host tries the store at once too.
func (r *watchRelay) noteStore(unreachable bool) {
	r.mu.Lock()
	outageEnded := !unreachable && r.lostReports >= minLostReports
	r.lostReports++
	if !unreachable {
		r.lostReports = 0
	}
	r.mu.Unlock()
	if outageEnded && r.storeUnreachable() {
		r.cache.retryStore()
		r.elector.RetryStore()
	}
}

// confirm records that the copy of the upstreams is complete as of a boot time, as another host says.
func (r *watchRelay) confirm(at time.Duration) {
	r.cache.confirm(r.cache.platform.UpstreamPrefix, at)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sources.confirm(at)
}

// fetchFromAny fetches changes from one of the seeds and other hosts, chosen by n modulo their number, so that calls
// with successive n try all of them in turn.
func (r *watchRelay) fetchFromAny(ctx context.Context, n int) {
	r.mu.Lock()
	addrs := slices.DeleteFunc(slices.Clone(r.seeds), func(a string) bool { return a == r.self.Link })
	r.mu.Unlock()
	for _, o := range r.otherHosts() {
		addrs = append(addrs, o.Link)
	}
	if len(addrs) > 0 {
		r.fetchFrom(ctx, addrs[n%len(addrs)])
	}
}

// fetchFrom is fetchOnce for a host that may not answer.
func (r *watchRelay) fetchFrom(ctx context.Context, addr string) {
	if err := r.fetchOnce(ctx, addr); err != nil {
		r.stats.CountEvent("news_failed")
	}
}

// fetchOnce fetches the changes that a host has now, on a connection of its own.
func (r *watchRelay) fetchOnce(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	c, err := r.dial(ctx, addr)
	if err != nil {
		return err
	}
	defer c.Close()
	return r.fetchChanges(ctx, c, 0, new(notice.Position))
}

// serve answers requests for changes from another host until its connection ends.
func (r *watchRelay) serve(c *link.Conn, m *link.Message) {
	var sent notice.Position
	for m.Kind == link.GetChanges {
		arrived := r.cache.now()
		r.tickets.mergePoison(m.Poison, m.Host)
		r.tickets.notices.Merge(time.Now(), m.Notices, m.Host)
		states, confirmedAt := r.waitForChanges(m)
		response := &link.Message{
			Kind: link.Changes, Host: r.self.Name, Prefixes: states, StoreUnreachable: r.storeUnreachable(),
			Stale: !r.cache.isCurrent(), ConfirmedMS: (confirmedAt - arrived).Milliseconds(),
			Poison: r.tickets.poisonState(), Config: r.cache.age.State(arrived, r.cache.newestConfig),
		}
		response.Notices, sent = r.tickets.notices.Changes(time.Now(), sent)
		if err := c.Send(response); err != nil {
			return
		}
		var err error
		if m, err = c.Receive(); err != nil {
			return
		}
	}
}

// waitForChanges returns the changes that the request asks for. It returns none after the requested wait, when the copy
// of the upstreams has been confirmed, or as soon as it may be outdated. It also returns the boot time as of which that
// copy is complete.
func (r *watchRelay) waitForChanges(m *link.Message) ([]link.PrefixState, time.Duration) {
	timer := time.NewTimer(min(time.Duration(m.WaitMS)*time.Millisecond, r.cache.limits.Poll))
	defer timer.Stop()
	_, _, before, _ := r.cache.changes(nil)
	for {
		states, changed, confirmedAt, next := r.cache.changes(m.Prefixes)
		if changed || confirmedAt > before || r.storeUnreachable() || !r.cache.isCurrent() {
			return states, confirmedAt
		}
		select {
		case <-next:
		case <-timer.C:
			return states, confirmedAt
		}
	}
}
