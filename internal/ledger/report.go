package ledger

import (
	"sort"
	"time"

	"github.com/figreel/figreel/internal/engine"
)

const (
	// LoadAgain is a wanted item that a report showed absent.
	LoadAgain CorrectionKind = iota
	// UnloadAgain is an unwanted item that a report showed present.
	UnloadAgain
	// SyncFence is an engine that has not accepted a number above that of a load that must become void.
	SyncFence
)

type (
	// CorrectionKind names an order that settles something.
	CorrectionKind uint8

	// Correction is an order that the ledger needs, without any decision of the planner.
	Correction struct {
		Kind CorrectionKind
		Item Item
	}
)

// ApplyReport applies a status whose request began at started, by the owner's clock; it returns false for a stale one.
// The requests of one engine must not overlap.
// A restart shows as a new boot id: wanted items become needs, and unwanted ones follow the rules for absent items.
func (l *Ledger) ApplyReport(now, started time.Time, st engine.Status) bool {
	if started.Before(l.reported) {
		return false
	}
	restarted := st.BootID != l.BootID
	if !restarted && st.Seq < l.Seq {
		return false
	}
	l.reported = started
	l.seen = true
	l.totalMB = st.MemoryMB
	l.observeFence(restarted, st)
	l.BootID = st.BootID
	l.Seq = st.Seq
	for i := range l.Items {
		l.Items[i].Reported = ""
	}
	for _, have := range st.Items {
		l.observe(now, have)
	}
	if st.Role != "" {
		if it := l.Item(rolePrefix + st.Role); it != nil {
			it.Confirmed = it.Confirmed && !it.Gone
			it.Gone = false
			it.Reported = engine.Resident
		}
	}
	l.settle(now, started, st)
	return true
}

// Corrections returns the orders that settle the ledger, adapters after their models and unloads first.
func (l *Ledger) Corrections() []Correction {
	var out []Correction
	sync := false
	for i := range l.Items {
		it := &l.Items[i]
		if !l.due(it) {
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
	sort.SliceStable(out, func(i, j int) bool { return rank(out[i]) < rank(out[j]) })
	if sync {
		out = append(out, Correction{Kind: SyncFence})
	}
	return out
}

// due reports whether the last report can tell what the item's last order came to.
func (l *Ledger) due(it *Item) bool {
	flying := l.Busy() && it.OrderID == l.flying
	return !flying && !it.Gone && !it.OrderEnded.IsZero() && !it.OrderEnded.After(l.reported)
}

// rank sorts unloads of adapters, unloads of models, loads of models, loads of adapters.
func rank(n Correction) int {
	switch {
	case n.Kind == UnloadAgain && n.Item.Adapter:
		return 0
	case n.Kind == UnloadAgain:
		return 1
	case !n.Item.Adapter:
		return 2
	}
	return 3
}

func (l *Ledger) observeFence(restarted bool, st engine.Status) {
	l.Fence = max(l.Fence, st.Fence)
	if restarted && l.Rules.ChecksFencing && st.Fence < l.Acked && l.BootID != "" {
		l.forget()
	}
	if st.Fence > l.Acked {
		l.Acked = st.Fence
	}
}

// forget counts items again that were freed by the fencing rule alone, because a restarted engine may accept old loads.
func (l *Ledger) forget() {
	if l.FenceLost {
		return
	}
	l.FenceLost = true
	for i := range l.Items {
		l.Items[i].Gone = false
	}
}

// observe takes over what the engine reports of one item; an unknown item is adopted, and counts.
func (l *Ledger) observe(now time.Time, have engine.Item) {
	it := l.Item(have.Name)
	if it == nil {
		l.dirty = true
		it = l.put(Item{
			Name: have.Name, Adapter: have.Adapter, Desired: true, Confirmed: true,
			LoadSent: now, LoadFence: l.Fence, OrderEnded: l.reported,
		})
	}
	if it.Gone {
		it.Gone = false
		it.MemoryMB = 0
		it.Confirmed = false
	}
	it.Reported = have.State
	it.MemoryMB = max(it.MemoryMB, have.MemoryMB)
}

func (l *Ledger) settle(now, started time.Time, st engine.Status) {
	kept := l.Items[:0]
	for i := range l.Items {
		it := &l.Items[i]
		if l.Busy() && it.OrderID == l.flying || it.OrderEnded.IsZero() || started.Before(it.OrderEnded) {
			kept = append(kept, *it)
			continue
		}
		settled, gone := it.Confirmed, it.Gone
		l.settleItem(started, it, st)
		l.dirty = l.dirty || settled != it.Confirmed || gone != it.Gone
		if it.Gone && !now.Before(later(it.LoadSent, it.UnloadSent).Add(l.Rules.MaxOrderDelay)) {
			continue
		}
		kept = append(kept, *it)
	}
	l.Items = kept
}

func (l *Ledger) settleItem(started time.Time, it *Item, st engine.Status) {
	if it.UnloadFence > 0 && l.void(started, it.UnloadFence, it.UnloadSent, st) {
		it.UnloadFence = 0
	}
	switch {
	case it.Desired && it.Reported == engine.Resident:
		it.Confirmed = true
		it.Attempts = 0
	case it.Desired:
		it.Confirmed = false
	case it.Reported == "" && l.void(started, it.LoadFence, it.LoadSent, st):
		it.Gone = true
		it.Confirmed = true
		it.Attempts = 0
	}
}

// void reports whether no order up to fence, last sent at sent, can still take effect after the report.
// On an engine that checks fencing time is no proof, because recorded loads are sent without a lease in an outage.
func (l *Ledger) void(started time.Time, fence int64, sent time.Time, st engine.Status) bool {
	if !l.Fencing() {
		return !started.Before(sent.Add(l.Rules.MaxOrderDelay))
	}
	seen := st.Fence
	if l.AckedBoot == st.BootID && !started.Before(l.ackedAt) {
		seen = max(seen, l.Acked)
	}
	return seen > fence
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
