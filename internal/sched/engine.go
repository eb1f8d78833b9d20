package sched

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/speed"
	"github.com/figreel/figreel/internal/topo"
)

// engine is the known and estimated state of one engine.
type engine struct {
	topo.Upstream
	tickets          map[uint64]*ticket
	cache            *cache
	adapters         map[topo.Adapter]*adapter
	models           map[string]bool
	draining         map[string]bool      // models that get no new calls, because they are about to be unloaded
	loading          map[string]time.Time // when the load of a model was accepted
	notResidentUntil map[string]time.Time // by model, after the engine lacked it or an adapter
	// prefills are the calls without a first event in the order of their grants; usualBacklog is the sum of their
	// prefill times on an engine of usual speed. headSince is when the engine is assumed to have begun with the first.
	prefills     []*ticket
	usualBacklog time.Duration
	headSince    time.Time
	// prefillUntil is the time at which the prefill of all prompts sent is expected to end.
	prefillUntil time.Time
	// prefillSince is when the current period of prefill without a decode interval began.
	prefillSince        time.Time
	kvTokens            int       // KV cache of the open tickets, in tokens
	kvTotal             int       // size of the KV cache, in tokens
	backoffUntil        time.Time // until then no calls are sent
	failures            int       // consecutive failures
	reserved            bool      // reserved for long prompts
	speed               *speed.Engine
	load                topo.Load // as stated in the newest response
	loadAt              time.Time // when it arrived
	delayed             int       // queued calls that wait for this engine's limit
	listed              bool      // in the latest list of upstreams
	sequence            int64     // orders accepted since the start of the instance
	reportedAt          time.Time // time of the last report
	noAdapterLoadsUntil time.Time // until then no adapter loads are requested
	// streamGaps counts the calls that are streaming events, by gap target; calls without one are left out.
	streamGaps map[time.Duration]int
}

func newEngine(u *topo.Upstream, kvTokens int) *engine {
	return &engine{
		Upstream: *u, tickets: make(map[uint64]*ticket), cache: newCache(int(cacheShare * float64(kvTokens))),
		adapters: make(map[topo.Adapter]*adapter), models: make(map[string]bool), draining: make(map[string]bool),
		loading: make(map[string]time.Time), notResidentUntil: make(map[string]time.Time),
		kvTotal: kvTokens, streamGaps: make(map[time.Duration]int),
	}
}

// instanceName identifies the engine process since its last start.
func (e *engine) instanceName() string { return topo.Instance{ID: e.ID, Boot: e.Boot}.String() }

// setModels applies the resident models and adapters that the engine reports, and its adapter loads in progress. It
// reports whether the resident or loading models have changed.
func (e *engine) setModels(now time.Time, list []topo.Resident, loading map[topo.Adapter]bool) (changed bool) {
	models := make(map[string]bool, len(list))
	resident := make(map[topo.Adapter]bool)
	for _, m := range list {
		models[m.Name] = true
		if _, ok := e.loading[m.Name]; ok {
			delete(e.loading, m.Name)
			changed = true
		}
		for _, a := range m.Adapters {
			resident[topo.Adapter{Model: m.Name, Name: a}] = true
		}
	}
	changed = changed || !maps.Equal(models, e.models)
	e.models = models
	for name := range e.draining {
		if !e.models[name] {
			delete(e.draining, name)
		}
	}
	for k := range resident {
		a := e.adapters[k]
		if a == nil {
			a = &adapter{lastUse: now}
			e.adapters[k] = a
		}
		a.requested = false
	}
	for k, a := range e.adapters {
		// A report may be older than the load of an adapter.
		confirmed := now.Sub(a.readyAt) > maxReportAge
		if !resident[k] && !loading[k] && confirmed && a.calls == 0 || !e.models[k.Model] {
			delete(e.adapters, k)
		}
	}
	return changed
}

// prefillBacklog returns the estimated time until the prefill of all prompts sent has ended.
func (e *engine) prefillBacklog(now time.Time) time.Duration {
	if len(e.prefills) == 0 {
		return max(e.prefillUntil.Sub(now), 0)
	}
	slowdown, head := e.currentSlowdown(now), e.prefills[0].usualPrefill
	headRest := scale(slowdown, head) - now.Sub(e.headSince)
	if headRest < 0 {
		// A late prefill is expected to take as long again as it is late.
		headRest = -headRest
	}
	// The engine may be slower than estimated, so an outstanding prefill never counts as ended.
	return max(scale(slowdown, e.usualBacklog-head)+headRest, latePrefill)
}

// lateSlowdown returns the slowdown that the age of the first outstanding prefill shows, or 0 if it is not late yet.
func (e *engine) lateSlowdown(now time.Time, assumed float64) float64 {
	if len(e.prefills) == 0 {
		return 0
	}
	usual := max(e.prefills[0].usualPrefill, latePrefill)
	took := now.Sub(e.headSince) - responseOverhead
	if took < scale(lateFactor*assumed, usual) {
		return 0
	}
	return min(float64(took)/float64(usual), maxSlowdown)
}

// serves reports whether calls for the model may be sent to the engine.
func (e *engine) serves(now time.Time, model string) bool {
	return e.listed && !e.Leaving && e.models[model] && !e.draining[model] && !now.Before(e.backoffUntil) &&
		!now.Before(e.notResidentUntil[model])
}

// addTicket adds a ticket to the engine's memory use, prefill backlog and adapter use.
func (e *engine) addTicket(now time.Time, t *ticket) {
	e.tickets[t.id] = t
	e.kvTokens += t.kvTokens
	if !t.firstEvent {
		if e.decoded(now) {
			e.prefillSince = now
		}
		e.prefillUntil = now.Add(e.prefillBacklog(now) + t.prefill)
		e.addPrefill(now, t)
	} else {
		e.countStream(t, 1)
	}
	if t.request.Spec.Adapter != "" {
		a := e.ensureAdapter(now, t.adapterKey())
		a.calls++
		a.lastUse = now
	}
}

// ensureAdapter returns the state of an adapter and creates it if it is missing.
func (e *engine) ensureAdapter(now time.Time, k topo.Adapter) *adapter {
	a := e.adapters[k]
	if a == nil {
		a = &adapter{lastUse: now}
		e.adapters[k] = a
	}
	return a
}

// removeTicket deletes a ticket and releases its share of memory, prefill backlog and adapter use.
func (e *engine) removeTicket(now time.Time, t *ticket) {
	delete(e.tickets, t.id)
	e.kvTokens -= t.kvTokens
	if !t.firstEvent {
		e.removePrefill(now, t)
	} else {
		e.countStream(t, -1)
	}
	if a := e.adapters[t.adapterKey()]; a != nil {
		a.calls = max(a.calls-1, 0)
	}
}

// startStream records the first event of a call.
func (e *engine) startStream(now time.Time, t *ticket) {
	t.firstEvent = true
	e.headSince = now
	e.removePrefill(now, t)
	e.countStream(t, 1)
}

// countStream adds n to the number of streams with the call's gap target.
func (e *engine) countStream(t *ticket, n int) {
	gap := t.request.GapTarget
	if gap <= 0 {
		return
	}
	e.streamGaps[gap] += n
	if e.streamGaps[gap] <= 0 {
		delete(e.streamGaps, gap)
	}
}

// streams returns the number of calls with a gap target that are streaming events, and the shortest of these targets.
func (e *engine) streams() (n int, gap time.Duration) {
	for g, count := range e.streamGaps {
		n += count
		if gap == 0 || g < gap {
			gap = g
		}
	}
	return n, gap
}

// currentSlowdown returns the expected ratio of prefill time to its usual value. A stated slowdown counts for the more
// the newer it is.
func (e *engine) currentSlowdown(now time.Time) float64 {
	slowness := e.speed.Slowness(now)
	if age := now.Sub(e.loadAt); e.load.Slots > 0 && age <= maxLoadAge {
		weight := math.Exp(-age.Seconds() / loadTimeConstant.Seconds())
		stated := min(max(e.load.Slowdown, 1/maxStatedSlowdown), maxStatedSlowdown)
		slowness += weight * (stated - slowness)
	}
	return max(slowness, e.lateSlowdown(now, slowness))
}

// stallTime returns how long the running streams would get no event if a prompt with this prefill time came next.
func (e *engine) stallTime(now time.Time, prefill time.Duration) time.Duration {
	if e.decoded(now) {
		return prefill
	}
	return e.prefillBacklog(now) + now.Sub(e.prefillSince) + prefill
}

// decoded reports whether the last prefill ended long enough ago that the running streams have produced events.
func (e *engine) decoded(now time.Time) bool {
	return len(e.prefills) == 0 && now.After(e.prefillUntil.Add(decodeInterval))
}

func (e *engine) addPrefill(now time.Time, t *ticket) {
	if len(e.prefills) == 0 {
		e.headSince = now
	}
	e.prefills = append(e.prefills, t)
	e.usualBacklog += t.usualPrefill
}

// removePrefill removes an outstanding prompt and shortens the prefill backlog to the sum of the others.
func (e *engine) removePrefill(now time.Time, t *ticket) {
	if e.prefills[0] == t {
		e.headSince = now
	}
	e.prefills = slices.DeleteFunc(e.prefills, func(other *ticket) bool { return other == t })
	e.usualBacklog -= t.usualPrefill
	var rest time.Duration
	if len(e.prefills) > 0 {
		rest = scale(e.currentSlowdown(now), e.usualBacklog)
	}
	if until := now.Add(rest); until.Before(e.prefillUntil) {
		e.prefillUntil = until
	}
}

func (e *engine) callsFor(model string) int {
	n := 0
	for _, t := range e.tickets {
		if t.request.Spec.Model == model {
			n++
		}
	}
	return n
}

func (t *ticket) adapterKey() topo.Adapter { return t.request.adapterKey() }
