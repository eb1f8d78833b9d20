package pool

import (
	"math"
	"time"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// refuseMargin divides the estimated wait: a call is refused early only when even this part of it is too long.
	refuseMargin = 2
	// minBacklogS is the backlog in seconds of grants below which nothing is refused early.
	minBacklogS = 0.5
	// urgentWithin is the time before the deadline of a deferrable call from which it goes before other calls.
	urgentWithin = 30 * time.Second

	onTime rank = iota
	late
	urgent
	// pressureCut is the part of the long share that long calls give up while short ones wait.
	pressureCut = 0.75
	// pressureFade is the factor by which pressure fades with each evaluation; it halves in 14 s.
	pressureFade = 0.995
)

// rank orders the service of waiting calls within a step.
type rank int

func (d *Dispatcher) enqueue(c *call) {
	if c.ask.Hedge {
		d.hedges = append(d.hedges, c)
	} else {
		d.calls[c.ask.CallID] = c
	}
	if c.caller.waiting == 0 {
		c.caller.tag = max(c.caller.tag, c.class.virtual)
		c.class.active += c.caller.share
	}
	c.caller.waiting++
	c.class.waiting++
	d.queue(c)
	d.due.push(c)
}

// queue adds the call to the flow that it belongs to.
func (d *Dispatcher) queue(c *call) {
	key := flowKey{need: c.need, base: c.base, long: c.long, late: c.late, tried: c.tried, hedge: c.ask.Hedge}
	for _, f := range c.caller.flows {
		if f.flowKey == key {
			c.flow = f
			f.calls.push(c)
			return
		}
	}
	f := &flow{flowKey: key, calls: heap[*call]{
		less: func(a, b *call) bool {
			if a.startBy.Equal(b.startBy) {
				return a.seq < b.seq
			}
			return a.startBy.Before(b.startBy)
		},
		place: func(c *call, i int) { c.inFlow = i },
	}}
	c.flow = f
	f.calls.push(c)
	c.caller.flows = append(c.caller.flows, f)
}

func (d *Dispatcher) unqueue(c *call) {
	f := c.flow
	f.calls.remove(c.inFlow)
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

// drop takes a waiting call out of every structure.
func (d *Dispatcher) drop(c *call) {
	d.unqueue(c)
	d.due.remove(c.inTimer)
	if !c.ask.Hedge {
		delete(d.calls, c.ask.CallID)
	}
	c.class.waiting--
	c.caller.waiting--
	if c.caller.waiting == 0 {
		c.class.active -= c.caller.share
	}
}

func (d *Dispatcher) refuse(now time.Time, c *call, code, reason string) {
	retry := minRetryAfterMS
	if wait, _ := d.wait(now, c); wait > 0 {
		retry = int(min(max(wait.Milliseconds(), minRetryAfterMS), maxRetryAfterMS))
	}
	d.out = append(d.out, Decision{Kind: Refused, CallID: c.ask.CallID, Grant: wire.TicketResponse{
		Version: d.Version, Code: code, Reason: reason, RetryAfterMS: retry,
	}})
}

// wait estimates how long the call would wait, and reports false when it cannot start in time.
func (d *Dispatcher) wait(now time.Time, c *call) (time.Duration, bool) {
	if c.engines() == 0 {
		return 0, true
	}
	d.grants.decay(now)
	ahead := float64(c.caller.waiting) * max(c.class.active, c.caller.share) / c.caller.share
	ahead = min(ahead, float64(c.class.waiting))
	if d.tune.NoFairness {
		ahead = float64(c.class.waiting)
	}
	perS := max(d.grants.fast, d.capacity(c))
	if ahead < perS*minBacklogS {
		return ms(ahead / perS * float64(time.Second/time.Millisecond)), true
	}
	wait := time.Duration(ahead / perS * float64(time.Second))
	return wait, now.Add(wait / refuseMargin).Before(c.startBy)
}

// capacity bounds from above how many calls such as c the engines that hold its item can start per second.
func (d *Dispatcher) capacity(c *call) float64 {
	seqs := 0
	holders := c.engines()
	for _, e := range d.engines {
		if holders&e.bit != 0 {
			seqs += e.seqs()
		}
	}
	serviceMS := d.first.at(0) + d.perToken.at(1)*c.expected
	return float64(seqs) / serviceMS * float64(time.Second/time.Millisecond)
}

// timeouts refuses the calls that cannot start in time any more, and ranks those lower that miss their target.
func (d *Dispatcher) timeouts(now time.Time) {
	for len(d.due.items) > 0 {
		c := d.due.items[0]
		if c.dueAt().After(now) {
			return
		}
		if c.late || !c.startBy.After(now) {
			d.drop(c)
			d.refuse(now, c, CodeDeadline, "no engine could start the call before its deadline")
			continue
		}
		d.unqueue(c)
		c.late = true
		d.queue(c)
		d.due.fix(c.inTimer)
	}
}

// assign grants tickets while calls wait and engines have room: deferrable calls near their deadline first, within
// their lane, then calls that can meet their target, by class, then late ones, then other deferrable ones.
func (d *Dispatcher) assign(now time.Time) {
	if len(d.calls) == 0 && len(d.hedges) == 0 {
		return
	}
	d.step++
	d.findRoom(now)
	for _, cl := range d.ranked {
		if cl.Deferrable && cl.waiting > 0 {
			d.serve(now, cl, urgent)
		}
	}
	for _, rank := range []rank{onTime, late} {
		for _, cl := range d.ranked {
			if !cl.Deferrable && cl.waiting > 0 {
				d.serve(now, cl, rank)
			}
		}
	}
	for _, cl := range d.ranked {
		if cl.Deferrable && cl.waiting > 0 {
			d.serve(now, cl, onTime)
		}
	}
	for _, c := range d.hedges {
		if c.flow != nil {
			d.drop(c)
			d.refuse(now, c, CodeNoEngine, "no other engine has room for a hedge")
		}
	}
	d.hedges = d.hedges[:0]
}

func (d *Dispatcher) serve(now time.Time, cl *class, r rank) {
	for {
		f, who := d.pick(now, cl, r)
		if f == nil {
			return
		}
		c := f.calls.items[0]
		e := d.choose(now, c, d.eligible(f))
		if e == nil {
			f.blocked = d.step
			continue
		}
		cl.virtual = max(cl.virtual, who.tag)
		who.tag += (c.expected + float64(c.ask.PromptTokens)*promptCost) / who.share
		d.grant(now, c, e)
		d.findRoomOn(now, e)
	}
}

// pick returns the flow to serve next: of the caller that received least for its share, the earliest deadline.
func (d *Dispatcher) pick(now time.Time, cl *class, r rank) (*flow, *caller) {
	var best *flow
	var who *caller
	for _, cr := range cl.callers {
		if cr.waiting == 0 || best != nil && !d.tune.NoFairness && cr.tag >= who.tag {
			continue
		}
		f := d.earliest(now, cr, r)
		if f == nil {
			continue
		}
		if best != nil && d.tune.NoFairness && !f.before(best) {
			continue
		}
		best, who = f, cr
	}
	return best, who
}

func (d *Dispatcher) earliest(now time.Time, cr *caller, r rank) *flow {
	var best *flow
	for _, f := range cr.flows {
		if !f.ranks(now, r) || f.blocked == d.step || d.eligible(f) == 0 {
			continue
		}
		if best == nil || f.before(best) {
			best = f
		}
	}
	return best
}

// ranks tells whether the flow's first call is served in rank r; a deferrable call near its deadline is urgent.
func (f *flow) ranks(now time.Time, r rank) bool {
	if r == urgent {
		return f.calls.items[0].startBy.Sub(now) < urgentWithin
	}
	return f.late == (r == late)
}

func (f *flow) before(other *flow) bool {
	return f.calls.less(f.calls.items[0], other.calls.items[0])
}

// eligible returns the engines with room that can serve the flow; engines that failed the call before are used
// only where no other engine holds the item.
func (d *Dispatcher) eligible(f *flow) mask {
	holders := f.engines()
	if holders&^f.tried != 0 || f.hedge {
		holders &^= f.tried
	}
	lane := 0
	if f.long {
		lane = 1
	}
	if holders&^d.ejected == 0 {
		return holders & d.roomAny[lane]
	}
	return holders & d.room[lane]
}

func (d *Dispatcher) findRoom(now time.Time) {
	d.room, d.roomAny = [2]mask{}, [2]mask{}
	for _, e := range d.engines {
		d.findRoomOn(now, e)
	}
}

func (d *Dispatcher) findRoomOn(now time.Time, e *engine) {
	for lane, long := range []bool{false, true} {
		d.room[lane] &^= e.bit
		d.roomAny[lane] &^= e.bit
		if !e.Up || e.leaving(now) || e.down(now) || !e.fits(e.seqs(), long, d.tune) {
			continue
		}
		d.roomAny[lane] |= e.bit
		if e.probeDue(now) && !long {
			d.room[lane] |= e.bit
		}
		if e.mode != ejected && e.fits(e.allowed(now, d.tune), long, d.tune) {
			d.room[lane] |= e.bit
		}
	}
}

// feelPressure notes the engines that short calls wait for, so that long calls leave them more room.
func (d *Dispatcher) feelPressure() {
	var wanted mask
	for _, cl := range d.ranked {
		if cl.waiting == 0 {
			continue
		}
		for _, cr := range cl.callers {
			for _, f := range cr.flows {
				if !f.long {
					wanted |= f.engines()
				}
			}
		}
	}
	for _, e := range d.engines {
		e.pressure *= pressureFade
		if wanted&e.bit != 0 {
			e.pressure = 1
		}
	}
}

// fits tells whether one more sequence, long or not, stays within limit.
func (e *engine) fits(limit int, long bool, t Tunables) bool {
	if e.inflight >= limit {
		return false
	}
	if !long || t.NoLanes {
		return true
	}
	if float64(e.inflight) >= float64(limit)*(1-t.ShortReserve) {
		return false
	}
	share := t.LongShare * (1 - pressureCut*e.pressure)
	return e.long < max(int(math.Floor(float64(limit)*share)), 1)
}
