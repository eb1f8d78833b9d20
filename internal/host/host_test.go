package host

import (
	"slices"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// stoppingHost returns a host that got the stop signal the given time ago, or none if the time is negative.
func stoppingHost(since time.Duration) *Host {
	h := &Host{Settings: Settings{Name: "h1", Front: "front1", Grace: 8 * time.Second, AddressTTL: 5 * time.Second}}
	h.cache = testCache(&stub.Store{})
	h.cache.config = &topo.Config{Version: 1}
	if since >= 0 {
		h.stoppingSince.Store(int64(clock.SinceBoot() - since))
	}
	return h
}

// Guards against a stopping host that rejects calls of callers that have not learned of the stop, or that accepts calls
// until it is killed.
func TestStopStages(t *testing.T) {
	for _, tt := range []struct {
		name               string
		since              time.Duration
		closing, rejecting bool
	}{
		{"running", -1, false, false},
		{"just stopped", 0, true, false},
		{"callers may still hold old addresses", 2 * time.Second, true, false},
		{"about to end", rejectAfter + 100*time.Millisecond, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := stoppingHost(tt.since)
			if closing, rejecting := h.stopStage(); closing != tt.closing || rejecting != tt.rejecting {
				t.Errorf("closing %v and rejecting %v", closing, rejecting)
			}
			if ready := h.ready(); ready != (tt.since < 0) {
				t.Errorf("ready is %v", ready)
			}
		})
	}
}

// Guards against addresses of stopping hosts or of hosts that are not ready, and against an empty list.
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
		{"no host known", -1, nil, "a", []string{"front1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := stoppingHost(tt.since)
			h.cache.hosts = tt.hosts
			got, ttl := h.addresses(tt.domain)
			if !slices.Equal(got, tt.want) {
				t.Errorf("addresses %v, want %v", got, tt.want)
			}
			if ttl <= 0 || ttl > addressTTL {
				t.Errorf("ttl %v", ttl)
			}
		})
	}
}
