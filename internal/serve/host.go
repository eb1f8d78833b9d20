package serve

import (
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/config"
	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/member"
	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/internal/qrpc"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/websrv"
	"github.com/figreel/figreel/pkg/envdoc"
)

// Host is one host process; its exported fields are set before Run.
type Host struct {
	Config *config.Config
	Log    zerolog.Logger
	// Stop starts a graceful shutdown; a second signal forces the host to end at once.
	Stop <-chan os.Signal

	stats             *stats.Set
	gate              *ingres.Gate
	loop              *ctrl.Loop
	kv                kvapi.Service
	engines           engine.API
	endpoint          *qrpc.Endpoint
	members           *member.Table
	replicator        *docrev.Replicator
	registry          *registryWatcher
	pools             *pools
	tickets           *ticket.Server
	router            *ticket.Router
	snapshots         sync.Map     // pool name to cachedSnapshot
	nextSnapshot      atomic.Int64 // Unix time in ns before which onVersion fetches no snapshot
	fetching          sync.Map     // names of pools whose residency snapshot is being fetched
	relay             *relay.Relay
	idempotency       *idem.Records
	loadLimiter       *loadLimiter
	callerAPI         *apigw.Server
	operatorAPI       *oper.Server
	activeDoc         atomic.Pointer[apigw.ActiveDoc]
	stopping          atomic.Bool
	drainRequested    chan struct{}
	drainedByOperator bool // used by wait only: an operator started the shutdown and no signal has arrived yet
	drainOnce         sync.Once
	stopServers       chan struct{} // closed when the servers must stop accepting connections
	runCtx            context.Context
	startedAt         time.Time
	traceFile         io.Closer // nil without a trace file
}

// Run serves until a graceful shutdown is complete. It returns an error if the host can't start, a server fails, ctx
// ends or the shutdown is forced.
func (h *Host) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	if h.traceFile != nil {
		defer func() { _ = h.traceFile.Close() }()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.runCtx = ctx
	h.startedAt = time.Now()
	var background sync.WaitGroup
	h.startBackground(ctx, &background)
	failed := make(chan error, 2)
	var servers sync.WaitGroup
	h.startServers(ctx, &servers, failed)
	h.Log.Info().Str("callers", h.Config.Callers.Listen).Str("fellows", h.Config.Peers.Listen).
		Msg("host started")
	err := h.wait(ctx, failed, func() {
		h.stop(ctx)
		servers.Wait()
		h.idempotency.Wait()
	})
	cancel()
	background.Wait()
	h.pools.wait()
	return err
}

// startBackground starts the components that run until ctx ends.
func (h *Host) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	run := func(name string, f func(context.Context) error) {
		wg.Go(func() {
			if err := f(ctx); err != nil && ctx.Err() == nil {
				h.Log.Error().Err(err).Str("part", name).Msg("background task of the host failed")
			}
		})
	}
	wg.Go(func() { h.loop.Run(ctx) })
	run("fellows", h.endpoint.Run)
	run("membership", h.members.Run)
	run("configuration", h.replicator.Run)
	run("loads", h.loadLimiter.run)
	wg.Go(func() { h.registry.run(ctx) })
	wg.Go(func() { h.runEverySecond(ctx) })
}

// startServers starts the HTTP servers for callers and operators, and sends their errors to failed.
func (h *Host) startServers(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	callers := &websrv.Server{
		Name: "callers", Addr: h.Config.Callers.Listen, CertFile: h.Config.Callers.TLS.CertFile,
		KeyFile: h.Config.Callers.TLS.KeyFile, Routes: h.callerAPI.Routes(), Stop: h.stopServers,
		OnRejected: h.stats.CountRejection, Gate: h.gate,
	}
	wg.Go(func() { sendError(callers.Run(ctx), failed) })
	if h.Config.Operators.Listen == "" {
		return
	}
	operatorCtx, cancel := context.WithCancel(ctx)
	wg.Go(func() {
		defer cancel()
		select {
		case <-h.stopServers:
		case <-ctx.Done():
		}
	})
	wg.Go(func() { sendError(h.operatorAPI.Run(operatorCtx), failed) })
}

func sendError(err error, failed chan<- error) {
	if err != nil {
		failed <- err
	}
}

// apply makes a document the active one, or returns an error if the document is for another environment.
func (h *Host) apply(doc *envdoc.Doc, revision int64) error {
	if doc.Environment != h.Config.Environment {
		return errors.Errorf("document is for environment %q, this host serves %q",
			doc.Environment, h.Config.Environment)
	}
	// A call may request a ticket for a pool as soon as the document with the pool is active, so the pool managers are
	// started before that. Those of removed pools are stopped afterwards.
	added := h.pools.apply(h.runCtx, doc)
	h.activeDoc.Store(&apigw.ActiveDoc{Doc: doc, Revision: revision, Targets: doc.Targets()})
	h.pools.removeMissing(doc)
	for _, name := range added {
		go h.fetchSnapshot(name)
	}
	h.stats.SetGauge("config_revision", revision)
	h.Log.Info().Int64("revision", revision).Msg("document is active")
	return nil
}

// doc returns the active document, or nil.
func (h *Host) doc() *envdoc.Doc {
	if c := h.activeDoc.Load(); c != nil {
		return c.Doc
	}
	return nil
}

// ready returns why the host is not ready for calls, or nil.
func (h *Host) ready() error {
	switch {
	case h.stopping.Load():
		return errors.New("this host is leaving")
	case h.activeDoc.Load() == nil:
		return errors.New("no document is active yet")
	default:
		return nil
	}
}

// runEverySecond updates the gauges, and the snapshots of pools for which calls wait, every second until ctx ends.
func (h *Host) runEverySecond(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.updateGauges()
			h.refreshWaitingPools()
		}
	}
}

func (h *Host) updateGauges() {
	h.stats.SetGauge("calls_in_flight", h.callerAPI.InFlight())
	h.stats.SetGauge("members_live", int64(len(h.members.Live())))
	var inDoubt, replicas, owned int64
	for _, m := range h.pools.all() {
		s, ok := m.Snapshot()
		if !ok {
			continue
		}
		owned++
		inDoubt += int64(s.InDoubt)
		for _, n := range s.Replicas {
			replicas += int64(n)
		}
	}
	h.stats.SetGauge("pools_owned", owned)
	h.stats.SetGauge("orders_in_doubt", inDoubt)
	h.stats.SetGauge("resident_copies", replicas)
}
