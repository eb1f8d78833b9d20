package host

import (
	"sync"
	"time"
)

const (
	// slackShare is the part of the free attempts that hosts may save up together. Within one window they can use what
	// they saved, as much again that returns, and as much that they earned before; restarted hosts begin anew.
	slackShare = 0.25
	// ratioShare is the part of the allowed ratio that is used, because calls of the window before count less.
	ratioShare = 0.8
)

// retries shares the budget for further attempts among hosts: each earns by its own calls and has an equal part of
// the free ones.
type retries struct {
	ratio  float64
	window time.Duration
	slack  float64
	hosts  func() int

	mu     sync.Mutex
	tokens map[string]*bucket
}

type bucket struct {
	earned float64
	free   float64
	at     time.Time
}

// Earn counts a call to a service.
func (r *retries) Earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.of(service)
	b.earned = min(b.earned+r.ratio*ratioShare, r.most())
}

// Spend takes one further attempt and reports whether there was one.
func (r *retries) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.of(service)
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

// most bounds what a quiet host may save up.
func (r *retries) most() float64 { return max(r.share(), 1) }

// share is this host's part of the free attempts.
func (r *retries) share() float64 { return r.slack * slackShare / float64(max(r.hosts(), 1)) }

func (r *retries) of(service string) *bucket {
	if r.tokens == nil {
		r.tokens = make(map[string]*bucket)
	}
	now := time.Now()
	b := r.tokens[service]
	if b == nil {
		b = &bucket{free: r.share(), at: now}
		r.tokens[service] = b
	}
	b.free = min(b.free+now.Sub(b.at).Seconds()/r.window.Seconds()*r.share(), r.share())
	b.at = now
	return b
}
