package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a leader that goes on without the store although another host does not promise to send no orders, and
// against one that stops although all hosts do.
func TestLeaderWithoutStore(t *testing.T) {
	const (
		hosts  = 6
		before = 12 * time.Second // for the hosts to be known
		lost   = 8 * time.Second
	)
	for _, tt := range []struct {
		name string
		// leader is set if the leader may send orders when the store has been lost for a while.
		leader bool
		do     func(f *fleet, leader, other *fleetHost) // before the leader loses the store
	}{
		{"the store is lost for all hosts", true, func(*fleet, *fleetHost, *fleetHost) {}},
		{"one host is lost together with the store", false, func(_ *fleet, _, other *fleetHost) {
			other.silent.Store(true)
		}},
		{"one host still reaches the store", false, func(_ *fleet, _, other *fleetHost) { other.cut.Store(false) }},
		{"the leader alone is lost", false, func(f *fleet, leader, _ *fleetHost) {
			f.heal()
			leader.silent.Store(true)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				f := newFleet(ctx, hosts)
				time.Sleep(before)
				leader, other := f.leader(), f.hosts[0]
				if leader == other {
					other = f.hosts[1]
				}
				for _, h := range f.hosts {
					h.cut.Store(true)
				}
				tt.do(f, leader, other)
				time.Sleep(lost)
				if _, ok := leader.cache.elector.Fence(); ok != tt.leader {
					t.Errorf("the leader may send orders: %v", ok)
				}
				f.heal()
				cancel()
				time.Sleep(5 * time.Second)
			})
		})
	}
}

// leader returns the host that is the leader.
func (f *fleet) leader() *fleetHost {
	for _, h := range f.hosts {
		if h.cache.elector.IsLeader() {
			return h
		}
	}
	return nil
}
