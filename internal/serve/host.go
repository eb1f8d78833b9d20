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

// Host is one running host; its exported fields are set before Run.
type Host struct {
	Config *config.Config
	Log    zerolog.Logger
	// Stop begins a planned stop; a second value ends the host at once.
	Stop <-chan os.Signal

	stats    *stats.Set
	loop     *ctrl.Loop
	kv       kvapi.Service
	engines  engine.API
	node     *qrpc.Endpoint
	table    *member.Table
	spreader *docrev.Replicator
	watcher  *watcher
	pools    *pools
	tickets  *ticket.Server
	router   *ticket.Router
	views    sync.Map     // pool name to fetched
	nextSnap atomic.Int64 // Unix time in ns before which no residency is fetched for a grant
	learning sync.Map     // pools whose residency is being fetched
	relay    *relay.Relay
	records  *idem.Records
	loads    *loads
	callers  *apigw.Server
	opers    *oper.Server
	current  atomic.Pointer[apigw.ActiveDoc]
	leaving  atomic.Bool
	drain    chan struct{}
	drained  bool // belongs to wait: an operator began the planned stop and no signal has come yet
	drainOne sync.Once
	closed   chan struct{} // closed when the servers should stop accepting
	applyCtx context.Context
	started  time.Time
	trace    io.Closer // nil without a trace file
}

// Run serves until a planned stop has completed, or returns an error when the host can't start.
func (h *Host) Run(ctx context.Context) error {
	if err := h.build(); err != nil {
		return err
	}
	if h.trace != nil {
		defer func() { _ = h.trace.Close() }()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.applyCtx = ctx
	h.started = time.Now()
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
		h.records.Wait()
	})
	cancel()
	background.Wait()
	h.pools.wait()
	return err
}

func (h *Host) startBackground(ctx context.Context, wg *sync.WaitGroup) {
	run := func(name string, f func(context.Context) error) {
		wg.Go(func() {
			if err := f(ctx); err != nil && ctx.Err() == nil {
				h.Log.Error().Err(err).Str("part", name).Msg("part of the host ended")
			}
		})
	}
	wg.Go(func() { h.loop.Run(ctx) })
	run("fellows", h.node.Run)
	run("membership", h.table.Run)
	run("configuration", h.spreader.Run)
	run("loads", h.loads.run)
	wg.Go(func() { h.watcher.run(ctx) })
	wg.Go(func() { h.publish(ctx) })
}

func (h *Host) startServers(ctx context.Context, wg *sync.WaitGroup, failed chan<- error) {
	callers := &websrv.Server{
		Name: "callers", Addr: h.Config.Callers.Listen, CertFile: h.Config.Callers.TLS.CertFile,
		KeyFile: h.Config.Callers.TLS.KeyFile, Routes: h.callers.Routes(), Stop: h.closed,
		OnRejected: h.stats.CountRejection,
	}
	wg.Go(func() { report(callers.Run(ctx), failed) })
	if h.Config.Operators.Listen == "" {
		return
	}
	until, end := context.WithCancel(ctx)
	wg.Go(func() {
		defer end()
		select {
		case <-h.closed:
		case <-ctx.Done():
		}
	})
	wg.Go(func() { report(h.opers.Run(until), failed) })
}

func report(err error, failed chan<- error) {
	if err != nil {
		failed <- err
	}
}

// apply puts a document into force.
func (h *Host) apply(doc *envdoc.Doc, revision int64) error {
	if doc.Environment != h.Config.Environment {
		return errors.Errorf("document is for environment %q, this host serves %q",
			doc.Environment, h.Config.Environment)
	}
	// A call may ask for a pool as soon as the document that names it is current.
	added := h.pools.apply(h.applyCtx, doc)
	h.current.Store(&apigw.ActiveDoc{Doc: doc, Revision: revision, Targets: doc.Targets()})
	h.pools.retire(doc)
	for _, name := range added {
		go h.learn(name)
	}
	h.stats.SetGauge("config_revision", revision)
	h.Log.Info().Int64("revision", revision).Msg("document in force")
	return nil
}

func (h *Host) doc() *envdoc.Doc {
	if c := h.current.Load(); c != nil {
		return c.Doc
	}
	return nil
}

func (h *Host) ready() error {
	switch {
	case h.leaving.Load():
		return errors.New("this host is leaving")
	case h.current.Load() == nil:
		return errors.New("no document is in force yet")
	default:
		return nil
	}
}

// publish sets current values every second, and looks for calls that wait for news of a pool.
func (h *Host) publish(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.gauges()
			h.catchUp()
		}
	}
}

func (h *Host) gauges() {
	h.stats.SetGauge("calls_in_flight", h.callers.InFlight())
	h.stats.SetGauge("members_live", int64(len(h.table.Live())))
	var doubt, copies, owned int64
	for _, d := range h.pools.all() {
		s, ok := d.Snapshot()
		if !ok {
			continue
		}
		owned++
		doubt += int64(s.InDoubt)
		for _, n := range s.Copies {
			copies += int64(n)
		}
	}
	h.stats.SetGauge("pools_owned", owned)
	h.stats.SetGauge("orders_in_doubt", doubt)
	h.stats.SetGauge("resident_copies", copies)
}
