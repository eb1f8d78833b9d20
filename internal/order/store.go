package order

import (
	"context"
	"crypto/rand"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/ledger"
)

const (
	kvTimeout         = 3 * time.Second
	initialPutBackoff = 100 * time.Millisecond
	maxPutBackoff     = 5 * time.Second
	takeoverRetry     = time.Second
	flushAfter        = 10 * time.Second
	nonceLen          = 8
)

var (
	errLease   = errors.New("lease is not valid")
	errChanged = errors.New("ledger was written by another owner")
)

func newNonce() string { return rand.Text()[:nonceLen] }

// nextID returns an id that no other owner and no earlier Reconciler of this host uses.
func (r *Reconciler) nextID() string {
	r.lastID++
	return r.Host + "-" + r.nonce + "-" + strconv.Itoa(r.lastID)
}

// startTakeover reads the ledger of an engine and raises its fencing token, once for each epoch of the lease. It is
// repeated after a failed write or a rejected token.
func (r *Reconciler) startTakeover(ctx context.Context, es *engineState, now time.Time) {
	if es.takenOver && es.epoch != r.Epoch() && !es.busy && r.Valid(now) {
		es.takenOver = false
	}
	if es.takenOver || es.takingOver || es.busy || now.Before(es.takeoverRetryAt) || !r.Valid(now) {
		return
	}
	es.takingOver = true
	epoch := r.Epoch()
	r.spawn(func() {
		readCtx, cancel := context.WithTimeout(ctx, kvTimeout)
		defer cancel()
		e, err := r.KV.Get(readCtx, es.key)
		r.post(ctx, func() { r.applyTakeover(ctx, es, epoch, e, err) })
	})
}

func (r *Reconciler) applyTakeover(ctx context.Context, es *engineState, epoch int64, e kvapi.Entry, err error) {
	now := time.Now()
	es.takingOver = false
	es.takeoverRetryAt = now.Add(takeoverRetry)
	led := &ledger.Ledger{}
	switch {
	case errors.Is(err, kvapi.ErrNotFound):
		e.Version = kvapi.IfAbsent
	case err != nil:
		r.Log.Warn().Err(err).Str("engine", es.spec.Name).Msg("could not read the ledger of the engine")
		return
	default:
		if led, err = ledger.Decode(e.Value); err != nil {
			r.Log.Error().Err(err).Str("engine", es.spec.Name).Msg("could not decode the ledger of the engine")
			return
		}
	}
	if led.Pool == r.Pool && led.Epoch > epoch {
		r.fatal = ErrSuperseded
		return
	}
	led.Engine = es.spec.Name
	led.Pool = r.Pool
	led.Rules = rules(es.spec, r.pool())
	led.Fence = max(led.Fence, es.minFence)
	led.Takeover(now, epoch)
	es.takingOver = true
	r.storeLedger(ctx, es, led, e.Version, func(err error) { r.takeoverDone(es, led, epoch, err) })
}

func (r *Reconciler) takeoverDone(es *engineState, led *ledger.Ledger, epoch int64, err error) {
	es.takingOver = false
	if err != nil {
		return
	}
	es.led = led
	es.epoch = epoch
	es.takenOver = true
	es.syncDue = led.Rules.ChecksFencing
	es.nextPoll = time.Now()
	r.Stats.CountEvent("order_takeover")
}

// flush stores the changes that reports made to the ledger, once flushAfter has passed since the first of them. Safety
// does not depend on it; it lets the next owner start with fewer orders in doubt.
func (r *Reconciler) flush(ctx context.Context, es *engineState, now time.Time) {
	if !es.takenOver || es.busy || !es.led.Dirty() {
		es.dirtySince = time.Time{}
		return
	}
	if es.dirtySince.IsZero() {
		es.dirtySince = now
	}
	if now.Sub(es.dirtySince) < flushAfter || !r.Valid(now) {
		return
	}
	es.busy = true
	r.storeLedger(ctx, es, es.led, es.version, func(error) { es.busy = false })
}

// storeLedger stores led and calls done in the event loop, with nil once led is known to be stored, or with an error.
// After a failed write it clears takenOver, so that the next takeover reads the ledger again, because the write may
// still take effect. An encoding error is passed to done at once. If ctx has ended, done may not be called.
func (r *Reconciler) storeLedger(
	ctx context.Context, es *engineState, led *ledger.Ledger, version int64, done func(error),
) {
	led.WriteID = r.nextID()
	id := led.WriteID
	body, err := led.Encode()
	if err != nil {
		done(err)
		return
	}
	r.spawn(func() {
		v, err := r.putUntilCertain(ctx, kvapi.Write{Key: es.key, Value: body, IfVersion: version}, id)
		r.post(ctx, func() {
			if err == nil {
				es.version = v
				es.storedLedger = body
			} else {
				r.writeFailed(es, err)
			}
			done(err)
		})
	})
}

func (r *Reconciler) writeFailed(es *engineState, err error) {
	es.takenOver = false
	r.Log.Warn().Err(err).Str("engine", es.spec.Name).Msg("could not store the ledger of the engine")
	r.Stats.CountEvent("order_ledger_write_failed")
}

// putUntilCertain writes until the outcome is certain. A write without a response is repeated with the same version
// condition, so it takes effect at most once; a conflict is resolved by reading back the write id.
func (r *Reconciler) putUntilCertain(ctx context.Context, w kvapi.Write, id string) (int64, error) {
	wait := initialPutBackoff
	for {
		v, err := r.putOnce(ctx, w, id)
		if err == nil || errors.Is(err, errChanged) {
			return v, err
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		if !r.Valid(time.Now()) {
			return 0, errLease
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(wait):
		}
		wait = min(2*wait, maxPutBackoff)
	}
}

func (r *Reconciler) putOnce(ctx context.Context, w kvapi.Write, id string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	e, err := r.KV.Put(ctx, w)
	if !errors.Is(err, kvapi.ErrConflict) {
		return e.Version, err
	}
	e, err = r.KV.Get(ctx, w.Key)
	if errors.Is(err, kvapi.ErrNotFound) {
		return 0, errChanged
	}
	if err != nil {
		return 0, err
	}
	led, err := ledger.Decode(e.Value)
	if err != nil {
		return 0, err
	}
	if led.WriteID == id {
		return e.Version, nil
	}
	return 0, errChanged
}
