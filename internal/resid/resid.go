package resid

import (
	"maps"

	"github.com/figreel/figreel/internal/topo"
)

type (
	usage struct {
		memoryMB float64
		slots    int // of adapters
	}

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

// Fits reports whether the order fits in the memory and adapter slots of the engine, also if orders that were sent to
// an earlier instance of it are carried out when their turn comes after it. It returns false if the state is not
// known.
func (s *Set) Fits(spec *topo.EngineSpec, o *topo.Order, late []topo.Order) bool {
	if !s.known {
		return false
	}
	if o.Unload && len(late) == 0 {
		return true
	}
	u, ok := s.usage(spec)
	if !ok {
		return false
	}
	if !o.Unload {
		present := s.models[o.Model]
		if o.Adapter != "" {
			present = !present || s.adapters[topo.Adapter{Model: o.Model, Name: o.Adapter}]
		}
		if present || !u.add(spec, o) {
			return false
		}
	}
	return s.fitsLate(spec, u, late)
}

// fitsLate reports whether late orders fit beside what is used after the next order. What an unload frees counts as
// used, because an engine frees it when its runs have ended.
func (s *Set) fitsLate(spec *topo.EngineSpec, u usage, late []topo.Order) bool {
	for sequence := s.sequence + 1; ; sequence++ {
		// Of several orders with the same turn one is carried out.
		next, found := u, false
		for i := range late {
			o := &late[i]
			if o.ExpectedSequence != sequence || o.Unload || o.Adapter == "" && s.models[o.Model] {
				continue
			}
			after := u
			if !after.add(spec, o) {
				return false
			}
			next = usage{max(next.memoryMB, after.memoryMB), max(next.slots, after.slots)}
			found = true
		}
		if !found {
			return true
		}
		u = next
	}
}

// usage returns what the models and adapters use, and false if a model is not in the configuration.
func (s *Set) usage(spec *topo.EngineSpec) (u usage, ok bool) {
	for name := range s.models {
		m := spec.Model(name)
		if m == nil {
			return usage{}, false
		}
		u.memoryMB += m.MemoryMB
	}
	for a := range s.adapters {
		if m := spec.Model(a.Model); m != nil {
			u.memoryMB += m.AdapterMB
		}
	}
	u.slots = len(s.adapters)
	return u, true
}

// add adds what an order loads, and reports whether there is room for it.
func (u *usage) add(spec *topo.EngineSpec, o *topo.Order) bool {
	m := spec.Model(o.Model)
	if m == nil {
		return false
	}
	if o.Adapter == "" {
		u.memoryMB += m.MemoryMB
		return u.memoryMB <= spec.MemoryMB
	}
	u.memoryMB += m.AdapterMB
	u.slots++
	return u.memoryMB <= spec.MemoryMB && u.slots <= spec.AdapterSlots
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
