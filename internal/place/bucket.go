package place

import "time"

const (
	// loadRateShare is the share of the weight store's rate that is used. The rest is left for orders whose responses
	// were lost and that may still be executed later.
	loadRateShare = 0.95
	// loadBurst is the number of loads from the weight store that may start at once, besides those that the rate allows
	// within burstInterval. A plan that comes late by less than that starts as many loads as punctual ones.
	loadBurst     = 2.0
	burstInterval = 250 * time.Millisecond
)

// tokenBucket limits the rate at which loads from the weight store start.
type tokenBucket struct {
	tokens float64
	filled time.Time // when tokens was last refilled
}

// refill adds the tokens for the time since the last call; perS is the rate of the weight store in loads per second.
func (b *tokenBucket) refill(now time.Time, perS float64) {
	rate := perS * loadRateShare
	if b.filled.IsZero() {
		b.filled, b.tokens = now, loadBurst
	}
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*rate, loadBurst+burstInterval.Seconds()*rate)
	b.filled = now
}

// available reports whether a load may start.
func (b *tokenBucket) available() bool { return b.tokens >= 1 }

// take removes one token.
func (b *tokenBucket) take() { b.tokens-- }
