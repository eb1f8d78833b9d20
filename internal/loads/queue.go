package loads

import (
	"cmp"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// agingStep is the waiting time after which a request becomes more urgent by one level, so that a steady flow of
// repairs cannot starve loads for demand.
const agingStep = time.Minute

type (
	// loadRequest is a load that waits for a ticket or has one.
	loadRequest struct {
		id        int64
		msg       wire.LoadRequest
		queuedAt  time.Time
		hasTicket bool
	}

	// queue decides which load gets the next ticket. It reads no clock, and it is not safe for concurrent use.
	queue struct {
		requests []*loadRequest
		nextID   int64
		// tokens is the fill of the token bucket for loads_per_s at refilledAt.
		tokens     float64
		refilledAt time.Time
		// grantsFrom is when the startup delay of the term ends.
		grantsFrom time.Time
		// lastContact is when each pool last contacted the limiter.
		lastContact map[string]time.Time
	}

	// storeLimits holds the limits for all pools or for one: 0 means no limit, -1 that nothing is left.
	storeLimits struct {
		loadsPerS        float64
		atOnce, adapters int
	}
)

// startTerm starts a lease term. Nothing is granted during startupDelay, in which clients register the tickets that
// they hold.
func (q *queue) startTerm(now time.Time, startupDelay time.Duration) {
	*q = queue{
		nextID: q.nextID, refilledAt: now, grantsFrom: now.Add(startupDelay),
		lastContact: make(map[string]time.Time),
	}
}

// add adds a request and returns its id. A ticket that is registered again replaces its earlier registration.
func (q *queue) add(now time.Time, req wire.LoadRequest) int64 {
	q.nextID++
	if req.Held {
		q.requests = slices.DeleteFunc(q.requests, func(r *loadRequest) bool {
			return r.hasTicket && sameLoad(r.msg, req)
		})
	}
	q.requests = append(q.requests, &loadRequest{id: q.nextID, msg: req, queuedAt: now, hasTicket: req.Held})
	return q.nextID
}

// remove cancels a request or returns its ticket.
func (q *queue) remove(id int64) {
	q.requests = slices.DeleteFunc(q.requests, func(r *loadRequest) bool { return r.id == id })
}

// step grants what the limits allow. It returns the ids of the granted requests, and the time from which it may grant
// more even if nothing else changes, or zero.
func (q *queue) step(now time.Time, limits storeLimits) (granted []int64, next time.Time) {
	q.refill(now, limits.loadsPerS)
	if now.Before(q.grantsFrom) {
		return nil, q.grantsFrom
	}
	models, adapters := q.countTickets()
	for _, r := range q.waiting(now) {
		if r.msg.Adapter {
			if limits.adapters > 0 && adapters >= limits.adapters || limits.adapters < 0 {
				continue
			}
			adapters++
		} else {
			if limits.atOnce > 0 && models >= limits.atOnce || limits.atOnce < 0 {
				continue
			}
			if limits.loadsPerS > 0 && q.tokens < 1 {
				next = now.Add(time.Duration((1 - q.tokens) / limits.loadsPerS * float64(time.Second)))
				next = next.Add(time.Millisecond)
				continue
			}
			q.tokens--
			models++
		}
		r.hasTicket = true
		granted = append(granted, r.id)
	}
	return granted, next
}

// refill adds tokens for the time since the last call. The bucket holds at most one, so that at most 1 + rate*t loads
// begin in any t seconds.
func (q *queue) refill(now time.Time, rate float64) {
	q.tokens = min(1, q.tokens+now.Sub(q.refilledAt).Seconds()*rate)
	q.refilledAt = now
	if rate <= 0 {
		q.tokens = 1
	}
}

// countTickets counts the loads of models and of adapters that have a ticket.
func (q *queue) countTickets() (models, adapters int) {
	for _, r := range q.requests {
		switch {
		case r.hasTicket && r.msg.Adapter:
			adapters++
		case r.hasTicket:
			models++
		}
	}
	return models, adapters
}

// waiting returns the requests without a ticket, most urgent first, then oldest first.
func (q *queue) waiting(now time.Time) []*loadRequest {
	var out []*loadRequest
	for _, r := range q.requests {
		if !r.hasTicket {
			out = append(out, r)
		}
	}
	urgency := func(r *loadRequest) int { return max(0, r.msg.Urgency-int(now.Sub(r.queuedAt)/agingStep)) }
	slices.SortStableFunc(out, func(x, y *loadRequest) int {
		if c := cmp.Compare(urgency(x), urgency(y)); c != 0 {
			return c
		}
		return x.queuedAt.Compare(y.queuedAt)
	})
	return out
}

// available returns the limits without the shares of pools that have had no contact for a lease time: these may be
// using their shares.
func (q *queue) available(
	now time.Time, total envdoc.WeightStore, pools []string, leaseTime time.Duration,
) storeLimits {
	share := poolShare(total, len(pools))
	limits := storeLimits{loadsPerS: total.LoadsPerS, atOnce: total.AtOnce, adapters: total.AdaptersInTransit}
	for _, p := range pools {
		if at, ok := q.lastContact[p]; ok && now.Sub(at) < leaseTime {
			continue
		}
		// A pool whose share of at_once is 0 cannot load models by itself, so its share of the rate stays available.
		if share.atOnce > 0 || total.AtOnce == 0 {
			limits.loadsPerS -= share.loadsPerS
			limits.atOnce -= share.atOnce
		}
		limits.adapters -= share.adapters
	}
	return limits.markExhausted(total)
}

// markExhausted sets limits of which nothing is left to -1, because 0 means no limit.
func (l storeLimits) markExhausted(total envdoc.WeightStore) storeLimits {
	const epsilon = 1e-9 // rounding error of the subtracted rates
	if total.AtOnce > 0 && l.atOnce <= 0 || total.LoadsPerS > 0 && l.loadsPerS < epsilon {
		l.atOnce = -1
	}
	if total.AdaptersInTransit > 0 && l.adapters <= 0 {
		l.adapters = -1
	}
	return l
}

// poolShare returns what one pool may use without a limiter.
func poolShare(total envdoc.WeightStore, pools int) storeLimits {
	n := max(1, pools)
	return storeLimits{
		loadsPerS: total.LoadsPerS / float64(n), atOnce: total.AtOnce / n, adapters: total.AdaptersInTransit / n,
	}
}

// sameLoad reports whether both requests are for the same item on the same engine.
func sameLoad(x, y wire.LoadRequest) bool {
	return x.Pool == y.Pool && x.Engine == y.Engine && x.Item == y.Item
}
