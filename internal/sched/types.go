package sched

import (
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// Waiting means that the decision follows from Step.
	Waiting Kind = iota
	// Granted means that the call may be sent to the engine.
	Granted
	// Refused means that the call was not sent anywhere.
	Refused
)

const (
	// ReasonNoReplica refuses a call for a model that no engine holds in time.
	ReasonNoReplica = "no_copy_in_time"
	// ReasonOverload refuses a call that no engine can answer before its deadline.
	ReasonOverload = "overloaded"
	// ReasonUnknownModel refuses a call for a model that the configuration does not name.
	ReasonUnknownModel = "unknown_model"
)

const (
	// Served is the outcome of a call that ended with a whole answer.
	Served Outcome = iota
	// NotExecuted is the outcome of an attempt that the engine rejected.
	NotExecuted
	// NotResident is the outcome of an attempt that the engine rejected because it does not hold the model or adapter.
	NotResident
	// Failed is the outcome of an attempt whose connection failed or that the engine answered with an error.
	Failed
	// Canceled is the outcome of a call whose caller left or whose time ran out.
	Canceled
)

type (
	// Kind is the kind of a decision.
	Kind uint8

	// Outcome tells how an attempt ended.
	Outcome uint8

	// Request is a call that needs an engine.
	Request struct {
		Call          string        `cbor:"1,keyasint"`
		Service       string        `cbor:"2,keyasint"`
		Domain        string        `cbor:"3,keyasint"` // of the host that took the call
		Spec          topo.CallSpec `cbor:"4,keyasint"`
		Priority      int           `cbor:"5,keyasint"`
		TargetLatency time.Duration `cbor:"6,keyasint"` // until the first event
		Remaining     time.Duration `cbor:"7,keyasint"` // until the caller's deadline
		Tried         []string      `cbor:"8,keyasint,omitempty"`
		GapTarget     time.Duration `cbor:"9,keyasint,omitempty"` // longest pause between events that is in time
	}

	// Decision answers an ask.
	Decision struct {
		Kind   Kind   `cbor:"1,keyasint"`
		Call   string `cbor:"2,keyasint"`
		Grant  Grant  `cbor:"3,keyasint"`
		Reason string `cbor:"4,keyasint,omitempty"`
		// RetryAfter is when a refused call may be served.
		RetryAfter time.Duration `cbor:"5,keyasint,omitempty"`
	}

	// Grant names the engine that a call may be sent to.
	Grant struct {
		Ticket uint64 `cbor:"1,keyasint"`
		Engine string `cbor:"2,keyasint"`
		Addr   string `cbor:"3,keyasint"`
		Boot   int64  `cbor:"4,keyasint"`
		// PrefillTokens, PrefillTime and Streams are what the choice was based on: prompt tokens that the engine has to
		// read, time until it has read them, and calls that get events there.
		PrefillTokens int           `cbor:"5,keyasint,omitempty"`
		PrefillTime   time.Duration `cbor:"6,keyasint,omitempty"`
		Streams       int           `cbor:"7,keyasint,omitempty"`
	}

	// OpenTicket is a ticket that another desk granted.
	OpenTicket struct {
		Request    Request `cbor:"1,keyasint"`
		Grant      Grant   `cbor:"2,keyasint"`
		FirstEvent bool    `cbor:"3,keyasint"` // its first event has arrived
	}

	// AdapterLoad asks for an adapter to be loaded; Evict is an adapter that makes way, or empty.
	AdapterLoad struct {
		Engine       string
		Model        string
		Adapter      string
		EvictModel   string
		EvictAdapter string
	}

	// ModelDemand is how much work a model has brought, for placement.
	ModelDemand struct {
		OfferedLoad float64 // seconds of one engine per second
		Waiting     int     // calls that no engine can take
		Requested   bool    // any call has asked for it
	}

	adapter struct {
		calls   int
		lastUse time.Time
		ready   time.Time
		pending bool // ordered, not known to be there
		leaving bool // an order to unload it is on its way
	}

	ticket struct {
		id      uint64
		ask     Request
		engine  *engine
		granted time.Time
		prefill time.Duration
		tokens  int // prompt tokens to read
		memory  int
		alone   bool
		first   bool
	}

	ask struct {
		Request
		chain    []uint64 // keys of the prompt's parts
		arrived  time.Time
		deadline time.Time
		engine   string        // where the adapter is being loaded
		least    time.Duration // until the first event on an engine without other work
	}
)

func newAsk(now time.Time, q Request) *ask {
	return &ask{Request: q, chain: keys(&q.Spec), arrived: now, deadline: now.Add(q.Remaining)}
}

// key names the adapter that the call asks for.
func (a *Request) key() topo.Adapter { return topo.Adapter{Model: a.Spec.Model, Name: a.Spec.Adapter} }
