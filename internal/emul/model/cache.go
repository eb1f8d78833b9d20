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
	blockWords = 16
	// lostEvent is the period of cache events that are never published.
	lostEvent = 10
	maxEvents = 10_000
)

type (
	// cache holds hashes of prompt prefixes in whole blocks, least recently used first.
	cache struct {
		blocks []string
		events []CacheEvent
		seq    int64
	}

	// CacheEvent tells that a block entered or left the prefix cache.
	CacheEvent struct {
		Seq     int64     `json:"seq"`
		At      time.Time `json:"at"`
		Block   string    `json:"block"`
		Evicted bool      `json:"gone,omitempty"`
	}

	kvBody struct {
		Model  string   `json:"model,omitempty"`
		Prompt string   `json:"prompt,omitempty"`
		Blocks []string `json:"blocks"`
	}
)

// blocksOf returns one hash for each whole block of words, which covers all words up to its end.
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

// add puts the blocks of words into the cache and returns how many words were not there.
func (c *cache) add(model string, words []string, size int) int {
	missed := len(words)
	hit := true
	for _, b := range blocksOf(model, words) {
		hit = c.put(b, size) && hit
		if hit {
			missed -= blockWords
		}
	}
	return missed
}

// put makes the block the most recently used one and reports whether it was there.
func (c *cache) put(block string, size int) bool {
	if size == 0 {
		return false
	}
	i := slices.Index(c.blocks, block)
	if i >= 0 {
		c.blocks = append(slices.Delete(c.blocks, i, i+1), block)
		return true
	}
	c.blocks = append(c.blocks, block)
	c.event(block, false)
	if len(c.blocks) > size {
		c.event(c.blocks[0], true)
		c.blocks = c.blocks[1:]
	}
	return false
}

func (c *cache) event(block string, gone bool) {
	c.seq++
	if c.seq%lostEvent == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, At: time.Now(), Block: block, Evicted: gone})
	if len(c.events) > maxEvents {
		c.events = c.events[1:]
	}
}

// cacheEvents answers with the events after since that are old enough to be published.
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

// exportKV answers with the cached blocks of a prompt.
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

// importKV puts exported blocks into the cache.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var in kvBody
	if !fault.ReadJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	for _, b := range in.Blocks {
		e.cache.put(b, e.CacheBlocks)
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, struct{}{})
}
