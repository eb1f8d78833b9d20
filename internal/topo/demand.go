package topo

type (
	// CallSpec is what a call asks of an engine.
	CallSpec struct {
		Model        string          `cbor:"1,keyasint"`
		Adapter      string          `cbor:"2,keyasint,omitempty"`
		PromptTokens int             `cbor:"3,keyasint"`
		OutputTokens int             `cbor:"4,keyasint"` // the expected number, at most the stated maximum
		Segments     []PromptSegment `cbor:"5,keyasint,omitempty"`
	}

	// PromptSegment is a piece of a prompt that calls may share; the order of parts matters.
	PromptSegment struct {
		ID     uint64 `cbor:"1,keyasint"`
		Tokens int    `cbor:"2,keyasint"`
	}

	// Report is what an engine says of its load; it is some hundred milliseconds old.
	Report struct {
		Boot            int64
		Sequence        int64
		Busy            bool // an order is being carried out
		Waiting         int
		Running         int
		KVUsed          int
		KVTotal         int
		Models          []Resident
		LoadingAdapters []Adapter // adapters on their way
		InRAM           []string
		OnDisk          []string
	}

	// Adapter names an adapter of a model.
	Adapter struct{ Model, Name string }

	// Order asks an engine to load or unload a model or, with Adapter set, an adapter of a model that it holds.
	Order struct {
		Unload           bool
		Model            string
		Adapter          string
		ExpectedSequence int64 // orders that the engine accepted before
		Leader           string
		Fence            int64 // fencing token
	}

	// OrderResult is an engine's answer to an order.
	OrderResult uint8
)

const (
	// OrderUnknown means that no answer arrived: the order may be carried out later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderNoChange means that the order already holds.
	OrderNoChange
	// OrderConflict means that another order is in progress or that the number of accepted orders differs.
	OrderConflict
	// OrderRejected means that the engine will not carry out the order.
	OrderRejected
)

// UnsharedTokens returns the tokens of the prompt's last part, which other calls do not share.
func (d *CallSpec) UnsharedTokens() int {
	if n := len(d.Segments); n > 0 {
		return d.Segments[n-1].Tokens
	}
	return d.PromptTokens
}
