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
	// sourceWait is how long a host waits for a live source before it watches the store itself. takeoverSpread is
	// added at random for each registered host, so that the hosts of a large fleet do not all turn to the store when
	// its watchers are lost.
	sourceWait     = 400 * time.Millisecond
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

	leader    string          // name of the leader, or empty
	order     []topo.Host     // all hosts in the order in which they are chosen
	chosen    []topo.Host     // the hosts that watch the store; nil if they must be chosen again
	live      map[string]bool // sources that respond and are current, by address
	failed    map[string]bool // hosts that failed as sources, by address
	probedAt  time.Time
	noneSince time.Time     // since when there has been no live source, zero while there is one
	wait      time.Duration // how long this host waits for a live source from then on
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

// watchesStore reports whether this host watches the store itself.
func (s *sourceSet) watchesStore(now time.Time) bool {
	if _, isWatcher := s.choose(); isWatcher {
		return true
	}
	if s.hasLive() {
		return false
	}
	if s.noneSince.IsZero() {
		s.startWait(now, len(s.order))
	}
	return now.Sub(s.noneSince) >= s.wait
}

func (s *sourceSet) startWait(now time.Time, hosts int) {
	s.noneSince = now
	s.wait = sourceWait + time.Duration(rand.Float64()*float64(hosts)*float64(takeoverSpread))
	if hosts == 0 && !s.WaitsAtStart {
		s.wait = 0
	}
}

func (s *sourceSet) hasLive() bool { return len(s.live) > 0 }

// setLive records whether a source responds and is current.
func (s *sourceSet) setLive(now time.Time, addr string, live bool) {
	if !live {
		if s.live[addr] && len(s.live) == 1 {
			s.noneSince = time.Time{}
		}
		delete(s.live, addr)
		return
	}
	if s.live == nil {
		s.live = make(map[string]bool)
	}
	s.live[addr] = true
	s.noneSince = time.Time{}
}

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
