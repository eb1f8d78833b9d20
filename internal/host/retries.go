package host

import (
	"sync"
	"time"

	"github.com/figreel/figreel/internal/hedge"
)

const (
	// freeFraction is the fraction of the free retries that all hosts together may save up. Within one window they can
	// spend what they saved, the same amount refilled, and the same amount earned earlier; restarted hosts start with a
	// full share again.
	freeFraction = 0.25
	// ratioFraction is the fraction of the allowed retry ratio that is used: retries earned in the previous window may
	// be spent in this one, where the calls that earned them count less.
	ratioFraction = 0.8
)

// retryBudget is this host's share of the retry budgets of all services: it earns retries by its own calls and has an
// equal share of the free retries.
type retryBudget struct {
	ratio       float64
	window      time.Duration
	freeRetries float64
	hosts       func() int

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	earned    float64 // retries earned by calls
	free      float64 // free retries, refilled within one window
	updatedAt time.Time
}

// hedges returns the policy for second attempts, or nil if the settings allow none.
func (h *Host) hedges() *hedge.Policy {
	if h.Settings.HedgeShare <= 0 {
		return nil
	}
	return &hedge.Policy{Share: h.Settings.HedgeShare}
}

// Earn adds the retries that one call to a service earns.
func (r *retryBudget) Earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilled(service)
	b.earned = min(b.earned+r.ratio*ratioFraction, r.maxEarned())
}

// Spend takes one retry from the budget and reports whether there was one.
func (r *retryBudget) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.refilled(service)
	switch {
	case b.earned >= 1:
		b.earned--
	case b.free >= 1:
		b.free--
	default:
		return false
	}
	return true
}

// maxEarned returns the maximum of earned retries that a host may save up.
func (r *retryBudget) maxEarned() float64 { return max(r.freePerHost(), 1) }

// freePerHost returns this host's share of the free retries per window.
func (r *retryBudget) freePerHost() float64 {
	return r.freeRetries * freeFraction / float64(max(r.hosts(), 1))
}

// refilled returns the bucket of a service after refilling its free retries.
func (r *retryBudget) refilled(service string) *bucket {
	if r.buckets == nil {
		r.buckets = make(map[string]*bucket)
	}
	now := time.Now()
	b := r.buckets[service]
	if b == nil {
		b = &bucket{free: r.freePerHost(), updatedAt: now}
		r.buckets[service] = b
	}
	b.free = min(b.free+now.Sub(b.updatedAt).Seconds()/r.window.Seconds()*r.freePerHost(), r.freePerHost())
	b.updatedAt = now
	return b
}
