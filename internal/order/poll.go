package order

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/engine"
)

const (
	pollTimeout = 2 * time.Second
	// maxFailedPolls is the number of failed polls in a row after which an engine counts as lost.
	maxFailedPolls = 3
	// fastPoll is the interval while the outcome of an order is unknown or a correction is pending, and after a failed
	// poll.
	fastPoll = time.Second
	// maxPollInterval is the longest time for which a restart or a departure of an engine goes unnoticed in a large
	// pool.
	maxPollInterval = 20 * time.Second
	// Sizes of a status report in JSON, and of each of its items with a name of 20 bytes.
	reportBytes     = 300
	reportItemBytes = 90
)

// poll requests the status of an engine when it is due; requests to one engine never overlap.
func (r *Reconciler) poll(ctx context.Context, es *engineState, now time.Time) {
	if es.polling || now.Before(es.nextPoll) {
		return
	}
	es.polling = true
	url := es.spec.URL
	r.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		st, err := r.Engines.Status(callCtx, url)
		r.post(ctx, func() { r.polled(es, now, st, err) })
	})
}

func (r *Reconciler) polled(es *engineState, started time.Time, st engine.Status, err error) {
	now := time.Now()
	es.polling = false
	if es.nextPoll.After(started) {
		// An order ended while the report was in flight, so the report may not show its effect.
		es.nextPoll = now
	} else {
		es.nextPoll = now.Add(r.pollInterval())
	}
	if err != nil {
		r.pollFailed(es, now, err)
		return
	}
	if !es.hasStatus || es.failedPolls >= maxFailedPolls ||
		st.BootID != es.status.BootID || st.Leaving != es.status.Leaving {
		r.replan()
	}
	es.failedPolls = 0
	es.hasStatus = true
	es.status = st
	if es.led == nil {
		return
	}
	restarted := es.led.BootID != "" && es.led.BootID != st.BootID
	if !es.led.ApplyReport(now, started, st) {
		return
	}
	es.reportedAt = started
	// An engine that lost its fencing token in a restart accepts every order, even a late one from an earlier owner,
	// until a sync order gives it a new token.
	es.syncDue = es.syncDue || restarted && es.led.Rules.ChecksFencing
	if es.led.Dirty() {
		r.replan()
	}
	if len(es.led.Corrections()) > 0 || len(es.led.InDoubt()) > 0 {
		es.nextPoll = earlier(es.nextPoll, now.Add(fastPoll))
	}
}

func (r *Reconciler) pollFailed(es *engineState, now time.Time, err error) {
	es.failedPolls++
	if es.failedPolls < maxFailedPolls {
		es.nextPoll = now.Add(fastPoll)
		return
	}
	if es.failedPolls == maxFailedPolls {
		r.Log.Warn().Err(err).Str("engine", es.spec.Name).Msg("engine does not respond to status polls")
		r.Stats.CountEvent("order_engine_lost")
		r.replan()
	}
}

// up reports whether the engine counts as available: it has responded, and fewer than maxFailedPolls failed since.
func (es *engineState) up() bool { return es.hasStatus && es.failedPolls < maxFailedPolls }

// reachable reports whether the last poll succeeded, so that an order is likely to arrive.
func (es *engineState) reachable() bool { return es.hasStatus && es.failedPolls == 0 }

// pollInterval returns the interval between status polls of an engine. It grows with the size of the pool, up to
// maxPollInterval, so that all reports together stay within StatusBytesPerS.
func (r *Reconciler) pollInterval() time.Duration {
	sum := 0
	for _, es := range r.engineStates {
		sum += reportBytes + reportItemBytes*len(es.status.Items)
	}
	spread := time.Duration(sum) * time.Second / time.Duration(r.StatusBytesPerS)
	return max(r.PollEvery, min(spread, maxPollInterval))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
