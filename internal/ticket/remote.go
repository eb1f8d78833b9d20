package ticket

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// ackTimeout bounds the wait for a dispatcher's acknowledgement before local dispatch is used;
	// a round trip takes about 1 ms, a paused dispatcher answers nothing.
	ackTimeout = 250 * time.Millisecond

	codeQueued     = "queued"
	codeMoved      = "moved"
	codeNotOwner   = "not_owner"
	codeOverloaded = "overloaded"
)

var errNoDispatcher = errors.New("dispatcher does not answer")

// remoteTicket is a ticket granted by another host; the open exchange is the ticket.
type remoteTicket struct {
	grant wire.TicketResponse
	ask   wire.TicketRequest
	moved chan struct{}

	mu       sync.Mutex
	conn     wire.Stream
	tokens   int
	last     wire.Progress
	beats    chan struct{}
	ended    bool
	moveOnce sync.Once
	forget   func()
}

// askRemote asks the dispatcher at addr; errNoDispatcher means that the ask can be made elsewhere.
func askRemote(ctx context.Context, dial wire.Dialer, addr string, a wire.TicketRequest) (*remoteTicket, error) {
	openCtx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	c, err := dial.Open(openCtx, addr, wire.KindTicket)
	if err != nil {
		return nil, errors.Wrap(errNoDispatcher, err.Error())
	}
	// A paused dispatcher neither refuses nor answers; closing the exchange ends the blocked Recv.
	unanswered := time.AfterFunc(ackTimeout, func() { _ = c.Close() })
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	g, err := receiveGrant(c, a, unanswered)
	if err != nil {
		_ = c.Close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	t := &remoteTicket{grant: g, ask: a, conn: c, moved: make(chan struct{}), beats: make(chan struct{}, 1)}
	go t.write()
	go t.watch(c)
	return t, nil
}

func receiveGrant(c wire.Stream, a wire.TicketRequest, unanswered *time.Timer) (wire.TicketResponse, error) {
	a.RemainingMS = time.Until(a.Deadline).Milliseconds()
	if err := c.Send(a); err != nil {
		return wire.TicketResponse{}, errors.Wrap(errNoDispatcher, err.Error())
	}
	for {
		var g wire.TicketResponse
		if err := c.Recv(&g); err != nil {
			return wire.TicketResponse{}, errors.Wrap(errNoDispatcher, err.Error())
		}
		unanswered.Stop()
		switch g.Code {
		case "":
			return g, nil
		case codeQueued:
		case codeNotOwner:
			return wire.TicketResponse{}, errNoDispatcher
		default:
			return wire.TicketResponse{}, refusal(g)
		}
	}
}

// Grant returns the ticket's engine and limits.
func (t *remoteTicket) Grant() wire.TicketResponse { return t.grant }

// Migrate is closed when the call should continue on another engine.
func (t *remoteTicket) Migrate() <-chan struct{} { return t.moved }

// ReportProgress reports progress; only the newest report is sent when the exchange is slow.
func (t *remoteTicket) ReportProgress(b wire.Progress) {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return
	}
	t.tokens = b.Tokens
	t.last = b
	t.ended = b.Done
	forget := t.forget
	t.mu.Unlock()
	// The router locks itself before its tickets, so it is called without the ticket's lock.
	if b.Done && forget != nil {
		forget()
	}
	select {
	case t.beats <- struct{}{}:
	default:
	}
}

// Close returns the ticket if ReportProgress has not done so.
func (t *remoteTicket) Close() { t.ReportProgress(wire.Progress{Done: true}) }

// write sends reports until the ticket ends; a broken exchange does not end the call.
func (t *remoteTicket) write() {
	for range t.beats {
		t.mu.Lock()
		b, c := t.last, t.conn
		t.mu.Unlock()
		_ = c.Send(b)
		if b.Done {
			_ = c.Close()
			return
		}
	}
}

// watch receives the dispatcher's wish to move the call.
func (t *remoteTicket) watch(c wire.Stream) {
	for {
		var g wire.TicketResponse
		if err := c.Recv(&g); err != nil {
			return
		}
		if g.Code == codeMoved {
			t.moveOnce.Do(func() { close(t.moved) })
		}
	}
}

// rehome announces the ticket to a new dispatcher, which receives the reports from then on.
func (t *remoteTicket) rehome(ctx context.Context, dial wire.Dialer, addr string) error {
	openCtx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	c, err := dial.Open(openCtx, addr, wire.KindRestore)
	if err != nil {
		return errors.Wrap(err, "announce ticket")
	}
	t.mu.Lock()
	a := t.ask
	a.RemainingMS = time.Until(a.Deadline).Milliseconds()
	held := wire.OpenTicket{
		Request: a, Ticket: t.grant.Ticket, Engine: t.grant.Engine, Tokens: t.tokens,
		ModelItem: t.grant.ModelItem, AdapterItem: t.grant.AdapterItem,
	}
	old, ended := t.conn, t.ended
	if !ended {
		t.conn = c
	}
	t.mu.Unlock()
	if ended {
		return c.Close()
	}
	_ = old.Close()
	go t.watch(c)
	return c.Send(held)
}

func (t *remoteTicket) setForget(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget = f
}
