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
	// defaultStatusBytesPerS keeps the reports of a large pool within the traffic that a host may use for control.
	defaultStatusBytesPerS = 1500
	tickEvery              = 250 * time.Millisecond
	planEvery              = time.Second
	// planGap bounds planning after events, so that a burst of answers causes one plan.
	planGap     = 50 * time.Millisecond
	eventBuffer = 256
)

// ErrSuperseded means that another owner of the pool has a higher epoch; Run ends with it.
var ErrSuperseded = errors.New("another host owns the pool with a higher epoch")

type (
	// Reconciler sends the orders of one pool. Its fields are set before Run and not changed afterwards. Run continues
	// without a valid lease; end its context once another host is known to own the pool.
	Reconciler struct {
		KV      kvapi.Service
		Engines engine.API
		Host    string
		Pool    string
		// Doc returns the document in force; it may change between calls.
		Doc func() *envdoc.Doc
		// Valid reports whether orders may be sent at now, as lease.Holder does.
		Valid func(now time.Time) bool
		// Epoch returns the epoch of the lease that Valid speaks of; a new one causes a new takeover.
		Epoch func() int64
		// Acquire waits for a load ticket, which is held until release is called; nil means that none are needed.
		Acquire func(ctx context.Context, ask wire.LoadRequest) (release func(), err error)
		// Demand returns the recent demand; nil means none.
		Demand func(now time.Time) []pool.Demand
		// Running returns the calls that use an item on an engine; nil means that unloads do not wait for calls.
		Running func(engineName, item string) int
		// OnEngines is called from Run with what is known of the engines, after each change.
		OnEngines func([]pool.EngineState)
		// Planner decides on moves; nil means a plan.Planner with its defaults.
		Planner Planner
		Stats   *stats.Set
		Log     zerolog.Logger

		// PollEvery is the status interval of a small pool; 0 means 2 s.
		PollEvery time.Duration
		// StatusBytesPerS bounds the status traffic of a large pool, by longer intervals; 0 means 1500.
		StatusBytesPerS int
		// OrderTimeout ends the wait for the answer to an order; 0 means 10 s.
		OrderTimeout time.Duration
		// TicketTimeout ends the wait for a load ticket, so that the load is planned again; 0 means 1 min.
		TicketTimeout time.Duration
		// MaxDrain is how long an unload waits for calls that use the item; 0 means 1 min.
		MaxDrain time.Duration

		events   chan func()
		peers    []*peer
		doc      *envdoc.Doc
		workers  sync.WaitGroup
		snapshot atomic.Pointer[Snapshot]
		planDue  time.Time
		planned  time.Time
		shown    []pool.EngineState
		ids      int
		nonce    string
		fatal    error
	}

	// Planner decides what each engine holds; it is used by the goroutine of Run only.
	Planner interface {
		Plan(now time.Time, in plan.Input) []plan.Action
	}

	// peer is one engine as its owner sees it.
	peer struct {
		doc     envdoc.Engine
		key     string
		led     *ledger.Ledger
		stored  []byte
		version int64
		epoch   int64
		// taken is true while led is this owner's own record, written at epoch.
		taken, taking bool
		floor         int64
		retryAt       time.Time
		sync          bool

		polling  bool
		nextPoll time.Time
		fails    int
		seen     bool
		status   engine.Status
		// reportedAt is when the last report that the ledger took was asked for.
		reportedAt time.Time
		dirtyAt    time.Time

		busy     bool
		asking   map[string]*asked
		draining map[string]time.Time
		// paused holds when an item whose load could not begin may be asked for again.
		paused  map[string]time.Time
		tickets map[string]*ticket
	}

	// asked is a load that waits for its ticket, or with release set for the engine to be idle.
	asked struct {
		move    plan.Action
		release func()
		again   bool
	}

	ticket struct {
		release func()
		since   time.Time
	}
)

// Run owns the pool until ctx ends or another owner with a higher epoch is found.
func (o *Reconciler) Run(ctx context.Context) error {
	o.init()
	ctx, cancel := context.WithCancel(ctx)
	defer o.workers.Wait()
	defer o.releaseAll()
	defer cancel()
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	o.step(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		case f := <-o.events:
			f()
		}
		if o.fatal != nil {
			return o.fatal
		}
		o.step(ctx, time.Now())
	}
}

func (o *Reconciler) init() {
	o.events = make(chan func(), eventBuffer)
	o.nonce = newNonce()
	setDefault(&o.PollEvery, defaultPollEvery)
	setDefault(&o.OrderTimeout, defaultOrderTimeout)
	setDefault(&o.TicketTimeout, defaultTicketTimeout)
	setDefault(&o.MaxDrain, defaultDrainMax)
	if o.StatusBytesPerS == 0 {
		o.StatusBytesPerS = defaultStatusBytesPerS
	}
	if o.Stats == nil {
		o.Stats = new(stats.Set)
	}
	if o.Planner == nil {
		o.Planner = new(plan.Planner)
	}
	if o.Acquire == nil {
		o.Acquire = func(context.Context, wire.LoadRequest) (func(), error) { return func() {}, nil }
	}
}

// step starts whatever is due; it never blocks.
func (o *Reconciler) step(ctx context.Context, now time.Time) {
	o.follow(now)
	for _, p := range o.peers {
		o.poll(ctx, p, now)
		o.takeOver(ctx, p, now)
		o.correct(ctx, p, now)
		o.drain(ctx, p, now)
		o.loadReady(ctx, p, now)
		o.settle(ctx, p, now)
		o.freeTickets(p, now)
	}
	due := !now.Before(o.planDue)
	if due {
		o.plan(ctx, now)
		o.planned = now
		o.planDue = now.Add(planEvery)
	}
	o.publish(due)
}

// replan brings the next plan forward after a change.
func (o *Reconciler) replan() {
	if due := o.planned.Add(planGap); due.Before(o.planDue) {
		o.planDue = due
	}
}

// follow adopts a changed document: peers of engines that stay keep their state.
func (o *Reconciler) follow(now time.Time) {
	doc := o.Doc()
	if doc == nil || doc == o.doc {
		return
	}
	o.doc = doc
	old := make(map[string]*peer, len(o.peers))
	for _, p := range o.peers {
		old[p.doc.Name] = p
	}
	var peers []*peer
	for _, pl := range doc.Pools {
		if pl.Name != o.Pool {
			continue
		}
		for i, e := range pl.Engines {
			p := old[e.Name]
			delete(old, e.Name)
			if p == nil {
				p = o.newPeer(e, now, i, len(pl.Engines))
			}
			p.doc = e
			p.setRules(pl)
			peers = append(peers, p)
		}
	}
	for _, p := range old {
		p.releaseAll()
	}
	o.peers = peers
	o.replan()
}

// newPeer spreads the first polls of the pool over one second.
func (o *Reconciler) newPeer(e envdoc.Engine, now time.Time, i, n int) *peer {
	return &peer{
		key:      "engine/" + o.doc.Environment + "/" + e.Name,
		nextPoll: now.Add(time.Second * time.Duration(i) / time.Duration(n)),
		asking:   make(map[string]*asked),
		draining: make(map[string]time.Time),
		paused:   make(map[string]time.Time),
		tickets:  make(map[string]*ticket),
	}
}

func (p *peer) setRules(pl envdoc.Pool) {
	if p.led != nil {
		p.led.Rules = rules(p.doc, pl)
	}
}

func rules(e envdoc.Engine, pl envdoc.Pool) ledger.Rules {
	return ledger.Rules{
		CapacityMB:    e.Usable(),
		MaxOrderDelay: time.Duration(pl.OrderHorizonS) * time.Second,
		ChecksFencing: e.ChecksFencing,
	}
}

func (o *Reconciler) pool() envdoc.Pool {
	for _, pl := range o.doc.Pools {
		if pl.Name == o.Pool {
			return pl
		}
	}
	return envdoc.Pool{Name: o.Pool}
}

// spawn runs I/O outside the loop; its result comes back through post.
func (o *Reconciler) spawn(f func()) {
	o.workers.Add(1)
	go func() {
		defer o.workers.Done()
		f()
	}()
}

// post runs f in the loop; it reports false when Run has ended.
func (o *Reconciler) post(ctx context.Context, f func()) bool {
	select {
	case o.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

func (o *Reconciler) releaseAll() {
	for _, p := range o.peers {
		p.releaseAll()
	}
}

func (p *peer) releaseAll() {
	for item, t := range p.tickets {
		t.release()
		delete(p.tickets, item)
	}
	for item, a := range p.asking {
		if a.release != nil {
			a.release()
		}
		delete(p.asking, item)
	}
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}
