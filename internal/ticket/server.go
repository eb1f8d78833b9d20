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
	// ackDelay is well below the time for which entry hosts wait for an acknowledgement.
	ackDelay = ackTimeout / 5

	// Bounds of what a host may ask, far above what callers can; more would distort the dispatcher's estimates.
	maxIDBytes   = 256
	maxTokens    = 1 << 24
	maxRemaining = 24 * time.Hour
	maxTried     = 256

	codeBadAsk    = "bad_ask"
	eventBadFrame = "bad_ticket_frame"
)

// Server answers asks of other hosts; its fields are set before use.
type Server struct {
	// Owned returns the runner of a pool that this host dispatches, or nil.
	Owned func(pool string) *Runner
	Stats *stats.Set // nil counts nothing
}

// Handle serves KindTicket and KindRestore; it returns when the ticket has ended.
func (s *Server) Handle(ctx context.Context, kind wire.Kind, c wire.Stream) {
	defer func() { _ = c.Close() }()
	if kind == wire.KindRestore {
		s.renew(c)
		return
	}
	var a wire.TicketRequest
	if c.Recv(&a) != nil {
		return
	}
	if err := check(a); err != nil {
		s.bad()
		_ = c.Send(wire.TicketResponse{Code: codeBadAsk, Reason: err.Error()})
		return
	}
	receivedDeadline(&a)
	d := s.Owned(a.Pool)
	if d == nil {
		_ = c.Send(wire.TicketResponse{Code: codeNotOwner})
		return
	}
	s.grant(ctx, d, a, c)
}

func (s *Server) grant(ctx context.Context, d *Runner, a wire.TicketRequest, c wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	beats := make(chan wire.Progress)
	go s.receive(ctx, c, beats, cancel)
	t, err := decide(ctx, d, a, c)
	if err != nil {
		_ = c.Send(refusalGrant(err))
		return
	}
	defer t.Close()
	if err := c.Send(t.Grant()); err != nil {
		return
	}
	serve(ctx, t, c, beats)
}

// decide waits for the decision, and acknowledges the ask when that takes longer than most decisions do.
func decide(ctx context.Context, d *Runner, a wire.TicketRequest, c wire.Stream) (t Ticket, err error) {
	decided := make(chan struct{})
	go func() {
		defer close(decided)
		t, err = d.RequestTicket(ctx, a)
	}()
	select {
	case <-decided:
		return t, err
	case <-time.After(ackDelay):
	}
	// A failed send shows as the end of the exchange, which ends ctx and so the ask.
	_ = c.Send(wire.TicketResponse{Code: codeQueued})
	<-decided
	return t, err
}

func (s *Server) renew(c wire.Stream) {
	var h wire.OpenTicket
	if c.Recv(&h) != nil {
		return
	}
	if check(h.Request) != nil || h.Ticket == "" || len(h.Ticket) > maxIDBytes || h.Tokens < 0 || h.Tokens > maxTokens {
		s.bad()
		return
	}
	receivedDeadline(&h.Request)
	d := s.Owned(h.Request.Pool)
	if d == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	beats := make(chan wire.Progress)
	go s.receive(ctx, c, beats, cancel)
	t := d.RestoreTicket(h)
	defer t.Close()
	serve(ctx, t, c, beats)
}

// bad counts a frame with impossible values; the transport counts those that can't be decoded.
func (s *Server) bad() {
	if s.Stats != nil {
		s.Stats.CountEvent(eventBadFrame)
	}
}

// check returns why an ask is outside the bounds, or nil.
func check(a wire.TicketRequest) error {
	limit := maxRemaining.Milliseconds()
	switch {
	case a.CallID == "" || len(a.CallID) > maxIDBytes:
		return errors.Errorf("call id has %d bytes", len(a.CallID))
	case a.RemainingMS < -limit || a.RemainingMS > limit:
		return errors.Errorf("remaining time of %d ms", a.RemainingMS)
	case min(a.PromptTokens, a.ExpectedTokens, a.TokensDone) < 0,
		max(a.PromptTokens, a.ExpectedTokens, a.TokensDone) > maxTokens:
		return errors.Errorf("token counts %d, %d and %d", a.PromptTokens, a.ExpectedTokens, a.TokensDone)
	case len(a.Tried) > maxTried:
		return errors.Errorf("%d engines tried", len(a.Tried))
	}
	return nil
}

func receivedDeadline(a *wire.TicketRequest) {
	a.Deadline = time.Now().Add(time.Duration(a.RemainingMS) * time.Millisecond)
}

// receive passes reports on until the exchange ends, and then cancels what waits for them.
func (s *Server) receive(ctx context.Context, c wire.Stream, beats chan<- wire.Progress, cancel context.CancelFunc) {
	defer cancel()
	for {
		var b wire.Progress
		if c.Recv(&b) != nil {
			return
		}
		if b.Tokens < 0 || b.Tokens > maxTokens || b.FirstTokenMS < 0 {
			s.bad()
			return
		}
		select {
		case beats <- b:
		case <-ctx.Done():
			return
		}
		if b.Done {
			return
		}
	}
}

func serve(ctx context.Context, t Ticket, c wire.Stream, beats <-chan wire.Progress) {
	moved := t.Migrate()
	for {
		select {
		case b := <-beats:
			t.ReportProgress(b)
			if b.Done {
				return
			}
		case <-moved:
			moved = nil
			_ = c.Send(wire.TicketResponse{Code: codeMoved})
		case <-ctx.Done():
			return
		}
	}
}

func refusalGrant(err error) wire.TicketResponse {
	e := answer.From(err)
	g := wire.TicketResponse{Code: e.Code, Reason: e.Message, RetryAfterMS: int(e.RetryAfter.Milliseconds())}
	if e.Status == http.StatusTooManyRequests {
		g.Code = codeOverloaded
	}
	return g
}
