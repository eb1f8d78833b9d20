package sched_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against calls to an engine that has just stated that it is slow, against an engine that is shunned for a figure
// that is long past, and against one that is left out altogether however slow it says it is.
func TestStatedSlowdown(t *testing.T) {
	for _, tt := range []struct {
		name     string
		slowdown float64
		age      time.Duration
		calls    int
		want     string // engine of the last of the calls
	}{
		{"as usual", 1, 0, 1, "e0"},
		{"slow now", 2.5, 0, 1, "e1"},
		{"was slow long ago", 2.5, 5 * time.Second, 1, "e0"},
		{"absurdly slow, the other has work", 100, 0, 6, "e0"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler(2)
			first := s.Schedule(start, call("first", 2000))
			if first.Grant.Engine != "e0" {
				t.Fatalf("first call on %s", first.Grant.Engine)
			}
			now := start.Add(72 * time.Millisecond)
			load := &topo.Load{Running: 1, Slots: 8, Slowdown: tt.slowdown}
			s.SetLoad(now, first.Grant.Ticket, load)
			s.FirstEvent(now, first.Grant.Ticket)
			s.Release(now, first.Grant.Ticket, sched.Served)
			now = now.Add(tt.age)
			engines := make(map[string]int)
			var last sched.Decision
			for i := range tt.calls {
				last = s.Schedule(now, call(strconv.Itoa(i), 2000))
				engines[last.Grant.Engine]++
			}
			if tt.calls == 1 && last.Grant.Engine != tt.want {
				t.Errorf("call on %s, want %s", last.Grant.Engine, tt.want)
			}
			if tt.calls > 1 && engines[tt.want] == 0 {
				t.Errorf("none of %d calls on %s", tt.calls, tt.want)
			}
		})
	}
}
