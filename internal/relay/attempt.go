package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
)

var (
	errMigrated           = errors.New("the dispatcher migrated the call to another engine")
	errStalled            = errors.New("the stream stalled: no event within the stall timeout")
	errTokenGap           = errors.New("the stream skipped a token index")
	errVersionUnavailable = errors.New("no engine serves the model version that produced the first tokens")
	errTokenCount         = errors.New("the token count of the final event differs from the tokens received")
)

type (
	// attempt is one attempt of a call on one engine.
	attempt struct {
		ticket          ticket.Ticket
		id              string
		deliveredTokens []string // tokens that the client had received before this attempt
		stream          engine.Stream
		cancel          context.CancelCauseFunc
		ctx             context.Context
		startedAt       time.Time
		done            chan struct{} // closed by close
	}

	// firstEvent is the first event of an attempt, or the error that prevented it.
	firstEvent struct {
		attempt *attempt
		event   engine.Event
		err     error
	}
)

// startAttempt starts an attempt in the background and sends its first event to out.
func (c *callState) startAttempt(ctx context.Context, t ticket.Ticket, n int, out chan<- firstEvent) *attempt {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		ticket: t, ctx: attemptCtx, cancel: cancel, startedAt: time.Now(),
		id: c.req.TicketRequest.CallID + "." + strconv.Itoa(n), deliveredTokens: c.tokens,
		done: make(chan struct{}),
	}
	go a.watchMigration()
	go func() { out <- c.openStream(a) }()
	return a
}

// watchMigration cancels the attempt when the dispatcher migrates the call, and returns when the attempt is closed.
func (a *attempt) watchMigration() {
	select {
	case <-a.ticket.Migrate():
		a.cancel(errMigrated)
	case <-a.done:
	}
}

// openStream sends the call to the engine and waits for the first event.
func (c *callState) openStream(a *attempt) firstEvent {
	call := c.req.EngineCall
	call.AttemptID = a.id
	call.Priority = a.ticket.Grant().Priority
	call.Model, call.Adapter = a.ticket.Grant().ModelItem, a.ticket.Grant().AdapterItem
	call.DeliveredTokens = a.deliveredTokens
	s, err := c.relay.Engines.Generate(a.ctx, a.ticket.Grant().URL, call)
	if err != nil {
		return firstEvent{attempt: a, err: a.cause(err)}
	}
	a.stream = s
	ev, err := c.nextEvent(a)
	return firstEvent{attempt: a, event: ev, err: err}
}

// nextEvent returns the next event of the attempt, and cancels the attempt after the stall timeout. Events that belong
// to another attempt are counted and dropped.
func (c *callState) nextEvent(a *attempt) (engine.Event, error) {
	timer := time.AfterFunc(c.relay.stallTimeout(), func() { a.cancel(errStalled) })
	defer timer.Stop()
	for {
		ev, err := a.stream.Next(a.ctx)
		if errors.Is(err, engine.ErrWrongAttempt) || err == nil && ev.AttemptID != a.id {
			c.relay.Stats.CountEvent("crossed_answer")
			continue
		}
		if err != nil {
			return ev, a.cause(err)
		}
		return ev, nil
	}
}

// cause returns the reason for which the attempt was cancelled, or err if it was not. An error that proves that the
// engine did not execute the call takes precedence, because such a call may be retried even if it is not idempotent.
func (a *attempt) cause(err error) error {
	var se *engine.SendError
	if errors.As(err, &se) && se.NotExecuted {
		return err
	}
	if ctxErr := context.Cause(a.ctx); ctxErr != nil {
		return ctxErr
	}
	return err
}

// close cancels the attempt, sends the last progress report and closes the ticket. It is called once, after openStream
// has returned.
func (a *attempt) close(last wire.Progress) {
	a.cancel(context.Canceled)
	close(a.done)
	if a.stream != nil {
		_ = a.stream.Close()
	}
	last.Done = true
	a.ticket.ReportProgress(last)
	a.ticket.Close()
}
