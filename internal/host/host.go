package host

import (
	"context"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// addressTTL is how long callers may cache addresses; it is short so that callers soon stop using a failed host.
	addressTTL = time.Second
	// maxAddresses is the maximum number of addresses in a response to callers.
	maxAddresses = 64
	// sweepInterval is the interval at which idle upstream connections are checked.
	sweepInterval = 500 * time.Millisecond
	// stopMargin is how long before the end of the grace period a stopping host exits, so that it is not killed.
	stopMargin = 400 * time.Millisecond
	// rejectAfter is how long a stopping host accepts new calls; by then most callers have learned that it stops.
	rejectAfter = 2800 * time.Millisecond
	// idlePeriod is the time without calls after which a stopping host may end early.
	idlePeriod = 1500 * time.Millisecond
	// closeTime is how long calls that end with the host may take to get their responses; it is shorter than
	// stopMargin.
	closeTime = 250 * time.Millisecond
	// minStop is the minimum time before a stopping host ends, for callers that have not learned that it stops.
	minStop = 3500 * time.Millisecond
	// maxHeaderBytes and headerTimeout limit a request's header, idleTimeout an idle connection of a caller, before a
	// configuration is known.
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	// callerShare is the share of the descriptors that connections of callers may take.
	callerShare = 0.4
)

// Host is one running host; its exported fields are set before Run.
type Host struct {
	Settings Settings
	Platform *Platform
	Pool     *h1.Pool
	Stats    *stats.Set
	Log      zerolog.Logger
	// Gate limits the connections that callers and other machines open; Run sets it if it is nil.
	Gate *ingres.Gate
	// Stop delivers the signal that starts a graceful shutdown.
	Stop <-chan os.Signal
	// Reload delivers reloaded settings; only the seeds can change while the host runs.
	Reload <-chan Settings

	cache         *storeCache
	elector       *elect.Elector
	relay         *watchRelay
	tickets       *ticketService
	reconciler    *reconciler
	streams       *streamStore
	entry         *entry.Server
	traffic       link.Traffic // to other hosts
	closeCallers  func()       // closes the server for callers and waits until that is done
	stoppingSince atomic.Int64 // boot time of the stop signal, 0 before
	lastCall      atomic.Int64 // boot time of the last call since the stop signal
}

// Run serves until a graceful shutdown has completed or a server fails.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.build(ctx)
	failed := make(chan error, 4)
	h.start(ctx, failed)
	h.Log.Info().Str("front", h.Settings.Front).Str("link", h.Settings.Link).Msg("host started")
	for running := true; running; {
		select {
		case err := <-failed:
			return err
		case s := <-h.Reload:
			h.relay.setSeeds(s.Seeds)
		case <-h.Stop:
			running = false
		}
	}
	h.stop(ctx)
	h.closeCallers()
	h.Log.Info().Int64("in_flight", h.entry.InFlight()).Msg("host stopped")
	return nil
}

func (h *Host) build(ctx context.Context) {
	s := &h.Settings
	self := topo.Host{
		Name: s.Name, Front: s.Front, Link: s.Link, Domain: s.Domain, Ready: true, Cores: s.Cores,
	}
	h.elector = &elect.Elector{
		Self: self, Store: h.Platform.Store, Log: h.Log, HandoverDelay: s.HandoverDelay, HasRun: s.HasRun,
		Rank: h.rank, RequestStepDown: h.requestStepDown, LeadershipChanged: h.leadershipChanged,
	}
	limits := newAgeLimits(s.DrainTime)
	h.cache = newStoreCache(h.Platform, limits, h.elector, h.Stats, h.Log)
	h.cache.setRevokeTime(s.RevokeTime)
	notices := &notice.Table{Changed: h.noticeChanged, Malformed: h.noticeMalformed}
	h.tickets = newTicketService(s.Name, h.elector, notices, h.Stats, h.Log)
	h.tickets.publishSpeeds()
	h.tickets.senders = h.cache.senderCount
	h.tickets.departed, h.tickets.isCurrent = h.cache.departed, h.cache.isCurrent
	h.limitWorkspaces()
	h.streams = &streamStore{
		store: h.Platform.Store, elector: h.elector, tickets: h.tickets, stats: h.Stats, log: h.Log,
		refresh: h.cache.refresh, knownEra: h.cache.era, first: h.elector.IsFirstLeader,
		hosts: h.cache.hostCount, writesPerS: s.StoreWrites,
	}
	h.streams.init()
	h.tickets.streams = h.streams
	h.cache.onChange = h.updateScheduler
	h.cache.schedules = func() bool { return h.elector.IsLeader() || h.tickets.schedulesAlone() }
	h.elector.StoreReachable = h.cache.retryStore
	h.elector.Hosts = h.cache.hostCount
	h.relay = &watchRelay{
		self: self, cache: h.cache, elector: h.elector, tickets: h.tickets, seeds: s.Seeds, stats: h.Stats, log: h.Log,
		now: clock.SinceBoot, dial: h.dial,
	}
	h.relay.sources = sourceSet{Self: s.Name, WaitsAtStart: s.waitsForSeeds(), Limits: limits}
	h.cache.isSource = h.relay.isSource
	h.elector.StoreLost = h.cache.wakeWaiting
	h.elector.CampaignRejected = func() { h.Stats.CountEvent("campaign_rejected") }
	h.Stats.SetGaugeFunc("leader", func() int64 { return indicator(h.elector.IsLeader()) })
	h.Stats.SetGaugeFunc("leader_known", func() int64 {
		_, known := h.elector.Leader()
		return indicator(known)
	})
	h.Stats.SetGaugeFunc("leader_listens", func() int64 {
		return indicator(h.elector.IsLeader() || h.tickets.listeningLeader() != nil)
	})
	h.Stats.SetGaugeFunc("backlogged_workspaces", h.tickets.backloggedWorkspaces)
	h.relay.promises.HandoverDelay = s.HandoverDelay
	h.elector.PromisedUntil = h.relay.promises.Until
	h.reconciler = &reconciler{
		self: s.Name, elector: h.elector, cache: h.cache, tickets: h.tickets, engines: h.Platform.Engines,
		stats: h.Stats, log: h.Log,
	}
	h.tickets.dial = h.dial
	h.traffic.Each(func(kind string, messages, bytes func() int64) {
		h.Stats.SetGaugeFunc("link_messages_"+kind, messages)
		h.Stats.SetGaugeFunc("link_bytes_"+kind, bytes)
	})
	h.tickets.loadAdapters = func(loads []sched.AdapterLoad) { h.reconciler.loadAdapters(ctx, loads) }
	h.entry = &entry.Server{
		Headers: h.Platform.Headers, ParseSpec: h.Platform.ParseSpec, ParseLoad: h.Platform.ParseLoad,
		ParseNotice: h.Platform.ParseNotice, StartCheck: h.Platform.StartCheck, Notices: notices,
		Domain: s.Domain, Config: h.cache.Config, Keys: h.keys(),
		Pool: h.Pool, Tickets: h.tickets, Quarantine: h.tickets, Quotas: h.tickets, Balancer: &entry.Balancer{
			Domain: s.Domain, Upstreams: h.cache.Upstreams, Notices: notices, LimitShare: h.tickets.hostShare,
		},
		RetryBudget: &retryBudget{
			ratio: s.RetryRatio, window: s.RetryWindow, freeRetries: s.RetrySlack,
			hosts: h.cache.senderCount,
		},
		Hedges: h.hedges(), Stats: h.Stats, Log: h.Log, Stopping: h.stopStage,
	}
	h.limitMemory()
	if h.Gate == nil {
		h.Gate = s.NewGate(h.Stats, h.Log)
	}
}

func (h *Host) start(ctx context.Context, failed chan<- error) {
	background := []func(context.Context){
		h.elector.Run, h.tickets.run, h.tickets.connectLeader, h.reconciler.run, h.sweepIdle, h.relay.run,
		h.streams.run, h.tickets.runQuota,
	}
	for _, f := range background {
		go f(ctx)
	}
	for _, prefix := range h.cache.prefixes() {
		watchesStore := h.relay.watchesStore
		if prefix == h.Platform.ConfigPrefix {
			watchesStore = func() bool { return true }
		}
		go h.cache.run(ctx, prefix, watchesStore)
	}
	callersCtx, closeCallers := context.WithCancel(ctx)
	callersClosed := make(chan struct{})
	h.closeCallers = func() {
		closeCallers()
		<-callersClosed
	}
	servers := []func() error{
		func() error { return link.Listen(ctx, h.Settings.Link, h.Gate, h.serveConn) },
		func() error {
			return h.Platform.Serve(ctx, Endpoints{
				ReadyAddr: h.Settings.ReadyAddr, DirectoryAddr: h.Settings.DirectoryAddr, Gate: h.Gate, Ready: h.ready,
				Addresses: h.addresses,
			})
		},
		func() error {
			defer close(callersClosed)
			return h.serveCallers(callersCtx)
		},
	}
	for _, f := range servers {
		go func() {
			if err := f(); err != nil {
				failed <- err
			}
		}()
	}
}

// serveCallers serves callers until ctx ends. Calls that have been read by then get their responses before it returns.
func (h *Host) serveCallers(ctx context.Context) error {
	lc := net.ListenConfig{KeepAliveConfig: h1.KeepAlive()}
	bound, err := lc.Listen(ctx, "tcp4", h.Settings.Front)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	l := h.Gate.Wrap(bound, ingres.Port{Name: "front", Share: callerShare, Limits: h.callerLimits})
	srv := &http.Server{Handler: h.entry}
	l.Prepare(srv)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		h.closeServer(srv)
	})
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	<-closed
	return nil
}

// callerLimits returns the limits of the active configuration, or constants before there is one.
func (h *Host) callerLimits() topo.Limits {
	if cfg := h.entry.Config(); cfg != nil {
		return cfg.Limits
	}
	return topo.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// closeServer ends all calls and closes the server when they have got their responses, or after closeTime.
func (h *Host) closeServer(srv *http.Server) {
	h.entry.EndCalls()
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		h.Log.Info().Err(err).Int64("in_flight", h.entry.InFlight()).Msg("connections of callers closed")
		_ = srv.Close()
	}
}

// updateScheduler passes the active configuration and the upstreams to the scheduler. It reads them while the scheduler
// is locked, so that of two calls at once the later one passes the newer state.
func (h *Host) updateScheduler() {
	if h.cache.Config() == nil {
		return
	}
	h.tickets.withScheduler(func(now time.Time, k *sched.Scheduler) {
		ups := h.cache.Upstreams("")
		h.tickets.notices.SetListed(now, ups)
		k.SetConfig(h.cache.Config())
		k.SetUpstreams(now, ups)
		for _, v := range h.cache.takeRetired() {
			k.Streams.SetInService(now, v.service, v.software)
		}
		h.tickets.quota.SetWorkspaces(now, h.cache.Config().Workspaces)
	})
	h.tickets.wakeQuota()
}

func (h *Host) leadershipChanged(held bool) {
	h.Log.Info().Bool("held", held).Msg("leadership changed")
}

func (h *Host) rank(previous string) int { return rankOf(h.cache.Hosts(), h.Settings.Name, previous) }

// rankOf returns the position of a host in the order in which hosts campaign for the leader lease. Hosts with more
// processor time come first, and among them the host that registered last: in a rolling restart it has been restarted
// already and will not stop soon. The previous leader is left out.
func rankOf(hosts []topo.Host, self, previous string) int {
	var own topo.Host
	for _, o := range hosts {
		if o.Name == self {
			own = o
		}
	}
	n := 0
	for _, o := range hosts {
		if o.Name == self || o.Name == previous {
			continue
		}
		if o.Cores > own.Cores || o.Cores == own.Cores && o.Registered > own.Registered {
			n++
		}
	}
	return n
}

func (h *Host) requestStepDown(ctx context.Context, earlier elect.Leader, t elect.Term) (time.Duration, error) {
	c, err := h.dial(ctx, earlier.Link)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	m, err := c.RoundTrip(ctx, &link.Message{
		Kind: link.StepDown, Host: h.Settings.Name, Nonce: t.Nonce, Token: t.Token,
	})
	if err != nil {
		return 0, err
	}
	if m.Kind != link.SteppedDown {
		return 0, errors.New("the earlier leader did not step down")
	}
	return time.Duration(m.LastOrderAgeMS) * time.Millisecond, nil
}

// dial connects to another host.
func (h *Host) dial(ctx context.Context, addr string) (*link.Conn, error) {
	c, err := link.Dial(ctx, addr)
	if err == nil {
		c.Traffic = &h.traffic
	}
	return c, err
}

// serveConn serves a connection of another host; the first message selects how.
func (h *Host) serveConn(c *link.Conn) {
	defer c.Close()
	c.Traffic = &h.traffic
	m, err := c.Receive()
	if err != nil {
		return
	}
	var response *link.Message
	switch m.Kind {
	case link.Hello:
		h.tickets.serveFollower(c, m)
		return
	case link.StepDown:
		if lastOrderAge, ok := h.elector.StepDown(elect.Term{Nonce: m.Nonce, Token: m.Token}); ok {
			response = &link.Message{Kind: link.SteppedDown, LastOrderAgeMS: lastOrderAge.Milliseconds()}
		}
	case link.RequestPromise:
		response = h.relay.promise(m)
	case link.GetChanges:
		h.relay.serve(c, m)
		return
	}
	if response == nil {
		return
	}
	if err := c.Send(response); err != nil {
		h.Log.Warn().Err(err).Msg("response to host failed")
	}
}

func (h *Host) sweepIdle(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		h.Pool.Sweep(time.Now())
	}
}

func (h *Host) ready() bool { return h.cache.Config() != nil && h.stoppingSince.Load() == 0 }

// addresses returns the addresses of the ready hosts, those of the caller's failure domain first, or that of this host
// if none is ready. It also returns how long callers may cache them.
func (h *Host) addresses(domain string) ([]string, time.Duration) {
	hosts := h.cache.Hosts()
	slices.SortStableFunc(hosts, func(a, b topo.Host) int {
		return int(indicator(b.Domain == domain) - indicator(a.Domain == domain))
	})
	var out []string
	for _, o := range hosts {
		if o.Ready && len(out) < maxAddresses && (o.Name != h.Settings.Name || h.ready()) {
			out = append(out, o.Front)
		}
	}
	if len(out) == 0 {
		out = append(out, h.Settings.Front)
	}
	return out, min(addressTTL, h.Settings.AddressTTL)
}

// indicator returns 1 for true and 0 for false.
func indicator(v bool) int64 {
	if v {
		return 1
	}
	return 0
}

// stopStage reports whether responses close their connections and whether new calls are rejected. It is called for each
// call; while the host is stopping, it also records the current time as that of the last call.
func (h *Host) stopStage() (closing, rejecting bool) {
	since := h.stoppingSince.Load()
	if since == 0 {
		return false, false
	}
	now := clock.SinceBoot()
	h.lastCall.Store(int64(now))
	return true, now-time.Duration(since) > min(rejectAfter, h.Settings.Grace/3)
}

// stop removes the host from the addresses for callers, serves the calls that still arrive and returns before the
// process is killed.
func (h *Host) stop(ctx context.Context) {
	start := clock.SinceBoot()
	h.stoppingSince.Store(int64(start))
	h.lastCall.Store(int64(start))
	h.Log.Info().Int64("in_flight", h.entry.InFlight()).Msg("host stopping")
	h.elector.Leave(ctx)
	end := start + h.Settings.Grace - stopMargin
	for now := start; now < end; now = clock.SinceBoot() {
		idle := now - time.Duration(h.lastCall.Load())
		if h.entry.InFlight() == 0 && idle > idlePeriod && now-start > minStop {
			return
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
}
