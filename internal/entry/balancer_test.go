package entry_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against calls to an upstream of a plain service that has just stated that it is full or slow, and against one
// that is shunned for a figure that is past.
func TestBalancerUsesStatedLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []*topo.Upstream{{ID: "a"}, {ID: "b"}}
	for _, tt := range []struct {
		name  string
		load  *topo.Load
		age   time.Duration
		least int // calls of 100 on a
		most  int
	}{
		{"none", nil, 0, 20, 80},
		{"full", &topo.Load{Running: 6, Waiting: 6, Slots: 6, Slowdown: 1}, 0, 0, 0},
		{"slow", &topo.Load{Slots: 6, Slowdown: 2.5}, 0, 0, 0},
		{"full, long ago", &topo.Load{Running: 6, Waiting: 6, Slots: 6, Slowdown: 1}, 3 * time.Second, 20, 80},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := &entry.Balancer{Upstreams: func(string) []*topo.Upstream { return list }}
			b.SetLoad(now, "a", tt.load)
			at := now.Add(tt.age)
			onA := 0
			for range 100 {
				u, _ := b.Pick(at, "plain", nil, 0)
				if u.ID == "a" {
					onA++
				}
				b.Done(at, u.ID, false)
			}
			if onA < tt.least || onA > tt.most {
				t.Errorf("%d of 100 calls on a, want %d to %d", onA, tt.least, tt.most)
			}
		})
	}
	b := &entry.Balancer{Upstreams: func(string) []*topo.Upstream { return list }}
	b.SetLoad(now, "a", &topo.Load{Running: 60000, Slots: 1, Slowdown: 100})
	for range 20 {
		if u, _ := b.Pick(now, "plain", nil, 0); u.ID == "a" {
			return
		}
	}
	t.Error("an upstream that states an absurd load gets none of 20 calls at once")
}
