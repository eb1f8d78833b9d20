package speed

import (
	"math"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// initialCost is the prefill time per prompt token, in seconds, that is assumed for a model before the first
	// measurement.
	initialCost = 26e-6
	// maxLog bounds the logarithm of each estimate, to a factor of about 20.
	maxLog = 3.0
	// medianInterval is the minimum time between two updates of the median of a service.
	medianInterval = 500 * time.Millisecond
	// minMeasured is the number of measurements from which on an engine counts in the median of its service.
	minMeasured = 3
	// maxEntries bounds the engines and the models of a table: more than twice what two years need.
	maxEntries = 2048
	// equalSpeed is the factor up to which two speeds count as equal in placement, so that replicas are not moved for
	// the noise of measurements.
	equalSpeed = 1.2
)

type (
	// Table holds the estimates of engines and models; the zero value is ready to use.
	Table struct {
		engines  map[string]*Engine // by ID
		models   map[modelKey]*Model
		services map[string]*service
	}

	// Model is the estimate of the prefill cost of a model: the logarithm of its ratio to the cost of its service.
	Model struct{ filter }

	modelKey struct{ service, model string }

	// service holds what the engines of a service share. The median of their usual speeds is 1: what the estimates of
	// all engines have in common counts as cost of the models, also of those that were not measured yet.
	service struct {
		name    string
		log     float64 // logarithm of the cost over initialCost
		updated time.Time
	}

	// Summary describes the speeds of all engines that were measured, in percent of the usual one.
	Summary struct {
		Measured int64 // engines
		Slow     int64 // engines below half of their own usual speed now
		Lowest   int64
		Median   int64
		Highest  int64
	}
)

func (t *Table) init() {
	if t.engines == nil {
		t.engines = make(map[string]*Engine)
		t.models = make(map[modelKey]*Model)
		t.services = make(map[string]*service)
	}
}

// Engine returns the estimate of an instance. One that has started again under its ID keeps the usual speed of the
// instance before as a weak prior.
func (t *Table) Engine(name string, id topo.Instance) *Engine {
	t.init()
	old := t.engines[id.ID]
	if old != nil && old.boot == id.Boot {
		return old
	}
	e := &Engine{boot: id.Boot, service: t.service(name), factor: 1, filter: filter{variance: engineVariance}}
	if old != nil && (old.count > 0 || old.prior) {
		e.prior, e.log, e.usual, e.factor = true, old.usual, old.usual, math.Exp(old.usual)
		e.variance = priorVariance
	}
	if old == nil {
		makeRoom(t.engines, func(e *Engine) time.Time { return e.updated })
	}
	t.engines[id.ID] = e
	return e
}

// Cost returns the estimated prefill time of one prompt token of a model on an engine of usual speed; that of a model
// without measurements is the reference of the speeds of the service.
func (t *Table) Cost(name, model string) time.Duration {
	log := 0.0
	if s := t.services[name]; s != nil {
		log = s.log
	}
	if m := t.models[modelKey{name, model}]; m != nil {
		log += m.log
	}
	return time.Duration(initialCost * math.Exp(log) * float64(time.Second))
}

// Measure adds the time that a prefill took; expected is the time on an engine of usual speed. The model is empty if
// the time depends on other models too, because the call was sent into a backlog.
func (t *Table) Measure(now time.Time, e *Engine, model string, took, expected time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	t.init()
	var m *Model
	if model != "" {
		m = t.model(modelKey{e.service.name, model})
	}
	e.measure(now, m, math.Log(float64(took)/float64(expected)))
	t.updateMedian(now, e.service)
}

func (t *Table) model(k modelKey) *Model {
	m := t.models[k]
	if m == nil {
		makeRoom(t.models, func(m *Model) time.Time { return m.updated })
		m = &Model{filter{variance: modelVariance}}
		t.models[k] = m
	}
	return m
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{name: name}
		t.services[name] = s
	}
	return s
}

// cost returns the prefill time per token that speeds refer to.
func (s *service) cost() time.Duration {
	return time.Duration(initialCost * math.Exp(s.log) * float64(time.Second))
}

// updateMedian moves the median of the usual speeds of a service from its engines to its cost, if the last time is long
// enough ago.
func (t *Table) updateMedian(now time.Time, s *service) {
	if now.Sub(s.updated) < medianInterval {
		return
	}
	s.updated = now
	var list []float64
	for _, e := range t.engines {
		if e.service == s && e.count >= minMeasured {
			list = append(list, e.usual)
		}
	}
	if len(list) == 0 {
		return
	}
	slices.Sort(list)
	median := (list[len(list)/2] + list[(len(list)-1)/2]) / 2
	t.move(s, median)
}

// move changes the reference of the speeds of a service and leaves all expected times as they are.
func (t *Table) move(s *service, log float64) {
	if log == 0 {
		return
	}
	s.log += log
	for _, e := range t.engines {
		if e.service == s && (e.count > 0 || e.prior) {
			e.log, e.usual = e.log-log, e.usual-log
			e.factor = math.Exp(e.log)
		}
	}
}

// Usual returns the usual speed of an engine as a multiple of the median of its service; 1 if it is not known or
// differs by less than the noise of measurements.
func (t *Table) Usual(id string) float64 {
	e := t.engines[id]
	if e == nil || e.count < minMeasured && !e.prior {
		return 1
	}
	if math.Abs(e.usual) < math.Log(equalSpeed) {
		return 1
	}
	return math.Exp(-e.usual)
}

// Summary returns a summary of the speeds of the engines.
func (t *Table) Summary(now time.Time) Summary {
	var out Summary
	var list []float64
	for _, e := range t.engines {
		if e.count == 0 {
			continue
		}
		slow := e.slowness(now)
		list = append(list, slow)
		if slow > e.usual+math.Ln2 {
			out.Slow++
		}
	}
	if len(list) == 0 {
		return out
	}
	slices.Sort(list)
	percent := func(log float64) int64 { return int64(math.Round(100 * math.Exp(-log))) }
	out.Measured = int64(len(list))
	out.Lowest, out.Median, out.Highest = percent(list[len(list)-1]), percent(list[len(list)/2]), percent(list[0])
	return out
}

// makeRoom deletes the entry that was updated the longest ago if there are maxEntries.
func makeRoom[K comparable, E any](entries map[K]E, updated func(E) time.Time) {
	if len(entries) < maxEntries {
		return
	}
	var oldest K
	first := true
	for id, e := range entries {
		if first || updated(e).Before(updated(entries[oldest])) {
			oldest, first = id, false
		}
	}
	delete(entries, oldest)
}
