package stats

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMS       = int64(time.Hour / time.Millisecond)
	significantFigures = 2
	// upstreamFigures keeps a histogram at about 2.4 KB, because a host may meet 790 engines.
	upstreamFigures = 1
)

type (
	// Set is one host's counters; the zero value is ready, and Publish makes it visible in expvar.
	Set struct {
		Refusals  expvar.Map // by reason code
		Retries   expvar.Map // by reason
		KVCalls   expvar.Map // by kind
		Events    expvar.Map // any other named count
		Gauges    expvar.Map // current values
		mu        sync.Mutex
		latencies map[string]*hdrhistogram.Histogram
	}

	// Latency summarises one histogram in milliseconds.
	Latency struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50_ms"`
		P95   int64 `json:"p95_ms"`
		P99   int64 `json:"p99_ms"`
		Max   int64 `json:"max_ms"`
	}
)

// Publish registers the set under prefix; it panics when the prefix is taken, as expvar does.
func (s *Set) Publish(prefix string) {
	expvar.Publish(prefix+"_refusals", &s.Refusals)
	expvar.Publish(prefix+"_retries", &s.Retries)
	expvar.Publish(prefix+"_kv_calls", &s.KVCalls)
	expvar.Publish(prefix+"_events", &s.Events)
	expvar.Publish(prefix+"_gauges", &s.Gauges)
	expvar.Publish(prefix+"_latency", expvar.Func(func() any { return s.Latencies() }))
}

// CountRejection counts a refusal by its code.
func (s *Set) CountRejection(code string) { s.Refusals.Add(code, 1) }

// CountRetry counts a retry by its reason.
func (s *Set) CountRetry(reason string) { s.Retries.Add(reason, 1) }

// CountKVCall counts a call to the key-value service by its kind.
func (s *Set) CountKVCall(kind string) { s.KVCalls.Add(kind, 1) }

// CountEvent adds one to a named event.
func (s *Set) CountEvent(name string) { s.Events.Add(name, 1) }

// SetGauge sets a current value.
func (s *Set) SetGauge(name string, v int64) {
	n := new(expvar.Int)
	n.Set(v)
	s.Gauges.Set(name, n)
}

// Observe records a latency under a name such as class/first_token.
func (s *Set) Observe(name string, d time.Duration) { s.observe(name, d, significantFigures) }

// ObserveUpstream records the time until an upstream began its answer, with coarser steps than Observe.
func (s *Set) ObserveUpstream(name string, d time.Duration) {
	s.observe("upstream/"+name, d, upstreamFigures)
}

func (s *Set) observe(name string, d time.Duration, figures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latencies == nil {
		s.latencies = make(map[string]*hdrhistogram.Histogram)
	}
	h := s.latencies[name]
	if h == nil {
		h = hdrhistogram.New(1, maxLatencyMS, figures)
		s.latencies[name] = h
	}
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), maxLatencyMS))
}

// Latencies returns a summary of every histogram.
func (s *Set) Latencies() map[string]Latency {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Latency, len(s.latencies))
	for name, h := range s.latencies {
		out[name] = Latency{
			Count: h.TotalCount(),
			P50:   h.ValueAtQuantile(50),
			P95:   h.ValueAtQuantile(95),
			P99:   h.ValueAtQuantile(99),
			Max:   h.Max(),
		}
	}
	return out
}
