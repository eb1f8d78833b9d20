package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/late"
	"github.com/figreel/figreel/internal/place"
	"github.com/figreel/figreel/internal/resid"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// planInterval is the interval between two placement plans.
	planInterval = 100 * time.Millisecond
	// reportInterval is the interval between two status reports of an engine. busyReportInterval replaces it while a
	// model is being loaded or unloaded, while an adapter waits for its runs to be unloaded, or while it is not known
	// what is resident. An order that no report confirms counts as ended after reportInterval.
	reportInterval     = time.Second
	busyReportInterval = 150 * time.Millisecond
	// reportTimeout and orderTimeout are the timeouts of one call to an engine.
	reportTimeout = 500 * time.Millisecond
	orderTimeout  = 700 * time.Millisecond
)

// reconciler sends orders to engines while this host is the leader.
type reconciler struct {
	self    string
	elector *elect.Elector
	cache   *storeCache
	tickets *ticketService
	engines EngineClient
	stats   *stats.Set
	log     zerolog.Logger

	mu       sync.Mutex
	states   map[string]*engineState
	late     late.Orders // sent by this host
	planners map[string]*place.Planner
}

// engineState is what the reconciler knows of one engine. Its orders are sent one after another.
type engineState struct {
	up            topo.Upstream
	orderMu       sync.Mutex // held while an order is sent
	mu            sync.Mutex
	resident      resid.Set
	report        *topo.Report
	polledAt      time.Time
	polling       bool
	loading       string    // model that an order is loading, or empty
	unloading     string    // model that an order is unloading, or empty
	orderedAt     time.Time // time of the last model order
	sending       bool      // a model order is being sent
	pendingOrders int       // orders without a response; meanwhile reports are ignored as possibly outdated
}

// run polls the engines and plans placements while this host is the leader, until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	r.states = make(map[string]*engineState)
	r.planners = make(map[string]*place.Planner)
	for clock.Sleep(ctx, planInterval) {
		delay, mayOrder := r.elector.OrderDelay()
		r.tickets.withScheduler(func(now time.Time, k *sched.Scheduler) {
			k.PlacementFrom = placementStart(now, k.PlacementFrom, delay, mayOrder)
		})
		if !r.elector.IsLeader() {
			continue
		}
		r.updateEngines()
		r.poll(ctx)
		r.plan(ctx)
	}
}

// updateEngines adds and removes engine states as the scheduler's list of engines changes. A restarted engine gets a
// new state.
func (r *reconciler) updateEngines() {
	var ups []*topo.Upstream
	r.tickets.withScheduler(func(_ time.Time, k *sched.Scheduler) { ups = k.Engines() })
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool, len(ups))
	for _, u := range ups {
		seen[u.ID] = true
		st := r.states[u.ID]
		if st == nil || st.up.Boot != u.Boot {
			r.states[u.ID] = &engineState{up: *u}
			continue
		}
		st.mu.Lock()
		st.up = *u
		st.mu.Unlock()
	}
	for id := range r.states {
		if !seen[id] {
			delete(r.states, id)
		}
	}
}

func (r *reconciler) poll(ctx context.Context) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, st := range r.states {
		st.mu.Lock()
		maxAge := reportInterval
		_, known := st.resident.Sequence()
		if st.loading != "" || st.unloading != "" || !known || st.resident.IsUnloadingAdapters() {
			maxAge = busyReportInterval
		}
		held := r.tickets.notices.HoldWait(now, st.up.Instance()) > 0
		due := !st.polling && now.Sub(st.polledAt) >= maxAge && !held
		if due {
			st.polling, st.polledAt = true, now
		}
		st.mu.Unlock()
		if due {
			go r.fetchReport(ctx, st)
		}
	}
}

// fetchReport fetches an engine's status report and applies it.
func (r *reconciler) fetchReport(ctx context.Context, st *engineState) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	st.mu.Lock()
	up := st.up
	st.mu.Unlock()
	rep, stated, err := r.engines.Report(ctx, &up)
	r.applyNotice(&up, stated)
	st.mu.Lock()
	st.polling = false
	if err != nil {
		st.mu.Unlock()
		r.stats.CountEvent("report_failed")
		return
	}
	if rep.Boot == 0 {
		rep.Boot = up.Boot
	}
	if rep.Boot != up.Boot || st.pendingOrders > 0 || !st.resident.ApplyReport(rep) {
		st.mu.Unlock()
		return
	}
	st.report = rep
	r.confirm(st, rep)
	st.mu.Unlock()
	r.tickets.withScheduler(func(now time.Time, k *sched.Scheduler) { k.SetReport(now, up.ID, rep) })
}

// applyNotice records what an engine states in a response to the leader.
func (r *reconciler) applyNotice(u *topo.Upstream, n topo.Notice) {
	r.tickets.notices.Apply(time.Now(), time.Time{}, u.Instance(), n)
}

// confirm ends the load and the unload in progress that the report confirms, or that have taken longer than
// reportInterval on an engine that is not busy.
func (r *reconciler) confirm(st *engineState, rep *topo.Report) {
	resident := func(model string) bool {
		return slices.ContainsFunc(rep.Models, func(m topo.Resident) bool { return m.Name == model })
	}
	if st.sending || rep.Busy {
		return
	}
	if st.loading != "" && (resident(st.loading) || time.Since(st.orderedAt) > reportInterval) {
		r.log.Info().Str("upstream", st.up.ID).Str("model", st.loading).Bool("held", resident(st.loading)).
			Dur("took_ms", time.Since(st.orderedAt)).Msg("model load ended")
		st.loading = ""
	}
	if st.unloading != "" && (!resident(st.unloading) || time.Since(st.orderedAt) > reportInterval) {
		st.unloading = ""
	}
}

func (r *reconciler) plan(ctx context.Context) {
	if _, ok := r.elector.Fence(); !ok {
		return
	}
	c := r.cache.Config()
	if c == nil {
		return
	}
	now := time.Now()
	byService := make(map[string][]place.Engine)
	var demand map[string]sched.ModelDemand
	r.tickets.withScheduler(func(now time.Time, k *sched.Scheduler) { demand = k.Demand(now) })
	r.mu.Lock()
	for _, st := range r.states {
		byService[st.up.Service] = append(byService[st.up.Service], r.engine(now, st))
	}
	r.mu.Unlock()
	for name, list := range byService {
		spec := c.Services[name].Engine
		if spec == nil {
			continue
		}
		p := r.planners[name]
		if p == nil {
			p = &place.Planner{}
			r.planners[name] = p
		}
		p.Spec = spec
		slices.SortFunc(list, func(a, b place.Engine) int { return strings.Compare(a.ID, b.ID) })
		for _, o := range p.Plan(now, list, demand) {
			go r.execute(ctx, o)
		}
	}
}

// engine returns the planner's view of an engine.
func (r *reconciler) engine(now time.Time, st *engineState) place.Engine {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, known := st.resident.Sequence()
	e := place.Engine{
		ID: st.up.ID, Software: st.up.Software, Loading: st.loading, Unloading: st.unloading,
		Calls: make(map[string]int), Busy: !known || st.report.Busy || st.sending,
	}
	// Until an engine has reported, the models in its upstream entry count as resident, so that they are not loaded
	// again.
	models := st.up.Models
	if st.report != nil {
		e.InRAM, e.OnDisk, models = st.report.InRAM, st.report.OnDisk, st.report.Models
	}
	for _, m := range models {
		e.Resident = append(e.Resident, m.Name)
	}
	r.tickets.mu.Lock()
	for _, m := range e.Resident {
		e.Calls[m] = r.tickets.scheduler.Calls(e.ID, m)
	}
	e.Backlog = r.tickets.scheduler.Backlog(now, e.ID)
	e.Speed = r.tickets.scheduler.UsualSpeed(e.ID)
	r.tickets.mu.Unlock()
	return e
}

// execute sends a load or unload order for a model. Before an unload, the scheduler stops sending calls for the model
// to the engine; it resumes if the order was not accepted.
func (r *reconciler) execute(ctx context.Context, o place.Order) {
	r.mu.Lock()
	st := r.states[o.Engine]
	r.mu.Unlock()
	if st == nil {
		return
	}
	st.mu.Lock()
	if st.sending {
		st.mu.Unlock()
		return
	}
	st.sending, st.orderedAt = true, time.Now()
	if o.Unload {
		st.unloading = o.Model
	} else {
		st.loading = o.Model
	}
	st.mu.Unlock()
	if o.Unload {
		r.tickets.withScheduler(func(_ time.Time, k *sched.Scheduler) { k.DrainModel(o.Engine, o.Model) })
	}
	result := r.send(ctx, st, topo.Order{Unload: o.Unload, Model: o.Model})
	st.mu.Lock()
	st.sending = false
	if result != topo.OrderAccepted {
		st.loading, st.unloading = "", ""
	}
	st.mu.Unlock()
	if result == topo.OrderAccepted {
		return
	}
	r.tickets.withScheduler(func(_ time.Time, k *sched.Scheduler) { k.UndrainModel(o.Engine, o.Model) })
}

// loadAdapters starts adapter loads; orders for one engine are sent one after another.
func (r *reconciler) loadAdapters(ctx context.Context, loads []sched.AdapterLoad) {
	for _, load := range loads {
		r.mu.Lock()
		st := r.states[load.Engine]
		r.mu.Unlock()
		if st == nil {
			r.adapterFailed(load)
			continue
		}
		go r.loadAdapter(ctx, st, load)
	}
}

// loadAdapter unloads the adapter to evict, if there is one, and loads the requested one if that has freed a slot.
// While the engine still runs a call with the adapter to evict, because it does not notice that callers leave, the
// call for the requested one may wait for that slot or use another engine.
func (r *reconciler) loadAdapter(ctx context.Context, st *engineState, load sched.AdapterLoad) {
	if load.EvictAdapter != "" {
		result := r.send(ctx, st, topo.Order{Unload: true, Model: load.EvictModel, Adapter: load.EvictAdapter})
		if result == topo.OrderAccepted {
			r.stats.CountEvent("adapter_in_use")
			r.log.Info().Str("upstream", load.Engine).Str("model", load.EvictModel).Str("adapter", load.EvictAdapter).
				Str("for", load.Adapter).Msg("adapter is unloaded when its runs have ended")
		}
		if result != topo.OrderNoChange {
			r.adapterFailed(load)
			return
		}
	}
	if r.send(ctx, st, topo.Order{Model: load.Model, Adapter: load.Adapter}) != topo.OrderAccepted {
		r.adapterFailed(load)
	}
}

func (r *reconciler) adapterFailed(load sched.AdapterLoad) {
	r.tickets.withScheduler(func(now time.Time, k *sched.Scheduler) { k.AdapterFailed(now, load) })
}

// send sends one order. It carries the number of orders that the engine has accepted so far, so that the engine rejects
// a copy that arrives later. Of an order to unload an adapter, topo.OrderNoChange says that the adapter is gone, and
// topo.OrderAccepted that it goes when its runs have ended.
func (r *reconciler) send(ctx context.Context, st *engineState, o topo.Order) topo.OrderResult {
	st.orderMu.Lock()
	defer st.orderMu.Unlock()
	spec := r.engineSpec(st)
	st.mu.Lock()
	up := st.up
	st.mu.Unlock()
	r.mu.Lock()
	before := r.late.Before(time.Now(), up.Instance())
	r.mu.Unlock()
	st.mu.Lock()
	fits := spec != nil && st.resident.Fits(spec, &o, before)
	o.ExpectedSequence, _ = st.resident.Sequence()
	st.mu.Unlock()
	if !fits {
		r.stats.CountEvent("order_does_not_fit")
		return topo.OrderRejected
	}
	if r.tickets.notices.HoldWait(time.Now(), up.Instance()) > 0 {
		r.stats.CountEvent("order_held")
		return topo.OrderRejected
	}
	fence, ok := r.elector.Fence()
	if !ok {
		return topo.OrderRejected
	}
	o.Leader, o.Fence = r.self, fence
	st.mu.Lock()
	st.pendingOrders++
	st.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	start := time.Now()
	result, stated, err := r.engines.Order(ctx, &up, &o)
	r.applyNotice(&up, stated)
	r.log.Info().Err(err).Str("upstream", up.ID).Bool("unload", o.Unload).Str("model", o.Model).
		Str("adapter", o.Adapter).Int64("expected", o.ExpectedSequence).Int64("token", o.Fence).
		Uint8("result", uint8(result)).Dur("took_ms", time.Since(start)).Msg("order sent")
	if result == topo.OrderUnknown {
		r.mu.Lock()
		r.late.Add(time.Now(), up.Instance(), o)
		r.mu.Unlock()
	}
	// An engine unloads an unused adapter immediately, so this result also means that the order took effect.
	accepted := result == topo.OrderAccepted || result == topo.OrderNoChange && o.Adapter != "" && o.Unload
	st.mu.Lock()
	st.pendingOrders--
	if accepted {
		st.resident.ApplyOrder(&o, result)
	} else {
		st.resident.Invalidate()
		st.polledAt = time.Time{}
	}
	st.mu.Unlock()
	if accepted {
		r.tickets.withScheduler(func(now time.Time, k *sched.Scheduler) {
			k.OrderAccepted(now, up.ID, &o, o.ExpectedSequence+1, result)
		})
	}
	return result
}

// engineSpec returns the configuration of the engines of st's service, or nil.
func (r *reconciler) engineSpec(st *engineState) *topo.EngineSpec {
	c := r.cache.Config()
	if c == nil {
		return nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return c.Services[st.up.Service].Engine
}

// placementStart returns the time from which this host may send orders, or the zero time if it may not. Without a delay
// it returns the previous start time if that has passed.
func placementStart(now, previous time.Time, delay time.Duration, mayOrder bool) time.Time {
	switch {
	case !mayOrder:
		return time.Time{}
	case delay == 0 && !previous.IsZero() && !previous.After(now):
		return previous
	}
	return now.Add(delay)
}
