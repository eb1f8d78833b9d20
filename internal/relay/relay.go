package relay

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// maxAttempts limits the attempts of one call; the retry budget limits the retries of all calls together.
	maxAttempts = 4
	// defaultStallTimeout ends an attempt whose stream yields no event for this time. Engines under load still yield an
	// event within a second.
	defaultStallTimeout = 10 * time.Second
	// progressInterval is the time between progress reports, by which the dispatcher keeps the load of engines up to
	// date.
	progressInterval = 2 * time.Second
)

type (
	// TicketSource grants tickets. Its error is an *answer.Error, which means that the call was not executed, or the
	// error of ctx.
	TicketSource interface {
		RequestTicket(ctx context.Context, a wire.TicketRequest) (ticket.Ticket, error)
	}

	// Relay executes generation calls; its fields are set before use.
	Relay struct {
		Tickets     TicketSource
		Engines     engine.API
		RetryBudget *budget.Budget
		HedgeBudget *budget.Budget
		Stats       *stats.Set
		// Notices holds which engines have asked for a pause; nil holds nothing.
		Notices *notice.Table
		// StallTimeout is the longest time without an event on a stream; 0 means 10 s.
		StallTimeout time.Duration
	}

	// Request is one generation call; TicketRequest describes it to the dispatcher, EngineCall to the engine.
	Request struct {
		TicketRequest wire.TicketRequest
		EngineCall    engine.Call
		Idempotent    bool // the call may be repeated although an earlier attempt may have been executed
	}

	// Result describes a complete response. Attempts does not count hedges. TimeToFirstToken is measured from the start
	// of Do.
	Result struct {
		FinishReason     string
		PromptTokens     int
		CompletionTokens int
		Attempts         int
		TimeToFirstToken time.Duration
	}

	// Sink receives each token of the response once and in order; its error ends the call.
	Sink func(token string) error
)

// Do executes the request until its response is complete. The error is an *answer.Error whose Outcome says whether the
// request may have been executed.
func (r *Relay) Do(ctx context.Context, req Request, sink Sink) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, req.TicketRequest.Deadline)
	defer cancel()
	call := &callState{relay: r, req: req, sink: sink, startedAt: time.Now()}
	for {
		call.result.Attempts++
		err := call.runAttempt(ctx)
		if err == nil {
			r.RetryBudget.Earn()
			r.HedgeBudget.Earn()
			return call.result, nil
		}
		if !call.shouldRetry(ctx, err) {
			return call.result, call.finalError(ctx, err)
		}
	}
}

func (r *Relay) stallTimeout() time.Duration {
	if r.StallTimeout > 0 {
		return r.StallTimeout
	}
	return defaultStallTimeout
}
