package sched

import (
	"time"

	"github.com/figreel/figreel/internal/topo"
)

type engine struct {
	topo.Upstream
	tickets  map[uint64]*ticket
	cache    *cache
	adapters map[topo.Adapter]*adapter
	models   map[string]bool
	closed   map[string]bool // models that are being unloaded
	loading  map[string]time.Time
	absent   map[string]time.Time // models that the engine said to lack, until then
	// reading is when all prompts that were sent are expected to have been read.
	reading time.Time
	// burst is since when prompts have been read without a lull.
	burst    time.Time
	unread   int // calls without a first event
	memory   int // tokens of the calls that are there
	kvTotal  int
	down     time.Time // not to be used before
	failures int
	lane     bool    // kept for long prompts
	slow     float64 // observed time to the first event as a part of the expected one
	known    bool
	sequence int64 // orders accepted since the start
	reported time.Time
	noOrders time.Time // no adapter is ordered before
}

func newEngine(u *topo.Upstream, kvTokens int) *engine {
	return &engine{
		Upstream: *u, tickets: make(map[uint64]*ticket), cache: newCache(int(cacheShare * float64(kvTokens))),
		adapters: make(map[topo.Adapter]*adapter), models: make(map[string]bool), closed: make(map[string]bool),
		loading: make(map[string]time.Time), absent: make(map[string]time.Time), kvTotal: kvTokens, slow: 1,
	}
}

// setModels takes over what the engine says that it holds.
func (e *engine) setModels(now time.Time, list []topo.Resident, incoming map[topo.Adapter]bool) {
	e.models = make(map[string]bool, len(list))
	held := make(map[topo.Adapter]bool)
	for _, m := range list {
		e.models[m.Name] = true
		delete(e.loading, m.Name)
		for _, a := range m.Adapters {
			held[topo.Adapter{Model: m.Name, Name: a}] = true
		}
	}
	for name := range e.closed {
		if !e.models[name] {
			delete(e.closed, name)
		}
	}
	for k := range held {
		a := e.adapters[k]
		if a == nil {
			a = &adapter{lastUse: now}
			e.adapters[k] = a
		}
		a.pending = false
	}
	for k, a := range e.adapters {
		settled := now.Sub(a.ready) > reportLag
		if !held[k] && !incoming[k] && settled && a.calls == 0 || !e.models[k.Model] {
			delete(e.adapters, k)
		}
	}
}

// wait is how long the engine will read prompts that were sent before.
func (e *engine) wait(now time.Time) time.Duration {
	rest := max(e.reading.Sub(now), 0)
	if e.unread > 0 {
		// The engine is slower than expected.
		rest = max(rest, overdue)
	}
	return rest
}

// serves reports whether calls for the model may be sent to the engine.
func (e *engine) serves(now time.Time, model string) bool {
	return e.known && !e.Leaving && e.models[model] && !e.closed[model] && !now.Before(e.down) &&
		!now.Before(e.absent[model])
}

func (e *engine) add(now time.Time, t *ticket) {
	e.tickets[t.id] = t
	e.memory += t.memory
	if !t.first {
		if e.rested(now) {
			e.burst = now
		}
		e.reading = now.Add(e.wait(now) + t.prefill)
		e.unread++
	}
	if t.ask.Spec.Adapter != "" {
		a := e.adapter(now, t.key())
		a.calls++
		a.lastUse = now
	}
}

func (e *engine) adapter(now time.Time, k topo.Adapter) *adapter {
	a := e.adapters[k]
	if a == nil {
		a = &adapter{lastUse: now}
		e.adapters[k] = a
	}
	return a
}

// remove forgets a ticket and frees what it took.
func (e *engine) remove(now time.Time, t *ticket) {
	delete(e.tickets, t.id)
	e.memory -= t.memory
	if !t.first {
		e.unread--
		e.settle(now)
	}
	if a := e.adapters[t.key()]; a != nil {
		a.calls = max(a.calls-1, 0)
	}
}

// streams returns how many calls get events now, and the shortest pause that one of them allows.
func (e *engine) streams() (n int, gap time.Duration) {
	for _, t := range e.tickets {
		if !t.first || t.ask.GapTarget <= 0 {
			continue
		}
		n++
		if gap == 0 || t.ask.GapTarget < gap {
			gap = t.ask.GapTarget
		}
	}
	return n, gap
}

// pause returns for how long the streams of an engine would get no event if a prompt were read next.
func (e *engine) pause(now time.Time, read time.Duration) time.Duration {
	if e.rested(now) {
		return read
	}
	return e.wait(now) + now.Sub(e.burst) + read
}

// rested reports whether the engine has read no prompt for so long that its streams have got events.
func (e *engine) rested(now time.Time) bool { return e.unread == 0 && now.After(e.reading.Add(lull)) }

// settle sums the prompts that are still to be read after one was read or went away.
func (e *engine) settle(now time.Time) {
	var rest time.Duration
	for _, t := range e.tickets {
		if !t.first {
			rest += t.prefill
		}
	}
	if until := now.Add(rest); until.Before(e.reading) {
		e.reading = until
	}
}

func (e *engine) callsFor(model string) int {
	n := 0
	for _, t := range e.tickets {
		if t.ask.Spec.Model == model {
			n++
		}
	}
	return n
}

func (t *ticket) key() topo.Adapter { return t.ask.key() }
