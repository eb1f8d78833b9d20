package order

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/ledger"
	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	defaultPollEvery     = 2 * time.Second
	defaultOrderTimeout  = 10 * time.Second
	defaultTicketTimeout = time.Minute
	defaultDrainMax      = time.Minute
	// defaultStatusBytesPerS keeps the status reports of a large pool within the traffic that a host may use for its
	// control plane.
	defaultStatusBytesPerS = 1500
	tickInterval           = 250 * time.Millisecond
	planInterval           = time.Second
	// minPlanInterval is the minimum time between two plans, so that a burst of responses causes one plan.
	minPlanInterval = 50 * time.Millisecond
	eventBuffer     = 256
)

// ErrSuperseded is returned by Run when another owner of the pool has a higher epoch.
var ErrSuperseded = errors.New("another host owns the pool with a higher epoch")

type (
	// Reconciler sends orders to the engines of one pool. Its fields are set before Run and not changed afterwards. Run
	// continues when the lease is lost; cancel its context when another host owns the pool.
	Reconciler struct {
		KV      kvapi.Service
		Engines engine.API
		Host    string
		Pool    string
		// Doc returns the active document; it may change between calls.
		Doc func() *envdoc.Doc
		// Valid reports whether the lease is valid at now, so that orders may be sent.
		Valid func(now time.Time) bool
		// Epoch returns the epoch of the lease; a new epoch causes a new takeover of each ledger.
		Epoch func() int64
		// Acquire waits for a load ticket, which stays in use until release is called; nil means that loads need no
		// ticket.
		Acquire func(ctx context.Context, req wire.LoadRequest) (release func(), err error)
		// Demand returns the recent demand; nil means none.
		Demand func(now time.Time) []pool.Demand
		// Running returns the number of calls that use an item on an engine; nil means that unloads do not wait for
		// calls.
		Running func(engineName, item string) int
		// OnEngines is called by the goroutine of Run with the states of all engines, after each change.
		OnEngines func([]pool.EngineState)
		// Planner decides on loads and unloads; nil means a plan.Planner with its defaults.
		Planner Planner
		Stats   *stats.Set
		Log     zerolog.Logger

		// PollEvery is the interval between status reports of an engine in a small pool; 0 means 2 s.
		PollEvery time.Duration
		// StatusBytesPerS limits the traffic of status reports: in a large pool, engines are polled less often to stay
		// within it; 0 means 1500.
		StatusBytesPerS int
		// OrderTimeout ends the wait for the response to an order; 0 means 10 s.
		OrderTimeout time.Duration
		// TicketTimeout ends the wait for a load ticket, so that the load is planned again; 0 means 1 min.
		TicketTimeout time.Duration
		// MaxDrain is the maximum time for which an unload waits for calls that use the item; 0 means 1 min.
		MaxDrain time.Duration

		events       chan func()
		engineStates []*engineState
		doc          *envdoc.Doc
		workers      sync.WaitGroup
		snapshot     atomic.Pointer[Snapshot]
		planDue      time.Time
		plannedAt    time.Time
		published    []pool.EngineState
		lastID       int
		nonce        string
		fatal        error
	}

	// Planner decides what each engine holds; it is used by the goroutine of Run only.
	Planner interface {
		Plan(now time.Time, in plan.Input) []plan.Action
	}

	// engineState is the state of one engine of the pool: its ledger, its last status report and its pending orders.
	engineState struct {
		spec         envdoc.Engine
		key          string
		led          *ledger.Ledger
		storedLedger []byte
		version      int64
		epoch        int64
		// takenOver is true while led is the stored ledger that this owner wrote at epoch. It becomes false when a
		// write fails, because the stored ledger is then unknown.
		takenOver, takingOver bool
		minFence              int64 // fencing token of the engine when it last rejected an older one
		takeoverRetryAt       time.Time
		syncDue               bool // the engine needs a sync order before any other

		polling     bool
		nextPoll    time.Time
		failedPolls int
		hasStatus   bool
		status      engine.Status
		// reportedAt is the time at which the newest report that the ledger accepted was requested.
		reportedAt time.Time
		dirtySince time.Time

		busy         bool // a ledger write or an order is in flight; there is one at a time
		loadRequests map[string]*loadRequest
		draining     map[string]time.Time // start of the drain of each item that is to be unloaded
		// retryAfter holds the earliest time of the next load request for an item whose load could not start.
		retryAfter map[string]time.Time
		tickets    map[string]*loadTicket // of the loads in progress
	}

	// loadRequest is a load that waits for its ticket. Once release is set it has the ticket, and waits until the
	// engine has no other order in flight.
	loadRequest struct {
		action  plan.Action
		release func()
		reload  bool // repeats a load that the ledger lists, rather than one that the planner chose
	}

	loadTicket struct {
		release func()
		since   time.Time
	}
)

// Run polls the engines and sends orders until ctx ends or a ledger shows an owner with a higher epoch.
func (r *Reconciler) Run(ctx context.Context) error {
	r.init()
	ctx, cancel := context.WithCancel(ctx)
	defer r.workers.Wait()
	defer r.releaseAll()
	defer cancel()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	r.step(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case f := <-r.events:
			f()
		}
		if r.fatal != nil {
			return r.fatal
		}
		r.step(ctx, time.Now())
	}
}

func (r *Reconciler) init() {
	r.events = make(chan func(), eventBuffer)
	r.nonce = newNonce()
	setDefault(&r.PollEvery, defaultPollEvery)
	setDefault(&r.OrderTimeout, defaultOrderTimeout)
	setDefault(&r.TicketTimeout, defaultTicketTimeout)
	setDefault(&r.MaxDrain, defaultDrainMax)
	if r.StatusBytesPerS == 0 {
		r.StatusBytesPerS = defaultStatusBytesPerS
	}
	if r.Stats == nil {
		r.Stats = new(stats.Set)
	}
	if r.Planner == nil {
		r.Planner = new(plan.Planner)
	}
	if r.Acquire == nil {
		r.Acquire = func(context.Context, wire.LoadRequest) (func(), error) { return func() {}, nil }
	}
}

// step starts every poll, takeover, order and plan that is due; it never blocks.
func (r *Reconciler) step(ctx context.Context, now time.Time) {
	r.applyDocument(now)
	for _, es := range r.engineStates {
		r.poll(ctx, es, now)
		r.startTakeover(ctx, es, now)
		r.sendCorrections(ctx, es, now)
		r.unloadDrained(ctx, es, now)
		r.startReadyLoad(ctx, es, now)
		r.flush(ctx, es, now)
		r.releaseEndedTickets(es, now)
	}
	due := !now.Before(r.planDue)
	if due {
		r.runPlanner(ctx, now)
		r.plannedAt = now
		r.planDue = now.Add(planInterval)
	}
	r.publish(due)
}

// replan makes the next plan due as soon as minPlanInterval has passed since the last one; it is called after changes.
func (r *Reconciler) replan() {
	if due := r.plannedAt.Add(minPlanInterval); due.Before(r.planDue) {
		r.planDue = due
	}
}

// applyDocument applies a changed document; engines that it still lists keep their state.
func (r *Reconciler) applyDocument(now time.Time) {
	doc := r.Doc()
	if doc == nil || doc == r.doc {
		return
	}
	r.doc = doc
	old := make(map[string]*engineState, len(r.engineStates))
	for _, es := range r.engineStates {
		old[es.spec.Name] = es
	}
	var states []*engineState
	for _, pl := range doc.Pools {
		if pl.Name != r.Pool {
			continue
		}
		for i, e := range pl.Engines {
			es := old[e.Name]
			delete(old, e.Name)
			if es == nil {
				es = r.newEngineState(e, now, i, len(pl.Engines))
			}
			es.spec = e
			es.setRules(pl)
			states = append(states, es)
		}
	}
	for _, es := range old {
		es.releaseAll()
	}
	r.engineStates = states
	r.replan()
}

// newEngineState returns the state of engine i of n; the first polls of a pool are spread over one second.
func (r *Reconciler) newEngineState(e envdoc.Engine, now time.Time, i, n int) *engineState {
	return &engineState{
		key:          "engine/" + r.doc.Environment + "/" + e.Name,
		nextPoll:     now.Add(time.Second * time.Duration(i) / time.Duration(n)),
		loadRequests: make(map[string]*loadRequest),
		draining:     make(map[string]time.Time),
		retryAfter:   make(map[string]time.Time),
		tickets:      make(map[string]*loadTicket),
	}
}

func (es *engineState) setRules(pl envdoc.Pool) {
	if es.led != nil {
		es.led.Rules = rules(es.spec, pl)
	}
}

func rules(e envdoc.Engine, pl envdoc.Pool) ledger.Rules {
	return ledger.Rules{
		CapacityMB:    e.Usable(),
		MaxOrderDelay: time.Duration(pl.OrderHorizonS) * time.Second,
		ChecksFencing: e.ChecksFencing,
	}
}

func (r *Reconciler) pool() envdoc.Pool {
	for _, pl := range r.doc.Pools {
		if pl.Name == r.Pool {
			return pl
		}
	}
	return envdoc.Pool{Name: r.Pool}
}

// spawn runs f, which does I/O, outside the event loop; f passes its result back by calling post.
func (r *Reconciler) spawn(f func()) {
	r.workers.Add(1)
	go func() {
		defer r.workers.Done()
		f()
	}()
}

// post passes f to the event loop without waiting until it has run; it returns false if ctx ends first.
func (r *Reconciler) post(ctx context.Context, f func()) bool {
	select {
	case r.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Reconciler) releaseAll() {
	for _, es := range r.engineStates {
		es.releaseAll()
	}
}

func (es *engineState) releaseAll() {
	for item, t := range es.tickets {
		t.release()
		delete(es.tickets, item)
	}
	for item, req := range es.loadRequests {
		if req.release != nil {
			req.release()
		}
		delete(es.loadRequests, item)
	}
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}
