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
	// upstreamSignificantFigures keeps a histogram at about 2.4 KB, because a host may have one for each of 790
	// engines.
	upstreamSignificantFigures = 1
)

type (
	// Set holds the metrics of one host; the zero value is ready to use, and Publish exports it by expvar.
	Set struct {
		Refusals  expvar.Map // rejections by reason code
		Retries   expvar.Map // by reason
		KVCalls   expvar.Map // calls to the key-value service by kind
		Events    expvar.Map // all other counters by name
		Gauges    expvar.Map // current values by name
		mu        sync.Mutex
		latencies map[string]*hdrhistogram.Histogram
	}

	// Latency summarizes one histogram; its durations are in milliseconds.
	Latency struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50_ms"`
		P95   int64 `json:"p95_ms"`
		P99   int64 `json:"p99_ms"`
		Max   int64 `json:"max_ms"`
	}
)

// Publish exports the set by expvar under names that start with prefix; it panics if a name is in use, as expvar does.
func (s *Set) Publish(prefix string) {
	expvar.Publish(prefix+"_refusals", &s.Refusals)
	expvar.Publish(prefix+"_retries", &s.Retries)
	expvar.Publish(prefix+"_kv_calls", &s.KVCalls)
	expvar.Publish(prefix+"_events", &s.Events)
	expvar.Publish(prefix+"_gauges", &s.Gauges)
	expvar.Publish(prefix+"_latency", expvar.Func(func() any { return s.Latencies() }))
}

// CountRejection counts a rejected request by its error code.
func (s *Set) CountRejection(code string) { s.Refusals.Add(code, 1) }

// CountRetry counts a retry by its reason.
func (s *Set) CountRetry(reason string) { s.Retries.Add(reason, 1) }

// CountKVCall counts a call to the key-value service by its kind.
func (s *Set) CountKVCall(kind string) { s.KVCalls.Add(kind, 1) }

// CountEvent adds one to the event counter of this name.
func (s *Set) CountEvent(name string) { s.Events.Add(name, 1) }

// SetGauge sets the gauge of this name to v.
func (s *Set) SetGauge(name string, v int64) {
	n := new(expvar.Int)
	n.Set(v)
	s.Gauges.Set(name, n)
}

// SetGaugeFunc makes f return the value of the gauge of this name each time it is read.
func (s *Set) SetGaugeFunc(name string, f func() int64) {
	s.Gauges.Set(name, expvar.Func(func() any { return f() }))
}

// Observe records a latency under a name such as class/first_token.
func (s *Set) Observe(name string, d time.Duration) { s.observe(name, d, significantFigures) }

// ObserveUpstream records how long an upstream took to start its response, at a coarser resolution than Observe.
func (s *Set) ObserveUpstream(name string, d time.Duration) {
	s.observe("upstream/"+name, d, upstreamSignificantFigures)
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

// Latencies returns a summary of every histogram by name.
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
