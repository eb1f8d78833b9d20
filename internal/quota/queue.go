package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// agingStep is the wait that lifts an ask by one urgency, so that repairs cannot starve demand for ever.
const agingStep = time.Minute

type (
	// ask is one load that waits for a ticket or, with held set, has one.
	ask struct {
		id    int64
		msg   wire.LoadRequest
		since time.Time
		held  bool
	}

	// queue decides who gets the next ticket; it is pure and belongs to one goroutine.
	queue struct {
		asks    []*ask
		nextID  int64
		tokens  float64
		filled  time.Time
		silent  time.Time
		contact map[string]time.Time
	}

	// bounds are the limits after the shares of pools without contact are withheld.
	bounds struct {
		rate             float64
		atOnce, adapters int
	}
)

// gain starts a term: nothing is granted before silent ends, while owners register the tickets that they hold.
func (q *queue) gain(now time.Time, silence time.Duration) {
	*q = queue{nextID: q.nextID, filled: now, silent: now.Add(silence), contact: make(map[string]time.Time)}
}

func (q *queue) add(now time.Time, m wire.LoadRequest) int64 {
	q.nextID++
	if m.Held {
		q.asks = slices.DeleteFunc(q.asks, func(a *ask) bool { return a.held && sameLoad(a.msg, m) })
	}
	q.asks = append(q.asks, &ask{id: q.nextID, msg: m, since: now, held: m.Held})
	return q.nextID
}

// remove ends an ask or returns its ticket.
func (q *queue) remove(id int64) {
	q.asks = slices.DeleteFunc(q.asks, func(a *ask) bool { return a.id == id })
}

// step grants what the bounds allow, and returns when it may grant again although nothing changes, or zero.
func (q *queue) step(now time.Time, b bounds) (granted []int64, next time.Time) {
	q.fill(now, b.rate)
	if now.Before(q.silent) {
		return nil, q.silent
	}
	models, adapters := q.held()
	for _, a := range q.waiting(now) {
		if a.msg.Adapter {
			if b.adapters > 0 && adapters >= b.adapters || b.adapters < 0 {
				continue
			}
			adapters++
		} else {
			if b.atOnce > 0 && models >= b.atOnce || b.atOnce < 0 {
				continue
			}
			if b.rate > 0 && q.tokens < 1 {
				next = now.Add(time.Duration((1 - q.tokens) / b.rate * float64(time.Second)))
				next = next.Add(time.Millisecond)
				continue
			}
			q.tokens--
			models++
		}
		a.held = true
		granted = append(granted, a.id)
	}
	return granted, next
}

// fill adds tokens; one at most is kept, so that a window of t seconds sees at most 1 + rate * t loads.
func (q *queue) fill(now time.Time, rate float64) {
	q.tokens = min(1, q.tokens+now.Sub(q.filled).Seconds()*rate)
	q.filled = now
	if rate <= 0 {
		q.tokens = 1
	}
}

func (q *queue) held() (models, adapters int) {
	for _, a := range q.asks {
		switch {
		case a.held && a.msg.Adapter:
			adapters++
		case a.held:
			models++
		}
	}
	return models, adapters
}

// waiting returns the asks without a ticket, most urgent first, then oldest first.
func (q *queue) waiting(now time.Time) []*ask {
	var out []*ask
	for _, a := range q.asks {
		if !a.held {
			out = append(out, a)
		}
	}
	urgency := func(a *ask) int { return max(0, a.msg.Urgency-int(now.Sub(a.since)/agingStep)) }
	slices.SortStableFunc(out, func(a, b *ask) int {
		if c := cmp.Compare(urgency(a), urgency(b)); c != 0 {
			return c
		}
		return a.since.Compare(b.since)
	})
	return out
}

// bounds withholds the shares of pools that may be using them because they have no contact.
func (q *queue) bounds(now time.Time, w envdoc.WeightStore, pools []string, term time.Duration) bounds {
	s := share(w, len(pools))
	b := bounds{rate: w.LoadsPerS, atOnce: w.AtOnce, adapters: w.AdaptersInTransit}
	for _, p := range pools {
		if at, ok := q.contact[p]; ok && now.Sub(at) < term {
			continue
		}
		if s.atOnce > 0 || w.AtOnce == 0 {
			b.rate -= s.rate
			b.atOnce -= s.atOnce
		}
		b.adapters -= s.adapters
	}
	return b.closed(w)
}

// closed marks a limit of which nothing is left by -1, because 0 means no limit.
func (b bounds) closed(w envdoc.WeightStore) bounds {
	const least = 1e-9
	if w.AtOnce > 0 && b.atOnce <= 0 || w.LoadsPerS > 0 && b.rate < least {
		b.atOnce = -1
	}
	if w.AdaptersInTransit > 0 && b.adapters <= 0 {
		b.adapters = -1
	}
	return b
}

// share is what one pool may use without a keeper.
func share(w envdoc.WeightStore, pools int) bounds {
	n := max(1, pools)
	return bounds{rate: w.LoadsPerS / float64(n), atOnce: w.AtOnce / n, adapters: w.AdaptersInTransit / n}
}

func sameLoad(a, b wire.LoadRequest) bool {
	return a.Pool == b.Pool && a.Engine == b.Engine && a.Item == b.Item
}
