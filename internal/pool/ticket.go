package pool

import (
	"time"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// minMigrateTokens is the number of expected remaining tokens below which a call in decode is not migrated.
	minMigrateTokens = 100
	// lengthGrowth multiplies the output of a call that exceeds its expected length, to get the new expected length.
	lengthGrowth = 1.5
	// minRateTokens is the minimum number of tokens in a sample of the time per token.
	minRateTokens = 8
	// drainingTime is how long an engine counts as leaving after a progress report says so.
	drainingTime = 10 * time.Second
)

// ReportProgress applies a progress report on a ticket; a report with Done closes the ticket.
func (d *Dispatcher) ReportProgress(now time.Time, id string, p wire.Progress) {
	t := d.tickets[id]
	if t == nil {
		return
	}
	if p.Leaving {
		t.engine.drainingUntil = now.Add(drainingTime)
		d.migrateAll(t.engine)
	}
	if p.FirstTokenMS > 0 && t.firstTokenAt.IsZero() {
		d.recordFirstToken(now, t, p.FirstTokenMS)
	}
	if p.Tokens > t.tokens || p.Done {
		d.recordProgress(now, t, p)
	}
	if !p.Done {
		t.lastReport = now
		d.expiries.fix(t.expiryIndex)
		return
	}
	d.finish(now, t, p)
}

// finish closes a ticket and records its output length, or the failure of its engine.
func (d *Dispatcher) finish(now time.Time, t *ticket, p wire.Progress) {
	d.closeTicket(t)
	e := t.engine
	if p.Failed {
		e.recordFailure(now)
		return
	}
	if p.Tokens == 0 {
		return
	}
	e.consecutiveFailures = 0
	key := lengthKey{t.call.class.Name, t.call.item, t.call.req.Caller}
	l := d.outputLengths[key]
	if l == nil {
		l = &length{}
		d.outputLengths[key] = l
	}
	l.add(p.Tokens + t.call.req.TokensDone)
}

// recordFirstToken ends the prefill of a ticket; firstMS is the time to first token in ms, or 0 if it is unknown.
func (d *Dispatcher) recordFirstToken(now time.Time, t *ticket, firstMS int) {
	e := t.engine
	d.endPrefill(t)
	t.firstTokenAt = now
	t.rateSince = now
	t.rateBaseTokens = 1
	t.tokens = max(t.tokens, 1)
	t.batchSize = float64(e.inFlight)
	if firstMS <= 0 {
		return
	}
	d.observeTTFT(now, t, float64(firstMS))
}

func (d *Dispatcher) endPrefill(t *ticket) {
	if t.prefillIndex < 0 {
		return
	}
	e := t.engine
	last := len(e.prefilling) - 1
	e.prefilling[t.prefillIndex] = e.prefilling[last]
	e.prefilling[t.prefillIndex].prefillIndex = t.prefillIndex
	e.prefilling[last] = nil
	e.prefilling = e.prefilling[:last]
	t.prefillIndex = -1
	e.prefillTokens -= t.prefillTokens
}

// recordProgress updates the token count of a ticket, and observes the time per token since the last sample.
func (d *Dispatcher) recordProgress(now time.Time, t *ticket, p wire.Progress) {
	t.tokens = max(t.tokens, p.Tokens)
	d.updateLength(t)
	if t.firstTokenAt.IsZero() {
		return
	}
	n := t.tokens - t.rateBaseTokens
	elapsed := inMS(now.Sub(t.rateSince))
	if n >= minRateTokens && elapsed > 0 {
		batchSize := (t.batchSize + float64(t.engine.inFlight)) / 2
		d.observeTokenTime(now, t, batchSize, elapsed/float64(n))
		t.rateSince, t.rateBaseTokens, t.batchSize = now, t.tokens, float64(t.engine.inFlight)
	}
}

// updateLength raises the expected length of a call that has exceeded it, which can make the call long.
func (d *Dispatcher) updateLength(t *ticket) {
	if float64(t.tokens) <= t.call.expectedTokens {
		return
	}
	t.call.expectedTokens = lengthGrowth * float64(t.tokens)
	if !t.long && d.isLong(t.call) {
		t.long = true
		t.engine.longSeqs++
	}
}

// closeTicket removes an open ticket and frees its sequence.
func (d *Dispatcher) closeTicket(t *ticket) {
	d.releaseTicket(t)
	id := t.call.req.CallID
	open := d.openTickets[id]
	for i := range open {
		if open[i] == t {
			open = append(open[:i], open[i+1:]...)
			break
		}
	}
	if len(open) == 0 {
		delete(d.openTickets, id)
		return
	}
	d.openTickets[id] = open
}

// releaseTicket frees the sequence of a ticket; the caller removes it from openTickets.
func (d *Dispatcher) releaseTicket(t *ticket) {
	e := t.engine
	d.endPrefill(t)
	d.expiries.remove(t.expiryIndex)
	delete(d.tickets, t.id)
	e.inFlight--
	if t.long {
		e.longSeqs--
	}
	if t.probe {
		e.openProbes--
	}
}

// expireTickets closes tickets without a recent progress report.
func (d *Dispatcher) expireTickets(now time.Time) {
	for len(d.expiries.items) > 0 {
		t := d.expiries.items[0]
		if t.lastReport.Add(d.tune.TicketExpiry).After(now) {
			return
		}
		d.closeTicket(t)
	}
}

// migrateAll requests the migration of all tickets on e that are in prefill or have at least minMigrateTokens expected
// tokens left, once for each ticket.
func (d *Dispatcher) migrateAll(e *engine) {
	tickets := make([]*ticket, 0, e.inFlight)
	for _, t := range d.expiries.items {
		if t.engine == e && !t.migrateSent && (t.firstTokenAt.IsZero() || t.remaining() >= minMigrateTokens) {
			tickets = append(tickets, t)
		}
	}
	for _, t := range tickets {
		d.migrate(t)
	}
}

func (d *Dispatcher) migrate(t *ticket) {
	t.migrateSent = true
	d.decisions = append(d.decisions, Decision{Kind: Migrate, CallID: t.call.req.CallID, Grant: wire.TicketResponse{
		Ticket: t.id, Engine: t.engine.Name, Version: d.Version,
	}})
}

func (t *ticket) remaining() float64 { return t.call.expectedTokens - float64(t.tokens) }

// Demand returns the recent demand for every known item. A call for an adapter counts for its model, too.
func (d *Dispatcher) Demand(now time.Time) []Demand {
	d.ensureInit()
	out := make([]Demand, 0, len(d.itemList))
	index := make(map[*item]int, len(d.itemList))
	for _, it := range d.itemList {
		it.callRate.decay(now)
		it.tokenRate.decay(now)
		index[it] = len(out)
		out = append(out, Demand{
			Item: it.name, CallsPerS: it.callRate.fast, TokensPerS: it.tokenRate.fast,
			Rising: it.callRate.fast > risingMinCalls && it.callRate.fast > risingRatio*it.callRate.slow,
		})
	}
	for _, c := range d.calls {
		waited := int(now.Sub(c.arrived).Milliseconds())
		for _, it := range []*item{c.item, c.model} {
			v := &out[index[it]]
			v.Waiting++
			v.OldestWaitMS = max(v.OldestWaitMS, waited)
			if c.item == c.model {
				break
			}
		}
	}
	return out
}
