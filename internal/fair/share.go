package fair

import (
	"math"
	"time"
)

const (
	// outputWork is the work of an output token, in prompt tokens that need prefill.
	outputWork = 10
	// floorShare is the part of its equal share that a workspace gets whatever the priorities of the others.
	floorShare = 0.25
	// forgetTime is the time constant with which work is forgotten: twice the 2 s over which shares are to be equal.
	// decayInterval is the interval at which that is applied.
	forgetTime    = 4 * time.Second
	decayInterval = time.Second
	// maxLag bounds how far a workspace is behind the virtual time, in calls of the largest size. Fair queueing alone
	// keeps the difference between two workspaces that wait for the same engines below two calls.
	maxLag = 4
	// minWork is the work below which a record is dropped, in tokens.
	minWork = 1
	// minDeficit is the deficit from which on a workspace is owed its floor, in tokens; it keeps rounding errors out.
	minDeficit = 1e-6
)

type (
	engine struct {
		virtual    float64 // virtual time
		backlogged int     // workspaces with calls that wait for this engine
	}

	workspace[P comparable] struct {
		name  string
		cells map[*engine]*cell
		flows map[P]*flow
	}

	// cell is the record of a workspace at an engine.
	cell struct {
		work  float64 // that the workspace got from the engine
		flows int     // flows that wait for the engine
	}

	// flow is the competition of a workspace for the engines of a pool.
	flow struct {
		engines []*engine
		cells   []*cell // of the workspace, one for each engine
		// lead and floor are what is added to the mean over the engines to get the workspace's lead, and its work
		// beyond the floor.
		lead, floor float64
		joined      bool    // calls are waiting
		known       bool    // the flow has competed before
		calls       int     // waiting calls
		queued      float64 // work of the waiting calls
		merged      float64 // work for each engine of the calls merged so far
		leftAt      time.Time
	}
)

// Work returns the work of a call: the prompt tokens that need prefill, plus ten for each output token.
func Work(prefillTokens, outputTokens int) float64 {
	return float64(prefillTokens + outputWork*outputTokens)
}

// Charge records that an engine got work of a workspace.
func (q *Queue[T, P, E]) Charge(now time.Time, name string, on E, work float64) {
	q.decay(now)
	q.largest = max(q.largest, work)
	e := q.engine(on)
	c := q.workspace(name).cell(e)
	n := e.backlogged
	if c.flows == 0 {
		n++
	}
	c.work += work
	e.virtual += work / float64(n)
}

// Contested reports whether calls wait for an engine.
func (q *Queue[T, P, E]) Contested(on E) bool {
	e := q.engines[on]
	return e != nil && e.backlogged > 0
}

// Backlogged returns the number of workspaces with waiting calls.
func (q *Queue[T, P, E]) Backlogged() int {
	n := 0
	for _, ws := range q.workspaces {
		for _, f := range ws.flows {
			if f.joined {
				n++
				break
			}
		}
	}
	return n
}

// level returns the mean over the engines of the work that the workspace got, minus part of their virtual time.
func (f *flow) level(part float64) float64 {
	if len(f.engines) == 0 {
		return 0
	}
	sum := 0.0
	for i, e := range f.engines {
		sum += f.cells[i].work - part*e.virtual
	}
	return sum / float64(len(f.engines))
}

// key returns the key of a call before which calls with the given work for each engine go.
func (f *flow) key(priority int, before float64) key {
	return key{
		owed:     f.level(floorShare)+f.floor+before < -minDeficit,
		priority: priority, start: f.level(1) + f.lead + before,
	}
}

// claim returns the lead of the workspace with all its waiting work.
func (f *flow) claim() float64 { return f.level(1) + f.lead + f.perEngine(f.queued) }

// perEngine returns the part of the work that falls to each engine.
func (f *flow) perEngine(work float64) float64 { return work / float64(max(len(f.engines), 1)) }

// join lets a flow compete for its pool.
func (q *Queue[T, P, E]) join(ws *workspace[P], k P) (*flow, *pool[T, E]) {
	p := q.pool(k)
	f := q.flow(ws, k, p)
	if !f.joined {
		f.resume(p.base)
		f.enter()
	}
	return f, p
}

// enter begins the competition of a flow.
func (f *flow) enter() {
	f.joined = true
	for i, e := range f.engines {
		if f.cells[i].flows++; f.cells[i].flows == 1 {
			e.backlogged++
		}
	}
}

// resume takes away the credit that a flow has gained while no call waited.
func (f *flow) resume(base float64) {
	f.lead = max(f.lead, base-f.level(1))
	if floor := -f.level(floorShare); !f.known || f.floor < floor {
		f.floor = floor
	}
	f.known = true
}

// rebase bounds by how much the workspaces of a pool are behind the virtual time. They fall behind while others are
// served that hardly ever wait, and would go before workspaces that wait for the same engines in other pools.
func (p *pool[T, E]) rebase(largest float64) {
	p.base = 0
	for _, f := range p.flows {
		p.base = min(p.base, f.level(1)+f.lead)
	}
	lag := -maxLag * largest / float64(max(len(p.engines), 1))
	if p.base >= lag {
		return
	}
	for _, f := range p.flows {
		f.lead += lag - p.base
	}
	p.base = lag
}

// leave ends the competition of a flow.
func (f *flow) leave() {
	if !f.joined {
		return
	}
	f.joined = false
	for i, e := range f.engines {
		if f.cells[i].flows--; f.cells[i].flows == 0 {
			e.backlogged--
		}
	}
}

// leaveUnused ends the competition of all flows without calls.
func (q *Queue[T, P, E]) leaveUnused() {
	for _, ws := range q.workspaces {
		for _, f := range ws.flows {
			if f.calls == 0 {
				f.leave()
			}
		}
	}
}

// flow returns the flow of a workspace for a pool, with the engines that the pool has now. A flow that competes keeps
// its lead when they change.
func (q *Queue[T, P, E]) flow(ws *workspace[P], k P, p *pool[T, E]) *flow {
	f := ws.flows[k]
	if f == nil {
		f = &flow{}
		ws.flows[k] = f
	}
	if f.joined && sameSlice(f.engines, p.engines) {
		return f
	}
	joined, lead, floor := f.joined, f.level(1), f.level(floorShare)
	f.leave()
	f.engines = p.engines
	f.cells = make([]*cell, len(p.engines))
	for i, e := range p.engines {
		f.cells[i] = ws.cell(e)
	}
	if !joined {
		return f
	}
	f.lead += lead - f.level(1)
	f.floor += floor - f.level(floorShare)
	f.enter()
	return f
}

// pool returns a pool with the engines that it has as of the last Order.
func (q *Queue[T, P, E]) pool(k P) *pool[T, E] {
	p := q.pools[k]
	if p == nil {
		if q.pools == nil {
			q.pools = make(map[P]*pool[T, E])
		}
		p = &pool[T, E]{checked: -1}
		q.pools[k] = p
	}
	if p.checked == q.orders {
		return p
	}
	p.checked = q.orders
	if list := q.Engines(k); !sameSlice(p.list, list) {
		p.list = list
		p.engines = make([]*engine, len(list))
		for i, e := range list {
			p.engines[i] = q.engine(e)
		}
	}
	return p
}

func (q *Queue[T, P, E]) engine(k E) *engine {
	e := q.engines[k]
	if e == nil {
		if q.engines == nil {
			q.engines = make(map[E]*engine)
		}
		e = &engine{}
		q.engines[k] = e
	}
	return e
}

func (q *Queue[T, P, E]) workspace(name string) *workspace[P] {
	ws := q.workspaces[name]
	if ws == nil {
		if q.workspaces == nil {
			q.workspaces = make(map[string]*workspace[P])
		}
		ws = &workspace[P]{name: name, cells: make(map[*engine]*cell), flows: make(map[P]*flow)}
		q.workspaces[name] = ws
	}
	return ws
}

func (ws *workspace[P]) cell(e *engine) *cell {
	c := ws.cells[e]
	if c == nil {
		c = &cell{}
		ws.cells[e] = c
	}
	return c
}

// decay applies the forgetting of work and drops the records that have no weight left.
func (q *Queue[T, P, E]) decay(now time.Time) {
	if q.decayedAt.IsZero() {
		q.decayedAt = now
	}
	n := now.Sub(q.decayedAt) / decayInterval
	if n <= 0 {
		return
	}
	factor := math.Exp(-(n * decayInterval).Seconds() / forgetTime.Seconds())
	q.decayedAt = q.decayedAt.Add(n * decayInterval)
	q.largest *= factor
	for _, e := range q.engines {
		e.virtual *= factor
	}
	for name, ws := range q.workspaces {
		ws.decay(now, factor)
		if len(ws.flows) == 0 && len(ws.cells) == 0 {
			delete(q.workspaces, name)
		}
	}
	q.dropUnused()
}

func (ws *workspace[P]) decay(now time.Time, factor float64) {
	for k, f := range ws.flows {
		f.lead *= factor
		f.floor *= factor
		if f.joined {
			f.leftAt = now
		} else if now.Sub(f.leftAt) > forgetTime {
			delete(ws.flows, k)
		}
	}
	for e, c := range ws.cells {
		if c.work *= factor; c.work < minWork && c.flows == 0 {
			delete(ws.cells, e)
		}
	}
}

// dropUnused drops pools without waiting calls, and engines without virtual time that no pool has.
func (q *Queue[T, P, E]) dropUnused() {
	used := make(map[*engine]bool)
	for k, p := range q.pools {
		if len(p.places) == 0 {
			delete(q.pools, k)
			continue
		}
		for _, e := range p.engines {
			used[e] = true
		}
	}
	for k, e := range q.engines {
		if e.virtual < minWork && !used[e] {
			delete(q.engines, k)
		}
	}
}

// sameSlice reports whether two slices have the same elements in memory.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
