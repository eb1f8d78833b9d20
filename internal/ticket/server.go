package ticket

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	// ackDelay is the time after which a waiting request is acknowledged. It is well below ackTimeout, the time for
	// which entry hosts (those that received the call) wait for a response.
	ackDelay = ackTimeout / 5

	// Limits of a ticket request, far above what callers can send. Larger values would distort the dispatcher's
	// estimates.
	maxIDBytes   = 256
	maxTokens    = 1 << 24
	maxRemaining = 24 * time.Hour
	maxTried     = 256

	codeBadRequest = "bad_ask"
	eventBadFrame  = "bad_ticket_frame"
)

// Server serves ticket requests of other hosts; its fields are set before use.
type Server struct {
	// Owned returns the runner of a pool that this host dispatches, or nil.
	Owned func(pool string) *Runner
	Stats *stats.Set // nil counts nothing
}

// Handle serves KindTicket and KindRestore; it returns when the ticket has ended.
func (s *Server) Handle(ctx context.Context, kind wire.Kind, c wire.Stream) {
	defer func() { _ = c.Close() }()
	if kind == wire.KindRestore {
		s.restore(c)
		return
	}
	var req wire.TicketRequest
	if c.Recv(&req) != nil {
		return
	}
	if err := validate(req); err != nil {
		s.countBadFrame()
		_ = c.Send(wire.TicketResponse{Code: codeBadRequest, Reason: err.Error()})
		return
	}
	setDeadline(&req)
	runner := s.Owned(req.Pool)
	if runner == nil {
		_ = c.Send(wire.TicketResponse{Code: codeNotOwner})
		return
	}
	s.grant(ctx, runner, req, c)
}

func (s *Server) grant(ctx context.Context, runner *Runner, req wire.TicketRequest, c wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	reports := make(chan wire.Progress)
	go s.receiveReports(ctx, c, reports, cancel)
	t, err := awaitDecision(ctx, runner, req, c)
	if err != nil {
		_ = c.Send(rejectionResponse(err))
		return
	}
	defer t.Close()
	if err := c.Send(t.Grant()); err != nil {
		return
	}
	relayReports(ctx, t, c, reports)
}

// awaitDecision waits for the decision, and acknowledges the request when the decision takes longer than ackDelay.
func awaitDecision(ctx context.Context, runner *Runner, req wire.TicketRequest, c wire.Stream) (t Ticket, err error) {
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		t, err = runner.RequestTicket(ctx, req)
	}()
	select {
	case <-decided:
		return t, err
	case <-time.After(ackDelay):
	}
	// A failed send needs no handling: the stream has ended, so receiveReports cancels ctx, which cancels the request.
	_ = c.Send(wire.TicketResponse{Code: codeQueued})
	<-decided
	return t, err
}

func (s *Server) restore(c wire.Stream) {
	var open wire.OpenTicket
	if c.Recv(&open) != nil {
		return
	}
	if validate(open.Request) != nil || open.Ticket == "" || len(open.Ticket) > maxIDBytes ||
		open.Tokens < 0 || open.Tokens > maxTokens {
		s.countBadFrame()
		return
	}
	setDeadline(&open.Request)
	runner := s.Owned(open.Request.Pool)
	if runner == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reports := make(chan wire.Progress)
	go s.receiveReports(ctx, c, reports, cancel)
	t := runner.RestoreTicket(open)
	defer t.Close()
	relayReports(ctx, t, c, reports)
}

// countBadFrame counts a frame with values out of range; the transport counts those that can't be decoded.
func (s *Server) countBadFrame() {
	if s.Stats != nil {
		s.Stats.CountEvent(eventBadFrame)
	}
}

// validate returns an error for a ticket request with values out of range.
func validate(req wire.TicketRequest) error {
	limit := maxRemaining.Milliseconds()
	switch {
	case req.CallID == "" || len(req.CallID) > maxIDBytes:
		return errors.Errorf("call id of %d bytes is out of range", len(req.CallID))
	case req.RemainingMS < -limit || req.RemainingMS > limit:
		return errors.Errorf("remaining time of %d ms is out of range", req.RemainingMS)
	case min(req.PromptTokens, req.ExpectedTokens, req.TokensDone) < 0,
		max(req.PromptTokens, req.ExpectedTokens, req.TokensDone) > maxTokens:
		return errors.Errorf("token counts (prompt, expected, done) %d, %d and %d are out of range",
			req.PromptTokens, req.ExpectedTokens, req.TokensDone)
	case len(req.Tried) > maxTried:
		return errors.Errorf("too many tried engines: %d", len(req.Tried))
	}
	return nil
}

func setDeadline(req *wire.TicketRequest) {
	req.Deadline = time.Now().Add(time.Duration(req.RemainingMS) * time.Millisecond)
}

// receiveReports forwards progress reports until the stream or the call ends, and then cancels the context of the
// request and of relayReports.
func (s *Server) receiveReports(
	ctx context.Context, c wire.Stream, reports chan<- wire.Progress, cancel context.CancelFunc,
) {
	defer cancel()
	for {
		var p wire.Progress
		if c.Recv(&p) != nil {
			return
		}
		if p.Tokens < 0 || p.Tokens > maxTokens || p.FirstTokenMS < 0 {
			s.countBadFrame()
			return
		}
		select {
		case reports <- p:
		case <-ctx.Done():
			return
		}
		if p.Done {
			return
		}
	}
}

func relayReports(ctx context.Context, t Ticket, c wire.Stream, reports <-chan wire.Progress) {
	migrate := t.Migrate()
	for {
		select {
		case p := <-reports:
			t.ReportProgress(p)
			if p.Done {
				return
			}
		case <-migrate:
			migrate = nil
			_ = c.Send(wire.TicketResponse{Code: codeMigrate})
		case <-ctx.Done():
			return
		}
	}
}

func rejectionResponse(err error) wire.TicketResponse {
	e := answer.From(err)
	g := wire.TicketResponse{Code: e.Code, Reason: e.Message, RetryAfterMS: int(e.RetryAfter.Milliseconds())}
	if e.Status == http.StatusTooManyRequests {
		g.Code = codeOverloaded
	}
	return g
}
