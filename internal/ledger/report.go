package ledger

import (
	"sort"
	"time"

	"github.com/figreel/figreel/internal/engine"
)

const (
	// LoadAgain loads a desired item that a report showed absent.
	LoadAgain CorrectionKind = iota
	// UnloadAgain unloads an item that is not desired but that a report showed present.
	UnloadAgain
	// SyncFence raises the engine's fencing token above that of an earlier order that may still arrive, so that the
	// engine rejects that order.
	SyncFence
)

type (
	// CorrectionKind is the kind of order that a Correction needs.
	CorrectionKind uint8

	// Correction is an order that brings the engine in line with the ledger; it needs no decision of the planner.
	Correction struct {
		Kind CorrectionKind
		Item Item
	}
)

// ApplyReport applies a status that was requested at started, by the owner's clock, and returns false for a stale one.
// The requests to one engine must not overlap. A new boot id shows a restart: Corrections then returns loads of the
// desired items that are absent, and items that are no longer desired are freed as after any other report.
func (l *Ledger) ApplyReport(now, started time.Time, st engine.Status) bool {
	if started.Before(l.reportStarted) {
		return false
	}
	restarted := st.BootID != l.BootID
	if !restarted && st.Seq < l.Seq {
		return false
	}
	l.reportStarted = started
	l.hasReport = true
	l.totalMB = st.MemoryMB
	l.observeFence(restarted, st)
	l.BootID = st.BootID
	l.Seq = st.Seq
	for i := range l.Items {
		l.Items[i].Reported = ""
	}
	for _, item := range st.Items {
		l.observeItem(now, item)
	}
	if st.Role != "" {
		if it := l.Item(rolePrefix + st.Role); it != nil {
			it.Confirmed = it.Confirmed && !it.Gone
			it.Gone = false
			it.Reported = engine.Resident
		}
	}
	l.confirmItems(now, started, st)
	return true
}

// Corrections returns the orders that bring the engine in line with the ledger: unloads, then loads, then a sync.
// Adapters are unloaded before models and loaded after them.
func (l *Ledger) Corrections() []Correction {
	var out []Correction
	sync := false
	for i := range l.Items {
		it := &l.Items[i]
		if !l.lastOrderReported(it) {
			continue
		}
		if it.Confirmed {
			sync = sync || it.UnloadFence > 0 && l.Fencing()
			continue
		}
		switch {
		case it.Desired && it.Reported == "":
			out = append(out, Correction{Kind: LoadAgain, Item: *it})
		case !it.Desired && it.Reported != "" && it.Reported != engine.Unloading && !it.Role:
			out = append(out, Correction{Kind: UnloadAgain, Item: *it})
		case !it.Desired && it.Reported == "" && l.Fencing():
			sync = true
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return correctionRank(out[i]) < correctionRank(out[j]) })
	if sync {
		out = append(out, Correction{Kind: SyncFence})
	}
	return out
}

// lastOrderReported reports whether the last report was requested after the item's last order ended, so that it shows
// the effect of that order.
func (l *Ledger) lastOrderReported(it *Item) bool {
	inFlight := l.Busy() && it.OrderID == l.inFlight
	return !inFlight && !it.Gone && !it.OrderEnded.IsZero() && !it.OrderEnded.After(l.reportStarted)
}

// correctionRank sorts unloads of adapters, unloads of models, loads of models, loads of adapters.
func correctionRank(c Correction) int {
	switch {
	case c.Kind == UnloadAgain && c.Item.Adapter:
		return 0
	case c.Kind == UnloadAgain:
		return 1
	case !c.Item.Adapter:
		return 2
	}
	return 3
}

// observeFence records the engine's fencing token; if it fell in a restart, fencing is no longer used.
func (l *Ledger) observeFence(restarted bool, st engine.Status) {
	l.Fence = max(l.Fence, st.Fence)
	if restarted && l.Rules.ChecksFencing && st.Fence < l.Acked && l.BootID != "" {
		l.markFenceLost()
	}
	if st.Fence > l.Acked {
		l.Acked = st.Fence
	}
}

// markFenceLost ends the use of fencing. It reserves the memory of gone items again: fencing may have been the only
// reason to free it, and the restarted engine may accept their old load orders.
func (l *Ledger) markFenceLost() {
	if l.FenceLost {
		return
	}
	l.FenceLost = true
	for i := range l.Items {
		l.Items[i].Gone = false
	}
}

// observeItem records the reported state of one item and raises its size to the reported one. An unknown item is added
// with Desired set; an item that was gone becomes unconfirmed and takes the reported size.
func (l *Ledger) observeItem(now time.Time, item engine.Item) {
	it := l.Item(item.Name)
	if it == nil {
		l.dirty = true
		it = l.insert(Item{
			Name: item.Name, Adapter: item.Adapter, Desired: true, Confirmed: true,
			LoadSent: now, LoadFence: l.Fence, OrderEnded: l.reportStarted,
		})
	}
	if it.Gone {
		it.Gone = false
		it.MemoryMB = 0
		it.Confirmed = false
	}
	it.Reported = item.State
	it.MemoryMB = max(it.MemoryMB, item.MemoryMB)
}

// confirmItems updates the items whose last order ended before the report was requested, and removes gone items after
// the maximum order delay.
func (l *Ledger) confirmItems(now, started time.Time, st engine.Status) {
	items := l.Items[:0]
	for i := range l.Items {
		it := &l.Items[i]
		if l.Busy() && it.OrderID == l.inFlight || it.OrderEnded.IsZero() || started.Before(it.OrderEnded) {
			items = append(items, *it)
			continue
		}
		confirmed, gone := it.Confirmed, it.Gone
		l.confirmItem(started, it, st)
		l.dirty = l.dirty || confirmed != it.Confirmed || gone != it.Gone
		if it.Gone && !now.Before(later(it.LoadSent, it.UnloadSent).Add(l.Rules.MaxOrderDelay)) {
			continue
		}
		items = append(items, *it)
	}
	l.Items = items
}

// confirmItem compares the item with a report that shows the effect of its last order.
func (l *Ledger) confirmItem(started time.Time, it *Item, st engine.Status) {
	if it.UnloadFence > 0 && l.cannotTakeEffect(started, it.UnloadFence, it.UnloadSent, st) {
		it.UnloadFence = 0
	}
	switch {
	case it.Desired && it.Reported == engine.Resident:
		it.Confirmed = true
		it.Attempts = 0
	case it.Desired:
		it.Confirmed = false
	case it.Reported == "" && l.cannotTakeEffect(started, it.LoadFence, it.LoadSent, st):
		it.Gone = true
		it.Confirmed = true
		it.Attempts = 0
	}
}

// cannotTakeEffect reports whether no order with a token up to fence, last sent at sent, can take effect after the
// report. On an engine that checks fencing the passing of time is no proof, because stored loads are sent without a
// lease during an outage of the key-value service.
func (l *Ledger) cannotTakeEffect(started time.Time, fence int64, sent time.Time, st engine.Status) bool {
	if !l.Fencing() {
		return !started.Before(sent.Add(l.Rules.MaxOrderDelay))
	}
	accepted := st.Fence
	if l.AckedBoot == st.BootID && !started.Before(l.ackedAt) {
		accepted = max(accepted, l.Acked)
	}
	return accepted > fence
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
