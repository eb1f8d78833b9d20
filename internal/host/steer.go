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
	"github.com/figreel/figreel/internal/place"
	"github.com/figreel/figreel/internal/resid"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// planEvery is the pause between two plans.
	planEvery = 100 * time.Millisecond
	// reportEvery is the age at which a report is renewed; while an order is carried out it is reportSoon.
	reportEvery = time.Second
	reportSoon  = 150 * time.Millisecond
	// reportTimeout and orderTimeout bound one call to an engine.
	reportTimeout = 500 * time.Millisecond
	orderTimeout  = 700 * time.Millisecond
)

// steer sends orders to engines while this host holds the seat.
type steer struct {
	self    string
	seat    *elect.Elector
	view    *view
	desk    *dispatch
	engines EngineClient
	stats   *stats.Set
	log     zerolog.Logger

	mu       sync.Mutex
	helms    map[string]*helm
	planners map[string]*place.Planner
}

// helm is the order of events at one engine; its orders go out one after another.
type helm struct {
	up      topo.Upstream
	turn    sync.Mutex
	mu      sync.Mutex
	cargo   resid.Set
	report  *topo.Report
	asked   time.Time
	polling bool
	loading string
	closing string
	began   time.Time
	sending bool
	awaits  int // orders without an answer yet; reports from before the answer say nothing new
}

// run plans until ctx ends.
func (s *steer) run(ctx context.Context) {
	s.helms = make(map[string]*helm)
	s.planners = make(map[string]*place.Planner)
	for clock.Sleep(ctx, planEvery) {
		in, able := s.seat.OrderDelay()
		s.desk.with(func(now time.Time, k *sched.Scheduler) {
			k.PlacementFrom = placesFrom(now, k.PlacementFrom, in, able)
		})
		if !s.seat.IsLeader() {
			continue
		}
		s.refresh()
		s.poll(ctx)
		s.plan(ctx)
	}
}

// refresh takes over which engines exist.
func (s *steer) refresh() {
	var ups []*topo.Upstream
	s.desk.with(func(_ time.Time, k *sched.Scheduler) { ups = k.Engines() })
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool, len(ups))
	for _, u := range ups {
		seen[u.ID] = true
		h := s.helms[u.ID]
		if h == nil || h.up.Boot != u.Boot {
			s.helms[u.ID] = &helm{up: *u}
			continue
		}
		h.mu.Lock()
		h.up = *u
		h.mu.Unlock()
	}
	for id := range s.helms {
		if !seen[id] {
			delete(s.helms, id)
		}
	}
}

func (s *steer) poll(ctx context.Context) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.helms {
		h.mu.Lock()
		age := reportEvery
		_, known := h.cargo.Sequence()
		if h.loading != "" || h.closing != "" || !known {
			age = reportSoon
		}
		due := !h.polling && now.Sub(h.asked) >= age
		if due {
			h.polling, h.asked = true, now
		}
		h.mu.Unlock()
		if due {
			go s.ask(ctx, h)
		}
	}
}

// ask fetches a report and takes it over.
func (s *steer) ask(ctx context.Context, h *helm) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	h.mu.Lock()
	up := h.up
	h.mu.Unlock()
	r, err := s.engines.Report(ctx, &up)
	h.mu.Lock()
	h.polling = false
	if err != nil {
		h.mu.Unlock()
		s.stats.CountEvent("report_failed")
		return
	}
	if r.Boot == 0 {
		r.Boot = up.Boot
	}
	if r.Boot != up.Boot || h.awaits > 0 || !h.cargo.ApplyReport(r) {
		h.mu.Unlock()
		return
	}
	h.report = r
	s.settle(h, r)
	h.mu.Unlock()
	s.desk.with(func(now time.Time, k *sched.Scheduler) { k.SetReport(now, up.ID, r) })
}

// settle ends an order that the report shows to be done.
func (s *steer) settle(h *helm, r *topo.Report) {
	holds := func(model string) bool {
		return slices.ContainsFunc(r.Models, func(m topo.Resident) bool { return m.Name == model })
	}
	if h.sending || r.Busy {
		return
	}
	if h.loading != "" && (holds(h.loading) || time.Since(h.began) > reportEvery) {
		s.log.Info().Str("upstream", h.up.ID).Str("model", h.loading).Bool("held", holds(h.loading)).
			Dur("took_ms", time.Since(h.began)).Msg("load ended")
		h.loading = ""
	}
	if h.closing != "" && (!holds(h.closing) || time.Since(h.began) > reportEvery) {
		h.closing = ""
	}
}

func (s *steer) plan(ctx context.Context) {
	if _, ok := s.seat.Fence(); !ok {
		return
	}
	c := s.view.Config()
	if c == nil {
		return
	}
	now := time.Now()
	byService := make(map[string][]place.Engine)
	var needs map[string]sched.ModelDemand
	s.desk.with(func(now time.Time, k *sched.Scheduler) { needs = k.Demand(now) })
	s.mu.Lock()
	for _, h := range s.helms {
		byService[h.up.Service] = append(byService[h.up.Service], s.engine(now, h))
	}
	s.mu.Unlock()
	for name, list := range byService {
		kind := c.Services[name].Engine
		if kind == nil {
			continue
		}
		p := s.planners[name]
		if p == nil {
			p = &place.Planner{}
			s.planners[name] = p
		}
		p.Spec = kind
		slices.SortFunc(list, func(a, b place.Engine) int { return strings.Compare(a.ID, b.ID) })
		for _, o := range p.Plan(now, list, needs) {
			go s.carryOut(ctx, o)
		}
	}
}

// engine describes an engine to the planner.
func (s *steer) engine(now time.Time, h *helm) place.Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, known := h.cargo.Sequence()
	e := place.Engine{
		ID: h.up.ID, Loading: h.loading, Unloading: h.closing, Calls: make(map[string]int),
		Busy: !known || h.report.Busy || h.sending,
	}
	// Until an engine has reported, its entry in the list tells what it holds; its models are not taken for missing.
	models := h.up.Models
	if h.report != nil {
		e.InRAM, e.OnDisk, models = h.report.InRAM, h.report.OnDisk, h.report.Models
	}
	for _, m := range models {
		e.Resident = append(e.Resident, m.Name)
	}
	s.desk.mu.Lock()
	for _, m := range e.Resident {
		e.Calls[m] = s.desk.desk.Calls(e.ID, m)
	}
	e.Backlog = s.desk.desk.Backlog(now, e.ID)
	s.desk.mu.Unlock()
	return e
}

// carryOut sends an order for a model.
func (s *steer) carryOut(ctx context.Context, o place.Order) {
	s.mu.Lock()
	h := s.helms[o.Engine]
	s.mu.Unlock()
	if h == nil {
		return
	}
	h.mu.Lock()
	if h.sending {
		h.mu.Unlock()
		return
	}
	h.sending, h.began = true, time.Now()
	if o.Unload {
		h.closing = o.Model
	} else {
		h.loading = o.Model
	}
	h.mu.Unlock()
	if o.Unload {
		s.desk.with(func(_ time.Time, k *sched.Scheduler) { k.DrainModel(o.Engine, o.Model) })
	}
	got := s.send(ctx, h, topo.Order{Unload: o.Unload, Model: o.Model})
	h.mu.Lock()
	h.sending = false
	if got != topo.OrderAccepted {
		h.loading, h.closing = "", ""
	}
	h.mu.Unlock()
	if got == topo.OrderAccepted {
		return
	}
	s.desk.with(func(_ time.Time, k *sched.Scheduler) { k.UndrainModel(o.Engine, o.Model) })
}

// adapters carries out orders for adapters, engine by engine.
func (s *steer) adapters(ctx context.Context, needs []sched.AdapterLoad) {
	for _, n := range needs {
		s.mu.Lock()
		h := s.helms[n.Engine]
		s.mu.Unlock()
		if h == nil {
			s.adapterFailed(n)
			continue
		}
		go s.adapter(ctx, h, n)
	}
}

func (s *steer) adapter(ctx context.Context, h *helm, n sched.AdapterLoad) {
	if n.EvictAdapter != "" {
		got := s.send(ctx, h, topo.Order{Unload: true, Model: n.EvictModel, Adapter: n.EvictAdapter})
		if got != topo.OrderAccepted {
			s.adapterFailed(n)
			return
		}
	}
	if s.send(ctx, h, topo.Order{Model: n.Model, Adapter: n.Adapter}) != topo.OrderAccepted {
		s.adapterFailed(n)
	}
}

func (s *steer) adapterFailed(n sched.AdapterLoad) {
	s.desk.with(func(now time.Time, k *sched.Scheduler) { k.AdapterFailed(now, n.Engine, n.Model, n.Adapter) })
}

// send sends one order under the number of orders that the engine has accepted, so that a late copy has no effect.
func (s *steer) send(ctx context.Context, h *helm, o topo.Order) topo.OrderResult {
	h.turn.Lock()
	defer h.turn.Unlock()
	kind := s.kind(h)
	h.mu.Lock()
	up := h.up
	fits := kind != nil && h.cargo.Fits(kind, &o)
	o.ExpectedSequence, _ = h.cargo.Sequence()
	h.mu.Unlock()
	if !fits {
		s.stats.CountEvent("order_does_not_fit")
		return topo.OrderRejected
	}
	token, ok := s.seat.Fence()
	if !ok {
		return topo.OrderRejected
	}
	o.Leader, o.Fence = s.self, token
	h.mu.Lock()
	h.awaits++
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	start := time.Now()
	got, err := s.engines.Order(ctx, &up, &o)
	s.log.Info().Err(err).Str("upstream", up.ID).Bool("unload", o.Unload).Str("model", o.Model).
		Str("adapter", o.Adapter).Int64("expected", o.ExpectedSequence).Int64("token", o.Fence).
		Uint8("result", uint8(got)).Dur("took_ms", time.Since(start)).Msg("order")
	if got == topo.OrderNoChange && o.Adapter != "" && o.Unload {
		// Unused adapters are dropped at once.
		got = topo.OrderAccepted
	}
	h.mu.Lock()
	h.awaits--
	if got == topo.OrderAccepted {
		h.cargo.ApplyOrder(&o)
	} else {
		h.cargo.Invalidate()
		h.asked = time.Time{}
	}
	h.mu.Unlock()
	if got == topo.OrderAccepted {
		s.desk.with(func(now time.Time, k *sched.Scheduler) { k.OrderAccepted(now, up.ID, &o, o.ExpectedSequence+1) })
	}
	return got
}

// kind describes the engines of the helm's service.
func (s *steer) kind(h *helm) *topo.EngineSpec {
	c := s.view.Config()
	if c == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return c.Services[h.up.Service].Engine
}

// placesFrom returns from when on orders are sent; a time in the past stays as it is.
func placesFrom(now, last time.Time, in time.Duration, able bool) time.Time {
	switch {
	case !able:
		return time.Time{}
	case in == 0 && !last.IsZero() && !last.After(now):
		return last
	}
	return now.Add(in)
}
