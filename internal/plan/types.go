package plan

import (
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// UrgencyMissing is a load for waiting calls that no copy can answer.
	UrgencyMissing Urgency = iota
	// UrgencyRepair is a load that restores the minimum number of copies.
	UrgencyRepair
	// UrgencyDemand is a load that follows demand.
	UrgencyDemand
)

type (
	// Urgency orders loads; lower values go first.
	Urgency int

	// Replica is an item of an engine's ledger; Ready is true once the engine reported it resident.
	Replica struct {
		Item      string
		Adapter   bool
		MemoryMB  int
		Ready     bool
		Unloading bool
		// Model is the model version that an adapter was loaded onto, empty when unknown.
		Model string
		// InDoubt is an answering item that an unload in doubt may still remove.
		InDoubt bool
		// Running counts the calls that use the item on this engine.
		Running int
	}

	// Engine is one engine with what its ledger counts against its memory.
	Engine struct {
		State      pool.EngineState
		UsableMB   int
		ReservedMB int
		Replicas   []Replica
	}

	// Input is everything that a plan depends on.
	Input struct {
		Models   []envdoc.Model
		Adapters []envdoc.Adapter
		Engines  []Engine
		Demand   []pool.Demand
	}

	// Action is one change of placement.
	Action struct {
		Engine   string
		Unload   bool
		Item     string
		Model    string
		Adapter  bool
		MemoryMB int
		Urgency  Urgency
		Reason   string
	}
)
