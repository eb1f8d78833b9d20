package desk

import (
	"time"

	"github.com/figreel/figreel/internal/site"
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
	// ReasonNoModel refuses a call for a model that no engine holds in time.
	ReasonNoModel = "no_copy_in_time"
	// ReasonOverload refuses a call that no engine can answer before its deadline.
	ReasonOverload = "overloaded"
	// ReasonUnknown refuses a call for a model that the configuration does not name.
	ReasonUnknown = "unknown_model"
)

const (
	// Served is the outcome of a call that ended with a whole answer.
	Served Outcome = iota
	// NotRun is the outcome of an attempt that the engine rejected.
	NotRun
	// Absent is the outcome of an attempt that the engine rejected because it does not hold the model or adapter.
	Absent
	// Broken is the outcome of an attempt whose connection failed or that the engine answered with an error.
	Broken
	// Left is the outcome of a call whose caller left or whose time ran out.
	Left
)

type (
	// Kind is the kind of a decision.
	Kind uint8

	// Outcome tells how an attempt ended.
	Outcome uint8

	// Ask is a call that needs an engine.
	Ask struct {
		Call     string        `cbor:"1,keyasint"`
		Service  string        `cbor:"2,keyasint"`
		Domain   string        `cbor:"3,keyasint"` // of the host that took the call
		Demand   site.Demand   `cbor:"4,keyasint"`
		Priority int           `cbor:"5,keyasint"`
		Target   time.Duration `cbor:"6,keyasint"` // until the first event
		Left     time.Duration `cbor:"7,keyasint"` // until the caller's deadline
		Tried    []string      `cbor:"8,keyasint,omitempty"`
		Gap      time.Duration `cbor:"9,keyasint,omitempty"` // longest pause between events that is in time
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
		// Read, Expected and Streams are what the choice was based on: prompt tokens that the engine has to read, time
		// until it has read them, and calls that get events there.
		Read     int           `cbor:"5,keyasint,omitempty"`
		Expected time.Duration `cbor:"6,keyasint,omitempty"`
		Streams  int           `cbor:"7,keyasint,omitempty"`
	}

	// Held is a ticket that another desk granted.
	Held struct {
		Ask   Ask   `cbor:"1,keyasint"`
		Grant Grant `cbor:"2,keyasint"`
		First bool  `cbor:"3,keyasint"` // its first event has arrived
	}

	// AdapterNeed asks for an adapter to be loaded; Evict is an adapter that makes way, or empty.
	AdapterNeed struct {
		Engine       string
		Model        string
		Adapter      string
		EvictModel   string
		EvictAdapter string
	}

	// ModelNeed is how much work a model has brought, for placement.
	ModelNeed struct {
		Work    float64 // seconds of one engine per second
		Waiting int     // calls that no engine can take
		Asked   bool    // any call has asked for it
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
		ask     Ask
		engine  *engine
		granted time.Time
		prefill time.Duration
		tokens  int // prompt tokens to read
		memory  int
		alone   bool
		first   bool
	}

	ask struct {
		Ask
		chain    []uint64 // keys of the prompt's parts
		arrived  time.Time
		deadline time.Time
		engine   string        // where the adapter is being loaded
		least    time.Duration // until the first event on an engine without other work
	}
)

func newAsk(now time.Time, q Ask) *ask {
	return &ask{Ask: q, chain: keys(&q.Demand), arrived: now, deadline: now.Add(q.Left)}
}

// key names the adapter that the call asks for.
func (a *Ask) key() site.Adapter { return site.Adapter{Model: a.Demand.Model, Name: a.Demand.Adapter} }
