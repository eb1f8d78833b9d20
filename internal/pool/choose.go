package pool

import (
	"time"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// Initial latency estimates in ms, used until the pool has observed enough calls.
	initialTokenMS        = 15.0
	initialTokenMSPerSeq  = 0.5
	initialTTFTMS         = 20.0
	initialTTFTMSPerToken = 0.1
	// defaultExpectedTokens is the output length of a call for which neither the call nor its class states one.
	defaultExpectedTokens = 128
	// defaultMaxSeqs is the number of concurrent sequences of an engine that states none.
	defaultMaxSeqs = 16
	// prefixesPerEngine is the number of recent prompt prefixes that are assumed to be cached on an engine.
	prefixesPerEngine = 512
	// promptTokenCost is the cost of a prompt token in fair queueing between callers; an output token costs 1.
	promptTokenCost = 0.02
	// hedgeMaxUse limits hedges: an engine gets none while this share of its sequences, or more, is in use.
	hedgeMaxUse = 0.75
)

// chooseEngine returns the eligible engine with the earliest expected end of the call, or nil if there is none. An
// engine with a probe due takes precedence for short calls that are not hedges.
func (d *Dispatcher) chooseEngine(now time.Time, c *call, eligible mask) *engine {
	var best *engine
	bestMS := 0.0
	// The scan starts at another engine each time, so that equal estimates do not always select the same engine.
	d.scanOffset++
	for i := range d.engines {
		e := d.engines[(i+d.scanOffset)%len(d.engines)]
		if eligible&e.bit == 0 || c.req.Hedge && float64(e.inFlight) >= hedgeMaxUse*float64(e.seqLimit()) {
			continue
		}
		if e.probeDue(now) && !c.req.Hedge && !c.long {
			return e
		}
		if v := d.estimateMS(e, c); best == nil || v < bestMS {
			best, bestMS = e, v
		}
	}
	return best
}

// estimateMS returns the expected time in ms until the end of the call on e.
func (d *Dispatcher) estimateMS(e *engine, c *call) float64 {
	ttft := d.ttft.predict(float64(e.prefillTokens) + d.uncachedPrompt(e, c))
	tokenTime := d.tokenTime.predict(float64(e.inFlight + 1))
	return (ttft + tokenTime*c.expectedTokens) * e.latencyFactor()
}

// uncachedPrompt returns the number of prompt tokens that e has to compute for the call. The tokens that
// earlier attempts generated are part of the prompt.
func (d *Dispatcher) uncachedPrompt(e *engine, c *call) float64 {
	prompt := float64(c.req.PromptTokens + c.req.TokensDone)
	if !d.tune.NoAffinity && c.req.PrefixHash != 0 && e.prefixes.has(c.req.PrefixHash) {
		prompt -= float64(c.req.PromptTokens) * d.tune.PrefixShare
	}
	return prompt
}

// grant grants a ticket on e. A short call on an engine that is not healthy becomes a probe.
func (d *Dispatcher) grant(now time.Time, c *call, e *engine) {
	d.removeCall(c)
	if !c.req.Hedge {
		for _, old := range d.openTickets[c.req.CallID] {
			d.releaseTicket(old)
		}
		delete(d.openTickets, c.req.CallID)
	}
	t := d.openTicket(now, d.newTicketID(), c, e)
	d.grantRate.add(now, 1)
	if e.mode != healthy && !c.long {
		t.probe = true
		e.openProbes++
		e.probeAt = now.Add(e.probeInterval)
	}
	g := wire.TicketResponse{
		Ticket: t.id, Engine: e.Name, URL: e.URL, Priority: c.class.Priority, Version: d.Version,
		ModelItem: c.model.versionOn(e),
	}
	if c.item != c.model {
		g.AdapterItem = c.item.versionOn(e)
	}
	if !d.tune.NoHedging {
		g.HedgeAfterMS = d.hedgeAfter(t)
	}
	d.decisions = append(d.decisions, Decision{Kind: Granted, CallID: c.req.CallID, Grant: g})
}

// openTicket adds an open ticket on e.
func (d *Dispatcher) openTicket(now time.Time, id string, c *call, e *engine) *ticket {
	prefill := int(d.uncachedPrompt(e, c))
	t := &ticket{
		id: id, call: c, engine: e, granted: now, lastReport: now, prefillTokens: prefill,
		prefillBefore: e.prefillTokens, long: c.long, expiryIndex: -1, prefillIndex: len(e.prefilling),
	}
	t.predictedTTFT = d.ttft.predict(float64(t.prefillBefore + prefill))
	e.inFlight++
	e.prefillTokens += prefill
	if t.long {
		e.longSeqs++
	}
	e.prefilling = append(e.prefilling, t)
	if c.req.PrefixHash != 0 {
		e.prefixes.add(c.req.PrefixHash)
	}
	d.tickets[id] = t
	d.openTickets[c.req.CallID] = append(d.openTickets[c.req.CallID], t)
	d.expiries.push(t)
	return t
}

// hedgeAfter returns the time in ms without a first token after which a hedge is advised; 0 means never.
func (d *Dispatcher) hedgeAfter(t *ticket) int {
	cl := t.call.class
	if cl.Deferrable || cl.ttft.count < minHedgeCount {
		return 0
	}
	return max(cl.hedgeAfterMS, int(2*t.predictedTTFT))
}

// estimateLength estimates the remaining output tokens of a call. The length that the call states takes precedence over
// the lengths that were observed for its class, model or adapter, and caller.
func (d *Dispatcher) estimateLength(c *call) float64 {
	prior := float64(c.req.ExpectedTokens)
	if prior <= 0 {
		prior = float64(c.class.ExpectedTokens)
	}
	if prior <= 0 {
		prior = defaultExpectedTokens
	}
	observed := d.outputLengths[lengthKey{c.class.Name, c.item, c.req.Caller}]
	if observed == nil || c.req.ExpectedTokens > 0 {
		return max(prior-float64(c.req.TokensDone), 1)
	}
	return max(observed.blend(prior)-float64(c.req.TokensDone), 1)
}

// isLong reports whether a call counts as long. Deferrable calls always do.
func (d *Dispatcher) isLong(c *call) bool {
	if c.class.Deferrable {
		return true
	}
	return c.expectedTokens >= float64(d.tune.LongTokens) || c.req.PromptTokens >= d.tune.LongPrompt
}

// recentSet keeps the most recently added values, up to a fixed number of them. 0 in ring marks an unused slot.
type recentSet struct {
	index map[uint64]int
	ring  []uint64
	next  int
}

func newRecentSet(size int) *recentSet {
	return &recentSet{index: make(map[uint64]int), ring: make([]uint64, size)}
}

func (r *recentSet) has(v uint64) bool {
	_, ok := r.index[v]
	return ok
}

func (r *recentSet) add(v uint64) {
	if i, ok := r.index[v]; ok {
		if i != r.next {
			r.ring[i] = 0
		}
	}
	if old := r.ring[r.next]; old != 0 && old != v {
		delete(r.index, old)
	}
	r.ring[r.next] = v
	r.index[v] = r.next
	r.next = (r.next + 1) % len(r.ring)
}
