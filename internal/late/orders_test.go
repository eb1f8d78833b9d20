package late_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/late"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against an order that is forgotten while an engine may carry it out after a restart, and against one that is
// remembered for ever or for another engine.
func TestOrders(t *testing.T) {
	start := time.Now()
	sentTo := topo.Instance{ID: "e", Boot: 1}
	for _, tt := range []struct {
		name  string
		id    topo.Instance
		after time.Duration
		want  int
	}{
		{"the same instance", sentTo, 0, 0},
		{"started again", topo.Instance{ID: "e", Boot: 2}, 12 * time.Second, 1},
		{"started again, too late", topo.Instance{ID: "e", Boot: 2}, 12*time.Second + 1, 0},
		{"another engine", topo.Instance{ID: "f", Boot: 2}, 0, 0},
	} {
		var o late.Orders
		o.Add(start, sentTo, topo.Order{Model: "m"})
		if got := o.Before(start.Add(tt.after), tt.id); len(got) != tt.want {
			t.Errorf("%s: %v, want %d orders", tt.name, got, tt.want)
		}
	}
}
