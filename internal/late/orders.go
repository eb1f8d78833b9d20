package late

import (
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

// maxDelay is how long after it was sent an order may be carried out; the platform's engines take up to 12 s.
const maxDelay = 12 * time.Second

type (
	// Orders holds orders without a response, by engine; its zero value is empty. It is not safe for concurrent use.
	Orders struct {
		byEngine map[string][]order
	}

	order struct {
		topo.Order
		boot int64     // of the instance that it was sent to
		sent time.Time // when its sender had given up waiting, or before
	}
)

// Add remembers an order that an instance may carry out later.
func (o *Orders) Add(now time.Time, id topo.Instance, sent topo.Order) {
	if o.byEngine == nil {
		o.byEngine = make(map[string][]order)
	}
	o.prune(now)
	o.byEngine[id.ID] = append(o.byEngine[id.ID], order{sent, id.Boot, now})
}

// Before returns the orders that were sent to earlier instances of an engine and that this one may still carry out.
// Those that were sent to this one are left out: the number of orders that it has accepted tells what became of them.
func (o *Orders) Before(now time.Time, id topo.Instance) []topo.Order {
	o.prune(now)
	var out []topo.Order
	for _, e := range o.byEngine[id.ID] {
		if e.boot != id.Boot {
			out = append(out, e.Order)
		}
	}
	return out
}

func (o *Orders) prune(now time.Time) {
	for id, list := range o.byEngine {
		list = slices.DeleteFunc(list, func(e order) bool { return now.Sub(e.sent) > maxDelay })
		if o.byEngine[id] = list; len(list) == 0 {
			delete(o.byEngine, id)
		}
	}
}
