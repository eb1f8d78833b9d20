package hedge

import "time"

const (
	// creditTime is how long a call can pay for a hedge. With a share of 0.02 a host needs 5 calls/s of a service.
	creditTime = 10 * time.Second
	// slotTime is the resolution of the times of calls; calls expire up to one slot early.
	slotTime = 250 * time.Millisecond
	slots    = int64(creditTime / slotTime)
)

// credit counts the calls of the last creditTime that have not paid for a hedge, by slot. Times are relative to that of
// the first call.
type credit struct {
	origin  time.Time
	current int64 // newest slot
	calls   [slots]int
	total   int
}

// advance drops the calls that have expired.
func (c *credit) advance(now time.Time) {
	if c.origin.IsZero() {
		c.origin = now
	}
	slot := int64(now.Sub(c.origin) / slotTime)
	for n := int64(0); c.current < slot; c.current++ {
		if n++; n > slots {
			c.current = slot
			return
		}
		oldest := &c.calls[(c.current+1)%slots]
		c.total -= *oldest
		*oldest = 0
	}
}

func (c *credit) add(now time.Time) {
	c.advance(now)
	c.calls[c.current%slots]++
	c.total++
}

// take takes the n calls that would expire first and reports whether there were as many.
func (c *credit) take(now time.Time, n int) bool {
	c.advance(now)
	if c.total < n {
		return false
	}
	c.total -= n
	for i := c.current + 1; n > 0; i++ {
		calls := &c.calls[i%slots]
		taken := min(n, *calls)
		*calls -= taken
		n -= taken
	}
	return true
}
