package site

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/host"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/xhttp"
)

// Headers between callers, hosts and upstreams.
const (
	headerID       = "Call-Id"
	headerLimit    = "Call-Limit"
	headerLeaving  = "Upstream-Leaving"
	headerRefused  = "Not-Run"
	headerRetry    = "Retry-After"
	headerInstance = "Upstream-Id"
)

var errNotTaken = errors.New("engine takes no request")

// restartDelay is the time after which a host that could not start is tried again.
const restartDelay = 100 * time.Millisecond

// siteHost is a host that can be restarted at the same addresses.
type siteHost struct {
	site     *Site
	index    int
	settings host.Settings
	stats    atomic.Pointer[stats.Set] // of the newest process

	mu         sync.Mutex
	generation int
	stop       chan os.Signal
	ended      chan struct{}
}

func newHost(s *Site, i int) (*siteHost, error) {
	var addrs [4]string
	for n := range addrs {
		var err error
		if addrs[n], err = s.net.Addr(); err != nil {
			return nil, err
		}
	}
	return &siteHost{site: s, index: i, settings: host.Settings{
		Name: fmt.Sprint("host-", i), Domain: fmt.Sprint("domain-", i%3), Front: addrs[0], Link: addrs[1],
		ReadyAddr: addrs[2], DirectoryAddr: addrs[3], Grace: stopTime, DrainTime: 2 * time.Second, RetryRatio: 0.2,
		RetryWindow: 10 * time.Second, RetrySlack: 50, HandoverDelay: 3 * time.Second, AddressTTL: time.Second,
		Quota: quotaBounds, RevokeTime: s.revokeTime(),
	}}, nil
}

// start starts a process of the host.
func (h *siteHost) start(ctx context.Context) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.generation++
	h.stop, h.ended = make(chan os.Signal, 1), make(chan struct{})
	stop, ended := h.stop, h.ended
	go func() {
		defer close(ended)
		h.run(ctx, stop)
	}()
	// A canceled context ends no host that waits for its stop signal.
	context.AfterFunc(ctx, func() { stop <- syscall.SIGTERM })
}

// run runs the host until it has stopped. It tries again while the host that ran at its addresses still closes them.
func (h *siteHost) run(ctx context.Context, stop <-chan os.Signal) {
	log := h.site.Log.With().Str("host", h.settings.Name).Logger()
	for {
		run := &host.Host{
			Settings: h.settings, Pool: &h1.Pool{IDHeader: headerID}, Stats: &stats.Set{}, Stop: stop,
			Platform: h.site.platform(h.index), Log: log,
		}
		h.stats.Store(run.Stats)
		err := run.Run(ctx)
		if err == nil {
			return
		}
		log.Error().Err(err).Msg("host failed")
		if !clock.Sleep(ctx, restartDelay) {
			return
		}
	}
}

// restart stops the host in a planned way and starts it again.
func (h *siteHost) restart(ctx context.Context) {
	h.mu.Lock()
	stop, ended := h.stop, h.ended
	h.mu.Unlock()
	select {
	case stop <- syscall.SIGTERM:
	default:
	}
	go func() {
		<-ended
		if ctx.Err() == nil {
			h.start(ctx)
		}
	}()
}

// wait waits until the host has ended.
func (h *siteHost) wait(timeout time.Duration) {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(timeout):
	}
}

// label names the current process of the host.
func (h *siteHost) label() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s.%d", h.settings.Name, h.generation)
}

// platform returns what the host with this index knows of the deployment.
func (s *Site) platform(index int) *host.Platform {
	return &host.Platform{
		Store: &hostStore{s.store, s, index}, ConfigPrefix: configPrefix, UpstreamPrefix: upstreamPrefix,
		Upstream: decodeUpstream,
		Config:   func(store.Item) (*topo.Config, error) { return s.config(), nil },
		Engines:  engineClient{s},
		Headers: entry.Headers{
			ID: headerID, Deadline: "Call-Deadline", Instance: headerInstance, NotExecuted: headerRefused,
			LastEventID: "Last-Event-Id", Priority: "Call-Priority", RetryAfter: headerRetry,
			Key: headerKey, Workspace: headerWorkspace,
		},
		ParseSpec:   parseSpec,
		ParseNotice: parseNotice,
		Serve: func(ctx context.Context, _ host.Endpoints) error {
			<-ctx.Done()
			return nil
		},
	}
}

func parseNotice(status int, h http.Header) topo.Notice {
	n := topo.Notice{Partial: status != http.StatusOK, Leaving: h.Get(headerLeaving) != ""}
	if value := h.Get(headerLimit); value != "" {
		n.Limit, n.Malformed = strconv.ParseFloat(value, 64)
		n.Limited = n.Malformed == nil
	}
	if value := h.Get(headerRetry); value != "" && status == http.StatusServiceUnavailable {
		n.Hold, n.Malformed = xhttp.ParseRetryAfter(value, time.Now())
	}
	return n
}

// engineClient reports engines with one resident model, which take no orders, and what they state now.
type engineClient struct{ site *Site }

func (e engineClient) Report(_ context.Context, u *topo.Upstream) (*topo.Report, topo.Notice, error) {
	r := &topo.Report{Boot: u.Boot, KVTotal: kvTokens, Models: []topo.Resident{{Name: modelName}}}
	n, _ := e.site.notice(u.ID)
	if n.Hold > 0 {
		return nil, n, errNotTaken
	}
	return r, n, nil
}

func (e engineClient) Order(_ context.Context, u *topo.Upstream, _ *topo.Order) (topo.OrderResult, topo.Notice, error) {
	n, _ := e.site.notice(u.ID)
	return topo.OrderRejected, n, errNotTaken
}

// hasAllQuotas reports whether the host leads and has the parts of the quotas of all hosts.
func (h *siteHost) hasAllQuotas() bool {
	st := h.stats.Load()
	if st == nil {
		return false
	}
	share := st.Gauges.Get("quota_share_permille")
	return share != nil && share.String() == "1000"
}
