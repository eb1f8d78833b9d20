package speed_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/speed"
	"github.com/figreel/figreel/internal/topo"
)

var start = time.Unix(1000, 0)

func id(i int) topo.Instance { return topo.Instance{ID: "e" + strconv.Itoa(i), Boot: 1} }

// measure adds measurements of 8 engines with three of 6 models each, 0.1 s apart, with a noise of 15%.
func measure(t *speed.Table, rounds int, fast func(engine int) float64, cost func(model int) float64) time.Time {
	rng := rand.New(rand.NewPCG(3, 4))
	now := start
	for i := range 8 * rounds {
		now = now.Add(100 * time.Millisecond)
		e, m := i%8, (i%8+i/8%3)%6
		name := "m" + strconv.Itoa(m)
		took := 1000 * cost(m) / fast(e) * math.Exp(0.15*rng.NormFloat64())
		t.Measure(now, t.Engine("llm", id(e)), name, time.Duration(took*1e9), 1000*t.Cost("llm", name))
	}
	return now
}

func uneven(i int) float64 { return []float64{0.55, 1.2}[i%2] }

func even(int) float64 { return 1 }

// Guards against the speed of engines that is taken for the cost of models, and against an estimate that takes more than
// a few measurements.
func TestSpeedAndCostAreToldApart(t *testing.T) {
	var table speed.Table
	cost := func(m int) float64 { return 30e-6 * float64(1+m%3) }
	now := measure(&table, 6, uneven, cost)
	for e := range 8 {
		for m := range 6 {
			got := table.Cost("llm", "m"+strconv.Itoa(m)).Seconds() * table.Engine("llm", id(e)).Slowness(now)
			if want := cost(m) / uneven(e); got < want/1.5 || got > want*1.5 {
				t.Errorf("engine %d, model %d: %.1f us for a token, want %.1f", e, m, got*1e6, want*1e6)
			}
		}
	}
	if a, b := table.Usual("e1"), table.Usual("e0"); a < 1.5*b {
		t.Errorf("usual speeds %.2f and %.2f, want about 1.2 and 0.55", a, b)
	}
	unknown := table.Engine("llm", topo.Instance{ID: "new"}).Slowness(now)
	if unknown < 0.7 || unknown > 1.4 {
		t.Errorf("slowness of an engine without measurements %.2f, want that of the median", unknown)
	}
	again := table.Engine("llm", topo.Instance{ID: "e0", Boot: 2}).Slowness(now)
	if again < 1.3*table.Engine("llm", id(1)).Slowness(now) {
		t.Errorf("slowness of a slow engine that has started again: %.2f", again)
	}
}

// Guards against engines that count as unlike in placement for the noise of measurements.
func TestEvenEnginesCountAsEqual(t *testing.T) {
	var table speed.Table
	measure(&table, 40, even, func(m int) float64 { return 30e-6 * float64(1+m%3) })
	for e := range 8 {
		if got := table.Usual("e" + strconv.Itoa(e)); got != 1 {
			t.Errorf("engine %d has a usual speed of %.2f", e, got)
		}
	}
}

// Guards against estimates of other hosts that are lost, that replace newer ones, that cannot be right, or that fill the
// memory.
func TestImport(t *testing.T) {
	var from, to speed.Table
	now := measure(&from, 6, uneven, func(int) float64 { return 40e-6 })
	list := from.Export(now)
	to.Import(now, list)
	for e := range 8 {
		want, got := from.Engine("llm", id(e)).Slowness(now), to.Engine("llm", id(e)).Slowness(now)
		if math.Abs(got-want) > 0.01 {
			t.Errorf("engine %d: slowness %.3f after the import, want %.3f", e, got, want)
		}
	}
	before := to.Engine("llm", id(0)).Slowness(now)
	for _, in := range []speed.Estimate{
		{Engine: id(0), Speed: 5, Age: time.Minute},
		{Engine: id(0), Speed: math.NaN()},
		{Engine: id(0)},
		{Engine: id(0), Speed: -1},
		{Model: "m1", Cost: -1},
		{Engine: topo.Instance{ID: "e0"}, Speed: 5},
		{Engine: id(0), Speed: 1e9},
	} {
		in.Service, in.Base = "llm", list[0].Base
		to.Import(now, []speed.Estimate{in})
	}
	if got := to.Engine("llm", id(0)).Slowness(now); got != before {
		t.Errorf("slowness %.3f, want %.3f", got, before)
	}
	for i := range 2500 {
		to.Import(now.Add(time.Second), []speed.Estimate{
			{Engine: id(i), Speed: 2, Base: 20_000}, {Model: "n" + id(i).ID, Cost: 20_000, Base: 20_000},
		})
	}
	if n := len(to.Export(now)); n != 128 {
		t.Errorf("an export has %d estimates, want 64 of engines and 64 of models", n)
	}
}
