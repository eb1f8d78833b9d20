package pool

import "github.com/figreel/figreel/internal/wire"

const (
	// Granted gives a ticket to a call.
	Granted DecisionKind = iota
	// Refused ends a call that was not run.
	Refused
	// Migrate asks the holder of a ticket to continue elsewhere, because its engine is leaving or too slow.
	Migrate
)

type (
	// DecisionKind names a decision.
	DecisionKind uint8

	// Decision is one result of Step for one call.
	Decision struct {
		Kind   DecisionKind
		CallID string
		Grant  wire.TicketResponse
	}

	// EngineState is what the pool's owner knows of an engine; Items are resident and answering.
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

	// Demand is the recent demand for one model or adapter version.
	Demand struct {
		Item       string
		CallsPerS  float64
		TokensPerS float64
		Waiting    int
		Rising     bool
		// OldestWaitMS is how long the oldest waiting call has waited, in milliseconds.
		OldestWaitMS int
	}
)
