package store

import (
	"cmp"
	"context"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrCompacted means that the store has compacted the history after the requested revision; list the keys again.
	ErrCompacted = errors.New("history after the requested revision was compacted")
	// ErrRestored means that the store has come back from an older copy since the era that a call refers to; list the
	// keys again.
	ErrRestored = errors.New("the store has come back from an older copy")
	// ErrNotExecuted means that the call was not sent, or that the store rejected it: nothing was executed.
	ErrNotExecuted = errors.New("call not executed by the store")
	// ErrOutcomeUnknown means that no complete response arrived: a write may have been executed.
	ErrOutcomeUnknown = errors.New("no response from the store: outcome unknown")
	// ErrConflict means that a condition of a write failed and nothing was written.
	ErrConflict = errors.New("condition of the write failed")
	// ErrLeaseGone means that the lease has expired or was revoked.
	ErrLeaseGone = errors.New("lease has expired or was revoked")
)

type (
	// Version is a state of the store. Revisions are comparable only within one era: each time the store comes back
	// from an older copy, its era rises, and revisions that the copy does not have are given out again.
	Version struct {
		Era      int64 // 0 if the store states none
		Revision int64
	}

	// Item is a key with its value and the revision of its last write; Lease is 0 for a key without a lease.
	Item struct {
		Key      string
		Value    []byte
		Revision int64
		Lease    int64
	}

	// Event is one change: a written item or, if Deleted is set, the removal of its key.
	Event struct {
		Item
		Deleted bool
	}

	// Condition requires that the key has this revision; 0 requires that the key does not exist.
	Condition struct {
		Key      string
		Revision int64
	}

	// Lease is a lease of the store. A later era may have lost it and have given its ID to another one.
	Lease struct {
		ID, Era int64
	}

	// Txn writes and removes keys if all conditions hold.
	Txn struct {
		Era    int64 // of the revisions and leases in it
		If     []Condition
		Puts   []Item // Revision is ignored
		Remove []string
	}

	// Store is a key-value service. Methods return the errors of this package; implementations count every call. A call
	// that refers to an earlier era than that of the response fails with ErrRestored, but it may have been executed.
	Store interface {
		// List returns the items with that prefix and the version to pass to Watch.
		List(ctx context.Context, prefix string) (items []Item, as Version, err error)
		// Watch returns the changes after a version and the version to continue from; it returns no changes if none
		// happen within wait.
		Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Event, Version, error)
		// Commit executes the transaction and returns the version of the change.
		Commit(ctx context.Context, t Txn) (Version, error)
		// Grant creates a lease that expires ttl after its last renewal.
		Grant(ctx context.Context, ttl time.Duration) (Lease, error)
		// Renew extends a lease by its ttl.
		Renew(ctx context.Context, l Lease) error
		// Revoke ends a lease and removes its keys.
		Revoke(ctx context.Context, l Lease) error
	}
)

// Compare returns -1 if v is older than o, 1 if it is newer, and 0 if they are equal.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}
