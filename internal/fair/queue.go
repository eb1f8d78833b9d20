package fair

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

type (
	// Call is what a Queue has to know of a waiting call.
	Call[P comparable] struct {
		Workspace string
		Priority  int     // of the workspace, 0 is the most urgent
		Pool      P       // calls with the same pool can be served by the same engines
		Work      float64 // in tokens, see Work
	}

	// Turn is the place of a call in the merged order.
	Turn[T comparable] struct {
		Item     T
		Position int     // number of calls for the same pool that go before it
		Ahead    float64 // work of these calls
		Own      float64 // part of it that is of the same workspace
	}

	// Queue orders waiting calls of type T for pools P of engines E.
	Queue[T, P, E comparable] struct {
		// Describe returns what the queue has to know of a call.
		Describe func(T) Call[P]
		// Engines returns the engines of a pool. A change of the engines is a new slice.
		Engines func(P) []E

		engines    map[E]*engine
		workspaces map[string]*workspace[P]
		pools      map[P]*pool[T, E]
		largest    float64 // work of the largest call lately
		decayedAt  time.Time
	}

	pool[T comparable, E any] struct {
		list    []E
		engines []*engine
		places  []place[T] // waiting calls in the merged order, then those that arrived since
		flows   []*flow    // that wait for the engines, as of the last Order
		base    float64    // lead from which a workspace starts that begins to wait
	}

	// place is a waiting call with the key by which it was merged.
	place[T comparable] struct {
		item      T
		workspace string
		key       key
		work      float64
	}

	// key orders calls of different workspaces.
	key struct {
		owed     bool // the workspace got less than its floor
		priority int
		start    float64 // lead of the workspace once its earlier calls have been served
	}

	// head is a workspace in the merge, with its calls that are not merged yet.
	head[T, P comparable] struct {
		workspace *workspace[P]
		calls     []waiting[T, P]
		key       key
	}

	// waiting is a call in the merge. Its rank is its place in the order that the caller gave.
	waiting[T, P comparable] struct {
		item T
		call Call[P]
		flow *flow
		rank int
	}

	heads[T, P comparable] []*head[T, P]
)

// compare orders keys: owed workspaces first, then by priority, then by lead.
func (k key) compare(o key) int {
	if k.owed != o.owed {
		if k.owed {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(k.priority, o.priority), cmp.Compare(k.start, o.start))
}

// Order merges the waiting calls of all workspaces. The calls of each workspace keep the order in which they are given;
// with one workspace the order is that of items.
func (q *Queue[T, P, E]) Order(now time.Time, items []T) []Turn[T] {
	q.decay(now)
	for _, p := range q.pools {
		p.places, p.flows = p.places[:0], p.flows[:0]
	}
	merge := q.heads(items)
	q.leaveUnused()
	for _, p := range q.pools {
		p.rebase(q.largest)
	}
	for _, h := range merge {
		h.update()
	}
	heap.Init(&merge)
	ahead := make(map[P]float64)
	out := make([]Turn[T], 0, len(items))
	for len(merge) > 0 {
		h := merge[0]
		w := h.calls[0]
		p := q.pools[w.call.Pool]
		own := w.flow.merged * float64(max(len(w.flow.engines), 1))
		out = append(out, Turn[T]{Item: w.item, Position: len(p.places), Ahead: ahead[w.call.Pool], Own: own})
		ahead[w.call.Pool] += w.call.Work
		p.places = append(p.places, place[T]{w.item, w.call.Workspace, h.key, w.call.Work})
		w.flow.merged += w.flow.perEngine(w.call.Work)
		if h.calls = h.calls[1:]; len(h.calls) == 0 {
			heap.Pop(&merge)
			continue
		}
		h.update()
		heap.Fix(&merge, 0)
	}
	return out
}

// heads groups the calls by workspace and lets their flows join the competition.
func (q *Queue[T, P, E]) heads(items []T) heads[T, P] {
	for _, ws := range q.workspaces {
		for _, f := range ws.flows {
			f.queued, f.calls, f.merged = 0, 0, 0
		}
	}
	byName := make(map[string]*head[T, P])
	var out heads[T, P]
	for i, item := range items {
		c := q.Describe(item)
		h := byName[c.Workspace]
		if h == nil {
			h = &head[T, P]{workspace: q.workspace(c.Workspace)}
			byName[c.Workspace] = h
			out = append(out, h)
		}
		f := q.join(h.workspace, c.Pool)
		if f.calls == 0 {
			p := q.pools[c.Pool]
			p.flows = append(p.flows, f)
		}
		f.queued += c.Work
		f.calls++
		h.calls = append(h.calls, waiting[T, P]{item, c, f, i})
	}
	return out
}

// update computes the key of the workspace's next call.
func (h *head[T, P]) update() {
	w := h.calls[0]
	h.key = w.flow.key(w.call.Priority, w.flow.merged)
}

// Add adds a call that arrived since the last Order.
func (q *Queue[T, P, E]) Add(now time.Time, item T) {
	q.decay(now)
	c := q.Describe(item)
	f := q.join(q.workspace(c.Workspace), c.Pool)
	k := f.key(c.Priority, f.perEngine(f.queued))
	f.queued += c.Work
	f.calls++
	p := q.pools[c.Pool]
	p.places = append(p.places, place[T]{item, c.Workspace, k, c.Work})
}

// Remove removes a call that waits no longer.
func (q *Queue[T, P, E]) Remove(item T) {
	c := q.Describe(item)
	p, ws := q.pools[c.Pool], q.workspaces[c.Workspace]
	if p == nil || ws == nil {
		return
	}
	i := slices.IndexFunc(p.places, func(o place[T]) bool { return o.item == item })
	if i < 0 {
		return
	}
	p.places = slices.Delete(p.places, i, i+1)
	f := ws.flows[c.Pool]
	f.queued -= c.Work
	if f.calls--; f.calls == 0 {
		f.leave()
	}
}

// Ahead returns the place in the merged order of a call that arrives now. Of the waiting calls of its own workspace
// those go first for which before returns true.
func (q *Queue[T, P, E]) Ahead(now time.Time, item T, before func(T) bool) Turn[T] {
	q.decay(now)
	c := q.Describe(item)
	p := q.pool(c.Pool)
	turn := Turn[T]{Item: item}
	if len(p.places) == 0 {
		return turn
	}
	for _, o := range p.places {
		if o.workspace == c.Workspace && before(o.item) {
			turn.Position++
			turn.Ahead += o.work
			turn.Own += o.work
		}
	}
	f := q.flow(q.workspace(c.Workspace), c.Pool)
	if !f.joined {
		f.resume(p.base)
	}
	k := f.key(c.Priority, f.perEngine(turn.Ahead))
	for _, o := range p.places {
		if o.workspace != c.Workspace && o.key.compare(k) <= 0 {
			turn.Position++
			turn.Ahead += o.work
		}
	}
	return turn
}

// Above reports whether the workspace of a waiting or arriving call claims more of the pool than the mean of the
// workspaces that used its engines lately. A claim is the lead above that of the
// pool's newcomers, with the work that waits; it is 0 if none waits.
func (q *Queue[T, P, E]) Above(item T) bool {
	c := q.Describe(item)
	p := q.pool(c.Pool)
	var own, sum float64
	n := 0
	for name, ws := range q.workspaces {
		f := ws.flows[c.Pool]
		if f == nil || !f.joined {
			if ws.uses(p.engines) {
				n++
			}
			continue
		}
		claim := f.claim() - p.base
		sum += claim
		n++
		if name == c.Workspace {
			own = claim
		}
	}
	return n > 1 && own > sum/float64(n)
}

// uses reports whether the workspace used one of the engines lately.
func (ws *workspace[P]) uses(engines []*engine) bool {
	return slices.ContainsFunc(engines, func(e *engine) bool { return ws.cells[e] != nil && ws.cells[e].work > 0 })
}

// Excess returns the call to reject when the queue is too long: the last one of the workspace that claims most beyond
// its share of the engines of a pool. The bool is false if no call waits.
func (q *Queue[T, P, E]) Excess() (T, bool) {
	var (
		best      T
		bestName  string
		bestClaim float64
		found     bool
	)
	for name, ws := range q.workspaces {
		for k, f := range ws.flows {
			if !f.joined {
				continue
			}
			claim := (f.claim() - q.pools[k].base) * float64(max(len(f.engines), 1))
			if found && (claim < bestClaim || claim == bestClaim && name >= bestName) {
				continue
			}
			for _, o := range slices.Backward(q.pools[k].places) {
				if o.workspace == name {
					best, bestName, bestClaim, found = o.item, name, claim, true
					break
				}
			}
		}
	}
	return best, found
}

func (h heads[T, P]) Len() int { return len(h) }

func (h heads[T, P]) Less(i, j int) bool {
	if c := h[i].key.compare(h[j].key); c != 0 {
		return c < 0
	}
	return h[i].calls[0].rank < h[j].calls[0].rank
}

func (h heads[T, P]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *heads[T, P]) Push(x any) { *h = append(*h, x.(*head[T, P])) }

func (h *heads[T, P]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
