package host

import (
	"math"
	"runtime/debug"

	"github.com/figreel/figreel/internal/mem"
)

const (
	// defaultMemory is the memory of a process whose settings state none, in bytes.
	defaultMemory = 256 << 20
	// runtimeShare is the share of the memory from which on the collector runs more often.
	runtimeShare = 0.7
)

// memory returns the memory that the process may use, in bytes.
func (s *Settings) memory() int64 {
	if s.Memory > 0 {
		return s.Memory
	}
	return defaultMemory
}

// ReportBudget returns a budget for the responses of engines to orders and requests for reports.
func (s *Settings) ReportBudget() *mem.Budget { return mem.NewBudget(s.memory(), mem.ReportShare) }

// limitMemory sets the limits of the memory that the process takes.
func (h *Host) limitMemory() {
	memory := h.Settings.memory()
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memory)))
	}
	requests, responses := mem.NewBudget(memory, mem.RequestShare), mem.NewBudget(memory, mem.ResponseShare)
	h.entry.RequestMemory, h.entry.ResponseMemory = requests, responses
	h.Stats.SetGaugeFunc("held_request_bytes", requests.Used)
	h.Stats.SetGaugeFunc("held_response_bytes", responses.Used)
}
