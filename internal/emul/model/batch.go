package model

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/engine"
)

// maxAttempts is the number of attempts that the record keeps; later ones are executed but not recorded.
const maxAttempts = 100_000

type (
	// batch emulates continuous batching: each iteration takes time and gives one token to every running sequence.
	batch struct {
		running   []*sequence
		waiting   []*sequence
		iterating bool
		samples   []loadSample
	}

	// sequence is the state of one generation in the batch.
	sequence struct {
		call         engine.Call
		nextIndex    int
		out          chan int // token indexes to send; the value MaxTokens means the final event
		aborted      chan struct{}
		ended        bool
		attempt      *Attempt // its entry in the record
		prefillWords int      // number of words to prefill, from uncachedWords
	}

	// loadSample holds the load metrics at the start of an iteration.
	loadSample struct {
		at         time.Time
		running    int
		waiting    int
		tokensPerS float64
	}
)

// Token returns token i of the response to c, which is the same on every engine.
func Token(c engine.Call, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d\x00%d", c.Model, c.Adapter, c.Prompt, c.Seed, i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// enqueue adds the call to the queue of the batch, or returns the body of the rejection.
func (e *Engine) enqueue(c engine.Call) (*sequence, *errorBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.record.Refused++
		return nil, &errorBody{Code: "leaving", Message: "engine is leaving", NotRun: true, Leaving: true}
	}
	for _, item := range []string{c.Model, c.Adapter} {
		if item != "" && !e.isResident(item) {
			e.record.Refused++
			return nil, &errorBody{Code: "not_loaded", Message: fmt.Sprintf("%q is not resident", item), NotRun: true}
		}
	}
	from := len(c.DeliveredTokens)
	s := &sequence{
		call: c, nextIndex: from, out: make(chan int, c.MaxTokens+1), aborted: make(chan struct{}),
		prefillWords: e.uncachedWords(c),
		attempt: &Attempt{
			AttemptID: c.AttemptID, RequestID: c.RequestID, Item: cmp.Or(c.Adapter, c.Model), From: from, Next: from,
		},
	}
	if len(e.attempts) < maxAttempts {
		e.attempts = append(e.attempts, s.attempt)
	}
	e.batch.waiting = append(e.batch.waiting, s)
	if !e.batch.iterating {
		e.startIteration()
	}
	return s, nil
}

// recordSent records in the attempt that the event was sent.
func (e *Engine) recordSent(s *sequence, ev engine.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.attempt.Done = ev.Final
	if !ev.Final {
		s.attempt.Next = ev.Index + 1
	}
}

// finish ends the sequence, which the next iteration then removes from the batch. An attempt without a final event is
// recorded as cancelled.
func (e *Engine) finish(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ended = true
	s.attempt.Cancelled = !s.attempt.Done
}

// startIteration starts the next iteration and a timer for its end; it does nothing if no sequence is left.
func (e *Engine) startIteration() {
	d, ok := e.admit()
	e.batch.recordLoad(e.LoadLag, d)
	e.batch.iterating = ok
	if !ok {
		return
	}
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.batch.step()
		e.startIteration()
	})
}

// admit removes ended sequences and admits waiting ones, lowest Priority value first, up to MaxSeqs. It returns the
// duration of the next iteration, and false if no sequence is left.
func (e *Engine) admit() (time.Duration, bool) {
	b := &e.batch
	ended := func(s *sequence) bool { return s.ended }
	b.running = slices.DeleteFunc(b.running, ended)
	b.waiting = slices.DeleteFunc(b.waiting, ended)
	slices.SortStableFunc(b.waiting, func(x, y *sequence) int { return cmp.Compare(x.call.Priority, y.call.Priority) })
	n := min(len(b.waiting), cmp.Or(e.MaxSeqs, defaultMaxSeqs)-len(b.running))
	d := e.StepTime
	for _, s := range b.waiting[:n] {
		d += time.Duration(s.prefillWords) * e.PrefillTime
	}
	b.running = append(b.running, b.waiting[:n]...)
	b.waiting = slices.Delete(b.waiting, 0, n)
	d += time.Duration(len(b.running)) * e.SeqTime
	if slowdown := e.Fault.Spec().Slowdown; slowdown > 0 {
		d = time.Duration(float64(d) * slowdown)
	}
	return d, len(b.running) > 0
}

// step gives one token to every running sequence; after the last token it adds the final event and ends the sequence.
func (b *batch) step() {
	for _, s := range b.running {
		if s.ended {
			continue
		}
		if s.nextIndex < s.call.MaxTokens {
			s.out <- s.nextIndex
			s.nextIndex++
		}
		if s.nextIndex >= s.call.MaxTokens {
			s.out <- s.call.MaxTokens
			s.ended = true
		}
	}
}

// abortAll ends all sequences and makes their handlers close the connections.
func (b *batch) abortAll() {
	for _, s := range append(b.running, b.waiting...) {
		if !s.ended {
			s.ended = true
			close(s.aborted)
		}
	}
	b.running, b.waiting = nil, nil
}

// recordLoad adds a sample for an iteration of duration d. It keeps the samples that are at most lag old and the
// newest of the older ones, because that one is the value to report when the load metrics are lag old.
func (b *batch) recordLoad(lag, d time.Duration) {
	now := time.Now()
	s := loadSample{at: now, running: len(b.running), waiting: len(b.waiting)}
	if s.running > 0 && d > 0 {
		s.tokensPerS = float64(s.running) / d.Seconds()
	}
	b.samples = append(b.samples, s)
	for len(b.samples) > 1 && b.samples[1].at.Before(now.Add(-lag)) {
		b.samples = b.samples[1:]
	}
}

// loadAt returns the newest sample that is not after t.
func (b *batch) loadAt(t time.Time) loadSample {
	var newest loadSample
	for _, s := range b.samples {
		if s.at.After(t) {
			break
		}
		newest = s
	}
	return newest
}

// uncachedWords returns the number of words to prefill: those of the prompt and of the delivered tokens that are not in
// the prefix cache. It adds them to the cache.
func (e *Engine) uncachedWords(c engine.Call) int {
	words := append(strings.Fields(c.Prompt), c.DeliveredTokens...)
	missed := e.cache.add(c.Model, words, e.CacheBlocks)
	e.record.WordsPrefilled += missed
	if missed < len(words) {
		e.record.PrefixHits++
	}
	return missed
}
