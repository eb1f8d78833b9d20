package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// option is an engine that can serve a call, and what that would take.
type option struct {
	engine *engine
	first  time.Duration // until the first event
	score  time.Duration
	tokens int // prompt tokens to read
	loads  bool
	holds  bool // the engine's streams need a lull first
	evict  *topo.Adapter
}

// decide grants a call, keeps it waiting or refuses it.
func (d *Scheduler) decide(now time.Time, a *ask) Decision {
	left := a.deadline.Sub(now)
	if left <= 0 {
		return d.refuse(a, ReasonOverload, minRetryAfter)
	}
	if got, ok := d.awaitAdapter(now, a); ok {
		return got
	}
	best, holders := d.best(now, a)
	if best != nil && best.holds && now.Equal(a.arrived) {
		if ahead := d.ahead(a, holders); best.first+ahead > a.patience(left) {
			return d.refuse(a, ReasonOverload, ahead)
		}
	}
	switch {
	case best == nil && holders == 0:
		return d.awaitModel(now, a, left)
	case best == nil:
		return d.waitOrRefuse(now, a, left)
	case best.holds && now.Sub(a.arrived) < max(share(holdShare, a.TargetLatency), share(lateShare, a.Remaining)):
		return Decision{Kind: Waiting, Call: a.Call}
	case best.first > left:
		return d.refuse(a, ReasonOverload, best.first-left)
	case best.loads:
		d.order(now, a, best)
		return Decision{Kind: Waiting, Call: a.Call}
	}
	return d.grant(now, a, best)
}

// awaitAdapter keeps a call where its adapter is being loaded, and grants it once the adapter is there.
func (d *Scheduler) awaitAdapter(now time.Time, a *ask) (Decision, bool) {
	e := d.engines[a.engine]
	if e == nil || !e.serves(now, a.Spec.Model) {
		a.engine = ""
		return Decision{}, false
	}
	ad := e.adapters[a.key()]
	if ad == nil || ad.leaving {
		a.engine = ""
		return Decision{}, false
	}
	if ad.pending || now.Before(ad.ready) {
		return Decision{Kind: Waiting, Call: a.Call}, true
	}
	return d.grant(now, a, &option{engine: e}), true
}

// best returns the engine with the lowest score, and how many engines hold the model.
func (d *Scheduler) best(now time.Time, a *ask) (*option, int) {
	d.setLanes(now)
	var best *option
	holders := 0
	for _, e := range d.engines {
		if e.Service != a.Service || !e.serves(now, a.Spec.Model) {
			continue
		}
		holders++
		o := d.option(now, a, e)
		if o == nil {
			continue
		}
		if best == nil || o.score < best.score || o.score == best.score && e.ID < best.engine.ID {
			best = o
		}
	}
	return best, holders
}

// option estimates what the call takes on an engine, or returns nil when the engine cannot take it now.
func (d *Scheduler) option(now time.Time, a *ask, e *engine) *option {
	o := &option{engine: e}
	var read time.Duration
	o.tokens, read = d.reading(a, e)
	o.first = e.wait(now) + read + answerOverhead
	if a.Spec.Adapter != "" {
		delay, ok := d.adapterDelay(now, a, e, o)
		if !ok {
			return nil
		}
		o.first += delay
	}
	d.spare(now, a, o, read)
	o.score += o.first + read/2 + time.Duration(len(e.tickets))*callCost
	if e.Domain != a.Domain {
		o.score += domainCost
	}
	if slices.Contains(a.Tried, e.ID) {
		o.score += crowded
	}
	full := e.memory+o.tokens+a.Spec.OutputTokens > int(memoryShare*float64(e.kvTotal))
	if full || e.Slots > 0 && len(e.tickets) >= e.Slots {
		o.score += crowded
		o.first += e.wait(now)
	}
	return o
}

// spare lets prompts wait, or go elsewhere, that would hold up the streams of an engine for longer than they allow.
func (d *Scheduler) spare(now time.Time, a *ask, o *option, read time.Duration) {
	e := o.engine
	n, gap := e.streams()
	long := a.GapTarget > 0 && read > share(longShare, a.GapTarget)
	if e.lane && !long {
		o.score += laneCost
	}
	if n == 0 {
		return
	}
	most := share(burstShare, gap)
	if e.pause(now, read) <= most {
		return
	}
	if read > most {
		// A lull before so long a prompt does not help.
		o.score += time.Duration(n) * lateCost
	}
	if !e.rested(now) {
		o.holds = true
		o.first += lull
	}
}

// adapterDelay returns the time until the engine can hold the call's adapter, and false when it cannot.
func (d *Scheduler) adapterDelay(now time.Time, a *ask, e *engine, o *option) (time.Duration, bool) {
	k := a.key()
	if ad := e.adapters[k]; ad != nil && !ad.leaving {
		delay := max(ad.ready.Sub(now), 0)
		if ad.pending {
			delay = max(delay, adapterTime/2)
		}
		return delay, true
	}
	if d.PlacementFrom.IsZero() {
		return crowded, true
	}
	if now.Before(e.noOrders) || now.Before(d.PlacementFrom) {
		return 0, false
	}
	kind := d.kind(e.Service)
	if len(e.adapters) < kind.AdapterSlots {
		o.loads = true
		return adapterTime, true
	}
	for other, ad := range e.adapters {
		if ad.calls > 0 || ad.pending || ad.leaving || now.Before(ad.ready) {
			continue
		}
		if o.evict == nil || ad.lastUse.Before(e.adapters[*o.evict].lastUse) {
			o.evict = &other
		}
	}
	if o.evict == nil {
		return 0, false
	}
	o.loads = true
	return adapterTime + adapterTime/2, true
}

// order asks for the call's adapter on the engine of the option.
func (d *Scheduler) order(now time.Time, a *ask, o *option) {
	e := o.engine
	need := AdapterLoad{Engine: e.ID, Model: a.Spec.Model, Adapter: a.Spec.Adapter}
	if o.evict != nil {
		need.EvictModel, need.EvictAdapter = o.evict.Model, o.evict.Name
		e.adapters[*o.evict].leaving = true
	}
	d.needs = append(d.needs, need)
	ad := e.adapter(now, a.key())
	ad.pending, ad.ready = true, now.Add(adapterTime)
	a.engine = e.ID
}

func (d *Scheduler) grant(now time.Time, a *ask, o *option) Decision {
	e := o.engine
	if a.Spec.Adapter != "" {
		ad := e.adapters[a.key()]
		if ad != nil && (ad.pending || now.Before(ad.ready)) {
			a.engine = e.ID
			return Decision{Kind: Waiting, Call: a.Call}
		}
	}
	t := d.ticket(now, e, a)
	e.add(now, t)
	e.cache.add(a.chain, a.Spec.Segments)
	streams, _ := e.streams()
	return Decision{Kind: Granted, Call: a.Call, Grant: Grant{
		Ticket: t.id, Engine: e.ID, Addr: e.Addr, Boot: e.Boot, PrefillTokens: t.tokens, PrefillTime: e.wait(now),
		Streams: streams,
	}}
}

func (d *Scheduler) ticket(now time.Time, e *engine, a *ask) *ticket {
	d.next++
	tokens, read := d.reading(a, e)
	t := &ticket{
		id: d.next, ask: a.Request, engine: e, granted: now, tokens: tokens, memory: tokens + a.Spec.OutputTokens,
		prefill: read, alone: e.wait(now) == 0,
	}
	d.tickets[t.id] = t
	return t
}

// reading returns the prompt tokens that the engine does not keep, and how long it takes to read them.
func (d *Scheduler) reading(a *ask, e *engine) (tokens int, read time.Duration) {
	tokens = a.Spec.PromptTokens - e.cache.known(a.chain, a.Spec.Segments)
	return tokens, time.Duration(float64(tokens) * float64(d.cost(a.Spec.Model)) * e.slow)
}

// awaitModel keeps a call while its model can still be loaded in time.
func (d *Scheduler) awaitModel(now time.Time, a *ask, left time.Duration) Decision {
	m := d.kind(a.Service).Model(a.Spec.Model)
	if m == nil {
		return d.refuse(a, ReasonUnknownModel, minRetryAfter)
	}
	need := m.LoadTime
	for _, e := range d.engines {
		if since, ok := e.loading[m.Name]; ok && e.known {
			need = min(need, max(m.LoadTime-now.Sub(since), 0))
		}
	}
	coming := need < m.LoadTime
	since := d.placesFor(a)
	need += max(since.Sub(now), 0)
	if d.PlacementFrom.IsZero() || need+answerOverhead > left || !coming && now.Sub(since) > orderTime {
		return d.refuse(a, ReasonNoReplica, need)
	}
	return Decision{Kind: Waiting, Call: a.Call}
}

// ahead estimates how long the engines of a model will read the prompts of calls that wait already.
func (d *Scheduler) ahead(a *ask, holders int) time.Duration {
	var sum time.Duration
	for _, w := range d.waiting {
		if w.Spec.Model == a.Spec.Model && w.Service == a.Service {
			sum += d.freshTime(&w.Spec)
		}
	}
	return sum / time.Duration(max(holders, 1))
}

// placesFor returns since when, or from when on, models and adapters may be placed for the call.
func (d *Scheduler) placesFor(a *ask) time.Time {
	if d.PlacementFrom.After(a.arrived) {
		return d.PlacementFrom
	}
	return a.arrived
}

// waitOrRefuse keeps a call that some engine holds the model for but no engine can take now, because its adapter cannot
// be loaded. Until adapters are placed for this desk that cannot change.
func (d *Scheduler) waitOrRefuse(now time.Time, a *ask, left time.Duration) Decision {
	if rest := d.PlacementFrom.Sub(now); rest > 0 {
		if rest+answerOverhead > a.patience(left) {
			return d.refuse(a, ReasonOverload, rest)
		}
		return Decision{Kind: Waiting, Call: a.Call}
	}
	if now.Sub(d.placesFor(a)) > share(holdShare, a.TargetLatency) || left < a.Remaining/2 {
		return d.refuse(a, ReasonOverload, minRetryAfter)
	}
	return Decision{Kind: Waiting, Call: a.Call}
}

// patience returns how long the call may wait for its first event. The time to read its own prompt is no reason to turn
// a large call away.
func (a *ask) patience(left time.Duration) time.Duration {
	most := share(patienceShare, left)
	if a.TargetLatency > 0 {
		most = min(most, share(lateMost, a.TargetLatency)+a.least)
	}
	return most
}

// order puts the call with the nearest target first, and calls that cannot meet theirs any more last.
func (a *ask) order(now time.Time, b *ask) int {
	at, bt := a.arrived.Add(a.TargetLatency), b.arrived.Add(b.TargetLatency)
	if c := less(now.Add(a.least).After(at), now.Add(b.least).After(bt)); c != 0 {
		return c
	}
	return at.Compare(bt)
}

func (d *Scheduler) refuse(a *ask, reason string, after time.Duration) Decision {
	return Decision{
		Kind: Refused, Call: a.Call, Reason: reason, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

// Engines returns the engines that may take orders, by service.
func (d *Scheduler) Engines() []*topo.Upstream {
	out := make([]*topo.Upstream, 0, len(d.engines))
	for _, e := range d.engines {
		if e.known && !e.Leaving {
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

func share(part float64, of time.Duration) time.Duration { return time.Duration(part * float64(of)) }
