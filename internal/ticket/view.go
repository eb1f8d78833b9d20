package ticket

import (
	"slices"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

func viewOf(name string, engines []pool.EngineState) wire.PoolView {
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

// FallbackStates returns engine states for local dispatch: the residency of the view, or where the view does not know
// an engine, every item of the pool, so that a call tries it rather than fails.
func FallbackStates(p envdoc.Pool, items []string, view wire.PoolView) []pool.EngineState {
	known := make(map[string]wire.EngineView, len(view.Engines))
	for _, e := range view.Engines {
		known[e.Name] = e
	}
	out := make([]pool.EngineState, 0, len(p.Engines))
	for _, e := range p.Engines {
		s := pool.EngineState{
			Name: e.Name, URL: e.URL, FailureDomain: e.FailureDomain, MaxSeqs: e.MaxSeqs, Up: true, Items: items,
		}
		if v, ok := known[e.Name]; ok {
			s.Items = v.Items
			s.Leaving = v.Leaving
		}
		out = append(out, s)
	}
	return out
}
