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
	// Asker grants tickets; its error is an *answer.Error of a call that was not run, or that of ctx.
	Asker interface {
		RequestTicket(ctx context.Context, a wire.TicketRequest) (ticket.Ticket, error)
	}

	// Relay runs generations; its fields are set before use.
	Relay struct {
		Tickets Asker
		Engines engine.API
		Retries *budget.Budget
		Hedges  *budget.Budget
		Stats   *stats.Set
		// Stall is the longest silence of a stream; 0 means 10 s.
		Stall time.Duration
	}

	// Request is one generation; Ask describes it to the dispatcher, Call to the engine.
	Request struct {
		Ask        wire.TicketRequest
		Call       engine.Call
		Repeatable bool
	}

	// Result tells how a whole answer ended.
	Result struct {
		FinishReason     string
		PromptTokens     int
		CompletionTokens int
		Attempts         int
		FirstToken       time.Duration
	}

	// Sink takes the tokens of the answer in order, each once; its error ends the call.
	Sink func(token string) error
)

// Do runs the request until its answer is whole; the error is an *answer.Error that tells what is known of the outcome.
func (r *Relay) Do(ctx context.Context, req Request, sink Sink) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Ask.Deadline)
	defer cancel()
	run := &run{relay: r, req: req, sink: sink, began: time.Now()}
	for {
		run.result.Attempts++
		err := run.attempt(ctx)
		if err == nil {
			r.Retries.Earn()
			r.Hedges.Earn()
			return run.result, nil
		}
		if !run.again(ctx, err) {
			return run.result, run.outcome(ctx, err)
		}
	}
}

func (r *Relay) stall() time.Duration {
	if r.Stall > 0 {
		return r.Stall
	}
	return defaultStall
}
