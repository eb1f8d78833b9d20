package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	pause = 450 * time.Millisecond
	// pollAge bounds how old the watch of the paused machine is as the pause begins.
	pollAge = 60 * time.Millisecond
	// stops is the number of planned stops of the leader.
	stops = 2
	// demandTime is how long consumers ask for everything after the stops.
	demandTime = 25 * time.Second
)

// pauseBesideStop stops the leader twice, as planned work does. During each stop another machine, one that watches the
// store for the fleet, stands still for less than half a second. Then consumers ask for models and adapters that no
// engine holds yet. The rule Starved is judged over all that consumers have asked for.
func pauseBesideStop(ctx context.Context, s *site) (broken bool, err error) {
	for a := 1; a <= 6; a++ {
		s.absent = append(s.absent, fmt.Sprintf("%s/a%d", modelName(a), a))
	}
	for a := 7; a <= 10; a++ {
		s.probes = append(s.probes, fmt.Sprintf("%s/a%d", modelName(0), a))
	}
	go s.consumers.resolve(ctx)
	base, baseEnds := context.WithCancel(ctx)
	go s.consumers.demand(base, time.Second, s.resident)
	time.Sleep(4 * time.Second)
	for range stops {
		if err := s.stopLeader(ctx); err != nil {
			baseEnds()
			return false, err
		}
		if n := s.probe(ctx); n == 0 && s.trouble {
			break
		}
	}
	demand, demandEnds := context.WithTimeout(ctx, demandTime)
	defer demandEnds()
	s.consumers.demand(demand, time.Second, s.absent)
	baseEnds()
	never, asked := s.consumers.starved()
	slices.Sort(never)
	allowed := 1 + float64(asked)/10
	s.rec.say("asked for four times or more over 8 s: %d; never served: %d, allowed %.1f: %s", asked, len(never),
		allowed, strings.Join(never, " "))
	return float64(len(never)) > allowed, nil
}

// stopLeader stops the leader and waits until there is another one; with trouble, the machine that watches the store
// stands still meanwhile.
func (s *site) stopLeader(ctx context.Context) error {
	if !s.fleet.awaitReady(ctx, 20*time.Second) {
		return fmt.Errorf("the machines are not ready")
	}
	time.Sleep(time.Second)
	leader := s.fleet.leader()
	if leader == nil {
		return fmt.Errorf("there is no leader")
	}
	watching := s.watching(leader)
	if watching == nil {
		return fmt.Errorf("no machine watches the store for the fleet")
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		age, pending := s.store.watchAge(watching.name, "servers/")
		_, other := s.store.watchAge(watching.name, "figreel/")
		if pending && other && age < pollAge {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s does not watch the store", watching.name)
		}
	}
	if s.trouble {
		s.rec.say("%s stands still for %s", watching.name, pause)
		watching.signal(syscall.SIGSTOP)
		time.AfterFunc(pause, func() { watching.signal(syscall.SIGCONT) })
	}
	s.fleet.stopAndRestart(leader)
	time.Sleep(2 * time.Second)
	if now := s.fleet.leader(); now != nil {
		s.rec.say("the store names %s as the leader", now.name)
	}
	return nil
}

// watching returns the machine, other than the leader, that watches the store for the fleet before and after the leader
// has left: the first in the order of zones and names that has a watch.
func (s *site) watching(leader *host) *host {
	for _, h := range s.fleet.hosts {
		if h == leader || !strings.HasSuffix(h.name, "-1") {
			continue
		}
		if _, ok := s.store.watchAge(h.name, "servers/"); ok {
			return h
		}
	}
	return nil
}

// probe asks for one absent adapter for a few seconds and returns how often it was served.
func (s *site) probe(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	name := s.probes[0]
	s.probes = s.probes[1:]
	s.consumers.demand(ctx, time.Second, []string{name})
	s.consumers.mu.Lock()
	defer s.consumers.mu.Unlock()
	n := s.consumers.subjects[name].served
	s.rec.say("%s was served %d times of %d", name, n, s.consumers.subjects[name].asked)
	return n
}
