package host

import (
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/stats"
)

// defaultMemory is the memory of a process whose settings state none, in bytes.
const defaultMemory = 256 << 20

// memory returns the memory that the process may use, in bytes.
func (s *Settings) memory() int64 {
	if s.Memory > 0 {
		return s.Memory
	}
	return defaultMemory
}

// ReportBudget returns a budget for the responses of engines to orders and requests for reports.
func (s *Settings) ReportBudget() *mem.Budget { return mem.NewBudget(s.memory(), mem.ReportShare) }

// NewGate returns the limits of the connections that callers and other machines open.
func (s *Settings) NewGate(set *stats.Set, log zerolog.Logger) *ingres.Gate {
	return &ingres.Gate{Memory: s.memory(), Descriptors: s.Descriptors, Stats: set, Log: log}
}

// limitMemory sets the limits of the memory that the process takes.
func (h *Host) limitMemory() {
	memory := h.Settings.memory()
	mem.LimitRuntime(memory)
	h.tickets.scheduler.CacheBytes = int64(mem.CacheShare * float64(memory))
	requests, responses := mem.NewBudget(memory, mem.RequestShare), mem.NewBudget(memory, mem.ResponseShare)
	h.entry.RequestMemory, h.entry.ResponseMemory = requests, responses
	h.Stats.SetGaugeFunc("held_request_bytes", requests.Used)
	h.Stats.SetGaugeFunc("held_response_bytes", responses.Used)
}
