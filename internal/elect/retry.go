package elect

import (
	"math/rand/v2"
	"time"
)

const (
	// minOutageRetry is the least value of OutageRetryInterval; outageRetriesPerS is the number of calls of one kind
	// that all hosts together make to an unreachable store in a second.
	minOutageRetry    = 1200 * time.Millisecond
	outageRetriesPerS = 100
	// retryJitter is the share by which a pause is varied, so that hosts do not call together.
	retryJitter = 0.2
)

// RetryStore lets the next call for the lease be made at once, because the store has become reachable.
func (e *Elector) RetryStore() {
	e.mu.Lock()
	retry := e.failures > 0
	e.failures, e.retryAt = 0, 0
	e.mu.Unlock()
	if retry {
		e.notify(false)
	}
}

// OutageRetryInterval returns the longest pause of each host between two calls of one kind to an unreachable store.
func OutageRetryInterval(hosts int) time.Duration {
	return max(minOutageRetry, time.Duration(hosts)*time.Second/outageRetriesPerS)
}

// Jitter varies a pause at random by a small share of it.
func Jitter(d time.Duration) time.Duration {
	return time.Duration((1 - retryJitter + 2*retryJitter*rand.Float64()) * float64(d))
}

// leaseCalled records the result of a call for the lease and returns the pause before the next one after a failure. The
// response that the lease has expired shows that the store is reachable.
func (e *Elector) leaseCalled(err error) time.Duration {
	if leaseLost(err) {
		err = nil
	}
	hosts := 1
	if err != nil && e.Hosts != nil {
		hosts = e.Hosts()
	}
	e.mu.Lock()
	recovered, lost := err == nil && e.storeFailing, err != nil && e.failures == 0
	e.storeFailing = err != nil
	pause := time.Duration(0)
	if err == nil {
		e.failures, e.retryAt = 0, 0
	} else {
		pause = Jitter(min(retryDelay<<min(e.failures, 8), OutageRetryInterval(hosts)))
		e.failures++
		e.retryAt = e.now() + pause
	}
	e.mu.Unlock()
	if recovered && e.StoreReachable != nil {
		e.StoreReachable()
	}
	if lost && e.StoreLost != nil {
		e.StoreLost()
	}
	return pause
}
