package sched

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// reserveEngines reserves some engines of each model for long prompts (see longPromptShare), so that other calls do not
// queue behind them.
func (s *Scheduler) reserveEngines(now time.Time) {
	if now.Sub(s.reservedAt) < reserveInterval {
		return
	}
	s.reservedAt = now
	replicas := make(map[string][]*engine)
	reserved := make(map[*engine]bool)
	for _, e := range s.engines {
		for model := range e.models {
			if s.serves(now, e, model) {
				replicas[model] = append(replicas[model], e)
			}
		}
	}
	names := make([]string, 0, len(replicas))
	for name := range replicas {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(replicas[b]), len(replicas[a])), strings.Compare(a, b))
	})
	for _, name := range names {
		list := replicas[name]
		if len(list) < minReservedReplicas {
			continue
		}
		slices.SortFunc(list, func(a, b *engine) int {
			return cmp.Or(compareBool(reserved[b], reserved[a]), compareBool(b.reserved, a.reserved),
				cmp.Compare(len(a.tickets), len(b.tickets)), strings.Compare(a.ID, b.ID))
		})
		for _, e := range list[:int(math.Ceil(reservedShare*float64(len(list))))] {
			reserved[e] = true
		}
	}
	for _, e := range s.engines {
		e.reserved = reserved[e]
	}
}

// compareBool compares two values for sorting, with false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
