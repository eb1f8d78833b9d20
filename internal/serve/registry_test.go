package serve

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/svcreg"
	"github.com/figreel/figreel/internal/wire"
)

// fakeRegistry returns the list that was set, or fails.
type fakeRegistry struct {
	mu   sync.Mutex
	list svcreg.List
	err  error
}

func (l *fakeRegistry) set(list svcreg.List, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list, l.err = list, err
}

func (l *fakeRegistry) Fetch(_ context.Context, since int64) (svcreg.List, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil && l.list.Cursor == since {
		return svcreg.List{Cursor: since, Unchanged: true}, nil
	}
	return l.list, l.err
}

// departures holds the announced departures by subject; the highest sequence number wins, as in the membership table.
type departures map[string]wire.Departure

func (d departures) set(dep wire.Departure) {
	if cur, ok := d[dep.Upstream]; !ok || dep.Seq > cur.Seq {
		d[dep.Upstream] = dep
	}
}

func (d departures) isLeaving(subject string) bool {
	cur, ok := d[subject]
	return ok && !cur.Returned
}

func newList(cursor int64, leaving ...string) svcreg.List {
	l := svcreg.List{Cursor: cursor, Hosts: []svcreg.Host{
		{Name: "a", Addr: "10.0.0.1:7000"}, {Name: "b", Addr: "10.0.0.2:7000", Leaving: slices.Contains(leaving, "b")},
	}}
	for _, name := range []string{"e1", "e2"} {
		l.Upstreams = append(l.Upstreams, svcreg.Upstream{Name: name, Leaving: slices.Contains(leaving, name)})
	}
	return l
}

// TestRegistryWatcher guards against upstreams that still get calls after the registry lists them as leaving, or get
// none after the registry lists them as returned.
func TestRegistryWatcher(t *testing.T) {
	unavailable := svcreg.List{}
	for _, c := range []struct {
		name   string
		before departures    // announced by gossip before the first poll
		lists  []svcreg.List // one per poll; a list without a cursor makes the poll fail
		after  departures    // announced by gossip before the last poll
		want   []string
		count  string
	}{
		{name: "an upstream leaves", lists: []svcreg.List{newList(1), newList(2, "e1")}, want: []string{"e1"}},
		{name: "it returns", lists: []svcreg.List{newList(1, "e1", "e2"), newList(2, "e1")}, want: []string{"e1"}},
		{
			name:  "the registry is unavailable",
			lists: []svcreg.List{newList(1, "e1"), unavailable, unavailable}, want: []string{"e1"},
			count: "host_list_failed",
		},
		{
			name: "an older list does not reinstate it", lists: []svcreg.List{newList(5, "e1"), newList(4)},
			want: []string{"e1"}, count: "host_list_stale",
		},
		{
			name:   "it returned while another host polled",
			before: departures{"list:e1": {Upstream: "list:e1", Seq: 3}}, lists: []svcreg.List{newList(4)},
		},
		{
			name: "an older announcement arrives after the poll", lists: []svcreg.List{newList(4), newList(4)},
			after: departures{"list:e1": {Upstream: "list:e1", Seq: 3}},
		},
		{
			name: "an announcement newer than the list stays", lists: []svcreg.List{newList(4), newList(4)},
			after: departures{"list:e1": {Upstream: "list:e1", Seq: 5}}, want: []string{"e1"},
		},
		{
			name:   "an operator's announcement does not hide the list",
			before: departures{"e1": {Upstream: "e1", Returned: true, Seq: 1_800_000_000_000}},
			lists:  []svcreg.List{newList(1, "e1")}, want: []string{"e1"},
		},
		{
			name:   "the list does not undo an operator's drain",
			before: departures{"e1": {Upstream: "e1", Seq: 1}}, lists: []svcreg.List{newList(7)}, want: []string{"e1"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			announced := departures{}
			for _, d := range c.before {
				announced.set(d)
			}
			counts := make(map[string]bool)
			w := &registryWatcher{
				setDeparture: announced.set, isLeaving: announced.isLeaving,
				countEvent: func(event string) { counts[event] = true },
			}
			for i, l := range c.lists {
				if i == len(c.lists)-1 {
					for _, d := range c.after {
						announced.set(d)
					}
				}
				from := &fakeRegistry{list: l}
				if l.Cursor == 0 {
					from.err = errors.New("no response")
				}
				w.client = from
				w.poll(t.Context())
			}
			for _, name := range []string{"e1", "e2"} {
				got := announced.isLeaving(name) || announced.isLeaving(registryPrefix+name)
				if want := slices.Contains(c.want, name); got != want {
					t.Errorf("%s is leaving: %t, want %t", name, got, want)
				}
			}
			if c.count != "" && !counts[c.count] {
				t.Errorf("%s is not counted: %v", c.count, counts)
			}
		})
	}
}

// TestRegistryWatcherRun guards against polls that are too rare or made by the wrong hosts, and against a lost list
// while the registry is unavailable.
func TestRegistryWatcherRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := &fakeRegistry{list: newList(1, "b")}
		announced, polls := departures{}, atomic.Bool{}
		w := &registryWatcher{
			client: l, polls: polls.Load, setDeparture: announced.set, isLeaving: announced.isLeaving,
			countEvent: func(string) {},
		}
		go w.run(ctx)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if got := w.seedAddrs(); len(got) != 0 {
			t.Errorf("a host that does not poll the registry knows %v", got)
		}
		polls.Store(true)
		time.Sleep(pollInterval)
		synctest.Wait()
		l.set(svcreg.List{}, errors.New("no response"))
		time.Sleep(time.Minute)
		synctest.Wait()
		if got := w.seedAddrs(); !slices.Equal(got, []string{"10.0.0.1:7000"}) {
			t.Errorf("known hosts are %v, want the one that is not leaving", got)
		}
	})
}
