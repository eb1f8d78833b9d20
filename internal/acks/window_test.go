package acks_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/acks"
)

// Guards against a peer that counts as stalled while it acknowledges messages, has none to acknowledge, or never does,
// and against one that does not count as stalled although messages wait for it.
func TestStalled(t *testing.T) {
	const ms = time.Millisecond
	type step struct {
		at    time.Duration
		sent  bool
		acked uint64 // 0 for none
		want  time.Duration
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"never acknowledged", []step{{0, true, 0, 0}, {time.Hour, true, 0, 0}}},
		{"idle", []step{{0, true, 1, 0}, {time.Hour, false, 0, 0}, {time.Hour, true, 0, 0}}},
		{"nothing is acknowledged", []step{
			{0, true, 1, 0}, {50 * ms, true, 0, 0}, {60 * ms, true, 0, 10 * ms}, {90 * ms, false, 0, 40 * ms},
		}},
		{"the rest is acknowledged late", []step{
			{0, true, 1, 0},
			{0, true, 0, 0},
			{0, true, 0, 0},
			{30 * ms, false, 2, 0},
			{50 * ms, false, 0, 20 * ms},
			{60 * ms, false, 3, 0},
			{90 * ms, false, 0, 0},
		}},
		{"counts that are old or too high", []step{
			{0, true, 1, 0}, {0, true, 0, 0}, {30 * ms, false, 1, 30 * ms}, {40 * ms, false, 9, 40 * ms},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var w acks.Window
			start := time.Now()
			for _, s := range tt.steps {
				now := start.Add(s.at)
				if s.sent {
					w.Sent(now)
				}
				if s.acked > 0 {
					w.Acked(now, s.acked)
				}
				if got := w.Stalled(now); got != s.want {
					t.Errorf("at %v: stalled for %v, want %v", s.at, got, s.want)
				}
			}
		})
	}
}
