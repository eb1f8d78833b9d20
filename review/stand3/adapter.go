package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	adapterEngines = 2
	// adapterStreams is the number of streams, each with an adapter of its own. They fill the places of all engines.
	adapterStreams = adapterEngines * adapterSlots
	// leaving is the number of consumers that leave before their deadline, at leaveAt.
	leaving = adapterStreams / 5
	leaveAt = 3 * time.Second
	// lastAt is when one more request comes, with another adapter.
	lastAt = leaveAt + 300*time.Millisecond
)

// playAdapter lets some consumers leave whose requests the engines finish nevertheless, and then sends a request with
// an adapter that no engine holds. Without trouble no consumer leaves.
func playAdapter(ctx context.Context, s *site, trouble bool) (broken bool, err error) {
	s.store = newStoreServer()
	s.configure(longDeadline, streamModel)
	for i := range adapterEngines {
		e, err := s.startEngine(fmt.Sprint("i-", i), string(rune('a'+i)), oldVersion, streamModel)
		if err != nil {
			return false, err
		}
		e.finishes = true
	}
	s.beat()
	if err := s.startHosts(ctx, 3); err != nil {
		return false, err
	}
	time.Sleep(2 * contactTime)
	var wg sync.WaitGroup
	begin := time.Now()
	streams := make([]*stream, adapterStreams)
	for i := range streams {
		streams[i] = &stream{
			site: s, model: fmt.Sprintf("%s/a%d", streamModel, i+1), total: longTotal,
			deadline: begin.Add(longDeadline),
		}
		wg.Go(func() { streams[i].try(ctx, s.hosts[i%len(s.hosts)]) })
		time.Sleep(crashPause)
	}
	time.Sleep(time.Until(begin.Add(leaveAt)))
	if trouble {
		for _, x := range streams[:leaving] {
			s.record.add("the consumer of %s leaves", x.attempts[0].id)
			x.lose()
		}
	}
	time.Sleep(time.Until(begin.Add(lastAt)))
	last := &stream{
		site: s, model: fmt.Sprintf("%s/a%d", streamModel, adapterStreams+1), total: shortTotal,
		deadline: begin.Add(longDeadline),
	}
	last.run(ctx, 0)
	wg.Wait()
	return s.judgeAdapters(streams, trouble), nil
}

// judgeAdapters reports whether an engine was ordered to load more adapters than it has places for.
func (s *site) judgeAdapters(streams []*stream, trouble bool) bool {
	overfull, lost := 0, 0
	for _, e := range s.engines {
		e.mu.Lock()
		overfull += e.overfull
		e.mu.Unlock()
	}
	for i, x := range streams {
		if !x.complete() && (!trouble || i >= leaving) {
			lost++
		}
	}
	s.record.add("engines ordered to load too much: %d; streams of consumers that stayed and were not completed: %d",
		overfull, lost)
	fmt.Printf("%d orders to load too much, %d streams lost\n", overfull, lost)
	return overfull > 0
}
