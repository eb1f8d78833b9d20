package host

import (
	"slices"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// stoppingHost got the signal to stop some time ago; negative is no signal.
func stoppingHost(since time.Duration) *Host {
	h := &Host{Settings: Settings{Name: "h1", Front: "front1", Grace: 8 * time.Second, AddressTTL: 5 * time.Second}}
	h.view = testView(&stub.Store{})
	h.view.config = &topo.Config{Version: 1}
	if since >= 0 {
		h.stopping.Store(int64(clock.SinceBoot() - since))
	}
	return h
}

// Guards against a stop that refuses calls of callers which have not heard of it, or takes calls until it is killed.
func TestStopStages(t *testing.T) {
	for _, tt := range []struct {
		name              string
		since             time.Duration
		closing, refusing bool
	}{
		{"running", -1, false, false},
		{"just stopped", 0, true, false},
		{"callers may still hold old addresses", 2 * time.Second, true, false},
		{"about to end", refuseAfter + 100*time.Millisecond, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := stoppingHost(tt.since)
			if closing, refusing := h.stage(); closing != tt.closing || refusing != tt.refusing {
				t.Errorf("closing %v and refusing %v", closing, refusing)
			}
			if ready := h.ready(); ready != (tt.since < 0) {
				t.Errorf("ready is %v", ready)
			}
		})
	}
}

// Guards against callers that are sent to a stopping host or to one that is not ready, and against an empty answer.
func TestAddresses(t *testing.T) {
	hosts := map[string]topo.Host{
		"1": {Name: "h1", Front: "front1", Domain: "a", Ready: true},
		"2": {Name: "h2", Front: "front2", Domain: "b", Ready: true},
		"3": {Name: "h3", Front: "front3", Domain: "b"},
		"4": {Name: "h4", Front: "front4", Domain: "a", Ready: true},
	}
	for _, tt := range []struct {
		name   string
		since  time.Duration
		hosts  map[string]topo.Host
		domain string
		want   []string
	}{
		{"own failure domain first", -1, hosts, "b", []string{"front2", "front1", "front4"}},
		{"stopping", time.Second, hosts, "a", []string{"front4", "front2"}},
		{"nobody known", -1, nil, "a", []string{"front1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := stoppingHost(tt.since)
			h.view.hosts = tt.hosts
			got, ttl := h.addresses(tt.domain)
			if !slices.Equal(got, tt.want) {
				t.Errorf("addresses %v, want %v", got, tt.want)
			}
			if ttl <= 0 || ttl > addressTime {
				t.Errorf("kept for %v", ttl)
			}
		})
	}
}
