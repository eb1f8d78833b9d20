package replay

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// Dispatch routes calls with the real dispatcher.
	Dispatch Router = "dispatcher"
	// RoundRobin sends each call to the next engine on which its model is resident.
	RoundRobin Router = "round robin"
	// LeastLoaded sends each call to the engine with the lowest reported load.
	LeastLoaded Router = "least loaded"

	// Planned places models with the planner.
	Planned Placement = "planner"
	// Static keeps the initial placement.
	Static Placement = "static"
	// ReactiveLRU loads an item once calls wait for it, and evicts the least recently used items to make space.
	ReactiveLRU Placement = "reactive LRU"

	// detectionMS is the time until the pool's owner notices that an engine failed or recovered.
	detectionMS = 1000.0
	// reportMS is the interval between load reports of an engine.
	reportMS = 500.0
	// planMS is the interval between runs of the planner.
	planMS = 250.0
	// sendMS is the time from a ticket to the arrival of the call at the engine.
	sendMS = 1.0
	// unloadMS is the time that an unload takes.
	unloadMS = 100.0
	// progressMS is the interval between progress reports of an attempt.
	progressMS = 2000.0
	// drainMS is the time after the end of the trace in which open calls can still finish. Calls that are open after it
	// count as unfinished. A call of a class without a target for the total time must complete within drainMS after its
	// deadline.
	drainMS = 180_000.0
	// hedgeBudget and hedgeCredit limit hedges to a share of the granted tickets plus a fixed number; package serve
	// uses the same share.
	hedgeBudget = 0.05
	hedgeCredit = 10
	// maxAttempts limits the attempts of a call; it equals the limit of package relay.
	maxAttempts  = 4
	downReloadMS = 2000.0
)

// epochStart is the start of virtual time; a fixed date keeps runs deterministic.
var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// Router names the method that chooses an engine for a call.
	Router string

	// Placement names the method that chooses which models engines load.
	Placement string

	// Planner returns the loads and unloads for a pool.
	Planner interface {
		Plan(now time.Time, in plan.Input) []plan.Action
	}

	// Run describes one replay: Workload is the simulated environment, and NewPlanner returns a planner for each pool.
	Run struct {
		Workload   *trace.Workload
		Calls      []trace.Call
		Router     Router
		Placement  Placement
		Tune       pool.Tunables
		NewPlanner func(doc *envdoc.Doc, pool string) Planner
	}

	// Outcome is the result of one call. Times are in milliseconds since its arrival, or -1 if unknown; Code is empty
	// for a completed call.
	Outcome struct {
		Call *trace.Call
		// WaitMS is the time until the first ticket.
		WaitMS       float64
		FirstTokenMS float64
		TotalMS      float64
		Code         string
		Attained     bool
	}

	// Result holds the outcomes and counters of a replay. Granted counts tickets, Overcommits loads that the planner
	// ordered beyond an engine's memory.
	Result struct {
		Outcomes     []Outcome
		ModelLoads   int
		AdapterLoads int
		Hedges       int
		Moved        int
		Granted      int
		Overcommits  int
	}

	// liveCall is a call that has not finished. requesting and requestingHedge mark its open ticket requests.
	liveCall struct {
		id              string
		trace           *trace.Call
		pool            *poolSim
		attempts        []*attempt
		triedEngines    []string
		tokens          int
		attemptsStarted int
		waitMS          float64
		firstTokenMS    float64
		requesting      bool
		requestingHedge bool
		ended           bool
	}

	// sim is a discrete-event simulation; events at the same time run in the order in which they were scheduled.
	sim struct {
		run         *Run
		doc         *envdoc.Doc
		nowMS       float64
		events      events
		seq         int
		pools       []*poolSim
		byPool      map[string]*poolSim
		weightStore weightStore
		classes     map[string]envdoc.Class
		result      *Result
		unfinished  int
	}

	// poolSim is a simulated pool. itemOf maps the name of a model or adapter to its item, baseOf an adapter's item to
	// that of its base model, and sizeOf an item to its memory in MB. wakeMS is the time of the next scheduled
	// dispatcher step.
	poolSim struct {
		name       string
		engines    []*engine
		byName     map[string]*engine
		dispatcher *pool.Dispatcher
		planner    Planner
		models     []envdoc.Model
		adapters   []envdoc.Adapter
		baseOf     map[string]string
		itemOf     map[string]string
		sizeOf     map[string]int
		calls      map[string]*liveCall
		pending    []*liveCall
		wakeMS     float64
		nextEngine int
	}

	event struct {
		atMS float64
		seq  int
		f    func()
	}

	events []event
)

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].atMS < h[j].atMS || h[i].atMS == h[j].atMS && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *events) Push(v any) { *h = append(*h, v.(event)) }

// Pop implements heap.Interface.
func (h *events) Pop() any {
	last := len(*h) - 1
	v := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return v
}

// Do replays the calls and returns their outcomes. It is deterministic: the same run gives the same result.
func (r *Run) Do() *Result {
	s := &sim{run: r, doc: r.Workload.Doc(), byPool: map[string]*poolSim{}, result: &Result{}}
	s.classes = map[string]envdoc.Class{}
	for _, c := range s.doc.Classes {
		s.classes[c.Name] = c
	}
	s.weightStore = newWeightStore(s)
	for _, p := range s.doc.Pools {
		s.addPool(p)
	}
	s.result.Outcomes = make([]Outcome, len(r.Calls))
	s.unfinished = len(r.Calls)
	for i := range r.Calls {
		c := &r.Calls[i]
		o := &s.result.Outcomes[i]
		*o = Outcome{Call: c, WaitMS: -1, FirstTokenMS: -1, TotalMS: -1, Code: "unfinished"}
		s.at(c.AtMS, func() { s.arrive(c, i) })
	}
	s.schedule()
	s.loop()
	return s.result
}

func (s *sim) loop() {
	limit := s.run.Workload.DurationS*1000 + drainMS
	for len(s.events) > 0 && s.unfinished > 0 {
		ev := heap.Pop(&s.events).(event)
		if ev.atMS > limit {
			return
		}
		s.nowMS = ev.atMS
		ev.f()
	}
}

func (s *sim) at(ms float64, f func()) {
	s.seq++
	heap.Push(&s.events, event{ms, s.seq, f})
}

func (s *sim) after(ms float64, f func()) { s.at(s.nowMS+ms, f) }

func (s *sim) time() time.Time { return timeAt(s.nowMS) }

func timeAt(ms float64) time.Time {
	return epochStart.Add(time.Duration(ms * float64(time.Millisecond)))
}

func (s *sim) addPool(doc envdoc.Pool) {
	p := &poolSim{
		name: doc.Name, byName: map[string]*engine{}, calls: map[string]*liveCall{},
		baseOf: map[string]string{}, itemOf: map[string]string{}, sizeOf: map[string]int{},
	}
	for _, m := range s.doc.Models {
		if m.Pool == doc.Name {
			p.models = append(p.models, m)
			p.itemOf[m.Name] = m.Item()
			p.sizeOf[m.Item()] = m.MemoryMB
		}
	}
	for _, a := range s.doc.Adapters {
		if base, ok := p.itemOf[a.Model]; ok {
			p.adapters = append(p.adapters, a)
			p.itemOf[a.Name] = a.Item()
			p.baseOf[a.Item()] = base
			p.sizeOf[a.Item()] = a.MemoryMB
		}
	}
	for _, e := range doc.Engines {
		v := &engine{
			name: e.Name, domain: e.FailureDomain, speed: s.run.Workload.Engine, maxSeqs: e.MaxSeqs,
			usableMB: e.Usable(), slowdown: 1, up: true, observedUp: true, items: map[string]*memoryItem{},
		}
		v.cache.limit = v.speed.PrefixCacheTokens
		p.engines = append(p.engines, v)
		p.byName[e.Name] = v
	}
	p.dispatcher = &pool.Dispatcher{
		Pool: doc.Name, TicketPrefix: "r", Classes: s.doc.Classes, Callers: s.doc.Callers,
		Models: p.models, Adapters: p.adapters, Tune: s.run.Tune,
	}
	p.planner = s.run.NewPlanner(s.doc, doc.Name)
	s.pools = append(s.pools, p)
	s.byPool[doc.Name] = p
	s.placeInitial(p)
}

// schedule schedules the periodic reports and planner runs, and the slowdowns and failures of the trace.
func (s *sim) schedule() {
	for _, p := range s.pools {
		s.every(reportMS, func() { s.recordReports(p) })
		if s.run.Placement != Static {
			s.every(planMS, func() { s.plan(p) })
		}
	}
	for _, ev := range s.run.Workload.Events {
		p := s.byPool[ev.Pool]
		e := p.engines[ev.Engine]
		if ev.Factor > 0 {
			s.at(ev.AtS*1000, func() { e.slowdown = ev.Factor })
			s.at((ev.AtS+ev.DurationS)*1000, func() { e.slowdown = 1 })
			continue
		}
		s.at(ev.AtS*1000, func() { s.failEngine(p, e) })
		s.at((ev.AtS+ev.DurationS)*1000, func() { s.recoverEngine(p, e) })
	}
}

func (s *sim) every(ms float64, f func()) {
	var tick func()
	tick = func() {
		f()
		s.after(ms, tick)
	}
	s.after(ms, tick)
}

func (s *sim) recordReports(p *poolSim) {
	for _, e := range p.engines {
		e.reports = append(e.reports, report{s.nowMS, e.attemptCount(), e.tokens})
		// Only the newest report older than the report lag is read, so old ones can be dropped.
		if len(e.reports) > 64 {
			e.reports = append(e.reports[:0], e.reports[32:]...)
		}
	}
	s.updateEngines(p)
}

// updateEngines passes the engines' states with their delayed load reports to the dispatcher and, with a baseline
// router, routes pending calls again.
func (s *sim) updateEngines(p *poolSim) {
	states := make([]pool.EngineState, len(p.engines))
	for i, e := range p.engines {
		states[i] = s.state(e)
	}
	p.dispatcher.SetEngines(s.time(), states)
	if s.run.Router == Dispatch {
		s.stepDispatcher(p)
		return
	}
	pending := p.pending
	p.pending = nil
	for _, c := range pending {
		if !c.ended {
			s.route(c)
		}
	}
}

func (s *sim) state(e *engine) pool.EngineState {
	st := pool.EngineState{
		Name: e.name, FailureDomain: e.domain, BootID: fmt.Sprint(e.bootCount), Up: e.observedUp, MaxSeqs: e.maxSeqs,
		Running: e.laggedReport(s.nowMS, s.run.Workload.ReportLagMS).running,
	}
	for _, name := range e.order {
		h := e.items[name]
		if h.unloading {
			continue
		}
		if h.resident {
			st.Items = append(st.Items, name)
		} else {
			st.Loading = append(st.Loading, name)
		}
	}
	return st
}

// failEngine stops an engine. Its attempts fail at once; the pool's owner notices after detectionMS.
func (s *sim) failEngine(p *poolSim, e *engine) {
	e.up, e.busy = false, false
	e.epoch++
	failed := append(append([]*attempt(nil), unended(e.running)...), unended(e.queue)...)
	e.running, e.queue = nil, nil
	for _, name := range e.order {
		e.items[name].resident = false
	}
	for _, a := range failed {
		s.failAttempt(a)
	}
	s.after(detectionMS, func() {
		e.observedUp = e.up
		s.updateEngines(p)
	})
}

// recoverEngine restarts a failed engine with empty memory. After detectionMS the owner requests loads of all items
// that it had placed on it.
func (s *sim) recoverEngine(p *poolSim, e *engine) {
	e.up = true
	e.bootCount++
	e.cache = prefixCache{limit: e.speed.PrefixCacheTokens}
	s.after(detectionMS, func() {
		e.observedUp = true
		for _, name := range append([]string(nil), e.order...) {
			s.weightStore.request(p, e, e.items[name], 1)
		}
		s.updateEngines(p)
	})
}
