package budget

import "sync"

// Budget is a token bucket for retries: each success adds Share tokens, and each retry or hedge takes one. The exported
// fields are set before use.
type Budget struct {
	Share   float64 // tokens earned per success
	Max     float64 // maximum number of tokens
	Initial float64 // initial number of tokens

	mu          sync.Mutex
	initialized bool
	tokens      float64
}

// Earn adds Share tokens for one successful call.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setInitial()
	b.tokens = min(b.tokens+b.Share, b.Max)
}

// Spend takes one token and reports whether one was available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setInitial()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// setInitial sets the initial number of tokens on first use.
func (b *Budget) setInitial() {
	if !b.initialized {
		b.initialized = true
		b.tokens = b.Initial
	}
}
