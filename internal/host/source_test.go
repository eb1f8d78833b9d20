package host

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

func names(hosts []topo.Host) string {
	var out []string
	for _, o := range hosts {
		out = append(out, o.Name)
	}
	return strings.Join(out, "")
}

// Guards against a number of watchers that grows with that of the failure domains, against watchers that are all in one
// domain though there are more, and against small machines that watch for a fleet that has larger ones.
func TestWatchers(t *testing.T) {
	host := func(domain, name string, cores float64) topo.Host {
		return topo.Host{Domain: domain, Name: name, Link: name, Cores: cores}
	}
	for _, tt := range []struct {
		name   string
		hosts  []topo.Host
		failed string
		want   string
	}{
		{
			"not the leader",
			[]topo.Host{host("a", "L", 1), host("b", "2", 1), host("c", "3", 1), host("d", "4", 1)},
			"", "23",
		},
		{"the leader if there are no more", []topo.Host{host("a", "L", 1), host("b", "2", 1)}, "", "2L"},
		{"none", nil, "", ""},
		{"one", []topo.Host{host("a", "1", 1)}, "", "1"},
		{"one domain", []topo.Host{host("a", "1", 1), host("a", "2", 1), host("a", "3", 1)}, "", "12"},
		{"two domains", []topo.Host{host("a", "1", 1), host("a", "2", 1), host("b", "3", 1)}, "", "13"},
		{
			"four domains",
			[]topo.Host{host("a", "1", 1), host("b", "2", 1), host("c", "3", 1), host("d", "4", 1)},
			"", "12",
		},
		{
			"the larger ones",
			[]topo.Host{host("a", "1", 0.2), host("b", "2", 0.2), host("c", "3", 0.8), host("d", "4", 0.8)},
			"", "34",
		},
		{
			"a failed one is left out",
			[]topo.Host{host("a", "1", 1), host("b", "2", 1), host("c", "3", 1), host("d", "4", 1)},
			"1", "23",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &sourceSet{Self: "self"}
			s.setLeader("L")
			s.setHosts(tt.hosts)
			for _, addr := range tt.failed {
				s.fail(string(addr))
			}
			if got, _ := s.choose(); names(got) != tt.want {
				t.Errorf("watchers %q, want %q", names(got), tt.want)
			}
		})
	}
}

// fleetOf returns n hosts in five failure domains.
func fleetOf(n int) []topo.Host {
	var out []topo.Host
	for i := range n {
		name := fmt.Sprintf("host-%03d", i)
		out = append(out, topo.Host{Name: name, Link: name, Domain: fmt.Sprint("zone-", i%5)})
	}
	return out
}

// Guards against a fleet that turns to the store as a whole when its two watchers are lost, and against hosts that then
// have no source.
func TestLossOfBothWatchers(t *testing.T) {
	const n = 300
	hosts := fleetOf(n)
	observer := &sourceSet{Self: "self"}
	observer.setHosts(hosts)
	lost, _ := observer.choose()
	now := time.Hour
	limits := newAgeLimits(testDrainTime)
	sets := make([]*sourceSet, 0, n)
	for _, o := range hosts {
		if slices.ContainsFunc(lost, func(l topo.Host) bool { return l.Name == o.Name }) {
			continue
		}
		s := &sourceSet{Self: o.Name, Limits: limits}
		s.setHosts(hosts)
		s.confirm(now)
		sets = append(sets, s)
	}
	count := func(at time.Duration) (watching int) {
		for _, s := range sets {
			if s.watchesStore(at) {
				watching++
			}
		}
		return watching
	}
	if got := count(now); got != 0 {
		t.Fatalf("%d hosts watch the store besides the two watchers", got)
	}
	for _, s := range sets {
		for _, l := range lost {
			s.fail(l.Link)
		}
	}
	if got := count(now + limits.Max - 1); got != maxWatchers {
		t.Errorf("%d hosts watch the store just after the loss, want the %d next ones", got, maxWatchers)
	}
	if got := count(now + limits.Max + limits.Takeover/2); got > n*2/3 {
		t.Errorf("%d hosts without a source turn to the store in half of the takeover time", got)
	}
	if got := count(now + limits.Max + limits.Takeover); got != n-maxWatchers {
		t.Errorf("%d hosts without a source turn to the store in time, want all %d", got, n-maxWatchers)
	}
	for _, s := range sets {
		sources, isWatcher := s.choose()
		if !isWatcher && len(sources) != maxWatchers {
			t.Fatalf("%s has %d sources", s.Self, len(sources))
		}
		s.confirm(now + 10*time.Second)
	}
	if got := count(now + 10*time.Second); got != maxWatchers {
		t.Errorf("%d hosts watch the store later, want %d", got, maxWatchers)
	}
}

// Guards against a host that stays without changes when no source is live, and against one that calls the store at its
// start although its seeds may know the state.
func TestWatchesStoreWithoutSource(t *testing.T) {
	now := time.Hour
	hosts := fleetOf(10)
	for _, tt := range []struct {
		name  string
		set   *sourceSet
		hosts []topo.Host
		after time.Duration
		want  bool
	}{
		{"start without seeds", &sourceSet{Self: "host-009"}, nil, 0, true},
		{"start with seeds", &sourceSet{Self: "host-009", WaitsAtStart: true}, nil, 0, false},
		{"start, seeds do not respond", &sourceSet{Self: "host-009", WaitsAtStart: true}, nil, sourceWait, true},
		{"no live source", &sourceSet{Self: "host-009"}, hosts, 0, false},
		{"no live source for a while", &sourceSet{Self: "host-009"}, hosts, sourceWait + 10*takeoverSpread, true},
		{"a watcher", &sourceSet{Self: "host-000"}, hosts, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.set.Limits = newAgeLimits(testDrainTime)
			tt.set.setHosts(tt.hosts)
			tt.set.watchesStore(now)
			if got := tt.set.watchesStore(now + tt.after); got != tt.want {
				t.Errorf("watches the store: %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a source that is never used again after it has failed once, and against probes of all hosts at once.
func TestFailedSourcesAreProbed(t *testing.T) {
	now := time.Unix(1000, 0)
	hosts := fleetOf(10)
	s := &sourceSet{Self: "host-009"}
	s.setHosts(hosts)
	for _, o := range hosts[:5] {
		s.fail(o.Link)
	}
	probes := s.dueProbes(now)
	if len(probes) != maxProbes || probes[0].Name != "host-000" {
		t.Errorf("probes of %q", names(probes))
	}
	if again := s.dueProbes(now.Add(probeInterval / 2)); len(again) > 0 {
		t.Errorf("probes of %q again after half the interval", names(again))
	}
	s.restore(hosts[0].Link)
	if got, _ := s.choose(); len(got) == 0 || got[0].Name != "host-000" {
		t.Errorf("sources %q after host-000 works again", names(got))
	}
}
