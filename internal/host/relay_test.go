package host

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/topo"
)

// Guards against orders of a leader that cannot reach the store while another host still reaches it and has become
// leader.
func TestConfirmsOutage(t *testing.T) {
	noResponse := errors.New("no response")
	for _, tt := range []struct {
		name      string
		responses []error
		want      bool
	}{
		{"no other host", nil, false},
		{"no host reaches the store", []error{
			errSourceLostStore, errSourceLostStore, errSourceLostStore, errSourceLostStore,
		}, true},
		{"one host reaches the store", []error{errSourceLostStore, errSourceLostStore, errSourceLostStore, nil}, false},
		{"one does not respond", []error{errSourceLostStore, noResponse, errSourceLostStore, errSourceLostStore}, true},
		{"most do not respond", []error{errSourceLostStore, noResponse, noResponse, noResponse}, false},
		{"half do not respond", []error{errSourceLostStore, errSourceLostStore, noResponse, noResponse}, false},
		{"the only other host does not reach the store", []error{errSourceLostStore}, true},
		{"the only other host does not respond", []error{noResponse}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := confirmsOutage(tt.responses); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against orders just after a suspension of the machine, during which the store may have become reachable and
// another host leader.
func TestOutageConfirmationEndsWithSuspension(t *testing.T) {
	now := time.Minute
	r := &watchRelay{now: func() time.Duration { return now }}
	if r.outageConfirmed() {
		t.Error("outage confirmed before any probe")
	}
	r.outageConfirmedAt = now
	now += outageTTL / 2
	if !r.outageConfirmed() {
		t.Error("outage not confirmed just after a probe")
	}
	now += 20 * time.Second
	if r.outageConfirmed() {
		t.Error("outage confirmed after a suspension of 20 s")
	}
}

// Guards against a number of watchers that grows with that of the failure domains, and against watchers that are all in
// one domain though there are more.
func TestWatchersOf(t *testing.T) {
	host := func(domain, name string) topo.Host { return topo.Host{Domain: domain, Name: name} }
	for _, tt := range []struct {
		name  string
		hosts []topo.Host
		want  string
	}{
		{"none", nil, ""},
		{"one", []topo.Host{host("a", "1")}, "1"},
		{"one domain", []topo.Host{host("a", "1"), host("a", "2"), host("a", "3")}, "12"},
		{"two domains", []topo.Host{host("a", "1"), host("a", "2"), host("b", "3")}, "13"},
		{"four domains", []topo.Host{host("a", "1"), host("b", "2"), host("c", "3"), host("d", "4")}, "12"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			for _, o := range watchersOf(tt.hosts) {
				got += o.Name
			}
			if got != tt.want {
				t.Errorf("watchers %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a rolling restart that makes the next host to stop the leader. Each change of the leader costs the
// handover delay, in which no orders are sent.
func TestRankOf(t *testing.T) {
	hosts := []topo.Host{
		{Name: "a", Registered: 90},
		{Name: "b", Registered: 11},
		{Name: "c", Registered: 12},
		{Name: "d", Registered: 95},
	}
	for _, tt := range []struct {
		self, last string
		want       int
	}{
		{"d", "", 0},
		{"a", "", 1},
		{"c", "", 2},
		{"b", "", 3},
		{"a", "d", 0},
		{"not registered yet", "", 4},
	} {
		if got := rankOf(hosts, tt.self, tt.last); got != tt.want {
			t.Errorf("%s after %q: rank %d, want %d", tt.self, tt.last, got, tt.want)
		}
	}
}
