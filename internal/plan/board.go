package plan

import (
	"cmp"
	"math"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/pool"
)

type (
	// site is one engine while a plan is made; free already counts the loads that the plan has added.
	site struct {
		room   *Engine
		free   int
		coming int
		load   float64
		copies map[string]*Replica
		// claimed is memory that unloads in flight or planned will free for a load that waits for it.
		claimed int
	}

	// want is one item of the document while a plan is made.
	want struct {
		item, name, model string
		adapter           bool
		memory, minimum   int
		copies            int
		level             float64
		demand            pool.Demand
		// company is the memory of the adapters that should go beside a model.
		company int
	}

	board struct {
		p        *Planner
		now      time.Time
		sites    []*site
		wants    []*want
		byItem   map[string]*want
		byName   map[string]*want
		moves    []Action
		inFlight int
	}
)

func newBoard(p *Planner, now time.Time, in Input) *board {
	b := &board{p: p, now: now, byItem: make(map[string]*want), byName: make(map[string]*want)}
	for i := range in.Engines {
		b.addSite(&in.Engines[i])
	}
	sortBy(b.sites, func(x, y *site) int { return cmp.Compare(x.room.State.Name, y.room.State.Name) })
	b.addWants(in)
	for _, d := range in.Demand {
		if w := b.byItem[d.Item]; w != nil {
			w.demand = d
		}
	}
	for _, w := range b.wants {
		w.level = p.level(w.item, w.demand.Rising)
		w.copies = b.desired(w)
	}
	b.shareLoad()
	return b
}

func (b *board) addSite(e *Engine) {
	s := &site{room: e, free: e.UsableMB - e.ReservedMB, copies: make(map[string]*Replica, len(e.Replicas))}
	for i := range e.Replicas {
		c := &e.Replicas[i]
		s.copies[c.Item] = c
		if c.Unloading {
			s.coming += c.MemoryMB
		}
		if !c.Unloading && !c.Ready && e.State.Up {
			b.inFlight++
		}
	}
	b.sites = append(b.sites, s)
}

func (b *board) addWants(in Input) {
	for _, m := range in.Models {
		b.add(&want{item: m.Item(), name: m.Name, memory: m.MemoryMB, minimum: max(1, m.MinCopies)})
	}
	models := make(map[string]*want, len(b.wants))
	for _, w := range b.wants {
		models[w.name] = w
	}
	for _, a := range in.Adapters {
		m := models[a.Model]
		if m == nil {
			continue
		}
		b.add(&want{
			item: a.Item(), name: a.Name, model: m.item, adapter: true,
			memory: a.MemoryMB, minimum: max(1, a.MinCopies),
		})
		m.minimum = max(m.minimum, a.MinCopies)
		m.company += a.MemoryMB
	}
	sortBy(
		b.wants,
		func(x, y *want) int { return cmp.Compare(kind(x), kind(y)) },
		func(x, y *want) int { return cmp.Compare(y.memory+y.company, x.memory+x.company) },
		func(x, y *want) int { return cmp.Compare(x.item, y.item) },
	)
}

func (b *board) add(w *want) {
	b.wants = append(b.wants, w)
	b.byItem[w.item] = w
	b.byName[w.name] = w
}

// desired returns how many copies demand asks for, at least the minimum.
func (b *board) desired(w *want) int {
	n := int(math.Ceil(w.level / (targetUse * b.p.peak)))
	if w.demand.Waiting > 0 && w.demand.OldestWaitMS > longWaitMS {
		n = max(n, len(b.holding(w, isServing))+1)
	}
	return min(max(n, w.minimum), max(1, b.usableSites()))
}

func (b *board) usableSites() int {
	n := 0
	for _, s := range b.sites {
		if s.usable() {
			n++
		}
	}
	return n
}

// shareLoad spreads each item's tokens per second over the engines that answer for it.
func (b *board) shareLoad() {
	for _, w := range b.wants {
		at := b.holding(w, isServing)
		for _, s := range at {
			s.load += w.level / float64(len(at))
		}
	}
}

// holding returns the sites with a copy of w, attached to the current model version, for which ok is true.
func (b *board) holding(w *want, ok func(*site, *Replica) bool) []*site {
	var out []*site
	for _, s := range b.sites {
		if c := s.copies[w.item]; c != nil && attached(w, c) && ok(s, c) {
			out = append(out, s)
		}
	}
	return out
}

// attached is false for an adapter that was loaded onto an older version of its model.
func attached(w *want, c *Replica) bool {
	return !w.adapter || c.Model == "" || c.Model == w.model
}

// isServing is a copy that answers now, also on an engine that is leaving.
func isServing(s *site, c *Replica) bool {
	return s.room.State.Up && c.Ready && !c.Unloading
}

// isKept is a copy that answers and will stay.
func isKept(s *site, c *Replica) bool {
	return isServing(s, c) && !s.room.State.Leaving && !c.InDoubt
}

// isCounted is a copy that answers or is being loaded, and will stay.
func isCounted(s *site, c *Replica) bool {
	return s.usable() && !c.Unloading
}

func (s *site) usable() bool { return s.room.State.Up && !s.room.State.Leaving }

func (s *site) domain() string { return s.room.State.FailureDomain }

func kind(w *want) int {
	if w.adapter {
		return 1
	}
	return 0
}

func baseName(item string) string {
	name, _, _ := strings.Cut(item, "@")
	return name
}

func domains(sites []*site) map[string]int {
	out := make(map[string]int)
	for _, s := range sites {
		out[s.domain()]++
	}
	return out
}
