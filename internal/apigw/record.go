package apigw

import (
	"strings"
	"time"

	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/pkg/answer"
)

// record notes a finished generation in the counters and in the trace.
func (s *Server) record(c *call, j *job, res relay.Result, err error) {
	if err == nil {
		s.Stats.Observe(j.class.Name+"/first_token", res.TimeToFirstToken)
	}
	if s.Trace == nil {
		return
	}
	if werr := s.Trace.Write(s.traced(c, j, res, err)); werr != nil {
		s.Stats.CountEvent("trace_write_failed")
		c.log.Warn().Err(werr).Msg("generation not recorded in the trace")
	}
}

// traced describes a generation by sizes, times and names; the prompt appears only as the hash of its beginning.
func (s *Server) traced(c *call, j *job, res relay.Result, err error) trace.Call {
	a := j.request.TicketRequest
	model, _, _ := strings.Cut(j.target.Model, "@")
	out := trace.Call{
		AtMS: inMS(c.began.Sub(s.began)), Pool: a.Pool, Class: a.Class, Caller: a.Caller, Model: model,
		Adapter: a.Adapter, PromptTokens: a.PromptTokens, PrefixTokens: min(len(j.prompt), prefixChars) / charsPerToken,
		PrefixHash: a.PrefixHash, ExpectedTokens: a.ExpectedTokens, OutputTokens: res.CompletionTokens,
		DeadlineMS: int(a.Deadline.Sub(c.began).Milliseconds()), NotRepeatable: j.notRepeatable,
		FirstTokenMS: int(res.TimeToFirstToken.Milliseconds()), TotalMS: int(time.Since(c.began).Milliseconds()),
	}
	if err != nil {
		out.Code = answer.From(err).Code
		return out
	}
	// The engine's count replaces the estimate.
	out.PromptTokens = res.PromptTokens
	return out
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
