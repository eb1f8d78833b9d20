package sched

type (
	// index finds the engines of a model without a search through all engines.
	index struct {
		outdated bool // the models of an engine have changed
		holders  map[modelKey][]*engine
		loaders  map[modelKey][]*engine
	}

	modelKey struct{ service, model string }
)

// holders returns the engines on which the model is resident.
func (s *Scheduler) holders(k modelKey) []*engine {
	s.updateIndex()
	return s.index.holders[k]
}

// loaders returns the engines that have accepted an order to load the model.
func (s *Scheduler) loaders(k modelKey) []*engine {
	s.updateIndex()
	return s.index.loaders[k]
}

func (s *Scheduler) updateIndex() {
	if !s.index.outdated {
		return
	}
	s.index = index{holders: make(map[modelKey][]*engine), loaders: make(map[modelKey][]*engine)}
	for _, e := range s.engines {
		for name := range e.models {
			k := modelKey{e.Service, name}
			s.index.holders[k] = append(s.index.holders[k], e)
		}
		for name := range e.loading {
			k := modelKey{e.Service, name}
			s.index.loaders[k] = append(s.index.loaders[k], e)
		}
	}
}
