package resid

import (
	"github.com/figreel/figreel/internal/topo"
)

type (
	// Set is what an engine holds; the zero value knows nothing.
	Set struct {
		sequence int64
		known    bool
		models   map[string]bool
		adapters map[topo.Adapter]bool
	}
)

// Sequence returns the number of orders after which the engine holds what is known, and false when that is not known.
func (c *Set) Sequence() (int64, bool) { return c.sequence, c.known }

// ApplyReport takes over what the engine reports, and reports false when that is older than what is known.
func (c *Set) ApplyReport(r *topo.Report) bool {
	if r.Sequence < c.sequence {
		return false
	}
	models, adapters := held(r)
	if r.Busy {
		if !c.known || r.Sequence > c.sequence {
			// The order that is being carried out is not told, so what will fit is not known.
			c.sequence, c.known = r.Sequence, false
			return true
		}
		// A model on its way is not listed yet, and one that is being dropped still takes its room.
		merge(models, c.models)
	}
	c.sequence, c.known = r.Sequence, true
	c.models, c.adapters = models, adapters
	return true
}

// Invalidate forgets what is held after an order whose effect is not known.
func (c *Set) Invalidate() { c.known = false }

// ApplyOrder notes an order that the engine accepted.
func (c *Set) ApplyOrder(o *topo.Order) {
	c.sequence = o.ExpectedSequence + 1
	switch {
	case o.Adapter == "" && !o.Unload:
		c.models[o.Model] = true
	case o.Adapter == "":
		// The room is free once the engine reports it.
	case o.Unload:
		delete(c.adapters, topo.Adapter{Model: o.Model, Name: o.Adapter})
	default:
		c.adapters[topo.Adapter{Model: o.Model, Name: o.Adapter}] = true
	}
}

// Fits reports whether the engine has room for what the order loads.
func (c *Set) Fits(kind *topo.EngineSpec, o *topo.Order) bool {
	if !c.known {
		return false
	}
	if o.Unload {
		return true
	}
	used := 0.0
	for name := range c.models {
		m := kind.Model(name)
		if m == nil {
			return false
		}
		used += m.MemoryMB
	}
	for a := range c.adapters {
		if m := kind.Model(a.Model); m != nil {
			used += m.AdapterMB
		}
	}
	m := kind.Model(o.Model)
	switch {
	case m == nil:
		return false
	case o.Adapter == "":
		return !c.models[o.Model] && used+m.MemoryMB <= kind.MemoryMB
	}
	return c.models[o.Model] && !c.adapters[topo.Adapter{Model: o.Model, Name: o.Adapter}] &&
		len(c.adapters) < kind.AdapterSlots && used+m.AdapterMB <= kind.MemoryMB
}

func held(r *topo.Report) (map[string]bool, map[topo.Adapter]bool) {
	models := make(map[string]bool, len(r.Models))
	adapters := make(map[topo.Adapter]bool)
	for _, m := range r.Models {
		models[m.Name] = true
		for _, a := range m.Adapters {
			adapters[topo.Adapter{Model: m.Name, Name: a}] = true
		}
	}
	for _, a := range r.LoadingAdapters {
		adapters[a] = true
	}
	return models, adapters
}

func merge(to, from map[string]bool) {
	for k := range from {
		to[k] = true
	}
}
