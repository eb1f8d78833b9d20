package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrCompacted means that the history after the requested revision is no longer kept.
	ErrCompacted = errors.New("history is no longer kept")
	// ErrRefused means that the store rejected the call and did nothing.
	ErrRefused = errors.New("store rejected the call")
	// ErrOutcomeUnknown means that no answer arrived: a write may have taken effect.
	ErrOutcomeUnknown = errors.New("no answer from the store")
	// ErrConflict means that a condition of a write did not hold and nothing was written.
	ErrConflict = errors.New("condition of the write does not hold")
	// ErrLeaseGone means that the lease has ended.
	ErrLeaseGone = errors.New("lease has ended")
)

type (
	// Item is a key as it was last written; Lease is 0 for a key that stays.
	Item struct {
		Key      string
		Value    []byte
		Revision int64
		Lease    int64
	}

	// Event is a written item, or with Deleted set the end of its key.
	Event struct {
		Item
		Deleted bool
	}

	// Condition holds while the key has that revision; 0 means that it does not exist.
	Condition struct {
		Key      string
		Revision int64
	}

	// Txn writes and removes keys if all conditions hold.
	Txn struct {
		If     []Condition
		Puts   []Item // Revision is ignored
		Remove []string
	}

	// Store is the service; every method is one counted call.
	Store interface {
		// List returns the items with that prefix and the revision from which a watch can continue.
		List(ctx context.Context, prefix string) (items []Item, revision int64, err error)
		// Watch returns the changes after the revision, or none when wait has passed.
		Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Event, int64, error)
		// Commit writes and returns the revision of the change.
		Commit(ctx context.Context, t Txn) (int64, error)
		// Grant creates a lease that ends ttl after its last renewal.
		Grant(ctx context.Context, ttl time.Duration) (lease int64, err error)
		// Renew extends a lease by its ttl.
		Renew(ctx context.Context, lease int64) error
		// Revoke ends a lease and removes its keys.
		Revoke(ctx context.Context, lease int64) error
	}
)
