package ticket

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

type (
	// Ticket is the right to run one attempt on one engine.
	Ticket interface {
		Grant() wire.TicketResponse
		// ReportProgress reports progress; a report with Done returns the ticket.
		ReportProgress(b wire.Progress)
		// Migrate is closed when the call should continue on another engine.
		Migrate() <-chan struct{}
		// Close returns the ticket if ReportProgress has not done so.
		Close()
	}

	// Router takes asks to the pool's dispatcher, or to the local runner when it does not answer.
	Router struct {
		Dial  wire.Dialer
		Stats *stats.Set
		// Owner returns the address of the pool's dispatcher; ok is false when it is this host or not known.
		Owner func(pool string) (addr string, ok bool)
		// Local returns this host's own runner for a pool.
		Local func(pool string) *Runner
		// OnNewerVersion is called when a grant shows a newer residency than this host has.
		OnNewerVersion func(pool string, version int64)

		mu   sync.Mutex
		open map[string]map[*remoteTicket]struct{}
		// changed holds a channel per pool that is closed when the pool gets another dispatcher.
		changed map[string]chan struct{}
	}
)

var errOwnerChanged = errors.New("another host dispatches the pool")

// RequestTicket returns a ticket; the error is an *answer.Error of a call that was not run, or that of ctx.
func (r *Router) RequestTicket(ctx context.Context, a wire.TicketRequest) (Ticket, error) {
	for {
		changed := r.changes(a.Pool)
		addr, ok := r.Owner(a.Pool)
		if ok {
			t, err := r.askOwner(ctx, addr, a)
			if !errors.Is(err, errNoDispatcher) {
				return t, err
			}
			r.Stats.CountEvent("local_dispatch")
		}
		t, err := r.askLocal(ctx, changed, a)
		if !errors.Is(err, errOwnerChanged) {
			return t, err
		}
		r.Stats.CountRetry("dispatcher_changed")
	}
}

func (r *Router) askOwner(ctx context.Context, addr string, a wire.TicketRequest) (Ticket, error) {
	t, err := askRemote(ctx, r.Dial, addr, a)
	if err != nil {
		return nil, err
	}
	r.remember(a.Pool, t)
	if r.OnNewerVersion != nil {
		r.OnNewerVersion(a.Pool, t.grant.Version)
	}
	return t, nil
}

// askLocal asks this host's own runner, until another host is known to dispatch the pool.
func (r *Router) askLocal(ctx context.Context, changed <-chan struct{}, a wire.TicketRequest) (Ticket, error) {
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-changed:
			cancel(errOwnerChanged)
		case <-waiting.Done():
		}
	}()
	t, err := r.Local(a.Pool).RequestTicket(waiting, a)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(waiting), errOwnerChanged) {
		return nil, errOwnerChanged
	}
	return t, err
}

// changes returns a channel that is closed when the pool gets another dispatcher.
func (r *Router) changes(pool string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(map[string]chan struct{})
	}
	if r.changed[pool] == nil {
		r.changed[pool] = make(chan struct{})
	}
	return r.changed[pool]
}

// OwnerChanged announces the open tickets of a pool to its new dispatcher, and asks it again for calls that wait here.
func (r *Router) OwnerChanged(ctx context.Context, pool, addr string) {
	r.mu.Lock()
	if c := r.changed[pool]; c != nil {
		close(c)
		delete(r.changed, pool)
	}
	tickets := make([]*remoteTicket, 0, len(r.open[pool]))
	for t := range r.open[pool] {
		tickets = append(tickets, t)
	}
	r.mu.Unlock()
	for _, t := range tickets {
		if err := t.rehome(ctx, r.Dial, addr); err != nil {
			r.Stats.CountEvent("ticket_announce_failed")
		}
	}
}

func (r *Router) remember(pool string, t *remoteTicket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = make(map[string]map[*remoteTicket]struct{})
	}
	if r.open[pool] == nil {
		r.open[pool] = make(map[*remoteTicket]struct{})
	}
	r.open[pool][t] = struct{}{}
	t.setForget(func() { r.drop(pool, t) })
}

func (r *Router) drop(pool string, t *remoteTicket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open[pool], t)
}
