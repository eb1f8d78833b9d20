package host

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// testHost returns the cache and the elector of a host, connected to each other but not started.
func testHost(s store.Store, self topo.Host) *storeCache {
	sc := testCache(s)
	e := sc.elector
	e.Self, e.Now, e.Hosts = self, sc.now, sc.hostCount
	e.StoreReachable, e.StoreLost = sc.retryStore, sc.wakeWaiting
	e.Rank = func(previous string) int { return rankOf(sc.Hosts(), self.Name, previous) }
	e.RequestStepDown = func(context.Context, elect.Leader, elect.Term) (time.Duration, error) {
		return 0, store.ErrOutcomeUnknown
	}
	return sc
}

// startHost starts the elector and the cache of a host that watches everything itself.
func startHost(ctx context.Context, s store.Store, name string) {
	sc := testHost(s, topo.Host{Name: name, Ready: true})
	sc.elector.Rank = func(string) int { return 0 }
	go sc.elector.Run(ctx)
	for _, prefix := range sc.prefixes() {
		go sc.run(ctx, prefix, func() bool { return true })
	}
}

// Guards against hosts that each call an unreachable store several times a second: every call is counted and charged,
// refused ones too. Also guards against a host that takes long to register again once the store is back.
func TestCallsInStoreOutage(t *testing.T) {
	const (
		outage = 10 * time.Second
		backIn = 4 * time.Second
		// callsPerS is how many calls of one kind all hosts together may make in a second.
		callsPerS = 100
		// startCalls is the number of calls before the pauses have become that long.
		startCalls = 12
	)
	for _, hosts := range []int{7, 85, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				s := &stub.Store{}
				s.Set("conf/main", "5")
				for i := range hosts - 1 {
					name := fmt.Sprintf("host-%03d", i)
					value, err := json.Marshal(topo.Host{Name: name})
					if err != nil {
						t.Fatal(err)
					}
					s.Set(elect.HostPrefix+name, string(value))
				}
				startHost(ctx, s, "self")
				time.Sleep(3 * time.Second)
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
				most := startCalls + 2*int(outage/max(time.Duration(hosts)*time.Second/callsPerS, time.Second))
				if refused > most {
					t.Errorf("%d calls in %v, want at most %d", refused, outage, most)
				}
				time.Sleep(backIn)
				if s.Value(elect.HostPrefix+"self") == "" {
					t.Errorf("not registered %v after the outage", backIn)
				}
				cancel()
				time.Sleep(15 * time.Second)
			})
		})
	}
}
