package relay

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// maxAttempts bounds one call; the retry budget bounds all calls together.
	maxAttempts = 4
	// defaultStall cuts a stream that yields nothing for so long; engines under load still yield within a second.
	defaultStall = 10 * time.Second
	// beatInterval keeps the dispatcher's view of a running call fresh.
	beatInterval = 2 * time.Second
)

type (
	// TicketSource grants tickets; its error is an *answer.Error of a call that was not run, or that of ctx.
	TicketSource interface {
		RequestTicket(ctx context.Context, a wire.TicketRequest) (ticket.Ticket, error)
	}

	// Relay runs generations; its fields are set before use.
	Relay struct {
		Tickets     TicketSource
		Engines     engine.API
		RetryBudget *budget.Budget
		HedgeBudget *budget.Budget
		Stats       *stats.Set
		// StallTimeout is the longest silence of a stream; 0 means 10 s.
		StallTimeout time.Duration
	}

	// Request is one generation; TicketRequest describes it to the dispatcher, EngineCall to the engine.
	Request struct {
		TicketRequest wire.TicketRequest
		EngineCall    engine.Call
		Idempotent    bool
	}

	// Result tells how a whole answer ended.
	Result struct {
		FinishReason     string
		PromptTokens     int
		CompletionTokens int
		Attempts         int
		TimeToFirstToken time.Duration
	}

	// Sink takes the tokens of the answer in order, each once; its error ends the call.
	Sink func(token string) error
)

// Do runs the request until its answer is whole; the error is an *answer.Error that tells what is known of the outcome.
func (r *Relay) Do(ctx context.Context, req Request, sink Sink) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, req.TicketRequest.Deadline)
	defer cancel()
	run := &run{relay: r, req: req, sink: sink, began: time.Now()}
	for {
		run.result.Attempts++
		err := run.attempt(ctx)
		if err == nil {
			r.RetryBudget.Earn()
			r.HedgeBudget.Earn()
			return run.result, nil
		}
		if !run.again(ctx, err) {
			return run.result, run.outcome(ctx, err)
		}
	}
}

func (r *Relay) stall() time.Duration {
	if r.StallTimeout > 0 {
		return r.StallTimeout
	}
	return defaultStall
}
