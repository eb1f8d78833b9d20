package resid

import (
	"maps"

	"github.com/figreel/figreel/internal/topo"
)

type (
	// Set holds the models and adapters that are resident on an engine. In the zero value they are unknown.
	Set struct {
		sequence int64 // number of accepted orders that the state includes
		known    bool
		models   map[string]bool
		adapters map[topo.Adapter]bool
		leaving  map[topo.Adapter]bool // adapters that the engine unloads when their runs have ended
	}
)

// Sequence returns the number of accepted orders that the known state includes, and false if the state is not known.
func (s *Set) Sequence() (int64, bool) { return s.sequence, s.known }

// ApplyReport applies an engine report. It returns false if the report is older than the known state.
func (s *Set) ApplyReport(r *topo.Report) bool {
	if r.Sequence < s.sequence {
		return false
	}
	models, adapters := reported(r)
	if r.Busy {
		if !s.known || r.Sequence > s.sequence {
			// The report does not name the order that the engine is executing, so the memory in use is unknown.
			s.sequence, s.known = r.Sequence, false
			return true
		}
		// A model that is being loaded is not listed yet, and one that is being unloaded still occupies its memory.
		addAll(models, s.models)
	}
	s.sequence, s.known = r.Sequence, true
	s.models, s.adapters = models, adapters
	maps.DeleteFunc(s.leaving, func(a topo.Adapter, _ bool) bool { return !adapters[a] })
	return true
}

// IsUnloadingAdapters reports whether adapters still take their slots although orders to unload them were accepted.
func (s *Set) IsUnloadingAdapters() bool { return len(s.leaving) > 0 }

// Invalidate discards the state after an order whose outcome is not known.
func (s *Set) Invalidate() { s.known = false }

// ApplyOrder records an order that the engine accepted. The result is topo.OrderNoChange for an unload that took
// effect at once, as only those of adapters do. Any other waits for the runs that use the model or adapter, also for
// those whose callers have left.
func (s *Set) ApplyOrder(o *topo.Order, result topo.OrderResult) {
	s.sequence = o.ExpectedSequence + 1
	a := topo.Adapter{Model: o.Model, Name: o.Adapter}
	switch {
	case o.Adapter == "" && !o.Unload:
		s.models[o.Model] = true
	case o.Adapter == "":
		// The memory counts as occupied until the engine reports that the model is gone.
	case o.Unload && result == topo.OrderNoChange:
		delete(s.adapters, a)
	case o.Unload:
		// So do the slot and the memory of an adapter.
		if s.leaving == nil {
			s.leaving = make(map[topo.Adapter]bool)
		}
		s.leaving[a] = true
	default:
		s.adapters[a] = true
	}
}

// Fits reports whether the order fits in the memory and adapter slots of the engine; it returns false if the state is
// not known.
func (s *Set) Fits(spec *topo.EngineSpec, o *topo.Order) bool {
	if !s.known {
		return false
	}
	if o.Unload {
		return true
	}
	used := 0.0
	for name := range s.models {
		m := spec.Model(name)
		if m == nil {
			return false
		}
		used += m.MemoryMB
	}
	for a := range s.adapters {
		if m := spec.Model(a.Model); m != nil {
			used += m.AdapterMB
		}
	}
	m := spec.Model(o.Model)
	switch {
	case m == nil:
		return false
	case o.Adapter == "":
		return !s.models[o.Model] && used+m.MemoryMB <= spec.MemoryMB
	}
	return s.models[o.Model] && !s.adapters[topo.Adapter{Model: o.Model, Name: o.Adapter}] &&
		len(s.adapters) < spec.AdapterSlots && used+m.AdapterMB <= spec.MemoryMB
}

// reported returns the models and adapters in a report, with the adapters that are being loaded.
func reported(r *topo.Report) (map[string]bool, map[topo.Adapter]bool) {
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

func addAll(dst, src map[string]bool) {
	for k := range src {
		dst[k] = true
	}
}
