package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
)

// callState is the state of one call over its attempts.
type callState struct {
	relay         *Relay
	req           Request
	sink          Sink
	startedAt     time.Time
	tokens        []string // delivered to the sink so far
	triedEngines  []string // sent with ticket requests, so that the dispatcher can choose other engines
	launched      int      // attempts started, hedges included; each attempt gets the count as its number
	maybeExecuted bool     // an engine may have executed an attempt
	sinkErr       error    // why the sink failed, usually because the client disconnected
	result        Result
	// The model and adapter versions that produced the tokens; a response never mixes two versions.
	modelItem, adapterItem string
}

// runAttempt requests a ticket and runs one attempt. If the first token is late, a hedged attempt on another engine
// runs beside it.
func (c *callState) runAttempt(ctx context.Context) error {
	t, err := c.requestTicket(ctx)
	if err != nil {
		return err
	}
	if !c.sameVersion(t.Grant()) {
		t.Close()
		return errVersionUnavailable
	}
	if deadlinePassed(ctx) {
		t.Close()
		return context.DeadlineExceeded
	}
	winner, err := c.race(ctx, t)
	if err != nil {
		return err
	}
	return c.consumeStream(winner)
}

// deadlinePassed reports whether the deadline of ctx has passed by the clock. After a pause of the process, the timer
// that cancels ctx fires slightly late, so ctx.Err may still be nil.
func deadlinePassed(ctx context.Context) bool {
	d, ok := ctx.Deadline()
	return ok && !time.Now().Before(d)
}

// sameVersion reports whether the granted engine runs the model and adapter versions that produced the tokens so far.
func (c *callState) sameVersion(g wire.TicketResponse) bool {
	return len(c.tokens) == 0 || g.ModelItem == c.modelItem && g.AdapterItem == c.adapterItem
}

func (c *callState) ticketRequest(hedge bool) wire.TicketRequest {
	req := c.req.TicketRequest
	req.Tried = append(slices.Clone(c.triedEngines), c.relay.heldEngines()...)
	req.Hedge = hedge
	req.TokensDone = len(c.tokens)
	if hedge {
		req.CallID += ".hedge"
	}
	return req
}

// race starts an attempt and, after the hedge delay that the grant states, a second one on another engine. It returns
// the first event of the attempt that yields one first and cancels the other attempt.
func (c *callState) race(ctx context.Context, t ticket.Ticket) (firstEvent, error) {
	out := make(chan firstEvent, 2)
	first := c.launchAttempt(ctx, t, out)
	pending := map[*attempt]bool{first: true}
	hedgeTickets := make(chan ticket.Ticket, 1)
	hedgeDelay, stop := c.hedgeTimer(t.Grant())
	defer stop()
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	defer cancelHedge()
	hedgeRequested := false
	var lastErr error
	for len(pending) > 0 || hedgeRequested {
		select {
		case <-hedgeDelay:
			hedgeRequested = c.requestHedgeTicket(hedgeCtx, first, hedgeTickets)
		case hedge := <-hedgeTickets:
			hedgeRequested = false
			switch {
			case hedge == nil:
			case !c.relay.admits(hedge.Grant()):
				hedge.Close()
			default:
				pending[c.launchAttempt(ctx, hedge, out)] = true
			}
		case ev := <-out:
			delete(pending, ev.attempt)
			if ev.err == nil {
				c.cancelLosers(pending, out, cancelHedge, hedgeRequested, hedgeTickets)
				return ev, nil
			}
			lastErr = c.recordFailure(ev)
			if len(pending) == 0 {
				cancelHedge()
			}
		}
	}
	return firstEvent{}, lastErr
}

func (c *callState) launchAttempt(ctx context.Context, t ticket.Ticket, out chan<- firstEvent) *attempt {
	c.launched++
	return c.startAttempt(ctx, t, c.launched, out)
}

// hedgeTimer returns a channel that fires when a hedge is due, and a function that stops the timer. The channel is nil
// when the call must not be hedged: without a delay in the grant, for a non-idempotent call, and after the first token.
func (c *callState) hedgeTimer(g wire.TicketResponse) (<-chan time.Time, func()) {
	if g.HedgeAfterMS <= 0 || !c.req.Idempotent || len(c.tokens) > 0 {
		return nil, func() {}
	}
	t := time.NewTimer(time.Duration(g.HedgeAfterMS) * time.Millisecond)
	return t.C, func() { t.Stop() }
}

// requestHedgeTicket requests a ticket for a hedge in the background and sends it to out, or nil if none is granted. It
// reports false, and sends nothing, when the hedge budget is exhausted.
func (c *callState) requestHedgeTicket(ctx context.Context, first *attempt, out chan<- ticket.Ticket) bool {
	if !c.relay.HedgeBudget.Spend() {
		c.relay.Stats.CountEvent("hedge_budget_empty")
		return false
	}
	c.triedEngines = append(c.triedEngines, first.ticket.Grant().Engine)
	c.relay.Stats.CountRetry("hedge")
	req := c.ticketRequest(true)
	go func() {
		t, err := c.relay.Tickets.RequestTicket(ctx, req)
		if err != nil {
			t = nil
		}
		out <- t
	}()
	return true
}

// cancelLosers cancels the losers of a race and an outstanding request for a hedge ticket. In the background it closes
// the losers' tickets, and the hedge ticket if it is granted all the same.
func (c *callState) cancelLosers(
	losers map[*attempt]bool, out <-chan firstEvent, cancelHedge context.CancelFunc, hedgeRequested bool,
	hedgeTickets <-chan ticket.Ticket,
) {
	for a := range losers {
		a.cancel(context.Canceled)
	}
	cancelHedge()
	go func() {
		for range losers {
			ev := <-out
			ev.attempt.close(wire.Progress{})
		}
		if !hedgeRequested {
			return
		}
		if t := <-hedgeTickets; t != nil {
			t.Close()
		}
	}()
}

// recordFailure closes a failed attempt, records its engine as tried and whether it may have executed the request, and
// returns the attempt's error.
func (c *callState) recordFailure(failed firstEvent) error {
	var se *engine.SendError
	notExecuted := errors.As(failed.err, &se) && se.NotExecuted
	if !notExecuted {
		c.maybeExecuted = true
	}
	name := failed.attempt.ticket.Grant().Engine
	c.triedEngines = append(c.triedEngines, name)
	leaving := se != nil && se.Leaving
	if se != nil {
		c.relay.applyHold(failed.attempt, se.Hold)
	}
	failed.attempt.close(wire.Progress{Failed: c.engineFailed(failed.err), Leaving: leaving, Tokens: len(c.tokens)})
	return failed.err
}

// engineFailed reports whether the engine caused err, as opposed to the client, the deadline or a migration.
func (c *callState) engineFailed(err error) bool {
	if c.sinkErr != nil {
		return false
	}
	for _, cause := range []error{errMigrated, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(err, cause) {
			return false
		}
	}
	return true
}

// consumeStream delivers the tokens of the winning attempt to the sink and reports progress to the dispatcher. It
// returns nil once the response is complete.
func (c *callState) consumeStream(first firstEvent) error {
	a := first.attempt
	c.maybeExecuted = true
	c.relay.applyHold(a, 0)
	c.modelItem, c.adapterItem = a.ticket.Grant().ModelItem, a.ticket.Grant().AdapterItem
	if c.result.TimeToFirstToken == 0 {
		c.result.TimeToFirstToken = time.Since(c.startedAt)
	}
	ttft := time.Since(a.startedAt)
	c.relay.Stats.ObserveUpstream(a.ticket.Grant().Engine, ttft)
	a.ticket.ReportProgress(wire.Progress{Tokens: len(c.tokens), FirstTokenMS: max(int(ttft.Milliseconds()), 1)})
	lastReport := time.Now()
	ev := first.event
	for {
		if ev.Final {
			return c.finish(a, ev)
		}
		if err := c.deliver(ev); err != nil {
			return c.recordFailure(firstEvent{attempt: a, err: err})
		}
		if time.Since(lastReport) >= progressInterval {
			lastReport = time.Now()
			a.ticket.ReportProgress(wire.Progress{Tokens: len(c.tokens)})
		}
		var err error
		if ev, err = c.nextEvent(a); err != nil {
			return c.recordFailure(firstEvent{attempt: a, err: err})
		}
	}
}

// deliver passes the event's token to the sink. It skips a token that was delivered before and rejects a gap in the
// index.
func (c *callState) deliver(ev engine.Event) error {
	switch {
	case ev.Index < len(c.tokens):
		c.relay.Stats.CountEvent("token_repeated")
		return nil
	case ev.Index > len(c.tokens):
		return errTokenGap
	}
	c.tokens = append(c.tokens, ev.Token)
	if err := c.sink(ev.Token); err != nil {
		c.sinkErr = err
		return err
	}
	return nil
}

// finish fills in the result from the final event, provided that the token count in it matches the tokens delivered.
func (c *callState) finish(a *attempt, ev engine.Event) error {
	if ev.CompletionTokens != len(c.tokens) {
		return c.recordFailure(firstEvent{attempt: a, err: errTokenCount})
	}
	c.result.FinishReason = ev.FinishReason
	c.result.PromptTokens = ev.PromptTokens
	c.result.CompletionTokens = ev.CompletionTokens
	a.close(wire.Progress{Tokens: len(c.tokens)})
	return nil
}

// shouldRetry reports whether another attempt may be made after err. If so, it counts the retry and spends the retry
// budget; an attempt after a migration does not need the budget.
func (c *callState) shouldRetry(ctx context.Context, err error) bool {
	var rejected *answer.Error
	if errors.As(err, &rejected) || c.sinkErr != nil || ctx.Err() != nil {
		return false
	}
	if c.maybeExecuted && !c.req.Idempotent || c.result.Attempts >= maxAttempts {
		return false
	}
	if errors.Is(err, errVersionUnavailable) || deadlinePassed(ctx) {
		return false
	}
	if errors.Is(err, errMigrated) {
		c.relay.Stats.CountRetry("moved")
		return true
	}
	if !c.relay.RetryBudget.Spend() {
		c.relay.Stats.CountRejection("retry_budget_empty")
		return false
	}
	c.relay.Stats.CountRetry(retryReason(err))
	return true
}

// finalError returns the API error for the last attempt's error. Its outcome is "not executed" if no engine can have
// executed an attempt. Otherwise it is "failed" for an idempotent call, which may be repeated, and "unknown" for any
// other call.
func (c *callState) finalError(ctx context.Context, err error) error {
	e := c.toAPIError(ctx, err)
	switch {
	case !c.maybeExecuted:
		e.Outcome = answer.NotRun
	case c.req.Idempotent:
		e.Outcome = answer.Failed
	default:
		e.Outcome = answer.Unknown
	}
	c.relay.Stats.CountRejection(e.Code)
	return e
}

// toAPIError returns the API error for err without its outcome. A rejection from the dispatcher is copied. Its status
// says that the call was not executed, so it is replaced if an engine may have executed an earlier attempt.
func (c *callState) toAPIError(ctx context.Context, err error) *answer.Error {
	var rejected *answer.Error
	if errors.As(err, &rejected) {
		e := *rejected
		if c.maybeExecuted {
			e.Status = http.StatusBadGateway
		}
		return &e
	}
	switch {
	case deadlinePassed(ctx):
		return &answer.Error{
			Status: http.StatusGatewayTimeout, Code: "deadline_exceeded",
			Message: "the deadline passed before the response was complete",
		}
	case ctx.Err() != nil || c.sinkErr != nil:
		return &answer.Error{
			Status: statusClientClosedRequest, Code: "caller_gone", Message: "the client closed the request",
		}
	default:
		return &answer.Error{
			Status: http.StatusBadGateway, Code: "upstream_failed",
			Message: "no engine completed the request: " + err.Error(), RetryAfter: time.Second,
		}
	}
}

// statusClientClosedRequest is the non-standard but common status (from nginx) for a request that its client closed.
const statusClientClosedRequest = 499

// retryReason returns the label under which the retry after err is counted.
func retryReason(err error) string {
	var se *engine.SendError
	switch {
	case errors.As(err, &se) && se.Leaving:
		return "upstream_leaving"
	case errors.As(err, &se) && se.NotExecuted:
		return "not_started"
	case errors.Is(err, errStalled):
		return "stalled"
	case errors.Is(err, errTokenGap), errors.Is(err, errTokenCount):
		return "tokens_missing"
	default:
		return "stream_cut"
	}
}
