package plan

import (
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// UrgencyMissing applies to loads of an item that has no replica, so that its calls must wait.
	UrgencyMissing Urgency = iota
	// UrgencyRepair applies to loads that restore the minimum number of replicas or their spread over failure domains,
	// and to unloads of obsolete replicas.
	UrgencyRepair
	// UrgencyDemand applies to loads of an additional replica for demand.
	UrgencyDemand
)

type (
	// Urgency is the priority of an action; lower values go first. An unload that frees memory for a load has the
	// urgency of that load.
	Urgency int

	// Replica is an item in an engine's ledger; Ready is true once the engine has reported it resident.
	Replica struct {
		Item      string
		Adapter   bool
		MemoryMB  int
		Ready     bool
		Unloading bool
		// Model is the model version that an adapter was loaded onto, empty when unknown.
		Model string
		// InDoubt is true if the item is ready, but an unload with unknown outcome may still remove it.
		InDoubt bool
		// Running counts the calls that use the item on this engine.
		Running int
	}

	// Engine is the state of one engine. ReservedMB is the part of UsableMB that its ledger counts as occupied or
	// possibly occupied.
	Engine struct {
		State      pool.EngineState
		UsableMB   int
		ReservedMB int
		Replicas   []Replica
	}

	// Input is everything that a plan depends on, except for the state of the Planner.
	Input struct {
		Models   []envdoc.Model
		Adapters []envdoc.Adapter
		Engines  []Engine
		Demand   []pool.Demand
	}

	// Action is one load or unload of an item on an engine.
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
