package main

import (
	"context"
	"fmt"
	"time"
)

const (
	oldVersion = "v1"
	newVersion = "v1.1"
	// downTime is how long an engine is down before it starts again, and upTime the time until the next one goes down.
	downTime   = 2 * time.Second
	upTime     = 300 * time.Millisecond
	outageTime = 9 * time.Second
	// maxMixedStreams is the number of streams of two software versions that rule ORDER allows.
	maxMixedStreams = 2
)

// site is a small deployment: hosts, engines, the store and consumers.
type site struct {
	record    *record
	store     *platformStore
	fleet     *fleet
	engines   []*engine
	consumers *consumers
}

// newSite starts a deployment with an engine for each of the versions.
func newSite(ctx context.Context, r *record, hosts int, versions []string) (*site, error) {
	s := &site{record: r}
	var err error
	if s.store, err = newPlatformStore(); err != nil {
		return nil, err
	}
	s.configure()
	for i, version := range versions {
		if err := s.addEngine(ctx, fmt.Sprintf("i-%d", i), version); err != nil {
			return s, err
		}
	}
	s.fleet, err = newFleet(s.store, hosts)
	s.consumers = &consumers{
		fleet: s.fleet, record: r, retry: 250 * time.Millisecond, gap: streamGap, events: [2]int{30, 100},
	}
	return s, err
}

// addEngine starts a new engine.
func (s *site) addEngine(ctx context.Context, id, version string) error {
	zone := string(rune('a' + len(s.engines)%3))
	e := &engine{id: id, zone: zone, store: s.store, record: s.record}
	if err := e.start(version); err != nil {
		return err
	}
	go e.beat(ctx)
	s.engines = append(s.engines, e)
	return nil
}

// configure writes the first configuration.
func (s *site) configure() {
	s.store.set("op/config", map[string]any{
		"version": 3,
		"limits": map[string]any{
			"max_header_bytes": maxHead, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"services": []map[string]any{{"name": serviceName, "engine": map[string]any{
			"slots": slots, "kv_capacity": kvTokens, "weights_mb": 230000, "adapter_slots": 5, "loads_per_s": 2.1,
			"models": []map[string]any{{
				"name": modelName, "weights_mb": 72700, "load_s": 2.8, "disk_s": 0.56, "warm_s": 0.32, "adapters": 0,
				"adapter_mb": 66,
			}},
		}}},
		"routes": []map[string]any{{
			"name": "r-desk", "hostname": routeHost, "path_prefix": streamPath, "kind": "streaming",
			"timeout_ms": 12000, "target_latency_ms": 2000, "gap_target_ms": 500, "priority": 0,
			"service": serviceName, "max_attempts": 2, "resumable": true,
		}},
	})
}

func (s *site) end() {
	if s != nil && s.fleet != nil {
		s.fleet.end()
	}
}

// playUpgrade crashes the engines one after the other. Each starts again under its id, with a newer software version.
func playUpgrade(r *record) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := newSite(ctx, r, 6, []string{oldVersion, oldVersion, oldVersion, oldVersion})
	defer s.end()
	if err != nil {
		return false, err
	}
	demand, endDemand := context.WithCancel(ctx)
	go s.consumers.demand(demand, 50*time.Millisecond)
	pause(ctx, 4*time.Second)
	if trouble() {
		r.note("the store is down")
		s.store.down.Store(true)
		time.AfterFunc(outageTime, func() {
			s.store.down.Store(false)
			r.note("the store is back")
		})
		pause(ctx, 500*time.Millisecond)
	}
	for _, e := range s.engines {
		if trouble() {
			e.crash()
		}
		pause(ctx, downTime)
		if trouble() {
			if err := e.start(newVersion); err != nil {
				endDemand()
				return false, err
			}
		}
		pause(ctx, upTime)
	}
	pause(ctx, 2*time.Second)
	endDemand()
	s.consumers.wg.Wait()
	return s.judgeOrder()
}

// judgeOrder counts the streams that hold events of two software versions.
func (s *site) judgeOrder() (broken bool, err error) {
	complete, mixed, oneAnswer, wrong, takenUp := 0, 0, 0, 0, 0
	for _, x := range s.consumers.streams {
		if x.complete {
			complete++
		}
		if x.wrong {
			wrong++
		}
		if len(x.tries) > 1 && x.tries[1].takesUp {
			takenUp++
		}
		if len(x.versions) > 1 {
			mixed++
			s.record.note("stream %s holds events of versions %v, in %d tries", x.first, x.versions, len(x.tries))
			if len(x.tries) == 1 {
				oneAnswer++
			}
		}
	}
	s.record.say("%d streams, %d complete, %d taken up; %d hold events of two versions, %d of them in one answer; "+
		"%d have a wrong event", len(s.consumers.streams), complete, takenUp, mixed, oneAnswer, wrong)
	if complete == 0 {
		return false, fmt.Errorf("no stream was complete")
	}
	return mixed > maxMixedStreams || wrong > 0, nil
}
