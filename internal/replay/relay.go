package replay

import (
	"fmt"
	"math"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/internal/wire"
)

// codeBroken is a call whose engine was lost and that was not tried again.
const codeBroken = "broken"

// arrive starts a call, which its caller gives up when no token came before its deadline.
func (s *sim) arrive(t *trace.Call, index int) {
	p := s.byPool[t.Pool]
	c := &liveCall{id: fmt.Sprint(index), trace: t, pool: p, waitMS: -1, firstMS: -1}
	p.calls[c.id] = c
	s.after(float64(t.DeadlineMS), func() {
		if !c.ended && c.firstMS < 0 {
			p.dispatcher.Cancel(s.time(), c.id)
			s.end(c, "deadline")
			s.step(p)
		}
	})
	s.route(c)
}

func (s *sim) route(c *liveCall) {
	if s.run.Router == Dispatch {
		s.ask(c, false)
		s.step(c.pool)
		return
	}
	e := s.pickBaseline(c)
	if e == nil {
		c.pool.parked = append(c.pool.parked, c)
		return
	}
	s.start(c, e, wire.TicketResponse{Priority: s.classes[c.trace.Class].Priority}, false)
}

// pickBaseline chooses by round robin or by the reported load, without own knowledge of calls in flight.
func (s *sim) pickBaseline(c *liveCall) *engine {
	p := c.pool
	p.turn++
	var best *engine
	bestLoad := math.MaxInt
	for i := range p.engines {
		e := p.engines[(p.turn+i)%len(p.engines)]
		if !e.seenUp || !e.answers(p.itemOf[c.trace.Model]) {
			continue
		}
		if c.trace.Adapter != "" && !e.answers(p.itemOf[c.trace.Adapter]) {
			continue
		}
		if s.run.Router == RoundRobin {
			p.turn += i
			return e
		}
		if load := e.lagged(s.nowMS, s.run.Workload.ReportLagMS).running; load < bestLoad {
			best, bestLoad = e, load
		}
	}
	return best
}

func (s *sim) ask(c *liveCall, hedge bool) {
	t := c.trace
	tried := c.tried
	if hedge {
		c.hedging = true
		tried = append([]string(nil), tried...)
		for _, a := range c.attempts {
			tried = append(tried, a.engine.name)
		}
	} else {
		c.asking = true
	}
	c.pool.dispatcher.Enqueue(s.time(), wire.TicketRequest{
		CallID: c.id, Pool: t.Pool, Model: t.Model, Adapter: t.Adapter, Class: t.Class, Caller: t.Caller,
		Deadline: timeAt(t.AtMS + float64(t.DeadlineMS)), PromptTokens: t.PromptTokens,
		ExpectedTokens: t.ExpectedTokens, PrefixHash: t.PrefixHash, Tried: tried, Hedge: hedge, TokensDone: c.tokens,
	})
}

// step lets the dispatcher decide and wakes it again when it says so.
func (s *sim) step(p *poolSim) {
	if s.run.Router != Dispatch {
		return
	}
	out, next := p.dispatcher.Step(s.time())
	for _, d := range out {
		c := p.calls[d.CallID]
		switch d.Kind {
		case pool.Granted:
			s.granted(c, d.Grant)
		case pool.Refused:
			s.refused(c, d.Grant)
		case pool.Migrate:
			s.moved(c, d.Grant)
		}
	}
	// Rounding up keeps the wake-up from falling just before the moment that was asked for.
	wake := math.Ceil(float64(next.Sub(epochStart).Nanoseconds())/1e3) / 1e3
	wake = max(wake, s.nowMS+0.01)
	if p.wakeMS > s.nowMS && p.wakeMS <= wake {
		return
	}
	p.wakeMS = wake
	s.at(wake, func() {
		if p.wakeMS == wake {
			s.step(p)
		}
	})
}

func (s *sim) granted(c *liveCall, g wire.TicketResponse) {
	hedge := c.hedging
	if hedge {
		c.hedging = false
		s.result.Hedges++
	} else {
		c.asking = false
		for _, old := range append([]*attempt(nil), c.attempts...) {
			s.abandon(old)
		}
	}
	s.result.Granted++
	s.start(c, c.pool.byName[g.Engine], g, hedge)
}

func (s *sim) refused(c *liveCall, g wire.TicketResponse) {
	if c.hedging {
		c.hedging = false
		return
	}
	c.asking = false
	if len(c.attempts) == 0 {
		s.end(c, g.Code)
	}
}

func (s *sim) moved(c *liveCall, g wire.TicketResponse) {
	if c == nil || c.ended || c.asking || c.hedging || c.trace.NotRepeatable || c.starts >= maxAttempts {
		return
	}
	s.result.Moved++
	c.tried = append(c.tried, g.Engine)
	s.ask(c, false)
	s.after(0, func() { s.step(c.pool) })
}

// start sends an attempt to an engine.
func (s *sim) start(c *liveCall, e *engine, g wire.TicketResponse, hedge bool) {
	s.seq++
	c.starts++
	if c.waitMS < 0 {
		c.waitMS = s.nowMS - c.trace.AtMS
	}
	a := &attempt{call: c, engine: e, ticket: g.Ticket, hedge: hedge, prio: g.Priority, startMS: s.nowMS, seq: s.seq}
	c.attempts = append(c.attempts, a)
	for _, name := range []string{c.pool.itemOf[c.trace.Model], c.pool.itemOf[c.trace.Adapter]} {
		if h := e.items[name]; h != nil {
			h.users++
			h.usedMS = s.nowMS
			a.uses = append(a.uses, h)
		}
	}
	s.after(sendMS, func() {
		switch {
		case a.ended:
		case !e.up:
			s.broken(a)
		default:
			s.submit(e, a)
		}
	})
	s.beats(a)
	if g.HedgeAfterMS > 0 && !hedge && !c.trace.NotRepeatable {
		s.after(float64(g.HedgeAfterMS), func() { s.hedge(c, a) })
	}
}

func (s *sim) hedge(c *liveCall, a *attempt) {
	within := float64(s.result.Hedges) < hedgeCredit+hedgeBudget*float64(s.result.Granted)
	if a.ended || a.first || c.asking || c.hedging || len(c.attempts) > 1 || !within {
		return
	}
	s.ask(c, true)
	s.step(c.pool)
}

func (s *sim) beats(a *attempt) {
	if a.ticket == "" {
		return
	}
	s.after(beatMS, func() {
		if a.ended {
			return
		}
		a.call.pool.dispatcher.ReportProgress(s.time(), a.ticket, wire.Progress{Tokens: a.tokens})
		s.beats(a)
		s.step(a.call.pool)
	})
}

// token delivers one token of an attempt; the first attempt with a token wins against its hedge.
func (s *sim) token(a *attempt) {
	c := a.call
	a.tokens++
	c.tokens++
	if !a.first {
		a.first = true
		s.firstToken(a)
	}
	if c.tokens < c.trace.OutputTokens {
		return
	}
	s.stop(a, wire.Progress{Tokens: a.tokens, Done: true})
	s.end(c, "")
	s.step(c.pool)
}

func (s *sim) firstToken(a *attempt) {
	c := a.call
	if c.firstMS < 0 {
		c.firstMS = s.nowMS - c.trace.AtMS
	}
	for _, other := range append([]*attempt(nil), c.attempts...) {
		if other != a {
			s.stop(other, wire.Progress{Done: true})
		}
	}
	if a.ticket != "" {
		first := int(math.Ceil(s.nowMS - a.startMS))
		c.pool.dispatcher.ReportProgress(s.time(), a.ticket, wire.Progress{FirstTokenMS: first, Tokens: 1})
		s.step(c.pool)
	}
}

// stop ends an attempt and returns its ticket.
func (s *sim) stop(a *attempt, b wire.Progress) {
	if s.abandon(a) && a.ticket != "" {
		a.call.pool.dispatcher.ReportProgress(s.time(), a.ticket, b)
	}
}

// abandon ends an attempt whose ticket the dispatcher has taken back already.
func (s *sim) abandon(a *attempt) bool {
	if a.ended {
		return false
	}
	a.ended = true
	for _, h := range a.uses {
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

// broken handles an attempt that its engine lost.
func (s *sim) broken(a *attempt) {
	c := a.call
	if a.ended {
		return
	}
	s.stop(a, wire.Progress{Tokens: a.tokens, Done: true, Failed: true})
	if c.ended || len(c.attempts) > 0 || c.asking {
		return
	}
	if c.trace.NotRepeatable || c.starts >= maxAttempts {
		s.end(c, codeBroken)
		return
	}
	c.tried = append(c.tried, a.engine.name)
	s.after(0, func() {
		if !c.ended && !c.asking && len(c.attempts) == 0 {
			s.route(c)
		}
	})
}

// end records what became of a call.
func (s *sim) end(c *liveCall, code string) {
	if c.ended {
		return
	}
	c.ended = true
	for _, a := range append([]*attempt(nil), c.attempts...) {
		s.stop(a, wire.Progress{Tokens: a.tokens, Done: true})
	}
	if c.asking || c.hedging {
		c.pool.dispatcher.Cancel(s.time(), c.id)
	}
	var index int
	_, _ = fmt.Sscan(c.id, &index)
	o := &s.result.Outcomes[index]
	o.WaitMS, o.FirstTokenMS, o.Code = c.waitMS, c.firstMS, code
	if code == "" {
		o.TotalMS = s.nowMS - c.trace.AtMS
		o.Attained = attained(s.classes[c.trace.Class], c.trace, o.FirstTokenMS, o.TotalMS)
	}
	delete(c.pool.calls, c.id)
	s.open--
}
