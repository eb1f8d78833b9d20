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

// lists answers with the list that is set, or fails.
type lists struct {
	mu   sync.Mutex
	list svcreg.List
	err  error
}

func (l *lists) set(list svcreg.List, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list, l.err = list, err
}

func (l *lists) Fetch(_ context.Context, since int64) (svcreg.List, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil && l.list.Cursor == since {
		return svcreg.List{Cursor: since, Unchanged: true}, nil
	}
	return l.list, l.err
}

// known is what all hosts know of departures; the highest sequence number wins, as in the membership.
type known map[string]wire.Departure

func (k known) depart(d wire.Departure) {
	if cur, ok := k[d.Upstream]; !ok || d.Seq > cur.Seq {
		k[d.Upstream] = d
	}
}

func (k known) departed(subject string) bool {
	d, ok := k[subject]
	return ok && !d.Returned
}

func listOf(cursor int64, leaving ...string) svcreg.List {
	l := svcreg.List{Cursor: cursor, Hosts: []svcreg.Host{
		{Name: "a", Addr: "10.0.0.1:7000"}, {Name: "b", Addr: "10.0.0.2:7000", Leaving: slices.Contains(leaving, "b")},
	}}
	for _, name := range []string{"e1", "e2"} {
		l.Upstreams = append(l.Upstreams, svcreg.Upstream{Name: name, Leaving: slices.Contains(leaving, name)})
	}
	return l
}

// TestWatcher guards against upstreams that keep getting work after the list says that they leave, or none after it
// says that they are back.
func TestWatcher(t *testing.T) {
	down := svcreg.List{}
	for _, c := range []struct {
		name   string
		before known         // what gossip has brought
		lists  []svcreg.List // one without a cursor is no answer
		after  known         // what gossip brings before the last read
		want   []string
		count  string
	}{
		{name: "an upstream leaves", lists: []svcreg.List{listOf(1), listOf(2, "e1")}, want: []string{"e1"}},
		{name: "it is back", lists: []svcreg.List{listOf(1, "e1", "e2"), listOf(2, "e1")}, want: []string{"e1"}},
		{
			name: "the list is down", lists: []svcreg.List{listOf(1, "e1"), down, down}, want: []string{"e1"},
			count: "host_list_failed",
		},
		{
			name: "an older list does not bring it back", lists: []svcreg.List{listOf(5, "e1"), listOf(4)},
			want: []string{"e1"}, count: "host_list_stale",
		},
		{
			name:   "it came back while another host read the list",
			before: known{"list:e1": {Upstream: "list:e1", Seq: 3}}, lists: []svcreg.List{listOf(4)},
		},
		{
			name: "older news arrives after the list was read", lists: []svcreg.List{listOf(4), listOf(4)},
			after: known{"list:e1": {Upstream: "list:e1", Seq: 3}},
		},
		{
			name: "newer news than the own list stays", lists: []svcreg.List{listOf(4), listOf(4)},
			after: known{"list:e1": {Upstream: "list:e1", Seq: 5}}, want: []string{"e1"},
		},
		{
			name:   "an operator's earlier word does not hide the list",
			before: known{"e1": {Upstream: "e1", Returned: true, Seq: 1_800_000_000_000}},
			lists:  []svcreg.List{listOf(1, "e1")}, want: []string{"e1"},
		},
		{
			name:   "the list does not undo an operator's drain",
			before: known{"e1": {Upstream: "e1", Seq: 1}}, lists: []svcreg.List{listOf(7)}, want: []string{"e1"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := known{}
			for _, d := range c.before {
				k.depart(d)
			}
			counts := make(map[string]bool)
			w := &watcher{depart: k.depart, departed: k.departed, count: func(event string) { counts[event] = true }}
			for i, l := range c.lists {
				if i == len(c.lists)-1 {
					for _, d := range c.after {
						k.depart(d)
					}
				}
				from := &lists{list: l}
				if l.Cursor == 0 {
					from.err = errors.New("no answer")
				}
				w.client = from
				w.read(t.Context())
			}
			for _, name := range []string{"e1", "e2"} {
				got := k.departed(name) || k.departed(listPrefix+name)
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

// TestWatcherRun guards against a list that is read rarely, by hosts that should not, or that stays in use when down.
func TestWatcherRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := &lists{list: listOf(1, "b")}
		k, reads := known{}, atomic.Bool{}
		w := &watcher{
			client: l, reads: reads.Load, depart: k.depart, departed: k.departed, count: func(string) {},
		}
		go w.run(ctx)
		time.Sleep(5 * time.Second)
		synctest.Wait()
		if got := w.listed(); len(got) != 0 {
			t.Errorf("a host that does not read the list knows %v", got)
		}
		reads.Store(true)
		time.Sleep(listInterval)
		synctest.Wait()
		l.set(svcreg.List{}, errors.New("no answer"))
		time.Sleep(time.Minute)
		synctest.Wait()
		if got := w.listed(); !slices.Equal(got, []string{"10.0.0.1:7000"}) {
			t.Errorf("known hosts are %v, want the one that does not leave", got)
		}
	})
}
