package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	oldVersion, newVersion = "v1", "v1.1"
	oldEngines             = 4
	// longStreams is the number of streams that are under way when the hosts are killed; longTotal and longDeadline
	// are their events and the time that their consumers wait.
	longStreams  = 24
	longTotal    = 60
	longDeadline = 15 * time.Second
	// killAt is when the hosts are killed, after the start of the streams; they are down for downTime.
	killAt   = 2 * time.Second
	downTime = 500 * time.Millisecond
	// releaseAt is when the first engine of the new version registers, after the kill.
	releaseAt = time.Second
	// shortTotal is the number of events of the new streams, which begin every newInterval from newFrom to newUntil
	// after the kill.
	shortTotal  = 5
	newInterval = 250 * time.Millisecond
	newFrom     = downTime + contactTime + 500*time.Millisecond
	newUntil    = 10 * time.Second
	// minTakeUps is the number of take-ups from which their share counts.
	minTakeUps = 12
)

// backoffs are the pauses of a consumer before its retries; it retries a few times within its deadline.
var backoffs = []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond}

// playTakeUps kills all hosts at once while streams are under way, and then begins a release: one engine of another
// software version joins. Consumers take their streams up; all engines that began them serve on. Without trouble no
// host is killed, and the consumers' channels are reset instead.
func playTakeUps(ctx context.Context, s *site, trouble bool) (broken bool, err error) {
	if err := s.startTakeUps(ctx); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	long := make([]*stream, longStreams)
	begin := time.Now()
	for i := range long {
		long[i] = &stream{site: s, total: longTotal, deadline: begin.Add(longDeadline)}
		wg.Go(func() { long[i].run(ctx, i) })
	}
	time.Sleep(time.Until(begin.Add(killAt)))
	kill := time.Now()
	if trouble {
		err = s.killAll()
	} else {
		s.record.add("the consumers' channels are reset")
		for _, x := range long {
			x.lose()
		}
	}
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(kill.Add(releaseAt)))
	if _, err := s.startEngine("i-new", "a", newVersion); err != nil {
		return false, err
	}
	time.Sleep(time.Until(kill.Add(newFrom)))
	short := s.beginStreams(ctx, &wg, kill.Add(newUntil))
	wg.Wait()
	return s.judgeTakeUps(long, short), nil
}

// beginStreams starts short streams until a time.
func (s *site) beginStreams(ctx context.Context, wg *sync.WaitGroup, until time.Time) []*stream {
	var out []*stream
	for time.Now().Before(until) {
		x := &stream{site: s, total: shortTotal, deadline: time.Now().Add(longDeadline)}
		out = append(out, x)
		h := s.hosts[len(out)%len(s.hosts)]
		wg.Go(func() { x.try(ctx, h) })
		time.Sleep(newInterval)
	}
	return out
}

func (s *site) startTakeUps(ctx context.Context) error {
	s.store = newStoreServer()
	s.configure(longDeadline, streamModel)
	for i := range oldEngines {
		if _, err := s.startEngine(fmt.Sprint("i-", i), string(rune('a'+i%3)), oldVersion, streamModel); err != nil {
			return err
		}
	}
	s.beat()
	if err := s.startHosts(ctx, 3); err != nil {
		return err
	}
	time.Sleep(contactTime)
	return nil
}

// killAll kills all hosts at the same moment and starts them again.
func (s *site) killAll() error {
	s.record.add("all hosts are killed")
	var wg sync.WaitGroup
	for _, h := range s.hosts {
		wg.Go(h.kill)
	}
	wg.Wait()
	time.Sleep(downTime)
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	s.record.add("all hosts are started again")
	return nil
}

// run sends the call, and takes the stream up at one host after another while it is broken.
func (x *stream) run(ctx context.Context, i int) {
	for n := 0; ; n++ {
		a := x.try(ctx, x.site.hosts[(i+n)%len(x.site.hosts)])
		if x.complete() || n == len(backoffs) {
			return
		}
		pause := max(backoffs[n], a.wait)
		if time.Until(x.deadline) <= pause {
			return
		}
		time.Sleep(pause)
	}
}

// wentOn reports whether an attempt brought events of the version that began the stream.
func (x *stream) wentOn(a *attempt) bool {
	return slices.ContainsFunc(x.events, func(e event) bool {
		return e.attempt == a && e.version == x.events[0].version
	})
}

// judgeTakeUps reports whether the share of the take-ups that go on is under half of that of the new streams that
// begin, at hosts in touch. Two engines or more of the versions that began the streams serve all the while.
func (s *site) judgeTakeUps(long, short []*stream) bool {
	begun, begins, wentOn, takeUps, mixed := 0, 0, 0, 0, 0
	for _, x := range append(long, short...) {
		for _, a := range x.attempts {
			switch {
			case !a.inTouch():
			case a.after == 0:
				begins++
				if a.got > 0 {
					begun++
				}
			default:
				takeUps++
				if x.wentOn(a) {
					wentOn++
				}
			}
		}
		for _, e := range x.events {
			if e.version != x.events[0].version {
				mixed++
				break
			}
		}
	}
	s.record.add("hosts in touch: %d of %d new streams began, %d of %d take-ups went on; %d streams of two versions",
		begun, begins, wentOn, takeUps, mixed)
	fmt.Printf("%d of %d new streams began, %d of %d take-ups went on\n", begun, begins, wentOn, takeUps)
	return takeUps >= minTakeUps && 2*wentOn*begins < begun*takeUps
}
