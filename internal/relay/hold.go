package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	// holdPause is the time between two ticket requests of a call that was granted an engine that has asked for a
	// pause.
	holdPause = 200 * time.Millisecond
	codeHeld  = "engines_held"
)

// requestTicket requests tickets until one is for an engine that takes calls from this host. It rejects the call if all
// engines that are granted have asked for a pause that the deadline does not allow.
func (c *callState) requestTicket(ctx context.Context) (ticket.Ticket, error) {
	for {
		t, err := c.relay.Tickets.RequestTicket(ctx, c.ticketRequest(false))
		if err != nil || c.relay.admits(t.Grant()) {
			return t, err
		}
		wait := c.relay.Notices.HoldWait(time.Now(), instanceOf(t.Grant().Engine))
		t.Close()
		c.relay.Stats.CountEvent("grant_held")
		if deadline, ok := ctx.Deadline(); ok && 2*wait > time.Until(deadline) {
			return nil, &answer.Error{
				Status: http.StatusServiceUnavailable, Code: codeHeld, RetryAfter: wait,
				Message: "the engines that serve the model have asked for a pause",
			}
		}
		if !clock.Sleep(ctx, min(max(wait, holdPause/4), holdPause)) {
			return nil, ctx.Err()
		}
	}
}

// admits reports whether the granted engine takes a call from this host now.
func (r *Relay) admits(g wire.TicketResponse) bool {
	return r.Notices.Admit(time.Now(), instanceOf(g.Engine))
}

// applyHold records the pause that an engine has asked for in response to an attempt, or with 0 that it has responded
// otherwise.
func (r *Relay) applyHold(a *attempt, hold time.Duration) {
	if hold > 0 {
		r.Stats.CountEvent("engine_held")
	}
	id := instanceOf(a.ticket.Grant().Engine)
	r.Notices.Apply(time.Now(), a.startedAt, id, topo.Notice{Hold: hold, Partial: true})
}

// heldEngines returns the engines that have asked for a pause.
func (r *Relay) heldEngines() []string {
	var out []string
	for id := range r.Notices.Holds(time.Now()) {
		out = append(out, id.ID)
	}
	return out
}

// instanceOf identifies an engine in the table of notices; the document has no instances.
func instanceOf(name string) topo.Instance { return topo.Instance{ID: name} }
