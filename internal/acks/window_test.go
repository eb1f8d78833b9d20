package acks_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/acks"
)

// Guards against a peer that counts as stalled while it acknowledges messages, has none to acknowledge, or never does,
// and against one that does not count as stalled although messages wait for it.
func TestStalled(t *testing.T) {
	const ms, sent = time.Millisecond, 0
	type step struct {
		at   time.Duration
		what uint64 // sent, or the count that is acknowledged
		want time.Duration
	}
	for name, steps := range map[string][]step{
		"never acknowledged":        {{0, sent, 0}, {time.Hour, sent, 0}},
		"idle":                      {{0, sent, 0}, {0, 1, 0}, {time.Hour, 1, 0}, {time.Hour, sent, 0}},
		"nothing more acknowledged": {{0, sent, 0}, {0, 1, 0}, {50 * ms, sent, 0}, {60 * ms, sent, 10 * ms}},
		"acknowledged late": {
			{0, sent, 0}, {0, sent, 0}, {0, sent, 0}, {30 * ms, 2, 0}, {50 * ms, 2, 20 * ms}, {60 * ms, 3, 0},
		},
		"invalid counts": {{0, sent, 0}, {0, 1, 0}, {0, sent, 0}, {30 * ms, 1, 30 * ms}, {40 * ms, 9, 40 * ms}},
	} {
		var w acks.Window
		start := time.Now()
		for _, s := range steps {
			now := start.Add(s.at)
			if s.what == sent {
				w.Sent(now)
			} else {
				w.Acked(now, s.what)
			}
			if got := w.Stalled(now); got != s.want {
				t.Errorf("%s, at %v: stalled for %v, want %v", name, s.at, got, s.want)
			}
		}
	}
}
