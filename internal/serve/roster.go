package serve

import (
	"context"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/svcreg"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// listInterval is well below the few seconds within which a leaving upstream must get no new work.
	listInterval = time.Second
	// listReaders is the number of hosts per failure domain that read the list; the others learn by gossip.
	listReaders = 2
	// listPrefix keeps what the list says apart from what operators say of the same upstream: their sequence numbers
	// are the list's cursor and the time, which do not compare.
	listPrefix = "list:"
)

// watcher reads the platform's list of hosts and tells of upstreams that leave or return.
type watcher struct {
	client interface {
		Fetch(ctx context.Context, since int64) (svcreg.List, error)
	}
	// reads reports whether this host is one of those that read the list.
	reads  func() bool
	depart func(wire.Departure)
	// departed reports what all hosts know of a subject by now.
	departed func(subject string) bool
	count    func(event string)

	mu        sync.Mutex
	cursor    int64
	addrs     []string
	upstreams []svcreg.Upstream
}

func (w *watcher) run(ctx context.Context) {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	for {
		if w.reads() {
			w.read(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (w *watcher) read(ctx context.Context) {
	w.mu.Lock()
	since := w.cursor
	w.mu.Unlock()
	list, err := w.client.Fetch(ctx, since)
	if err != nil {
		// The last list stays in force; engines also tell by themselves that they are leaving.
		w.count("host_list_failed")
		return
	}
	switch {
	case list.Unchanged:
	case list.Cursor < since:
		// An older list must not bring an upstream back that has begun to leave.
		w.count("host_list_stale")
		return
	default:
		w.apply(list)
	}
	w.tell()
}

func (w *watcher) apply(list svcreg.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cursor = list.Cursor
	w.addrs = w.addrs[:0]
	for _, h := range list.Hosts {
		if !h.Leaving {
			w.addrs = append(w.addrs, h.Addr)
		}
	}
	w.upstreams = list.Upstreams
}

// tell announces where the list differs from what hosts know, which may come from a reader that is gone by now.
func (w *watcher) tell() {
	w.mu.Lock()
	cursor, upstreams := w.cursor, w.upstreams
	w.mu.Unlock()
	for _, u := range upstreams {
		if subject := listPrefix + u.Name; u.Leaving != w.departed(subject) {
			w.depart(wire.Departure{Upstream: subject, Returned: !u.Leaving, Seq: cursor})
		}
	}
}

// departed reports whether the platform's list or an operator says that an upstream is leaving.
func (h *Host) departed(upstream string) bool {
	return h.table.IsLeaving(upstream) || h.table.IsLeaving(listPrefix+upstream)
}

// listed returns the addresses of hosts in the last list.
func (w *watcher) listed() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.addrs...)
}

// readsList reports whether this host is among the first few live ones of its failure domain.
func (h *Host) readsList() bool {
	before := 0
	for _, m := range h.table.Live() {
		if m.Name == h.Config.Name {
			return before < listReaders
		}
		if m.Domain == h.Config.FailureDomain && m.State == wire.Alive {
			before++
		}
	}
	return true
}
