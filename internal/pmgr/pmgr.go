package pmgr

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/order"
	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/warm"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

type (
	// Lease is the exclusive right to send a pool's orders.
	Lease interface {
		Run(ctx context.Context) error
		// Valid reports whether orders may be sent at now.
		Valid(now time.Time) bool
		// Release gives the lease up and hands it to the next host.
		Release(ctx context.Context) error
		// CampaignNow tells that the holder has given the lease up in favour of this host.
		CampaignNow()
	}

	// Manager is one pool on one host; its fields are set before Run.
	Manager struct {
		Host    string
		Pool    string
		Loop    *ctrl.Loop
		KV      kvapi.Service
		Engines engine.API
		Stats   *stats.Set
		Log     zerolog.Logger
		// Doc returns the document in force.
		Doc func() *envdoc.Doc
		// Acquire waits for a load ticket.
		Acquire func(ctx context.Context, a wire.LoadRequest) (release func(), err error)
		// Announce tells the other hosts that this one owns the pool.
		Announce func(wire.Owner)
		// IsLeaving reports whether the platform's list or an upstream itself says that an engine is leaving.
		IsLeaving func(engine string) bool
		// NewLease returns the lease of the pool, which calls gain with the lease's epoch.
		NewLease func(gain func(epoch int64), loss func()) Lease

		core   *pool.Dispatcher
		runner *ticket.Runner
		lease  Lease
		owner  atomic.Pointer[order.Reconciler]
		epoch  atomic.Int64
		// reports are the newest engine states of the owner; they belong to the control goroutine.
		reports []pool.EngineState

		runs context.Context // ends with Run
		stop context.CancelFunc

		// mu makes a change of the owner one step: news of another owner must not end an ownership gained meanwhile.
		mu       sync.Mutex
		end      context.CancelFunc // of the owner that runs, or nil
		released bool
		wg       sync.WaitGroup
	}
)

// Init prepares the runner; it is called once, before any other method.
func (d *Manager) Init() {
	// A host that restarts must not grant tickets that its predecessor granted.
	prefix := d.Host + "/" + strconv.FormatInt(time.Now().UnixMilli(), 36) + "/"
	d.core = &pool.Dispatcher{Pool: d.Pool, TicketPrefix: prefix}
	d.runner = &ticket.Runner{Pool: d.Pool, Loop: d.Loop, Dispatcher: d.core}
	d.runs, d.stop = context.WithCancel(context.Background())
	d.lease = d.NewLease(d.gained, d.lost)
}

// Run campaigns for the pool until ctx ends, and owns it meanwhile when it has the lease.
func (d *Manager) Run(ctx context.Context) {
	defer d.wg.Wait()
	defer d.stop()
	context.AfterFunc(ctx, d.stop)
	if err := d.lease.Run(d.runs); err != nil && ctx.Err() == nil {
		d.Log.Error().Err(err).Str("pool", d.Pool).Msg("campaign for the pool ended")
	}
	d.stopOwner()
}

// Release stops sending orders and hands the lease to the next host; it is called once, for a planned stop. When the
// hand-over fails, renewal ends as well, because a stop may wait for calls much longer than a lease lasts.
func (d *Manager) Release(ctx context.Context) {
	d.mu.Lock()
	d.released = true
	d.stopLocked()
	d.mu.Unlock()
	d.wg.Wait()
	if err := d.lease.Release(ctx); err != nil {
		d.stop()
		d.Log.Warn().Err(err).Str("pool", d.Pool).Msg("the lease of the pool was not handed over and will lapse")
	}
}

// CampaignNow tells that the holder of the lease has given it up in favour of this host.
func (d *Manager) CampaignNow() { d.lease.CampaignNow() }

// Runner returns the pool's runner on this host.
func (d *Manager) Runner() *ticket.Runner { return d.runner }

// Owned reports whether this host dispatches the pool. A host without a valid lease still does, until it learns of
// another owner, because dispatching needs no exclusivity.
func (d *Manager) Owned() bool { return d.owner.Load() != nil }

// Snapshot returns what the owner knows; ok is false when this host does not own the pool.
func (d *Manager) Snapshot() (s order.Snapshot, ok bool) {
	o := d.owner.Load()
	if o == nil {
		return order.Snapshot{}, false
	}
	return o.Snapshot(), true
}

// ObserveOwner ends the ownership when another host owns the pool with a higher epoch.
func (d *Manager) ObserveOwner(o wire.Owner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Host != d.Host && o.Epoch > d.epoch.Load() {
		d.stopLocked()
	}
}

// Configure applies a document; it must run on the control goroutine.
func (d *Manager) Configure(doc *envdoc.Doc) {
	d.core.Classes = doc.Classes
	d.core.Callers = doc.Callers
	d.core.Models, d.core.Adapters = contents(doc, d.Pool)
	d.core.Configure()
	d.learn(doc, d.runner.View())
}

// ApplyView takes the residency that another owner reported; it must run on the control goroutine.
func (d *Manager) ApplyView(view wire.PoolView) {
	if doc := d.Doc(); doc != nil {
		d.learn(doc, view)
	}
}

func (d *Manager) learn(doc *envdoc.Doc, view wire.PoolView) {
	if d.Owned() {
		return
	}
	for _, p := range doc.Pools {
		if p.Name == d.Pool {
			d.show(ticket.FallbackStates(p, itemsOf(doc, d.Pool), view))
		}
	}
}

// Refresh applies departures to the newest engine states; it must run on the control goroutine.
func (d *Manager) Refresh() {
	if d.reports != nil {
		d.show(d.reports)
	}
}

func (d *Manager) gained(epoch int64) {
	if !d.startOwner(epoch) {
		return
	}
	d.Announce(wire.Owner{Pool: d.Pool, Host: d.Host, Epoch: epoch})
	d.Log.Info().Str("pool", d.Pool).Int64("epoch", epoch).Msg("this host owns the pool")
}

// startOwner reports false when a planned stop has begun: the lease is then about to be handed over.
func (d *Manager) startOwner(epoch int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.released {
		return false
	}
	d.stopLocked()
	d.epoch.Store(epoch)
	ctx, cancel := context.WithCancel(d.runs)
	o := d.newOwner()
	d.end = cancel
	d.owner.Store(o)
	d.wg.Go(func() { d.own(ctx, o) })
	return true
}

func (d *Manager) newOwner() *order.Reconciler {
	o := &order.Reconciler{
		KV: d.KV, Engines: d.Engines, Host: d.Host, Pool: d.Pool, Doc: d.Doc, Valid: d.lease.Valid,
		Epoch: d.epoch.Load, Acquire: d.Acquire, Demand: d.demand, Running: d.runner.Running,
		Planner: &warm.Planner{Base: plan.Planner{CoolDown: warm.CoolDown}},
		Stats:   d.Stats, Log: d.Log.With().Str("pool", d.Pool).Logger(),
	}
	o.OnEngines = func(e []pool.EngineState) { d.Loop.Post(func() { d.report(o, e) }) }
	return o
}

// report shows what an owner knows; one that has ended must not overwrite what the next owner told.
func (d *Manager) report(o *order.Reconciler, engines []pool.EngineState) {
	if d.owner.Load() == o {
		d.show(engines)
	}
}

func (d *Manager) own(ctx context.Context, o *order.Reconciler) {
	err := o.Run(ctx)
	d.owner.CompareAndSwap(o, nil)
	if err != nil && ctx.Err() == nil {
		d.Log.Warn().Err(err).Str("pool", d.Pool).Msg("this host no longer owns the pool")
	}
}

// lost keeps the owner running: without a valid lease it sends no orders but those that the ledger already covers.
func (d *Manager) lost() {
	d.Log.Warn().Str("pool", d.Pool).Msg("the lease of the pool is lost")
}

func (d *Manager) stopOwner() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopLocked()
}

func (d *Manager) stopLocked() {
	if d.end == nil {
		return
	}
	d.owner.Store(nil)
	d.end()
	d.end = nil
}

func (d *Manager) show(engines []pool.EngineState) {
	d.reports = engines
	marked := make([]pool.EngineState, len(engines))
	for i, e := range engines {
		e.Leaving = e.Leaving || d.IsLeaving(e.Name)
		marked[i] = e
	}
	d.runner.SetEngines(marked)
}

func (d *Manager) demand(time.Time) []pool.Demand {
	var out []pool.Demand
	d.Loop.Call(func() { out = d.runner.Demand() })
	return out
}

// contents returns the models and adapters that a pool serves.
func contents(doc *envdoc.Doc, name string) (models []envdoc.Model, adapters []envdoc.Adapter) {
	own := make(map[string]bool)
	for _, m := range doc.Models {
		if m.Pool == name {
			models = append(models, m)
			own[m.Name] = true
		}
	}
	for _, a := range doc.Adapters {
		if own[a.Model] {
			adapters = append(adapters, a)
		}
	}
	return models, adapters
}

func itemsOf(doc *envdoc.Doc, name string) []string {
	models, adapters := contents(doc, name)
	items := make([]string, 0, len(models)+len(adapters))
	for _, m := range models {
		items = append(items, m.Item())
	}
	for _, a := range adapters {
		items = append(items, a.Item())
	}
	return items
}
