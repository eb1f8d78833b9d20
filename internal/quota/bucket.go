package quota

import "time"

// bucket is a token bucket. Its level may be below zero.
type bucket struct {
	level float64
	at    time.Time // time as of which the level holds
}

// refill adds what has flowed in until now, and cuts the level to the capacity.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if now.After(b.at) {
		b.level += rate * now.Sub(b.at).Seconds()
		b.at = now
	}
	b.level = min(b.level, capacity)
}

// fillTime returns the time in which so many units flow in, at most limit.
func fillTime(units, rate float64, limit time.Duration) time.Duration {
	if units <= 0 {
		return 0
	}
	if s := units / rate; rate > 0 && s < limit.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return limit
}
