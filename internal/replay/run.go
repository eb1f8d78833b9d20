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
	// Dispatch routes calls by the real dispatcher.
	Dispatch Router = "dispatcher"
	// RoundRobin sends each call to the next engine that holds its model.
	RoundRobin Router = "round robin"
	// LeastLoaded sends each call to the engine with the lowest reported load.
	LeastLoaded Router = "least loaded"

	// Planned places models by the planner.
	Planned Placement = "planner"
	// Static keeps the first placement.
	Static Placement = "static"
	// ReactiveLRU loads what calls wait for and evicts what was used least recently.
	ReactiveLRU Placement = "reactive LRU"

	detectMS     = 1000.0
	reportMS     = 500.0
	planMS       = 250.0
	sendMS       = 1.0
	unloadMS     = 100.0
	beatMS       = 2000.0
	drainMS      = 180_000.0
	hedgeBudget  = 0.05
	hedgeCredit  = 10
	maxAttempts  = 4
	downReloadMS = 2000.0
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// Router names how calls reach engines.
	Router string

	// Placement names how models reach engines.
	Placement string

	// Planner is what a replay needs of a planner.
	Planner interface {
		Plan(now time.Time, in plan.Input) []plan.Action
	}

	// Run replays calls; Workload describes the environment, and NewPlanner makes one planner per pool.
	Run struct {
		Workload   *trace.Workload
		Calls      []trace.Call
		Router     Router
		Placement  Placement
		Tune       pool.Tunables
		NewPlanner func(doc *envdoc.Doc, pool string) Planner
	}

	// Outcome is what became of one call; times are in milliseconds since its arrival, negative when missing.
	Outcome struct {
		Call *trace.Call
		// WaitMS is the time until the first ticket.
		WaitMS       float64
		FirstTokenMS float64
		TotalMS      float64
		Code         string
		Attained     bool
	}

	// Result is what a replay yields.
	Result struct {
		Outcomes     []Outcome
		ModelLoads   int
		AdapterLoads int
		Hedges       int
		Moved        int
		Granted      int
		Overcommits  int
	}

	liveCall struct {
		id       string
		trace    *trace.Call
		pool     *poolSim
		attempts []*attempt
		tried    []string
		tokens   int
		starts   int
		waitMS   float64
		firstMS  float64
		asking   bool
		hedging  bool
		ended    bool
	}

	sim struct {
		run     *Run
		doc     *envdoc.Doc
		nowMS   float64
		events  events
		seq     int
		pools   []*poolSim
		byPool  map[string]*poolSim
		store   weights
		classes map[string]envdoc.Class
		result  *Result
		open    int
	}

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
		parked     []*liveCall
		wakeMS     float64
		turn       int
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

// Do replays the calls and returns what became of them; the same run gives the same result.
func (r *Run) Do() *Result {
	s := &sim{run: r, doc: r.Workload.Doc(), byPool: map[string]*poolSim{}, result: &Result{}}
	s.classes = map[string]envdoc.Class{}
	for _, c := range s.doc.Classes {
		s.classes[c.Name] = c
	}
	s.store = newWeights(s)
	for _, p := range s.doc.Pools {
		s.addPool(p)
	}
	s.result.Outcomes = make([]Outcome, len(r.Calls))
	s.open = len(r.Calls)
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
	for len(s.events) > 0 && s.open > 0 {
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
			usableMB: e.Usable(), slow: 1, up: true, seenUp: true, items: map[string]*held{},
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
	s.placeFirst(p)
}

// schedule sets up the periodic work and the events of the trace.
func (s *sim) schedule() {
	for _, p := range s.pools {
		s.every(reportMS, func() { s.reports(p) })
		if s.run.Placement != Static {
			s.every(planMS, func() { s.plan(p) })
		}
	}
	for _, ev := range s.run.Workload.Events {
		p := s.byPool[ev.Pool]
		e := p.engines[ev.Engine]
		if ev.Factor > 0 {
			s.at(ev.AtS*1000, func() { e.slow = ev.Factor })
			s.at((ev.AtS+ev.DurationS)*1000, func() { e.slow = 1 })
			continue
		}
		s.at(ev.AtS*1000, func() { s.lose(p, e) })
		s.at((ev.AtS+ev.DurationS)*1000, func() { s.bringBack(p, e) })
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

func (s *sim) reports(p *poolSim) {
	for _, e := range p.engines {
		e.reports = append(e.reports, report{s.nowMS, e.load(), e.tokens})
		if len(e.reports) > 64 {
			e.reports = append(e.reports[:0], e.reports[32:]...)
		}
	}
	s.show(p)
}

// show tells the dispatcher what is known of the engines; their load figures lag.
func (s *sim) show(p *poolSim) {
	states := make([]pool.EngineState, len(p.engines))
	for i, e := range p.engines {
		states[i] = s.state(e)
	}
	p.dispatcher.SetEngines(s.time(), states)
	if s.run.Router == Dispatch {
		s.step(p)
		return
	}
	parked := p.parked
	p.parked = nil
	for _, c := range parked {
		if !c.ended {
			s.route(c)
		}
	}
}

func (s *sim) state(e *engine) pool.EngineState {
	st := pool.EngineState{
		Name: e.name, FailureDomain: e.domain, BootID: fmt.Sprint(e.boot), Up: e.seenUp, MaxSeqs: e.maxSeqs,
		Running: e.lagged(s.nowMS, s.run.Workload.ReportLagMS).running,
	}
	for _, name := range e.order {
		h := e.items[name]
		if h.leaving {
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

// lose stops an engine: its attempts break at once, the pool's owner learns of it later.
func (s *sim) lose(p *poolSim, e *engine) {
	e.up, e.busy = false, false
	e.epoch++
	broken := append(append([]*attempt(nil), live(e.running)...), live(e.queue)...)
	e.running, e.queue = nil, nil
	for _, name := range e.order {
		e.items[name].resident = false
	}
	for _, a := range broken {
		s.broken(a)
	}
	s.after(detectMS, func() {
		e.seenUp = e.up
		s.show(p)
	})
}

// bringBack starts a lost engine with empty memory; the owner loads the recorded items again.
func (s *sim) bringBack(p *poolSim, e *engine) {
	e.up = true
	e.boot++
	e.cache = prefixCache{limit: e.speed.PrefixCacheTokens}
	s.after(detectMS, func() {
		e.seenUp = true
		for _, name := range append([]string(nil), e.order...) {
			s.store.request(p, e, e.items[name], 1)
		}
		s.show(p)
	})
}
