package host

import (
	"math"
	"runtime/debug"

	"github.com/figreel/figreel/internal/mem"
)

const (
	// defaultMemory is the memory of a process whose settings state none, in bytes.
	defaultMemory = 256 << 20
	// requestShare and responseShare are the shares of the memory that may hold requests of callers and responses of
	// upstreams. What the collector has not freed yet comes on top of them.
	requestShare  = 0.1
	responseShare = 0.15
	// reportShare is the share of the memory that may hold responses of engines to orders and requests for reports.
	reportShare = 0.05
	// runtimeShare is the share of the memory from which on the collector runs more often.
	runtimeShare = 0.7
)

// memory returns the memory that the process may use, in bytes.
func (s *Settings) memory() float64 {
	if s.Memory > 0 {
		return float64(s.Memory)
	}
	return defaultMemory
}

// ReportBudget returns a budget for the responses of engines to orders and requests for reports.
func (s *Settings) ReportBudget() *mem.Budget {
	return &mem.Budget{Limit: int64(reportShare * s.memory())}
}

// limitMemory sets the limits of the memory that the process takes.
func (h *Host) limitMemory() {
	memory := h.Settings.memory()
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(runtimeShare * memory))
	}
	requests := &mem.Budget{Limit: int64(requestShare * memory)}
	responses := &mem.Budget{Limit: int64(responseShare * memory)}
	h.entry.RequestMemory, h.entry.ResponseMemory = requests, responses
	h.Stats.SetGaugeFunc("held_request_bytes", requests.Used)
	h.Stats.SetGaugeFunc("held_response_bytes", responses.Used)
}
