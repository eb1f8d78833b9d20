package host

import (
	"maps"
	"slices"
	"strings"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

// hostCount returns the number of registered hosts.
func (sc *storeCache) hostCount() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return len(sc.hosts)
}

// senderCount returns the number of hosts that may be sending calls: those that are registered, those that were until a
// while ago, and this one.
func (sc *storeCache) senderCount() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	now := sc.now()
	for key, since := range sc.lapsed {
		if now-since > lapsedTime {
			delete(sc.lapsed, key)
		}
	}
	n := len(sc.hosts) + len(sc.lapsed)
	own := elect.HostPrefix + sc.elector.Self.Name
	_, registered := sc.hosts[own]
	if _, lapsed := sc.lapsed[own]; !registered && !lapsed {
		n++
	}
	return n
}

// lapsedHosts returns the names of the other hosts whose registrations ended a while ago.
func (sc *storeCache) lapsedHosts() []string {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var names []string
	for key, since := range sc.lapsed {
		name := strings.TrimPrefix(key, elect.HostPrefix)
		if sc.now()-since <= lapsedTime && name != sc.elector.Self.Name {
			names = append(names, name)
		}
	}
	return names
}

// era returns the newest era of the store that this host knows.
func (sc *storeCache) era() int64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var era int64
	for _, p := range sc.states {
		era = max(era, p.version.Era)
	}
	return era
}

// hostChanges returns the number of changes of the registered hosts so far.
func (sc *storeCache) hostChanges() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.hostsChange
}

// Config returns the active configuration, or nil before there is one.
func (sc *storeCache) Config() *topo.Config {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.config
}

// Upstreams returns the upstreams of a service that are not leaving, or all upstreams if service is empty. The list is
// sorted by ID.
func (sc *storeCache) Upstreams(service string) []*topo.Upstream {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	out := make([]*topo.Upstream, 0, len(sc.upstreams))
	for _, u := range sc.upstreams {
		if service == "" || u.Service == service && !u.Leaving {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *topo.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// retire takes an upstream out of use, if there is one under the key.
func (sc *storeCache) retire(key string) {
	u := sc.upstreams[key]
	if u == nil {
		return
	}
	delete(sc.upstreams, key)
	sc.retired[serviceVersion{u.Service, u.Software}] = true
}

// takeRetired returns the software versions of which upstreams were removed or replaced since the last call. One that
// came and went between two deliveries was in service too.
func (sc *storeCache) takeRetired() []serviceVersion {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	out := slices.Collect(maps.Keys(sc.retired))
	clear(sc.retired)
	return out
}

// departed reports whether an upstream is known to be leaving or removed. One that this host has not heard of is not.
func (sc *storeCache) departed(id string) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.states[sc.platform.UpstreamPrefix]
	key := p.prefix + id
	if u := sc.upstreams[key]; u != nil {
		return u.Leaving
	}
	if _, listed := p.items[key]; listed {
		// The entry is invalid.
		return true
	}
	return slices.ContainsFunc(p.deletions, func(e store.Event) bool { return e.Key == key })
}

// Hosts returns the registered hosts, sorted by name.
func (sc *storeCache) Hosts() []topo.Host {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	out := make([]topo.Host, 0, len(sc.hosts))
	for _, h := range sc.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b topo.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}
