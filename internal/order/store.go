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
	kvTimeout     = 3 * time.Second
	firstRetry    = 100 * time.Millisecond
	longestRetry  = 5 * time.Second
	takeoverRetry = time.Second
	settleAfter   = 10 * time.Second
	nonceShown    = 8
)

var (
	errLease   = errors.New("lease is not valid")
	errChanged = errors.New("ledger was written by another owner")
)

func newNonce() string { return rand.Text()[:nonceShown] }

// nextID returns an id that no other owner and no earlier run of this host uses.
func (o *Reconciler) nextID() string {
	o.ids++
	return o.Host + "-" + o.nonce + "-" + strconv.Itoa(o.ids)
}

// takeOver reads the ledger of an engine and raises its fencing counter, once for each epoch of the lease.
func (o *Reconciler) takeOver(ctx context.Context, p *peer, now time.Time) {
	if p.taken && p.epoch != o.Epoch() && !p.busy && o.Valid(now) {
		p.taken = false
	}
	if p.taken || p.taking || p.busy || now.Before(p.retryAt) || !o.Valid(now) {
		return
	}
	p.taking = true
	epoch := o.Epoch()
	o.spawn(func() {
		readCtx, cancel := context.WithTimeout(ctx, kvTimeout)
		defer cancel()
		e, err := o.KV.Get(readCtx, p.key)
		o.post(ctx, func() { o.adopt(ctx, p, epoch, e, err) })
	})
}

func (o *Reconciler) adopt(ctx context.Context, p *peer, epoch int64, e kvapi.Entry, err error) {
	now := time.Now()
	p.taking = false
	p.retryAt = now.Add(takeoverRetry)
	led := &ledger.Ledger{}
	switch {
	case errors.Is(err, kvapi.ErrNotFound):
		e.Version = kvapi.IfAbsent
	case err != nil:
		o.Log.Warn().Err(err).Str("engine", p.doc.Name).Msg("read ledger")
		return
	default:
		if led, err = ledger.Decode(e.Value); err != nil {
			o.Log.Error().Err(err).Str("engine", p.doc.Name).Msg("read ledger")
			return
		}
	}
	if led.Pool == o.Pool && led.Epoch > epoch {
		o.fatal = ErrSuperseded
		return
	}
	led.Engine = p.doc.Name
	led.Pool = o.Pool
	led.Rules = rules(p.doc, o.pool())
	led.Fence = max(led.Fence, p.floor)
	led.Takeover(now, epoch)
	p.taking = true
	o.write(ctx, p, led, e.Version, func(err error) { o.took(p, led, epoch, err) })
}

func (o *Reconciler) took(p *peer, led *ledger.Ledger, epoch int64, err error) {
	p.taking = false
	if err != nil {
		return
	}
	p.led = led
	p.epoch = epoch
	p.taken = true
	p.sync = led.Rules.ChecksFencing
	p.nextPoll = time.Now()
	o.Stats.CountEvent("order_takeover")
}

// settle stores what reports changed, so that the next owner starts from less doubt; it is not needed for safety.
func (o *Reconciler) settle(ctx context.Context, p *peer, now time.Time) {
	if !p.taken || p.busy || !p.led.Dirty() {
		p.dirtyAt = time.Time{}
		return
	}
	if p.dirtyAt.IsZero() {
		p.dirtyAt = now
	}
	if now.Sub(p.dirtyAt) < settleAfter || !o.Valid(now) {
		return
	}
	p.busy = true
	o.write(ctx, p, p.led, p.version, func(error) { p.busy = false })
}

// write stores led and calls done in the loop with nil once it is known to be stored, or with the reason why not.
// After an error the peer's ledger has to be taken over again, because the write may still take effect.
func (o *Reconciler) write(ctx context.Context, p *peer, led *ledger.Ledger, version int64, done func(error)) {
	led.WriteID = o.nextID()
	id := led.WriteID
	body, err := led.Encode()
	if err != nil {
		done(err)
		return
	}
	o.spawn(func() {
		v, err := o.put(ctx, kvapi.Write{Key: p.key, Value: body, IfVersion: version}, id)
		o.post(ctx, func() {
			if err == nil {
				p.version = v
				p.stored = body
			} else {
				o.writeFailed(p, err)
			}
			done(err)
		})
	})
}

func (o *Reconciler) writeFailed(p *peer, err error) {
	p.taken = false
	o.Log.Warn().Err(err).Str("engine", p.doc.Name).Msg("store ledger")
	o.Stats.CountEvent("order_ledger_write_failed")
}

// put writes until the outcome is certain. A write without an answer is repeated with the same condition: it can take
// effect once at most, and a conflict is resolved by reading back the write id.
func (o *Reconciler) put(ctx context.Context, w kvapi.Write, id string) (int64, error) {
	wait := firstRetry
	for {
		v, err := o.putOnce(ctx, w, id)
		if err == nil || errors.Is(err, errChanged) {
			return v, err
		}
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
		if !o.Valid(time.Now()) {
			return 0, errLease
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(wait):
		}
		wait = min(2*wait, longestRetry)
	}
}

func (o *Reconciler) putOnce(ctx context.Context, w kvapi.Write, id string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, kvTimeout)
	defer cancel()
	e, err := o.KV.Put(ctx, w)
	if !errors.Is(err, kvapi.ErrConflict) {
		return e.Version, err
	}
	e, err = o.KV.Get(ctx, w.Key)
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
