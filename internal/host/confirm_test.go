package host

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// testRevokeTime is that of the deployment for which the shares in package fresh were chosen.
const testRevokeTime = 5 * time.Second

// accepts reports whether the host accepts calls with keys, as package creds decides.
func (h *fleetHost) accepts() bool {
	return h.cache.now()-h.cache.age.ConfirmedAt() <= testRevokeTime*8/10
}

// withRevokingFleet runs do with a fleet of six hosts in virtual time.
func withRevokingFleet(t *testing.T, revoke time.Duration, do func(t *testing.T, f *fleet)) {
	t.Helper()
	// The race detector of Go 1.26 crashes now and then if several processors run the timers of one bubble.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newRevokingFleet(ctx, 6, revoke)
		do(t, f)
		f.heal()
		cancel()
		time.Sleep(15 * time.Second)
	})
}

// Guards against a host that counts its configuration as newer than it is, whatever it is cut off from and however late
// it reads responses: it would accept a key that has been removed.
func TestConfirmedConfigurationIsComplete(t *testing.T) {
	for seed := range uint64(6) {
		withRevokingFleet(t, testRevokeTime, func(t *testing.T, f *fleet) {
			random := rand.New(rand.NewPCG(seed, 1))
			written := map[int64]time.Duration{5: 0} // when each version of the configuration was written
			version, refused, checks := int64(5), 0, 0
			for range 600 {
				if random.IntN(20) == 0 {
					version++
					f.store.Set("conf/main", fmt.Sprint(version))
					written[version] = f.hosts[0].cache.now()
				}
				h := f.hosts[random.IntN(len(f.hosts))]
				switch random.IntN(60) {
				case 0, 1:
					h.cut.Store(true)
				case 2, 3:
					h.silent.Store(true)
				case 4, 5:
					h.paused.Store(true)
				case 6:
					f.heal()
				}
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				for _, h := range f.hosts {
					at := h.cache.age.ConfirmedAt()
					next, exists := written[h.cache.Config().Version+1]
					if exists && next < at {
						t.Errorf("seed %d: %s lacks a version of %v before the time of its copy", seed, h.name, at-next)
					}
					if checks++; !h.accepts() {
						refused++
					}
				}
			}
			// Otherwise the faults are too few or too many to test anything.
			if refused == 0 || refused > checks/2 {
				t.Errorf("seed %d: %d of %d checks find a host that refuses calls", seed, refused, checks)
			}
		})
	}
}

// Guards against hosts that refuse calls although they reach the store or another host that does, against fleets that
// all call the store often for that, and against more calls than before where keys need not be revoked in time.
func TestConfigurationStaysConfirmed(t *testing.T) {
	const period = 20 * time.Second
	for _, tt := range []struct {
		name    string
		revoke  time.Duration
		fault   func(sources, others []*fleetHost)
		watches int // for the configuration by the four hosts that are no sources, within the period
	}{
		{"calm", testRevokeTime, func(_, _ []*fleetHost) {}, 4 * 3},
		{"keys need not be revoked", 0, func(_, _ []*fleetHost) {}, 4 * 3},
		{"a host loses the store", testRevokeTime, func(_, o []*fleetHost) { o[0].cut.Store(true) }, 3*3 + 20},
		{"a host resumes", testRevokeTime, func(_, o []*fleetHost) {
			o[0].paused.Store(true)
			time.Sleep(8 * time.Second)
			o[0].paused.Store(false)
			time.Sleep(300 * time.Millisecond)
		}, 4 * 5},
		{"the sources are silent", testRevokeTime, func(s, _ []*fleetHost) {
			s[0].silent.Store(true)
			s[1].silent.Store(true)
		}, 4 * 25},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withRevokingFleet(t, tt.revoke, func(t *testing.T, f *fleet) {
				time.Sleep(15 * time.Second)
				var sources, others []*fleetHost
				for _, h := range f.hosts {
					if h.configWatches.Store(0); h.relay.isSource() {
						sources = append(sources, h)
					} else {
						others = append(others, h)
					}
				}
				tt.fault(sources, others)
				for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					for _, h := range others {
						if tt.revoke > 0 && !h.accepts() {
							t.Fatalf("%s refuses calls, its copy is of %v", h.name, h.cache.age.ConfirmedAt())
						}
					}
				}
				watches := 0
				for _, h := range others {
					watches += int(h.configWatches.Load())
				}
				if watches > tt.watches {
					t.Errorf("%d watch calls for the configuration, want at most %d", watches, tt.watches)
				}
			})
		})
	}
}
