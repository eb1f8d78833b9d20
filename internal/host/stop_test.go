package host

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

// noTickets is a ticket client whose calls wait until they end. Each is announced by the channel.
type noTickets chan struct{}

func (n noTickets) RequestTicket(ctx context.Context, _ sched.Request) (sched.Decision, error) {
	n <- struct{}{}
	<-ctx.Done()
	return sched.Decision{}, errors.Wrap(ctx.Err(), "wait for an engine")
}

func (noTickets) FirstEvent(sched.Grant, *topo.Load) {}
func (noTickets) Release(sched.Grant, sched.Outcome) {}
func (noTickets) Earn(string)                        {}
func (noTickets) Spend(string) bool                  { return true }

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// waitForServer waits until a server listens at the address.
func waitForServer(t *testing.T, addr string) {
	t.Helper()
	for range 100 {
		if nc, err := net.Dial("tcp4", addr); err == nil {
			_ = nc.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no server at %s", addr)
}

// Guards against calls that are cut off without a response when a host ends at the end of a planned stop: one that
// waits for an engine, and one that an upstream is still executing.
func TestCallsAtEndOfStop(t *testing.T) {
	silent := listenLocal(t)
	taken := make(chan struct{}, 1)
	go func() {
		for {
			nc, err := silent.Accept()
			if err != nil {
				return
			}
			_, _ = nc.Read(make([]byte, 1))
			taken <- struct{}{}
		}
	}()
	cfg := &topo.Config{
		Version: 1, Limits: topo.Limits{BodyBytes: 1 << 10},
		Services: map[string]topo.Service{"plain": {}, "model": {Engine: &topo.EngineSpec{}}},
	}
	for _, name := range []string{"plain", "model"} {
		cfg.Routes = append(cfg.Routes, topo.Route{
			Name: name, Host: "svc.example", PathPrefix: "/" + name + "/", Kind: topo.NonIdempotent,
			Timeout: 30 * time.Second, MaxAttempts: 1,
			TrafficSplit: []topo.WeightedService{{Service: name, Weight: 1}},
		})
	}
	for _, tt := range []struct {
		name   string
		path   string
		status int
	}{
		{"waits for an engine", "/model/x", http.StatusServiceUnavailable},
		{"is executed", "/plain/x", http.StatusGatewayTimeout},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := listenLocal(t)
			front := l.Addr().String()
			_ = l.Close()
			h := &Host{Settings: Settings{Front: front}, Log: zerolog.Nop()}
			upstreams := []*topo.Upstream{{ID: "u1", Addr: silent.Addr().String()}}
			h.entry = &entry.Server{
				Headers: entry.Headers{
					ID: "X-Id", Deadline: "X-Deadline", Instance: "X-Instance", RetryAfter: "Retry-After",
				},
				ParseSpec: func(http.Header) (topo.CallSpec, error) { return topo.CallSpec{Model: "m"}, nil },
				Config:    func() *topo.Config { return cfg }, Pool: &h1.Pool{},
				Tickets: noTickets(taken), RetryBudget: noTickets(nil),
				Balancer: &entry.Balancer{Upstreams: func(string) []*topo.Upstream { return upstreams }},
				Stats:    &stats.Set{}, Log: zerolog.Nop(), Stopping: func() (bool, bool) { return true, false },
			}
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- h.serveCallers(ctx) }()
			waitForServer(t, front)
			type result struct {
				status     int
				retryAfter string
				err        error
			}
			got := make(chan result, 1)
			go func() {
				r, err := http.NewRequest(http.MethodPost, "http://"+front+tt.path, strings.NewReader("body"))
				if err != nil {
					got <- result{err: err}
					return
				}
				r.Host = "svc.example"
				r.Header.Set("X-Id", "c1")
				res, err := (&http.Transport{}).RoundTrip(r)
				if err != nil {
					got <- result{err: err}
					return
				}
				_, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
				got <- result{res.StatusCode, res.Header.Get("Retry-After"), err}
			}()
			<-taken
			cancel()
			if err := <-served; err != nil {
				t.Error(err)
			}
			g := <-got
			if g.err != nil || g.status != tt.status {
				t.Errorf("status %d, %v; want %d", g.status, g.err, tt.status)
			}
			if g.status == http.StatusServiceUnavailable && g.retryAfter == "" {
				t.Error("no time after which to come again")
			}
		})
	}
}
