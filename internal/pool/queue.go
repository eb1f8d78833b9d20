package pool

import (
	"math"
	"time"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// waitErrorFactor divides the estimated wait, which is uncertain: a call is rejected early only if even half of the
	// estimate exceeds its deadline.
	waitErrorFactor = 2
	// minBacklogS is the estimated wait in seconds below which no call is rejected early.
	minBacklogS = 0.5
	// urgentWithin is the time before its deadline from which a deferrable call is served before all other calls.
	urgentWithin = 30 * time.Second

	onTime rank = iota // can meet the target of its class
	late               // can no longer meet the target of its class
	urgent             // deferrable and near its deadline
	// longShareCut is the fraction by which LongShare shrinks while short calls wait for the engine.
	longShareCut = 0.75
	// pressureDecay multiplies shortPressure at each evaluation, every 100 ms; it halves in 14 s.
	pressureDecay = 0.995
)

// rank is a group of waiting calls that is served together within a step; grantTickets defines the order.
type rank int

// addCall adds a call to the queue. A caller without waiting calls continues at the virtual time of its class or later,
// so that idle time earns it no credit.
func (d *Dispatcher) addCall(c *call) {
	if c.req.Hedge {
		d.hedges = append(d.hedges, c)
	} else {
		d.calls[c.req.CallID] = c
	}
	if c.caller.waiting == 0 {
		c.caller.virtualTime = max(c.caller.virtualTime, c.class.virtualTime)
		c.class.activeShares += c.caller.share
	}
	c.caller.waiting++
	c.class.waiting++
	d.addToFlow(c)
	d.deadlines.push(c)
}

// addToFlow adds the call to the flow with its key, which is created if needed.
func (d *Dispatcher) addToFlow(c *call) {
	key := flowKey{item: c.item, model: c.model, long: c.long, late: c.late, tried: c.tried, hedge: c.req.Hedge}
	for _, f := range c.caller.flows {
		if f.flowKey == key {
			c.flow = f
			f.calls.push(c)
			return
		}
	}
	f := &flow{flowKey: key, calls: heap[*call]{
		less: func(a, b *call) bool {
			if a.latestStart.Equal(b.latestStart) {
				return a.seq < b.seq
			}
			return a.latestStart.Before(b.latestStart)
		},
		setIndex: func(c *call, i int) { c.flowIndex = i },
	}}
	c.flow = f
	f.calls.push(c)
	c.caller.flows = append(c.caller.flows, f)
}

// removeFromFlow removes the call from its flow, and the flow from its caller when it becomes empty.
func (d *Dispatcher) removeFromFlow(c *call) {
	f := c.flow
	f.calls.remove(c.flowIndex)
	c.flow = nil
	if len(f.calls.items) > 0 {
		return
	}
	flows := c.caller.flows
	for i := range flows {
		if flows[i] == f {
			flows[i] = flows[len(flows)-1]
			flows[len(flows)-1] = nil
			c.caller.flows = flows[:len(flows)-1]
			return
		}
	}
}

// removeCall removes a waiting call from the queue.
func (d *Dispatcher) removeCall(c *call) {
	d.removeFromFlow(c)
	d.deadlines.remove(c.deadlineIndex)
	if !c.req.Hedge {
		delete(d.calls, c.req.CallID)
	}
	c.class.waiting--
	c.caller.waiting--
	if c.caller.waiting == 0 {
		c.class.activeShares -= c.caller.share
	}
}

// reject adds a rejection, with the estimated wait as the time after which to retry.
func (d *Dispatcher) reject(now time.Time, c *call, code, reason string) {
	retryAfterMS := minRetryAfterMS
	if wait, _ := d.estimateWait(now, c); wait > 0 {
		retryAfterMS = int(min(max(wait.Milliseconds(), minRetryAfterMS), maxRetryAfterMS))
	}
	d.decisions = append(d.decisions, Decision{Kind: Rejected, CallID: c.req.CallID, Grant: wire.TicketResponse{
		Version: d.Version, Code: code, Reason: reason, RetryAfterMS: retryAfterMS,
	}})
}

// estimateWait estimates how long the call waits for a grant, and reports whether it can start before its deadline.
// While no engine is ready for the call, the wait is unknown and it returns 0 and true.
func (d *Dispatcher) estimateWait(now time.Time, c *call) (time.Duration, bool) {
	if c.readyEngines() == 0 {
		return 0, true
	}
	d.grantRate.decay(now)
	queuedBefore := float64(c.caller.waiting) * max(c.class.activeShares, c.caller.share) / c.caller.share
	queuedBefore = min(queuedBefore, float64(c.class.waiting))
	if d.tune.NoFairness {
		queuedBefore = float64(c.class.waiting)
	}
	perS := max(d.grantRate.fast, d.maxStartRate(c))
	if queuedBefore < perS*minBacklogS {
		return ms(queuedBefore / perS * float64(time.Second/time.Millisecond)), true
	}
	wait := time.Duration(queuedBefore / perS * float64(time.Second))
	return wait, now.Add(wait / waitErrorFactor).Before(c.latestStart)
}

// maxStartRate returns an upper bound of the calls like c that its ready engines can start per second.
func (d *Dispatcher) maxStartRate(c *call) float64 {
	seqs := 0
	ready := c.readyEngines()
	for _, e := range d.engines {
		if ready&e.bit != 0 {
			seqs += e.seqLimit()
		}
	}
	serviceMS := d.ttft.predict(0) + d.tokenTime.predict(1)*c.expectedTokens
	return float64(seqs) / serviceMS * float64(time.Second/time.Millisecond)
}

// handleDeadlines rejects calls whose deadline has passed, and marks calls as late that can no longer meet the target
// of their class.
func (d *Dispatcher) handleDeadlines(now time.Time) {
	for len(d.deadlines.items) > 0 {
		c := d.deadlines.items[0]
		if c.nextDeadline().After(now) {
			return
		}
		if c.late || !c.latestStart.After(now) {
			d.removeCall(c)
			d.reject(now, c, CodeDeadline, "no engine could start the call before its deadline")
			continue
		}
		d.removeFromFlow(c)
		c.late = true
		d.addToFlow(c)
		d.deadlines.fix(c.deadlineIndex)
	}
}

// grantTickets grants tickets while calls wait and engines have free slots. The order is: deferrable calls near their
// deadline, which stay limited to the share of long calls; calls that can meet the target of their class, by class
// priority; late calls; other deferrable calls. Hedges without a free slot are rejected at once.
func (d *Dispatcher) grantTickets(now time.Time) {
	if len(d.calls) == 0 && len(d.hedges) == 0 {
		return
	}
	d.stepSeq++
	d.updateAllFreeSlots(now)
	for _, cl := range d.classesByPriority {
		if cl.Deferrable && cl.waiting > 0 {
			d.grantClass(now, cl, urgent)
		}
	}
	for _, rank := range []rank{onTime, late} {
		for _, cl := range d.classesByPriority {
			if !cl.Deferrable && cl.waiting > 0 {
				d.grantClass(now, cl, rank)
			}
		}
	}
	for _, cl := range d.classesByPriority {
		if cl.Deferrable && cl.waiting > 0 {
			d.grantClass(now, cl, onTime)
		}
	}
	for _, c := range d.hedges {
		if c.flow != nil {
			d.removeCall(c)
			d.reject(now, c, CodeNoEngine, "no other engine has a free slot for a hedge")
		}
	}
	d.hedges = d.hedges[:0]
}

// grantClass grants tickets to the calls of one class and rank until no flow has an eligible engine.
func (d *Dispatcher) grantClass(now time.Time, cl *class, r rank) {
	for {
		f, cr := d.pickFlow(now, cl, r)
		if f == nil {
			return
		}
		c := f.calls.items[0]
		e := d.chooseEngine(now, c, d.eligibleEngines(f))
		if e == nil {
			f.blockedStep = d.stepSeq
			continue
		}
		cl.virtualTime = max(cl.virtualTime, cr.virtualTime)
		cr.virtualTime += (c.expectedTokens + float64(c.req.PromptTokens)*promptTokenCost) / cr.share
		d.grant(now, c, e)
		d.updateFreeSlots(now, e)
	}
}

// pickFlow returns the flow to serve next: among the flows of the caller with the least virtual time, the one with the
// earliest deadline.
func (d *Dispatcher) pickFlow(now time.Time, cl *class, r rank) (*flow, *caller) {
	var best *flow
	var bestCaller *caller
	for _, cr := range cl.callers {
		if cr.waiting == 0 || best != nil && !d.tune.NoFairness && cr.virtualTime >= bestCaller.virtualTime {
			continue
		}
		f := d.earliestFlow(now, cr, r)
		if f == nil {
			continue
		}
		if best != nil && d.tune.NoFairness && !f.before(best) {
			continue
		}
		best, bestCaller = f, cr
	}
	return best, bestCaller
}

// earliestFlow returns the caller's flow of rank r with an eligible engine and the earliest deadline, or nil.
func (d *Dispatcher) earliestFlow(now time.Time, cr *caller, r rank) *flow {
	var best *flow
	for _, f := range cr.flows {
		if !f.matchesRank(now, r) || f.blockedStep == d.stepSeq || d.eligibleEngines(f) == 0 {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

// matchesRank reports whether the first call of the flow is served in rank r. Only flows of deferrable classes are
// checked for urgent.
func (f *flow) matchesRank(now time.Time, r rank) bool {
	if r == urgent {
		return f.calls.items[0].latestStart.Sub(now) < urgentWithin
	}
	return f.late == (r == late)
}

func (f *flow) before(other *flow) bool {
	return f.calls.less(f.calls.items[0], other.calls.items[0])
}

// eligibleEngines returns the engines with a free slot that can serve the flow. The engines in tried are used only if
// no other engine is ready, and never for hedges. Ejected engines get probes; other calls use them only if
// no other engine is ready.
func (d *Dispatcher) eligibleEngines(f *flow) mask {
	ready := f.readyEngines()
	if ready&^f.tried != 0 || f.hedge {
		ready &^= f.tried
	}
	kind := 0
	if f.long {
		kind = 1
	}
	if ready&^d.ejected == 0 {
		return ready & d.freeSlotsAnyMode[kind]
	}
	return ready & d.freeSlots[kind]
}

func (d *Dispatcher) updateAllFreeSlots(now time.Time) {
	d.freeSlots, d.freeSlotsAnyMode = [2]mask{}, [2]mask{}
	for _, e := range d.engines {
		d.updateFreeSlots(now, e)
	}
}

// updateFreeSlots recomputes the membership of e in freeSlots and freeSlotsAnyMode.
func (d *Dispatcher) updateFreeSlots(now time.Time, e *engine) {
	for kind, long := range []bool{false, true} {
		d.freeSlots[kind] &^= e.bit
		d.freeSlotsAnyMode[kind] &^= e.bit
		if !e.Up || e.draining(now) || e.unavailable(now) || !e.hasSlot(e.seqLimit(), long, d.tune) {
			continue
		}
		d.freeSlotsAnyMode[kind] |= e.bit
		if e.probeDue(now) && !long {
			d.freeSlots[kind] |= e.bit
		}
		if e.mode != ejected && e.hasSlot(e.allowedSeqs(now, d.tune), long, d.tune) {
			d.freeSlots[kind] |= e.bit
		}
	}
}

// updatePressure raises shortPressure of the engines that short calls wait for, so that long calls get fewer of their
// slots, and lets it decay on the others.
func (d *Dispatcher) updatePressure() {
	var awaited mask
	for _, cl := range d.classesByPriority {
		if cl.waiting == 0 {
			continue
		}
		for _, cr := range cl.callers {
			for _, f := range cr.flows {
				if !f.long {
					awaited |= f.readyEngines()
				}
			}
		}
	}
	for _, e := range d.engines {
		e.shortPressure *= pressureDecay
		if awaited&e.bit != 0 {
			e.shortPressure = 1
		}
	}
}

// hasSlot reports whether e can take one more sequence, long or short, within limit.
func (e *engine) hasSlot(limit int, long bool, t Tunables) bool {
	if e.inFlight >= limit {
		return false
	}
	if !long || t.NoLongLimit {
		return true
	}
	if float64(e.inFlight) >= float64(limit)*(1-t.ShortReserve) {
		return false
	}
	share := t.LongShare * (1 - longShareCut*e.shortPressure)
	return e.longSeqs < max(int(math.Floor(float64(limit)*share)), 1)
}
