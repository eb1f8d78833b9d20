package ticket

import (
	"slices"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

func poolView(name string, engines []pool.EngineState) wire.PoolView {
	v := wire.PoolView{Pool: name, Engines: make([]wire.EngineView, 0, len(engines))}
	for _, e := range engines {
		ev := wire.EngineView{Name: e.Name, Leaving: e.Leaving || !e.Up}
		ev.Items = slices.Sorted(slices.Values(e.Items))
		v.Engines = append(v.Engines, ev)
	}
	return v
}

func sameView(a, b wire.PoolView) bool {
	return slices.EqualFunc(a.Engines, b.Engines, func(x, y wire.EngineView) bool {
		return x.Name == y.Name && x.Leaving == y.Leaving && slices.Equal(x.Items, y.Items)
	})
}

// FallbackStates returns the engine states for dispatching on a host that does not own the pool. An engine of the view
// has the items listed there; any other engine is assumed to have every item of the pool, so that a call tries it
// instead of failing.
func FallbackStates(p envdoc.Pool, items []string, view wire.PoolView) []pool.EngineState {
	byName := make(map[string]wire.EngineView, len(view.Engines))
	for _, e := range view.Engines {
		byName[e.Name] = e
	}
	out := make([]pool.EngineState, 0, len(p.Engines))
	for _, e := range p.Engines {
		s := pool.EngineState{
			Name: e.Name, URL: e.URL, FailureDomain: e.FailureDomain, MaxSeqs: e.MaxSeqs, Up: true, Items: items,
		}
		if v, ok := byName[e.Name]; ok {
			s.Items = v.Items
			s.Leaving = v.Leaving
		}
		out = append(out, s)
	}
	return out
}
