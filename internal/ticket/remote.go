package ticket

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// ackTimeout bounds the wait for a dispatcher's first response before local dispatch is used. A round trip takes
	// about 1 ms; a paused process accepts a request but never responds.
	ackTimeout = 250 * time.Millisecond

	codeQueued     = "queued"
	codeMigrate    = "moved"
	codeNotOwner   = "not_owner"
	codeOverloaded = "overloaded"
)

var errNoDispatcher = errors.New("dispatcher is unavailable")

// remoteTicket is a ticket granted by another host. It is open as long as its stream: when the stream ends, the
// dispatcher releases the ticket.
type remoteTicket struct {
	grant   wire.TicketResponse
	req     wire.TicketRequest
	migrate chan struct{}

	mu          sync.Mutex
	conn        wire.Stream
	tokens      int
	lastReport  wire.Progress
	reportDue   chan struct{} // signals that lastReport is to be sent; buffers one signal
	ended       bool
	migrateOnce sync.Once
	untrack     func() // removes the ticket from the router
}

// requestRemote requests a ticket from the dispatcher at addr. After errNoDispatcher the request can be made elsewhere.
func requestRemote(ctx context.Context, dial wire.Dialer, addr string, req wire.TicketRequest) (*remoteTicket, error) {
	openCtx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	c, err := dial.Open(openCtx, addr, wire.KindTicket)
	if err != nil {
		return nil, errors.Wrap(errNoDispatcher, err.Error())
	}
	// Recv blocks while the dispatcher is paused; closing the stream makes it return an error.
	ackTimer := time.AfterFunc(ackTimeout, func() { _ = c.Close() })
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	g, err := receiveGrant(c, req, ackTimer)
	if err != nil {
		_ = c.Close()
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, err
	}
	t := &remoteTicket{grant: g, req: req, conn: c, migrate: make(chan struct{}), reportDue: make(chan struct{}, 1)}
	go t.writeReports()
	go t.watchMigration(c)
	return t, nil
}

func receiveGrant(c wire.Stream, req wire.TicketRequest, ackTimer *time.Timer) (wire.TicketResponse, error) {
	req.RemainingMS = time.Until(req.Deadline).Milliseconds()
	if err := c.Send(req); err != nil {
		return wire.TicketResponse{}, errors.Wrap(errNoDispatcher, err.Error())
	}
	for {
		var g wire.TicketResponse
		if err := c.Recv(&g); err != nil {
			return wire.TicketResponse{}, errors.Wrap(errNoDispatcher, err.Error())
		}
		ackTimer.Stop()
		switch g.Code {
		case "":
			return g, nil
		case codeQueued:
		case codeNotOwner:
			return wire.TicketResponse{}, errNoDispatcher
		default:
			return wire.TicketResponse{}, rejectionError(g)
		}
	}
}

// Grant returns the ticket's engine and limits.
func (t *remoteTicket) Grant() wire.TicketResponse { return t.grant }

// Migrate returns a channel that is closed when the call should continue on another engine.
func (t *remoteTicket) Migrate() <-chan struct{} { return t.migrate }

// ReportProgress reports the progress of the call; only the newest report is sent when the stream is slow.
func (t *remoteTicket) ReportProgress(p wire.Progress) {
	t.mu.Lock()
	if t.ended {
		t.mu.Unlock()
		return
	}
	t.tokens = p.Tokens
	t.lastReport = p
	t.ended = p.Done
	untrack := t.untrack
	t.mu.Unlock()
	// The lock order is router, then ticket; so the router must be called without the ticket's lock.
	if p.Done && untrack != nil {
		untrack()
	}
	select {
	case t.reportDue <- struct{}{}:
	default:
	}
}

// Close returns the ticket if ReportProgress has not done so.
func (t *remoteTicket) Close() { t.ReportProgress(wire.Progress{Done: true}) }

// writeReports sends reports until the ticket ends. A failed stream does not end the call: moveTo may replace it.
func (t *remoteTicket) writeReports() {
	for range t.reportDue {
		t.mu.Lock()
		p, c := t.lastReport, t.conn
		t.mu.Unlock()
		_ = c.Send(p)
		if p.Done {
			_ = c.Close()
			return
		}
	}
}

// watchMigration closes t.migrate when the dispatcher asks for a migration of the call.
func (t *remoteTicket) watchMigration(c wire.Stream) {
	for {
		var g wire.TicketResponse
		if err := c.Recv(&g); err != nil {
			return
		}
		if g.Code == codeMigrate {
			t.migrateOnce.Do(func() { close(t.migrate) })
		}
	}
}

// moveTo restores the ticket at a new dispatcher, which receives the reports from then on.
func (t *remoteTicket) moveTo(ctx context.Context, dial wire.Dialer, addr string) error {
	openCtx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	c, err := dial.Open(openCtx, addr, wire.KindRestore)
	if err != nil {
		return errors.Wrap(err, "restore ticket at the new dispatcher")
	}
	t.mu.Lock()
	req := t.req
	req.RemainingMS = time.Until(req.Deadline).Milliseconds()
	open := wire.OpenTicket{
		Request: req, Ticket: t.grant.Ticket, Engine: t.grant.Engine, Tokens: t.tokens,
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
	go t.watchMigration(c)
	return c.Send(open)
}

func (t *remoteTicket) setUntrack(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.untrack = f
}
