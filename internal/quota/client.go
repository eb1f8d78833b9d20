package quota

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	contactEvery = 3 * time.Second
	contactLimit = 2 * time.Second
	clientRetry  = 500 * time.Millisecond
	// defaultFallbackAfter covers a keeper's term of 10 s, a contact that was missed, and a load of 30 s that was
	// granted before the keeper began to withhold the share.
	defaultFallbackAfter = 45 * time.Second
)

// Client gets load tickets for the pools that this host owns; its fields are set before Run and Acquire.
type Client struct {
	Dialer wire.Dialer
	// Addr returns the keeper's address, or an empty string when it is unknown.
	Addr func() string
	// Limits returns the document's limits, Pools the names of all its pools, and Owned those that this host owns.
	Limits func() envdoc.WeightStore
	Pools  func() []string
	Owned  func() []string
	// FallbackAfter is the time without contact after which a pool may use its share; 0 means 45 s.
	FallbackAfter time.Duration

	mu    sync.Mutex
	pools map[string]*contact
}

// contact is what a pool knows of the keeper; its queue shares out the pool's own part without one.
type contact struct {
	last time.Time
	q    queue
}

// Run contacts the keeper regularly, which keeps the shares of the owned pools from being withheld.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(contactEvery)
	defer tick.Stop()
	for {
		for _, p := range c.Owned() {
			c.greet(ctx, p)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

func (c *Client) greet(ctx context.Context, pool string) {
	ctx, cancel := context.WithTimeout(ctx, contactLimit)
	defer cancel()
	if conn, err := c.open(ctx, wire.LoadRequest{Pool: pool}); err == nil {
		_ = conn.Close()
	}
}

// Acquire waits for a ticket; release returns it without blocking.
func (c *Client) Acquire(ctx context.Context, m wire.LoadRequest) (release func(), err error) {
	for {
		conn, err := c.open(ctx, m)
		if err == nil {
			return c.keep(m, conn), nil
		}
		if id, ok := c.fallBack(m); ok {
			return c.keepAlone(m, id), nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for a load ticket")
		case <-time.After(clientRetry):
		}
	}
}

// open sends the ask and waits for the grant; the ticket lasts as long as the exchange.
func (c *Client) open(ctx context.Context, m wire.LoadRequest) (wire.Stream, error) {
	addr := c.Addr()
	if addr == "" {
		return nil, errors.New("no keeper of load tickets is known")
	}
	sent := time.Now()
	conn, err := c.Dialer.Open(ctx, addr, wire.KindLoad)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var g wire.LoadResponse
	if err = conn.Send(m); err == nil {
		err = conn.Recv(&g)
	}
	if err == nil && !g.OK {
		err = errors.New(g.Reason)
	}
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.reached(m.Pool, sent)
	return conn, nil
}

// keep holds the ticket and registers it again with the next keeper when the exchange breaks.
func (c *Client) keep(m wire.LoadRequest, conn wire.Stream) func() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		m.Held = true
		for {
			if conn != nil {
				c.watch(ctx, conn)
			}
			if ctx.Err() != nil {
				return
			}
			conn, _ = c.open(ctx, m)
			if conn == nil {
				clock.Sleep(ctx, clientRetry)
			}
		}
	}()
	return cancel
}

// watch returns when the exchange has broken or, after saying that the load has ended, when ctx has ended.
func (c *Client) watch(ctx context.Context, conn wire.Stream) {
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		_ = conn.Recv(new(wire.LoadResponse))
	}()
	select {
	case <-broken:
	case <-ctx.Done():
		_ = conn.Send(wire.LoadRequest{})
	}
	_ = conn.Close()
}

// keepAlone holds a place of the pool's own share, and registers it when a keeper can be reached again.
func (c *Client) keepAlone(m wire.LoadRequest, id int64) func() {
	release := c.keep(m, nil)
	return func() {
		release()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.contact(m.Pool).q.remove(id)
	}
}

// fallBack takes a place of the pool's share for a repair, if no keeper has been reached for long enough.
func (c *Client) fallBack(m wire.LoadRequest) (int64, bool) {
	if m.Urgency > int(plan.UrgencyRepair) {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	p := c.contact(m.Pool)
	if now.Sub(p.last) < c.fallbackAfter() {
		return 0, false
	}
	w := c.Limits()
	b := share(w, len(c.Pools())).closed(w)
	id := p.q.add(now, m)
	if granted, _ := p.q.step(now, b); len(granted) > 0 {
		return id, true
	}
	p.q.remove(id)
	return 0, false
}

// contact returns the pool's record; the time without contact of a new one begins now.
func (c *Client) contact(pool string) *contact {
	if c.pools == nil {
		c.pools = make(map[string]*contact)
	}
	p := c.pools[pool]
	if p == nil {
		now := time.Now()
		p = &contact{last: now, q: queue{filled: now, tokens: 1}}
		c.pools[pool] = p
	}
	return p
}

func (c *Client) reached(pool string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.contact(pool)
	if sent.After(p.last) {
		p.last = sent
	}
}

func (c *Client) fallbackAfter() time.Duration {
	if c.FallbackAfter == 0 {
		return defaultFallbackAfter
	}
	return c.FallbackAfter
}
