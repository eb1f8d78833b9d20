package plan

import (
	"cmp"
	"slices"
)

const (
	reasonMissing = "missing"
	reasonRepair  = "repair"
	reasonSpread  = "spread"
	reasonDemand  = "demand"
	reasonBalance = "balance"
	reasonRoom    = "room"
	reasonCompany = "adapters"
	reasonRetired = "retired"
)

// repair brings every item to one answering copy, then to its minimum; items with waiting calls go first.
func (b *board) repair() {
	order := slices.Clone(b.wants)
	sortBy(
		order,
		func(x, y *want) int { return cmp.Compare(min(y.demand.Waiting, 1), min(x.demand.Waiting, 1)) },
		func(x, y *want) int { return cmp.Compare(y.demand.OldestWaitMS, x.demand.OldestWaitMS) },
	)
	for _, w := range order {
		if len(b.holding(w, isServing)) == 0 && len(b.holding(w, isCounted)) == 0 {
			b.restore(w, UrgencyMissing, reasonMissing)
		}
	}
	for _, w := range order {
		b.fill(w, min(w.minimum, b.usableSites()))
	}
}

func (b *board) fill(w *want, target int) {
	for n := len(b.holding(w, isCounted)); n < target; n++ {
		if !b.restore(w, UrgencyRepair, reasonRepair) {
			return
		}
	}
}

// restore adds a copy of w; for an adapter that fits on no engine of its model, it adds a copy of the model instead.
func (b *board) restore(w *want, u Urgency, reason string) bool {
	if b.load(w, u, reason) {
		return true
	}
	m := b.byItem[w.model]
	if !w.adapter || m == nil || b.loading(m) {
		return false
	}
	b.loadWhere(m, u, reasonCompany, func(s *site) bool { return s.free-s.claimed >= m.memory+m.company })
	return false
}

// spread adds a copy in another failure domain where all copies of an item share one.
func (b *board) spread() {
	for _, w := range b.wants {
		at := b.holding(w, isCounted)
		if w.minimum < 2 || len(at) < 2 || len(domains(at)) > 1 {
			continue
		}
		only := at[0].domain()
		b.loadWhere(w, UrgencyRepair, reasonSpread, func(s *site) bool { return s.domain() != only })
	}
}

// follow adds copies for demand.
func (b *board) follow() {
	order := slices.Clone(b.wants)
	sortBy(order, func(x, y *want) int { return cmp.Compare(y.level, x.level) })
	for _, w := range order {
		if len(b.holding(w, isCounted)) >= w.copies || b.loading(w) {
			continue
		}
		// Demand that grows or waits now is followed without a pause.
		if b.cooling(w.item) {
			continue
		}
		b.load(w, UrgencyDemand, reasonDemand)
	}
}

// balance adds one copy of the most used item of the most loaded engine on the least loaded one that has free memory.
func (b *board) balance() {
	var busy, idle *site
	sum, n := 0.0, 0
	for _, s := range b.sites {
		if !s.usable() {
			continue
		}
		sum += s.load
		n++
		if busy == nil || s.load > busy.load {
			busy = s
		}
		if idle == nil || s.load < idle.load {
			idle = s
		}
	}
	if n < 2 || busy.load < imbalance*sum/float64(n) || busy.load < targetUse*b.p.peak {
		return
	}
	if w := b.heaviest(busy, idle); w != nil {
		b.loadWhere(w, UrgencyDemand, reasonBalance, func(s *site) bool { return s == idle && s.free >= w.memory })
	}
}

func (b *board) heaviest(busy, idle *site) *want {
	var best *want
	for _, w := range b.wants {
		if w.adapter || busy.copies[w.item] == nil || idle.copies[w.item] != nil || b.cooling(w.item) || b.loading(w) {
			continue
		}
		if w.level > 0 && (best == nil || w.level > best.level) {
			best = w
		}
	}
	return best
}

// retire unloads old versions once the new one has its minimum, and items that the document no longer names.
func (b *board) retire() {
	for _, s := range b.sites {
		if !s.usable() {
			continue
		}
		for _, item := range sortedItems(s) {
			c := s.copies[item]
			if c != nil && !c.Unloading && c.Ready && b.obsolete(s, c) {
				b.unload(s, c, reasonRetired, UrgencyRepair)
			}
		}
	}
}

// obsolete reports whether nothing needs this copy of an item that the document does not name in this form.
func (b *board) obsolete(s *site, c *Replica) bool {
	if !c.Adapter && b.carries(s, c.Item) {
		return false
	}
	if w := b.byItem[c.Item]; w != nil {
		return !attached(w, c) && b.replaced(w, s, c)
	}
	w := b.byName[baseName(c.Item)]
	if w == nil || w.adapter != c.Adapter {
		return c.Running == 0
	}
	return b.replaced(w, s, c)
}

// carries reports whether an adapter on the engine still uses the model copy.
func (b *board) carries(s *site, model string) bool {
	for _, c := range s.copies {
		if !c.Adapter {
			continue
		}
		on := c.Model
		if w := b.byItem[c.Item]; on == "" && w != nil {
			on = w.model
		}
		if on == model {
			return true
		}
	}
	return false
}

// replaced reports whether the current form of an item answers often enough to drop the old copy c.
// An adapter on an old model version can be in the way of its own replacement; then another old copy must answer.
func (b *board) replaced(w *want, s *site, c *Replica) bool {
	now := len(b.holding(w, isKept))
	if now >= min(w.minimum, b.usableSites()) {
		return true
	}
	if !w.adapter || c.Item != w.item || s.copies[w.model] == nil || !s.copies[w.model].Ready {
		return false
	}
	return now+b.others(s, c.Item) > 0 && b.place(w, func(*site) bool { return true }) == nil
}

// others counts the answering copies of an item version on other engines that stay.
func (b *board) others(s *site, item string) int {
	n := 0
	for _, o := range b.sites {
		if c := o.copies[item]; o != s && c != nil && isKept(o, c) {
			n++
		}
	}
	return n
}

func (b *board) cooling(item string) bool {
	at, ok := b.p.moved[item]
	return ok && b.now.Sub(at) < b.p.CoolDown
}

// loading reports whether a copy of the item is on its way, so that one load at a time follows demand.
func (b *board) loading(w *want) bool {
	return len(b.holding(w, func(s *site, c *Replica) bool { return isCounted(s, c) && !c.Ready })) > 0
}

func (b *board) full() bool {
	return len(b.moves) >= b.p.MaxActions || b.inFlight >= b.p.MaxActions
}

func (b *board) unload(s *site, c *Replica, reason string, u Urgency) {
	if len(b.moves) >= b.p.MaxActions {
		return
	}
	b.moves = append(b.moves, Action{
		Engine: s.room.State.Name, Unload: true, Item: c.Item, Model: c.Model, Adapter: c.Adapter, MemoryMB: c.MemoryMB,
		Urgency: u, Reason: reason,
	})
	gone := *c
	gone.Unloading = true
	s.copies[c.Item] = &gone
	s.coming += c.MemoryMB
}

func sortedItems(s *site) []string {
	items := make([]string, 0, len(s.copies))
	for item := range s.copies {
		items = append(items, item)
	}
	// Adapters go before the models that carry them.
	sortBy(
		items,
		func(x, y string) int { return cmp.Compare(adapterLast(s, x), adapterLast(s, y)) },
		func(x, y string) int { return cmp.Compare(x, y) },
	)
	return items
}

func adapterLast(s *site, item string) int {
	if s.copies[item].Adapter {
		return 0
	}
	return 1
}
