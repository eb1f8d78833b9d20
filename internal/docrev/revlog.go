package docrev

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
)

// callTimeout bounds one call. The key-value service responds in milliseconds, so a call without a response after 2 s
// counts as lost.
const callTimeout = 2 * time.Second

// revisionLog stores the revisions of one environment in the key-value service, one key for each; they are numbered
// from 1 without gaps.
type revisionLog struct {
	kv  kvapi.Service
	env string
}

func (l revisionLog) key(revision int64) string {
	return "env/" + l.env + "/rev/" + strconv.FormatInt(revision, 10)
}

func (l revisionLog) hintKey() string {
	return "env/" + l.env + "/hint"
}

func (l revisionLog) get(ctx context.Context, revision int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := l.kv.Get(ctx, l.key(revision))
	return e.Value, err
}

func (l revisionLog) create(ctx context.Context, revision int64, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.kv.Put(ctx, kvapi.Write{Key: l.key(revision), Value: value, IfVersion: kvapi.IfAbsent})
	return err
}

// watch returns the value of a revision as soon as it exists, or kvapi.ErrNoChange if it doesn't within wait.
func (l revisionLog) watch(ctx context.Context, revision int64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	e, err := l.kv.Watch(ctx, l.key(revision), 0, wait)
	return e.Value, err
}

// setHint stores the number of an existing revision, from which a starting host looks for the newest one in few calls.
// Concurrent writes may lower the hint; the search then only takes more calls.
func (l revisionLog) setHint(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := []byte(strconv.FormatInt(revision, 10))
	_, err := l.kv.Put(ctx, kvapi.Write{Key: l.hintKey(), Value: value, IfVersion: kvapi.AnyVersion})
	return err
}

// newest returns the newest revision and its value; if none is newer than from, it returns from without a value.
// If from is 0, the search starts at the hint.
func (l revisionLog) newest(ctx context.Context, from int64) (int64, []byte, error) {
	low, value := from, []byte(nil)
	if from == 0 {
		var err error
		if low, value, err = l.readHint(ctx); err != nil {
			return 0, nil, err
		}
	}
	// Doubling steps find an upper bound, then bisection finds the newest revision. Both together take about two calls
	// for each doubling of the distance.
	high := int64(0)
	for step := int64(1); high == 0; step *= 2 {
		v, err := l.get(ctx, low+step)
		switch {
		case err == nil:
			low, value = low+step, v
		case errors.Is(err, kvapi.ErrNotFound):
			high = low + step
		default:
			return 0, nil, err
		}
	}
	for high-low > 1 {
		mid := low + (high-low)/2
		v, err := l.get(ctx, mid)
		switch {
		case err == nil:
			low, value = mid, v
		case errors.Is(err, kvapi.ErrNotFound):
			high = mid
		default:
			return 0, nil, err
		}
	}
	return low, value, nil
}

// readHint returns the revision that the hint names and its value, or 0 if there is no hint, the hint is malformed or
// the revision doesn't exist.
func (l revisionLog) readHint(ctx context.Context) (int64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := l.kv.Get(ctx, l.hintKey())
	if errors.Is(err, kvapi.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	revision, err := strconv.ParseInt(string(e.Value), 10, 64)
	if err != nil || revision < 1 {
		return 0, nil, nil
	}
	value, err := l.get(ctx, revision)
	if errors.Is(err, kvapi.ErrNotFound) {
		return 0, nil, nil
	}
	return revision, value, err
}
