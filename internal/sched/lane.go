package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// setLanes keeps some engines of each model for prompts that take longer to read than streams may pause, so that short
// calls do not stand behind them.
func (d *Scheduler) setLanes(now time.Time) {
	if now.Sub(d.lanesAt) < laneEvery {
		return
	}
	d.lanesAt = now
	holders := make(map[string][]*engine)
	kept := make(map[*engine]bool)
	for _, e := range d.engines {
		for model := range e.models {
			if e.serves(now, model) {
				holders[model] = append(holders[model], e)
			}
		}
	}
	names := make([]string, 0, len(holders))
	for name := range holders {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(holders[b]), len(holders[a])), strings.Compare(a, b))
	})
	for _, name := range names {
		list := holders[name]
		if len(list) < laneLeast {
			continue
		}
		slices.SortFunc(list, func(a, b *engine) int {
			return cmp.Or(less(kept[b], kept[a]), less(b.lane, a.lane), cmp.Compare(len(a.tickets), len(b.tickets)),
				strings.Compare(a.ID, b.ID))
		})
		for _, e := range list[:int(math.Ceil(laneShare*float64(len(list))))] {
			kept[e] = true
		}
	}
	for _, e := range d.engines {
		e.lane = kept[e]
	}
}

// less orders false before true.
func less(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
