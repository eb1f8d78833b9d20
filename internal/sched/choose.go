package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// candidate is an engine that can serve a call, with the estimates for that call.
type candidate struct {
	engine        *engine
	ttft          time.Duration // estimated time to the first event
	score         time.Duration // the lowest wins
	prefillTokens int           // prompt tokens that are not cached
	loadsAdapter  bool          // the adapter has to be loaded first
	waitForDecode bool          // the engine's streams need a decode interval first
	delay         time.Duration // time for which the engine's statements allow no call
	limited       bool          // the delay is that of the engine's limit
	evict         *topo.Adapter // adapter to unload first, or nil
	full          bool          // the engine has no slot or no memory left for the call
	avoid         bool          // only the score tells whether the engine is better than a full one
}

// decide grants a ticket for a call, leaves it queued or rejects it.
func (s *Scheduler) decide(now time.Time, p *pending) Decision {
	left := p.deadline.Sub(now)
	if left <= 0 {
		return s.reject(p, ReasonOverload, minRetryAfter)
	}
	if p.excess {
		return s.reject(p, ReasonQueueShare, s.timeAhead(now, p))
	}
	if !p.probe && s.Poison.Blocks(&p.Spec) {
		return s.reject(p, ReasonQuarantine, QuarantineRetryAfter)
	}
	if p.Software != "" && !s.hasVersion(p) {
		return s.reject(p, ReasonVersionGone, maxRetryAfter)
	}
	if dec, ok := s.waitForAdapter(now, p); ok {
		return dec
	}
	best, speeds := s.bestCandidate(now, p)
	if s.competes() {
		if dec, ok := s.compete(now, p, best, speeds); ok {
			return dec
		}
	} else if best != nil && best.waitForDecode && now.Equal(p.arrived) {
		if queued := s.queuedPrefill(p, speeds); best.ttft+queued > p.maxQueueTime(left) {
			return s.reject(p, ReasonOverload, queued)
		}
	}
	switch {
	case best != nil && best.delay > 0:
		return s.waitForEngine(p, best, left)
	case best == nil && speeds == 0:
		return s.waitForModel(now, p, left)
	case best == nil:
		return s.waitOrReject(now, p, left)
	case best.waitForDecode &&
		now.Sub(p.arrived) < p.maxDecodeWait():
		return Decision{Kind: Waiting, Call: p.Call}
	case best.ttft > left:
		return s.reject(p, ReasonOverload, best.ttft-left)
	case best.loadsAdapter:
		s.requestAdapterLoad(now, p, best)
		return Decision{Kind: Waiting, Call: p.Call}
	}
	return s.grant(now, p, best)
}

// waitForAdapter leaves a call queued while its adapter is being loaded, and grants a ticket on that engine once the
// load has ended. It returns false if the call does not wait for an adapter or the engine cannot serve it any more.
func (s *Scheduler) waitForAdapter(now time.Time, p *pending) (Decision, bool) {
	e := s.engines[p.loadingOn]
	if e == nil || !s.serves(now, e, p.Spec.Model) {
		p.loadingOn = ""
		return Decision{}, false
	}
	if delay, _ := s.delay(now, p, e); delay > 0 {
		p.loadingOn = ""
		return Decision{}, false
	}
	ad := e.adapters[p.adapterKey()]
	if ad == nil || ad.unloading {
		p.loadingOn = ""
		return Decision{}, false
	}
	if ad.requested || now.Before(ad.readyAt) {
		return Decision{Kind: Waiting, Call: p.Call}, true
	}
	return s.grant(now, p, &candidate{engine: e}), true
}

// bestCandidate returns the candidate with the lowest score, and the sum of the speeds of the replicas of the model
// that are in service. An engine without room for the call is chosen only if no other has room and begins in time.
func (s *Scheduler) bestCandidate(now time.Time, p *pending) (best *candidate, speeds float64) {
	s.reserveEngines(now)
	p.tokenCost = s.speeds.Cost(p.Service, p.Spec.Model)
	var withRoom *candidate
	limit := p.maxQueueTime(p.deadline.Sub(now))
	for _, e := range s.holders(p.modelKey()) {
		if !s.serves(now, e, p.Spec.Model) || !p.fits(e) {
			continue
		}
		speeds += 1 / e.currentSlowdown(now)
		c := s.evaluate(now, p, e)
		if c == nil {
			continue
		}
		if c.betterThan(best) {
			best = c
		}
		if !c.full && !c.avoid && c.ttft <= limit && c.betterThan(withRoom) {
			withRoom = c
		}
	}
	if best != nil && best.full && withRoom != nil {
		best = withRoom
	}
	return best, speeds
}

func (c *candidate) betterThan(other *candidate) bool {
	return other == nil || c.score < other.score || c.score == other.score && c.engine.ID < other.engine.ID
}

// evaluate returns the estimates for the call on an engine, or nil if the engine cannot take the call now.
func (s *Scheduler) evaluate(now time.Time, p *pending, e *engine) *candidate {
	c := &candidate{engine: e}
	var prefill time.Duration
	c.prefillTokens, prefill = estimatePrefill(now, p, e)
	c.ttft = e.prefillBacklog(now) + prefill + responseOverhead
	if c.delay, c.limited = s.delay(now, p, e); c.delay > 0 {
		c.ttft += c.delay
		c.avoid = true
	}
	if p.Spec.Adapter != "" {
		delay, ok := s.adapterDelay(now, p, e, c)
		if !ok {
			return nil
		}
		c.ttft += delay
	}
	s.protectStreams(now, p, c, prefill)
	c.score += c.ttft + prefill/2 + time.Duration(len(e.tickets))*callPenalty
	if e.Domain != p.Domain {
		c.score += domainPenalty
	}
	if slices.Contains(p.Tried, e.ID) {
		c.score += overloadPenalty
		c.avoid = true
	}
	full := e.kvTokens+c.prefillTokens+p.Spec.OutputTokens > int(maxMemoryShare*float64(e.kvTotal))
	if c.full = full || e.Slots > 0 && len(e.tickets) >= e.Slots; c.full {
		c.score += overloadPenalty
		c.ttft += e.prefillBacklog(now)
	}
	return c
}

// protectStreams raises the score of an engine, or makes the call wait for a decode interval, if the prefill of the
// prompt would stall the engine's running streams for longer than their gap targets allow. It also adds reservedPenalty
// for a short prompt on a reserved engine.
func (s *Scheduler) protectStreams(now time.Time, p *pending, c *candidate, prefill time.Duration) {
	e := c.engine
	n, gap := e.streams()
	long := p.GapTarget > 0 && prefill > scale(longPromptShare, p.GapTarget)
	if e.reserved && !long {
		c.score += reservedPenalty
	}
	if n == 0 {
		return
	}
	limit := scale(prefillShare, gap)
	if e.stallTime(now, prefill) <= limit {
		return
	}
	if prefill > limit {
		// The prefill alone exceeds the limit, so a decode interval before it is not enough.
		c.score += time.Duration(n) * streamPenalty
	}
	if !e.decoded(now) {
		c.waitForDecode = true
		c.ttft += decodeInterval
	}
}

// serves reports whether calls for the model may be sent to the engine, as far as the engine and its statements allow
// it.
func (s *Scheduler) serves(now time.Time, e *engine, model string) bool {
	return e.serves(now, model) && !s.Notices.IsLeaving(e.Instance())
}

// delay returns how long the statements of the engine allow no call like this one, and whether its limit is the reason.
// Queued calls that wait for the same limit come first.
func (s *Scheduler) delay(now time.Time, p *pending, e *engine) (delay time.Duration, limited bool) {
	id := e.Instance()
	delay = s.Notices.LimitWait(now, id, s.LimitShare)
	if delay > 0 || e.delayed > 0 {
		if limit, ok := s.Notices.LimitOf(id); ok {
			delay += time.Duration(float64(e.delayed) / (limit * s.LimitShare) * float64(time.Second))
		}
	}
	limited = delay > 0
	for _, h := range p.Holds {
		if rest := p.arrived.Add(h.For).Sub(now); h.Engine == id && rest > delay {
			delay, limited = rest, false
		}
	}
	return delay, limited
}

// waitForEngine leaves a call queued until the statements of its best engine allow it, or rejects it at once if that is
// too late.
func (s *Scheduler) waitForEngine(p *pending, c *candidate, left time.Duration) Decision {
	p.delayedBy = ReasonHold
	if c.limited {
		p.delayedBy = ReasonLimit
	}
	if c.ttft > p.maxQueueTime(left) {
		return s.reject(p, p.delayedBy, c.delay)
	}
	if c.limited {
		c.engine.delayed++
	}
	return Decision{Kind: Waiting, Call: p.Call}
}

// adapterDelay returns the time until the call's adapter can be resident on the engine, and false if it cannot be
// loaded there now. It sets the candidate's loadsAdapter and evict.
func (s *Scheduler) adapterDelay(now time.Time, p *pending, e *engine, c *candidate) (time.Duration, bool) {
	k := p.adapterKey()
	ad := e.adapters[k]
	if ad != nil && ad.leaving {
		return 0, false
	}
	if ad != nil && !ad.unloading {
		delay := max(ad.readyAt.Sub(now), 0)
		if ad.requested {
			delay = max(delay, adapterLoadTime/2)
		}
		return delay, true
	}
	if s.PlacementFrom.IsZero() {
		c.avoid = true
		return overloadPenalty, true
	}
	if now.Before(e.noAdapterLoadsUntil) || now.Before(s.PlacementFrom) {
		return 0, false
	}
	spec := s.engineSpec(e.Service)
	if len(e.adapters) < spec.AdapterSlots {
		c.loadsAdapter = true
		return adapterLoadTime, true
	}
	for other, ad := range e.adapters {
		if ad.calls > 0 || ad.requested || ad.unloading || now.Before(ad.readyAt) {
			continue
		}
		if c.evict == nil || ad.lastUse.Before(e.adapters[*c.evict].lastUse) {
			c.evict = &other
		}
	}
	if c.evict == nil {
		return 0, false
	}
	c.loadsAdapter = true
	return adapterLoadTime + adapterLoadTime/2, true
}

// requestAdapterLoad adds a load request for the call's adapter on the candidate's engine.
func (s *Scheduler) requestAdapterLoad(now time.Time, p *pending, c *candidate) {
	e := c.engine
	load := AdapterLoad{Engine: e.ID, Model: p.Spec.Model, Adapter: p.Spec.Adapter}
	if c.evict != nil {
		load.EvictModel, load.EvictAdapter = c.evict.Model, c.evict.Name
		e.adapters[*c.evict].unloading = true
	}
	s.adapterLoads = append(s.adapterLoads, load)
	ad := e.ensureAdapter(now, p.adapterKey())
	ad.requested, ad.readyAt = true, now.Add(adapterLoadTime)
	p.loadingOn = e.ID
}

func (s *Scheduler) grant(now time.Time, p *pending, c *candidate) Decision {
	e := c.engine
	if p.Spec.Adapter != "" {
		ad := e.adapters[p.adapterKey()]
		if ad != nil && (ad.requested || now.Before(ad.readyAt)) {
			p.loadingOn = e.ID
			return Decision{Kind: Waiting, Call: p.Call}
		}
	}
	t := s.newTicket(now, e, p)
	e.addTicket(now, t)
	s.Notices.Take(now, e.Instance(), s.LimitShare)
	s.charge(now, t)
	e.cache.add(p.prefixKeys, p.Spec.Segments, s.maxSegments())
	streams, _ := e.streams()
	return Decision{Kind: Granted, Call: p.Call, Grant: Grant{
		Ticket: t.id, Engine: e.ID, Addr: e.Addr, Boot: e.Boot,
		PrefillTokens: t.prefillTokens, PrefillTime: e.prefillBacklog(now), Streams: streams,
		Probe: p.probe, DelayedBy: p.delayedBy, Software: e.Software, Service: e.Service,
		Speed: 1 / e.speed.Slowness(now), TokenCost: p.tokenCost, BaseCost: s.speeds.Cost(p.Service, ""),
	}}
}

func (s *Scheduler) newTicket(now time.Time, e *engine, p *pending) *ticket {
	s.lastTicket++
	p.tokenCost = s.speeds.Cost(p.Service, p.Spec.Model)
	tokens, prefill := estimatePrefill(now, p, e)
	backlog, slowdown := e.prefillBacklog(now), e.currentSlowdown(now)
	t := &ticket{
		id: s.lastTicket, request: p.Request, engine: e, granted: now,
		prefillTokens: tokens, kvTokens: tokens + p.Spec.OutputTokens, prefill: prefill,
		usualPrefill: scale(1/slowdown, prefill), noBacklog: backlog == 0,
	}
	// The length of a backlog that has taken longer than estimated is not known.
	known := backlog == 0 && tokens >= costMinTokens || backlog > latePrefill
	if known {
		t.expected = scale(1/slowdown, backlog+prefill)
	}
	s.tickets[t.id] = t
	return t
}

// measure updates the estimates of speed and cost with the time to the first event of a call.
func (s *Scheduler) measure(now time.Time, t *ticket) {
	if t.expected == 0 {
		return
	}
	model := ""
	if t.noBacklog {
		model = t.request.Spec.Model
	}
	s.speeds.Measure(now, t.engine.speed, model, now.Sub(t.granted)-responseOverhead, t.expected)
}

// estimatePrefill returns the number of prompt tokens that the engine has not cached, and the time of their prefill.
func estimatePrefill(now time.Time, p *pending, e *engine) (tokens int, prefill time.Duration) {
	tokens = p.Spec.PromptTokens - e.cache.cachedTokens(p.prefixKeys, p.Spec.Segments)
	prefill = time.Duration(float64(tokens) * float64(p.tokenCost) * e.currentSlowdown(now))
	return tokens, max(prefill+scale(e.speed.Slowness(now)-1, stepTime), 0)
}

// waitForModel leaves a call queued while its model can still be loaded before the deadline, and rejects it otherwise.
func (s *Scheduler) waitForModel(now time.Time, p *pending, left time.Duration) Decision {
	m := s.models[p.modelKey()]
	if m == nil {
		return s.reject(p, ReasonUnknownModel, minRetryAfter)
	}
	wait := m.LoadTime
	for _, e := range s.loaders(p.modelKey()) {
		if !p.fits(e) {
			continue
		}
		if since, ok := e.loading[m.Name]; ok && e.listed && now.Sub(since) < loadGivenUp*m.LoadTime {
			wait = min(wait, max(m.LoadTime-now.Sub(since), 0))
		}
	}
	loading := wait < m.LoadTime
	since := s.placementFrom(p)
	wait += max(since.Sub(now), 0)
	if s.PlacementFrom.IsZero() || wait+responseOverhead > left || !loading && now.Sub(since) > loadStartTimeout {
		reason := ReasonNoReplica
		if p.Software != "" {
			reason = ReasonVersionGone
		}
		return s.reject(p, reason, wait)
	}
	return Decision{Kind: Waiting, Call: p.Call}
}

// queuedPrefill estimates the prefill time of the queued calls for the call's model on its replicas, with the sum of
// their speeds.
func (s *Scheduler) queuedPrefill(p *pending, speeds float64) time.Duration {
	if speeds == 0 {
		return s.queued[p.modelKey()]
	}
	return scale(1/speeds, s.queued[p.modelKey()])
}

// placementFrom returns the time from which on models and adapters may be loaded for the call.
func (s *Scheduler) placementFrom(p *pending) time.Time {
	if s.PlacementFrom.After(p.arrived) {
		return s.PlacementFrom
	}
	return p.arrived
}

// waitOrReject handles a call whose model has replicas but whose adapter cannot be loaded on any of them now. Before
// PlacementFrom no adapter can be loaded, so the call is rejected at once if that time is too late for it.
func (s *Scheduler) waitOrReject(now time.Time, p *pending, left time.Duration) Decision {
	if rest := s.PlacementFrom.Sub(now); rest > 0 {
		if rest+responseOverhead > p.maxQueueTime(left) {
			return s.reject(p, ReasonOverload, rest)
		}
		return Decision{Kind: Waiting, Call: p.Call}
	}
	if now.Sub(s.placementFrom(p)) > scale(targetWaitShare, p.TargetLatency) || left < p.deadline.Sub(p.arrived)/2 {
		return s.reject(p, ReasonOverload, minRetryAfter)
	}
	return Decision{Kind: Waiting, Call: p.Call}
}

// maxQueueTime returns how long the call may wait for its first event. The limit derived from the target latency is
// extended by the prefill time of the call's own prompt, so that large calls are not rejected for their size.
func (p *pending) maxQueueTime(left time.Duration) time.Duration {
	limit := scale(queueShare, left)
	if p.TargetLatency > 0 {
		limit = min(limit, scale(maxLateness, p.TargetLatency)+p.minTTFT)
	}
	return limit
}

// maxDecodeWait returns how long the call waits for a decode interval of an engine. It must leave time for the prefill.
func (p *pending) maxDecodeWait() time.Duration {
	limit := max(scale(targetWaitShare, p.TargetLatency), scale(lateWaitShare, p.Remaining))
	return min(limit, scale(patienceShare, p.deadline.Sub(p.arrived))-p.minTTFT)
}

// compare orders calls by the time of their targets; calls that can no longer meet their targets come last.
func (p *pending) compare(now time.Time, q *pending) int {
	pt, qt := p.arrived.Add(p.TargetLatency), q.arrived.Add(q.TargetLatency)
	if c := compareBool(now.Add(p.minTTFT).After(pt), now.Add(q.minTTFT).After(qt)); c != 0 {
		return c
	}
	return pt.Compare(qt)
}

func (s *Scheduler) reject(p *pending, reason string, after time.Duration) Decision {
	return Decision{
		Kind: Rejected, Call: p.Call, Reason: reason, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
		Position: p.position, WorkAhead: p.ahead,
	}
}

// Engines returns the engines that may take orders, with their resident models, sorted by ID.
func (s *Scheduler) Engines() []*topo.Upstream {
	out := make([]*topo.Upstream, 0, len(s.engines))
	for _, e := range s.engines {
		if e.listed && !e.Leaving && !s.Notices.IsLeaving(e.Instance()) {
			u := e.Upstream
			u.Models = u.Models[:0:0]
			for name := range e.models {
				u.Models = append(u.Models, topo.Resident{Name: name})
			}
			out = append(out, &u)
		}
	}
	slices.SortFunc(out, func(a, b *topo.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func scale(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }
