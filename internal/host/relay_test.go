package host

import (
	"testing"

	"github.com/figreel/figreel/internal/topo"
)

// Guards against a small machine that becomes the leader although there are larger ones, and against a rolling restart
// that makes the next host to stop the leader. Each change of the leader costs the handover delay, in which no orders
// are sent.
func TestRankOf(t *testing.T) {
	hosts := []topo.Host{
		{Name: "a", Registered: 90},
		{Name: "b", Registered: 11},
		{Name: "c", Registered: 12},
		{Name: "d", Registered: 95},
		{Name: "e", Registered: 1, Cores: 0.8},
	}
	for _, tt := range []struct {
		self, last string
		want       int
	}{
		{"d", "", 1},
		{"a", "", 2},
		{"c", "", 3},
		{"b", "", 4},
		{"a", "d", 1},
		{"not registered yet", "", 5},
		{"e", "", 0},
	} {
		if got := rankOf(hosts, tt.self, tt.last); got != tt.want {
			t.Errorf("%s after %q: rank %d, want %d", tt.self, tt.last, got, tt.want)
		}
	}
}
