package replay

import (
	"fmt"
	"math"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/internal/wire"
)

// codeFailed is the outcome of a call whose engine failed and that was not retried.
const codeFailed = "broken"

// arrive starts a call. It is canceled at its deadline if it has no token by then.
func (s *sim) arrive(t *trace.Call, index int) {
	p := s.byPool[t.Pool]
	c := &liveCall{id: fmt.Sprint(index), trace: t, pool: p, waitMS: -1, firstTokenMS: -1}
	p.calls[c.id] = c
	s.after(float64(t.DeadlineMS), func() {
		if !c.ended && c.firstTokenMS < 0 {
			p.dispatcher.Cancel(s.time(), c.id)
			s.finishCall(c, "deadline")
			s.stepDispatcher(p)
		}
	})
	s.route(c)
}

// route requests a ticket for a call, or starts it on the engine that the baseline picks. The call stays pending while
// no engine can serve it.
func (s *sim) route(c *liveCall) {
	if s.run.Router == Dispatch {
		s.requestTicket(c, false)
		s.stepDispatcher(c.pool)
		return
	}
	e := s.pickBaseline(c)
	if e == nil {
		c.pool.pending = append(c.pool.pending, c)
		return
	}
	s.start(c, e, wire.TicketResponse{Priority: s.classes[c.trace.Class].Priority}, false)
}

// pickBaseline picks an engine by round robin or by the lowest reported load. It does not count the calls that it sent
// since the last report.
func (s *sim) pickBaseline(c *liveCall) *engine {
	p := c.pool
	p.nextEngine++
	var best *engine
	bestLoad := math.MaxInt
	for i := range p.engines {
		e := p.engines[(p.nextEngine+i)%len(p.engines)]
		if !e.observedUp || !e.serves(p.itemOf[c.trace.Model]) {
			continue
		}
		if c.trace.Adapter != "" && !e.serves(p.itemOf[c.trace.Adapter]) {
			continue
		}
		if s.run.Router == RoundRobin {
			p.nextEngine += i
			return e
		}
		if load := e.laggedReport(s.nowMS, s.run.Workload.ReportLagMS).running; load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best
}

// requestTicket queues a ticket request. A hedge must not go to an engine that runs an attempt of the call already.
func (s *sim) requestTicket(c *liveCall, hedge bool) {
	t := c.trace
	tried := c.triedEngines
	if hedge {
		c.requestingHedge = true
		tried = append([]string(nil), tried...)
		for _, a := range c.attempts {
			tried = append(tried, a.engine.name)
		}
	} else {
		c.requesting = true
	}
	c.pool.dispatcher.Enqueue(s.time(), wire.TicketRequest{
		CallID: c.id, Pool: t.Pool, Model: t.Model, Adapter: t.Adapter, Class: t.Class, Caller: t.Caller,
		Deadline: timeAt(t.AtMS + float64(t.DeadlineMS)), PromptTokens: t.PromptTokens,
		ExpectedTokens: t.ExpectedTokens, PrefixHash: t.PrefixHash, Tried: tried, Hedge: hedge, TokensDone: c.tokens,
	})
}

// stepDispatcher executes the dispatcher's decisions and schedules the next step at the time that it asks for.
func (s *sim) stepDispatcher(p *poolSim) {
	if s.run.Router != Dispatch {
		return
	}
	out, next := p.dispatcher.Step(s.time())
	for _, d := range out {
		c := p.calls[d.CallID]
		switch d.Kind {
		case pool.Granted:
			s.handleGrant(c, d.Grant)
		case pool.Rejected:
			s.handleRejection(c, d.Grant)
		case pool.Migrate:
			s.migrate(c, d.Grant)
		}
	}
	// The time is rounded up, because a step slightly before the requested time would find nothing to do.
	wake := math.Ceil(float64(next.Sub(epochStart).Nanoseconds())/1e3) / 1e3
	wake = max(wake, s.nowMS+0.01)
	if p.wakeMS > s.nowMS && p.wakeMS <= wake {
		return
	}
	p.wakeMS = wake
	s.at(wake, func() {
		if p.wakeMS == wake {
			s.stepDispatcher(p)
		}
	})
}

// handleGrant starts an attempt with a granted ticket. Unless it is a hedge, the new ticket replaces that of the
// attempts in progress, which are canceled.
func (s *sim) handleGrant(c *liveCall, g wire.TicketResponse) {
	hedge := c.requestingHedge
	if hedge {
		c.requestingHedge = false
		s.result.Hedges++
	} else {
		c.requesting = false
		for _, old := range append([]*attempt(nil), c.attempts...) {
			s.cancelAttempt(old)
		}
	}
	s.result.Granted++
	s.start(c, c.pool.byName[g.Engine], g, hedge)
}

// handleRejection finishes a call whose ticket request was rejected, unless an attempt is in progress. A rejected hedge
// has no effect.
func (s *sim) handleRejection(c *liveCall, g wire.TicketResponse) {
	if c.requestingHedge {
		c.requestingHedge = false
		return
	}
	c.requesting = false
	if len(c.attempts) == 0 {
		s.finishCall(c, g.Code)
	}
}

// migrate requests a ticket on another engine for a call whose engine is leaving or too slow.
func (s *sim) migrate(c *liveCall, g wire.TicketResponse) {
	if c == nil || c.ended || c.requesting || c.requestingHedge || c.trace.NotRepeatable ||
		c.attemptsStarted >= maxAttempts {
		return
	}
	s.result.Moved++
	c.triedEngines = append(c.triedEngines, g.Engine)
	s.requestTicket(c, false)
	s.after(0, func() { s.stepDispatcher(c.pool) })
}

// start sends an attempt to an engine and schedules its hedge if the ticket advises one.
func (s *sim) start(c *liveCall, e *engine, g wire.TicketResponse, hedge bool) {
	s.seq++
	c.attemptsStarted++
	if c.waitMS < 0 {
		c.waitMS = s.nowMS - c.trace.AtMS
	}
	a := &attempt{
		call: c, engine: e, ticket: g.Ticket, hedge: hedge, priority: g.Priority, startMS: s.nowMS, seq: s.seq,
	}
	c.attempts = append(c.attempts, a)
	for _, name := range []string{c.pool.itemOf[c.trace.Model], c.pool.itemOf[c.trace.Adapter]} {
		if h := e.items[name]; h != nil {
			h.users++
			h.lastUsedMS = s.nowMS
			a.items = append(a.items, h)
		}
	}
	s.after(sendMS, func() {
		switch {
		case a.ended:
		case !e.up:
			s.failAttempt(a)
		default:
			s.submit(e, a)
		}
	})
	s.scheduleProgress(a)
	if g.HedgeAfterMS > 0 && !hedge && !c.trace.NotRepeatable {
		s.after(float64(g.HedgeAfterMS), func() { s.sendHedge(c, a) })
	}
}

// sendHedge requests a hedge for an attempt without a token, within the budget for hedges.
func (s *sim) sendHedge(c *liveCall, a *attempt) {
	withinBudget := float64(s.result.Hedges) < hedgeCredit+hedgeBudget*float64(s.result.Granted)
	if a.ended || a.hasFirstToken || c.requesting || c.requestingHedge || len(c.attempts) > 1 || !withinBudget {
		return
	}
	s.requestTicket(c, true)
	s.stepDispatcher(c.pool)
}

// scheduleProgress reports the progress of an attempt to the dispatcher periodically until it ends.
func (s *sim) scheduleProgress(a *attempt) {
	if a.ticket == "" {
		return
	}
	s.after(progressMS, func() {
		if a.ended {
			return
		}
		a.call.pool.dispatcher.ReportProgress(s.time(), a.ticket, wire.Progress{Tokens: a.tokens})
		s.scheduleProgress(a)
		s.stepDispatcher(a.call.pool)
	})
}

// deliverToken counts a token of an attempt and finishes the call with its last one. The first attempt that
// delivers a token continues; recordFirstToken ends the others.
func (s *sim) deliverToken(a *attempt) {
	c := a.call
	a.tokens++
	c.tokens++
	if !a.hasFirstToken {
		a.hasFirstToken = true
		s.recordFirstToken(a)
	}
	if c.tokens < c.trace.OutputTokens {
		return
	}
	s.endAttempt(a, wire.Progress{Tokens: a.tokens, Done: true})
	s.finishCall(c, "")
	s.stepDispatcher(c.pool)
}

// recordFirstToken records the time to first token, ends the losing attempts and reports the time to the dispatcher.
func (s *sim) recordFirstToken(a *attempt) {
	c := a.call
	if c.firstTokenMS < 0 {
		c.firstTokenMS = s.nowMS - c.trace.AtMS
	}
	for _, other := range append([]*attempt(nil), c.attempts...) {
		if other != a {
			s.endAttempt(other, wire.Progress{Done: true})
		}
	}
	if a.ticket != "" {
		ttft := int(math.Ceil(s.nowMS - a.startMS))
		c.pool.dispatcher.ReportProgress(s.time(), a.ticket, wire.Progress{FirstTokenMS: ttft, Tokens: 1})
		s.stepDispatcher(c.pool)
	}
}

// endAttempt ends an attempt and returns its ticket to the dispatcher with a last progress report.
func (s *sim) endAttempt(a *attempt, progress wire.Progress) {
	if s.cancelAttempt(a) && a.ticket != "" {
		a.call.pool.dispatcher.ReportProgress(s.time(), a.ticket, progress)
	}
}

// cancelAttempt ends an attempt without a report to the dispatcher, and returns false if it had ended before. It
// is called directly for attempts whose ticket the dispatcher has already replaced.
func (s *sim) cancelAttempt(a *attempt) bool {
	if a.ended {
		return false
	}
	a.ended = true
	for _, h := range a.items {
		h.users--
	}
	list := a.call.attempts
	for i := range list {
		if list[i] == a {
			a.call.attempts = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	return true
}

// failAttempt ends an attempt whose engine failed, and retries the call elsewhere if it is idempotent, has attempts
// left and no other attempt or ticket request is open.
func (s *sim) failAttempt(a *attempt) {
	c := a.call
	if a.ended {
		return
	}
	s.endAttempt(a, wire.Progress{Tokens: a.tokens, Done: true, Failed: true})
	if c.ended || len(c.attempts) > 0 || c.requesting {
		return
	}
	if c.trace.NotRepeatable || c.attemptsStarted >= maxAttempts {
		s.finishCall(c, codeFailed)
		return
	}
	c.triedEngines = append(c.triedEngines, a.engine.name)
	s.after(0, func() {
		if !c.ended && !c.requesting && len(c.attempts) == 0 {
			s.route(c)
		}
	})
}

// finishCall records the outcome of a call and ends its attempts and ticket requests; an empty code means success.
func (s *sim) finishCall(c *liveCall, code string) {
	if c.ended {
		return
	}
	c.ended = true
	for _, a := range append([]*attempt(nil), c.attempts...) {
		s.endAttempt(a, wire.Progress{Tokens: a.tokens, Done: true})
	}
	if c.requesting || c.requestingHedge {
		c.pool.dispatcher.Cancel(s.time(), c.id)
	}
	var index int
	_, _ = fmt.Sscan(c.id, &index)
	o := &s.result.Outcomes[index]
	o.WaitMS, o.FirstTokenMS, o.Code = c.waitMS, c.firstTokenMS, code
	if code == "" {
		o.TotalMS = s.nowMS - c.trace.AtMS
		o.Attained = attained(s.classes[c.trace.Class], c.trace, o.FirstTokenMS, o.TotalMS)
	}
	delete(c.pool.calls, c.id)
	s.unfinished--
}
