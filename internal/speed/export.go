package speed

import (
	"math"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// maxExport bounds the engines and the models in an export: all hosts together send a new leader each of them, and
	// one host at most about 8 KB.
	maxExport = 64
	// maxImport bounds the estimates that are taken from one message.
	maxImport = 2 * maxExport
	// maxAge is the age up to which an imported estimate counts.
	maxAge = time.Hour
)

// Estimate is one estimate for another host: the speed of an engine or, if Model is set, the cost of a model.
type Estimate struct {
	Engine  topo.Instance `cbor:"1,keyasint,omitempty"`
	Service string        `cbor:"2,keyasint,omitempty"`
	Model   string        `cbor:"3,keyasint,omitempty"`
	// Speed is the speed of the engine in its last measurement, Usual the one that it returns to.
	Speed float64 `cbor:"4,keyasint,omitempty"`
	Usual float64 `cbor:"5,keyasint,omitempty"`
	// Cost is the prefill time per token of the model, Base that of the service, which speeds refer to.
	Cost time.Duration `cbor:"6,keyasint,omitempty"`
	Base time.Duration `cbor:"8,keyasint,omitempty"`
	// Age is the time since the last measurement.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
}

// Export returns the newest estimates of engines and of models.
func (t *Table) Export(now time.Time) []Estimate {
	var engines, models []Estimate
	for id, e := range t.engines {
		if e.count == 0 {
			continue
		}
		engines = append(engines, Estimate{
			Engine: topo.Instance{ID: id, Boot: e.boot}, Service: e.service.name, Base: e.service.cost(),
			Speed: math.Exp(-e.log), Usual: math.Exp(-e.usual), Age: now.Sub(e.updated),
		})
	}
	for k, m := range t.models {
		models = append(models, Estimate{
			Service: k.service, Model: k.model, Cost: t.Cost(k.service, k.model), Base: t.Cost(k.service, ""),
			Age: now.Sub(m.updated),
		})
	}
	return append(newest(engines), newest(models)...)
}

func newest(list []Estimate) []Estimate {
	slices.SortFunc(list, func(a, b Estimate) int { return int(a.Age - b.Age) })
	return list[:min(len(list), maxExport)]
}

// Import takes the estimates of another host that are newer than those of the table. Estimates that cannot be right are
// left out.
func (t *Table) Import(now time.Time, list []Estimate) {
	t.init()
	for i := range list[:min(len(list), maxImport)] {
		in := &list[i]
		at := now.Add(-max(in.Age, 0))
		base, ok := logarithm(in.Base.Seconds() / initialCost)
		if in.Age > maxAge || !ok {
			continue
		}
		s := t.service(in.Service)
		if s.updated.IsZero() {
			// A host without measurements of its own takes over the reference of the sender.
			t.move(s, base-s.log)
		}
		switch {
		case in.Model != "":
			t.importModel(at, base, in)
		case in.Engine.ID != "":
			t.importEngine(at, base-s.log, in)
		}
	}
}

func (t *Table) importModel(at time.Time, base float64, in *Estimate) {
	log, ok := logarithm(in.Cost.Seconds() / initialCost)
	if !ok {
		return
	}
	if m := t.model(modelKey{in.Service, in.Model}); at.After(m.updated) {
		m.log, m.updated = log-base, at
		m.variance, m.count = min(m.variance, priorVariance), m.count+1
	}
}

// importEngine takes the estimate of an engine; offset is by how much the reference of the sender is slower.
func (t *Table) importEngine(at time.Time, offset float64, in *Estimate) {
	log, ok := logarithm(1 / in.Speed)
	usual, known := logarithm(1 / in.Usual)
	old := t.engines[in.Engine.ID]
	if !ok || old != nil && old.boot > in.Engine.Boot {
		return
	}
	e := t.Engine(in.Service, in.Engine)
	if !at.After(e.updated) {
		return
	}
	e.log, e.updated, e.off = log+offset, at, 0
	e.variance, e.count = min(e.variance, priorVariance), e.count+1
	e.settle()
	if known {
		e.usual = usual + offset
	}
}

// logarithm returns the logarithm of a ratio, and whether it can be right.
func logarithm(ratio float64) (float64, bool) {
	log := math.Log(ratio)
	return log, math.Abs(log) <= maxLog
}
