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
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/member"
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
	// Retries are limited to a tenth and hedges to a twentieth of the successful calls.
	retryShare = 0.1
	hedgeShare = 0.05
	budgetMax  = 100
	// traceMode keeps traces, which name callers, from other users.
	traceMode = 0o600
	// writeBurst is the number of seconds of key-value writes that a burst of calls may use at once.
	writeBurst = 5
	retryFirst = 10
	hedgeFirst = 2
	// firstRetention applies before the first document; no call is accepted before it.
	firstRetention = 24 * time.Hour
)

// build creates the parts of the host; nothing runs yet.
func (h *Host) build() error {
	h.stats = &stats.Set{}
	h.stats.Publish("figreel")
	h.loop = ctrl.New()
	h.kv = &kvapi.Client{URL: h.Config.Platform.KVURL, Stats: h.stats}
	h.engines = &engine.Client{}
	h.drain = make(chan struct{})
	h.closed = make(chan struct{})
	h.applyCtx = context.Background()
	h.buildMembership()
	h.buildPools()
	h.buildCallPath()
	h.opers = h.operatorServer()
	if err := h.openTrace(); err != nil {
		return err
	}
	return h.buildLinks()
}

// openTrace appends the host's calls to the trace file of the settings, if there is one.
func (h *Host) openTrace() error {
	if h.Config.TraceFile == "" {
		return nil
	}
	f, err := os.OpenFile(h.Config.TraceFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, traceMode)
	if err != nil {
		return errors.Wrap(err, "open trace file")
	}
	h.trace = f
	h.callers.Trace = &trace.Writer{W: f}
	return nil
}

func (h *Host) buildMembership() {
	h.watcher = &watcher{
		client:   &svcreg.Client{URL: h.Config.Platform.HostsURL},
		reads:    h.readsList,
		depart:   func(d wire.Departure) { h.table.SetDeparture(d) },
		departed: func(subject string) bool { return h.table.IsLeaving(subject) },
		count:    h.stats.CountEvent,
	}
	h.node = &qrpc.Endpoint{Addr: h.Config.Peers.Listen, Stats: h.stats}
	h.table = &member.Table{
		Self: wire.Member{
			Name: h.Config.Name, Addr: h.Config.Peers.Advertise, CallerURL: h.Config.Callers.PublicURL,
			Domain: h.Config.FailureDomain,
		},
		Seeds: h.Config.Peers.Seeds, DynamicSeeds: h.watcher.listed, Dialer: h.node, Stats: h.stats,
		Fanout:         member.DefaultFanout,
		Revision:       func() int64 { return h.spreader.Latest() },
		OnPeerRevision: func(rev int64, from wire.Member) { h.spreader.ObserveRevision(rev, from) },
		OnOwner:        h.ownerChanged,
		OnDeparture:    func(wire.Departure) { h.refreshDepartures() },
	}
	h.spreader = &docrev.Replicator{
		Environment: h.Config.Environment, Self: h.table.Self, KV: h.kv, Dialer: h.node,
		Seeds: h.Config.Peers.Seeds, Members: h.table.Live,
		Notify: func(context.Context, wire.Member) { h.table.Push() },
		Apply:  h.apply, Stats: h.stats, Log: h.Log,
	}
}

func (h *Host) buildPools() {
	h.loads = h.newLoads()
	h.pools = &pools{make: h.newDuty}
	h.tickets = &ticket.Server{Owned: h.pools.owned, Stats: h.stats}
	h.router = &ticket.Router{
		Dial: h.node, Stats: h.stats, Owner: h.ownerAddr, OnNewerVersion: h.stale,
		Local: h.pools.runner,
	}
}

func (h *Host) newDuty(pool string) *pmgr.Manager {
	return &pmgr.Manager{
		Host: h.Config.Name, Pool: pool, Loop: h.loop, KV: h.kv, Engines: h.engines, Stats: h.stats, Log: h.Log,
		Doc: h.doc, Acquire: h.loads.acquire, Announce: h.table.SetOwner, IsLeaving: h.departed,
		NewLease: func(gain func(int64), loss func()) pmgr.Lease {
			return h.newLease("pool/"+h.Config.Environment+"/"+pool, pool, gain, loss)
		},
	}
}

func (h *Host) buildCallPath() {
	retries := &budget.Budget{Share: retryShare, Max: budgetMax, Min: retryFirst}
	hedges := &budget.Budget{Share: hedgeShare, Max: budgetMax, Min: hedgeFirst}
	h.relay = &relay.Relay{
		Tickets: h.router, Engines: h.engines, RetryBudget: retries, HedgeBudget: hedges, Stats: h.stats,
	}
	h.records = &idem.Records{
		KV: h.kv, Stats: h.stats, Environment: h.Config.Environment, Host: h.Config.Name, Retention: h.retention,
		Writes: rate.NewLimiter(rate.Limit(h.Config.Limits.KVWritesPerS), writeBurst*h.Config.Limits.KVWritesPerS),
	}
	h.callers = &apigw.Server{
		ActiveDoc: h.current.Load, Generator: h.relay, Idempotency: h.records, Hosts: h.addresses,
		Ready: h.ready, Stats: h.stats,
		Log: h.Log, HostName: h.Config.Name,
		MaxBodyBytes: h.Config.Limits.MaxBodyBytes, MaxInFlight: int64(h.Config.Limits.MaxCalls),
		Forwarder: &proxy.Proxy{
			Client: &plain.Client{}, RetryBudget: retries, Stats: h.stats, FailureDomain: h.Config.FailureDomain,
			IsLeaving: h.departed,
		},
	}
}

func (h *Host) retention() time.Duration {
	if doc := h.doc(); doc != nil {
		return time.Duration(doc.Once.RetentionS) * time.Second
	}
	return firstRetention
}

// buildLinks loads the certificates of the links to other hosts.
func (h *Host) buildLinks() error {
	files := h.Config.Peers.TLS
	cert, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate for links to other hosts")
	}
	pem, err := os.ReadFile(files.CAFile)
	if err != nil {
		return errors.Wrap(err, "read CA file for links to other hosts")
	}
	ca := x509.NewCertPool()
	if !ca.AppendCertsFromPEM(pem) {
		return errors.Errorf("CA file %s holds no certificate", files.CAFile)
	}
	h.node.Cert = cert
	h.node.CA = ca
	h.node.Handlers = h.handlers()
	_, err = h.node.Listen()
	return err
}

func (h *Host) refreshDepartures() {
	for _, d := range h.pools.all() {
		h.loop.Post(d.Refresh)
	}
}
