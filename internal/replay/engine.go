package replay

import (
	"sort"

	"github.com/figreel/figreel/internal/trace"
)

type (
	// engine simulates an engine with continuous batching and chunked prefill. up is its actual state, observedUp the
	// state that the pool's owner has detected. epoch grows with each failure and invalidates the pending iteration.
	engine struct {
		name       string
		domain     string
		bootCount  int
		speed      trace.EngineCost
		maxSeqs    int
		usableMB   int
		slowdown   float64
		up         bool
		observedUp bool
		running    []*attempt
		queue      []*attempt
		busy       bool
		epoch      int
		items      map[string]*memoryItem
		order      []string
		cache      prefixCache
		reports    []report
		tokens     int
	}

	// report is a load report of an engine: running counts running and queued attempts, tokens all tokens generated.
	report struct {
		atMS    float64
		running int
		tokens  int
	}

	// memoryItem is a model or adapter that takes memory on an engine: loading, resident or unloading. users is the
	// number of attempts that use it.
	memoryItem struct {
		name       string
		base       string
		adapter    bool
		memoryMB   int
		resident   bool
		unloading  bool
		lastUsedMS float64
		users      int
	}

	// attempt is one execution of a call on an engine; promptLeft counts the prompt tokens that still need prefill.
	attempt struct {
		call          *liveCall
		engine        *engine
		ticket        string
		startMS       float64
		promptLeft    int
		tokens        int
		hasFirstToken bool
		ended         bool
		hedge         bool
		priority      int
		seq           int
		items         []*memoryItem
	}

	// prefixCache holds the most recently used prefixes, up to limit tokens in total; order starts with the oldest.
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

// submit queues an attempt on the engine by priority, then by arrival. The prompt includes the tokens that earlier
// attempts of the call generated, without the cached prefix.
func (s *sim) submit(e *engine, a *attempt) {
	c := a.call.trace
	a.promptLeft = c.PromptTokens + a.call.tokens - e.cache.use(c.PrefixHash, c.PrefixTokens)
	a.promptLeft = max(a.promptLeft, 1)
	pos := sort.Search(len(e.queue), func(i int) bool { return e.queue[i].priority > a.priority })
	e.queue = append(e.queue, nil)
	copy(e.queue[pos+1:], e.queue[pos:])
	e.queue[pos] = a
	if !e.busy {
		s.iterate(e)
	}
}

// iterate runs one iteration of the batch: it generates one token for every sequence whose prompt is computed, and
// spends up to ChunkTokens on the remaining prompts in batch order.
func (s *sim) iterate(e *engine) {
	e.admit()
	e.busy = len(e.running) > 0 && e.up
	if !e.busy {
		return
	}
	chunk := e.speed.ChunkTokens
	decodeCount := 0
	var decoded []*attempt
	for _, a := range e.running {
		if a.promptLeft > 0 {
			n := min(a.promptLeft, chunk)
			chunk -= n
			a.promptLeft -= n
		}
		if a.promptLeft == 0 {
			decodeCount++
			decoded = append(decoded, a)
		}
	}
	prefill := float64(e.speed.ChunkTokens - chunk)
	durationMS := e.speed.BaseMS + e.speed.PerSeqMS*float64(decodeCount) + e.speed.PerPromptTokenMS*prefill
	epoch := e.epoch
	s.after(durationMS*e.slowdown, func() {
		if e.epoch != epoch {
			return
		}
		for _, a := range decoded {
			if !a.ended {
				e.tokens++
				s.deliverToken(a)
			}
		}
		s.iterate(e)
	})
}

// admit drops ended attempts and fills the batch from the queue. The batch is ordered by priority, then by arrival,
// which is the order in which prompts are computed.
func (e *engine) admit() {
	e.running = unended(e.running)
	e.queue = unended(e.queue)
	for len(e.running) < e.maxSeqs && len(e.queue) > 0 {
		a := e.queue[0]
		e.queue = e.queue[1:]
		pos := sort.Search(len(e.running), func(i int) bool { return e.running[i].priority > a.priority })
		e.running = append(e.running, nil)
		copy(e.running[pos+1:], e.running[pos:])
		e.running[pos] = a
	}
}

func unended(list []*attempt) []*attempt {
	out := list[:0]
	for _, a := range list {
		if !a.ended {
			out = append(out, a)
		}
	}
	return out
}

func (e *engine) attemptCount() int { return len(unended(e.running)) + len(unended(e.queue)) }

func (e *engine) usedMB() int {
	sum := 0
	for _, h := range e.items {
		sum += h.memoryMB
	}
	return sum
}

func (e *engine) serves(name string) bool {
	h := e.items[name]
	return h != nil && h.resident && !h.unloading
}

func (e *engine) addItem(h *memoryItem) {
	e.items[h.name] = h
	e.order = append(e.order, h.name)
}

func (e *engine) removeItem(name string) {
	delete(e.items, name)
	for i, n := range e.order {
		if n == name {
			e.order = append(e.order[:i:i], e.order[i+1:]...)
			return
		}
	}
}

// laggedReport returns the newest report that is at least lagMS old, or a zero report.
func (e *engine) laggedReport(nowMS, lagMS float64) report {
	for i := len(e.reports) - 1; i >= 0; i-- {
		if e.reports[i].atMS <= nowMS-lagMS {
			return e.reports[i]
		}
	}
	return report{}
}

// use returns how many tokens of a prefix are cached, stores the prefix as the most recently used one and evicts the
// oldest ones beyond the limit.
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
