package kvapi

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// AnyVersion as IfVersion makes a write unconditional.
	AnyVersion int64 = -1
	// IfAbsent as IfVersion makes a write succeed only if the key does not exist.
	IfAbsent int64 = 0
	// MaxValueBytes is the largest value that the service stores.
	MaxValueBytes = 1 << 20
)

var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("key does not exist")
	// ErrConflict means that the key's version is not the expected one, and nothing was written.
	ErrConflict = errors.New("version condition does not hold")
	// ErrLeaseNotFound means that the lease has expired or was revoked, and nothing was written.
	ErrLeaseNotFound = errors.New("lease does not exist")
	// ErrRateLimited means that the service rejected the call by its rate limit, and nothing was written.
	ErrRateLimited = errors.New("rate limit of the key-value service reached")
	// ErrTooLarge means that the value or key is larger than the service accepts, and nothing was written.
	ErrTooLarge = errors.New("value or key is too large")
	// ErrOutcomeUnknown means that no definite response arrived: a write may have taken effect or may still do so.
	ErrOutcomeUnknown = errors.New("no definite response from the key-value service")
	// ErrNoChange means that a watch ended without a change.
	ErrNoChange = errors.New("no change within the watch time")
)

type (
	// Entry is a key with its value; Version counts the writes of this key, Revision the writes of all keys.
	Entry struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Version  int64  `json:"version"`
		Revision int64  `json:"revision"`
		LeaseID  string `json:"lease_id,omitempty"`
	}

	// Write is one conditional write; IfVersion is AnyVersion, IfAbsent or the version that the key must still have.
	Write struct {
		Key       string `json:"key"`
		Value     []byte `json:"value"`
		IfVersion int64  `json:"if_version"`
		LeaseID   string `json:"lease_id,omitempty"`
	}

	// Service is the key-value service. Every method makes one call, which is counted in the statistics, and returns
	// the errors of this package.
	Service interface {
		// Get returns the entry or ErrNotFound.
		Get(ctx context.Context, key string) (Entry, error)
		// List returns up to limit entries whose keys start with prefix, sorted by key, with their values.
		List(ctx context.Context, prefix string, limit int) ([]Entry, error)
		// Put writes the key and returns its new entry. If the write names a lease, the key is deleted when the lease
		// ends.
		Put(ctx context.Context, w Write) (Entry, error)
		// Delete removes the key if its version is ifVersion; with AnyVersion it removes the key unconditionally.
		Delete(ctx context.Context, key string, ifVersion int64) error
		// Grant creates a lease that expires ttl after its creation or last renewal.
		Grant(ctx context.Context, ttl time.Duration) (leaseID string, err error)
		// Renew extends the lease by its ttl or returns ErrLeaseNotFound.
		Renew(ctx context.Context, leaseID string) error
		// Revoke ends the lease and deletes its keys.
		Revoke(ctx context.Context, leaseID string) error
		// Watch waits until the key has a revision greater than after, or returns ErrNoChange when wait has passed.
		// If the key does not exist, Watch waits for it when after is 0; otherwise the key was deleted, and Watch
		// returns ErrNotFound.
		Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error)
	}
)
