package host

import "time"

// Shares of the drain time. A host learns of a departure within maxAgeShare + takeoverShare and the time of one call to
// the store; the rest is for a call that was granted just before: the leader's reply, connecting, and the way there.
const (
	confirmShare  = 0.25
	pollShare     = 0.3
	maxAgeShare   = 0.45
	takeoverShare = 0.15
)

// ageLimits bounds the age of a host's copy of the upstreams.
type ageLimits struct {
	Confirm  time.Duration // longest time between two responses of the store to a host that watches it
	Poll     time.Duration // how long a host holds a request for changes while there is nothing to report
	Max      time.Duration // age beyond which a host watches the store itself
	Takeover time.Duration // longest random delay after Max, so that not all hosts turn to the store at once
}

// newAgeLimits returns the limits for the time within which departed upstreams must get no more calls.
func newAgeLimits(drain time.Duration) ageLimits {
	share := func(of float64) time.Duration { return time.Duration(of * float64(drain)) }
	return ageLimits{
		Confirm: share(confirmShare), Poll: share(pollShare), Max: share(maxAgeShare), Takeover: share(takeoverShare),
	}
}
