package serve

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/member"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/pmgr"
	"github.com/figreel/figreel/internal/proxy"
	"github.com/figreel/figreel/internal/qrpc"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/svcreg"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// Retries are limited to a tenth, and hedges to a twentieth, of the successful calls.
	retryShare = 0.1
	hedgeShare = 0.05
	// budgetMax limits the unused retries or hedges that a host accumulates.
	budgetMax = 100
	// traceFileMode hides traces from other users, because they contain the names of callers.
	traceFileMode = 0o600
	// writeBurstS is how many seconds of the allowed rate of key-value writes may be used in one burst.
	writeBurstS = 5
	// initialRetries and initialHedges are the budgets at the start, before any call has succeeded.
	initialRetries = 10
	initialHedges  = 2
	// initialRetention is used until a document is active. Until then no call is accepted, so it is only a placeholder.
	initialRetention = 24 * time.Hour
)

// build creates the components of the host without running them.
func (h *Host) build() error {
	h.stats = &stats.Set{}
	h.stats.Publish("figreel")
	h.gate = &ingres.Gate{Memory: h.Config.Limits.MemoryMB << 20, Stats: h.stats, Log: h.Log}
	h.loop = ctrl.New()
	h.kv = &kvapi.Client{URL: h.Config.Platform.KVURL, Stats: h.stats}
	h.engines = &engine.Client{}
	h.drainRequested = make(chan struct{})
	h.stopServers = make(chan struct{})
	h.runCtx = context.Background()
	h.buildMembership()
	h.buildPools()
	h.buildCallPath()
	h.operatorAPI = h.operatorServer()
	if err := h.openTrace(); err != nil {
		return err
	}
	return h.buildPeerEndpoint()
}

// openTrace opens the trace file named in the settings, if any, for appending a record of each call.
func (h *Host) openTrace() error {
	if h.Config.TraceFile == "" {
		return nil
	}
	f, err := os.OpenFile(h.Config.TraceFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, traceFileMode)
	if err != nil {
		return errors.Wrap(err, "open trace file")
	}
	h.traceFile = f
	h.callerAPI.Trace = &trace.Writer{W: f}
	return nil
}

// buildMembership creates the membership table and the components that depend on it.
func (h *Host) buildMembership() {
	h.registry = &registryWatcher{
		client:       &svcreg.Client{URL: h.Config.Platform.HostsURL},
		polls:        h.pollsRegistry,
		setDeparture: func(d wire.Departure) { h.members.SetDeparture(d) },
		isLeaving:    func(subject string) bool { return h.members.IsLeaving(subject) },
		countEvent:   h.stats.CountEvent,
	}
	h.endpoint = &qrpc.Endpoint{Addr: h.Config.Peers.Listen, Stats: h.stats}
	h.members = &member.Table{
		Self: wire.Member{
			Name: h.Config.Name, Addr: h.Config.Peers.Advertise, CallerURL: h.Config.Callers.PublicURL,
			Domain: h.Config.FailureDomain,
		},
		Seeds: h.Config.Peers.Seeds, DynamicSeeds: h.registry.seedAddrs, Dialer: h.endpoint, Stats: h.stats,
		Fanout:         member.DefaultFanout,
		Revision:       func() int64 { return h.replicator.Latest() },
		OnPeerRevision: func(rev int64, from wire.Member) { h.replicator.ObserveRevision(rev, from) },
		OnOwner:        h.ownerChanged,
		OnDeparture:    func(wire.Departure) { h.refreshDepartures() },
	}
	h.replicator = &docrev.Replicator{
		Environment: h.Config.Environment, Self: h.members.Self, KV: h.kv, Dialer: h.endpoint,
		Seeds: h.Config.Peers.Seeds, Members: h.members.Live,
		Notify: func(context.Context, wire.Member) { h.members.RequestPush() },
		Apply:  h.apply, Stats: h.stats, Log: h.Log,
	}
}

// buildPools creates the components that manage pools and obtain tickets.
func (h *Host) buildPools() {
	h.loadLimiter = h.newLoadLimiter()
	h.pools = &pools{newManager: h.newPoolManager}
	h.tickets = &ticket.Server{Owned: h.pools.ownedRunner, Stats: h.stats}
	h.router = &ticket.Router{
		Dial: h.endpoint, Stats: h.stats, Owner: h.ownerAddr, OnVersion: h.onVersion,
		Local: h.pools.runner, IsLeaving: h.upstreamLeaving,
	}
}

func (h *Host) newPoolManager(pool string) *pmgr.Manager {
	return &pmgr.Manager{
		Host: h.Config.Name, Pool: pool, Loop: h.loop, KV: h.kv, Engines: h.engines, Stats: h.stats, Log: h.Log,
		Doc: h.doc, Acquire: h.loadLimiter.acquire, Announce: h.members.SetOwner, IsLeaving: h.upstreamLeaving,
		NewLease: func(onAcquired func(int64), onLost func()) pmgr.Lease {
			return h.newLease("pool/"+h.Config.Environment+"/"+pool, pool, onAcquired, onLost)
		},
	}
}

// buildCallPath creates the server for callers and the components that execute its calls.
func (h *Host) buildCallPath() {
	retries := &budget.Budget{Share: retryShare, Max: budgetMax, Initial: initialRetries}
	hedges := &budget.Budget{Share: hedgeShare, Max: budgetMax, Initial: initialHedges}
	h.relay = &relay.Relay{
		Tickets: h.router, Engines: h.engines, RetryBudget: retries, HedgeBudget: hedges, Stats: h.stats,
		Notices: &notice.Table{Changed: h.noticeChanged},
	}
	h.idempotency = &idem.Records{
		KV: h.kv, Stats: h.stats, Environment: h.Config.Environment, Host: h.Config.Name, Retention: h.retention,
		Writes: rate.NewLimiter(rate.Limit(h.Config.Limits.KVWritesPerS), writeBurstS*h.Config.Limits.KVWritesPerS),
	}
	h.callerAPI = &apigw.Server{
		ActiveDoc: h.activeDoc.Load, Generator: h.relay, Idempotency: h.idempotency, Hosts: h.addresses,
		Ready: h.ready, Stats: h.stats,
		Log: h.Log, HostName: h.Config.Name,
		MaxBodyBytes: h.Config.Limits.MaxBodyBytes, MaxInFlight: int64(h.Config.Limits.MaxCalls),
		RequestMemory:  mem.NewBudget(h.Config.Limits.MemoryMB<<20, mem.RequestShare),
		ResponseMemory: mem.NewBudget(h.Config.Limits.MemoryMB<<20, mem.ResponseShare),
		Forwarder: &proxy.Proxy{
			Client: &plain.Client{}, RetryBudget: retries, Stats: h.stats, FailureDomain: h.Config.FailureDomain,
			IsLeaving: h.upstreamLeaving, Notices: &notice.Table{Changed: h.noticeChanged},
		},
	}
}

// noticeChanged logs a pause that an upstream has asked for, when it begins and when the upstream has answered again.
func (h *Host) noticeChanged(c notice.Change) {
	if c.Frequent {
		return
	}
	msg := "upstream has asked for a pause"
	if !c.Active {
		msg = "upstream answers again after a pause"
	}
	h.Log.Info().Str("upstream", c.Instance.ID).Dur("hold_ms", c.Hold).Msg(msg)
}

// retention returns how long idempotency records are kept: the time in the document, or initialRetention without one.
func (h *Host) retention() time.Duration {
	if doc := h.doc(); doc != nil {
		return time.Duration(doc.Once.RetentionS) * time.Second
	}
	return initialRetention
}

// buildPeerEndpoint loads the certificates for peer connections and opens the listener for other hosts.
func (h *Host) buildPeerEndpoint() error {
	files := h.Config.Peers.TLS
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate for peer connections")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return errors.Wrap(err, "read CA file for peer connections")
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return errors.Errorf("CA file %s contains no certificate", files.CAFile)
	}
	h.endpoint.Cert = cert
	h.endpoint.CA = ca
	h.endpoint.Handlers = h.handlers()
	_, err = h.endpoint.Listen()
	return err
}

// refreshDepartures makes every pool manager apply the announced departures to its engines.
func (h *Host) refreshDepartures() {
	for _, m := range h.pools.all() {
		h.loop.Post(m.Refresh)
	}
}
