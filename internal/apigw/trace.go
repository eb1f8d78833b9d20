package apigw

import (
	"strings"
	"time"

	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/pkg/answer"
)

// recordMetrics adds a finished generation to the latency metrics and writes its trace record.
func (s *Server) recordMetrics(c *call, g *genRequest, res relay.Result, err error) {
	if err == nil {
		s.Stats.Observe(g.class.Name+"/first_token", res.TimeToFirstToken)
	}
	if s.Trace == nil {
		return
	}
	if writeErr := s.Trace.Write(s.traceCall(c, g, res, err)); writeErr != nil {
		s.Stats.CountEvent("trace_write_failed")
		c.log.Warn().Err(writeErr).Msg("generation not recorded in the trace")
	}
}

// traceCall returns the trace record of a generation: sizes, times and names. Of the prompt it holds only the hash of
// its prefix.
func (s *Server) traceCall(c *call, g *genRequest, res relay.Result, err error) trace.Call {
	ticket := g.request.TicketRequest
	model, _, _ := strings.Cut(g.target.Model, "@")
	out := trace.Call{
		AtMS: toMS(c.start.Sub(s.started)), Pool: ticket.Pool, Class: ticket.Class, Caller: ticket.Caller, Model: model,
		Adapter: ticket.Adapter, PromptTokens: ticket.PromptTokens,
		PrefixTokens: min(len(g.prompt), prefixBytes) / bytesPerToken, PrefixHash: ticket.PrefixHash,
		ExpectedTokens: ticket.ExpectedTokens, OutputTokens: res.CompletionTokens,
		DeadlineMS: int(ticket.Deadline.Sub(c.start).Milliseconds()), NotRepeatable: g.nonIdempotent,
		FirstTokenMS: int(res.TimeToFirstToken.Milliseconds()), TotalMS: int(time.Since(c.start).Milliseconds()),
	}
	if err != nil {
		out.Code = answer.From(err).Code
		return out
	}
	// The engine's count replaces the estimate that was sent to the dispatcher.
	out.PromptTokens = res.PromptTokens
	return out
}

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
