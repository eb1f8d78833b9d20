package host

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against details of upstreams that are sent to a whole fleet with each change, against a departure that waits
// for them, and against a host that loses its leader and decides by details that are seconds old.
func TestDetailsOfUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(ctx, 9)
		watching := f.watchers()
		var follower *fleetHost
		for _, h := range f.hosts {
			if h != watching[0] && h != watching[1] && !h.cache.elector.IsLeader() {
				follower = h
			}
		}
		follower.hasLeader.Store(true)
		resident := func() bool { return upstreamOf(follower, "e1").HasModel("m1") }
		details := func() int64 {
			follower.cache.mu.Lock()
			defer follower.cache.mu.Unlock()
			return follower.cache.states["up/"].detailRevision
		}
		for before := details(); details() == before; {
			f.store.Set("up/e2", "llm ready m2")
			time.Sleep(roleInterval)
		}
		f.store.Set("up/e1", "llm ready m1")
		time.Sleep(2 * time.Second)
		if resident() {
			t.Error("a host with a leader got details at once")
		}
		f.store.Set("up/e2", "llm leaving m2")
		time.Sleep(time.Second)
		if u := upstreamOf(follower, "e2"); !u.Leaving {
			t.Error("a departure did not arrive within a second")
		}
		follower.hasLeader.Store(false)
		time.Sleep(2 * roleInterval)
		if !resident() {
			t.Error("a host without a leader lacks details")
		}
		follower.hasLeader.Store(true)
		f.store.Set("up/e1", "llm ready")
		time.Sleep(detailsInterval + 2*time.Second)
		if resident() {
			t.Error("details did not arrive within their interval")
		}
		cancel()
		time.Sleep(15 * time.Second)
	})
}

// upstreamOf returns what a host knows of an upstream.
func upstreamOf(h *fleetHost, id string) *topo.Upstream {
	for _, u := range h.cache.Upstreams("") {
		if u.ID == id {
			return u
		}
	}
	return &topo.Upstream{}
}

// Guards against a list of all items that is made anew for each host of a fleet that starts, against one that claims to
// be newer than it is, and against changes that a host misses that got an older list.
func TestListForStartingHosts(t *testing.T) {
	withCache(t, func(s *stub.Store, sc *storeCache) {
		starting := []link.PrefixState{{Prefix: "up/", WantsDetails: true}}
		first, _, confirmed, _ := sc.changes(starting)
		s.Set("up/e3", "llm ready")
		time.Sleep(maxListAge / 2)
		second, changed, at, _ := sc.changes(starting)
		if second[0].Revision != first[0].Revision || !changed || at > confirmed {
			t.Errorf("list of revision %d, as of %v, after one of %d as of %v",
				second[0].Revision, at, first[0].Revision, confirmed)
		}
		other := testCache(&stub.Store{})
		other.merge(second, "another host")
		rest, _, _, _ := sc.changes(other.knownRevisions())
		other.merge(rest, "another host")
		if got := ids(other); got != "e1 e2 e3" {
			t.Errorf("upstreams %q after the list and the changes", got)
		}
		time.Sleep(maxListAge)
		if third, _, _, _ := sc.changes(starting); third[0].Revision <= first[0].Revision {
			t.Error("the list is not renewed")
		}
	})
}
