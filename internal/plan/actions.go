package plan

import (
	"cmp"
	"slices"
)

// Reasons of actions, as they appear in the names of metrics.
const (
	reasonMissing  = "missing"
	reasonRepair   = "repair"
	reasonSpread   = "spread"
	reasonDemand   = "demand"
	reasonBalance  = "balance"
	reasonEvict    = "room"
	reasonAdapters = "adapters"
	reasonObsolete = "retired"
)

// repair plans a first replica of every item that has none, then raises all items to their minimum. Items with waiting
// calls go first, those with the longest wait before others.
func (d *draft) repair() {
	order := slices.Clone(d.targets)
	sortBy(
		order,
		func(x, y *target) int { return cmp.Compare(min(y.demand.Waiting, 1), min(x.demand.Waiting, 1)) },
		func(x, y *target) int { return cmp.Compare(y.demand.OldestWaitMS, x.demand.OldestWaitMS) },
	)
	for _, t := range order {
		if len(d.enginesWith(t, isServing)) == 0 && len(d.enginesWith(t, countsAsReplica)) == 0 {
			d.addReplica(t, UrgencyMissing, reasonMissing)
		}
	}
	for _, t := range order {
		d.fill(t, min(t.minReplicas, d.usableEngines()))
	}
}

// fill plans replicas of t until it has the minimum, or until no more can be planned.
func (d *draft) fill(t *target, minimum int) {
	for n := len(d.enginesWith(t, countsAsReplica)); n < minimum; n++ {
		if !d.addReplica(t, UrgencyRepair, reasonRepair) {
			return
		}
	}
}

// addReplica plans a replica of t and reports whether it could. For an adapter that fits on no engine with its model,
// it plans a replica of the model where all its adapters fit, and returns false.
func (d *draft) addReplica(t *target, u Urgency, reason string) bool {
	if d.load(t, u, reason) {
		return true
	}
	m := d.byItem[t.model]
	if !t.adapter || m == nil || d.loading(m) {
		return false
	}
	d.loadWhere(m, u, reasonAdapters, func(e *engineDraft) bool {
		return e.freeMB-e.reservedMB >= m.memoryMB+m.adaptersMB
	})
	return false
}

// spread plans a replica in a second failure domain for each item whose replicas all share one.
func (d *draft) spread() {
	for _, t := range d.targets {
		at := d.enginesWith(t, countsAsReplica)
		if t.minReplicas < 2 || len(at) < 2 || len(domains(at)) > 1 {
			continue
		}
		only := at[0].domain()
		d.loadWhere(t, UrgencyRepair, reasonSpread, func(e *engineDraft) bool { return e.domain() != only })
	}
}

// scaleUp plans replicas for demand: at most one load per item at a time and one per CoolDown.
func (d *draft) scaleUp() {
	order := slices.Clone(d.targets)
	sortBy(order, func(x, y *target) int { return cmp.Compare(y.tokensPerS, x.tokensPerS) })
	for _, t := range order {
		if len(d.enginesWith(t, countsAsReplica)) >= t.replicas || d.loading(t) {
			continue
		}
		if d.inCooldown(t.item) {
			continue
		}
		d.load(t, UrgencyDemand, reasonDemand)
	}
}

// balance plans a load when the most loaded engine is both well above the mean and near its peak: a replica of its most
// used model that the least loaded engine lacks, if that engine has the free memory.
func (d *draft) balance() {
	var busiest, least *engineDraft
	sum, n := 0.0, 0
	for _, e := range d.engines {
		if !e.usable() {
			continue
		}
		sum += e.tokensPerS
		n++
		if busiest == nil || e.tokensPerS > busiest.tokensPerS {
			busiest = e
		}
		if least == nil || e.tokensPerS < least.tokensPerS {
			least = e
		}
	}
	if n < 2 || busiest.tokensPerS < maxImbalance*sum/float64(n) ||
		busiest.tokensPerS < targetUtilization*d.planner.peakTokensPerS {
		return
	}
	if t := d.mostUsed(busiest, least); t != nil {
		d.loadWhere(t, UrgencyDemand, reasonBalance, func(e *engineDraft) bool {
			return e == least && e.freeMB >= t.memoryMB
		})
	}
}

// mostUsed returns the model with the highest demand that busiest has and least lacks, or nil. It skips models that are
// loading or in cooldown.
func (d *draft) mostUsed(busiest, least *engineDraft) *target {
	var best *target
	for _, t := range d.targets {
		if t.adapter || busiest.replicas[t.item] == nil || least.replicas[t.item] != nil ||
			d.inCooldown(t.item) || d.loading(t) {
			continue
		}
		if t.tokensPerS > 0 && (best == nil || t.tokensPerS > best.tokensPerS) {
			best = t
		}
	}
	return best
}

// unloadObsolete plans unloads of old versions once enough replicas of the new one are stable, and of items that were
// removed from the document.
func (d *draft) unloadObsolete() {
	for _, e := range d.engines {
		if !e.usable() {
			continue
		}
		for _, item := range sortedItems(e) {
			r := e.replicas[item]
			if r != nil && !r.Unloading && r.Ready && d.obsolete(e, r) {
				d.unload(e, r, reasonObsolete, UrgencyRepair)
			}
		}
	}
}

// obsolete reports whether a replica does not match the document and is no longer needed. That is an old version or an
// adapter on an old model version once it is superseded, or a removed item once no call uses it. A model is needed as
// long as it has adapters.
func (d *draft) obsolete(e *engineDraft, r *Replica) bool {
	if !r.Adapter && d.hasAdapters(e, r.Item) {
		return false
	}
	if t := d.byItem[r.Item]; t != nil {
		return !onCurrentModel(t, r) && d.superseded(t, e, r)
	}
	t := d.byName[baseName(r.Item)]
	if t == nil || t.adapter != r.Adapter {
		return r.Running == 0
	}
	return d.superseded(t, e, r)
}

// hasAdapters reports whether an adapter on the engine still uses the model.
func (d *draft) hasAdapters(e *engineDraft, model string) bool {
	for _, r := range e.replicas {
		if !r.Adapter {
			continue
		}
		base := r.Model
		if t := d.byItem[r.Item]; base == "" && t != nil {
			base = t.model
		}
		if base == model {
			return true
		}
	}
	return false
}

// superseded reports whether enough replicas match the document for the old replica r to be unloaded. An adapter on an
// old model version can prevent the load of its own replacement; then one other stable replica, old or new, is enough.
func (d *draft) superseded(t *target, e *engineDraft, r *Replica) bool {
	stable := len(d.enginesWith(t, isStable))
	if stable >= min(t.minReplicas, d.usableEngines()) {
		return true
	}
	if !t.adapter || r.Item != t.item || e.replicas[t.model] == nil || !e.replicas[t.model].Ready {
		return false
	}
	return stable+d.otherReplicas(e, r.Item) > 0 && d.bestFit(t, func(*engineDraft) bool { return true }) == nil
}

// otherReplicas counts the stable replicas of an item version on other engines.
func (d *draft) otherReplicas(e *engineDraft, item string) int {
	n := 0
	for _, o := range d.engines {
		if r := o.replicas[item]; o != e && r != nil && isStable(o, r) {
			n++
		}
	}
	return n
}

// inCooldown reports whether a load of the item for demand was planned within the last CoolDown.
func (d *draft) inCooldown(item string) bool {
	at, ok := d.planner.lastDemandLoad[item]
	return ok && d.now.Sub(at) < d.planner.CoolDown
}

// loading reports whether a replica of the item is being loaded. Demand adds one replica at a time.
func (d *draft) loading(t *target) bool {
	return len(d.enginesWith(t, func(e *engineDraft, r *Replica) bool { return countsAsReplica(e, r) && !r.Ready })) > 0
}

// atLimit reports whether the plan has MaxActions actions or the pool has as many loads in flight.
func (d *draft) atLimit() bool {
	return len(d.actions) >= d.planner.MaxActions || d.loadsInFlight >= d.planner.MaxActions
}

// unload adds an unload to the plan unless it has MaxActions actions.
func (d *draft) unload(e *engineDraft, r *Replica, reason string, u Urgency) {
	if len(d.actions) >= d.planner.MaxActions {
		return
	}
	d.actions = append(d.actions, Action{
		Engine: e.engine.State.Name, Unload: true,
		Item: r.Item, Model: r.Model, Adapter: r.Adapter, MemoryMB: r.MemoryMB,
		Urgency: u, Reason: reason,
	})
	unloading := *r
	unloading.Unloading = true
	e.replicas[r.Item] = &unloading
	e.freeingMB += r.MemoryMB
}

// sortedItems returns the items on the engine, adapters before the models that they use.
func sortedItems(e *engineDraft) []string {
	items := make([]string, 0, len(e.replicas))
	for item := range e.replicas {
		items = append(items, item)
	}
	sortBy(
		items,
		func(x, y string) int { return cmp.Compare(adaptersFirst(e, x), adaptersFirst(e, y)) },
		func(x, y string) int { return cmp.Compare(x, y) },
	)
	return items
}

// adaptersFirst is a sort key that puts adapters before models.
func adaptersFirst(e *engineDraft, item string) int {
	if e.replicas[item].Adapter {
		return 0
	}
	return 1
}
