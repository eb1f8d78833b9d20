package loads

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	defaultLeaseTime = 10 * time.Second
	// tickInterval is the longest time between checks of the lease.
	tickInterval = 250 * time.Millisecond
)

// errNotLimiter means that this host does not hold the lease.
var errNotLimiter = errors.New("this host does not hold the lease for load tickets")

// Limiter grants load tickets while its host holds the lease. Its fields must be set before Run.
type Limiter struct {
	// Limits returns the document's limits, Pools the names of its pools.
	Limits func() envdoc.WeightStore
	Pools  func() []string
	// Valid reports whether the host may act on the lease at now. Epoch returns a number that differs between the lease
	// terms of the host.
	Valid func(now time.Time) bool
	Epoch func() int64
	// LeaseTime is how long a lease lasts. A new limiter grants nothing for that long, so that the holders of tickets
	// can register them. 0 means 10 s.
	LeaseTime time.Duration

	mu       sync.Mutex
	q        queue
	epoch    int64
	hasLease bool
	// pending holds the granted channel of each waiting request by its id.
	pending map[int64]chan struct{}
	// termEnded is closed when the lease term ends, so that all clients turn to the next limiter.
	termEnded chan struct{}
	// nextToken is when the next token is due; a value on wake tells Run that it has changed.
	nextToken time.Time
	wake      chan struct{}
}

// Run checks the lease and grants tickets until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	l.mu.Lock()
	wake := make(chan struct{}, 1)
	l.wake = wake
	l.mu.Unlock()
	defer l.stop()
	for {
		timer := time.NewTimer(l.runRound(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// runRound grants the tickets that are due and returns the time until the next round.
func (l *Limiter) runRound(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.step(now)
	if l.nextToken.IsZero() {
		return tickInterval
	}
	return max(0, min(tickInterval, l.nextToken.Sub(now)))
}

// stop ends the term, so that clients turn to the next limiter.
func (l *Limiter) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endTerm()
}

// step starts or ends a term if the lease has changed, and grants the tickets that are due. The caller holds mu.
func (l *Limiter) step(now time.Time) {
	valid := l.Valid(now)
	if l.hasLease && (!valid || l.epoch != l.Epoch()) {
		l.endTerm()
	}
	if !valid {
		return
	}
	if !l.hasLease {
		l.hasLease = true
		l.epoch = l.Epoch()
		l.q.startTerm(now, l.effectiveLeaseTime())
		l.pending = make(map[int64]chan struct{})
		l.termEnded = make(chan struct{})
	}
	granted, next := l.q.step(now, l.q.available(now, l.Limits(), l.Pools(), l.effectiveLeaseTime()))
	for _, id := range granted {
		close(l.pending[id])
		delete(l.pending, id)
	}
	l.nextToken = next
}

// stepAndWake grants the tickets that are due after a change, and wakes Run to wait for the next token. The caller
// holds mu.
func (l *Limiter) stepAndWake() {
	l.step(time.Now())
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// endTerm ends the lease term, if there is one; the caller holds mu.
func (l *Limiter) endTerm() {
	if l.hasLease {
		l.hasLease = false
		l.nextToken = time.Time{}
		close(l.termEnded)
	}
}

func (l *Limiter) effectiveLeaseTime() time.Duration {
	if l.LeaseTime == 0 {
		return defaultLeaseTime
	}
	return l.LeaseTime
}

// ticket is a request in a lease term; granted is closed when it is granted, ended when the term ends.
type ticket struct {
	id             int64
	granted, ended chan struct{}
}

// register adds a request and records contact with its pool. A request without an item only records the contact.
func (l *Limiter) register(req wire.LoadRequest) (ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.step(now)
	if !l.hasLease {
		return ticket{}, errNotLimiter
	}
	l.q.lastContact[req.Pool] = now
	t := ticket{granted: make(chan struct{}), ended: l.termEnded}
	if req.Item == "" {
		close(t.granted)
		return t, nil
	}
	t.id = l.q.add(now, req)
	if req.Held {
		close(t.granted)
		return t, nil
	}
	l.pending[t.id] = t.granted
	l.stepAndWake()
	return t, nil
}

// release ends the request, unless its term has ended.
func (l *Limiter) release(t ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.ended != l.termEnded {
		return
	}
	l.q.remove(t.id)
	delete(l.pending, t.id)
	l.stepAndWake()
}

// Handle serves one stream: a load request, the response that grants it, and a second frame when the load has ended. If
// the stream breaks without that frame, the ticket stays taken for one lease time, because the load may still run.
func (l *Limiter) Handle(ctx context.Context, _ string, _ wire.Kind, conn wire.Stream) {
	defer func() { _ = conn.Close() }()
	var req wire.LoadRequest
	if err := conn.Recv(&req); err != nil {
		return
	}
	t, err := l.register(req)
	if err != nil {
		_ = conn.Send(wire.LoadResponse{Reason: err.Error()})
		return
	}
	received := make(chan error, 1)
	go func() { received <- conn.Recv(new(wire.LoadRequest)) }()
	select {
	case <-t.granted:
	case <-t.ended:
		_ = conn.Send(wire.LoadResponse{Reason: errNotLimiter.Error()})
		return
	case <-received:
		l.release(t)
		return
	case <-ctx.Done():
		l.release(t)
		return
	}
	err = conn.Send(wire.LoadResponse{OK: true})
	if req.Item != "" {
		l.holdUntilEnd(ctx, t, received, err)
	}
}

// holdUntilEnd releases the ticket when the load has ended, or one lease time after the stream has failed with err or
// while waiting for the second frame.
func (l *Limiter) holdUntilEnd(ctx context.Context, t ticket, received chan error, err error) {
	if err == nil {
		select {
		case err = <-received:
		case <-t.ended:
			return
		case <-ctx.Done():
			return
		}
	}
	if err != nil {
		select {
		case <-time.After(l.effectiveLeaseTime()):
		case <-t.ended:
		case <-ctx.Done():
		}
	}
	l.release(t)
}
