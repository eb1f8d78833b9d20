package host

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/topo"
)

// Guards against orders of a holder that the store has turned away while another host, which the store serves, has
// taken the seat.
func TestAwayForAll(t *testing.T) {
	silent := errors.New("no answer")
	for _, tt := range []struct {
		name    string
		answers []error
		want    bool
	}{
		{"nobody to ask", nil, false},
		{"all have lost it", []error{errSourceFails, errSourceFails, errSourceFails, errSourceFails}, true},
		{"one has it", []error{errSourceFails, errSourceFails, errSourceFails, nil}, false},
		{"one does not answer", []error{errSourceFails, silent, errSourceFails, errSourceFails}, true},
		{"most do not answer", []error{errSourceFails, silent, silent, silent}, false},
		{"half do not answer", []error{errSourceFails, errSourceFails, silent, silent}, false},
		{"the only other host has lost it", []error{errSourceFails}, true},
		{"the only other host is silent", []error{silent}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got := awayForAll(tt.answers); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against orders just after a suspension, during which the store may have come back and the seat moved.
func TestVouchEndsWithSuspension(t *testing.T) {
	now := time.Minute
	r := &relay{now: func() time.Duration { return now }}
	if r.vouched() {
		t.Error("vouched before any host was asked")
	}
	r.vouch = now
	now += vouchAge / 2
	if !r.vouched() {
		t.Error("not vouched just after hosts have said so")
	}
	now += 20 * time.Second
	if r.vouched() {
		t.Error("vouched after a suspension of 20 s")
	}
}

// Guards against calls to the store that grow with the failure domains, and against watching hosts in one domain only.
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
				t.Errorf("watching hosts %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against a seat that is handed, while hosts are restarted one after the other, to the next host to stop; each
// change costs the time between the turns of two hosts.
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
