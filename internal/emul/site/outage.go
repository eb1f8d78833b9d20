package site

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/store"
)

type (
	// Outage is a time in which the first hosts, or all of them, do not reach the store.
	Outage struct {
		From, Until time.Duration
		Hosts       int // 0 means all
	}

	// hostStore is the store as one host reaches it.
	hostStore struct {
		store.Store
		site *Site
		host int
	}
)

// reach returns an error while the host does not reach the store. It takes effect on calls that are waiting too.
func (h *hostStore) reach() error {
	now := h.site.since()
	for _, o := range h.site.Outages {
		if now >= o.From && now < o.Until && (o.Hosts == 0 || h.host < o.Hosts) {
			return store.ErrNotExecuted
		}
	}
	return nil
}

// List implements store.Store.
func (h *hostStore) List(ctx context.Context, prefix string) ([]store.Item, store.Version, error) {
	if err := h.reach(); err != nil {
		return nil, store.Version{}, err
	}
	return h.Store.List(ctx, prefix)
}

// Watch implements store.Store.
func (h *hostStore) Watch(
	ctx context.Context, prefix string, after store.Version, wait time.Duration,
) ([]store.Event, store.Version, error) {
	if err := h.reach(); err != nil {
		return nil, store.Version{}, err
	}
	events, as, err := h.Store.Watch(ctx, prefix, after, wait)
	if err := h.reach(); err != nil {
		return nil, store.Version{}, err
	}
	return events, as, err
}

// Commit implements store.Store.
func (h *hostStore) Commit(ctx context.Context, t store.Txn) (store.Version, error) {
	if err := h.reach(); err != nil {
		return store.Version{}, err
	}
	return h.Store.Commit(ctx, t)
}

// Grant implements store.Store.
func (h *hostStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := h.reach(); err != nil {
		return store.Lease{}, err
	}
	return h.Store.Grant(ctx, ttl)
}

// Renew implements store.Store.
func (h *hostStore) Renew(ctx context.Context, l store.Lease) error {
	if err := h.reach(); err != nil {
		return err
	}
	return h.Store.Renew(ctx, l)
}

// Revoke implements store.Store.
func (h *hostStore) Revoke(ctx context.Context, l store.Lease) error {
	if err := h.reach(); err != nil {
		return err
	}
	return h.Store.Revoke(ctx, l)
}
