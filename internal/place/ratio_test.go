package place_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/place"
	"github.com/figreel/figreel/internal/sched"
)

const (
	simStep     = 100 * time.Millisecond
	simCallTime = 300 * time.Millisecond
	simPatience = 10 * time.Second
)

// simEngine executes orders as an engine does: weights that it had stay in the machine's memory or on its disk.
type simEngine struct {
	place.Engine
	readyAt time.Time      // when the load or unload in progress ends
	ends    []simRunning   // running calls
	recent  []string       // models that it had, newest first
	calls   map[string]int // running calls by model
}

type simRunning struct {
	model string
	until time.Time
}

// simCall is a call that waits for its model.
type simCall struct {
	model   string
	arrived time.Time
	hot     bool
}

// sim plays calls against a planner in virtual time.
type sim struct {
	planner  *place.Planner
	engines  []*simEngine
	now      time.Time
	waiting  []simCall
	rates    map[string]float64 // calls per second, moving average
	loads    map[string]float64 // offered load, moving average
	fetched  int                // loads from the weight store
	hot      int                // calls for hot models, and those of them served without waiting
	hotNow   int
	rare     int // calls for all other models, and those of them served before their callers left
	rareDone int
	longest  time.Duration        // longest time from the first call for a model without an engine until it had one
	since    map[string]time.Time // when such a call came, by model
}

func newSim(engines, models int) *sim {
	s := &sim{
		planner: &place.Planner{Spec: manyModels(models)}, now: time.Unix(1000, 0), rates: make(map[string]float64),
		loads: make(map[string]float64), since: make(map[string]time.Time),
	}
	s.planner.Spec.LoadsPerS = 4
	for i := range engines {
		s.engines = append(s.engines, &simEngine{
			Engine: place.Engine{ID: "e" + strconv.Itoa(i)}, calls: make(map[string]int),
		})
	}
	return s
}

// step ends what is due, plans, and executes the orders.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for _, e := range s.engines {
		e.advance(s.now)
	}
	s.serveWaiting()
	demand := make(map[string]sched.ModelDemand)
	for name, rate := range s.rates {
		s.rates[name] = rate * math.Exp(-simStep.Seconds()/20)
		s.loads[name] *= math.Exp(-simStep.Seconds() / 2.5)
		demand[name] = sched.ModelDemand{CallRate: s.rates[name], OfferedLoad: s.loads[name], Requested: true}
	}
	for _, c := range s.waiting {
		d := demand[c.model]
		d.Waiting++
		demand[c.model] = d
	}
	list := make([]place.Engine, 0, len(s.engines))
	for _, e := range s.engines {
		list = append(list, e.view())
	}
	for _, o := range s.planner.Plan(s.now, list, demand) {
		i := slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.ID == o.Engine })
		s.execute(s.engines[i], o)
	}
}

func (e *simEngine) advance(now time.Time) {
	e.ends = slices.DeleteFunc(e.ends, func(r simRunning) bool {
		if r.until.After(now) {
			return false
		}
		e.calls[r.model]--
		return true
	})
	switch {
	case e.Unloading != "" && e.calls[e.Unloading] == 0 && !now.Before(e.readyAt):
		e.Resident = slices.DeleteFunc(e.Resident, func(m string) bool { return m == e.Unloading })
		e.Unloading = ""
	case e.Loading != "" && !now.Before(e.readyAt):
		e.Resident = append(e.Resident, e.Loading)
		e.recent = slices.DeleteFunc(e.recent, func(m string) bool { return m == e.Loading })
		e.recent = slices.Insert(e.recent, 0, e.Loading)
		e.Loading = ""
	}
}

func (e *simEngine) view() place.Engine {
	out := e.Engine
	out.Resident, out.Calls = slices.Clone(e.Resident), make(map[string]int)
	for name, n := range e.calls {
		out.Calls[name] = n
	}
	out.InRAM, out.OnDisk = e.recent[:min(2, len(e.recent))], e.recent[:min(6, len(e.recent))]
	return out
}

func (s *sim) execute(e *simEngine, o place.Order) {
	if o.Unload {
		e.Unloading, e.readyAt = o.Model, s.now.Add(2*simStep)
		return
	}
	m := s.planner.Spec.Model(o.Model)
	e.Loading = o.Model
	switch v := e.view(); {
	case slices.Contains(v.InRAM, o.Model):
		e.readyAt = s.now.Add(m.RAMLoadTime)
	case slices.Contains(v.OnDisk, o.Model):
		e.readyAt = s.now.Add(m.DiskLoadTime)
	default:
		e.readyAt = s.now.Add(m.LoadTime)
		s.fetched++
	}
}

// run starts a call if its model is resident.
func (s *sim) run(model string) bool {
	for _, e := range s.engines {
		if slices.Contains(e.Resident, model) && e.Unloading != model {
			e.calls[model]++
			e.ends = append(e.ends, simRunning{model, s.now.Add(simCallTime)})
			return true
		}
	}
	return false
}

func (s *sim) serveWaiting() {
	s.waiting = slices.DeleteFunc(s.waiting, func(c simCall) bool {
		if s.run(c.model) {
			if !c.hot {
				s.rareDone++
			}
			delete(s.since, c.model)
			return true
		}
		return s.now.Sub(c.arrived) > simPatience
	})
	for _, since := range s.since {
		s.longest = max(s.longest, s.now.Sub(since))
	}
}

func (s *sim) arrive(model string, hot bool) {
	s.rates[model] += 1.0 / 20
	s.loads[model] += 0.08 / 2.5
	served := s.run(model)
	if served {
		delete(s.since, model)
	}
	switch {
	case hot && served:
		s.hot, s.hotNow = s.hot+1, s.hotNow+1
	case hot:
		s.hot++
	case served:
		s.rare, s.rareDone = s.rare+1, s.rareDone+1
	default:
		s.rare++
	}
	if !served {
		s.waiting = append(s.waiting, simCall{model, s.now, hot})
		if s.since[model].IsZero() {
			s.since[model] = s.now
		}
	}
}

// Guards, with 0.1 to 2 places for each model, against rare models that take the places of those in use, against models
// that are called but never loaded, against loads without end when every model has a place, and against loads beyond the
// rate of the weight store.
func TestPlacesPerModel(t *testing.T) {
	const (
		engines, places = 20, 40 // an engine holds two models
		hotModels       = 10
		callsPerS       = 20.0
		warmup          = 60 * time.Second
		length          = 180 * time.Second
	)
	for _, tt := range []struct {
		ratio    float64 // places for each model
		minRare  float64 // least share of calls for rare models that are served in time
		maxLoads int     // most loads from the weight store after the warm-up
	}{
		{ratio: 0.1, minRare: 0.4, maxLoads: 4 * 120 * 11 / 10},
		{ratio: 0.5, minRare: 0.9, maxLoads: 4 * 120 * 11 / 10},
		{ratio: 1, minRare: 0.95, maxLoads: 60},
		{ratio: 2, minRare: 0.99, maxLoads: 20}, // each model may get one more replica
	} {
		t.Run(strconv.FormatFloat(tt.ratio, 'g', -1, 64), func(t *testing.T) {
			models := int(places / tt.ratio)
			s := newSim(engines, models)
			rng := rand.New(rand.NewPCG(1, 2))
			warm := 0
			for at := time.Duration(0); at < length; at += simStep {
				if at == warmup {
					warm, s.hot, s.hotNow, s.rare, s.rareDone = s.fetched, 0, 0, 0, 0
				}
				s.step()
				for range int(callsPerS * simStep.Seconds()) {
					hot := rng.Float64() < 0.7
					model := rng.IntN(hotModels)
					if !hot {
						model = hotModels + rng.IntN(models-hotModels)
					}
					s.arrive("m"+strconv.Itoa(model), hot)
				}
			}
			loads := s.fetched - warm
			hot, rare := float64(s.hotNow)/float64(s.hot), float64(s.rareDone)/float64(s.rare)
			t.Logf("hot at once %.3f, rare in time %.3f, %d loads, longest wait for a model %v", hot, rare, loads, s.longest)
			if hot < 0.95 {
				t.Errorf("%.3f of the calls for hot models served at once", hot)
			}
			if rare < tt.minRare {
				t.Errorf("%.3f of the calls for rare models served in time, want %.2f", rare, tt.minRare)
			}
			if loads > tt.maxLoads {
				t.Errorf("%d loads, want at most %d", loads, tt.maxLoads)
			}
			// Every model that is called is loaded within twice the time in which the store could load all of them.
			bound := 2 * time.Duration(float64(models)/s.planner.Spec.LoadsPerS*float64(time.Second))
			if bound = max(bound, 40*time.Second); s.longest > bound {
				t.Errorf("calls waited for a model for %v, want %v at most", s.longest, bound)
			}
		})
	}
}
