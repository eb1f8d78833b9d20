package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

const (
	// minTakeUps is the number of streams taken up again from which on rule LOST compares shares.
	minTakeUps = 12
	// shortGap is the gap after which the consumers of a route with these targets leave: the longest of two seconds,
	// four times the objective and eight times the pause that the sheet allows.
	shortTarget, shortPause = 500 * time.Millisecond, 250 * time.Millisecond
	shortGap                = 2 * time.Second
	// leaderFreeze is how long the leader stands still.
	leaderFreeze = 4 * time.Second
	longFreeze   = 6500 * time.Millisecond
	crashTime    = time.Second
	freezes      = 3
)

// playFrozen freezes the leader several times while engines of two software versions serve. Meanwhile one engine of
// each version crashes, and another one later.
func playFrozen(r *record) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	versions := []string{oldVersion, oldVersion, oldVersion, oldVersion, newVersion, newVersion, newVersion, newVersion}
	s, err := newSite(ctx, r, 6, versions)
	defer s.end()
	if err != nil {
		return false, err
	}
	s.consumers.events = [2]int{12, 30}
	pause(ctx, 2*time.Second)
	demand, endDemand := context.WithCancel(ctx)
	go s.consumers.demand(demand, 15*time.Millisecond)
	pause(ctx, 4*time.Second)
	for i := range freezes {
		h := s.fleet.leader()
		if trouble() && h != nil {
			s.freeze(h, leaderFreeze)
		}
		pause(ctx, 1400*time.Millisecond)
		for _, n := range []int{0, 1} {
			for _, e := range []*engine{s.engines[(2*i+n)%4], s.engines[4+(2*i+n)%4]} {
				go s.restart(e, versionOf(e, s))
			}
			pause(ctx, 800*time.Millisecond)
		}
		pause(ctx, 6*time.Second)
	}
	endDemand()
	s.consumers.wg.Wait()
	return s.judgeTakeUps()
}

func versionOf(e *engine, s *site) string {
	for i, o := range s.engines {
		if o == e && i >= len(s.engines)/2 {
			return newVersion
		}
	}
	return oldVersion
}

// restart crashes an engine and starts it again with the same version.
func (s *site) restart(e *engine, version string) {
	e.crash()
	time.Sleep(crashTime)
	if err := e.start(version); err != nil {
		s.record.note("engine %s does not start: %v", e.id, err)
	}
}

// freeze suspends a host for a while.
func (s *site) freeze(h *host, d time.Duration) {
	s.record.note("host %s stands still for %s", h.name, d)
	s.consumers.markFrozen(h.front)
	h.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() {
		h.signal(syscall.SIGCONT)
		s.record.note("host %s goes on", h.name)
	})
}

// playBefore freezes the leader just before engines of another software version are added.
func playBefore(r *record) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, err := newSite(ctx, r, 6, []string{oldVersion, oldVersion, oldVersion, oldVersion})
	defer s.end()
	if err != nil {
		return false, err
	}
	s.consumers.gap = shortGap
	demand, endDemand := context.WithCancel(ctx)
	go s.consumers.demand(demand, 15*time.Millisecond)
	pause(ctx, 6*time.Second)
	if h := s.fleet.leader(); trouble() && h != nil {
		s.freeze(h, longFreeze)
	}
	pause(ctx, 200*time.Millisecond)
	for i := range 3 {
		if err := s.addEngine(ctx, fmt.Sprintf("i-new-%d", i), newVersion); err != nil {
			endDemand()
			return false, err
		}
		pause(ctx, 400*time.Millisecond)
	}
	pause(ctx, 7*time.Second)
	endDemand()
	s.consumers.wg.Wait()
	return s.judgeTakeUps()
}

// judgeTakeUps compares the share of the streams taken up that go on with the share of the new ones that begin, at
// hosts that stood not still.
func (s *site) judgeTakeUps() (broken bool, err error) {
	takeUps, wentOn, fresh, began := 0, 0, 0, 0
	refused := make(map[string]int)
	for _, x := range s.consumers.streams {
		for _, t := range x.tries {
			switch {
			case s.consumers.inTrouble(t):
			case t.takesUp:
				takeUps++
				if t.events > 0 {
					wentOn++
				} else {
					refused[t.answer]++
				}
			default:
				fresh++
				if t.events > 0 {
					began++
				}
			}
		}
	}
	s.record.say("at hosts in touch %d of %d streams taken up went on, %d of %d new ones began; the others got %v",
		wentOn, takeUps, began, fresh, refused)
	if fresh == 0 || began == 0 {
		return false, fmt.Errorf("no new stream began")
	}
	return takeUps >= minTakeUps && float64(wentOn)/float64(takeUps) < float64(began)/float64(fresh)/2, nil
}
