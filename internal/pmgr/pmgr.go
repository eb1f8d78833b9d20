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
		// Release releases the lease and notifies the next host.
		Release(ctx context.Context) error
		// CampaignNow campaigns at once, because the holder has released the lease for this host to take.
		CampaignNow()
	}

	// Manager manages one pool on one host; its fields are set before Init.
	Manager struct {
		Host    string
		Pool    string
		Loop    *ctrl.Loop
		KV      kvapi.Service
		Engines engine.API
		Stats   *stats.Set
		Log     zerolog.Logger
		// Doc returns the active document, or nil before the first one.
		Doc func() *envdoc.Doc
		// Acquire waits for a load ticket.
		Acquire func(ctx context.Context, a wire.LoadRequest) (release func(), err error)
		// Announce informs the other hosts that this one owns the pool.
		Announce func(wire.Owner)
		// IsLeaving reports whether an engine is leaving, according to the service registry or to the engine itself.
		IsLeaving func(engine string) bool
		// NewLease returns the lease of the pool. The lease calls acquired with its epoch, and lost when it ends.
		NewLease func(acquired func(epoch int64), lost func()) Lease

		dispatcher *pool.Dispatcher
		runner     *ticket.Runner
		lease      Lease
		reconciler atomic.Pointer[order.Reconciler]
		epoch      atomic.Int64
		// engineStates are the newest engine states of setEngines; only the control goroutine uses them.
		engineStates []pool.EngineState

		runCtx context.Context // canceled by stop, when Run ends or a handover fails
		stop   context.CancelFunc

		// mu makes a change of the reconciler atomic: an older update about another owner must not stop the reconciler
		// of a lease that was acquired in the meantime.
		mu               sync.Mutex
		cancelReconciler context.CancelFunc // of the running reconciler, or nil
		released         bool
		wg               sync.WaitGroup
	}
)

// Init creates the dispatcher, the runner and the lease; it is called once, before any other method.
func (m *Manager) Init() {
	// The start time keeps the ticket ids unique: a restarted host must not reuse those of its previous process.
	prefix := m.Host + "/" + strconv.FormatInt(time.Now().UnixMilli(), 36) + "/"
	m.dispatcher = &pool.Dispatcher{Pool: m.Pool, TicketPrefix: prefix}
	m.runner = &ticket.Runner{Pool: m.Pool, Loop: m.Loop, Dispatcher: m.dispatcher}
	m.runCtx, m.stop = context.WithCancel(context.Background())
	m.lease = m.NewLease(m.acquired, m.lost)
}

// Run campaigns for the lease of the pool until ctx ends, and runs a reconciler once it has acquired the lease.
func (m *Manager) Run(ctx context.Context) {
	defer m.wg.Wait()
	defer m.stop()
	context.AfterFunc(ctx, m.stop)
	if err := m.lease.Run(m.runCtx); err != nil && ctx.Err() == nil {
		m.Log.Error().Err(err).Str("pool", m.Pool).Msg("campaign for the pool ended")
	}
	m.stopReconciler()
}

// Release stops sending orders and hands the lease over to the next host; it is called once, for a graceful shutdown.
// When the handover fails, Release also ends the renewals of the lease: the shutdown may wait for calls much longer
// than a lease lasts, and no other host could acquire the lease in that time.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	m.released = true
	m.stopLocked()
	m.mu.Unlock()
	m.wg.Wait()
	if err := m.lease.Release(ctx); err != nil {
		m.stop()
		m.Log.Warn().Err(err).Str("pool", m.Pool).Msg("lease of the pool was not handed over and will expire")
	}
}

// CampaignNow campaigns at once, because the holder has released the lease for this host to take.
func (m *Manager) CampaignNow() { m.lease.CampaignNow() }

// Runner returns the pool's runner on this host.
func (m *Manager) Runner() *ticket.Runner { return m.runner }

// Owned reports whether this host dispatches the pool. An owner whose lease has expired still does until it learns of
// another owner, because dispatching, unlike sending orders, is safe on two hosts at once.
func (m *Manager) Owned() bool { return m.reconciler.Load() != nil }

// Snapshot returns the state of the pool's engines; ok is false when this host does not own the pool.
func (m *Manager) Snapshot() (s order.Snapshot, ok bool) {
	r := m.reconciler.Load()
	if r == nil {
		return order.Snapshot{}, false
	}
	return r.Snapshot(), true
}

// ObserveOwner stops the reconciler when another host owns the pool with a higher epoch.
func (m *Manager) ObserveOwner(o wire.Owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Host != m.Host && o.Epoch > m.epoch.Load() {
		m.stopLocked()
	}
}

// Configure applies a document to the dispatcher; it must run on the control goroutine.
func (m *Manager) Configure(doc *envdoc.Doc) {
	m.dispatcher.Classes = doc.Classes
	m.dispatcher.Callers = doc.Callers
	m.dispatcher.Models, m.dispatcher.Adapters = poolContents(doc, m.Pool)
	m.dispatcher.Configure()
	m.applyResidency(doc, m.runner.View())
}

// ApplyView applies the residency that the owner on another host reported; it must run on the control goroutine.
func (m *Manager) ApplyView(view wire.PoolView) {
	if doc := m.Doc(); doc != nil {
		m.applyResidency(doc, view)
	}
}

func (m *Manager) applyResidency(doc *envdoc.Doc, view wire.PoolView) {
	if m.Owned() {
		return
	}
	for _, p := range doc.Pools {
		if p.Name == m.Pool {
			m.setEngines(ticket.FallbackStates(p, poolItems(doc, m.Pool), view))
		}
	}
}

// Refresh applies the newest engine states again, so that a changed result of IsLeaving takes effect; it must run on
// the control goroutine.
func (m *Manager) Refresh() {
	if m.engineStates != nil {
		m.setEngines(m.engineStates)
	}
}

func (m *Manager) acquired(epoch int64) {
	if !m.startReconciler(epoch) {
		return
	}
	m.Announce(wire.Owner{Pool: m.Pool, Host: m.Host, Epoch: epoch})
	m.Log.Info().Str("pool", m.Pool).Int64("epoch", epoch).Msg("acquired ownership of the pool")
}

// startReconciler starts the reconciler for a lease with the given epoch. It returns false if Release was called,
// because the lease is then about to be handed over.
func (m *Manager) startReconciler(epoch int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		return false
	}
	m.stopLocked()
	m.epoch.Store(epoch)
	ctx, cancel := context.WithCancel(m.runCtx)
	r := m.newReconciler()
	m.cancelReconciler = cancel
	m.reconciler.Store(r)
	m.wg.Go(func() { m.runReconciler(ctx, r) })
	return true
}

func (m *Manager) newReconciler() *order.Reconciler {
	r := &order.Reconciler{
		KV: m.KV, Engines: m.Engines, Host: m.Host, Pool: m.Pool, Doc: m.Doc, Valid: m.lease.Valid,
		Epoch: m.epoch.Load, Acquire: m.Acquire, Demand: m.demand, Running: m.runner.Running,
		Planner: &warm.Planner{Base: plan.Planner{CoolDown: warm.CoolDown}},
		Stats:   m.Stats, Log: m.Log.With().Str("pool", m.Pool).Logger(),
	}
	r.OnEngines = func(e []pool.EngineState) { m.Loop.Post(func() { m.setEnginesFrom(r, e) }) }
	return r
}

// setEnginesFrom sets the engine states that reconciler r reported. A stopped reconciler is ignored, because it must
// not overwrite the states of its successor.
func (m *Manager) setEnginesFrom(r *order.Reconciler, engines []pool.EngineState) {
	if m.reconciler.Load() == r {
		m.setEngines(engines)
	}
}

func (m *Manager) runReconciler(ctx context.Context, r *order.Reconciler) {
	err := r.Run(ctx)
	m.reconciler.CompareAndSwap(r, nil)
	if err != nil && ctx.Err() == nil {
		m.Log.Warn().Err(err).Str("pool", m.Pool).Msg("lost ownership of the pool")
	}
}

// lost keeps the reconciler running: without a valid lease it only sends loads that the stored ledger already covers.
func (m *Manager) lost() {
	m.Log.Warn().Str("pool", m.Pool).Msg("lost the lease of the pool")
}

func (m *Manager) stopReconciler() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopLocked()
}

func (m *Manager) stopLocked() {
	if m.cancelReconciler == nil {
		return
	}
	m.reconciler.Store(nil)
	m.cancelReconciler()
	m.cancelReconciler = nil
}

func (m *Manager) setEngines(engines []pool.EngineState) {
	m.engineStates = engines
	marked := make([]pool.EngineState, len(engines))
	for i, e := range engines {
		e.Leaving = e.Leaving || m.IsLeaving(e.Name)
		marked[i] = e
	}
	m.runner.SetEngines(marked)
}

func (m *Manager) demand(time.Time) []pool.Demand {
	var out []pool.Demand
	m.Loop.Call(func() { out = m.runner.Demand() })
	return out
}

// poolContents returns the models of a pool and the adapters of these models.
func poolContents(doc *envdoc.Doc, name string) (models []envdoc.Model, adapters []envdoc.Adapter) {
	inPool := make(map[string]bool)
	for _, m := range doc.Models {
		if m.Pool == name {
			models = append(models, m)
			inPool[m.Name] = true
		}
	}
	for _, a := range doc.Adapters {
		if inPool[a.Model] {
			adapters = append(adapters, a)
		}
	}
	return models, adapters
}

func poolItems(doc *envdoc.Doc, name string) []string {
	models, adapters := poolContents(doc, name)
	items := make([]string, 0, len(models)+len(adapters))
	for _, m := range models {
		items = append(items, m.Item())
	}
	for _, a := range adapters {
		items = append(items, a.Item())
	}
	return items
}
