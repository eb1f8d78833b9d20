package plan

import "cmp"

// load plans one more replica of t on the most suitable engine, or the unloads that will free memory for it. It
// returns false if a limit of MaxActions is reached or t fits on no engine.
func (d *draft) load(t *target, u Urgency, reason string) bool {
	return d.loadWhere(t, u, reason, func(*engineDraft) bool { return true })
}

// loadWhere does the same as load, but considers only the engines for which ok returns true.
func (d *draft) loadWhere(t *target, u Urgency, reason string, ok func(*engineDraft) bool) bool {
	if d.atLimit() {
		return false
	}
	if e := d.bestFit(t, ok); e != nil {
		d.addLoad(e, t, u, reason)
		return true
	}
	return d.evictFor(t, u, ok)
}

// bestFit returns the best engine with enough free memory, or nil. It prefers failure domains with fewer replicas, then
// engines that also have memory for the adapters, then those with less load, then those with more free memory.
func (d *draft) bestFit(t *target, ok func(*engineDraft) bool) *engineDraft {
	fits := d.candidates(t, func(e *engineDraft) bool { return ok(e) && e.freeMB-e.reservedMB >= t.memoryMB })
	if len(fits) == 0 {
		return nil
	}
	perDomain := domains(d.enginesWith(t, countsAsReplica))
	sortBy(
		fits,
		func(x, y *engineDraft) int { return cmp.Compare(perDomain[x.domain()], perDomain[y.domain()]) },
		func(x, y *engineDraft) int { return cmp.Compare(d.adaptersDoNotFit(x, t), d.adaptersDoNotFit(y, t)) },
		func(x, y *engineDraft) int { return cmp.Compare(d.loadStep(x), d.loadStep(y)) },
		func(x, y *engineDraft) int { return cmp.Compare(y.freeMB, x.freeMB) },
	)
	return fits[0]
}

// loadStep returns the expected load in coarse steps, so that free memory decides between engines with similar loads.
func (d *draft) loadStep(e *engineDraft) int {
	return int(e.tokensPerS / (loadGranularity * d.planner.peakTokensPerS))
}

// adaptersDoNotFit is a sort key: 1 if the adapters of a model would not fit beside it, 0 otherwise.
func (d *draft) adaptersDoNotFit(e *engineDraft, t *target) int {
	if e.freeMB-e.reservedMB < t.memoryMB+t.adaptersMB {
		return 1
	}
	return 0
}

// candidates returns the engines that may get a replica of t; an adapter needs a ready replica of its model.
func (d *draft) candidates(t *target, ok func(*engineDraft) bool) []*engineDraft {
	var out []*engineDraft
	for _, e := range d.engines {
		if !e.usable() || e.replicas[t.item] != nil || !ok(e) {
			continue
		}
		if t.adapter {
			m := e.replicas[t.model]
			if m == nil || m.Unloading || !m.Ready {
				continue
			}
		}
		out = append(out, e)
	}
	return out
}

// addLoad adds the load of t on e to the plan, and counts its memory and its share of the demand on e.
func (d *draft) addLoad(e *engineDraft, t *target, u Urgency, reason string) {
	d.actions = append(d.actions, Action{
		Engine: e.engine.State.Name, Item: t.item, Model: t.model, Adapter: t.adapter, MemoryMB: t.memoryMB,
		Urgency: u, Reason: reason,
	})
	d.loadsInFlight++
	e.replicas[t.item] = &Replica{Item: t.item, Adapter: t.adapter, MemoryMB: t.memoryMB, Model: t.model}
	e.freeMB -= t.memoryMB
	e.tokensPerS += t.tokensPerS / float64(len(d.enginesWith(t, countsAsReplica)))
}

// evictFor plans unloads that make t fit on one engine, chosen so that the unloaded replicas serve the least demand; a
// later plan loads t.
// It returns true if t will fit once unloads that are planned or in progress have freed their memory.
func (d *draft) evictFor(t *target, u Urgency, ok func(*engineDraft) bool) bool {
	engines := d.candidates(t, ok)
	perDomain := domains(d.enginesWith(t, countsAsReplica))
	sortBy(
		engines,
		func(x, y *engineDraft) int { return cmp.Compare(perDomain[x.domain()], perDomain[y.domain()]) },
		func(x, y *engineDraft) int { return cmp.Compare(x.tokensPerS, y.tokensPerS) },
	)
	for _, e := range engines {
		if e.freeMB+e.freeingMB-e.reservedMB >= t.memoryMB {
			e.reservedMB += t.memoryMB
			return true
		}
	}
	var best *engineDraft
	var victims []*Replica
	cost := 0.0
	for _, e := range engines {
		list, listCost := d.victims(e, t, u)
		if list != nil && (best == nil || listCost < cost) {
			best, victims, cost = e, list, listCost
		}
	}
	if best == nil {
		return false
	}
	for _, r := range victims {
		d.unload(best, r, reasonEvict, u)
	}
	best.reservedMB += t.memoryMB
	return true
}

// victims returns the replicas to unload so that t fits on e, least used first, and the demand that they serve. The
// list is nil if they free too little memory or if t is loaded for demand alone and they serve at least as much.
func (d *draft) victims(e *engineDraft, t *target, u Urgency) ([]*Replica, float64) {
	missingMB := t.memoryMB - (e.freeMB + e.freeingMB - e.reservedMB)
	var list []*Replica
	cost := 0.0
	chosen := make(map[string]bool)
	for _, r := range d.evictable(e, t, u) {
		if missingMB <= 0 {
			break
		}
		if chosen[r.Item] {
			continue
		}
		for _, v := range d.withAdapters(e, r) {
			if chosen[v.Item] {
				continue
			}
			chosen[v.Item] = true
			list = append(list, v)
			missingMB -= v.MemoryMB
			cost += d.servedDemand(v)
		}
	}
	if missingMB > 0 || u == UrgencyDemand && cost >= t.tokensPerS {
		return nil, 0
	}
	return list, cost
}

// evictable returns the replicas that may be unloaded for t, sorted by the demand that they serve per MB.
func (d *draft) evictable(e *engineDraft, t *target, u Urgency) []*Replica {
	var out []*Replica
	for _, item := range sortedItems(e) {
		r := e.replicas[item]
		if t.adapter && item == t.model {
			continue
		}
		ok := true
		for _, v := range d.withAdapters(e, r) {
			ok = ok && d.canEvict(e, v, u)
		}
		if ok {
			out = append(out, r)
		}
	}
	perMB := func(r *Replica) float64 { return d.servedDemand(r) / float64(max(1, r.MemoryMB)) }
	sortBy(out, func(x, y *Replica) int { return cmp.Compare(perMB(x), perMB(y)) })
	return out
}

// withAdapters returns the adapters that use a model replica, followed by the replica, in the order to unload them. For
// an adapter it returns the replica alone.
func (d *draft) withAdapters(e *engineDraft, r *Replica) []*Replica {
	var out []*Replica
	if !r.Adapter {
		for _, item := range sortedItems(e) {
			a := e.replicas[item]
			t := d.byItem[item]
			if a.Adapter && !a.Unloading && (a.Model == r.Item || a.Model == "" && t != nil && t.model == r.Item) {
				out = append(out, a)
			}
		}
	}
	return append(out, r)
}

// canEvict reports whether enough other replicas serve the item for this one to be unloaded. A load of a missing item
// may reduce another item below its minimum, but not unload its last stable replica.
func (d *draft) canEvict(e *engineDraft, r *Replica, u Urgency) bool {
	if r.Unloading || !r.Ready {
		return false
	}
	t := d.byItem[r.Item]
	if t == nil {
		t = d.byName[baseName(r.Item)]
		if t == nil || t.adapter != r.Adapter {
			// The item was removed from the document.
			return r.Running == 0 || u == UrgencyMissing
		}
		return len(d.enginesWith(t, isStable)) > 0 || d.otherReplicas(e, r.Item) > 0
	}
	others := d.otherReplicas(e, r.Item)
	if u == UrgencyMissing {
		return others > 0
	}
	recentlyPlaced := d.now.Sub(d.planner.replicaSince[replicaKey{e.engine.State.Name, r.Item}]) < d.planner.CoolDown
	if others < t.minReplicas || u == UrgencyDemand && recentlyPlaced {
		return false
	}
	return d.keepsSpread(e, t)
}

// keepsSpread reports whether the stable replicas on other engines still cover two failure domains, provided that all
// stable replicas together do.
func (d *draft) keepsSpread(e *engineDraft, t *target) bool {
	all := d.enginesWith(t, isStable)
	rest := all[:0:0]
	for _, o := range all {
		if o != e {
			rest = append(rest, o)
		}
	}
	return len(domains(rest)) >= min(2, len(domains(all)))
}

// servedDemand returns the demand that a replica serves, in tokens per second.
func (d *draft) servedDemand(r *Replica) float64 {
	t := d.byItem[r.Item]
	if t == nil {
		return 0
	}
	return t.tokensPerS / float64(max(1, len(d.enginesWith(t, isServing))))
}
