package order

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ledger"
	"github.com/figreel/figreel/internal/plan"
	"github.com/figreel/figreel/internal/wire"
)

const (
	initialOrderBackoff = time.Second
	maxOrderBackoff     = 30 * time.Second
	// maxLoadAttempts is the number of loads after which an item that the engine still doesn't report is given to the
	// planner, which may choose another engine.
	maxLoadAttempts = 5
	// minDrain is the shortest drain. It covers calls that the dispatcher assigned to the engine just before it learned
	// that the item is draining.
	minDrain = time.Second
	// maxReportAge is how old an engine's last report may be when this host repeats a stored load without holding the
	// lease. It spans several polls, because engines with pending corrections are polled every second.
	maxReportAge = 5 * time.Second
	// maxTicketTime is the longest time that a load keeps its ticket, so that a load that never ends does not hold back
	// others.
	maxTicketTime = 10 * time.Minute
)

// startOrder calls begin to add an order to the ledger, stores the ledger, sends the order and records its outcome. It
// returns false if the ledger does not allow the order.
func (r *Reconciler) startOrder(
	ctx context.Context, es *engineState, begin func(now time.Time, id string) (engine.Order, error),
) bool {
	ord, err := begin(time.Now(), r.nextID())
	if err != nil {
		r.Log.Debug().Err(err).Str("engine", es.spec.Name).Msg("ledger does not allow the order")
		return false
	}
	es.busy = true
	r.Stats.CountEvent("order_" + string(ord.Kind))
	r.storeLedger(ctx, es, es.led, es.version, func(err error) {
		if err != nil {
			es.led.EndOrder(time.Now(), ord, nil)
			es.busy = false
			return
		}
		r.sendOrder(ctx, es, ord, r.Valid)
	})
	return true
}

// sendOrder calls allowed immediately before the send and sends the order only if it returns true. An order that was
// not sent counts as one with unknown outcome.
func (r *Reconciler) sendOrder(ctx context.Context, es *engineState, ord engine.Order, allowed func(time.Time) bool) {
	url := es.spec.URL
	led := es.led
	r.spawn(func() {
		var res *engine.OrderResult
		if allowed(time.Now()) {
			callCtx, cancel := context.WithTimeout(ctx, r.OrderTimeout)
			defer cancel()
			if got, err := r.Engines.SendOrder(callCtx, url, ord); err == nil {
				res = &got
			}
		}
		r.post(ctx, func() { r.handleResult(es, led, ord, res) })
	})
}

func (r *Reconciler) handleResult(es *engineState, led *ledger.Ledger, ord engine.Order, res *engine.OrderResult) {
	now := time.Now()
	es.busy = false
	es.nextPoll = now
	r.replan()
	if res == nil {
		r.Stats.CountEvent("order_unknown")
	}
	if led.EndOrder(now, ord, res) {
		// Another owner may have raised the fencing token; the takeover reads the stored ledger to find out.
		r.Stats.CountEvent("order_refused_fence")
		es.minFence = res.Fence
		es.takenOver = false
		return
	}
	if res != nil && !res.Applied {
		r.Stats.CountEvent("order_refused")
		r.Log.Warn().Str("engine", es.spec.Name).Str("item", ord.Item).Str("reason", res.Reason).
			Msg("engine refused the order")
	}
}

// sendCorrections sends the orders that correct differences between the ledger and the engine's reports. Without a
// lease it only repeats loads of the stored ledger, and only to engines that check fencing tokens.
func (r *Reconciler) sendCorrections(ctx context.Context, es *engineState, now time.Time) {
	if es.led == nil || es.busy || es.takingOver || !es.reachable() || !es.led.HasReport() {
		return
	}
	valid := r.Valid(now)
	if valid && !es.takenOver {
		return
	}
	if valid && es.syncDue {
		es.syncDue = !r.startOrder(ctx, es, func(_ time.Time, id string) (engine.Order, error) {
			return es.led.BeginSync(id)
		})
		return
	}
	for _, c := range es.led.Corrections() {
		if es.busy || !correctionDue(c, now) {
			continue
		}
		if valid {
			r.sendCorrection(ctx, es, c)
		} else if c.Kind == ledger.LoadAgain && es.led.Fencing() {
			r.reload(ctx, es, c.Item, now)
		}
	}
}

// correctionDue reports whether the backoff since the last order for the item is over; it doubles with each attempt.
func correctionDue(c ledger.Correction, now time.Time) bool {
	if c.Item.Attempts < 1 {
		return true
	}
	backoff := min(initialOrderBackoff<<min(c.Item.Attempts-1, 5), maxOrderBackoff)
	return !now.Before(c.Item.OrderEnded.Add(backoff))
}

func (r *Reconciler) sendCorrection(ctx context.Context, es *engineState, c ledger.Correction) {
	switch c.Kind {
	case ledger.SyncFence:
		r.startOrder(ctx, es, func(_ time.Time, id string) (engine.Order, error) { return es.led.BeginSync(id) })
	case ledger.UnloadAgain:
		r.startOrder(ctx, es, func(now time.Time, id string) (engine.Order, error) {
			return es.led.BeginUnload(now, id, c.Item.Name)
		})
	case ledger.LoadAgain:
		if c.Item.Attempts >= maxLoadAttempts || !r.needed(c.Item.Name) || es.status.Leaving || es.baseMissing(c.Item) {
			es.led.Drop(c.Item.Name)
			r.replan()
			return
		}
		r.reload(ctx, es, c.Item, time.Now())
	}
}

// baseMissing reports whether an adapter's model is missing from the ledger of this engine, or no longer desired there.
func (es *engineState) baseMissing(it ledger.Item) bool {
	if !it.Adapter {
		return false
	}
	m := es.led.Item(it.Model)
	return m == nil || !m.Desired
}

// hasAdapters reports whether the engine still reports adapters of a model, and whether the ledger still desires one
// that is not draining.
func (es *engineState) hasAdapters(model string) (present, desired bool) {
	for i := range es.led.Items {
		it := &es.led.Items[i]
		if !it.Adapter || it.Gone || it.Model != model {
			continue
		}
		_, draining := es.draining[it.Name]
		present = present || it.Reported != ""
		desired = desired || it.Desired && !draining
	}
	return present, desired
}

// reload repeats the load of an item of the ledger; it requests a load ticket unless the earlier load still has one.
func (r *Reconciler) reload(ctx context.Context, es *engineState, it ledger.Item, now time.Time) {
	if es.loadRequests[it.Name] != nil || it.Adapter && !r.itemReady(es, it.Model) {
		return
	}
	act := plan.Action{
		Engine: es.spec.Name, Item: it.Name, Model: it.Model, Adapter: it.Adapter, MemoryMB: it.MemoryMB,
		Urgency: plan.UrgencyRepair,
	}
	if r.otherReplicas(es, it.Name) == 0 {
		act.Urgency = plan.UrgencyMissing
	}
	if t := es.tickets[it.Name]; t != nil {
		delete(es.tickets, it.Name)
		es.loadRequests[it.Name] = &loadRequest{action: act, release: t.release, reload: true}
		r.startReadyLoad(ctx, es, now)
		return
	}
	r.requestLoad(ctx, es, act, true)
}

// requestLoad requests a load ticket and waits for it outside the event loop.
func (r *Reconciler) requestLoad(ctx context.Context, es *engineState, act plan.Action, reload bool) {
	if until, ok := es.retryAfter[act.Item]; ok {
		if time.Now().Before(until) {
			return
		}
		delete(es.retryAfter, act.Item)
	}
	r.Stats.CountEvent("order_ticket_asked")
	req := &loadRequest{action: act, reload: reload}
	es.loadRequests[act.Item] = req
	msg := wire.LoadRequest{
		Pool: r.Pool, Engine: act.Engine, Item: act.Item, Adapter: act.Adapter, MemoryMB: act.MemoryMB,
		Urgency: int(act.Urgency),
	}
	r.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, r.TicketTimeout)
		defer cancel()
		release, err := r.Acquire(callCtx, msg)
		ok := r.post(ctx, func() { r.ticketResult(es, req, release, err) })
		if !ok && err == nil {
			release()
		}
	})
}

func (r *Reconciler) ticketResult(es *engineState, req *loadRequest, release func(), err error) {
	if err != nil || es.loadRequests[req.action.Item] != req {
		if err == nil {
			release()
		}
		if es.loadRequests[req.action.Item] == req {
			delete(es.loadRequests, req.action.Item)
			es.retryAfter[req.action.Item] = time.Now().Add(initialOrderBackoff)
		}
		r.Stats.CountEvent("order_no_ticket")
		return
	}
	req.release = release
}

// startReadyLoad starts the most urgent load that has its ticket.
func (r *Reconciler) startReadyLoad(ctx context.Context, es *engineState, now time.Time) {
	if es.led == nil || es.busy || es.takingOver || !es.reachable() {
		return
	}
	var best *loadRequest
	for _, req := range es.loadRequests {
		if req.release != nil && (best == nil || moreUrgent(req.action, best.action)) {
			best = req
		}
	}
	if best == nil {
		return
	}
	delete(es.loadRequests, best.action.Item)
	if !r.startLoad(ctx, es, best, now) {
		best.release()
		es.retryAfter[best.action.Item] = now.Add(initialOrderBackoff)
		r.replan()
		return
	}
	es.tickets[best.action.Item] = &loadTicket{release: best.release, since: now}
}

func moreUrgent(a, b plan.Action) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return a.Item < b.Item
}

func (r *Reconciler) startLoad(ctx context.Context, es *engineState, req *loadRequest, now time.Time) bool {
	act := req.action
	if act.Adapter && !r.itemReady(es, act.Model) {
		return false
	}
	if !r.Valid(now) {
		return req.reload && r.sendStoredLoad(ctx, es, act.Item)
	}
	if !es.takenOver || !r.inDocument(act.Item) && !req.reload {
		return false
	}
	if have := es.led.Item(act.Item); have != nil && have.Desired && have.Reported != "" {
		return false
	}
	return r.startOrder(ctx, es, func(now time.Time, id string) (engine.Order, error) {
		return es.led.BeginLoad(now, id, ledger.Item{
			Name: act.Item, Model: act.Model, Adapter: act.Adapter, MemoryMB: act.MemoryMB,
		})
	})
}

// sendStoredLoad repeats a load without a lease. The stored ledger already includes it, and the engine rejects its
// fencing token once a new owner has taken over.
func (r *Reconciler) sendStoredLoad(ctx context.Context, es *engineState, item string) bool {
	stored, err := ledger.Decode(es.storedLedger)
	if err != nil {
		return false
	}
	ord, err := es.led.BeginStoredLoad(time.Now(), r.nextID(), item, stored)
	if err != nil {
		r.Log.Debug().Err(err).Str("engine", es.spec.Name).Msg("ledger does not allow the load without a lease")
		return false
	}
	es.busy = true
	r.Stats.CountEvent("order_recorded_load")
	reported := es.reportedAt
	// While this process was paused, a new owner may have raised the engine's fencing token and a restart of the engine
	// may have lost it; the engine would then accept this outdated order. So the load is sent only shortly after a
	// report.
	r.sendOrder(ctx, es, ord, func(now time.Time) bool { return now.Sub(reported) < maxReportAge })
	return true
}

// unloadDrained starts the unload of draining items that no call uses any more, or that have drained for MaxDrain. It
// stops the drain of an item that may no longer be unloaded.
func (r *Reconciler) unloadDrained(ctx context.Context, es *engineState, now time.Time) {
	for _, item := range sortedKeys(es.draining) {
		since := es.draining[item]
		if !r.canUnload(es, item) {
			delete(es.draining, item)
			continue
		}
		present, desired := es.hasAdapters(item)
		if desired {
			delete(es.draining, item)
			continue
		}
		waited := now.Sub(since)
		used := r.Running != nil && r.Running(es.spec.Name, item) > 0
		if es.busy || !es.takenOver || !r.Valid(now) || waited < minDrain || present || used && waited < r.MaxDrain {
			continue
		}
		delete(es.draining, item)
		r.startOrder(ctx, es, func(now time.Time, id string) (engine.Order, error) {
			return es.led.BeginUnload(now, id, item)
		})
	}
}

// canUnload reports whether an item may be unloaded. It is false for the last ready replica of an item that is needed.
func (r *Reconciler) canUnload(es *engineState, item string) bool {
	if es.led == nil || !es.reachable() {
		return false
	}
	it := es.led.Item(item)
	if it == nil || !it.Desired || it.Gone {
		return false
	}
	return !r.needed(item) || r.otherReplicas(es, item) > 0
}

// releaseEndedTickets releases the tickets of loads that have ended, or that last longer than maxTicketTime.
func (r *Reconciler) releaseEndedTickets(es *engineState, now time.Time) {
	for item, t := range es.tickets {
		it := es.led.Item(item)
		ended := it == nil || !it.Desired || it.State() == ledger.Resident
		if ended && !es.busy || now.Sub(t.since) > maxTicketTime {
			t.release()
			delete(es.tickets, item)
		}
	}
}
