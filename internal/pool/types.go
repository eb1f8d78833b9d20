package pool

import "github.com/figreel/figreel/internal/wire"

const (
	// Granted grants a ticket to a call.
	Granted DecisionKind = iota
	// Rejected rejects a call, which was not executed.
	Rejected
	// Migrate asks the host that holds a ticket to continue the call on another engine, because the engine of the
	// ticket is leaving or too slow.
	Migrate
)

type (
	// DecisionKind says what a Decision does with its call.
	DecisionKind uint8

	// Decision is a result of Step for one call. Grant holds the granted ticket, the rejection or, for Migrate, the
	// ticket whose call is to continue elsewhere.
	Decision struct {
		Kind   DecisionKind
		CallID string
		Grant  wire.TicketResponse
	}

	// EngineState is the pool owner's view of an engine. Items are the model and adapter versions, as name@version,
	// that are resident and ready; Loading are those being loaded.
	EngineState struct {
		Name          string
		URL           string
		FailureDomain string
		BootID        string
		Up            bool
		Leaving       bool
		MaxSeqs       int
		Items         []string
		Loading       []string
		Running       int
		TokensPerS    float64
	}

	// Demand is the recent demand for one model or adapter version; Rising means that the call rate is increasing.
	Demand struct {
		Item       string
		CallsPerS  float64
		TokensPerS float64
		Waiting    int
		Rising     bool
		// OldestWaitMS is how long the oldest waiting call has waited, in ms.
		OldestWaitMS int
	}
)
