package kvfake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
)

// Client is the service as one client sees it.
type Client struct {
	store *Store
	name  string
}

var _ kvapi.Service = (*Client)(nil)

// Get implements kvapi.Service.
func (c *Client) Get(ctx context.Context, key string) (kvapi.Entry, error) {
	return call(ctx, c, Get, key, func(s *Store) (kvapi.Entry, error) { return s.get(key) })
}

// List implements kvapi.Service.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]kvapi.Entry, error) {
	return call(ctx, c, List, prefix, func(s *Store) ([]kvapi.Entry, error) {
		keys := s.keys(prefix)
		if len(keys) > limit {
			keys = keys[:limit]
		}
		entries := make([]kvapi.Entry, 0, len(keys))
		for _, key := range keys {
			e, err := s.get(key)
			if err != nil {
				return nil, err
			}
			entries = append(entries, e)
		}
		return entries, nil
	})
}

// Put implements kvapi.Service.
func (c *Client) Put(ctx context.Context, w kvapi.Write) (kvapi.Entry, error) {
	if len(w.Value) > kvapi.MaxValueBytes {
		return kvapi.Entry{}, errors.Errorf("value of key %q exceeds %d bytes", w.Key, kvapi.MaxValueBytes)
	}
	return call(ctx, c, Put, w.Key, func(s *Store) (kvapi.Entry, error) { return s.put(w) })
}

// Delete implements kvapi.Service.
func (c *Client) Delete(ctx context.Context, key string, ifVersion int64) error {
	return c.do(ctx, Delete, key, func(s *Store) error { return s.delete(key, ifVersion) })
}

// Grant implements kvapi.Service.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	return call(ctx, c, Grant, "", func(s *Store) (string, error) { return s.grant(ttl), nil })
}

// Renew implements kvapi.Service.
func (c *Client) Renew(ctx context.Context, leaseID string) error {
	return c.do(ctx, Renew, leaseID, func(s *Store) error { return s.renew(leaseID) })
}

// Revoke implements kvapi.Service.
func (c *Client) Revoke(ctx context.Context, leaseID string) error {
	return c.do(ctx, Revoke, leaseID, func(s *Store) error { return s.revoke(leaseID) })
}

// Watch implements kvapi.Service.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (kvapi.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var changed chan struct{}
	look := func(s *Store) (kvapi.Entry, error) {
		changed = s.changed
		e, err := s.get(key)
		if err != nil || e.Revision <= after {
			return kvapi.Entry{}, kvapi.ErrNoChange
		}
		return e, nil
	}
	e, err := call(ctx, c, Watch, key, look)
	for errors.Is(err, kvapi.ErrNoChange) {
		select {
		case <-changed:
			e, err = effect(c, look)
		case <-timer.C:
			return kvapi.Entry{}, kvapi.ErrNoChange
		case <-ctx.Done():
			return kvapi.Entry{}, kvapi.ErrOutcomeUnknown
		}
	}
	return e, err
}

func (c *Client) do(ctx context.Context, kind Kind, key string, run func(*Store) error) error {
	_, err := call(ctx, c, kind, key, func(s *Store) (struct{}, error) { return struct{}{}, run(s) })
	return err
}

// Counts the call, applies latency and faults, and runs the effect unless the call fails before it.
func call[T any](ctx context.Context, c *Client, kind Kind, key string, run func(*Store) (T, error)) (T, error) {
	var none T
	if !c.pause(ctx, c.store.Latency) {
		return none, kvapi.ErrOutcomeUnknown
	}
	c.store.mu.Lock()
	c.store.arrive(c.name, kind)
	f := c.store.fault(c.name, kind, key)
	c.store.mu.Unlock()
	if f == nil {
		return effect(c, run)
	}
	if f.AfterEffect {
		if _, err := effect(c, run); err != nil {
			return none, err
		}
	}
	if f.Hang {
		<-ctx.Done()
	}
	return none, f.Err
}

func effect[T any](c *Client, run func(*Store) (T, error)) (T, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reachable(c.name) {
		var none T
		return none, kvapi.ErrOutcomeUnknown
	}
	s.expire()
	return run(s)
}

func (c *Client) pause(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
