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
	errMoved   = errors.New("the dispatcher moved the call")
	errStalled = errors.New("the stream yielded nothing for too long")
	errGap     = errors.New("the stream skipped a token")
	errVersion = errors.New("the version that produced the first tokens no longer answers")
	errShort   = errors.New("the final event counts other tokens than the stream had")
)

type (
	// attempt is one attempt on one engine.
	attempt struct {
		ticket ticket.Ticket
		id     string
		tokens []string // those that the caller has at the start
		stream engine.Stream
		cancel context.CancelCauseFunc
		ctx    context.Context
		began  time.Time
		ended  chan struct{}
	}

	// opened is the first event of an attempt, or why there is none.
	opened struct {
		attempt *attempt
		event   engine.Event
		err     error
	}
)

// open starts an attempt in the background and sends its first event to out.
func (r *run) open(ctx context.Context, t ticket.Ticket, n int, out chan<- opened) *attempt {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		ticket: t, ctx: attemptCtx, cancel: cancel, began: time.Now(),
		id: r.req.TicketRequest.CallID + "." + strconv.Itoa(n), tokens: r.tokens,
		ended: make(chan struct{}),
	}
	go a.watchMove()
	go func() { out <- r.start(a) }()
	return a
}

func (a *attempt) watchMove() {
	select {
	case <-a.ticket.Migrate():
		a.cancel(errMoved)
	case <-a.ended:
	}
}

func (r *run) start(a *attempt) opened {
	c := r.req.EngineCall
	c.AttemptID = a.id
	c.Priority = a.ticket.Grant().Priority
	c.Model, c.Adapter = a.ticket.Grant().ModelItem, a.ticket.Grant().AdapterItem
	c.DeliveredTokens = a.tokens
	s, err := r.relay.Engines.Generate(a.ctx, a.ticket.Grant().URL, c)
	if err != nil {
		return opened{attempt: a, err: a.explain(err)}
	}
	a.stream = s
	ev, err := r.next(a)
	return opened{attempt: a, event: ev, err: err}
}

// next returns the attempt's next own event; events of other attempts are dropped and counted.
func (r *run) next(a *attempt) (engine.Event, error) {
	timer := time.AfterFunc(r.relay.stall(), func() { a.cancel(errStalled) })
	defer timer.Stop()
	for {
		ev, err := a.stream.Next(a.ctx)
		if errors.Is(err, engine.ErrWrongAttempt) || err == nil && ev.AttemptID != a.id {
			r.relay.Stats.CountEvent("crossed_answer")
			continue
		}
		if err != nil {
			return ev, a.explain(err)
		}
		return ev, nil
	}
}

// explain returns why the attempt was cancelled, if it was, but keeps the knowledge that an attempt was not run.
func (a *attempt) explain(err error) error {
	var se *engine.SendError
	if errors.As(err, &se) && se.NotExecuted {
		return err
	}
	if cause := context.Cause(a.ctx); cause != nil {
		return cause
	}
	return err
}

// close cancels the attempt and returns its ticket; it is called once, after the attempt's first event was received.
func (a *attempt) close(b wire.Progress) {
	a.cancel(context.Canceled)
	close(a.ended)
	if a.stream != nil {
		_ = a.stream.Close()
	}
	b.Done = true
	a.ticket.ReportProgress(b)
	a.ticket.Close()
}
