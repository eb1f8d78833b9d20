package host

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// startHost starts a host's elector and cache. Only a watching host watches more than the configuration itself, unless
// the store is unreachable.
func startHost(ctx context.Context, s store.Store, i int) *storeCache {
	sc := testCache(s)
	sc.elector.Self = topo.Host{Name: fmt.Sprintf("host-%03d", i), Ready: true}
	sc.elector.Hosts = func() int { return len(sc.Hosts()) }
	sc.elector.StoreReachable = sc.retryStore
	sc.elector.RequestStepDown = func(context.Context, elect.Leader) (time.Duration, error) {
		return 0, store.ErrOutcomeUnknown
	}
	started := time.Now()
	sc.elector.Now = func() time.Duration { return time.Since(started) }
	sc.elector.Rank = func(string) int { return i }
	go sc.elector.Run(ctx)
	for _, prefix := range sc.prefixes() {
		watchesStore := func() bool { return i < maxWatchers || sc.unreachable() }
		if prefix == sc.platform.ConfigPrefix {
			watchesStore = func() bool { return true }
		}
		go sc.run(ctx, prefix, watchesStore)
	}
	return sc
}

// Guards against a fleet whose hosts each call an unreachable store several times a second: every call is counted and
// charged, refused ones too. Also guards against hosts that take long to call again once the store is back.
func TestStoreOutageOfAFleet(t *testing.T) {
	const (
		hosts  = 300
		outage = 10 * time.Second
		// Calls for the lease and for the changes, with the doubling pauses before the longest one.
		maxCalls = 2*100*10 + hosts*9
		backIn   = 4 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &stub.Store{}
		s.Set("conf/main", "5")
		var caches []*storeCache
		for i := range hosts {
			caches = append(caches, startHost(ctx, s, i))
		}
		time.Sleep(2 * time.Second)
		for _, sc := range caches[maxWatchers:] {
			hosts, _, err := s.List(ctx, elect.Prefix)
			if err != nil {
				t.Fatal(err)
			}
			sc.apply(elect.Prefix, eventsOf(hosts), 1<<40)
		}
		refused := 0
		s.Do(func() {
			s.Fault = func(kind string) error {
				if kind != "look" {
					refused++
				}
				return store.ErrNotExecuted
			}
		})
		time.Sleep(outage)
		s.Do(func() { s.Fault = nil })
		if refused > maxCalls {
			t.Errorf("%d calls of %d hosts in %v, want at most %d", refused, hosts, outage, maxCalls)
		}
		time.Sleep(backIn)
		if items, _, err := s.List(ctx, elect.HostPrefix); err != nil || len(items) != hosts {
			t.Errorf("%d of %d hosts are registered %v after the outage (%v)", len(items), hosts, backIn, err)
		}
		cancel()
		time.Sleep(15 * time.Second)
	})
}

func eventsOf(items []store.Item) []store.Event {
	var out []store.Event
	for _, it := range items {
		out = append(out, store.Event{Item: it})
	}
	return out
}
