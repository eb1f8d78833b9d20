package host

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// maxWatchers is how many hosts watch the store for all others, in different failure domains where possible.
	maxWatchers = 2
	// sourceWait is how long a starting host waits for a source before it watches the store itself.
	sourceWait = 400 * time.Millisecond
	// takeoverSpread is the range, for each registered host, of the random delay after which a host without a current
	// source watches the store itself; ageLimits.Takeover bounds it.
	takeoverSpread = 5 * time.Millisecond
	// probeInterval is the time between two probes of failed sources; maxProbes is how many are probed.
	probeInterval = time.Second
	maxProbes     = maxWatchers
)

// sourceSet chooses a host's watch sources: the hosts that watch the store for all others. All hosts choose the same
// ones, unless some are unreachable: each host leaves out those that fail it. Its zero value has no sources.
type sourceSet struct {
	Self string // name of this host
	// WaitsAtStart delays this host's own calls to the store when it starts, while it asks its seeds.
	WaitsAtStart bool
	Limits       ageLimits

	leader      string          // name of the leader, or empty
	order       []topo.Host     // all hosts in the order in which they are chosen
	chosen      []topo.Host     // the hosts that watch the store; nil if they must be chosen again
	failed      map[string]bool // hosts that failed as sources, by address
	probedAt    time.Time
	started     bool
	confirmedAt time.Duration // boot time as of which some source has confirmed the copy of the upstreams
	place       float64       // this host's place among those that turn to the store, from 0 to 1
}

// setHosts sets the registered hosts.
func (s *sourceSet) setHosts(hosts []topo.Host) { s.order, s.chosen = watchOrder(hosts), nil }

// setLeader sets the name of the leader, or an empty one.
func (s *sourceSet) setLeader(name string) {
	if s.leader != name {
		s.leader, s.chosen = name, nil
	}
}

// choose returns the watch sources of this host, and whether this host is one of those that watch the store for all.
func (s *sourceSet) choose() (sources []topo.Host, isWatcher bool) {
	if s.chosen == nil {
		s.chosen = s.watchers()
	}
	for _, o := range s.chosen {
		if o.Name == s.Self {
			isWatcher = true
			continue
		}
		sources = append(sources, o)
	}
	return sources, isWatcher
}

// watchers returns the first hosts in the order that have not failed. The leader is left out while there are others: it
// answers all ticket requests, and the changes for the fleet would delay its answers.
func (s *sourceSet) watchers() []topo.Host {
	out := make([]topo.Host, 0, maxWatchers+1)
	var leader *topo.Host
	for i := range s.order {
		o := &s.order[i]
		if len(out) == maxWatchers {
			break
		}
		switch {
		case s.failed[o.Link]:
		case o.Name == s.leader:
			leader = o
		default:
			out = append(out, *o)
		}
	}
	if len(out) < maxWatchers && leader != nil {
		out = append(out, *leader)
	}
	return out
}

// watchesStore reports whether this host watches the store itself at a boot time.
func (s *sourceSet) watchesStore(now time.Duration) bool {
	if !s.started {
		s.start(now)
	}
	if _, isWatcher := s.choose(); isWatcher {
		return true
	}
	delay := min(time.Duration(len(s.order))*takeoverSpread, s.Limits.Takeover)
	return now-s.confirmedAt >= s.Limits.Max+time.Duration(s.place*float64(delay))
}

// start lets this host wait for a source for sourceWait, or not at all if it knows no host.
func (s *sourceSet) start(now time.Duration) {
	s.started = true
	s.place = rand.Float64()
	wait := sourceWait
	if len(s.order) == 0 && !s.WaitsAtStart {
		wait = 0
	}
	if s.confirmedAt == 0 {
		s.confirmedAt = now + wait - s.Limits.Max
	}
}

// confirm records that the copy of the upstreams is complete as of a boot time, as a source says.
func (s *sourceSet) confirm(at time.Duration) { s.confirmedAt = max(s.confirmedAt, at) }

// fail leaves a host out of the sources until restore is called.
func (s *sourceSet) fail(addr string) {
	if s.failed == nil {
		s.failed = make(map[string]bool)
	}
	s.failed[addr] = true
	s.chosen = nil
}

// restore allows a host as a source again.
func (s *sourceSet) restore(addr string) {
	delete(s.failed, addr)
	s.chosen = nil
}

// dueProbes returns the failed hosts to probe now: those that would be chosen first. It forgets hosts that are gone.
func (s *sourceSet) dueProbes(now time.Time) []topo.Host {
	if len(s.failed) == 0 || now.Sub(s.probedAt) < probeInterval {
		return nil
	}
	s.probedAt = now
	var failed []topo.Host
	for _, o := range s.order {
		if s.failed[o.Link] {
			failed = append(failed, o)
		}
	}
	clear(s.failed)
	for _, o := range failed {
		s.failed[o.Link] = true
	}
	return failed[:min(len(failed), maxProbes)]
}

// watchOrder returns the hosts in the order in which they are chosen to watch the store: first one of each failure
// domain, then the others. Hosts with more processor time come first.
func watchOrder(hosts []topo.Host) []topo.Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b topo.Host) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	out := make([]topo.Host, 0, len(sorted))
	var rest []topo.Host
	domains := make(map[string]bool)
	for _, o := range sorted {
		if domains[o.Domain] {
			rest = append(rest, o)
			continue
		}
		domains[o.Domain] = true
		out = append(out, o)
	}
	return append(out, rest...)
}
