package topo

import (
	"slices"
	"time"
)

const (
	// Idempotent marks calls that may be executed more than once.
	Idempotent CallKind = iota
	// NonIdempotent marks calls that may be executed at most once per attempt of the caller.
	NonIdempotent
	// Stream marks calls whose response is a stream of events.
	Stream
)

type (
	// CallKind defines how calls of a route are retried and what form their responses have.
	CallKind uint8

	// Config is one version of the operators' configuration.
	Config struct {
		Version  int64
		Routes   []Route
		Services map[string]Service
		Limits   Limits
		// Workspaces are the tenants; nil means that calls need no key.
		Workspaces []Workspace
	}

	// Route maps calls of a host name and path prefix to services.
	Route struct {
		Name          string
		Host          string
		PathPrefix    string
		Kind          CallKind
		Timeout       time.Duration
		TargetLatency time.Duration // time to the first event
		GapTarget     time.Duration // longest acceptable gap between events
		Patience      time.Duration // time without an event after which callers leave a stream, or 0
		Priority      int           // 0 is the most urgent
		TrafficSplit  []WeightedService
		MaxAttempts   int
		Resumable     bool // streams may be retried
		Public        bool // calls need no key
	}

	// WeightedService is a service of a route's traffic split; its weight is relative to the sum of all weights.
	WeightedService struct {
		Service string
		Weight  float64
	}

	// Service is a set of interchangeable upstreams; Engine is nil for a plain service.
	Service struct {
		Name   string
		Engine *EngineSpec
	}

	// EngineSpec describes the model engines of a service.
	EngineSpec struct {
		Slots        int     // concurrent calls
		KVTokens     int     // size of the KV cache in tokens
		MemoryMB     float64 // for models and adapters
		AdapterSlots int     // resident adapters at most
		LoadsPerS    float64 // rate limit of loads from the weight store
		Models       []Model
	}

	// Model is a model that the engines of a service can load. The load times assume an idle weight store.
	Model struct {
		Name         string
		MemoryMB     float64
		LoadTime     time.Duration // from the weight store
		DiskLoadTime time.Duration // from the engine's disk
		RAMLoadTime  time.Duration // from the memory of the engine's machine
		Adapters     int           // number of adapters of the model
		AdapterMB    float64       // memory of one adapter
	}

	// Limits bounds the size of requests and the idle time of connections.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Upstream is one running instance of a service.
	Upstream struct {
		ID       string
		Boot     int64 // start of the instance; differs for each start under the same ID
		Service  string
		Software string // version of its software, without an order; the instance's, not the ID's
		Addr     string
		Domain   string // failure domain
		Leaving  bool
		Slots    int
		Models   []Resident
		InRAM    []string // models whose weights are in the machine's memory
		OnDisk   []string // models whose weights are on the machine's disk
		Revision int64    // store revision of the registration
	}

	// Resident is a resident model of an engine, with its resident adapters.
	Resident struct {
		Name     string
		Version  int64
		Adapters []string
	}

	// Host is the registration of a host.
	Host struct {
		Name   string `cbor:"1,keyasint"`
		Front  string `cbor:"2,keyasint"` // address for callers
		Link   string `cbor:"3,keyasint"` // address for other hosts
		Domain string `cbor:"4,keyasint"`
		Ready  bool   `cbor:"5,keyasint"`
		// Cores is the processor time that the host may use, in cores; 0 if it is unknown.
		Cores float64 `cbor:"6,keyasint,omitempty" json:",omitempty"`
		// Registered is the store revision of the registration; a higher one is newer.
		Registered int64 `cbor:"-" json:"-"`
	}
)

// Instance returns the instance that the upstream is.
func (u *Upstream) Instance() Instance { return Instance{ID: u.ID, Boot: u.Boot} }

// HasModel reports whether the model is resident on the engine.
func (u *Upstream) HasModel(model string) bool {
	return slices.ContainsFunc(u.Models, func(r Resident) bool { return r.Name == model })
}

// Model returns the model with the given name, or nil.
func (s *EngineSpec) Model(name string) *Model {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}

// Retryable reports whether a call of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
