package docrev

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
)

// The service responds in milliseconds; a call that takes this long is treated as lost.
const callTimeout = 2 * time.Second

// The revisions of one environment in the key-value service; they are numbered from 1 without gaps.
type journal struct {
	kv  kvapi.Service
	env string
}

func (j journal) key(revision int64) string {
	return "env/" + j.env + "/rev/" + strconv.FormatInt(revision, 10)
}

func (j journal) hintKey() string {
	return "env/" + j.env + "/hint"
}

func (j journal) get(ctx context.Context, revision int64) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := j.kv.Get(ctx, j.key(revision))
	return e.Value, err
}

func (j journal) create(ctx context.Context, revision int64, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := j.kv.Put(ctx, kvapi.Write{Key: j.key(revision), Value: value, IfVersion: kvapi.IfAbsent})
	return err
}

// Waits for a revision and returns its value.
func (j journal) watch(ctx context.Context, revision int64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	e, err := j.kv.Watch(ctx, j.key(revision), 0, wait)
	return e.Value, err
}

// Records a revision that exists, so that hosts that start need few calls; racing writes may lower it harmlessly.
func (j journal) setHint(ctx context.Context, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value := []byte(strconv.FormatInt(revision, 10))
	_, err := j.kv.Put(ctx, kvapi.Write{Key: j.hintKey(), Value: value, IfVersion: kvapi.AnyVersion})
	return err
}

// Returns the newest revision and its value, or from without a value if none is newer.
func (j journal) newest(ctx context.Context, from int64) (int64, []byte, error) {
	low, value := from, []byte(nil)
	if from == 0 {
		var err error
		if low, value, err = j.hinted(ctx); err != nil {
			return 0, nil, err
		}
	}
	// Doubling steps, then bisection, need about two calls per doubling of the distance.
	high := int64(0)
	for step := int64(1); high == 0; step *= 2 {
		v, err := j.get(ctx, low+step)
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
		middle := low + (high-low)/2
		v, err := j.get(ctx, middle)
		switch {
		case err == nil:
			low, value = middle, v
		case errors.Is(err, kvapi.ErrNotFound):
			high = middle
		default:
			return 0, nil, err
		}
	}
	return low, value, nil
}

// Returns the revision that the hint names, or 0 without a usable hint.
func (j journal) hinted(ctx context.Context) (int64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := j.kv.Get(ctx, j.hintKey())
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
	value, err := j.get(ctx, revision)
	if errors.Is(err, kvapi.ErrNotFound) {
		return 0, nil, nil
	}
	return revision, value, err
}
