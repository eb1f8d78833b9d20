package sched

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/topo"
)

// cache estimates which prompt parts an engine keeps; the least recently used part yields.
type cache struct {
	room  int
	used  int
	order *list.List
	parts map[uint64]*list.Element
}

type kept struct {
	key    uint64
	tokens int
}

func newCache(room int) *cache {
	return &cache{room: room, order: list.New(), parts: make(map[uint64]*list.Element)}
}

// keys returns one key for each part, which stands for that part after all parts before it.
func keys(d *topo.CallSpec) []uint64 {
	out := make([]uint64, 0, len(d.Segments))
	h := xxhash.Sum64String(d.Model + "/" + d.Adapter)
	var b [16]byte
	for _, p := range d.Segments {
		binary.LittleEndian.PutUint64(b[:8], h)
		binary.LittleEndian.PutUint64(b[8:], p.ID)
		h = xxhash.Sum64(b[:])
		out = append(out, h)
	}
	return out
}

// known returns how many tokens of the prompt are kept.
func (c *cache) known(chain []uint64, parts []topo.PromptSegment) int {
	tokens := 0
	for i, k := range chain {
		if _, ok := c.parts[k]; !ok {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

func (c *cache) add(chain []uint64, parts []topo.PromptSegment) {
	for i := len(chain) - 1; i >= 0; i-- {
		if e, ok := c.parts[chain[i]]; ok {
			c.order.MoveToFront(e)
			continue
		}
		c.parts[chain[i]] = c.order.PushFront(kept{key: chain[i], tokens: parts[i].Tokens})
		c.used += parts[i].Tokens
	}
	for c.used > c.room && c.order.Len() > 0 {
		e := c.order.Back()
		old := e.Value.(kept)
		c.order.Remove(e)
		delete(c.parts, old.key)
		c.used -= old.tokens
	}
}
