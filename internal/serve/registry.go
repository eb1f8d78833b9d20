package serve

import (
	"context"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/svcreg"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// pollInterval is well below the few seconds within which a leaving upstream must stop getting new calls.
	pollInterval = time.Second
	// pollersPerDomain is the number of hosts per failure domain that poll the registry; the others learn by gossip.
	pollersPerDomain = 2
	// registryPrefix separates departures found in the registry from those announced by operators for the same
	// upstream. The former carry the cursor of the registry as sequence number and the latter the time, which cannot be
	// compared.
	registryPrefix = "list:"
)

// registryWatcher polls the platform's service registry, which lists hosts and upstreams, and announces upstreams that
// leave or return.
type registryWatcher struct {
	client interface {
		Fetch(ctx context.Context, since int64) (svcreg.List, error)
	}
	// polls reports whether this host is one of those that poll the registry.
	polls func() bool
	// setDeparture announces a departure to all hosts.
	setDeparture func(wire.Departure)
	// isLeaving reports whether the departure of a subject has been announced to the hosts. A subject is the name of an
	// upstream, with registryPrefix if the announcement comes from the registry.
	isLeaving  func(subject string) bool
	countEvent func(event string)

	mu        sync.Mutex
	cursor    int64
	addrs     []string
	upstreams []svcreg.Upstream
}

// run polls the registry until ctx ends.
func (w *registryWatcher) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if w.polls() {
			w.poll(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// poll fetches the list once and announces what has changed.
func (w *registryWatcher) poll(ctx context.Context) {
	w.mu.Lock()
	since := w.cursor
	w.mu.Unlock()
	list, err := w.client.Fetch(ctx, since)
	if err != nil {
		// The last list stays valid; engines also report on their own that they are leaving.
		w.countEvent("host_list_failed")
		return
	}
	switch {
	case list.Unchanged:
	case list.Cursor < since:
		// An outdated list must not reinstate an upstream that is leaving by now.
		w.countEvent("host_list_stale")
		return
	default:
		w.apply(list)
	}
	w.announceDepartures()
}

// apply stores a list: its cursor, its upstreams and the addresses of its hosts that are not leaving.
func (w *registryWatcher) apply(list svcreg.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cursor = list.Cursor
	w.addrs = w.addrs[:0]
	for _, h := range list.Hosts {
		if !h.Leaving {
			w.addrs = append(w.addrs, h.Addr)
		}
	}
	w.upstreams = list.Upstreams
}

// announceDepartures announces each upstream whose state in the list differs from the last announcement. The last
// announcement may have come from another host that no longer polls.
func (w *registryWatcher) announceDepartures() {
	w.mu.Lock()
	cursor, upstreams := w.cursor, w.upstreams
	w.mu.Unlock()
	for _, u := range upstreams {
		if subject := registryPrefix + u.Name; u.Leaving != w.isLeaving(subject) {
			w.setDeparture(wire.Departure{Upstream: subject, Returned: !u.Leaving, Seq: cursor})
		}
	}
}

// upstreamLeaving reports whether the service registry or an operator has announced that an upstream is leaving.
func (h *Host) upstreamLeaving(upstream string) bool {
	return h.members.IsLeaving(upstream) || h.members.IsLeaving(registryPrefix+upstream)
}

// seedAddrs returns the addresses of the hosts in the last list that are not leaving.
func (w *registryWatcher) seedAddrs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.addrs...)
}

// pollsRegistry reports whether this host is among the first pollersPerDomain live members of its failure domain.
// Suspected members do not count.
func (h *Host) pollsRegistry() bool {
	before := 0
	for _, m := range h.members.Live() {
		if m.Name == h.Config.Name {
			return before < pollersPerDomain
		}
		if m.Domain == h.Config.FailureDomain && m.State == wire.Alive {
			before++
		}
	}
	return true
}
