package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit bounds the run of a case.
	timeLimit = 110 * time.Second
)

// play is one case and the size of its deployment: machines in each of three zones, engines, models that each holds at
// first, and all models.
type play struct {
	run                             func(context.Context, *site) (bool, error)
	machines, engines, held, models int
}

var cases = map[string]play{
	"pause-beside-stop":   {pauseBesideStop, 2, 4, 2, 11},
	"order-after-restart": {orderAfterRestart, 2, 4, 3, 15},
	"endless-body":        {endlessBody, 2, 4, 3, 12},
}

// site is one small deployment.
type site struct {
	store     *store
	engines   []*engine
	fleet     *fleet
	consumers *consumers
	rec       *record
	trouble   bool     // false leaves out the disruption
	resident  []string // models that engines hold from the start
	absent    []string // models and adapters that none holds
	probes    []string // further adapters that none holds
}

func main() {
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*file, flag.Arg(0)))
}

func run(file, name string) int {
	play, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "figreel-review-")
	if err != nil {
		rec.say("%v", err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	s, err := newSite(dir, rec, &play)
	if err != nil {
		rec.say("%v", err)
		return exitNotRun
	}
	defer s.fleet.stopAll()
	if err := s.fleet.startAll(); err != nil {
		rec.say("%v", err)
		return exitNotRun
	}
	broken, err := play.run(ctx, s)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// newSite starts the stand-ins of a deployment: machines in three zones, and engines. Each engine holds some of the
// models; it has places for three.
func newSite(dir string, rec *record, p *play) (*site, error) {
	s := &site{store: newStore(), rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	zones := []string{"a", "b", "c"}
	for i := range p.engines {
		e := &engine{
			id: fmt.Sprintf("i-%d", i), zone: zones[i%3], service: "desk", store: s.store, rec: rec,
			models: make(map[string]map[string]bool),
		}
		for m := p.held * i; m < p.held*(i+1); m++ {
			e.models[modelName(m)] = make(map[string]bool)
			s.resident = append(s.resident, modelName(m))
		}
		s.engines = append(s.engines, e)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	for m := p.engines * p.held; m < p.models; m++ {
		s.absent = append(s.absent, modelName(m))
	}
	s.store.put("op/config", configuration(p.models))
	var err error
	s.fleet, err = newFleet(dir, s.store, rec, zones, p.machines)
	if err != nil {
		return nil, err
	}
	s.consumers = newConsumers(s.fleet, rec)
	return s, nil
}

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

// configuration returns the operator's configuration: one service of engines.
func configuration(n int) map[string]any {
	models := make([]map[string]any, 0, n)
	for i := range n {
		models = append(models, map[string]any{
			"name": modelName(i), "weights_mb": modelMB, "load_s": loadTime.Seconds(), "disk_s": 0.56, "warm_s": 0.32,
			"adapters": 16, "adapter_mb": adapterMB,
		})
	}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-desk", "hostname": routeHost, "path_prefix": routePath, "kind": "streaming", "timeout_ms": 4000,
			"target_latency_ms": 800, "priority": 1, "service": "desk", "max_attempts": 2, "sticky": true,
			"resumable": true, "gap_target_ms": 500,
		}},
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "engine": map[string]any{
			"slots": slots, "kv_capacity": kvTokens, "weights_mb": engineMB, "adapter_slots": adapterSlots,
			"loads_per_s": 2.1, "models": models,
		}}},
		"limits": map[string]any{
			"max_header_bytes": 65536, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 60000,
		},
	}
}
