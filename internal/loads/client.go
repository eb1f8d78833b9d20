package loads

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
	pingInterval  = 3 * time.Second
	pingTimeout   = 2 * time.Second
	retryInterval = 500 * time.Millisecond
	// defaultFallbackAfter covers the limiter's lease time of 10 s, a ping that was missed, and a load of 30 s that was
	// granted before the limiter began to withhold the pool's share.
	defaultFallbackAfter = 45 * time.Second
)

// Client obtains load tickets for the pools that this host owns. Its fields must be set before Run and Acquire.
type Client struct {
	Dialer wire.Dialer
	// Addr returns the limiter's address, or an empty string if it is unknown.
	Addr func() string
	// Limits returns the document's limits, Pools the names of all its pools, and Owned those that this host owns.
	Limits func() envdoc.WeightStore
	Pools  func() []string
	Owned  func() []string
	// FallbackAfter is the time without contact to a limiter after which a pool may use its share; 0 means 45 s.
	FallbackAfter time.Duration

	mu    sync.Mutex
	pools map[string]*poolContact
}

// poolContact records when a pool last reached the limiter. Its queue grants tickets of the pool's share while there is
// no limiter.
type poolContact struct {
	lastContact time.Time
	q           queue
}

// Run pings the limiter for each owned pool until ctx ends, so that the limiter does not withhold the pool's share.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		for _, p := range c.Owned() {
			c.ping(ctx, p)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// ping sends a request without an item, for which the limiter only records contact with the pool.
func (c *Client) ping(ctx context.Context, pool string) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if conn, err := c.requestTicket(ctx, wire.LoadRequest{Pool: pool}); err == nil {
		_ = conn.Close()
	}
}

// Acquire waits for a ticket until ctx ends; release returns the ticket without blocking.
func (c *Client) Acquire(ctx context.Context, req wire.LoadRequest) (release func(), err error) {
	for {
		conn, err := c.requestTicket(ctx, req)
		if err == nil {
			return c.holdTicket(req, conn), nil
		}
		if id, ok := c.acquireFallback(req); ok {
			return c.holdFallback(req, id), nil
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "wait for a load ticket")
		case <-time.After(retryInterval):
		}
	}
}

// requestTicket sends the request and waits for the grant. The ticket is held while the stream stays open.
func (c *Client) requestTicket(ctx context.Context, req wire.LoadRequest) (wire.Stream, error) {
	addr := c.Addr()
	if addr == "" {
		return nil, errors.New("no limiter of load tickets is known")
	}
	sent := time.Now()
	conn, err := c.Dialer.Open(ctx, addr, wire.KindLoad)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var resp wire.LoadResponse
	if err = conn.Send(req); err == nil {
		err = conn.Recv(&resp)
	}
	if err == nil && !resp.OK {
		err = errors.New(resp.Reason)
	}
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c.recordContact(req.Pool, sent)
	return conn, nil
}

// holdTicket holds the ticket until the returned function is called. If the stream breaks, it registers the ticket with
// the limiter that is reachable next.
func (c *Client) holdTicket(req wire.LoadRequest, conn wire.Stream) func() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		req.Held = true
		for {
			if conn != nil {
				c.awaitEnd(ctx, conn)
			}
			if ctx.Err() != nil {
				return
			}
			conn, _ = c.requestTicket(ctx, req)
			if conn == nil {
				clock.Sleep(ctx, retryInterval)
			}
		}
	}()
	return cancel
}

// awaitEnd returns when the stream has failed or when ctx has ended; in the latter case it first sends the frame that
// reports the end of the load.
func (c *Client) awaitEnd(ctx context.Context, conn wire.Stream) {
	failed := make(chan struct{})
	go func() {
		defer close(failed)
		_ = conn.Recv(new(wire.LoadResponse))
	}()
	select {
	case <-failed:
	case <-ctx.Done():
		_ = conn.Send(wire.LoadRequest{})
	}
	_ = conn.Close()
}

// holdFallback holds a ticket of the pool's share, and registers it once a limiter can be reached.
func (c *Client) holdFallback(req wire.LoadRequest, id int64) func() {
	release := c.holdTicket(req, nil)
	return func() {
		release()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.contactOf(req.Pool).q.remove(id)
	}
}

// acquireFallback takes a ticket of the pool's share for a repair or a missing item, if no limiter has been reached for
// FallbackAfter.
func (c *Client) acquireFallback(req wire.LoadRequest) (int64, bool) {
	if req.Urgency > int(plan.UrgencyRepair) {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	contact := c.contactOf(req.Pool)
	if now.Sub(contact.lastContact) < c.fallbackAfter() {
		return 0, false
	}
	limits := c.Limits()
	share := poolShare(limits, len(c.Pools())).markExhausted(limits)
	id := contact.q.add(now, req)
	if granted, _ := contact.q.step(now, share); len(granted) > 0 {
		return id, true
	}
	contact.q.remove(id)
	return 0, false
}

// contactOf returns the pool's record; for a new one, the time without contact begins now. The caller holds mu.
func (c *Client) contactOf(pool string) *poolContact {
	if c.pools == nil {
		c.pools = make(map[string]*poolContact)
	}
	contact := c.pools[pool]
	if contact == nil {
		now := time.Now()
		contact = &poolContact{lastContact: now, q: queue{refilledAt: now, tokens: 1}}
		c.pools[pool] = contact
	}
	return contact
}

// recordContact records that a request of the pool reached the limiter; sent is the time at which it was sent.
func (c *Client) recordContact(pool string, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	contact := c.contactOf(pool)
	if sent.After(contact.lastContact) {
		contact.lastContact = sent
	}
}

func (c *Client) fallbackAfter() time.Duration {
	if c.FallbackAfter == 0 {
		return defaultFallbackAfter
	}
	return c.FallbackAfter
}
