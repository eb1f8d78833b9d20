package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	// contactTime is the bound contact_ms: a machine counts as in touch if it was undisturbed for so long.
	contactTime = 3 * time.Second
	// heartbeat is how often engines write their entries.
	heartbeat = 1200 * time.Millisecond

	routeHost     = "desk.example"
	streamPath    = "/query/"
	streamService = "desk"
	streamModel   = "m1"
	engineSlots   = 64
	kvTokens      = 250_000
	// adapterSlots is how many adapters an engine holds at most.
	adapterSlots = 5
)

// site is a deployment: hosts, engines and the platform's store.
type site struct {
	program, dir string
	record       *record
	store        *storeServer
	hosts        []*host
	engines      []*engine
	plains       []*plain

	stopBeats chan struct{}
	beats     sync.WaitGroup
	closeOnce sync.Once
}

func newSite(program, dir string) *site {
	return &site{program: program, dir: dir, record: &record{start: time.Now()}, stopBeats: make(chan struct{})}
}

// beat writes the entries of all engines until the site is closed.
func (s *site) beat() {
	s.beats.Go(func() {
		tick := time.NewTicker(heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-s.stopBeats:
				return
			case <-tick.C:
			}
			for _, e := range s.engines {
				e.beat()
			}
			for _, p := range s.plains {
				p.beat()
			}
		}
	})
}

// closeAtEnd ends all processes, and then this one, if the case takes too long or is stopped by a signal.
func (s *site) closeAtEnd() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxPlay):
		}
		s.close()
		os.Exit(exitFailed)
	}()
}

// close ends all processes and stand-ins.
func (s *site) close() { s.closeOnce.Do(s.end) }

func (s *site) end() {
	close(s.stopBeats)
	s.beats.Wait()
	for _, h := range s.hosts {
		h.kill()
	}
	for _, e := range s.engines {
		e.close()
	}
	for _, p := range s.plains {
		_ = p.srv.Close()
	}
	if s.store != nil {
		s.store.close()
	}
}

// configure writes the configuration as the operator does: one route for streams that may be resumed.
func (s *site) configure(timeout time.Duration, models ...string) {
	s.configureSplit(timeout, []string{streamService}, models...)
}

// configureSplit is configure for a route that is split evenly over services.
func (s *site) configureSplit(timeout time.Duration, services []string, names ...string) {
	models := make([]any, 0, len(names))
	for _, name := range names {
		models = append(models, map[string]any{
			"name": name, "weights_mb": 70_000, "load_s": loadTime.Seconds(), "adapters": 24, "adapter_mb": 66,
		})
	}
	var split, list []any
	for _, name := range services {
		split = append(split, map[string]any{"service": name, "weight": 1})
		list = append(list, map[string]any{
			"name": name, "health_path": "/health", "engine": map[string]any{
				"slots": engineSlots, "kv_capacity": kvTokens, "weights_mb": 220_000, "adapter_slots": adapterSlots,
				"loads_per_s": 2, "models": models,
			},
		})
	}
	route := map[string]any{
		"name": "query", "hostname": routeHost, "path_prefix": streamPath, "kind": "streaming",
		"timeout_ms": timeout.Milliseconds(), "target_latency_ms": 2000, "gap_target_ms": 500, "priority": 0,
		"service": services[0], "max_attempts": 2, "resumable": true, "sticky": true,
	}
	if len(services) > 1 {
		route["traffic_split"] = split
	}
	s.store.set("op/config", map[string]any{
		"version": 1, "routes": []any{route}, "services": list, "limits": map[string]any{
			"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000,
		},
	})
}
