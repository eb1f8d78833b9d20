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
	cases := map[string]func(context.Context, *site) (bool, error){"pause-beside-stop": pauseBesideStop}
	play := cases[name]
	if play == nil {
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
	s, err := newSite(dir, rec)
	if err != nil {
		rec.say("%v", err)
		return exitNotRun
	}
	defer s.fleet.stopAll()
	if err := s.fleet.startAll(); err != nil {
		rec.say("%v", err)
		return exitNotRun
	}
	broken, err := play(ctx, s)
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

// newSite starts the stand-ins of a deployment: three zones of two machines, and four engines. Each engine holds two of
// the eleven models and has a place for a third one.
func newSite(dir string, rec *record) (*site, error) {
	s := &site{store: newStore(), rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	zones := []string{"a", "b", "c"}
	for i := range 4 {
		e := &engine{
			id: fmt.Sprintf("i-%d", i), zone: zones[i%3], service: "desk", born: time.Now().UnixMilli(), store: s.store,
			rec: rec, models: make(map[string]map[string]bool),
		}
		for m := 2 * i; m < 2*i+2; m++ {
			e.models[modelName(m)] = make(map[string]bool)
			s.resident = append(s.resident, modelName(m))
		}
		s.engines = append(s.engines, e)
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	for m := 8; m < 11; m++ {
		s.absent = append(s.absent, modelName(m))
	}
	for a := 1; a <= 6; a++ {
		s.absent = append(s.absent, fmt.Sprintf("%s/a%d", modelName(a), a))
	}
	for a := 7; a <= 10; a++ {
		s.probes = append(s.probes, fmt.Sprintf("%s/a%d", modelName(0), a))
	}
	s.store.put("op/config", configuration())
	var err error
	s.fleet, err = newFleet(dir, s.store, rec, zones, 2)
	if err != nil {
		return nil, err
	}
	s.consumers = newConsumers(s.fleet, rec)
	return s, nil
}

func modelName(i int) string { return fmt.Sprintf("m%d", i) }

// configuration returns the operator's configuration: one service of engines with eleven models.
func configuration() map[string]any {
	models := make([]map[string]any, 0, 11)
	for i := range 11 {
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
