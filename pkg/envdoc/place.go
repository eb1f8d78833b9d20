package envdoc

import (
	"fmt"
	"slices"
	"sort"
)

type (
	// A model with its adapters; each replica of an adapter must be on an engine with a replica of the model.
	modelGroup struct {
		path     string // field path of the model
		model    Model
		replicas int // minimum of the model or of one of its adapters, whichever is highest
		adapters []groupAdapter
	}

	// An adapter of a model group.
	groupAdapter struct {
		path    string // field path of the adapter
		adapter Adapter
	}

	// An engine during a trial placement, with the models placed on it so far.
	engineBin struct {
		engine Engine
		freeMB int
		models map[string]bool
	}

	// The field and the reason for which a trial placement failed.
	placementFailure struct {
		path   string
		reason string
	}

	// Compares two engines for the order in which they are tried for a replica.
	engineOrder func(a, b *engineBin) int
)

// Checks that each pool can hold the minimum replicas of all its models and adapters at once, by a trial placement.
// A pool is not tried when one of its models or adapters does not fit even alone.
func (c *checker) checkPlacement() {
	for _, p := range c.doc.Pools {
		groups := c.doc.modelGroups(p.Name)
		before := len(c.list.Findings)
		for _, g := range groups {
			c.checkModelGroup(p, g)
		}
		if len(c.list.Findings) > before {
			continue
		}
		if failure := tryPlacements(p, groups); failure != nil {
			c.AddFinding(failure.path, "%s", failure.reason)
		}
	}
}

// Checks that enough engines exist for each replica, and that one engine can hold the model beside any one adapter.
func (c *checker) checkModelGroup(p Pool, g modelGroup) {
	largest := 0
	for _, e := range p.Engines {
		largest = max(largest, e.Usable())
	}
	c.checkReplicaCount(p, g.path, g.model.MinCopies)
	if g.model.MemoryMB > largest {
		c.AddFinding(g.path+".memory_mb", "%d MB exceed every engine of pool %q; the largest has %d MB usable",
			g.model.MemoryMB, p.Name, largest)
		return
	}
	for _, a := range g.adapters {
		c.checkReplicaCount(p, a.path, a.adapter.MinCopies)
		if g.model.MemoryMB+a.adapter.MemoryMB > largest {
			c.AddFinding(a.path+".memory_mb", "%d MB beside the %d MB of model %q exceed every engine of pool %q; "+
				"the largest has %d MB usable", a.adapter.MemoryMB, g.model.MemoryMB, g.model.Name, p.Name, largest)
		}
	}
}

func (c *checker) checkReplicaCount(p Pool, path string, replicas int) {
	if replicas > len(p.Engines) {
		c.AddFinding(path+".min_copies", "%d copies need as many engines; pool %q has %d",
			replicas, p.Name, len(p.Engines))
	}
}

func (d *Doc) modelGroups(pool string) []modelGroup {
	var groups []modelGroup
	for i, m := range d.Models {
		if m.Pool != pool {
			continue
		}
		g := modelGroup{path: fmt.Sprintf("models[%d]", i), model: m, replicas: m.MinCopies}
		for j, a := range d.Adapters {
			if a.Model == m.Name {
				g.adapters = append(g.adapters, groupAdapter{path: fmt.Sprintf("adapters[%d]", j), adapter: a})
				g.replicas = max(g.replicas, a.MinCopies)
			}
		}
		groups = append(groups, g)
	}
	return groups
}

// Tries two placements in turn, and returns the failure of the second when both fail. First fit packs large models
// tightly; the engine with the most free memory first leaves memory for adapters beside each model.
func tryPlacements(p Pool, groups []modelGroup) *placementFailure {
	sort.SliceStable(groups, func(i, j int) bool { return groups[i].model.MemoryMB > groups[j].model.MemoryMB })
	firstFit := func(_, _ *engineBin) int { return 0 }
	mostFreeFirst := func(a, b *engineBin) int { return b.freeMB - a.freeMB }
	if tryPlacement(firstFit, p, groups) == nil {
		return nil
	}
	return tryPlacement(mostFreeFirst, p, groups)
}

func tryPlacement(order engineOrder, p Pool, groups []modelGroup) *placementFailure {
	bins := make([]*engineBin, 0, len(p.Engines))
	for _, e := range p.Engines {
		bins = append(bins, &engineBin{engine: e, freeMB: e.Usable(), models: make(map[string]bool)})
	}
	for _, g := range groups {
		if placed := placeModel(order, bins, g.model, g.replicas); placed < g.replicas {
			return g.newFailure(p, bins, g.path, g.model.MemoryMB, placed, g.replicas)
		}
	}
	for _, a := range adaptersBySize(groups) {
		if placed := placeAdapter(order, bins, a.group.model, a.adapter); placed < a.adapter.MinCopies {
			return a.group.newFailure(p, bins, a.path, a.adapter.MemoryMB, placed, a.adapter.MinCopies)
		}
	}
	return nil
}

// Places replicas on different engines, in different failure domains as far as possible, and returns how many fit.
func placeModel(order engineOrder, bins []*engineBin, m Model, replicas int) int {
	usedDomains := make(map[string]bool)
	placed := 0
	for range replicas {
		b := pickEngine(order, bins, usedDomains, func(b *engineBin) bool {
			return !b.models[m.Name] && b.freeMB >= m.MemoryMB
		})
		if b == nil {
			break
		}
		b.freeMB -= m.MemoryMB
		b.models[m.Name] = true
		usedDomains[b.engine.FailureDomain] = true
		placed++
	}
	return placed
}

// Places replicas on engines that have the model, or together with a further replica of the model once those engines
// are full, and returns how many fit.
func placeAdapter(order engineOrder, bins []*engineBin, m Model, a Adapter) int {
	withAdapter := make(map[*engineBin]bool)
	usedDomains := make(map[string]bool)
	fitsAdapter := func(b *engineBin) bool { return !withAdapter[b] && b.models[m.Name] && b.freeMB >= a.MemoryMB }
	fitsBoth := func(b *engineBin) bool { return !b.models[m.Name] && b.freeMB >= m.MemoryMB+a.MemoryMB }
	for range a.MinCopies {
		b := pickEngine(order, bins, usedDomains, fitsAdapter)
		if b == nil {
			b = pickEngine(order, bins, usedDomains, fitsBoth)
		}
		if b == nil {
			break
		}
		if !b.models[m.Name] {
			b.freeMB -= m.MemoryMB
			b.models[m.Name] = true
		}
		b.freeMB -= a.MemoryMB
		withAdapter[b] = true
		usedDomains[b.engine.FailureDomain] = true
	}
	return len(withAdapter)
}

// Returns the first engine in the given order that fits. Engines outside the used failure domains go first. Returns nil
// when none fits.
func pickEngine(
	order engineOrder, bins []*engineBin, usedDomains map[string]bool, fits func(*engineBin) bool,
) *engineBin {
	sorted := slices.Clone(bins)
	slices.SortStableFunc(sorted, order)
	var fallback *engineBin
	for _, b := range sorted {
		if !fits(b) {
			continue
		}
		if !usedDomains[b.engine.FailureDomain] {
			return b
		}
		if fallback == nil {
			fallback = b
		}
	}
	return fallback
}

// An adapter with the group that it belongs to.
type adapterInGroup struct {
	groupAdapter
	group modelGroup
}

// Returns the adapters of all groups, largest first.
func adaptersBySize(groups []modelGroup) []adapterInGroup {
	var all []adapterInGroup
	for _, g := range groups {
		for _, a := range g.adapters {
			all = append(all, adapterInGroup{groupAdapter: a, group: g})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].adapter.MemoryMB > all[j].adapter.MemoryMB })
	return all
}

// Returns the failure for a model or adapter that needs the given number of replicas of mb MB each, of which only
// placed fit.
func (g modelGroup) newFailure(p Pool, bins []*engineBin, path string, mb, placed, replicas int) *placementFailure {
	maxFree, totalUsable := 0, 0
	for _, b := range bins {
		maxFree = max(maxFree, b.freeMB)
		totalUsable += b.engine.Usable()
	}
	return &placementFailure{path: path + ".min_copies", reason: fmt.Sprintf(
		"pool %q has room for only %d of %d copies of %d MB (model %q): at most %d MB are left on one engine, "+
			"of %d MB usable in all", p.Name, placed, replicas, mb, g.model.Name, maxFree, totalUsable)}
}
