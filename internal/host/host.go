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
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// addressTime is how long callers may keep an answer; a short time takes callers off a lost host soon.
	addressTime = time.Second
	// maxAddresses bounds an answer to callers.
	maxAddresses = 64
	// sweepEvery is the pause between two looks at idle connections.
	sweepEvery = 500 * time.Millisecond
	// stopMargin is kept from the time between the signal to stop and the end.
	stopMargin = 400 * time.Millisecond
	// refuseAfter is how long after the signal to stop new calls are taken; most callers have heard by then.
	refuseAfter = 2800 * time.Millisecond
	// quietTime without calls lets a stopping host end early.
	quietTime = 1500 * time.Millisecond
	// leastStop is the least time for which a stopping host takes calls of callers that have not heard yet.
	leastStop = 3500 * time.Millisecond
	// maxHeaderBytes and headerTime bound a request's header until the configuration says so.
	maxHeaderBytes = 64 << 10
	headerTime     = 10 * time.Second
	idleTime       = 60 * time.Second
)

// Host is one running host; its fields are set before Run.
type Host struct {
	Settings Settings
	Platform *Platform
	Pool     *h1.Pool
	Stats    *stats.Set
	Log      zerolog.Logger
	// Stop begins a planned stop.
	Stop <-chan os.Signal
	// Reload brings the settings anew; of these, only the seeds can change while the host runs.
	Reload <-chan Settings

	view     *view
	seat     *elect.Elector
	relay    *relay
	dispatch *dispatch
	steer    *steer
	entry    *entry.Server
	stopping atomic.Int64 // boot time of the signal to stop, 0 before
	lastCall atomic.Int64
}

// Run serves until a planned stop has completed.
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
	h.Log.Info().Int64("in_flight", h.entry.InFlight()).Msg("host stopped")
	return nil
}

func (h *Host) build(ctx context.Context) {
	s := &h.Settings
	self := topo.Host{Name: s.Name, Front: s.Front, Link: s.Link, Domain: s.Domain, Ready: true}
	h.seat = &elect.Elector{
		Self: self, Store: h.Platform.Store, Log: h.Log, HandoverDelay: s.HandoverDelay,
		Rank: h.rank, RequestStepDown: h.yield, Changed: h.seatChanged,
	}
	h.view = newView(h.Platform, h.seat, h.Stats, h.Log)
	h.dispatch = newDispatch(s.Name, h.seat, h.Stats, h.Log)
	h.view.changed = h.refresh
	h.relay = &relay{
		self: self, view: h.view, seat: h.seat, seeds: s.Seeds, stats: h.Stats, log: h.Log, now: clock.SinceBoot,
	}
	h.seat.OutageConfirmed = h.relay.vouched
	h.steer = &steer{
		self: s.Name, seat: h.seat, view: h.view, desk: h.dispatch, engines: h.Platform.Engines, stats: h.Stats,
		log: h.Log,
	}
	h.dispatch.needs = func(needs []sched.AdapterLoad) { h.steer.adapters(ctx, needs) }
	h.entry = &entry.Server{
		Headers: h.Platform.Headers, ParseSpec: h.Platform.ParseSpec, Domain: s.Domain, Config: h.view.Config,
		Pool: h.Pool, Tickets: h.dispatch, Balancer: &entry.Balancer{Domain: s.Domain, Upstreams: h.view.Upstreams},
		RetryBudget: &retries{
			ratio: s.RetryRatio, window: s.RetryWindow, slack: s.RetrySlack,
			hosts: func() int { return len(h.view.Hosts()) },
		},
		Stats: h.Stats, Log: h.Log, Stopping: h.stage,
	}
}

func (h *Host) start(ctx context.Context, failed chan<- error) {
	background := []func(context.Context){
		h.seat.Run, h.dispatch.run, h.dispatch.follow, h.steer.run, h.sweep, h.relay.run,
	}
	for _, f := range background {
		go f(ctx)
	}
	for _, prefix := range h.view.prefixes() {
		direct := h.relay.direct
		if prefix == h.Platform.ConfigPrefix {
			direct = func() bool { return true }
		}
		go h.view.run(ctx, prefix, direct)
	}
	servers := []func() error{
		func() error { return link.Listen(ctx, h.Settings.Link, h.serveLink) },
		func() error {
			return h.Platform.Serve(ctx, Endpoints{
				ReadyAddr: h.Settings.ReadyAddr, DirectoryAddr: h.Settings.DirectoryAddr, Ready: h.ready,
				Addresses: h.addresses,
			})
		},
		func() error { return h.serveCallers(ctx) },
	}
	for _, f := range servers {
		go func() {
			if err := f(); err != nil {
				failed <- err
			}
		}()
	}
}

func (h *Host) serveCallers(ctx context.Context) error {
	lc := net.ListenConfig{KeepAliveConfig: h1.KeepAlive()}
	l, err := lc.Listen(ctx, "tcp4", h.Settings.Front)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	srv := &http.Server{
		Handler: h.entry, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil,
	}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// refresh takes over what the store told.
func (h *Host) refresh() {
	c := h.view.Config()
	if c == nil {
		return
	}
	ups := h.view.Upstreams("")
	h.dispatch.with(func(now time.Time, k *sched.Scheduler) {
		k.SetConfig(c)
		k.SetUpstreams(now, ups)
	})
}

func (h *Host) seatChanged(held bool) {
	h.Log.Info().Bool("held", held).Msg("seat changed")
}

func (h *Host) rank(last string) int { return rankOf(h.view.Hosts(), h.Settings.Name, last) }

// rankOf orders the live hosts for the seat: those that registered last come first, because hosts that are restarted
// one after the other have their stop behind them then. The last holder is left out.
func rankOf(hosts []topo.Host, self, last string) int {
	var own int64
	for _, o := range hosts {
		if o.Name == self {
			own = o.Registered
		}
	}
	n := 0
	for _, o := range hosts {
		if o.Name != self && o.Name != last && o.Registered > own {
			n++
		}
	}
	return n
}

func (h *Host) yield(ctx context.Context, last elect.Leader) (time.Duration, error) {
	c, err := link.Dial(ctx, last.Link)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	holder, _ := h.seat.Leader()
	m, err := c.RoundTrip(ctx, &link.Message{Kind: link.StepDown, Host: h.Settings.Name, Nonce: holder.Nonce})
	if err != nil {
		return 0, err
	}
	if m.Kind != link.SteppedDown {
		return 0, errors.New("the last holder keeps the seat")
	}
	return time.Duration(m.LastOrderAgeMS) * time.Millisecond, nil
}

// serveLink serves a connection of another host by its first message.
func (h *Host) serveLink(c *link.Conn) {
	defer c.Close()
	m, err := c.Receive()
	if err != nil {
		return
	}
	var answer *link.Message
	switch m.Kind {
	case link.Hello:
		h.dispatch.serve(c, m)
		return
	case link.StepDown:
		if ago, ok := h.seat.StepDown(m.Nonce); ok {
			answer = &link.Message{Kind: link.SteppedDown, LastOrderAgeMS: ago.Milliseconds()}
		}
	case link.GetChanges:
		h.relay.serve(c, m)
		return
	}
	if answer == nil {
		return
	}
	if err := c.Send(answer); err != nil {
		h.Log.Warn().Err(err).Msg("answer to host lost")
	}
}

func (h *Host) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) {
		h.Pool.Sweep(time.Now())
	}
}

func (h *Host) ready() bool { return h.view.Config() != nil && h.stopping.Load() == 0 }

// addresses returns the ready hosts, those of the caller's failure domain first.
func (h *Host) addresses(domain string) ([]string, time.Duration) {
	hosts := h.view.Hosts()
	slices.SortStableFunc(hosts, func(a, b topo.Host) int {
		return near(b, domain) - near(a, domain)
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
	return out, min(addressTime, h.Settings.AddressTTL)
}

func near(o topo.Host, domain string) int {
	if o.Domain == domain {
		return 1
	}
	return 0
}

// stage tells whether answers close their connections and whether new calls are refused.
func (h *Host) stage() (closing, refusing bool) {
	since := h.stopping.Load()
	if since == 0 {
		return false, false
	}
	now := clock.SinceBoot()
	h.lastCall.Store(int64(now))
	return true, now-time.Duration(since) > min(refuseAfter, h.Settings.Grace/3)
}

// stop takes the host out of the addresses, serves the calls that still come and ends before the process is killed.
func (h *Host) stop(ctx context.Context) {
	start := clock.SinceBoot()
	h.stopping.Store(int64(start))
	h.lastCall.Store(int64(start))
	h.Log.Info().Int64("in_flight", h.entry.InFlight()).Msg("host stopping")
	h.seat.Leave(ctx)
	end := start + h.Settings.Grace - stopMargin
	for now := start; now < end; now = clock.SinceBoot() {
		idle := now - time.Duration(h.lastCall.Load())
		if h.entry.InFlight() == 0 && idle > quietTime && now-start > leastStop {
			return
		}
		clock.Sleep(ctx, 50*time.Millisecond)
	}
}
