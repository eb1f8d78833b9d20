package topo

import (
	"strconv"
	"time"
)

type (
	// CallSpec is what a call requires from an engine.
	CallSpec struct {
		Model        string          `cbor:"1,keyasint"`
		Adapter      string          `cbor:"2,keyasint,omitempty"`
		PromptTokens int             `cbor:"3,keyasint"`
		OutputTokens int             `cbor:"4,keyasint"` // expected number, at most the limit that the caller set
		StatedOutput int             `cbor:"-"`          // output tokens that the caller has stated
		Segments     []PromptSegment `cbor:"5,keyasint,omitempty"`
		// Request identifies what the caller asks for: it is the same if the same request comes again. 0 is unknown.
		Request uint64 `cbor:"6,keyasint,omitempty"`
	}

	// PromptSegment is a piece of a prompt that calls may share. Segments can only be shared as a prefix, so their
	// order matters.
	PromptSegment struct {
		ID     uint64 `cbor:"1,keyasint"`
		Tokens int    `cbor:"2,keyasint"`
	}

	// Report is an engine's status report. Its content is some hundred milliseconds old.
	Report struct {
		Boot            int64 // start of the instance
		Sequence        int64 // orders accepted since the start of the instance
		Busy            bool  // an order is being executed
		Waiting         int   // queued calls
		Running         int   // running calls
		KVUsed          int   // tokens
		KVTotal         int   // tokens
		Models          []Resident
		LoadingAdapters []Adapter // adapters that are being loaded
		InRAM           []string  // models whose weights are in the machine's memory
		OnDisk          []string  // models whose weights are on the machine's disk
	}

	// Load is what an upstream states about its load in a response.
	Load struct {
		Running  int     `cbor:"1,keyasint"`           // calls that it executes
		Waiting  int     `cbor:"2,keyasint,omitempty"` // calls that wait for a slot
		Slots    int     `cbor:"3,keyasint"`           // calls that it executes at once
		Slowdown float64 `cbor:"4,keyasint"`           // how long work takes now; 1 is usual
	}

	// Instance is one start of an upstream.
	Instance struct {
		ID   string `cbor:"1,keyasint"`
		Boot int64  `cbor:"2,keyasint"`
	}

	// Notice is what an upstream states in a response about the calls that it takes.
	Notice struct {
		Limited bool          // it takes at most Limit calls
		Limit   float64       // calls per second from all hosts together
		Leaving bool          // it takes no further calls
		Hold    time.Duration // it wants no calls from this host for this long; 0 if it does not say so
		Partial bool          // what the response leaves out is not taken back by it
		// Malformed is why statements are left out that cannot be read, or nil.
		Malformed error
	}

	// Adapter names an adapter of a model.
	Adapter struct{ Model, Name string }

	// Order tells an engine to load or unload a model or, with Adapter set, an adapter of a resident model.
	Order struct {
		Unload           bool
		Model            string
		Adapter          string
		ExpectedSequence int64  // orders that the engine must have accepted before
		Leader           string // host that sends the order
		Fence            int64  // fencing token
	}

	// OrderResult is the result of sending an order.
	OrderResult uint8
)

const (
	// OrderUnknown means that no response arrived: the order may still be executed later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the engine is executing the order.
	OrderAccepted
	// OrderNoChange means that the engine is already in the ordered state.
	OrderNoChange
	// OrderConflict means that another order is in progress or that the number of accepted orders differs.
	OrderConflict
	// OrderRejected means that the engine rejected the order.
	OrderRejected
)

// UnsharedTokens returns the number of tokens in the last prompt segment, which other calls do not share.
func (c *CallSpec) UnsharedTokens() int {
	if n := len(c.Segments); n > 0 {
		return c.Segments[n-1].Tokens
	}
	return c.PromptTokens
}

// String returns the ID and the start of the instance.
func (i Instance) String() string { return i.ID + "@" + strconv.FormatInt(i.Boot, 10) }
