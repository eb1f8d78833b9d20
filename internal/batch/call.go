package batch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

type (
	// Call runs a function for all callers that wait at the same time. Each gets the result of a run that began after
	// it asked, so the result of a read is never older than the question. Its exported fields are set before use.
	Call[T any] struct {
		// Run is the function; it does not depend on the context of any caller.
		Run func() (T, error)
		// Interval returns the minimum time between the beginnings of two runs.
		Interval func() time.Duration

		mu      sync.Mutex
		next    *run[T]   // the run that has not begun, or nil
		begunAt time.Time // when the last run began
	}

	run[T any] struct {
		done   chan struct{}
		result T
		err    error
	}
)

// Do returns the result of the next run, or the error of ctx if that ends first.
func (c *Call[T]) Do(ctx context.Context) (T, error) {
	c.mu.Lock()
	r := c.next
	if r == nil {
		r = &run[T]{done: make(chan struct{})}
		c.next = r
		time.AfterFunc(time.Until(c.begunAt.Add(c.Interval())), func() { c.begin(r) })
	}
	c.mu.Unlock()
	select {
	case <-r.done:
		return r.result, r.err
	case <-ctx.Done():
		var none T
		return none, errors.Wrap(ctx.Err(), "wait for a shared call")
	}
}

func (c *Call[T]) begin(r *run[T]) {
	defer close(r.done)
	c.mu.Lock()
	c.next, c.begunAt = nil, time.Now()
	c.mu.Unlock()
	r.result, r.err = c.Run()
}
