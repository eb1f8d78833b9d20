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
	// Dispatcher decides for one pool; it is used only from the control goroutine.
	Dispatcher interface {
		Enqueue(now time.Time, a wire.TicketRequest)
		Cancel(now time.Time, callID string)
		ReportProgress(now time.Time, ticket string, b wire.Progress)
		RestoreTicket(now time.Time, h wire.OpenTicket)
		SetEngines(now time.Time, engines []pool.EngineState)
		Step(now time.Time) (decisions []pool.Decision, next time.Time)
		Demand(now time.Time) []pool.Demand
	}

	// Runner runs the dispatcher of one pool on the control goroutine; its fields are set before use.
	Runner struct {
		Pool       string
		Loop       *ctrl.Loop
		Dispatcher Dispatcher

		// The rest belongs to the control goroutine.
		waiting map[string]*localTicket
		held    map[string]*localTicket
		version int64
		view    wire.PoolView
		timer   *time.Timer

		mu    sync.Mutex
		inUse map[use]int
	}

	// use is an item that calls use on an engine.
	use struct{ engine, item string }

	// localTicket is a call known to this runner, from its ask to the end of its ticket.
	localTicket struct {
		runner  *Runner
		decided chan pool.Decision
		moved   chan struct{}
		grant   wire.TicketResponse
		end     sync.Once
		move    sync.Once
	}
)

// RequestTicket waits for a ticket; the error is an *answer.Error of a call that was not run, or that of ctx.
func (r *Runner) RequestTicket(ctx context.Context, a wire.TicketRequest) (Ticket, error) {
	t := &localTicket{
		runner: r, decided: make(chan pool.Decision, 1), moved: make(chan struct{}),
	}
	ok := r.Loop.Post(func() {
		r.start()
		r.waiting[a.CallID] = t
		r.Dispatcher.Enqueue(time.Now(), a)
		r.step()
	})
	if !ok {
		return nil, stopping()
	}
	select {
	case dec := <-t.decided:
		return r.settle(t, dec)
	case <-ctx.Done():
		r.Loop.Post(func() { r.abandon(t, a.CallID) })
		return nil, ctx.Err()
	case <-r.Loop.Done():
		return nil, stopping()
	}
}

// RestoreTicket takes over a ticket that another dispatcher granted.
func (r *Runner) RestoreTicket(h wire.OpenTicket) Ticket {
	t := &localTicket{
		runner: r, moved: make(chan struct{}),
		grant: wire.TicketResponse{
			Ticket: h.Ticket, Engine: h.Engine, ModelItem: h.ModelItem, AdapterItem: h.AdapterItem,
		},
	}
	r.Loop.Post(func() {
		r.start()
		r.hold(t)
		r.Dispatcher.RestoreTicket(time.Now(), h)
		r.step()
	})
	return t
}

// SetEngines tells the dispatcher what is known of the engines; it must run on the control goroutine.
func (r *Runner) SetEngines(engines []pool.EngineState) {
	r.start()
	r.Dispatcher.SetEngines(time.Now(), engines)
	view := viewOf(r.Pool, engines)
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

func (r *Runner) start() {
	if r.waiting == nil {
		r.waiting = make(map[string]*localTicket)
		r.held = make(map[string]*localTicket)
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
		// The ticket stays held until its holder returns it.
		if t := r.held[dec.Grant.Ticket]; t != nil {
			t.move.Do(func() { close(t.moved) })
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
		r.hold(t)
	}
	t.decided <- dec
}

// Running returns the number of calls that use an item on an engine; it may be called from any goroutine.
func (r *Runner) Running(engine, item string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUse[use{engine, item}]
}

// Counts returns the number of waiting calls and of held tickets; it must run on the control goroutine.
func (r *Runner) Counts() (waiting, held int) {
	return len(r.waiting), len(r.held)
}

// hold counts the ticket; one that its holder announces a second time replaces the first.
func (r *Runner) hold(t *localTicket) {
	if old := r.held[t.grant.Ticket]; old != nil {
		r.count(old, -1)
	}
	r.held[t.grant.Ticket] = t
	r.count(t, 1)
}

// holds is false for a ticket that was returned, or that its holder has announced again.
func (r *Runner) holds(t *localTicket) bool {
	return t.grant.Ticket != "" && r.held[t.grant.Ticket] == t
}

func (r *Runner) release(t *localTicket) {
	delete(r.held, t.grant.Ticket)
	r.count(t, -1)
}

func (r *Runner) count(t *localTicket, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inUse == nil {
		r.inUse = make(map[use]int)
	}
	for _, item := range []string{t.grant.ModelItem, t.grant.AdapterItem} {
		if item == "" {
			continue
		}
		u := use{t.grant.Engine, item}
		r.inUse[u] += n
		if r.inUse[u] == 0 {
			delete(r.inUse, u)
		}
	}
}

func (r *Runner) settle(t *localTicket, dec pool.Decision) (Ticket, error) {
	if dec.Kind == pool.Refused {
		return nil, refusal(dec.Grant)
	}
	return t, nil
}

// abandon withdraws an ask, or returns its ticket when the grant crossed the withdrawal.
func (r *Runner) abandon(t *localTicket, callID string) {
	now := time.Now()
	if r.waiting[callID] == t {
		delete(r.waiting, callID)
		r.Dispatcher.Cancel(now, callID)
	} else if r.holds(t) {
		r.release(t)
		r.Dispatcher.ReportProgress(now, t.grant.Ticket, wire.Progress{Done: true})
	}
	r.step()
}

// Grant returns the ticket's engine and limits.
func (t *localTicket) Grant() wire.TicketResponse { return t.grant }

// Migrate is closed when the call should continue on another engine.
func (t *localTicket) Migrate() <-chan struct{} { return t.moved }

// ReportProgress reports progress.
func (t *localTicket) ReportProgress(b wire.Progress) {
	if b.Done {
		t.finish(b)
		return
	}
	t.post(b)
}

// Close returns the ticket if ReportProgress has not done so.
func (t *localTicket) Close() { t.finish(wire.Progress{Done: true}) }

func (t *localTicket) finish(b wire.Progress) {
	t.end.Do(func() { t.post(b) })
}

func (t *localTicket) post(b wire.Progress) {
	r := t.runner
	r.Loop.Post(func() {
		if !r.holds(t) {
			return
		}
		if b.Done {
			r.release(t)
		}
		r.Dispatcher.ReportProgress(time.Now(), t.grant.Ticket, b)
		r.step()
	})
}

func refusal(g wire.TicketResponse) *answer.Error {
	status := http.StatusServiceUnavailable
	if g.Code == codeOverloaded {
		status = http.StatusTooManyRequests
	}
	return &answer.Error{
		Status: status, Code: g.Code, Outcome: answer.NotRun, Message: g.Reason,
		RetryAfter: time.Duration(g.RetryAfterMS) * time.Millisecond,
	}
}

func stopping() *answer.Error {
	return &answer.Error{
		Status: http.StatusServiceUnavailable, Code: "host_stopping", Outcome: answer.NotRun,
		Message: "this host is stopping", RetryAfter: time.Second,
	}
}
