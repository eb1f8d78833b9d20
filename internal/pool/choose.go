package pool

import (
	"time"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// The first estimates hold until the pool has seen calls of its own.
	initialTokenMS         = 15.0
	initialTokenMSPerSeq   = 0.5
	initialFirstMS         = 20.0
	initialFirstMSPerToken = 0.1
	defaultExpectedTokens  = 128
	defaultMaxSeqs         = 16
	prefixesPerEngine      = 512
	// promptCost is the work of a prompt token as a part of an output token's.
	promptCost = 0.02
	// hedgeRoom is the share of an engine's sequences up to which it takes hedges.
	hedgeRoom = 0.75
)

// choose returns the engine with the earliest expected end of the call, or nil when waiting is better.
func (d *Dispatcher) choose(now time.Time, c *call, eligible mask) *engine {
	var best *engine
	bestMS := 0.0
	// The scan begins at another engine each time, so that ties are spread.
	d.turn++
	for i := range d.engines {
		e := d.engines[(i+d.turn)%len(d.engines)]
		if eligible&e.bit == 0 || c.ask.Hedge && float64(e.inflight) >= hedgeRoom*float64(e.seqs()) {
			continue
		}
		if e.probeDue(now) && !c.ask.Hedge && !c.long {
			return e
		}
		if v := d.finishMS(e, c); best == nil || v < bestMS {
			best, bestMS = e, v
		}
	}
	return best
}

// finishMS estimates the time until the call's end on e.
func (d *Dispatcher) finishMS(e *engine, c *call) float64 {
	first := d.first.at(float64(e.prefill) + d.promptOn(e, c))
	per := d.perToken.at(float64(e.inflight + 1))
	return (first + per*c.expected) * e.slowness()
}

// promptOn returns the prompt tokens that e has to compute for the call.
func (d *Dispatcher) promptOn(e *engine, c *call) float64 {
	prompt := float64(c.ask.PromptTokens + c.ask.TokensDone)
	if !d.tune.NoAffinity && c.ask.PrefixHash != 0 && e.prefixes.has(c.ask.PrefixHash) {
		prompt -= float64(c.ask.PromptTokens) * d.tune.PrefixShare
	}
	return prompt
}

func (d *Dispatcher) grant(now time.Time, c *call, e *engine) {
	d.drop(c)
	if !c.ask.Hedge {
		for _, old := range d.open[c.ask.CallID] {
			d.release(old)
		}
		delete(d.open, c.ask.CallID)
	}
	t := d.issue(now, d.nextTicket(), c, e)
	d.grants.add(now, 1)
	if e.mode != healthy && !c.long {
		t.probe = true
		e.probing++
		e.probeAt = now.Add(e.probeGap)
	}
	g := wire.TicketResponse{
		Ticket: t.id, Engine: e.Name, URL: e.URL, Priority: c.class.Priority, Version: d.Version,
		ModelItem: c.base.nameOn(e),
	}
	if c.need != c.base {
		g.AdapterItem = c.need.nameOn(e)
	}
	if !d.tune.NoHedging {
		g.HedgeAfterMS = d.hedgeAfter(t)
	}
	d.out = append(d.out, Decision{Kind: Granted, CallID: c.ask.CallID, Grant: g})
}

// issue records a ticket on e.
func (d *Dispatcher) issue(now time.Time, id string, c *call, e *engine) *ticket {
	prompt := int(d.promptOn(e, c))
	t := &ticket{
		id: id, call: c, engine: e, granted: now, beat: now, prompt: prompt, ahead: e.prefill,
		long: c.long, inTimer: -1, inPending: len(e.pending),
	}
	t.predicted = d.first.at(float64(t.ahead + prompt))
	e.inflight++
	e.prefill += prompt
	if t.long {
		e.long++
	}
	e.pending = append(e.pending, t)
	if c.ask.PrefixHash != 0 {
		e.prefixes.add(c.ask.PrefixHash)
	}
	d.tickets[id] = t
	d.open[c.ask.CallID] = append(d.open[c.ask.CallID], t)
	d.expiry.push(t)
	return t
}

// hedgeAfter returns after how many milliseconds without a first token a second attempt is advised; 0 is never.
func (d *Dispatcher) hedgeAfter(t *ticket) int {
	cl := t.call.class
	if cl.Deferrable || cl.first.count < minHedgeCount {
		return 0
	}
	return max(cl.hedgeMS, int(2*t.predicted))
}

// expect estimates the output tokens of a call from its class, model and caller and from what the caller stated.
func (d *Dispatcher) expect(c *call) float64 {
	prior := float64(c.ask.ExpectedTokens)
	if prior <= 0 {
		prior = float64(c.class.ExpectedTokens)
	}
	if prior <= 0 {
		prior = defaultExpectedTokens
	}
	known := d.lengths[lengthKey{c.class.Name, c.need, c.ask.Caller}]
	if known == nil || c.ask.ExpectedTokens > 0 {
		return max(prior-float64(c.ask.TokensDone), 1)
	}
	return max(known.blend(prior)-float64(c.ask.TokensDone), 1)
}

func (d *Dispatcher) isLong(c *call) bool {
	if c.class.Deferrable {
		return true
	}
	return c.expected >= float64(d.tune.LongTokens) || c.ask.PromptTokens >= d.tune.LongPrompt
}

// recent is a bounded set that forgets its oldest member.
type recent struct {
	at   map[uint64]int
	ring []uint64
	next int
}

func newRecent(size int) *recent {
	return &recent{at: make(map[uint64]int), ring: make([]uint64, size)}
}

func (r *recent) has(v uint64) bool {
	_, ok := r.at[v]
	return ok
}

func (r *recent) add(v uint64) {
	if i, ok := r.at[v]; ok {
		if i != r.next {
			r.ring[i] = 0
		}
	}
	if old := r.ring[r.next]; old != 0 && old != v {
		delete(r.at, old)
	}
	r.ring[r.next] = v
	r.at[v] = r.next
	r.next = (r.next + 1) % len(r.ring)
}
