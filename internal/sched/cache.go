package sched

import (
	"container/list"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// segmentBytes is the memory that one segment takes in the estimate of an engine's cache.
	segmentBytes = 150
	// minSegments is how many segments the estimate of each engine may hold at least.
	minSegments = 256
)

// cache estimates which prompt segments are in an engine's KV cache; it evicts the least recently used ones. Sizes are
// in tokens.
type cache struct {
	capacity int
	used     int
	recency  *list.List
	entries  map[uint64]*list.Element
}

type cacheEntry struct {
	key    uint64
	tokens int
}

func newCache(capacity int) *cache {
	return &cache{capacity: capacity, recency: list.New(), entries: make(map[uint64]*list.Element)}
}

// maxSegments returns how many prompt segments the estimate of one engine's cache may hold.
func (s *Scheduler) maxSegments() int {
	if s.CacheBytes == 0 {
		return math.MaxInt
	}
	return max(int(s.CacheBytes/segmentBytes)/max(len(s.engines), 1), minSegments)
}

// prefixKeys returns one key for each prompt segment: a hash of the model, the adapter, that segment and all segments
// before it.
func prefixKeys(c *topo.CallSpec) []uint64 {
	out := make([]uint64, 0, len(c.Segments))
	hash := xxhash.Sum64String(c.Model + "/" + c.Adapter)
	var b [16]byte
	for _, seg := range c.Segments {
		binary.LittleEndian.PutUint64(b[:8], hash)
		binary.LittleEndian.PutUint64(b[8:], seg.ID)
		hash = xxhash.Sum64(b[:])
		out = append(out, hash)
	}
	return out
}

// cachedTokens returns the number of prompt tokens in the longest cached prefix.
func (c *cache) cachedTokens(keys []uint64, segments []topo.PromptSegment) int {
	tokens := 0
	for i, k := range keys {
		if _, ok := c.entries[k]; !ok {
			break
		}
		tokens += segments[i].Tokens
	}
	return tokens
}

// add marks the segments as the most recently used ones, of which the cache holds the given number at most. It starts
// at the end, so that later segments are evicted before those that they depend on.
func (c *cache) add(keys []uint64, segments []topo.PromptSegment, most int) {
	keys = keys[:min(len(keys), most)]
	for i := len(keys) - 1; i >= 0; i-- {
		if e, ok := c.entries[keys[i]]; ok {
			c.recency.MoveToFront(e)
			continue
		}
		c.entries[keys[i]] = c.recency.PushFront(cacheEntry{key: keys[i], tokens: segments[i].Tokens})
		c.used += segments[i].Tokens
	}
	for (c.used > c.capacity || c.recency.Len() > most) && c.recency.Len() > 0 {
		e := c.recency.Back()
		old := e.Value.(cacheEntry)
		c.recency.Remove(e)
		delete(c.entries, old.key)
		c.used -= old.tokens
	}
}
