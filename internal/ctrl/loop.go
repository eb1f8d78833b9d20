package ctrl

import (
	"context"
	"time"
)

const queueLength = 1024

// Loop is an event loop: Run calls the posted functions one at a time, in the order of their posting.
// They must not block on I/O, because that delays all functions in the queue.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

// New returns a loop; it queues posted functions until Run is called.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run calls posted functions until ctx ends; after that it calls none, queued or not. It must be called only once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			if ctx.Err() != nil {
				return
			}
			f()
		}
	}
}

// Post queues f and blocks while the queue is full. It returns false if the loop has ended; true does not mean that f
// runs, because the loop may end before its turn.
func (l *Loop) Post(f func()) bool {
	select {
	case <-l.done:
		return false
	default:
	}
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed when Run returns; functions that are still queued then never run.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Call posts f, waits until it has run, and reports whether it ran; it returns false if the loop ended first.
// A function that runs in the loop must not use Call, because it would wait for itself.
func (l *Loop) Call(f func()) bool {
	ran := make(chan struct{})
	if !l.Post(func() { f(); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		select {
		case <-ran:
			return true
		default:
			return false
		}
	}
}

// After posts f to the loop once d has passed; stopping the returned timer cancels it.
func (l *Loop) After(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { l.Post(f) })
}
