package serve

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	leaveTimeout   = 3 * time.Second
	releaseTimeout = 3 * time.Second
	// quiet is how long no call may be open before the host closes its address.
	quiet = 2 * time.Second
	// drainLimit bounds the time for which the address stays open: callers keep address answers for 30 s.
	drainLimit = 30 * time.Second
	quietTick  = 100 * time.Millisecond
)

// ErrForcedStop means that the host ended before every call in flight had its answer.
var ErrForcedStop = errors.New("stop was forced before every call was answered")

// wait blocks until the host has ended, by a planned stop, which stop carries out, a failure of a server or the end of
// ctx.
func (h *Host) wait(ctx context.Context, failed <-chan error, stop func()) error {
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-h.Stop:
	case <-h.drain:
		// The first signal after an operator's drain asks for the same planned stop, so it must not force it.
		h.drained = true
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		stop()
	}()
	return h.finish(done)
}

// finish waits for the end of a planned stop or for what forces it.
func (h *Host) finish(done <-chan struct{}) error {
	var limit <-chan time.Time
	if s := h.Config.StopTimeoutS; s > 0 {
		limit = time.After(time.Duration(s) * time.Second)
	}
	for {
		select {
		case <-done:
			h.Log.Info().Msg("host stopped")
			return nil
		case <-h.Stop:
			if !h.drained {
				return ErrForcedStop
			}
			h.drained = false
		case <-limit:
			return ErrForcedStop
		}
	}
}

// stop leaves the membership, hands the leases over and closes the address once callers have gone elsewhere.
func (h *Host) stop(ctx context.Context) {
	h.leaving.Store(true)
	h.Log.Info().Int64("calls_in_flight", h.callers.InFlight()).Msg("planned stop begins")
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := h.table.Leave(leave); err != nil {
		h.Log.Warn().Err(err).Msg("planned stop could not be announced")
	}
	h.release(ctx)
	h.awaitQuiet()
	close(h.closed)
}

// release hands all leases over at once, in a time of its own: the announcement may have taken all of its own.
func (h *Host) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { h.pools.release(ctx) })
	wg.Go(func() { h.loads.release(ctx) })
	wg.Wait()
}

// awaitQuiet returns once no call has been open for a while, or when callers no longer keep this address.
func (h *Host) awaitQuiet() {
	began, last := time.Now(), time.Now()
	for time.Since(began) < drainLimit && time.Since(last) < quiet {
		if h.callers.InFlight() > 0 {
			last = time.Now()
		}
		time.Sleep(quietTick)
	}
}

// requestDrain begins a planned stop on an operator's request.
func (h *Host) requestDrain() {
	h.drainOne.Do(func() { close(h.drain) })
}
