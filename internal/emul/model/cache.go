package model

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/emul/fault"
)

const (
	// blockWords is the number of words in one block of the prefix cache.
	blockWords = 16
	// lostEventPeriod means that every tenth cache event is lost: its number is used, but it is never published.
	lostEventPeriod = 10
	// maxEvents is the number of cache events that are kept.
	maxEvents = 10_000
)

type (
	// cache is an LRU prefix cache. It holds one hash per complete block of a prompt, least recently used first.
	cache struct {
		blocks []string
		events []CacheEvent
		seq    int64 // number of the last event, lost ones included
	}

	// CacheEvent reports that a block was added to the prefix cache or evicted from it.
	CacheEvent struct {
		Seq     int64     `json:"seq"`
		At      time.Time `json:"at"`
		Block   string    `json:"block"`
		Evicted bool      `json:"gone,omitempty"`
	}

	// kvBody is the request body of an export, and the body of its response and of an import.
	kvBody struct {
		Model  string   `json:"model,omitempty"`
		Prompt string   `json:"prompt,omitempty"`
		Blocks []string `json:"blocks"`
	}
)

// blocksOf returns one hash for each complete block of words; it covers the model and all words up to the block's end.
func blocksOf(model string, words []string) []string {
	var out []string
	h := xxhash.New()
	_, _ = h.WriteString(model)
	for i, w := range words {
		_, _ = h.WriteString("\x00" + w)
		if (i+1)%blockWords == 0 {
			out = append(out, strconv.FormatUint(h.Sum64(), 16))
		}
	}
	return out
}

// add puts the blocks of words into a cache of size blocks. It returns the number of words after the longest cached
// prefix.
func (c *cache) add(model string, words []string, size int) int {
	missed := len(words)
	hit := true
	for _, b := range blocksOf(model, words) {
		hit = c.touch(b, size) && hit
		if hit {
			missed -= blockWords
		}
	}
	return missed
}

// touch makes the block the most recently used one, evicts the oldest one if the cache is full, and reports whether the
// block was cached before. A cache of size 0 stores nothing.
func (c *cache) touch(block string, size int) bool {
	if size == 0 {
		return false
	}
	i := slices.Index(c.blocks, block)
	if i >= 0 {
		c.blocks = append(slices.Delete(c.blocks, i, i+1), block)
		return true
	}
	c.blocks = append(c.blocks, block)
	c.recordEvent(block, false)
	if len(c.blocks) > size {
		c.recordEvent(c.blocks[0], true)
		c.blocks = c.blocks[1:]
	}
	return false
}

// recordEvent adds a cache event, unless it is one of those that are lost.
func (c *cache) recordEvent(block string, evicted bool) {
	c.seq++
	if c.seq%lostEventPeriod == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, At: time.Now(), Block: block, Evicted: evicted})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// cacheEvents responds with the events after the sequence number "since" that are at least CacheLag old.
func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	e.mu.Lock()
	out := []CacheEvent{}
	for _, ev := range e.cache.events {
		if ev.Seq > since && time.Since(ev.At) >= e.CacheLag {
			out = append(out, ev)
		}
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, map[string]any{"events": out})
}

// exportKV responds with the cached blocks of a prompt.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var in kvBody
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	out := kvBody{Blocks: []string{}}
	e.mu.Lock()
	for _, b := range blocksOf(in.Model, strings.Fields(in.Prompt)) {
		if slices.Contains(e.cache.blocks, b) {
			out.Blocks = append(out.Blocks, b)
		}
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

// importKV adds exported blocks to the cache.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var in kvBody
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	for _, b := range in.Blocks {
		e.cache.touch(b, e.CacheBlocks)
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, struct{}{})
}
