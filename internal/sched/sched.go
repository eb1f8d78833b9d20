package sched

import (
	"slices"
	"time"

	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/poison"
	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/speed"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/vers"
)

const (
	// costMinTokens is the number of prefill tokens below which a call is not used as a measurement.
	costMinTokens = 400
	// responseOverhead is the part of the time to the first event that does not depend on the prompt length.
	responseOverhead = 20 * time.Millisecond
	// stepTime is the part of responseOverhead that grows with the slowdown of an engine: a call waits for the end of
	// the step that runs, and its last step has a part that does not depend on the prompt.
	stepTime = 8 * time.Millisecond
	// maxSlowdown bounds the slowdown that the age of an outstanding prefill shows. Such a prefill is late from
	// lateFactor times its estimate on.
	maxSlowdown = 8.0
	lateFactor  = 1.5
	// maxStatedSlowdown bounds the slowdown that an engine states, so that no engine is left out for it.
	// loadTimeConstant is the time constant with which a stated load loses its weight: it changes many times a second.
	// After maxLoadAge it has none.
	maxStatedSlowdown = 4.0
	loadTimeConstant  = 400 * time.Millisecond
	maxLoadAge        = 5 * loadTimeConstant
	// adapterLoadTime is the expected time to order and load an adapter.
	adapterLoadTime = 14 * time.Millisecond
	// orderBackoff is how long no adapter load is requested on an engine after one has failed there.
	orderBackoff = 150 * time.Millisecond
	// maxReportAge bounds how old the state in an engine report can be.
	maxReportAge = 1500 * time.Millisecond
	// domainPenalty is added to the score of an engine in another failure domain than the host.
	domainPenalty = 3 * time.Millisecond
	// callPenalty is the time by which each call on an engine slows down another one.
	callPenalty = 500 * time.Microsecond
	// cacheShare is the share of an engine's KV memory that is assumed to cache prompt prefixes.
	cacheShare = 0.75
	// maxMemoryShare is the share of an engine's KV memory beyond which the engine may preempt calls.
	maxMemoryShare = 0.9
	// prefillShare is the share of the shortest gap target of the running streams for which an engine may prefill
	// without a decode interval.
	prefillShare = 0.3
	// longPromptShare defines a long prompt: its prefill takes more than this share of the call's gap target.
	longPromptShare = 0.6
	// decodeInterval is the time in which running streams produce an event while the engine does no prefill.
	decodeInterval = 30 * time.Millisecond
	// latePrefill is the remaining prefill time assumed for a prompt whose prefill takes longer than estimated.
	latePrefill = 40 * time.Millisecond
	// targetWaitShare is the share of a call's target latency for which the call waits for a decode interval of the
	// engine or for a free adapter slot.
	targetWaitShare = 1.0
	// lateWaitShare is the share of the time between a call's arrival and its deadline for which the call waits for a
	// decode interval, even if it then misses its target latency.
	lateWaitShare = 0.5
	// patienceShare is the share of the time until the caller leaves that a call spends at most until its first event.
	patienceShare = 0.85
	// queueShare is the share of the time left until its deadline that a call may spend until its first event.
	// maxLateness bounds the queueing time as a multiple of the target latency: a call that would wait longer is
	// rejected with a retry time, because serving it would delay calls that can still meet their targets.
	queueShare  = 0.7
	maxLateness = 1.6
	// loadStartTimeout is how long a call waits for a load of its model to start.
	loadStartTimeout = 2 * time.Second
	// loadGivenUp is the number of load times after which a load that no report confirms does not count any more.
	loadGivenUp = 3
	// streamPenalty is added to the score of an engine for each stream that a long prompt would stall there.
	streamPenalty = 100 * time.Millisecond
	// reservedPenalty is added to the score of an engine reserved for long prompts, for all other calls.
	reservedPenalty = 120 * time.Millisecond
	// reservedShare is the share of a model's replicas that is reserved for long prompts. Models with fewer than
	// minReservedReplicas replicas have no reserved ones.
	reservedShare       = 0.2
	minReservedReplicas = 3
	// reserveInterval is the minimum time between two updates of the set of reserved engines.
	reserveInterval = 500 * time.Millisecond
	// overloadPenalty is added to the score of an engine that was tried before, that lacks the adapter while no
	// adapters are placed, or that lacks the memory or a slot for the call while no other replica has room.
	overloadPenalty = 2 * time.Second
	// initialBackoff and maxBackoff bound how long an engine gets no calls after failures.
	initialBackoff = 150 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// notResidentTime is how long an engine gets no calls for a model after it has responded that the model or its
	// adapter is not resident.
	notResidentTime = 400 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential average of demand.
	demandTimeConstant = 2500 * time.Millisecond
	// callRateTimeConstant is the time constant of the exponential average of the call rate, long enough to tell models
	// that are called now and then from those that are not called any more.
	callRateTimeConstant = 20 * time.Second
	// outputTokenCost is the engine time of an output token whose decode step is shared with other calls.
	outputTokenCost = 200 * time.Microsecond
	// minRetryAfter and maxRetryAfter bound the retry time of a rejected call.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// unknownRetryAfter is the retry time of a call that takes up a stream that is not known yet.
	unknownRetryAfter = 250 * time.Millisecond
	// lifeTimeouts is how long a stream can last with all attempts of its caller, in timeouts of its route.
	lifeTimeouts = 2
	// QuarantineRetryAfter is the retry time of a quarantined call.
	QuarantineRetryAfter = maxRetryAfter
)

// Scheduler assigns calls to the engines of all services; the zero value is ready for use.
type Scheduler struct {
	// PlacementFrom is the time, past or future, from which on this scheduler's host may order loads of models and
	// adapters, so that calls may wait for them. The zero time means that it never may.
	PlacementFrom time.Time
	// FirstTicket is the base of ticket IDs; it keeps them distinct from those of other schedulers.
	FirstTicket uint64
	// Poison holds the prompt segments that crash engines.
	Poison poison.Table
	// Notices holds what engines state about the calls that they take; nil holds nothing.
	Notices *notice.Table
	// Streams holds the software versions that began streams.
	Streams vers.Table
	// LimitShare is the share of the engines' limits that the calls of this scheduler may use.
	LimitShare float64
	// Quota charges calls to the quotas of workspaces; nil charges nothing.
	Quota *quota.Limiter
	// CacheBytes bounds the memory of the estimates of what engines have cached; 0 does not bound it.
	CacheBytes int64

	config       *topo.Config
	models       map[modelKey]*topo.Model
	engines      map[string]*engine
	tickets      map[uint64]*ticket
	index        index
	waiting      []*pending
	queued       map[modelKey]time.Duration // prefill time of the queued calls
	lastTicket   uint64
	speeds       speed.Table
	demand       map[string]*demand
	adapterLoads []AdapterLoad
	reservedAt   time.Time
	fair         fairQueue
	saturated    map[modelKey]*saturation
}

// SetConfig sets the active configuration.
func (s *Scheduler) SetConfig(c *topo.Config) {
	s.init()
	if s.config == c {
		return
	}
	s.config = c
	s.Streams.Life = streamLife(c)
	s.models = make(map[modelKey]*topo.Model)
	for name, service := range c.Services {
		if service.Engine == nil {
			continue
		}
		for i := range service.Engine.Models {
			m := &service.Engine.Models[i]
			s.models[modelKey{name, m.Name}] = m
		}
	}
}

// SetUpstreams replaces the set of engines. An engine whose Boot has changed was restarted, so its state is reset.
func (s *Scheduler) SetUpstreams(now time.Time, list []*topo.Upstream) {
	s.init()
	s.Streams.SetListed(now, list)
	for _, e := range s.engines {
		e.listed = false
	}
	for _, u := range list {
		spec := s.engineSpec(u.Service)
		if spec == nil {
			continue
		}
		e := s.engines[u.ID]
		if e == nil || e.Boot != u.Boot {
			e = newEngine(u, spec.KVTokens)
			e.speed = s.speeds.Engine(u.Service, u.Instance())
			s.engines[u.ID] = e
			e.setModels(now, u.Models, nil)
			s.index.outdated = true
		}
		if e.Revision < u.Revision && now.Sub(e.reportedAt) > maxReportAge && e.setModels(now, u.Models, nil) {
			s.index.outdated = true
		}
		inRAM, onDisk := e.InRAM, e.OnDisk
		e.Upstream = *u
		if now.Sub(e.reportedAt) <= maxReportAge {
			e.InRAM, e.OnDisk = inRAM, onDisk
		}
		e.listed = true
	}
	for id, e := range s.engines {
		if !e.listed && len(e.tickets) == 0 {
			delete(s.engines, id)
			s.index.outdated = true
		}
	}
}

// SetReport applies an engine report, unless it comes from another instance or is older than the known state.
func (s *Scheduler) SetReport(now time.Time, id string, r *topo.Report) {
	s.init()
	e := s.engines[id]
	if e == nil || r.Boot != e.Boot || r.Sequence < e.sequence {
		return
	}
	e.sequence, e.reportedAt = r.Sequence, now
	e.InRAM, e.OnDisk = r.InRAM, r.OnDisk
	loading := make(map[topo.Adapter]bool, len(r.LoadingAdapters))
	for _, k := range r.LoadingAdapters {
		loading[k] = true
	}
	if e.setModels(now, r.Models, loading) {
		s.index.outdated = true
	}
	if r.KVTotal > 0 {
		e.kvTotal = r.KVTotal
	}
}

// OrderAccepted records that an engine accepted an order; sequence is the number of orders accepted so far. The result
// is topo.OrderNoChange for an adapter that was unloaded at once; one that is still used goes when its runs have
// ended.
func (s *Scheduler) OrderAccepted(
	now time.Time, id string, o *topo.Order, sequence int64, result topo.OrderResult,
) {
	e := s.engines[id]
	if e == nil {
		return
	}
	e.sequence = max(e.sequence, sequence)
	switch k := (topo.Adapter{Model: o.Model, Name: o.Adapter}); {
	case o.Adapter != "" && o.Unload && result == topo.OrderNoChange:
		delete(e.adapters, k)
	case o.Adapter != "" && o.Unload:
		a := e.ensureAdapter(now, k)
		a.unloading, a.leaving = true, true
	case o.Adapter != "":
		a := e.ensureAdapter(now, k)
		a.requested, a.readyAt = false, now.Add(adapterLoadTime)
	case o.Unload:
		delete(e.models, o.Model)
		s.index.outdated = true
	default:
		e.loading[o.Model] = now
		s.index.outdated = true
	}
}

// DrainModel stops sending calls for a model to an engine that is about to unload it.
func (s *Scheduler) DrainModel(id, model string) {
	if e := s.engines[id]; e != nil {
		e.draining[model] = true
	}
}

// UndrainModel reverts DrainModel when the unload order was not executed.
func (s *Scheduler) UndrainModel(id, model string) {
	if e := s.engines[id]; e != nil {
		delete(e.draining, model)
	}
}

// AdapterFailed records that an adapter load failed, so that it can be requested again after orderBackoff, and keeps
// the adapter that was to be evicted for it, unless the engine is going to unload that.
func (s *Scheduler) AdapterFailed(now time.Time, load AdapterLoad) {
	e := s.engines[load.Engine]
	if e == nil {
		return
	}
	e.noAdapterLoadsUntil = now.Add(orderBackoff)
	k := topo.Adapter{Model: load.Model, Name: load.Adapter}
	if a := e.adapters[k]; a != nil && a.calls == 0 {
		delete(e.adapters, k)
	}
	if a := e.adapters[topo.Adapter{Model: load.EvictModel, Name: load.EvictAdapter}]; a != nil {
		a.unloading = a.leaving
	}
}

// Schedule decides on a call, or queues it until Step decides. Before anything else it charges the call to the quota of
// its workspace.
func (s *Scheduler) Schedule(now time.Time, q Request) Decision {
	s.init()
	charged, dec, ok := s.chargeQuota(now, &q)
	if !ok {
		return dec
	}
	dec = s.schedule(now, q, charged)
	if dec.Kind == Rejected {
		s.Quota.Refund(charged)
	}
	return dec
}

// schedule decides on a call that has been charged.
func (s *Scheduler) schedule(now time.Time, q Request, charged quota.Receipt) Decision {
	if q.TakesUp && q.Software == "" {
		origin, ok := s.Streams.Lookup(q.Resumes)
		if !ok {
			return Decision{
				Kind: Rejected, Call: q.Call, Reason: ReasonVersionUnknown, RetryAfter: unknownRetryAfter,
			}
		}
		q.SetOrigin(origin)
	}
	if s.models[q.modelKey()] == nil {
		return Decision{Kind: Rejected, Call: q.Call, Reason: ReasonUnknownModel, RetryAfter: minRetryAfter}
	}
	if len(q.Tried) == 0 {
		s.addDemand(now, &q)
	}
	p := newPending(now, q)
	p.charged = charged
	// Only the host that places models tests a quarantine, so that a fleet does not test it all at once.
	p.probe = !s.PlacementFrom.IsZero() && s.Poison.Blocks(&q.Spec) && s.Poison.Probe(now, &q.Spec)
	p.prefill = s.unsharedPrefill(&q)
	p.minTTFT = p.prefill + responseOverhead
	dec := s.decide(now, p)
	if dec.Kind == Waiting {
		dec = s.enqueue(now, p, dec)
	}
	return dec
}

// Cancel removes a call from the queue.
func (s *Scheduler) Cancel(call string) {
	s.waiting = slices.DeleteFunc(s.waiting, func(p *pending) bool {
		if p.Call != call {
			return false
		}
		s.leaveQueue(p)
		s.Quota.Refund(p.charged)
		s.fair.Remove(p)
		return true
	})
}

// leaveQueue subtracts a call that is not queued any more from the prefill time of the queue.
func (s *Scheduler) leaveQueue(p *pending) {
	k := p.modelKey()
	s.queued[k] -= p.prefill
	if s.queued[k] <= 0 {
		delete(s.queued, k)
	}
}

// Step returns the decisions on queued calls that are due now.
func (s *Scheduler) Step(now time.Time) []Decision {
	if len(s.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(s.waiting, func(p, q *pending) int { return p.compare(now, q) })
	for _, e := range s.engines {
		e.delayed = 0
	}
	var out []Decision
	var decided []*pending
	queued := s.waiting[:0]
	for _, p := range s.fairOrder(now) {
		dec := s.decide(now, p)
		if dec.Kind == Waiting {
			queued = append(queued, p)
			continue
		}
		s.leaveQueue(p)
		if dec.Kind == Rejected {
			s.Quota.Refund(p.charged)
		}
		decided = append(decided, p)
		out = append(out, dec)
	}
	clear(s.waiting[len(queued):])
	s.waiting = queued
	for _, p := range decided {
		s.fair.Remove(p)
	}
	return out
}

// Waiting returns the number of queued calls.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// AdapterLoads returns the adapter loads requested since the previous call of AdapterLoads.
func (s *Scheduler) AdapterLoads() []AdapterLoad {
	out := s.adapterLoads
	s.adapterLoads = nil
	return out
}

// RestoreTicket adds a ticket that another scheduler granted.
func (s *Scheduler) RestoreTicket(now time.Time, o OpenTicket) {
	s.init()
	e := s.engines[o.Grant.Engine]
	if e == nil || s.tickets[o.Grant.Ticket] != nil {
		return
	}
	t := s.newTicket(now, e, newPending(now, o.Request))
	delete(s.tickets, t.id)
	t.id, t.firstEvent, t.expected = o.Grant.Ticket, o.FirstEvent, 0
	s.tickets[t.id] = t
	e.addTicket(now, t)
}

// SetLoad records the load that the engine of a ticket stated in its response; nil records nothing.
func (s *Scheduler) SetLoad(now time.Time, id uint64, load *topo.Load) {
	if t := s.tickets[id]; t != nil && load != nil {
		t.engine.load, t.engine.loadAt = *load, now
	}
}

// FirstEvent records the first event of a call's response and updates the estimates of prefill time.
func (s *Scheduler) FirstEvent(now time.Time, id uint64) {
	t := s.tickets[id]
	if t == nil || t.firstEvent {
		return
	}
	e := t.engine
	s.measure(now, t)
	e.startStream(now, t)
	e.failures = 0
}

// Release ends a ticket; the outcome determines whether the engine gets further calls.
func (s *Scheduler) Release(now time.Time, id uint64, outcome Outcome) {
	t := s.tickets[id]
	if t == nil {
		return
	}
	delete(s.tickets, id)
	e := t.engine
	e.removeTicket(now, t)
	switch outcome {
	case Canceled:
	case Served:
		e.failures = 0
		s.Poison.Served(now, &t.request.Spec)
	case NotResident:
		if k := t.adapterKey(); k.Name != "" {
			delete(e.adapters, k)
		}
		e.notResidentUntil[t.request.Spec.Model] = now.Add(notResidentTime)
	case Failed, Broken:
		if outcome == Broken {
			s.addBroken(now, t)
		}
		e.failures++
		e.backoffUntil = now.Add(min(initialBackoff<<min(e.failures-1, 8), maxBackoff))
		e.cache = newCache(e.cache.capacity)
	case NotExecuted:
		e.backoffUntil = now.Add(initialBackoff)
	}
}

// addBroken records that an engine broke under a call. A call that has got an event says nothing of its segments,
// because an engine that a segment crashes sends none, but the same request may crash engines later too.
func (s *Scheduler) addBroken(now time.Time, t *ticket) {
	call := t.request.Spec
	if t.firstEvent {
		call = topo.CallSpec{Request: call.Request}
	}
	s.Poison.Broken(now, t.granted, t.engine.instanceName(), &call)
}

// Calls returns the number of tickets for a model on an engine.
func (s *Scheduler) Calls(id, model string) int {
	if e := s.engines[id]; e != nil {
		return e.callsFor(model)
	}
	return 0
}

// Backlog returns the estimated time until an engine has finished the prefill of all prompts sent to it.
func (s *Scheduler) Backlog(now time.Time, id string) time.Duration {
	if e := s.engines[id]; e != nil {
		return e.prefillBacklog(now)
	}
	return 0
}

func (s *Scheduler) init() {
	if s.engines != nil {
		return
	}
	s.engines = make(map[string]*engine)
	s.tickets = make(map[uint64]*ticket)
	s.demand = make(map[string]*demand)
	s.queued = make(map[modelKey]time.Duration)
	s.saturated = make(map[modelKey]*saturation)
	s.fair.Describe = (*pending).describe
	s.fair.Engines = s.holders
	s.lastTicket = s.FirstTicket
}

// engineSpec returns the spec of the service's engines, or nil if it is a plain service or unknown.
func (s *Scheduler) engineSpec(service string) *topo.EngineSpec {
	if s.config == nil {
		return nil
	}
	return s.config.Services[service].Engine
}

// unsharedPrefill returns the estimated prefill time of the prompt tokens that other calls do not share.
func (s *Scheduler) unsharedPrefill(q *Request) time.Duration {
	return time.Duration(q.Spec.UnsharedTokens()) * s.speeds.Cost(q.Service, q.Spec.Model)
}
