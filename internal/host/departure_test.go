package host

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// testCallTime is the time from a decision to the arrival of the call at the upstream: the reply of the leader and the
// time to connect.
const testCallTime = replyTimeout + testDialTime

// Guards against calls to a departed upstream by hosts whose watch sources have gone silent or have lost the store
// without noticing it: the time in which a host finds that out must leave room for the call within the drain time.
func TestDeparturesAreKnownInTime(t *testing.T) {
	// The race detector of Go 1.26 crashes now and then if several processors run the timers of one bubble.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	cut := func(h *fleetHost) { h.cut.Store(true) }
	silence := func(h *fleetHost) { h.silent.Store(true) }
	for _, tt := range []struct {
		name  string
		fault func(*fleetHost)
		all   bool // the fault hits all hosts but one, else those that watch the store
	}{
		{"sources lose the store", cut, false},
		{"sources are silent", silence, false},
		{"all but one lose the store", cut, true},
		{"all but one are silent", silence, true},
	} {
		for _, phase := range []time.Duration{0, 170, 340, 510, 680, 850} {
			phase *= time.Millisecond
			t.Run(fmt.Sprint(tt.name, "/", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					f := newFleet(ctx, 6)
					watchers := f.watchers()
					if len(watchers) != maxWatchers {
						t.Errorf("%d hosts watch the store, want %d", len(watchers), maxWatchers)
					}
					time.Sleep(phase)
					var inTouch []*fleetHost
					for _, h := range f.hosts {
						if slices.Contains(watchers, h) || tt.all && len(inTouch) > 0 {
							tt.fault(h)
						} else {
							inTouch = append(inTouch, h)
						}
					}
					time.Sleep(20 * time.Millisecond)
					f.store.Set("up/e1", "llm leaving")
					f.store.Delete("up/e2")
					time.Sleep(testDrainTime - testCallTime)
					for _, h := range inTouch {
						if got := ids(h.cache); got != "" {
							t.Errorf("%s still uses %q after their departure", h.name, got)
						}
					}
					f.heal()
					cancel()
					time.Sleep(3 * time.Second)
				})
			})
		}
	}
}

// Guards against upstreams that are dropped because their entries expired in an outage of the store, by a host that
// hears of it from another one before it reaches the store itself.
func TestEntriesExpiredInOutageStayInUse(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 6)
		for _, h := range f.hosts {
			h.cut.Store(true)
		}
		time.Sleep(5 * time.Second)
		f.store.Delete("up/e1")
		time.Sleep(time.Second)
		f.heal()
		for i := 0; i < 300 && !t.Failed(); i++ {
			if i == 100 {
				f.store.Set("up/e1", "llm ready")
			}
			for _, h := range f.hosts {
				if got := ids(h.cache); got != "e1 e2" {
					t.Errorf("%s uses %q %d ms after the outage", h.name, got, 10*i)
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		time.Sleep(3 * time.Second)
	})
}

// Guards against hosts that send calls that crash engines because only the leader knows of the quarantine, and against
// a quarantine that is lost with the host that has begun it.
func TestQuarantineReachesAllHosts(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const contactTime = 3 * time.Second
	segment := &topo.CallSpec{Segments: []topo.PromptSegment{{ID: 1}, {ID: 2}}}
	request := &topo.CallSpec{Request: 7}
	for i := range 6 {
		t.Run(fmt.Sprint("host-", i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, 6)
				first := f.hosts[i].relay.tickets
				first.mu.Lock()
				for n := range uint64(3) {
					call := &topo.CallSpec{Segments: []topo.PromptSegment{{ID: 1}, {ID: 100 + n}}}
					at := time.Now().Add(time.Duration(n) * time.Second)
					first.scheduler.Poison.Broken(at, at, fmt.Sprint(n), call)
					first.scheduler.Poison.Broken(at, at, fmt.Sprint("plain-", n), request)
				}
				first.mu.Unlock()
				time.Sleep(contactTime / 2)
				f.hosts[i].silent.Store(true)
				time.Sleep(contactTime / 2)
				for _, h := range f.hosts {
					if !h.relay.tickets.blocks(segment) || h.relay.tickets.Admits(request) {
						t.Errorf("%s does not know of the quarantines", h.name)
					}
				}
				f.heal()
				cancel()
				time.Sleep(3 * time.Second)
			})
		})
	}
}
