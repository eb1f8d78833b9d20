package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

const testLeaderKey = "figreel/seat"

// Guards against a fleet without orders for ever because a watch source that was suspended while the leader stopped
// reports the removal of the old leader key after the other source has reported the new key.
func TestSuspendedSourceBesidePlannedStop(t *testing.T) {
	for _, pause := range []time.Duration{0, 450 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer func() {
					cancel()
					time.Sleep(15 * time.Second)
				}()
				f := newFleet(ctx, 6)
				time.Sleep(12 * time.Second)
				stopped := slices.IndexFunc(f.hosts, func(h *fleetHost) bool { return h.cache.elector.IsLeader() })
				if stopped < 0 {
					t.Fatal("no leader")
				}
				watchers := f.watchers()
				if len(watchers) != maxWatchers {
					t.Fatalf("%d watchers", len(watchers))
				}
				watchers[0].slow.Store(true)
				f.hosts[stopped].cache.elector.Leave(ctx)
				time.Sleep(pause)
				watchers[0].slow.Store(false)
				time.Sleep(testHandoverDelay + 5*time.Second)
				var leaders []string
				for i, h := range f.hosts {
					if i == stopped {
						continue
					}
					l, _ := h.cache.elector.Leader()
					leaders = append(leaders, l.Host)
					if _, ok := h.cache.elector.Fence(); ok != (l.Host == h.name) {
						t.Errorf("%s may send orders: %v, its leader is %q", h.name, ok, l.Host)
					}
				}
				if names := slices.Compact(leaders); len(names) != 1 || names[0] == "" {
					t.Errorf("leaders %q", leaders)
				}
			})
		})
	}
}

// Guards against an elector that gets the changes of concurrent sources in another order than the copy, across restores
// of the store too.
func TestElectorFollowsCopy(t *testing.T) {
	const (
		sources = 4
		eras    = 3
		changes = 41
	)
	holder := func(v store.Version) string {
		if v.Revision%2 == 0 {
			return ""
		}
		return "host-" + string(rune('a'+(v.Era*changes+v.Revision)%26))
	}
	state := func(v store.Version, delta bool) link.PrefixState {
		p := link.PrefixState{Prefix: elect.Prefix, Era: v.Era, Revision: v.Revision, Delta: delta}
		it := store.Item{Key: testLeaderKey, Value: []byte(`{"host":"` + holder(v) + `"}`), Revision: v.Revision}
		switch deleted := holder(v) == ""; {
		case delta:
			p.Events = []store.Event{{Item: it, Deleted: deleted}}
		case !deleted:
			p.Items = []store.Item{it}
		}
		return p
	}
	for seed := range uint64(50) {
		sc := testCache(nil)
		var wg sync.WaitGroup
		for source := range uint64(sources) {
			wg.Go(func() {
				rng := rand.New(rand.NewPCG(seed, source))
				for era := range int64(eras) {
					sc.merge([]link.PrefixState{state(store.Version{Era: era, Revision: 1}, false)}, "source")
					for revision := range int64(changes) {
						if last := era == eras-1 && revision == changes-1; rng.IntN(4) > 0 || last && source == 0 {
							v := store.Version{Era: era, Revision: revision + 1}
							sc.merge([]link.PrefixState{state(v, rng.IntN(4) > 0)}, "source")
						}
					}
				}
			})
		}
		wg.Wait()
		want := holder(sc.states[elect.Prefix].version)
		if l, _ := sc.elector.Leader(); l.Host != want {
			t.Fatalf("seed %d: leader %q, want %q at %+v", seed, l.Host, want, sc.states[elect.Prefix].version)
		}
	}
}

// Guards against a scheduler that keeps an older list of upstreams than the copy, because two sources delivered changes
// at the same moment: it would go on with an engine that has left until the next change.
func TestSchedulerFollowsCopy(t *testing.T) {
	const (
		rounds   = 3000
		sources  = 8
		upstream = 50
	)
	sc := testCache(nil)
	sc.platform.Config = func(store.Item) (*topo.Config, error) {
		return &topo.Config{Version: 1, Services: map[string]topo.Service{"llm": {Engine: &topo.EngineSpec{}}}}, nil
	}
	h := &Host{cache: sc, tickets: testTickets()}
	sc.onChange = h.updateScheduler
	entry := func(i int, revision int64) store.Item {
		return store.Item{Key: fmt.Sprint("up/e", i), Value: []byte("llm ready"), Revision: revision}
	}
	list := link.PrefixState{Prefix: "up/", Revision: 1}
	for i := range upstream {
		list.Items = append(list.Items, entry(i, 1))
	}
	sc.merge([]link.PrefixState{
		{Prefix: "conf/", Revision: 1, Items: []store.Item{{Key: "conf/main", Revision: 1}}}, list,
	}, "source")
	for round := range int64(rounds) {
		var wg sync.WaitGroup
		for i := range sources {
			// Entries are removed in even rounds and written in odd ones.
			revision := 2 + round*sources + int64(i)
			e := store.Event{Item: entry(i, revision), Deleted: round%2 == 0}
			wg.Go(func() {
				sc.merge([]link.PrefixState{
					{Prefix: "up/", Revision: revision, Delta: true, Events: []store.Event{e}},
				}, "source")
			})
		}
		wg.Wait()
		var got []*topo.Upstream
		h.tickets.withScheduler(func(_ time.Time, k *sched.Scheduler) { got = k.Engines() })
		if want := sc.Upstreams(""); len(got) != len(want) {
			t.Fatalf("round %d: the scheduler has %d engines, the copy %d", round, len(got), len(want))
		}
	}
}
