package ticket

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

type (
	// Ticket is the right to send one attempt of a call to one engine.
	Ticket interface {
		Grant() wire.TicketResponse
		// ReportProgress reports the progress of the call; a report with Done returns the ticket.
		ReportProgress(p wire.Progress)
		// Migrate returns a channel that is closed when the call should continue on another engine.
		Migrate() <-chan struct{}
		// Close returns the ticket if ReportProgress has not done so.
		Close()
	}

	// Router sends ticket requests to the pool's dispatcher, or to the local runner when the dispatcher is unavailable.
	Router struct {
		Dial  wire.Dialer
		Stats *stats.Set
		// Owner returns the address of the pool's dispatcher; ok is false when it is this host or unknown.
		Owner func(pool string) (addr string, ok bool)
		// Local returns this host's own runner for a pool.
		Local func(pool string) *Runner
		// IsLeaving reports whether an engine is leaving as far as this host knows; nil means never.
		IsLeaving func(engine string) bool
		// OnVersion is called with the residency version of each ticket that another host grants.
		OnVersion func(pool string, version int64)

		mu   sync.Mutex
		open map[string]map[*remoteTicket]struct{}
		// changeSignals holds a channel per pool that is closed when the pool gets another dispatcher.
		changeSignals map[string]chan struct{}
	}
)

var errOwnerChanged = errors.New("the pool has another dispatcher")

// RequestTicket waits for a ticket. The error is an *answer.Error with outcome NotRun, or the error of ctx.
func (r *Router) RequestTicket(ctx context.Context, req wire.TicketRequest) (Ticket, error) {
	for {
		changed := r.changeSignal(req.Pool)
		addr, ok := r.Owner(req.Pool)
		if ok {
			t, err := r.requestFromOwner(ctx, addr, req)
			switch {
			case err == nil && r.isLeaving(t):
				// The dispatcher does not know of the departure yet.
				t.Close()
				r.Stats.CountEvent("ticket_for_leaving_engine")
			case !errors.Is(err, errNoDispatcher):
				return t, err
			}
			r.Stats.CountEvent("local_dispatch")
		}
		t, err := r.requestLocal(ctx, changed, req)
		if !errors.Is(err, errOwnerChanged) {
			return t, err
		}
		r.Stats.CountRetry("dispatcher_changed")
	}
}

func (r *Router) isLeaving(t Ticket) bool { return r.IsLeaving != nil && r.IsLeaving(t.Grant().Engine) }

func (r *Router) requestFromOwner(ctx context.Context, addr string, req wire.TicketRequest) (Ticket, error) {
	t, err := requestRemote(ctx, r.Dial, addr, req)
	if err != nil {
		return nil, err
	}
	r.track(req.Pool, t)
	if r.OnVersion != nil {
		r.OnVersion(req.Pool, t.grant.Version)
	}
	return t, nil
}

// requestLocal requests a ticket from this host's own runner. It returns errOwnerChanged when the pool gets another
// dispatcher while the request waits.
func (r *Router) requestLocal(ctx context.Context, changed <-chan struct{}, req wire.TicketRequest) (Ticket, error) {
	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-changed:
			cancel(errOwnerChanged)
		case <-waiting.Done():
		}
	}()
	t, err := r.Local(req.Pool).RequestTicket(waiting, req)
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(waiting), errOwnerChanged) {
		return nil, errOwnerChanged
	}
	return t, err
}

// changeSignal returns a channel that is closed when the pool gets another dispatcher.
func (r *Router) changeSignal(pool string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changeSignals == nil {
		r.changeSignals = make(map[string]chan struct{})
	}
	if r.changeSignals[pool] == nil {
		r.changeSignals[pool] = make(chan struct{})
	}
	return r.changeSignals[pool]
}

// OwnerChanged restores the open tickets of a pool at its new dispatcher. Requests that wait at the local runner are
// sent to the new dispatcher as well.
func (r *Router) OwnerChanged(ctx context.Context, pool, addr string) {
	r.mu.Lock()
	if c := r.changeSignals[pool]; c != nil {
		close(c)
		delete(r.changeSignals, pool)
	}
	tickets := make([]*remoteTicket, 0, len(r.open[pool]))
	for t := range r.open[pool] {
		tickets = append(tickets, t)
	}
	r.mu.Unlock()
	for _, t := range tickets {
		if err := t.moveTo(ctx, r.Dial, addr); err != nil {
			r.Stats.CountEvent("ticket_announce_failed")
		}
	}
}

func (r *Router) track(pool string, t *remoteTicket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = make(map[string]map[*remoteTicket]struct{})
	}
	if r.open[pool] == nil {
		r.open[pool] = make(map[*remoteTicket]struct{})
	}
	r.open[pool][t] = struct{}{}
	t.setUntrack(func() { r.untrack(pool, t) })
}

func (r *Router) untrack(pool string, t *remoteTicket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open[pool], t)
}
