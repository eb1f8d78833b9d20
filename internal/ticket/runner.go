package ticket

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
)

type (
	// Dispatcher decides which engine runs each call of one pool; it is used only from the control goroutine.
	Dispatcher interface {
		Enqueue(now time.Time, req wire.TicketRequest)
		Cancel(now time.Time, callID string)
		ReportProgress(now time.Time, ticket string, p wire.Progress)
		RestoreTicket(now time.Time, open wire.OpenTicket)
		SetEngines(now time.Time, engines []pool.EngineState)
		Step(now time.Time) (decisions []pool.Decision, next time.Time)
		Demand(now time.Time) []pool.Demand
	}

	// Runner runs the dispatcher of one pool on the control goroutine; its fields are set before use.
	Runner struct {
		Pool       string
		Loop       *ctrl.Loop
		Dispatcher Dispatcher

		// Only the control goroutine uses the following fields.
		waiting map[string]*localTicket // by call id
		open    map[string]*localTicket // by ticket
		version int64
		view    wire.PoolView
		timer   *time.Timer

		mu    sync.Mutex
		inUse map[engineItem]int
	}

	// engineItem is an item (model or adapter) on an engine.
	engineItem struct{ engine, item string }

	// localTicket is a call of this runner, from the ticket request to the end of its ticket.
	localTicket struct {
		runner      *Runner
		decided     chan pool.Decision
		migrate     chan struct{}
		grant       wire.TicketResponse
		finishOnce  sync.Once
		migrateOnce sync.Once
	}
)

// RequestTicket waits for a ticket. The error is an *answer.Error with outcome NotRun, or the error of ctx.
func (r *Runner) RequestTicket(ctx context.Context, req wire.TicketRequest) (Ticket, error) {
	t := &localTicket{
		runner: r, decided: make(chan pool.Decision, 1), migrate: make(chan struct{}),
	}
	ok := r.Loop.Post(func() {
		r.initMaps()
		r.waiting[req.CallID] = t
		r.Dispatcher.Enqueue(time.Now(), req)
		r.step()
	})
	if !ok {
		return nil, stoppingError()
	}
	select {
	case dec := <-t.decided:
		return r.result(t, dec)
	case <-ctx.Done():
		r.Loop.Post(func() { r.cancel(t, req.CallID) })
		return nil, ctx.Err()
	case <-r.Loop.Done():
		return nil, stoppingError()
	}
}

// RestoreTicket registers an open ticket that another dispatcher granted.
func (r *Runner) RestoreTicket(open wire.OpenTicket) Ticket {
	t := &localTicket{
		runner: r, migrate: make(chan struct{}),
		grant: wire.TicketResponse{
			Ticket: open.Ticket, Engine: open.Engine, ModelItem: open.ModelItem, AdapterItem: open.AdapterItem,
		},
	}
	r.Loop.Post(func() {
		r.initMaps()
		r.addOpen(t)
		r.Dispatcher.RestoreTicket(time.Now(), open)
		r.step()
	})
	return t
}

// SetEngines passes the engine states to the dispatcher and updates the view; it must run on the control goroutine.
func (r *Runner) SetEngines(engines []pool.EngineState) {
	r.initMaps()
	r.Dispatcher.SetEngines(time.Now(), engines)
	view := poolView(r.Pool, engines)
	if !sameView(r.view, view) {
		r.version++
		view.Version = r.version
		r.view = view
	}
	r.step()
}

// View returns the residency of the pool; it must run on the control goroutine.
func (r *Runner) View() wire.PoolView {
	return r.view
}

// Demand returns the recent demand; it must run on the control goroutine.
func (r *Runner) Demand() []pool.Demand {
	return r.Dispatcher.Demand(time.Now())
}

func (r *Runner) initMaps() {
	if r.waiting == nil {
		r.waiting = make(map[string]*localTicket)
		r.open = make(map[string]*localTicket)
	}
}

func (r *Runner) step() {
	now := time.Now()
	decisions, next := r.Dispatcher.Step(now)
	for _, dec := range decisions {
		r.deliver(dec)
	}
	if r.timer != nil {
		r.timer.Stop()
		r.timer = nil
	}
	if !next.IsZero() {
		r.timer = r.Loop.After(max(next.Sub(now), time.Millisecond), r.step)
	}
}

func (r *Runner) deliver(dec pool.Decision) {
	if dec.Kind == pool.Migrate {
		// The ticket stays open until its caller returns it.
		if t := r.open[dec.Grant.Ticket]; t != nil {
			t.migrateOnce.Do(func() { close(t.migrate) })
		}
		return
	}
	t := r.waiting[dec.CallID]
	if t == nil {
		return
	}
	delete(r.waiting, dec.CallID)
	if dec.Kind == pool.Granted {
		dec.Grant.Version = r.version
		t.grant = dec.Grant
		r.addOpen(t)
	}
	t.decided <- dec
}

// Running returns the number of calls that use an item on an engine; it may be called from any goroutine.
func (r *Runner) Running(engine, item string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse[engineItem{engine, item}]
}

// Counts returns the numbers of waiting calls and of open tickets; it must run on the control goroutine.
func (r *Runner) Counts() (waiting, open int) {
	return len(r.waiting), len(r.open)
}

// addOpen registers an open ticket. A ticket that is restored a second time replaces its first registration.
func (r *Runner) addOpen(t *localTicket) {
	if old := r.open[t.grant.Ticket]; old != nil {
		r.countUse(old, -1)
	}
	r.open[t.grant.Ticket] = t
	r.countUse(t, 1)
}

// isOpen reports whether t is registered; it is false for a ticket that was returned, or restored a second time.
func (r *Runner) isOpen(t *localTicket) bool {
	return t.grant.Ticket != "" && r.open[t.grant.Ticket] == t
}

func (r *Runner) removeOpen(t *localTicket) {
	delete(r.open, t.grant.Ticket)
	r.countUse(t, -1)
}

func (r *Runner) countUse(t *localTicket, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inUse == nil {
		r.inUse = make(map[engineItem]int)
	}
	for _, item := range []string{t.grant.ModelItem, t.grant.AdapterItem} {
		if item == "" {
			continue
		}
		u := engineItem{t.grant.Engine, item}
		r.inUse[u] += n
		if r.inUse[u] == 0 {
			delete(r.inUse, u)
		}
	}
}

func (r *Runner) result(t *localTicket, dec pool.Decision) (Ticket, error) {
	if dec.Kind == pool.Rejected {
		return nil, rejectionError(dec.Grant)
	}
	return t, nil
}

// cancel cancels a ticket request, or returns its ticket when it was granted in the meantime.
func (r *Runner) cancel(t *localTicket, callID string) {
	now := time.Now()
	if r.waiting[callID] == t {
		delete(r.waiting, callID)
		r.Dispatcher.Cancel(now, callID)
	} else if r.isOpen(t) {
		r.removeOpen(t)
		r.Dispatcher.ReportProgress(now, t.grant.Ticket, wire.Progress{Done: true})
	}
	r.step()
}

// Grant returns the ticket's engine and limits.
func (t *localTicket) Grant() wire.TicketResponse { return t.grant }

// Migrate returns a channel that is closed when the call should continue on another engine.
func (t *localTicket) Migrate() <-chan struct{} { return t.migrate }

// ReportProgress reports the progress of the call; a report with Done returns the ticket.
func (t *localTicket) ReportProgress(p wire.Progress) {
	if p.Done {
		t.finish(p)
		return
	}
	t.report(p)
}

// Close returns the ticket if ReportProgress has not done so.
func (t *localTicket) Close() { t.finish(wire.Progress{Done: true}) }

func (t *localTicket) finish(p wire.Progress) {
	t.finishOnce.Do(func() { t.report(p) })
}

func (t *localTicket) report(p wire.Progress) {
	r := t.runner
	r.Loop.Post(func() {
		if !r.isOpen(t) {
			return
		}
		if p.Done {
			r.removeOpen(t)
		}
		r.Dispatcher.ReportProgress(time.Now(), t.grant.Ticket, p)
		r.step()
	})
}

func rejectionError(g wire.TicketResponse) *answer.Error {
	status := http.StatusServiceUnavailable
	if g.Code == codeOverloaded {
		status = http.StatusTooManyRequests
	}
	return &answer.Error{
		Status: status, Code: g.Code, Outcome: answer.NotRun, Message: g.Reason,
		RetryAfter: time.Duration(g.RetryAfterMS) * time.Millisecond,
	}
}

func stoppingError() *answer.Error {
	return &answer.Error{
		Status: http.StatusServiceUnavailable, Code: "host_stopping", Outcome: answer.NotRun,
		Message: "this host is stopping", RetryAfter: time.Second,
	}
}
