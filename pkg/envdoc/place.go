package envdoc

import (
	"fmt"
	"slices"
	"sort"
)

type (
	// A model with what its copies must share an engine with.
	group struct {
		at       string // path of the model
		model    Model
		copies   int // at least those of its most copied adapter
		adapters []member
	}

	member struct {
		at      string
		adapter Adapter
	}

	// One engine during the trial placement.
	bin struct {
		engine Engine
		free   int
		models map[string]bool
	}

	// Why a trial placement failed.
	obstacle struct {
		path   string
		reason string
	}

	// Orders the engines on which a copy is tried.
	fit func(a, b *bin) int
)

// Checks that each pool can hold the minimum copies of all its models and adapters at once.
func (c *checker) checkPlacement() {
	for _, p := range c.doc.Pools {
		groups := c.doc.groups(p.Name)
		before := len(c.list.Findings)
		for _, g := range groups {
			c.checkGroup(p, g)
		}
		if len(c.list.Findings) > before {
			continue
		}
		if o := place(p, groups); o != nil {
			c.AddFinding(o.path, "%s", o.reason)
		}
	}
}

func (c *checker) checkGroup(p Pool, g group) {
	largest := 0
	for _, e := range p.Engines {
		largest = max(largest, e.Usable())
	}
	c.checkCopies(p, g.at, g.model.MinCopies)
	if g.model.MemoryMB > largest {
		c.AddFinding(g.at+".memory_mb", "%d MB exceed every engine of pool %q; the largest has %d MB usable",
			g.model.MemoryMB, p.Name, largest)
		return
	}
	for _, m := range g.adapters {
		c.checkCopies(p, m.at, m.adapter.MinCopies)
		if g.model.MemoryMB+m.adapter.MemoryMB > largest {
			c.AddFinding(m.at+".memory_mb", "%d MB beside the %d MB of model %q exceed every engine of pool %q; "+
				"the largest has %d MB usable", m.adapter.MemoryMB, g.model.MemoryMB, g.model.Name, p.Name, largest)
		}
	}
}

func (c *checker) checkCopies(p Pool, at string, copies int) {
	if copies > len(p.Engines) {
		c.AddFinding(at+".min_copies", "%d copies need as many engines; pool %q has %d", copies, p.Name, len(p.Engines))
	}
}

func (d *Doc) groups(pool string) []group {
	var groups []group
	for i, m := range d.Models {
		if m.Pool != pool {
			continue
		}
		g := group{at: fmt.Sprintf("models[%d]", i), model: m, copies: m.MinCopies}
		for j, a := range d.Adapters {
			if a.Model == m.Name {
				g.adapters = append(g.adapters, member{at: fmt.Sprintf("adapters[%d]", j), adapter: a})
				g.copies = max(g.copies, a.MinCopies)
			}
		}
		groups = append(groups, g)
	}
	return groups
}

// Tries the placements in turn and returns the obstacle of the last one when all fail.
// First fit packs large models tightly; fitting the emptiest engine first leaves room for adapters beside each model.
func place(p Pool, groups []group) *obstacle {
	sort.SliceStable(groups, func(i, j int) bool { return groups[i].model.MemoryMB > groups[j].model.MemoryMB })
	firstFit := func(_, _ *bin) int { return 0 }
	emptiest := func(a, b *bin) int { return b.free - a.free }
	if placeBy(firstFit, p, groups) == nil {
		return nil
	}
	return placeBy(emptiest, p, groups)
}

func placeBy(order fit, p Pool, groups []group) *obstacle {
	bins := make([]*bin, 0, len(p.Engines))
	for _, e := range p.Engines {
		bins = append(bins, &bin{engine: e, free: e.Usable(), models: make(map[string]bool)})
	}
	for _, g := range groups {
		if placed := placeModel(order, bins, g.model, g.copies); placed < g.copies {
			return g.noRoom(p, bins, g.at, g.model.MemoryMB, placed, g.copies)
		}
	}
	for _, m := range largestAdapters(groups) {
		if placed := placeAdapter(order, bins, m.group.model, m.adapter); placed < m.adapter.MinCopies {
			return m.group.noRoom(p, bins, m.at, m.adapter.MemoryMB, placed, m.adapter.MinCopies)
		}
	}
	return nil
}

// Places copies on different engines, in different failure domains as far as possible.
func placeModel(order fit, bins []*bin, m Model, copies int) int {
	used := make(map[string]bool)
	placed := 0
	for range copies {
		b := pick(order, bins, used, func(b *bin) bool { return !b.models[m.Name] && b.free >= m.MemoryMB })
		if b == nil {
			break
		}
		b.free -= m.MemoryMB
		b.models[m.Name] = true
		used[b.engine.FailureDomain] = true
		placed++
	}
	return placed
}

// Places copies beside the model, and further copies of the model where the engines that have it are full.
func placeAdapter(order fit, bins []*bin, m Model, a Adapter) int {
	holds := make(map[*bin]bool)
	used := make(map[string]bool)
	beside := func(b *bin) bool { return !holds[b] && b.models[m.Name] && b.free >= a.MemoryMB }
	anew := func(b *bin) bool { return !b.models[m.Name] && b.free >= m.MemoryMB+a.MemoryMB }
	for range a.MinCopies {
		b := pick(order, bins, used, beside)
		if b == nil {
			b = pick(order, bins, used, anew)
		}
		if b == nil {
			break
		}
		if !b.models[m.Name] {
			b.free -= m.MemoryMB
			b.models[m.Name] = true
		}
		b.free -= a.MemoryMB
		holds[b] = true
		used[b.engine.FailureDomain] = true
	}
	return len(holds)
}

// Returns the first engine in order that fits, one outside the used failure domains if there is any.
func pick(order fit, bins []*bin, used map[string]bool, fits func(*bin) bool) *bin {
	sorted := slices.Clone(bins)
	slices.SortStableFunc(sorted, order)
	var second *bin
	for _, b := range sorted {
		if !fits(b) {
			continue
		}
		if !used[b.engine.FailureDomain] {
			return b
		}
		if second == nil {
			second = b
		}
	}
	return second
}

type placedMember struct {
	member
	group group
}

func largestAdapters(groups []group) []placedMember {
	var all []placedMember
	for _, g := range groups {
		for _, m := range g.adapters {
			all = append(all, placedMember{member: m, group: g})
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].adapter.MemoryMB > all[j].adapter.MemoryMB })
	return all
}

func (g group) noRoom(p Pool, bins []*bin, at string, mb, placed, copies int) *obstacle {
	most, total := 0, 0
	for _, b := range bins {
		most = max(most, b.free)
		total += b.engine.Usable()
	}
	return &obstacle{path: at + ".min_copies", reason: fmt.Sprintf(
		"pool %q has room for only %d of %d copies of %d MB (model %q): at most %d MB are left on one engine, "+
			"of %d MB usable in all", p.Name, placed, copies, mb, g.model.Name, most, total)}
}
