package host

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/store/stub"
)

// Guards against streams that cannot be taken up because all hosts were lost while their service had one software
// version and a second one has joined since, and against streams that go on at another version because more is assumed
// of them than is known.
func TestTakeUpAfterLossOfAllHosts(t *testing.T) {
	const unknown, gone = sched.ReasonVersionUnknown, sched.ReasonVersionGone
	type world struct {
		t     *testing.T
		ctx   context.Context
		store *stub.Store
	}
	// start starts a host that has no leader.
	start := func(w world, versions ...string) *ticketService {
		tk := streamTickets(w.store, versions...)
		go tk.streams.run(w.ctx)
		time.Sleep(time.Second)
		return tk
	}
	for _, tt := range []struct {
		name string
		// again starts the hosts again and returns the one at which the stream is taken up.
		again func(w world) *ticketService
		want  string
	}{
		{"the second version joins later", func(w world) *ticketService {
			h := start(w, "v1")
			list(h, "v1", "v2")
			time.Sleep(time.Second)
			return h
		}, "v1"},
		{"the second version joins before the hosts start", func(w world) *ticketService {
			return start(w, "v1", "v2")
		}, "v1"},
		{"another version has replaced it", func(w world) *ticketService { return start(w, "v2") }, gone},
		{"a host that has started last leads", func(w world) *ticketService {
			first := start(w, "v1")
			list(first, "v1", "v2")
			time.Sleep(time.Second)
			last := start(w, "v1", "v2")
			if got := takeUp(w.t, last, "a"); got != unknown {
				w.t.Errorf("take-up at a host that has only seen both versions: %q, want %q", got, unknown)
			}
			follow(w.t, first, last)
			time.Sleep(time.Second)
			return last
		}, "v1"},
		{"streams of before have ended", func(w world) *ticketService {
			h := start(w, "v1")
			list(h, "v1", "v2")
			time.Sleep(3 * streamTimeout)
			return h
		}, unknown},
		{"all hosts are lost again beside the second version", func(w world) *ticketService {
			list(start(w, "v1"), "v1", "v2")
			time.Sleep(time.Second)
			return start(w, "v1", "v2")
		}, unknown},
		{"the store is restored", func(w world) *ticketService {
			w.store.Restore(w.store.Copy())
			return start(w, "v1", "v2")
		}, unknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				list(leader, "v1")
				time.Sleep(time.Second)
				begin(leader, leader, "a", "v1")
				if got := takeUp(t, tt.again(world{t, ctx, s}), "a"); got != tt.want {
					t.Errorf("take-up: %q, want %q", got, tt.want)
				}
			})
		})
	}
}

// Guards against a note of a single version by a leader that cannot know it, because it has started later than streams
// that may still be taken up, and against one that is never written then.
func TestNoteOfLaterLeader(t *testing.T) {
	withLeader(t, func(t *testing.T, s *stub.Store, leader *ticketService) {
		list(leader, "v1")
		note := func() string { return s.Value(streamPrefix + "single/llm") }
		time.Sleep(time.Second)
		if got := note(); !strings.Contains(got, `"v1"`) {
			t.Errorf("note of the first leader: %q", got)
		}
		// The first leader takes its note for written until it reads the store again.
		s.Delete(streamPrefix + "single/llm")
		later := streamTickets(s, "v1")
		later.elector = leader.elector
		later.streams.first = func() bool { return false }
		later.streams.elector, later.streams.knownEra = leader.elector, leader.streams.knownEra
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go later.streams.run(ctx)
		time.Sleep(streamTimeout)
		if got := note(); got != "" {
			t.Errorf("note of a leader that has started later: %q", got)
		}
		time.Sleep(2 * streamTimeout)
		if got := note(); !strings.Contains(got, `"v1"`) {
			t.Errorf("note of that leader when all earlier streams have ended: %q", got)
		}
	})
}
