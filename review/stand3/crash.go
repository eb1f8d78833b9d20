package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// crashStreams is the number of streams that are under way when the engine crashes, at the two engines that hold
	// their model. They begin crashPause after each other.
	crashStreams = 32
	crashPause   = 50 * time.Millisecond
	crashAt      = 2500 * time.Millisecond
	crashUntil   = 8 * time.Second
	// Each engine holds modelsPerEngine models, which fill its memory.
	crashModels, modelsPerEngine = 20, 3
	// slowFirstEvent is the time until the first event at the engine of the new version. It is slower, so most streams
	// begin at the old one.
	slowFirstEvent = 150 * time.Millisecond
)

// playCrash lets one engine crash for good during a release. It is the only one of the old version that holds the model
// of some streams; other engines of that version hold other models and serve on, and an engine of the new version holds
// the model too. Without trouble no engine crashes, and the consumers' channels are reset instead.
func playCrash(ctx context.Context, s *site, trouble bool) (broken bool, err error) {
	lost, err := s.startCrash(ctx)
	if err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	long := make([]*stream, crashStreams)
	begin := time.Now()
	for i := range long {
		long[i] = &stream{site: s, total: longTotal, deadline: begin.Add(longDeadline)}
		wg.Go(func() { long[i].run(ctx, i) })
		time.Sleep(crashPause)
	}
	time.Sleep(time.Until(begin.Add(crashAt)))
	if trouble {
		lost.crash()
	} else {
		s.record.add("the consumers' channels are reset")
		for _, x := range long {
			x.lose()
		}
	}
	short := s.beginStreams(ctx, &wg, time.Now().Add(crashUntil))
	wg.Wait()
	return s.judgeTakeUps(long, short), nil
}

// startCrash starts a site with engines of two versions, and returns the engine that is to crash.
func (s *site) startCrash(ctx context.Context) (*engine, error) {
	s.store = newStoreServer()
	names := make([]string, 0, crashModels)
	for i := range crashModels {
		names = append(names, fmt.Sprint("m", i+1))
	}
	s.configure(longDeadline, names...)
	var lost *engine
	for i, first := range []int{1, 3, 6, 9, 12, 14, 17} {
		version, resident := oldVersion, slices.Clone(names[first:first+modelsPerEngine])
		if i >= oldEngines {
			version = newVersion
		}
		if i == 0 || i == oldEngines {
			resident[modelsPerEngine-1] = streamModel
		}
		e, err := s.startEngine(fmt.Sprint("i-", i), string(rune('a'+i%3)), version, resident...)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			lost = e
		}
		if i == oldEngines {
			e.firstEvent = slowFirstEvent
		}
	}
	s.beat()
	if err := s.startHosts(ctx, 3); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	return lost, nil
}
