package replay

import (
	"sort"

	"github.com/figreel/figreel/internal/trace"
)

type (
	// engine is a virtual engine with continuous batching and chunked prefill.
	engine struct {
		name     string
		domain   string
		boot     int
		speed    trace.EngineCost
		maxSeqs  int
		usableMB int
		slow     float64
		up       bool
		seenUp   bool
		running  []*attempt
		queue    []*attempt
		busy     bool
		epoch    int
		items    map[string]*held
		order    []string
		cache    prefixCache
		reports  []report
		tokens   int
	}

	report struct {
		atMS    float64
		running int
		tokens  int
	}

	// held is an item that an engine's memory is counted for.
	held struct {
		name     string
		base     string
		adapter  bool
		memoryMB int
		resident bool
		leaving  bool
		usedMS   float64
		users    int
	}

	// attempt is one run of a call on an engine.
	attempt struct {
		call    *liveCall
		engine  *engine
		ticket  string
		startMS float64
		prompt  int
		tokens  int
		first   bool
		ended   bool
		hedge   bool
		prio    int
		seq     int
		uses    []*held
	}

	// prefixCache keeps the most recently used prefixes up to a number of tokens.
	prefixCache struct {
		limit int
		used  int
		order []prefix
	}

	prefix struct {
		hash   uint64
		tokens int
	}
)

// submit queues an attempt on the engine.
func (s *sim) submit(e *engine, a *attempt) {
	c := a.call.trace
	a.prompt = c.PromptTokens + a.call.tokens - e.cache.use(c.PrefixHash, c.PrefixTokens)
	a.prompt = max(a.prompt, 1)
	at := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].prio > a.prio })
	e.queue = append(e.queue, nil)
	copy(e.queue[at+1:], e.queue[at:])
	e.queue[at] = a
	if !e.busy {
		s.iterate(e)
	}
}

// iterate runs one iteration: every running sequence gets a token, or a part of its prompt computed.
func (s *sim) iterate(e *engine) {
	e.admit()
	e.busy = len(e.running) > 0 && e.up
	if !e.busy {
		return
	}
	chunk := e.speed.ChunkTokens
	decoding := 0
	var advance []*attempt
	for _, a := range e.running {
		if a.prompt > 0 {
			part := min(a.prompt, chunk)
			chunk -= part
			a.prompt -= part
		}
		if a.prompt == 0 {
			decoding++
			advance = append(advance, a)
		}
	}
	prefill := float64(e.speed.ChunkTokens - chunk)
	took := e.speed.BaseMS + e.speed.PerSeqMS*float64(decoding) + e.speed.PerPromptTokenMS*prefill
	epoch := e.epoch
	s.after(took*e.slow, func() {
		if e.epoch != epoch {
			return
		}
		for _, a := range advance {
			if !a.ended {
				e.tokens++
				s.token(a)
			}
		}
		s.iterate(e)
	})
}

// admit drops ended attempts and fills the batch from the queue; prompts are computed by priority, then by arrival.
func (e *engine) admit() {
	e.running = live(e.running)
	e.queue = live(e.queue)
	for len(e.running) < e.maxSeqs && len(e.queue) > 0 {
		a := e.queue[0]
		e.queue = e.queue[1:]
		at := sort.Search(len(e.running), func(i int) bool { return e.running[i].prio > a.prio })
		e.running = append(e.running, nil)
		copy(e.running[at+1:], e.running[at:])
		e.running[at] = a
	}
}

func live(list []*attempt) []*attempt {
	out := list[:0]
	for _, a := range list {
		if !a.ended {
			out = append(out, a)
		}
	}
	return out
}

func (e *engine) load() int { return len(live(e.running)) + len(live(e.queue)) }

func (e *engine) usedMB() int {
	sum := 0
	for _, h := range e.items {
		sum += h.memoryMB
	}
	return sum
}

func (e *engine) answers(name string) bool {
	h := e.items[name]
	return h != nil && h.resident && !h.leaving
}

func (e *engine) hold(h *held) {
	e.items[h.name] = h
	e.order = append(e.order, h.name)
}

func (e *engine) forget(name string) {
	delete(e.items, name)
	for i, n := range e.order {
		if n == name {
			e.order = append(e.order[:i:i], e.order[i+1:]...)
			return
		}
	}
}

// lagged returns the newest report that is at least lag old.
func (e *engine) lagged(nowMS, lagMS float64) report {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].atMS <= nowMS-lagMS {
			return e.reports[i]
		}
	}
	return report{}
}

// use returns the cached tokens of a prefix and makes it the most recent one.
func (p *prefixCache) use(hash uint64, tokens int) int {
	if hash == 0 || tokens == 0 {
		return 0
	}
	hit := 0
	for i, v := range p.order {
		if v.hash == hash {
			hit = min(v.tokens, tokens)
			p.used -= v.tokens
			tokens = max(tokens, v.tokens)
			p.order = append(p.order[:i], p.order[i+1:]...)
			break
		}
	}
	p.order = append(p.order, prefix{hash, tokens})
	p.used += tokens
	for p.used > p.limit && len(p.order) > 1 {
		p.used -= p.order[0].tokens
		p.order = p.order[1:]
	}
	return hit
}
