package site

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/emul/lonet"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

const (
	configPrefix   = "conf/"
	upstreamPrefix = "up/"
	modelService   = "models"
	plainService   = "plain"
	// startTime is the time that hosts get to register and to choose a leader before the first call.
	startTime = 2 * time.Second
	// maxQuotaWait bounds the wait for a leader with all parts of the quotas, which is looked for every quotaPoll.
	// fillTime is the time in which an empty account has filled: bursts are what a second of the rate allows.
	maxQuotaWait = 20 * time.Second
	quotaPoll    = 50 * time.Millisecond
	fillTime     = 1100 * time.Millisecond
	// stopTime is the time that hosts get to end their calls after the last one.
	stopTime = 3 * time.Second
)

type (
	// Site is a deployment; its fields are set before Run.
	Site struct {
		Hosts     int
		Engines   int
		Plain     int           // upstreams of a plain service
		ModelRate float64       // calls to engines per second
		PlainRate float64       // calls to the plain service per second
		WorkTime  time.Duration // of each call at an upstream
		Duration  time.Duration // of the load
		Seed      uint64
		// Statements are what upstreams state, and when.
		Statements []Statement
		// RestartAt are the times at which one host after the other is restarted.
		RestartAt []time.Duration
		Outages   []Outage
		// Workspaces hold keys and quotas; without any, calls need no key. With them, the rates above are those of the
		// usual load of all.
		Workspaces []Workspace
		// Speeds are factors of the speed of upstreams, one after the other; empty means that all are equal.
		Speeds []float64
		Log    zerolog.Logger

		net     *lonet.Net
		store   *stub.Store
		started time.Time
		report  Report
		mu      sync.Mutex
		hosts   []*siteHost // guarded by mu
	}

	// Statement is what an upstream states from one time after the start of the load until another.
	Statement struct {
		Upstream    string
		From, Until time.Duration
		Limit       float64 // calls per second; 0 states none
		Leaving     bool
		Hold        time.Duration // rejects calls with status 503 and this time; 0 serves them
	}

	// registration is an upstream's entry in the store.
	registration struct {
		Service string `json:"service"`
		Addr    string `json:"addr"`
	}
)

// Run starts the deployment, sends calls for Duration and returns what has happened.
func (s *Site) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if s.net, err = lonet.Claim(); err != nil {
		return nil, err
	}
	defer func() { _ = s.net.Close() }()
	s.store = &stub.Store{}
	s.store.Set(configPrefix+"main", "1")
	s.report = Report{statements: s.Statements, seen: make(map[pair]*counts), usages: newUsages(s.Workspaces)}
	for i := range s.Engines + s.Plain {
		name, service := fmt.Sprint("engine-", i), modelService
		if i >= s.Engines {
			name, service = fmt.Sprint("plain-", i-s.Engines), plainService
		}
		work := s.WorkTime
		if len(s.Speeds) > 0 {
			work = time.Duration(float64(work) / s.Speeds[i%len(s.Speeds)])
		}
		if err := s.startUpstream(ctx, name, service, work); err != nil {
			return nil, err
		}
	}
	for i := range s.Hosts {
		h, err := newHost(s, i)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
		h.start(ctx)
	}
	time.Sleep(startTime)
	s.waitForQuotas(ctx)
	s.mu.Lock()
	s.started = time.Now()
	s.mu.Unlock()
	go s.disrupt(ctx)
	s.sendCalls(ctx)
	cancel()
	for _, h := range s.hosts {
		h.wait(stopTime)
	}
	return &s.report, nil
}

// waitForQuotas waits until a leader has the parts of the quotas of all hosts and its accounts, which start empty, have
// filled, at most maxQuotaWait. Calls that come sooner are refused, which is no fault of a deployment in steady state.
func (s *Site) waitForQuotas(ctx context.Context) {
	if len(s.Workspaces) == 0 {
		return
	}
	for end := time.Now().Add(maxQuotaWait); time.Now().Before(end) && clock.Sleep(ctx, quotaPoll); {
		if slices.ContainsFunc(s.hosts, (*siteHost).hasAllQuotas) {
			clock.Sleep(ctx, fillTime)
			return
		}
	}
}

// disrupt restarts one host after the other as planned.
func (s *Site) disrupt(ctx context.Context) {
	for n, at := range s.RestartAt {
		if !clock.Sleep(ctx, at-s.since()) {
			return
		}
		s.hosts[n%len(s.hosts)].restart(ctx)
	}
}

// since returns the time since the first call, which is negative before.
func (s *Site) since() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started.IsZero() {
		return -1
	}
	return time.Since(s.started)
}

// config is the configuration of the deployment.
func (s *Site) config() *topo.Config {
	route := func(service string) topo.Route {
		return topo.Route{
			Name: service, Host: hostName, PathPrefix: "/" + service + "/", Kind: topo.Idempotent,
			Timeout: callTimeout, TargetLatency: callTimeout / 2, MaxAttempts: 2,
			TrafficSplit: []topo.WeightedService{{Service: service, Weight: 1}},
		}
	}
	return &topo.Config{
		Version: 1, Routes: []topo.Route{route(modelService), route(plainService)}, Workspaces: s.workspaces(),
		Limits: topo.Limits{
			HeaderBytes: 1 << 16, BodyBytes: 1 << 16, HeaderTimeout: callTimeout, IdleTimeout: time.Minute,
		},
		Services: map[string]topo.Service{
			plainService: {Name: plainService},
			modelService: {Name: modelService, Engine: &topo.EngineSpec{
				Slots: engineSlots, KVTokens: kvTokens, MemoryMB: 1,
				Models: []topo.Model{{Name: modelName, MemoryMB: 1}},
			}},
		},
	}
}

func decodeUpstream(it store.Item) (*topo.Upstream, error) {
	var e registration
	if err := json.Unmarshal(it.Value, &e); err != nil {
		return nil, errors.Wrap(err, "decode upstream")
	}
	u := &topo.Upstream{
		ID: it.Key[len(upstreamPrefix):], Boot: 1, Service: e.Service, Addr: e.Addr, Slots: engineSlots,
	}
	if e.Service == modelService {
		u.Models = []topo.Resident{{Name: modelName}}
	}
	return u, nil
}

// Logger returns a logger for a tool: everything from warnings on if verbose is set, and otherwise nothing.
func Logger(verbose bool) zerolog.Logger {
	if !verbose {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stderr).With().Timestamp().Logger()
}
