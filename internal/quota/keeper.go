package quota

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	defaultTerm = 10 * time.Second
	// keeperTick notices a gained or lost lease, and refills tokens.
	keeperTick = 250 * time.Millisecond
)

// errNotKeeper means that this host does not hold the lease.
var errNotKeeper = errors.New("this host does not keep the load tickets")

// Limiter grants load tickets while its host holds the lease; its fields are set before Run.
type Limiter struct {
	// Limits returns the document's limits, Pools the names of its pools.
	Limits func() envdoc.WeightStore
	Pools  func() []string
	// Valid reports whether the lease may be used at now, and Epoch tells one term from the next.
	Valid func(now time.Time) bool
	Epoch func() int64
	// Term is the lease time, for which a new keeper grants nothing; 0 means 10 s.
	Term time.Duration

	mu     sync.Mutex
	q      queue
	epoch  int64
	on     bool
	grants map[int64]chan struct{}
	// ended is closed when the term ends, which sends all owners to the next keeper.
	ended chan struct{}
	// next is when the next token is due, and wake tells Run that it has changed.
	next time.Time
	wake chan struct{}
}

// Run follows the lease until ctx ends.
func (k *Limiter) Run(ctx context.Context) error {
	k.mu.Lock()
	wake := make(chan struct{}, 1)
	k.wake = wake
	k.mu.Unlock()
	defer k.stop()
	for {
		timer := time.NewTimer(k.round(time.Now()))
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

// round grants what is due and returns the time until the next round.
func (k *Limiter) round(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.step(now)
	if k.next.IsZero() {
		return keeperTick
	}
	return max(0, min(keeperTick, k.next.Sub(now)))
}

func (k *Limiter) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.end()
}

// step notices a change of the lease and grants what is due; the caller holds mu.
func (k *Limiter) step(now time.Time) {
	valid := k.Valid(now)
	if k.on && (!valid || k.epoch != k.Epoch()) {
		k.end()
	}
	if !valid {
		return
	}
	if !k.on {
		k.on = true
		k.epoch = k.Epoch()
		k.q.gain(now, k.term())
		k.grants = make(map[int64]chan struct{})
		k.ended = make(chan struct{})
	}
	granted, next := k.q.step(now, k.q.bounds(now, k.Limits(), k.Pools(), k.term()))
	for _, id := range granted {
		close(k.grants[id])
		delete(k.grants, id)
	}
	k.next = next
}

// nudge grants what is due after a change and lets Run wait for the next token; the caller holds mu.
func (k *Limiter) nudge() {
	k.step(time.Now())
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Limiter) end() {
	if k.on {
		k.on = false
		close(k.ended)
	}
}

func (k *Limiter) term() time.Duration {
	if k.Term == 0 {
		return defaultTerm
	}
	return k.Term
}

// ticket is an ask of the current term; granted is closed with the grant and ended with the term.
type ticket struct {
	id             int64
	granted, ended chan struct{}
}

// register adds an ask, or with an empty item only notes that the pool has contact.
func (k *Limiter) register(m wire.LoadRequest) (ticket, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.step(now)
	if !k.on {
		return ticket{}, errNotKeeper
	}
	k.q.contact[m.Pool] = now
	t := ticket{granted: make(chan struct{}), ended: k.ended}
	if m.Item == "" {
		close(t.granted)
		return t, nil
	}
	t.id = k.q.add(now, m)
	if m.Held {
		close(t.granted)
		return t, nil
	}
	k.grants[t.id] = t.granted
	k.nudge()
	return t, nil
}

// giveBack ends the ask of a term that may have ended.
func (k *Limiter) giveBack(t ticket) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t.ended != k.ended {
		return
	}
	k.q.remove(t.id)
	delete(k.grants, t.id)
	k.nudge()
}

// Handle serves one load exchange: an ask, its grant, and a second frame when the load has ended. A stream that breaks
// without that frame keeps its ticket for one term, because the load may still run.
func (k *Limiter) Handle(ctx context.Context, _ string, _ wire.Kind, c wire.Stream) {
	defer func() { _ = c.Close() }()
	var m wire.LoadRequest
	if err := c.Recv(&m); err != nil {
		return
	}
	t, err := k.register(m)
	if err != nil {
		_ = c.Send(wire.LoadResponse{Reason: err.Error()})
		return
	}
	closed := make(chan error, 1)
	go func() { closed <- c.Recv(new(wire.LoadRequest)) }()
	select {
	case <-t.granted:
	case <-t.ended:
		_ = c.Send(wire.LoadResponse{Reason: errNotKeeper.Error()})
		return
	case <-closed:
		k.giveBack(t)
		return
	case <-ctx.Done():
		k.giveBack(t)
		return
	}
	err = c.Send(wire.LoadResponse{OK: true})
	if m.Item != "" {
		k.hold(ctx, t, closed, err)
	}
}

func (k *Limiter) hold(ctx context.Context, t ticket, closed chan error, err error) {
	if err == nil {
		select {
		case err = <-closed:
		case <-t.ended:
			return
		case <-ctx.Done():
			return
		}
	}
	if err != nil {
		select {
		case <-time.After(k.term()):
		case <-t.ended:
		case <-ctx.Done():
		}
	}
	k.giveBack(t)
}
