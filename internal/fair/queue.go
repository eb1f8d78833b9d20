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
		orders     int // number of Orders so far
		// Memory for the next Order.
		byName map[string]*head[T, P, E]
		spare  []*head[T, P, E]
		merge  heads[T, P, E]
		turns  []Turn[T]
	}

	pool[T comparable, E any] struct {
		list    []E
		engines []*engine
		places  []place[T] // waiting calls in the merged order, then those that arrived since
		flows   []*flow    // that wait for the engines, as of the last Order
		base    float64    // lead from which a workspace starts that begins to wait
		ahead   float64    // work of the calls merged so far
		checked int        // the Order in which the engines were compared last
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

	// head is a workspace in the merge, with its calls; those before next are merged.
	head[T, P, E comparable] struct {
		workspace *workspace[P]
		calls     []waiting[T, E]
		next      int
		key       key
	}

	// waiting is a call in the merge. Its rank is its place in the order that the caller gave.
	waiting[T, E comparable] struct {
		item     T
		priority int
		work     float64
		flow     *flow
		pool     *pool[T, E]
		rank     int
	}

	heads[T, P, E comparable] []*head[T, P, E]
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
// with one workspace the order is that of items. The result is valid until the next call of Order.
func (q *Queue[T, P, E]) Order(now time.Time, items []T) []Turn[T] {
	q.decay(now)
	q.orders++
	for _, p := range q.pools {
		clear(p.places)
		p.places, p.flows, p.ahead = p.places[:0], p.flows[:0], 0
	}
	q.group(items)
	q.leaveUnused()
	for _, p := range q.pools {
		p.rebase(q.largest)
	}
	for _, h := range q.merge {
		h.update()
	}
	heap.Init(&q.merge)
	clear(q.turns)
	q.turns = q.turns[:0]
	for len(q.merge) > 0 {
		h := q.merge[0]
		w := &h.calls[h.next]
		own := w.flow.merged * float64(max(len(w.flow.engines), 1))
		q.turns = append(q.turns, Turn[T]{Item: w.item, Position: len(w.pool.places), Ahead: w.pool.ahead, Own: own})
		w.pool.ahead += w.work
		w.pool.places = append(w.pool.places, place[T]{w.item, h.workspace.name, h.key, w.work})
		w.flow.merged += w.flow.perEngine(w.work)
		if h.next++; h.next == len(h.calls) {
			heap.Pop(&q.merge)
			clear(h.calls)
			q.spare = append(q.spare, h)
			continue
		}
		h.update()
		heap.Fix(&q.merge, 0)
	}
	return q.turns
}

// group groups the calls by workspace and lets their flows join the competition.
func (q *Queue[T, P, E]) group(items []T) {
	for _, ws := range q.workspaces {
		for _, f := range ws.flows {
			f.queued, f.calls, f.merged = 0, 0, 0
		}
	}
	if q.byName == nil {
		q.byName = make(map[string]*head[T, P, E])
	}
	clear(q.byName)
	for i, item := range items {
		c := q.Describe(item)
		h := q.byName[c.Workspace]
		if h == nil {
			h = q.newHead(c.Workspace)
			q.byName[c.Workspace] = h
			q.merge = append(q.merge, h)
		}
		f, p := q.join(h.workspace, c.Pool)
		if f.calls == 0 {
			p.flows = append(p.flows, f)
		}
		f.queued += c.Work
		f.calls++
		h.calls = append(h.calls, waiting[T, E]{item, c.Priority, c.Work, f, p, i})
	}
}

func (q *Queue[T, P, E]) newHead(name string) *head[T, P, E] {
	h := &head[T, P, E]{}
	if n := len(q.spare); n > 0 {
		h, q.spare = q.spare[n-1], q.spare[:n-1]
	}
	h.workspace, h.calls, h.next = q.workspace(name), h.calls[:0], 0
	return h
}

// update computes the key of the workspace's next call.
func (h *head[T, P, E]) update() {
	w := &h.calls[h.next]
	h.key = w.flow.key(w.priority, w.flow.merged)
}

// Add adds a call that arrived since the last Order.
func (q *Queue[T, P, E]) Add(now time.Time, item T) {
	q.decay(now)
	c := q.Describe(item)
	f, p := q.join(q.workspace(c.Workspace), c.Pool)
	k := f.key(c.Priority, f.perEngine(f.queued))
	f.queued += c.Work
	f.calls++
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
	f := q.flow(q.workspace(c.Workspace), c.Pool, p)
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

func (h heads[T, P, E]) Len() int { return len(h) }

func (h heads[T, P, E]) Less(i, j int) bool {
	if c := h[i].key.compare(h[j].key); c != 0 {
		return c < 0
	}
	return h[i].calls[h[i].next].rank < h[j].calls[h[j].next].rank
}

func (h heads[T, P, E]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *heads[T, P, E]) Push(x any) { *h = append(*h, x.(*head[T, P, E])) }

func (h *heads[T, P, E]) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
