package serve

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// leaveTimeout limits the announcement to other hosts, and releaseTimeout the handover of leases.
	leaveTimeout   = 3 * time.Second
	releaseTimeout = 3 * time.Second
	// idlePeriod is how long the host must have had no open call before it stops accepting connections.
	idlePeriod = 2 * time.Second
	// maxDrainTime limits how long the host goes on accepting connections: callers cache address responses for 30 s.
	maxDrainTime      = 30 * time.Second
	idleCheckInterval = 100 * time.Millisecond
)

// ErrForcedStop means that the host ended before every call in flight had its response.
var ErrForcedStop = errors.New("forced shutdown before every call had a response")

// wait blocks until a server has failed, ctx has ended, or a graceful shutdown is complete or forced to end. It
// executes the shutdown by calling stop, after a signal or a drain request.
func (h *Host) wait(ctx context.Context, failed <-chan error, stop func()) error {
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-h.Stop:
	case <-h.drainRequested:
		// The first signal after an operator's drain request asks for the same graceful shutdown, so it must not force
		// the host to end.
		h.drainedByOperator = true
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		stop()
	}()
	return h.finish(done)
}

// finish waits for the end of a graceful shutdown, or for a signal or timeout that forces the host to end.
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
			if !h.drainedByOperator {
				return ErrForcedStop
			}
			h.drainedByOperator = false
		case <-limit:
			return ErrForcedStop
		}
	}
}

// stop executes a graceful shutdown: it announces the departure of the host, hands its leases over, and stops the
// servers once callers use other hosts.
func (h *Host) stop(ctx context.Context) {
	h.stopping.Store(true)
	h.Log.Info().Int64("calls_in_flight", h.callerAPI.InFlight()).Msg("graceful shutdown started")
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := h.members.Leave(leaveCtx); err != nil {
		h.Log.Warn().Err(err).Msg("graceful shutdown could not be announced to other hosts")
	}
	h.releaseLeases(ctx)
	h.waitIdle()
	close(h.stopServers)
}

// releaseLeases hands all leases over concurrently. It has its own timeout, because the announcement may have used up
// the whole of leaveTimeout.
func (h *Host) releaseLeases(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { h.pools.releaseLeases(ctx) })
	wg.Go(func() { h.loadLimiter.releaseLease(ctx) })
	wg.Wait()
}

// waitIdle returns once no call has been open for idlePeriod, or after maxDrainTime.
func (h *Host) waitIdle() {
	began, lastBusy := time.Now(), time.Now()
	for time.Since(began) < maxDrainTime && time.Since(lastBusy) < idlePeriod {
		if h.callerAPI.InFlight() > 0 {
			lastBusy = time.Now()
		}
		time.Sleep(idleCheckInterval)
	}
}

// requestDrain starts a graceful shutdown at the request of an operator.
func (h *Host) requestDrain() {
	h.drainOnce.Do(func() { close(h.drainRequested) })
}
