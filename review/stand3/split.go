package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	splitEngines = 2 // of each service
	// splitStreams is the number of streams at the host that is killed, at splitKill after they have begun.
	splitStreams = 72
	splitPause   = 20 * time.Millisecond
	splitKill    = 2500 * time.Millisecond
	splitUntil   = 6 * time.Second
	// retryPause is the pause of a consumer before its one retry.
	retryPause = 500 * time.Millisecond
)

// splitServices are the services over which the route is split. Each has one software version of its own.
var splitServices = []string{"desk-a", "desk-b", "desk-c", "desk-d"}

// playSplit kills one host, not the leader, that relays streams of a route which is split over several services. Its
// consumers take their streams up at the other hosts, each once. Without trouble no host is killed.
func playSplit(ctx context.Context, s *site, trouble bool) (broken bool, err error) {
	s.store = newStoreServer()
	s.configureSplit(longDeadline, splitServices, streamModel)
	for _, service := range splitServices {
		for i := range splitEngines {
			id, version := fmt.Sprintf("i-%s-%d", service, i), "version-of-"+service
			if _, err := s.startEngineOf(service, id, string(rune('a'+i)), version, streamModel); err != nil {
				return false, err
			}
		}
	}
	s.beat()
	if err := s.startHosts(ctx, 3); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	lost, others := s.follower()
	var wg sync.WaitGroup
	begin := time.Now()
	long := make([]*stream, splitStreams)
	for i := range long {
		long[i] = &stream{site: s, total: longTotal, deadline: begin.Add(longDeadline)}
		wg.Go(func() {
			long[i].try(ctx, lost)
			if long[i].complete() {
				return
			}
			time.Sleep(retryPause)
			long[i].try(ctx, others[i%len(others)])
		})
		time.Sleep(splitPause)
	}
	time.Sleep(time.Until(begin.Add(splitKill)))
	if trouble {
		s.record.add("%s is killed", lost.name)
		lost.kill()
	}
	all := s.hosts
	s.hosts = others
	short := s.beginStreams(ctx, &wg, time.Now().Add(splitUntil))
	wg.Wait()
	s.hosts = all
	return s.judgeTakeUps(long, short), nil
}

// follower returns a host that is not the leader, and the other hosts.
func (s *site) follower() (one *host, others []*host) {
	var seat struct {
		Host string `json:"host"`
	}
	_ = json.Unmarshal([]byte(s.store.Value(leaderKey)), &seat)
	for _, h := range s.hosts {
		if one == nil && h.name != seat.Host {
			one = h
			continue
		}
		others = append(others, h)
	}
	return one, others
}
