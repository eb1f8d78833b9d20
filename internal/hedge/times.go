package hedge

import (
	"math"
	"slices"
	"time"
)

const (
	// maxTimes is the number of calls of a key whose times are kept. Without minTimes there is no quantile.
	maxTimes = 128
	minTimes = 32
	// refreshInterval is the number of calls after which the quantile is computed again.
	refreshInterval = 16
	// maxKeys bounds the memory for times: 1,024 keys take 0.6 MB (calculated).
	maxKeys = 1024
	// minDelay is the minimum time before a second attempt; timers of a busy host are late by some milliseconds.
	minDelay = 5 * time.Millisecond
)

// times holds the times to the first byte of the last calls of a key, in microseconds.
type times struct {
	recent   []uint32
	next     int // position of the oldest one
	added    int // since the quantile was computed
	quantile time.Duration
	usedAt   uint64 // number of the call that used it last
}

func (t *times) add(d time.Duration) {
	us := uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
	if len(t.recent) < maxTimes {
		t.recent = append(t.recent, us)
	} else {
		t.recent[t.next] = us
		t.next = (t.next + 1) % maxTimes
	}
	t.added++
	if len(t.recent) < minTimes || t.quantile > 0 && t.added < refreshInterval {
		return
	}
	t.added = 0
	sorted := slices.Clone(t.recent)
	slices.Sort(sorted)
	i := min(int(quantile*float64(len(sorted))), len(sorted)-1)
	t.quantile = max(time.Duration(sorted[i])*time.Microsecond, minDelay)
}
