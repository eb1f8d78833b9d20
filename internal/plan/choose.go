package plan

import "cmp"

// load plans one more copy of w where it fits best, or the unloads that make room for it.
func (b *board) load(w *want, u Urgency, reason string) bool {
	return b.loadWhere(w, u, reason, func(*site) bool { return true })
}

func (b *board) loadWhere(w *want, u Urgency, reason string, ok func(*site) bool) bool {
	if b.full() {
		return false
	}
	if s := b.place(w, ok); s != nil {
		b.put(s, w, u, reason)
		return true
	}
	return b.makeRoom(w, u, ok)
}

// place returns the best engine with enough free memory, or nil.
func (b *board) place(w *want, ok func(*site) bool) *site {
	fits := b.candidates(w, func(s *site) bool { return ok(s) && s.free-s.claimed >= w.memory })
	if len(fits) == 0 {
		return nil
	}
	taken := domains(b.holding(w, isCounted))
	sortBy(
		fits,
		func(x, y *site) int { return cmp.Compare(taken[x.domain()], taken[y.domain()]) },
		func(x, y *site) int { return cmp.Compare(b.tight(x, w), b.tight(y, w)) },
		func(x, y *site) int { return cmp.Compare(b.loadStep(x), b.loadStep(y)) },
		func(x, y *site) int { return cmp.Compare(y.free, x.free) },
	)
	return fits[0]
}

// loadStep is the expected load in coarse steps, so that free memory decides between engines with similar loads.
func (b *board) loadStep(s *site) int { return int(s.load / (loadStep * b.p.peak)) }

// tight is 1 where the adapters of a model would not fit beside it.
func (b *board) tight(s *site, w *want) int {
	if s.free-s.claimed < w.memory+w.company {
		return 1
	}
	return 0
}

// candidates returns the engines that may get a copy of w; an adapter goes where its model answers.
func (b *board) candidates(w *want, ok func(*site) bool) []*site {
	var out []*site
	for _, s := range b.sites {
		if !s.usable() || s.copies[w.item] != nil || !ok(s) {
			continue
		}
		if w.adapter {
			m := s.copies[w.model]
			if m == nil || m.Unloading || !m.Ready {
				continue
			}
		}
		out = append(out, s)
	}
	return out
}

func (b *board) put(s *site, w *want, u Urgency, reason string) {
	b.moves = append(b.moves, Action{
		Engine: s.room.State.Name, Item: w.item, Model: w.model, Adapter: w.adapter, MemoryMB: w.memory,
		Urgency: u, Reason: reason,
	})
	b.inFlight++
	s.copies[w.item] = &Replica{Item: w.item, Adapter: w.adapter, MemoryMB: w.memory, Model: w.model}
	s.free -= w.memory
	s.load += w.level / float64(len(b.holding(w, isCounted)))
}

// makeRoom plans the cheapest unloads that let w fit on one engine; the load itself follows in a later plan.
// It returns true when w will fit once unloads that are planned or in flight have freed their memory.
func (b *board) makeRoom(w *want, u Urgency, ok func(*site) bool) bool {
	sites := b.candidates(w, ok)
	taken := domains(b.holding(w, isCounted))
	sortBy(
		sites,
		func(x, y *site) int { return cmp.Compare(taken[x.domain()], taken[y.domain()]) },
		func(x, y *site) int { return cmp.Compare(x.load, y.load) },
	)
	for _, s := range sites {
		if s.free+s.coming-s.claimed >= w.memory {
			s.claimed += w.memory
			return true
		}
	}
	var best *site
	var victims []*Replica
	cost := 0.0
	for _, s := range sites {
		list, c := b.victims(s, w, u)
		if list != nil && (best == nil || c < cost) {
			best, victims, cost = s, list, c
		}
	}
	if best == nil {
		return false
	}
	for _, c := range victims {
		b.unload(best, c, reasonRoom, u)
	}
	best.claimed += w.memory
	return true
}

// victims returns the copies whose unloading makes room for w, least used first, and the demand that they serve.
func (b *board) victims(s *site, w *want, u Urgency) ([]*Replica, float64) {
	need := w.memory - (s.free + s.coming - s.claimed)
	var list []*Replica
	cost := 0.0
	chosen := make(map[string]bool)
	for _, c := range b.evictable(s, w, u) {
		if need <= 0 {
			break
		}
		if chosen[c.Item] {
			continue
		}
		for _, part := range b.withAdapters(s, c) {
			if chosen[part.Item] {
				continue
			}
			chosen[part.Item] = true
			list = append(list, part)
			need -= part.MemoryMB
			cost += b.value(part)
		}
	}
	if need > 0 || u == UrgencyDemand && cost >= w.level {
		return nil, 0
	}
	return list, cost
}

// evictable returns the copies that may go for w, the least demand per MB first.
func (b *board) evictable(s *site, w *want, u Urgency) []*Replica {
	var out []*Replica
	for _, item := range sortedItems(s) {
		c := s.copies[item]
		if w.adapter && item == w.model {
			continue
		}
		ok := true
		for _, part := range b.withAdapters(s, c) {
			ok = ok && b.spare(s, part, u)
		}
		if ok {
			out = append(out, c)
		}
	}
	perMB := func(c *Replica) float64 { return b.value(c) / float64(max(1, c.MemoryMB)) }
	sortBy(out, func(x, y *Replica) int { return cmp.Compare(perMB(x), perMB(y)) })
	return out
}

// withAdapters returns a model copy after the adapters that it carries, or the copy alone.
func (b *board) withAdapters(s *site, c *Replica) []*Replica {
	var out []*Replica
	if !c.Adapter {
		for _, item := range sortedItems(s) {
			a := s.copies[item]
			w := b.byItem[item]
			if a.Adapter && !a.Unloading && (a.Model == c.Item || a.Model == "" && w != nil && w.model == c.Item) {
				out = append(out, a)
			}
		}
	}
	return append(out, c)
}

// spare reports whether enough other copies answer for this one to go. Room for a missing item may take an item below
// its minimum but never its last answering copy.
func (b *board) spare(s *site, c *Replica, u Urgency) bool {
	if c.Unloading || !c.Ready {
		return false
	}
	w := b.byItem[c.Item]
	if w == nil {
		w = b.byName[baseName(c.Item)]
		if w == nil || w.adapter != c.Adapter {
			return c.Running == 0 || u == UrgencyMissing
		}
		return len(b.holding(w, isKept)) > 0 || b.others(s, c.Item) > 0
	}
	others := b.others(s, c.Item)
	if u == UrgencyMissing {
		return others > 0
	}
	fresh := b.now.Sub(b.p.since[copyKey{s.room.State.Name, c.Item}]) < b.p.CoolDown
	if others < w.minimum || u == UrgencyDemand && fresh {
		return false
	}
	return b.keepsSpread(s, w)
}

// keepsSpread reports whether the copies on other engines still lie in different failure domains.
func (b *board) keepsSpread(s *site, w *want) bool {
	at := b.holding(w, isKept)
	rest := at[:0:0]
	for _, o := range at {
		if o != s {
			rest = append(rest, o)
		}
	}
	return len(domains(rest)) >= min(2, len(domains(at)))
}

// value is the demand that a copy serves, in tokens per second.
func (b *board) value(c *Replica) float64 {
	w := b.byItem[c.Item]
	if w == nil {
		return 0
	}
	return w.level / float64(max(1, len(b.holding(w, isServing))))
}
