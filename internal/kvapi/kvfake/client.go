package kvfake

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
)

// Client implements kvapi.Service for one named client of a Store.
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

// Watch implements kvapi.Service, except that it waits for a missing key even if after is not 0.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (kvapi.Entry, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var changed chan struct{}
	read := func(s *Store) (kvapi.Entry, error) {
		changed = s.changed
		e, err := s.get(key)
		if err != nil || e.Revision <= after {
			return kvapi.Entry{}, kvapi.ErrNoChange
		}
		return e, nil
	}
	e, err := call(ctx, c, Watch, key, read)
	for errors.Is(err, kvapi.ErrNoChange) {
		select {
		case <-changed:
			e, err = execute(c, read)
		case <-timer.C:
			return kvapi.Entry{}, kvapi.ErrNoChange
		case <-ctx.Done():
			return kvapi.Entry{}, kvapi.ErrOutcomeUnknown
		}
	}
	return e, err
}

func (c *Client) do(ctx context.Context, kind Kind, key string, op func(*Store) error) error {
	_, err := call(ctx, c, kind, key, func(s *Store) (struct{}, error) { return struct{}{}, op(s) })
	return err
}

// call waits for the store's latency, counts the call and executes op. An injected fault makes the call fail before op
// is executed, or afterwards if AfterExecution is set.
func call[T any](ctx context.Context, c *Client, kind Kind, key string, op func(*Store) (T, error)) (T, error) {
	var zero T
	if !c.sleep(ctx, c.store.Latency) {
		return zero, kvapi.ErrOutcomeUnknown
	}
	c.store.mu.Lock()
	c.store.countCall(c.name, kind)
	f := c.store.takeFault(c.name, kind, key)
	c.store.mu.Unlock()
	if f == nil {
		return execute(c, op)
	}
	if f.AfterExecution {
		if _, err := execute(c, op); err != nil {
			return zero, err
		}
	}
	if f.Hang {
		<-ctx.Done()
	}
	return zero, f.Err
}

// execute runs op on the store, or returns kvapi.ErrOutcomeUnknown if the client cannot reach it.
func execute[T any](c *Client, op func(*Store) (T, error)) (T, error) {
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reachable(c.name) {
		var zero T
		return zero, kvapi.ErrOutcomeUnknown
	}
	s.expire()
	return op(s)
}

// sleep waits for d and reports whether ctx is still active.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
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
