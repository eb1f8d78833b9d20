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
	firstRepeat   = time.Second
	longestRepeat = 30 * time.Second
	// maxTries is the number of loads without a sign of the item after which the planner looks for another engine.
	maxTries = 5
	// drainLeast covers calls that were given this engine just before the item was taken off the list.
	drainLeast = time.Second
	// recordedFresh is the greatest age of the report on which a load without a lease rests; with needs, engines are
	// asked every second.
	recordedFresh = 5 * time.Second
	// ticketMax bounds how long a load that does not end may keep its ticket.
	ticketMax = 10 * time.Minute
)

// order changes the ledger by begin, stores it, sends the order and records its outcome.
func (o *Reconciler) order(
	ctx context.Context, p *peer, begin func(now time.Time, id string) (engine.Order, error),
) bool {
	ord, err := begin(time.Now(), o.nextID())
	if err != nil {
		o.Log.Debug().Err(err).Str("engine", p.doc.Name).Msg("order not begun")
		return false
	}
	p.busy = true
	o.Stats.CountEvent("order_" + string(ord.Kind))
	o.write(ctx, p, p.led, p.version, func(err error) {
		if err != nil {
			p.led.EndOrder(time.Now(), ord, nil)
			p.busy = false
			return
		}
		o.send(ctx, p, ord, o.Valid)
	})
	return true
}

// send gives the order if allowed still holds immediately before.
func (o *Reconciler) send(ctx context.Context, p *peer, ord engine.Order, allowed func(time.Time) bool) {
	url := p.doc.URL
	led := p.led
	o.spawn(func() {
		var res *engine.OrderResult
		if allowed(time.Now()) {
			callCtx, cancel := context.WithTimeout(ctx, o.OrderTimeout)
			defer cancel()
			if r, err := o.Engines.SendOrder(callCtx, url, ord); err == nil {
				res = &r
			}
		}
		o.post(ctx, func() { o.answered(p, led, ord, res) })
	})
}

func (o *Reconciler) answered(p *peer, led *ledger.Ledger, ord engine.Order, res *engine.OrderResult) {
	now := time.Now()
	p.busy = false
	p.nextPoll = now
	o.replan()
	if res == nil {
		o.Stats.CountEvent("order_unknown")
	}
	if led.EndOrder(now, ord, res) {
		// A higher number comes from another owner; the stored ledger tells.
		o.Stats.CountEvent("order_refused_fence")
		p.floor = res.Fence
		p.taken = false
		return
	}
	if res != nil && !res.Applied {
		o.Stats.CountEvent("order_refused")
		o.Log.Warn().Str("engine", p.doc.Name).Str("item", ord.Item).Str("reason", res.Reason).Msg("order refused")
	}
}

// correct sends what the ledger needs to be settled; without a lease only recorded loads, to engines that check
// fencing.
func (o *Reconciler) correct(ctx context.Context, p *peer, now time.Time) {
	if p.led == nil || p.busy || p.taking || !p.ready() || !p.led.HasReport() {
		return
	}
	valid := o.Valid(now)
	if valid && !p.taken {
		return
	}
	if valid && p.sync {
		p.sync = !o.order(ctx, p, func(_ time.Time, id string) (engine.Order, error) { return p.led.BeginSync(id) })
		return
	}
	for _, n := range p.led.Corrections() {
		if p.busy || !due(n, now) {
			continue
		}
		if valid {
			o.settleNeed(ctx, p, n)
		} else if n.Kind == ledger.LoadAgain && p.led.Fencing() {
			o.loadAgain(ctx, p, n.Item, now)
		}
	}
}

// due spaces repeated orders for one item by a growing pause.
func due(n ledger.Correction, now time.Time) bool {
	if n.Item.Attempts < 1 {
		return true
	}
	pause := min(firstRepeat<<min(n.Item.Attempts-1, 5), longestRepeat)
	return !now.Before(n.Item.OrderEnded.Add(pause))
}

func (o *Reconciler) settleNeed(ctx context.Context, p *peer, n ledger.Correction) {
	switch n.Kind {
	case ledger.SyncFence:
		o.order(ctx, p, func(_ time.Time, id string) (engine.Order, error) { return p.led.BeginSync(id) })
	case ledger.UnloadAgain:
		o.order(ctx, p, func(now time.Time, id string) (engine.Order, error) {
			return p.led.BeginUnload(now, id, n.Item.Name)
		})
	case ledger.LoadAgain:
		if n.Item.Attempts >= maxTries || !o.needed(n.Item.Name) || p.status.Leaving || p.orphan(n.Item) {
			p.led.Abandon(n.Item.Name)
			o.replan()
			return
		}
		o.loadAgain(ctx, p, n.Item, time.Now())
	}
}

// orphan reports whether an adapter's model is unknown or no longer wanted on this engine.
func (p *peer) orphan(it ledger.Item) bool {
	if !it.Adapter {
		return false
	}
	m := p.led.Item(it.Model)
	return m == nil || !m.Desired
}

// carries reports whether a model still has adapters on this engine; kept is true when one of them is to stay.
func (p *peer) carries(model string) (some, kept bool) {
	for i := range p.led.Items {
		it := &p.led.Items[i]
		if !it.Adapter || it.Gone || it.Model != model {
			continue
		}
		_, draining := p.draining[it.Name]
		some = some || it.Reported != ""
		kept = kept || it.Desired && !draining
	}
	return some, kept
}

// loadAgain asks for a ticket for a recorded item, unless one is held already.
func (o *Reconciler) loadAgain(ctx context.Context, p *peer, it ledger.Item, now time.Time) {
	if p.asking[it.Name] != nil || it.Adapter && !o.answers(p, it.Model) {
		return
	}
	m := plan.Action{
		Engine: p.doc.Name, Item: it.Name, Model: it.Model, Adapter: it.Adapter, MemoryMB: it.MemoryMB,
		Urgency: plan.UrgencyRepair,
	}
	if o.elsewhere(p, it.Name) == 0 {
		m.Urgency = plan.UrgencyMissing
	}
	if t := p.tickets[it.Name]; t != nil {
		delete(p.tickets, it.Name)
		p.asking[it.Name] = &asked{move: m, release: t.release, again: true}
		o.loadReady(ctx, p, now)
		return
	}
	o.ask(ctx, p, m, true)
}

// ask waits for a load ticket outside the loop.
func (o *Reconciler) ask(ctx context.Context, p *peer, m plan.Action, again bool) {
	if until, ok := p.paused[m.Item]; ok {
		if time.Now().Before(until) {
			return
		}
		delete(p.paused, m.Item)
	}
	o.Stats.CountEvent("order_ticket_asked")
	a := &asked{move: m, again: again}
	p.asking[m.Item] = a
	msg := wire.LoadRequest{
		Pool: o.Pool, Engine: m.Engine, Item: m.Item, Adapter: m.Adapter, MemoryMB: m.MemoryMB, Urgency: int(m.Urgency),
	}
	o.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, o.TicketTimeout)
		defer cancel()
		release, err := o.Acquire(callCtx, msg)
		ok := o.post(ctx, func() { o.granted(p, a, release, err) })
		if !ok && err == nil {
			release()
		}
	})
}

func (o *Reconciler) granted(p *peer, a *asked, release func(), err error) {
	if err != nil || p.asking[a.move.Item] != a {
		if err == nil {
			release()
		}
		if p.asking[a.move.Item] == a {
			delete(p.asking, a.move.Item)
			p.paused[a.move.Item] = time.Now().Add(firstRepeat)
		}
		o.Stats.CountEvent("order_no_ticket")
		return
	}
	a.release = release
}

// loadReady begins the most urgent load that has its ticket.
func (o *Reconciler) loadReady(ctx context.Context, p *peer, now time.Time) {
	if p.led == nil || p.busy || p.taking || !p.ready() {
		return
	}
	var best *asked
	for _, a := range p.asking {
		if a.release != nil && (best == nil || before(a.move, best.move)) {
			best = a
		}
	}
	if best == nil {
		return
	}
	delete(p.asking, best.move.Item)
	if !o.load(ctx, p, best, now) {
		best.release()
		p.paused[best.move.Item] = now.Add(firstRepeat)
		o.replan()
		return
	}
	p.tickets[best.move.Item] = &ticket{release: best.release, since: now}
}

func before(a, b plan.Action) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return a.Item < b.Item
}

func (o *Reconciler) load(ctx context.Context, p *peer, a *asked, now time.Time) bool {
	m := a.move
	if m.Adapter && !o.answers(p, m.Model) {
		return false
	}
	if !o.Valid(now) {
		return a.again && o.recorded(ctx, p, m.Item)
	}
	if !p.taken || !o.named(m.Item) && !a.again {
		return false
	}
	if have := p.led.Item(m.Item); have != nil && have.Desired && have.Reported != "" {
		return false
	}
	return o.order(ctx, p, func(now time.Time, id string) (engine.Order, error) {
		return p.led.BeginLoad(now, id, ledger.Item{
			Name: m.Item, Model: m.Model, Adapter: m.Adapter, MemoryMB: m.MemoryMB,
		})
	})
}

// recorded sends a load that the stored ledger already counts, without a lease; fencing keeps it safe.
func (o *Reconciler) recorded(ctx context.Context, p *peer, item string) bool {
	stored, err := ledger.Decode(p.stored)
	if err != nil {
		return false
	}
	ord, err := p.led.BeginStoredLoad(time.Now(), o.nextID(), item, stored)
	if err != nil {
		o.Log.Debug().Err(err).Str("engine", p.doc.Name).Msg("recorded load not sent")
		return false
	}
	p.busy = true
	o.Stats.CountEvent("order_recorded_load")
	reported := p.reportedAt
	// Before a pause the report may have come from another boot of the engine, whose number is lost since.
	o.send(ctx, p, ord, func(now time.Time) bool { return now.Sub(reported) < recordedFresh })
	return true
}

// drain begins the unload of items that no call uses any more, if other copies still answer.
func (o *Reconciler) drain(ctx context.Context, p *peer, now time.Time) {
	for _, item := range sortedKeys(p.draining) {
		since := p.draining[item]
		if !o.mayUnload(p, item) {
			delete(p.draining, item)
			continue
		}
		some, kept := p.carries(item)
		if kept {
			delete(p.draining, item)
			continue
		}
		waited := now.Sub(since)
		used := o.Running != nil && o.Running(p.doc.Name, item) > 0
		if p.busy || !p.taken || !o.Valid(now) || waited < drainLeast || some || used && waited < o.MaxDrain {
			continue
		}
		delete(p.draining, item)
		o.order(ctx, p, func(now time.Time, id string) (engine.Order, error) {
			return p.led.BeginUnload(now, id, item)
		})
	}
}

// mayUnload is false for the last answering copy of an item that the document names, in this or in a newer version.
func (o *Reconciler) mayUnload(p *peer, item string) bool {
	if p.led == nil || !p.ready() {
		return false
	}
	it := p.led.Item(item)
	if it == nil || !it.Desired || it.Gone {
		return false
	}
	return !o.needed(item) || o.elsewhere(p, item) > 0
}

// freeTickets returns the tickets of loads that have ended.
func (o *Reconciler) freeTickets(p *peer, now time.Time) {
	for item, t := range p.tickets {
		it := p.led.Item(item)
		ended := it == nil || !it.Desired || it.State() == ledger.Resident
		if ended && !p.busy || now.Sub(t.since) > ticketMax {
			t.release()
			delete(p.tickets, item)
		}
	}
}
