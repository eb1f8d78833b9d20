package sched

import (
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// firstTokenCost is the time to read a prompt token until a model has been observed.
	firstTokenCost = 26 * time.Microsecond
	// learnGain is the weight of one observation of a model's reading time.
	learnGain = 0.2
	// learnTokens is the least number of tokens that gives an observation.
	learnTokens = 400
	// answerOverhead is the part of the time to the first event that does not depend on the prompt.
	answerOverhead = 20 * time.Millisecond
	// slowGain is the weight of one observation of an engine's slowness; slowMax bounds it.
	slowGain = 0.2
	slowMax  = 8.0
	// adapterTime is the expected time of an order for an adapter and of its load.
	adapterTime = 14 * time.Millisecond
	// orderPause is how long an engine that rejected an order for an adapter gets no other one.
	orderPause = 150 * time.Millisecond
	// reportLag bounds the age of what a report shows.
	reportLag = 1500 * time.Millisecond
	// domainCost is the disadvantage of an engine in another failure domain.
	domainCost = 3 * time.Millisecond
	// callCost is the slowdown of a call by each call that an engine already has.
	callCost = 500 * time.Microsecond
	// cacheShare is the part of an engine's memory that keeps prompt parts.
	cacheShare = 0.75
	// memoryShare is the part of an engine's memory beyond which calls may be preempted.
	memoryShare = 0.9
	// burstShare is the part of the longest allowed pause for which an engine may read prompts without a lull.
	burstShare = 0.3
	// longShare is the part of that pause beyond which a prompt is long.
	longShare = 0.6
	// lull is the time in which running streams make an event when no prompt is being read.
	lull = 30 * time.Millisecond
	// overdue is the expected rest of a prompt that takes longer than expected.
	overdue = 40 * time.Millisecond
	// holdShare is the part of a call's target for which it waits for an engine's streams to rest.
	holdShare = 1.0
	// lateShare is the part of a call's time for which it waits after it has missed its target.
	lateShare = 0.5
	// patienceShare is the part of a call's time that may pass before its prompt is read. Where others take longer than
	// lateMost times its target it is told to come back: so late an answer takes the time of those still in time.
	patienceShare = 0.7
	lateMost      = 1.6
	// orderTime is how long a call waits for a load of its model to begin.
	orderTime = 2 * time.Second
	// lateCost is the disadvantage of an engine for each stream that a long prompt would hold up.
	lateCost = 100 * time.Millisecond
	// laneCost is the disadvantage of an engine in the lane for long prompts for all other calls.
	laneCost = 120 * time.Millisecond
	// laneShare is the part of a model's engines that is kept for long prompts, where there are at least laneLeast.
	laneShare = 0.2
	laneLeast = 3
	// laneEvery is the pause between two looks at which engines are kept.
	laneEvery = 500 * time.Millisecond
	// crowded is the disadvantage of an engine without room for the call.
	crowded = 2 * time.Second
	// downFirst and downMost bound how long an engine is avoided after failures.
	downFirst = 150 * time.Millisecond
	downMost  = 2 * time.Second
	// absentTime is how long an engine gets no calls for a model after it said that it lacks the model or an adapter.
	absentTime = 400 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = 2500 * time.Millisecond
	// outputCost is the engine time of an output token while others share its step.
	outputCost = 200 * time.Microsecond
	// minRetryAfter and maxRetryAfter bound what a refusal tells its caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// Scheduler decides for the engines of all services; the zero value is ready.
type Scheduler struct {
	// PlacementFrom is since when, or from when on, models and adapters are placed for this desk, so that calls may
	// wait for them; the zero time is never.
	PlacementFrom time.Time
	// FirstTicket sets the tickets of this desk apart from those of others.
	FirstTicket uint64

	config  *topo.Config
	engines map[string]*engine
	tickets map[uint64]*ticket
	waiting []*ask
	next    uint64
	costs   map[string]time.Duration // reading time of a prompt token by model
	demand  map[string]*demand
	needs   []AdapterLoad
	lanesAt time.Time
}

// SetConfig takes a version of the configuration into force.
func (d *Scheduler) SetConfig(c *topo.Config) {
	d.init()
	d.config = c
}

// SetUpstreams replaces the engines that exist; an engine with a new boot has forgotten everything.
func (d *Scheduler) SetUpstreams(now time.Time, list []*topo.Upstream) {
	d.init()
	for _, e := range d.engines {
		e.known = false
	}
	for _, u := range list {
		kind := d.kind(u.Service)
		if kind == nil {
			continue
		}
		e := d.engines[u.ID]
		if e == nil || e.Boot != u.Boot {
			e = newEngine(u, kind.KVTokens)
			d.engines[u.ID] = e
			e.setModels(now, u.Models, nil)
		}
		if e.Revision < u.Revision && now.Sub(e.reported) > reportLag {
			e.setModels(now, u.Models, nil)
		}
		inRAM, onDisk := e.InRAM, e.OnDisk
		e.Upstream = *u
		if now.Sub(e.reported) <= reportLag {
			e.InRAM, e.OnDisk = inRAM, onDisk
		}
		e.known = true
	}
	for id, e := range d.engines {
		if !e.known && len(e.tickets) == 0 {
			delete(d.engines, id)
		}
	}
}

// SetReport takes over an engine's report unless it is older than what is known.
func (d *Scheduler) SetReport(now time.Time, id string, r *topo.Report) {
	d.init()
	e := d.engines[id]
	if e == nil || r.Boot != e.Boot || r.Sequence < e.sequence {
		return
	}
	e.sequence, e.reported = r.Sequence, now
	e.InRAM, e.OnDisk = r.InRAM, r.OnDisk
	incoming := make(map[topo.Adapter]bool, len(r.LoadingAdapters))
	for _, k := range r.LoadingAdapters {
		incoming[k] = true
	}
	e.setModels(now, r.Models, incoming)
	if r.KVTotal > 0 {
		e.kvTotal = r.KVTotal
	}
}

// OrderAccepted notes that an engine accepted an order, and the number of orders that it has accepted by now.
func (d *Scheduler) OrderAccepted(now time.Time, id string, o *topo.Order, sequence int64) {
	e := d.engines[id]
	if e == nil {
		return
	}
	e.sequence = max(e.sequence, sequence)
	switch k := (topo.Adapter{Model: o.Model, Name: o.Adapter}); {
	case o.Adapter != "" && o.Unload:
		delete(e.adapters, k)
	case o.Adapter != "":
		a := e.adapter(now, k)
		a.pending, a.ready = false, now.Add(adapterTime)
	case o.Unload:
		delete(e.models, o.Model)
	default:
		e.loading[o.Model] = now
	}
}

// DrainModel stops sending calls for a model to an engine that is about to unload it.
func (d *Scheduler) DrainModel(id, model string) {
	if e := d.engines[id]; e != nil {
		e.closed[model] = true
	}
}

// UndrainModel undoes DrainModel after an order that was not carried out.
func (d *Scheduler) UndrainModel(id, model string) {
	if e := d.engines[id]; e != nil {
		delete(e.closed, model)
	}
}

// AdapterFailed lets another attempt to load an adapter follow.
func (d *Scheduler) AdapterFailed(now time.Time, id, model, name string) {
	e := d.engines[id]
	if e == nil {
		return
	}
	e.noOrders = now.Add(orderPause)
	if a := e.adapters[topo.Adapter{Model: model, Name: name}]; a != nil && a.calls == 0 {
		delete(e.adapters, topo.Adapter{Model: model, Name: name})
	}
	for _, a := range e.adapters {
		a.leaving = false
	}
}

// Schedule decides on a call, or keeps it until Step decides.
func (d *Scheduler) Schedule(now time.Time, q Request) Decision {
	d.init()
	kind := d.kind(q.Service)
	if kind == nil || kind.Model(q.Spec.Model) == nil {
		return Decision{Kind: Refused, Call: q.Call, Reason: ReasonUnknownModel, RetryAfter: minRetryAfter}
	}
	if len(q.Tried) == 0 {
		d.count(now, &q)
	}
	a := newAsk(now, q)
	a.least = d.freshTime(&q.Spec) + answerOverhead
	got := d.decide(now, a)
	if got.Kind == Waiting {
		d.waiting = append(d.waiting, a)
	}
	return got
}

// Cancel forgets a call that waits.
func (d *Scheduler) Cancel(call string) {
	d.waiting = slices.DeleteFunc(d.waiting, func(a *ask) bool { return a.Call == call })
}

// Step decides on calls that wait.
func (d *Scheduler) Step(now time.Time) []Decision {
	if len(d.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(d.waiting, func(a, b *ask) int { return a.order(now, b) })
	var out []Decision
	kept := d.waiting[:0]
	for _, a := range d.waiting {
		got := d.decide(now, a)
		if got.Kind == Waiting {
			kept = append(kept, a)
			continue
		}
		out = append(out, got)
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
	return out
}

// Waiting returns the number of calls that wait.
func (d *Scheduler) Waiting() int { return len(d.waiting) }

// AdapterLoads returns the adapters to load since the last call.
func (d *Scheduler) AdapterLoads() []AdapterLoad {
	out := d.needs
	d.needs = nil
	return out
}

// RestoreTicket takes over a ticket that another desk granted.
func (d *Scheduler) RestoreTicket(now time.Time, h OpenTicket) {
	d.init()
	e := d.engines[h.Grant.Engine]
	if e == nil || d.tickets[h.Grant.Ticket] != nil {
		return
	}
	t := d.ticket(now, e, newAsk(now, h.Request))
	delete(d.tickets, t.id)
	t.id, t.first = h.Grant.Ticket, h.FirstEvent
	d.tickets[t.id] = t
	e.add(now, t)
}

// FirstEvent notes the first event of a call's answer.
func (d *Scheduler) FirstEvent(now time.Time, id uint64) {
	t := d.tickets[id]
	if t == nil || t.first {
		return
	}
	t.first = true
	e := t.engine
	e.unread--
	e.settle(now)
	e.failures = 0
	took := now.Sub(t.granted) - answerOverhead
	if t.tokens < learnTokens || !t.alone || took <= 0 {
		return
	}
	model := t.ask.Spec.Model
	cost := d.cost(model)
	seen := took / time.Duration(t.tokens)
	ratio := min(float64(seen)/float64(cost), slowMax)
	e.slow += slowGain * (ratio - e.slow)
	d.costs[model] = cost + time.Duration(learnGain*float64(min(seen, 2*cost)-cost))
}

// Release ends a ticket.
func (d *Scheduler) Release(now time.Time, id uint64, how Outcome) {
	t := d.tickets[id]
	if t == nil {
		return
	}
	delete(d.tickets, id)
	e := t.engine
	e.remove(now, t)
	switch how {
	case Served, Canceled:
		if how == Served {
			e.failures = 0
		}
	case NotResident:
		if k := t.key(); k.Name != "" {
			delete(e.adapters, k)
		}
		e.absent[t.ask.Spec.Model] = now.Add(absentTime)
	case Failed:
		e.failures++
		e.down = now.Add(min(downFirst<<min(e.failures-1, 8), downMost))
		e.cache = newCache(e.cache.room)
	case NotExecuted:
		e.down = now.Add(downFirst)
	}
}

// Calls returns the number of tickets for a model on an engine.
func (d *Scheduler) Calls(id, model string) int {
	if e := d.engines[id]; e != nil {
		return e.callsFor(model)
	}
	return 0
}

// Backlog returns how long an engine will read prompts that were sent before.
func (d *Scheduler) Backlog(now time.Time, id string) time.Duration {
	if e := d.engines[id]; e != nil {
		return e.wait(now)
	}
	return 0
}

func (d *Scheduler) init() {
	if d.engines != nil {
		return
	}
	d.engines = make(map[string]*engine)
	d.tickets = make(map[uint64]*ticket)
	d.costs = make(map[string]time.Duration)
	d.demand = make(map[string]*demand)
	d.next = d.FirstTicket
}

func (d *Scheduler) kind(service string) *topo.EngineSpec {
	if d.config == nil {
		return nil
	}
	return d.config.Services[service].Engine
}

// freshTime is how long an engine takes for the part of a prompt that other calls do not share.
func (d *Scheduler) freshTime(q *topo.CallSpec) time.Duration {
	return time.Duration(q.UnsharedTokens()) * d.cost(q.Model)
}

func (d *Scheduler) cost(model string) time.Duration {
	if c := d.costs[model]; c > 0 {
		return c
	}
	return firstTokenCost
}
