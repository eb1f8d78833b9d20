package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// lateBy is how long after its arrival the unanswered order is carried out.
	lateBy = 9 * time.Second
	// crashAfter is the time from that order to the crash of its engine, downTime how long the engine is down.
	crashAfter = 500 * time.Millisecond
	downTime   = 1500 * time.Millisecond
	// shiftTime is the time after which the demand moves on to other models.
	shiftTime = 7 * time.Second
	maxShifts = 10
	// windowSize is the number of models in demand at a time.
	windowSize = 4
	// orderSpread is the time between orders that are sent together.
	orderSpread = 40 * time.Millisecond
	// places is the number of models that fit on an engine.
	places = 3
)

// orderAfterRestart moves the demand over the models, so that engines exchange them. One order to load a model gets no
// answer and is carried out later; its engine crashes meanwhile and starts again under its id. The rule LIMIT is judged
// at the engines.
func orderAfterRestart(ctx context.Context, s *site) (broken bool, err error) {
	if !s.fleet.awaitReady(ctx, 20*time.Second) {
		return false, fmt.Errorf("the machines are not ready")
	}
	go s.consumers.resolve(ctx)
	time.Sleep(time.Second)
	late := &lateOrder{site: s, done: make(chan struct{})}
	if s.trouble {
		for _, e := range s.engines {
			e.onOrder = func(o *order) bool { return late.take(e, o) }
		}
	}
	// One model of each engine is in demand at first. Then one after another falls silent, and another one rises.
	all := []string{"m0", "m3", "m6", "m9", "m12", "m13", "m14", "m1", "m4", "m7", "m10", "m2", "m5", "m8"}
	for shift := range maxShifts {
		asked := all[shift : shift+windowSize]
		s.rec.printf("demand moves to %v", asked)
		late.await(ctx, func(ctx context.Context) { s.consumers.demand(ctx, 150*time.Millisecond, asked) })
		if late.begun() {
			break
		}
	}
	if s.trouble && !late.begun() {
		return false, fmt.Errorf("no engine got a second exchange of models")
	}
	for _, e := range s.engines {
		e.mu.Lock()
		if e.overfull != "" {
			s.rec.say("%s", e.overfull)
			broken = true
		}
		e.mu.Unlock()
	}
	return broken, nil
}

// lateOrder is the one order that gets no answer.
type lateOrder struct {
	site *site
	done chan struct{} // closed after the order has been carried out

	mu    sync.Mutex
	taken bool
}

func (l *lateOrder) begun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taken
}

// await sends demand for shiftTime, and until the late order has been carried out if there is one by then.
func (l *lateOrder) await(ctx context.Context, demand func(context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		time.Sleep(shiftTime)
		if l.begun() {
			<-l.done
			time.Sleep(time.Second)
		}
		cancel()
	}()
	demand(ctx)
}

// take keeps the first order to load a further replica of a model as the fourth order of its engine, crashes the engine
// and starts it again.
func (l *lateOrder) take(e *engine, o *order) bool {
	if o.Operation != "loading" || o.Adapter != "" || o.Expected == nil || *o.Expected != places {
		return false
	}
	// The order to another engine may be on its way.
	time.Sleep(orderSpread)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.taken {
		return false
	}
	if !slices.ContainsFunc(l.site.engines, func(other *engine) bool { return other != e && other.has(o.Model) }) {
		return false
	}
	l.taken = true
	kept := *o
	l.site.rec.say("order of %s to %s to load %s, expected %d, gets no answer", o.Holder, e.id, o.Model, *o.Expected)
	time.AfterFunc(crashAfter, func() {
		l.site.rec.say("%s crashes", e.id)
		e.crash()
		time.Sleep(downTime)
		if err := e.start(); err != nil {
			l.site.rec.say("%s does not start: %v", e.id, err)
			return
		}
		l.site.rec.say("%s has started again", e.id)
	})
	time.AfterFunc(lateBy, func() {
		status := e.take(&kept)
		l.site.rec.say("the order is carried out %s late at %s: status %d", lateBy, e.id, status)
		close(l.done)
	})
	return true
}
