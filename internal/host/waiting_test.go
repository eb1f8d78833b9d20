package host

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against a host that goes on with an old configuration and old hosts, because the response to a waiting call
// was lost on a connection that stays open, although the store answers the host's other calls.
func TestLostResponseToWaitingCall(t *testing.T) {
	const (
		silence = 2 * time.Second
		// applyTime is from the change, or from the end of the silence, until the change is in use.
		applyTime = 2 * time.Second
	)
	for _, tt := range []struct {
		name      string
		hosts     int
		onlyWatch bool // the store answers all other calls
	}{
		{"all calls of one host", 6, false},
		{"all calls of the only host", 1, false},
		{"the watch calls of one host", 6, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, tt.hosts)
				time.Sleep(5 * time.Second)
				version := f.hosts[0].cache.Config().Version
				change := func() {
					version++
					f.store.Set("conf/main", fmt.Sprint(version))
					f.store.Set(elect.HostPrefix+"new", fmt.Sprintf(`{"name":"new-%d","domain":"domain-9"}`, version))
				}
				for _, h := range f.hosts {
					// The calls that wait when the silence begins have not waited for long.
					change()
					time.Sleep(2 * batchDelay)
					h.mute.Store(!tt.onlyWatch)
					h.muteWatches.Store(true)
					time.Sleep(silence / 4)
					change()
					time.Sleep(silence * 3 / 4)
					h.mute.Store(false)
					h.muteWatches.Store(false)
					time.Sleep(applyTime)
					if got := h.cache.Config().Version; got != version {
						t.Errorf("%s: version %d of the configuration, want %d", h.name, got, version)
					}
					isNew := func(o topo.Host) bool { return o.Name == fmt.Sprintf("new-%d", version) }
					if !slices.ContainsFunc(h.cache.Hosts(), isNew) {
						t.Errorf("%s does not know the new host", h.name)
					}
					time.Sleep(15 * time.Second)
				}
				cancel()
				time.Sleep(15 * time.Second)
			})
		})
	}
}
