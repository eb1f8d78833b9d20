package pool

import (
	"time"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// moveTokens is how many expected tokens must remain before a running call is worth moving.
	moveTokens = 100
	// outgrown is the factor by which the expected length rises when a call passes it.
	outgrown = 1.5
	// minRateTokens is the least number of tokens that gives a sample of time per token.
	minRateTokens = 8
	leavingFor    = 10 * time.Second
)

// ReportProgress records what the holder of a ticket tells of it; Done returns the ticket.
func (d *Dispatcher) ReportProgress(now time.Time, id string, b wire.Progress) {
	t := d.tickets[id]
	if t == nil {
		return
	}
	if b.Leaving {
		t.engine.leavingTill = now.Add(leavingFor)
		d.moveAll(t.engine)
	}
	if b.FirstTokenMS > 0 && t.firstAt.IsZero() {
		d.started(now, t, b.FirstTokenMS)
	}
	if b.Tokens > t.tokens || b.Done {
		d.progress(now, t, b)
	}
	if !b.Done {
		t.beat = now
		d.expiry.fix(t.inTimer)
		return
	}
	d.finish(now, t, b)
}

func (d *Dispatcher) finish(now time.Time, t *ticket, b wire.Progress) {
	d.close(t)
	e := t.engine
	if b.Failed {
		e.fail(now)
		return
	}
	if b.Tokens == 0 {
		return
	}
	e.failures = 0
	key := lengthKey{t.call.class.Name, t.call.need, t.call.ask.Caller}
	l := d.lengths[key]
	if l == nil {
		l = &length{}
		d.lengths[key] = l
	}
	l.add(b.Tokens + t.call.ask.TokensDone)
}

// started records the first token; firstMS is 0 when it was not observed.
func (d *Dispatcher) started(now time.Time, t *ticket, firstMS int) {
	e := t.engine
	d.unpend(t)
	t.firstAt = now
	t.rateAt = now
	t.rateTokens = 1
	t.tokens = max(t.tokens, 1)
	t.batch = float64(e.inflight)
	if firstMS <= 0 {
		return
	}
	d.sampleFirst(now, t, float64(firstMS))
}

func (d *Dispatcher) unpend(t *ticket) {
	if t.inPending < 0 {
		return
	}
	e := t.engine
	last := len(e.pending) - 1
	e.pending[t.inPending] = e.pending[last]
	e.pending[t.inPending].inPending = t.inPending
	e.pending[last] = nil
	e.pending = e.pending[:last]
	t.inPending = -1
	e.prefill -= t.prompt
}

// progress learns the time per token from the tokens since the last sample.
func (d *Dispatcher) progress(now time.Time, t *ticket, b wire.Progress) {
	t.tokens = max(t.tokens, b.Tokens)
	d.recheckLength(t)
	if t.firstAt.IsZero() {
		return
	}
	n := t.tokens - t.rateTokens
	elapsed := inMS(now.Sub(t.rateAt))
	if n >= minRateTokens && elapsed > 0 {
		batch := (t.batch + float64(t.engine.inflight)) / 2
		d.sampleRate(now, t, batch, elapsed/float64(n))
		t.rateAt, t.rateTokens, t.batch = now, t.tokens, float64(t.engine.inflight)
	}
}

// recheckLength corrects the expected length of a call that has passed it, which can make the call long.
func (d *Dispatcher) recheckLength(t *ticket) {
	if float64(t.tokens) <= t.call.expected {
		return
	}
	t.call.expected = outgrown * float64(t.tokens)
	if !t.long && d.isLong(t.call) {
		t.long = true
		t.engine.long++
	}
}

// close forgets a ticket and frees its sequence.
func (d *Dispatcher) close(t *ticket) {
	d.release(t)
	id := t.call.ask.CallID
	held := d.open[id]
	for i := range held {
		if held[i] == t {
			held = append(held[:i], held[i+1:]...)
			break
		}
	}
	if len(held) == 0 {
		delete(d.open, id)
		return
	}
	d.open[id] = held
}

func (d *Dispatcher) release(t *ticket) {
	e := t.engine
	d.unpend(t)
	d.expiry.remove(t.inTimer)
	delete(d.tickets, t.id)
	e.inflight--
	if t.long {
		e.long--
	}
	if t.probe {
		e.probing--
	}
}

// expire returns the tickets whose holders went silent.
func (d *Dispatcher) expire(now time.Time) {
	for len(d.expiry.items) > 0 {
		t := d.expiry.items[0]
		if t.beat.Add(d.tune.TicketExpiry).After(now) {
			return
		}
		d.close(t)
	}
}

// moveAll asks the holders of tickets on e to continue elsewhere where enough work remains.
func (d *Dispatcher) moveAll(e *engine) {
	moved := make([]*ticket, 0, e.inflight)
	for _, t := range d.expiry.items {
		if t.engine == e && !t.moved && (t.firstAt.IsZero() || t.remaining() >= moveTokens) {
			moved = append(moved, t)
		}
	}
	for _, t := range moved {
		d.move(t)
	}
}

func (d *Dispatcher) move(t *ticket) {
	t.moved = true
	d.out = append(d.out, Decision{Kind: Migrate, CallID: t.call.ask.CallID, Grant: wire.TicketResponse{
		Ticket: t.id, Engine: t.engine.Name, Version: d.Version,
	}})
}

func (t *ticket) remaining() float64 { return t.call.expected - float64(t.tokens) }

// Demand returns the recent demand for every item that the pool was asked for.
func (d *Dispatcher) Demand(now time.Time) []Demand {
	d.ensure()
	out := make([]Demand, 0, len(d.itemList))
	at := make(map[*item]int, len(d.itemList))
	for _, it := range d.itemList {
		it.calls.decay(now)
		it.tokens.decay(now)
		at[it] = len(out)
		out = append(out, Demand{
			Item: it.name, CallsPerS: it.calls.fast, TokensPerS: it.tokens.fast,
			Rising: it.calls.fast > risingMinCalls && it.calls.fast > risingRatio*it.calls.slow,
		})
	}
	for _, c := range d.calls {
		waited := int(now.Sub(c.arrived).Milliseconds())
		for _, it := range []*item{c.need, c.base} {
			v := &out[at[it]]
			v.Waiting++
			v.OldestWaitMS = max(v.OldestWaitMS, waited)
			if c.need == c.base {
				break
			}
		}
	}
	return out
}
