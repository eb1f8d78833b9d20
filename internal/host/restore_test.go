package host

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
)

// Guards against changes that are missed after the store came back from an older copy, against a return to an older
// configuration, and against calls to upstreams that only the copy still has.
func TestRestoredStore(t *testing.T) {
	type step func(s *stub.Store)
	set := func(key, value string) step { return func(s *stub.Store) { s.Set(key, value) } }
	remove := func(key string) step { return func(s *stub.Store) { s.Delete(key) } }
	wait := func(d time.Duration) step { return func(*stub.Store) { time.Sleep(d) } }
	many := func(s *stub.Store) {
		for range 20 {
			s.Set("other/key", "value")
		}
	}
	for _, tt := range []struct {
		name    string
		lost    []step // changes that the copy does not have
		unseen  []step // changes between the restore and the time at which the host reaches the store again
		seen    []step // changes after that
		after   time.Duration
		version int64
		ids     string
	}{
		{"newer configuration", []step{many}, nil, []step{set("conf/main", "7")}, time.Second, 7, "e1 e2"},
		{"lost configuration", []step{set("conf/main", "7")}, nil, nil, time.Second, 7, "e1 e2"},
		{
			"lost configuration, written again",
			[]step{many, set("conf/main", "7")},
			[]step{set("conf/main", "7")},
			[]step{wait(time.Second), set("conf/main", "9")},
			time.Second, 9, "e1 e2",
		},
		{"leaving after the restore", []step{many}, nil, []step{set("up/e1", "llm leaving")}, time.Second, 5, "e2"},
		{
			"revisions given out again before the host returns",
			[]step{many},
			[]step{set("conf/main", "7"), set("up/e1", "llm leaving"), set("up/e3", "llm ready"), many, many},
			nil, time.Second, 7, "e2 e3",
		},
		{"leaving before the restore", []step{set("up/e1", "llm leaving")}, nil, nil, 8 * time.Second, 5, "e2"},
		{"removed before the restore", []step{remove("up/e1")}, nil, nil, 4 * time.Second, 5, "e2"},
		{
			"removed before the restore, written again",
			[]step{remove("up/e1")},
			nil,
			[]step{wait(time.Second), set("up/e1", "llm ready")},
			time.Second, 5, "e1 e2",
		},
		{
			"removed before the restore, written again at once",
			[]step{remove("up/e1")},
			[]step{set("up/e1", "llm ready")},
			nil, 7 * time.Second, 5, "e1 e2",
		},
		{"new before the restore", []step{set("up/e3", "llm ready")}, nil, nil, time.Second, 5, "e1 e2 e3"},
		{
			"new before the restore, not written again",
			[]step{set("up/e3", "llm ready")},
			nil, nil, 3 * time.Second, 5,
			"e1 e2",
		},
		{
			"new before the restore, written again",
			[]step{set("up/e3", "llm ready")},
			nil,
			[]step{wait(time.Second), set("up/e3", "llm ready")},
			3 * time.Second, 5, "e1 e2 e3",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withCache(t, func(s *stub.Store, sc *storeCache) {
				older := s.Copy()
				for _, f := range tt.lost {
					f(s)
				}
				time.Sleep(time.Second)
				s.Do(func() { s.Fault = func(string) error { return store.ErrNotExecuted } })
				time.Sleep(500 * time.Millisecond)
				s.Restore(older)
				for _, f := range tt.unseen {
					f(s)
				}
				lists := s.Calls("list")
				s.Do(func() { s.Fault = nil })
				for _, f := range tt.seen {
					f(s)
				}
				time.Sleep(tt.after)
				if got := sc.Config().Version; got != tt.version {
					t.Errorf("version %d, want %d", got, tt.version)
				}
				if got := ids(sc); got != tt.ids {
					t.Errorf("upstreams %q, want %q", got, tt.ids)
				}
				if n := s.Calls("list") - lists; n > 2*len(sc.prefixes()) {
					t.Errorf("%d lists after the restore", n)
				}
			})
		})
	}
}

// Guards against a host that lists all items again and again if each watch of a store fails.
func TestListsBackOff(t *testing.T) {
	withCache(t, func(s *stub.Store, _ *storeCache) {
		before := s.Calls("list")
		s.Do(func() {
			s.Fault = func(kind string) error {
				if kind == "watch" {
					return store.ErrCompacted
				}
				return nil
			}
		})
		time.Sleep(10 * time.Second)
		if n := s.Calls("list") - before; n > 100 {
			t.Errorf("%d lists in 10 s", n)
		}
	})
}

// Guards against hosts that get changes from other hosts and miss them after a restore of the store.
func TestFleetAfterRestore(t *testing.T) {
	// The race detector of Go 1.26 crashes now and then if several processors run the timers of one bubble.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 6)
		time.Sleep(5 * time.Second)
		older := f.store.Copy()
		for range 50 {
			f.store.Set("other/key", "value")
		}
		f.store.Set("up/e3", "llm ready")
		f.store.Set("conf/main", "7")
		time.Sleep(2 * time.Second)
		f.store.Restore(older)
		f.store.Set("conf/main", "7")
		f.store.Set("up/e3", "llm ready")
		time.Sleep(3 * time.Second)
		for _, h := range f.hosts {
			if got := ids(h.cache); got != "e1 e2 e3" {
				t.Errorf("%s: upstreams %q after the restore", h.name, got)
			}
			if f.store.Value(elect.HostPrefix+h.name) == "" {
				t.Errorf("%s is not registered", h.name)
			}
		}
		f.store.Set("up/e1", "llm leaving")
		f.store.Set("conf/main", "9")
		time.Sleep(testDrainTime - testCallTime)
		for _, h := range f.hosts {
			if got := ids(h.cache); got != "e2 e3" || h.cache.Config().Version != 9 {
				t.Errorf("%s: upstreams %q, version %d", h.name, got, h.cache.Config().Version)
			}
		}
		cancel()
		time.Sleep(15 * time.Second)
	})
}
