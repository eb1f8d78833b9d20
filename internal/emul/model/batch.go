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

// maxAttempts bounds the record; later attempts run but are not recorded.
const maxAttempts = 100_000

type (
	// batch runs sequences by iterations: each one costs time and gives every running sequence a token.
	batch struct {
		running   []*sequence
		waiting   []*sequence
		iterating bool
		samples   []sample
	}

	sequence struct {
		call    engine.Call
		next    int
		out     chan int // indexes of tokens; MaxTokens stands for the final event
		cut     chan struct{}
		ended   bool
		attempt *Attempt // for the record
		words   int      // prompt words to prefill
	}

	sample struct {
		at         time.Time
		running    int
		waiting    int
		tokensPerS float64
	}
)

// Token returns token i of the answer to c, whatever engine gives it.
func Token(c engine.Call, i int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%s\x00%d\x00%d", c.Model, c.Adapter, c.Prompt, c.Seed, i))
	return fmt.Sprintf("w%04x ", h&0xffff)
}

// start queues the call, or tells why it is not run.
func (e *Engine) start(c engine.Call) (*sequence, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.record.Refused++
		return nil, &refusal{Code: "leaving", Message: "engine is leaving", NotRun: true, Leaving: true}
	}
	for _, item := range []string{c.Model, c.Adapter} {
		if item != "" && !e.resident(item) {
			e.record.Refused++
			return nil, &refusal{Code: "not_loaded", Message: fmt.Sprintf("%q is not resident", item), NotRun: true}
		}
	}
	from := len(c.DeliveredTokens)
	s := &sequence{
		call: c, next: from, out: make(chan int, c.MaxTokens+1), cut: make(chan struct{}), words: e.prefill(c),
		attempt: &Attempt{
			AttemptID: c.AttemptID, RequestID: c.RequestID, Item: cmp.Or(c.Adapter, c.Model), From: from, Next: from,
		},
	}
	if len(e.attempts) < maxAttempts {
		e.attempts = append(e.attempts, s.attempt)
	}
	e.batch.waiting = append(e.batch.waiting, s)
	if !e.batch.iterating {
		e.iterate()
	}
	return s, nil
}

// sent records the token or final event that has been sent.
func (e *Engine) sent(s *sequence, ev engine.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.attempt.Done = ev.Final
	if !ev.Final {
		s.attempt.Next = ev.Index + 1
	}
}

// finish takes the sequence out of the batch; one that has not ended is cancelled.
func (e *Engine) finish(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ended = true
	s.attempt.Cancelled = !s.attempt.Done
}

// iterate starts the next iteration, which ends by a timer; without sequences there is none.
func (e *Engine) iterate() {
	d, ok := e.admit()
	e.batch.sample(e.LoadLag, d)
	e.batch.iterating = ok
	if !ok {
		return
	}
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.batch.step()
		e.iterate()
	})
}

// admit drops ended sequences, fills the batch by priority and returns the time of the next iteration.
func (e *Engine) admit() (time.Duration, bool) {
	b := &e.batch
	ended := func(s *sequence) bool { return s.ended }
	b.running = slices.DeleteFunc(b.running, ended)
	b.waiting = slices.DeleteFunc(b.waiting, ended)
	slices.SortStableFunc(b.waiting, func(x, y *sequence) int { return cmp.Compare(x.call.Priority, y.call.Priority) })
	n := min(len(b.waiting), cmp.Or(e.MaxSeqs, defaultMaxSeqs)-len(b.running))
	d := e.StepTime
	for _, s := range b.waiting[:n] {
		d += time.Duration(s.words) * e.PrefillTime
	}
	b.running = append(b.running, b.waiting[:n]...)
	b.waiting = slices.Delete(b.waiting, 0, n)
	d += time.Duration(len(b.running)) * e.SeqTime
	if slow := e.Fault.Spec().Slowdown; slow > 0 {
		d = time.Duration(float64(d) * slow)
	}
	return d, len(b.running) > 0
}

// step gives every running sequence a token; a sequence past its last token gets its final event and ends.
func (b *batch) step() {
	for _, s := range b.running {
		if s.ended {
			continue
		}
		if s.next < s.call.MaxTokens {
			s.out <- s.next
			s.next++
		}
		if s.next >= s.call.MaxTokens {
			s.out <- s.call.MaxTokens
			s.ended = true
		}
	}
}

func (b *batch) cutAll() {
	for _, s := range append(b.running, b.waiting...) {
		if !s.ended {
			s.ended = true
			close(s.cut)
		}
	}
	b.running, b.waiting = nil, nil
}

// sample keeps the load figures of the last lag and the newest older one.
func (b *batch) sample(lag, d time.Duration) {
	now := time.Now()
	s := sample{at: now, running: len(b.running), waiting: len(b.waiting)}
	if s.running > 0 && d > 0 {
		s.tokensPerS = float64(s.running) / d.Seconds()
	}
	b.samples = append(b.samples, s)
	for len(b.samples) > 1 && b.samples[1].at.Before(now.Add(-lag)) {
		b.samples = b.samples[1:]
	}
}

// loadAt returns the newest sample that is not after t.
func (b *batch) loadAt(t time.Time) sample {
	var found sample
	for _, s := range b.samples {
		if s.at.After(t) {
			break
		}
		found = s
	}
	return found
}

// prefill returns how many words of the call are not in the prefix cache, and puts them there.
func (e *Engine) prefill(c engine.Call) int {
	words := append(strings.Fields(c.Prompt), c.DeliveredTokens...)
	missed := e.cache.add(c.Model, words, e.CacheBlocks)
	e.record.WordsPrefilled += missed
	if missed < len(words) {
		e.record.PrefixHits++
	}
	return missed
}
