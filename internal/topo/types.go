package topo

import (
	"slices"
	"time"
)

const (
	// Idempotent calls may run more than once.
	Idempotent CallKind = iota
	// NonIdempotent marks calls that may run at most once per attempt of the caller.
	NonIdempotent
	// Stream marks calls that are answered by a series of events.
	Stream
)

type (
	// CallKind tells how the calls of a route may be repeated and answered.
	CallKind uint8

	// Config is one version of the operators' configuration.
	Config struct {
		Version  int64
		Routes   []Route
		Services map[string]Service
		Limits   Limits
	}

	// Route maps calls of a host name and path prefix to services.
	Route struct {
		Name          string
		Host          string
		PathPrefix    string
		Kind          CallKind
		Timeout       time.Duration
		TargetLatency time.Duration
		GapTarget     time.Duration
		Priority      int // 0 is the most urgent
		TrafficSplit  []WeightedService
		MaxAttempts   int
		Resumable     bool
	}

	// WeightedService is the weight with which a route uses a service.
	WeightedService struct {
		Service string
		Weight  float64
	}

	// Service is a set of upstreams with one purpose; Engine is nil for a plain service.
	Service struct {
		Name   string
		Engine *EngineSpec
	}

	// EngineSpec describes the model engines of a service.
	EngineSpec struct {
		Slots        int
		KVTokens     int
		MemoryMB     float64
		AdapterSlots int
		LoadsPerS    float64
		Models       []Model
	}

	// Model is a model that the engines of a service can load; times are those of an idle weight store.
	Model struct {
		Name         string
		MemoryMB     float64
		LoadTime     time.Duration // from the weight store
		DiskLoadTime time.Duration // from the engine's disk
		RAMLoadTime  time.Duration // from the memory of the engine's machine
		Adapters     int
		AdapterMB    float64
	}

	// Limits bounds what a caller may send and how long a connection may idle.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Upstream is one running instance of a service.
	Upstream struct {
		ID       string
		Boot     int64 // start of the instance, distinct for each start under the same ID
		Service  string
		Addr     string
		Domain   string // failure domain
		Leaving  bool
		Slots    int
		Models   []Resident
		InRAM    []string // models with a copy of their weights in memory
		OnDisk   []string // models with a copy of their weights on disk
		Revision int64    // of the entry that told of it
	}

	// Resident is a model that an engine holds, with its adapters.
	Resident struct {
		Name     string
		Version  int64
		Adapters []string
	}

	// Host is a member of the deployment.
	Host struct {
		Name   string `cbor:"1,keyasint"`
		Front  string `cbor:"2,keyasint"` // address for callers
		Link   string `cbor:"3,keyasint"` // address for other hosts
		Domain string `cbor:"4,keyasint"`
		Ready  bool   `cbor:"5,keyasint"`
		// Registered is the store's revision of the registration; a higher one is newer.
		Registered int64 `cbor:"-" json:"-"`
	}
)

// HasModel reports whether the engine holds the model.
func (u *Upstream) HasModel(model string) bool {
	return slices.ContainsFunc(u.Models, func(r Resident) bool { return r.Name == model })
}

// Model returns the model of that name, or nil.
func (k *EngineSpec) Model(name string) *Model {
	for i := range k.Models {
		if k.Models[i].Name == name {
			return &k.Models[i]
		}
	}
	return nil
}

// Retryable reports whether a call of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}
