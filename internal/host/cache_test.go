package host

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// testPlatform returns a platform whose configurations are version numbers and whose upstreams look like "svc ready",
// with the resident models and "software:v1" after it.
func testPlatform(s store.Store) *Platform {
	return &Platform{
		Store: s, ConfigPrefix: "conf/", UpstreamPrefix: "up/",
		Config: func(it store.Item) (*topo.Config, error) {
			n, err := strconv.ParseInt(string(it.Value), 10, 64)
			return &topo.Config{Version: n}, err
		},
		Upstream: func(it store.Item) (*topo.Upstream, error) {
			words := strings.Fields(string(it.Value))
			if len(words) < 2 {
				return nil, errors.New("not an upstream")
			}
			id := strings.TrimPrefix(it.Key, "up/")
			u := &topo.Upstream{ID: id, Service: words[0], Leaving: words[1] == "leaving"}
			for _, word := range words[2:] {
				if software, ok := strings.CutPrefix(word, "software:"); ok {
					u.Software, u.Slots = software, 8
					continue
				}
				u.Models = append(u.Models, topo.Resident{Name: word})
			}
			return u, nil
		},
	}
}

func testCache(s store.Store) *storeCache {
	st := &elect.Elector{Store: s, Log: zerolog.Nop(), LeadershipChanged: func(bool) {}}
	sc := newStoreCache(testPlatform(s), newAgeLimits(testDrainTime), st, &stats.Set{}, zerolog.Nop())
	sc.onChange = func() {}
	started := time.Now()
	sc.now = func() time.Duration { return time.Since(started) + time.Second }
	return sc
}

// withCache runs f with a cache that watches a fake store in virtual time.
func withCache(t *testing.T, f func(s *stub.Store, sc *storeCache)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &stub.Store{}
		s.Set("conf/main", "5")
		s.Set("up/e1", "llm ready")
		s.Set("up/e2", "llm ready")
		sc := testCache(s)
		for _, prefix := range sc.prefixes() {
			go sc.run(ctx, prefix, func() bool { return true })
		}
		time.Sleep(time.Second)
		f(s, sc)
		cancel()
		time.Sleep(15 * time.Second)
	})
}

func ids(sc *storeCache) string {
	sc.expireGrace(time.Now())
	var out []string
	for _, u := range sc.Upstreams("llm") {
		out = append(out, u.ID)
	}
	return strings.Join(out, " ")
}

// Guards against a return to an older configuration, and against upstreams that are used after they left or removed too
// early.
func TestStoreCache(t *testing.T) {
	outage := func(string) error { return store.ErrNotExecuted }
	for _, tt := range []struct {
		name    string
		do      func(s *stub.Store)
		after   time.Duration
		version int64
		ids     string
	}{
		{"start", func(*stub.Store) {}, 0, 5, "e1 e2"},
		{"newer configuration", func(s *stub.Store) { s.Set("conf/main", "7") }, time.Second, 7, "e1 e2"},
		{"older configuration", func(s *stub.Store) { s.Set("conf/main", "4") }, time.Second, 5, "e1 e2"},
		{"unreadable configuration", func(s *stub.Store) { s.Set("conf/main", "x") }, time.Second, 5, "e1 e2"},
		{"leaving", func(s *stub.Store) { s.Set("up/e1", "llm leaving") }, time.Second, 5, "e2"},
		{"removed", func(s *stub.Store) { s.Delete("up/e1") }, time.Second, 5, "e2"},
		{"entry of another writer", func(s *stub.Store) { s.Set("up/x", "?") }, time.Second, 5, "e1 e2"},
		{"entry made unreadable", func(s *stub.Store) { s.Set("up/e1", "?") }, time.Second, 5, "e2"},
		{"history compacted", func(s *stub.Store) {
			s.Delete("up/e1")
			s.Set("conf/main", "9")
			s.Compact()
		}, time.Second, 9, "e2"},
		{"store unreachable", func(s *stub.Store) {
			s.Do(func() { s.Fault = outage })
		}, 20 * time.Second, 5, "e1 e2"},
		{"entries expired while the store was unreachable", func(s *stub.Store) {
			s.Do(func() { s.Fault = outage })
			time.Sleep(2 * time.Second)
			s.Delete("up/e1")
			s.Delete("up/e2")
			s.Do(func() { s.Fault = nil })
		}, time.Second, 5, "e1 e2"},
		{"expired, one written again", func(s *stub.Store) {
			s.Do(func() { s.Fault = outage })
			time.Sleep(2 * time.Second)
			s.Delete("up/e1")
			s.Delete("up/e2")
			s.Do(func() { s.Fault = nil })
			time.Sleep(time.Second)
			s.Set("up/e1", "llm ready")
		}, 2 * time.Second, 5, "e1"},
		{"removed some time after the store was reachable again", func(s *stub.Store) {
			s.Do(func() { s.Fault = outage })
			time.Sleep(2 * time.Second)
			s.Do(func() { s.Fault = nil })
			time.Sleep(3 * time.Second)
			s.Delete("up/e1")
		}, 500 * time.Millisecond, 5, "e2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withCache(t, func(s *stub.Store, sc *storeCache) {
				tt.do(s)
				time.Sleep(tt.after)
				if got := sc.Config().Version; got != tt.version {
					t.Errorf("version %d, want %d", got, tt.version)
				}
				if got := ids(sc); got != tt.ids {
					t.Errorf("upstreams %q, want %q", got, tt.ids)
				}
			})
		})
	}
}

// Guards against calls to a departed upstream because a host that had stopped watching the store during an outage takes
// its next own call, long after that outage, for the end of it.
func TestOldOutageGivesNoGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &stub.Store{}
		s.Set("up/e1", "llm ready")
		s.Set("up/e2", "llm ready")
		sc := testCache(s)
		var idle atomic.Bool
		go sc.run(ctx, "up/", func() bool { return !idle.Load() })
		time.Sleep(time.Second)
		s.Do(func() { s.Fault = func(string) error { return store.ErrNotExecuted } })
		time.Sleep(2 * time.Second)
		idle.Store(true)
		time.Sleep(2 * time.Second)
		s.Do(func() { s.Fault = nil })
		time.Sleep(6 * time.Second)
		if sc.unreachable() {
			t.Error("the store counts as unreachable although this host does not call it")
		}
		s.Delete("up/e1")
		idle.Store(false)
		time.Sleep(2 * roleInterval)
		if got := ids(sc); got != "e2" {
			t.Errorf("upstreams %q, want e2", got)
		}
		cancel()
		time.Sleep(15 * time.Second)
	})
}

// Guards against calls to a departed upstream by a host that takes the loss of its own path to the store for an outage
// of the store, and against upstreams that are lost to a real outage.
func TestGraceNeedsConfirmedOutage(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(sc *storeCache) // what other hosts say during the outage
		ids  string
	}{
		{"other hosts cannot reach the store either", func(sc *storeCache) { sc.confirmOutage() }, "e1 e2"},
		{"no other host responds", func(*storeCache) {}, "e2"},
		{"some hosts can reach the store", func(sc *storeCache) {
			sc.confirm("up/", sc.now())
			time.Sleep(100 * time.Millisecond)
			sc.confirmOutage()
		}, "e2"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withCache(t, func(s *stub.Store, sc *storeCache) {
				s.Set(elect.HostPrefix+"other", `{"Name":"other"}`)
				time.Sleep(time.Second)
				s.Do(func() { s.Fault = func(string) error { return store.ErrNotExecuted } })
				time.Sleep(2 * time.Second)
				tt.do(sc)
				s.Delete("up/e1")
				s.Do(func() { s.Fault = nil })
				time.Sleep(1400 * time.Millisecond)
				if got := ids(sc); got != tt.ids {
					t.Errorf("upstreams %q after the outage, want %q", got, tt.ids)
				}
				time.Sleep(2 * time.Second)
				if got := ids(sc); got != "e2" {
					t.Errorf("upstreams %q after the grace period, want e2", got)
				}
			})
		})
	}
}

// Guards against losing changes when a host gets them from another host instead of from the store.
func TestChanges(t *testing.T) {
	withCache(t, func(s *stub.Store, sc *storeCache) {
		other := testCache(&stub.Store{})
		transfer := func() {
			var known []link.PrefixState
			for _, p := range other.states {
				known = append(known, link.PrefixState{Prefix: p.prefix, Revision: p.version.Revision})
			}
			states, _, _, _ := sc.changes(known)
			other.merge(states, "another host")
		}
		transfer()
		if got := ids(other); got != "e1 e2" {
			t.Fatalf("all items: %q", got)
		}
		s.Delete("up/e1")
		s.Set("up/e3", "llm ready")
		time.Sleep(time.Second)
		transfer()
		if got := ids(other); got != "e2 e3" {
			t.Errorf("changes: %q", got)
		}
		s.Set("up/e1", "llm ready")
		for range 2 * maxDeletions {
			s.Set("up/e9", "llm ready")
			s.Delete("up/e9")
		}
		s.Delete("up/e2")
		time.Sleep(time.Second)
		transfer()
		if got := ids(other); got != "e1 e3" {
			t.Errorf("after many changes: %q", got)
		}
	})
}

// Guards against a request for changes that is answered late, or again and again without a change.
func TestWaitForChanges(t *testing.T) {
	withCache(t, func(s *stub.Store, sc *storeCache) {
		r := &watchRelay{cache: sc, elector: sc.elector}
		known := slices.DeleteFunc(sc.knownRevisions(), func(l link.PrefixState) bool { return l.Prefix != "up/" })
		go func() {
			time.Sleep(300 * time.Millisecond)
			s.Delete("up/e1")
		}()
		start := time.Now()
		var states []link.PrefixState
		empty := 0
		for ; len(states) == 0; empty++ {
			states, _ = r.waitForChanges(&link.Message{Prefixes: known, WaitMS: 2000})
		}
		// The store confirms the copy once in sc.limits.Confirm.
		if empty > 2 {
			t.Errorf("%d responses without a change", empty-1)
		}
		if took := time.Since(start); len(states) != 1 || took > 500*time.Millisecond {
			t.Errorf("%d states after %v", len(states), took)
		}
		known[0].Revision, known[0].DetailRevision = states[0].Revision, states[0].DetailRevision
		if states, _ := r.waitForChanges(&link.Message{Prefixes: known, WaitMS: 100}); len(states) != 0 {
			t.Errorf("states without a change: %+v", states)
		}
	})
}

// Guards against a shared retry budget that grows with the number of hosts or is spent twice.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tt := range []struct {
			hosts int
			free  float64
		}{{1, 54}, {7, 54}, {83, 206}} {
			hosts := tt.hosts
			list := make([]*retryBudget, hosts)
			for i := range list {
				list[i] = &retryBudget{
					ratio: 0.2, window: 10 * time.Second, freeRetries: tt.free, hosts: func() int { return hosts },
				}
				for range 50 {
					list[i].Earn("s")
				}
			}
			time.Sleep(20 * time.Second)
			spent, calls := 0, 0
			for range 100 {
				for _, r := range list {
					r.Earn("s")
					calls++
					for r.Spend("s") {
						spent++
					}
				}
				time.Sleep(100 * time.Millisecond)
			}
			if most := int(tt.free) + calls/5; spent > most {
				t.Errorf("%d hosts spent %d of %d retries within a window", hosts, spent, most)
			}
		}
		r := &retryBudget{ratio: 0.2, window: 10 * time.Second, freeRetries: 54, hosts: func() int { return 7 }}
		spent := 0
		for range 1000 {
			r.Earn("s")
			if r.Spend("s") {
				spent++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if most := 200 + 54/7; spent > most || spent < 100 {
			t.Errorf("%d retries for 1000 calls in 10 s, want 100 to %d", spent, most)
		}
	})
}
