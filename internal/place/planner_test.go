package place_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/place"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

func spec() *topo.EngineSpec {
	s := &topo.EngineSpec{MemoryMB: 220, AdapterSlots: 2, LoadsPerS: 1}
	for _, name := range []string{"hot", "warm", "cold", "rare"} {
		s.Models = append(s.Models, topo.Model{
			Name: name, MemoryMB: 100, LoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond,
			RAMLoadTime: 400 * time.Millisecond,
		})
	}
	return s
}

// engines returns one engine for each list of resident models.
func engines(resident ...[]string) []place.Engine {
	out := make([]place.Engine, 0, len(resident))
	for i, models := range resident {
		out = append(out, place.Engine{ID: string(rune('a' + i)), Resident: models, Calls: map[string]int{}})
	}
	return out
}

// Guards against models that stay unserved, the eviction of last replicas of called models, and loads that follow small
// differences in load.
func TestPlan(t *testing.T) {
	hot := map[string]sched.ModelDemand{"hot": {OfferedLoad: 2, Requested: true}, "warm": {OfferedLoad: 0.05, Requested: true}}
	called := sched.ModelDemand{CallRate: 1, Requested: true}
	waiting := sched.ModelDemand{Waiting: 1, Requested: true}
	for _, tt := range []struct {
		name    string
		engines []place.Engine
		demand  map[string]sched.ModelDemand
		change  func([]place.Engine)
		want    []place.Order
	}{
		{
			name: "calls wait for a model without a replica", engines: engines([]string{"hot"}, []string{"hot", "warm"}),
			demand: map[string]sched.ModelDemand{"cold": {Waiting: 2, Requested: true}, "rare": {}},
			want:   []place.Order{{Engine: "a", Model: "cold"}},
		},
		{
			name:    "demand has moved to a model with one replica",
			engines: engines([]string{"warm", "cold"}, []string{"warm", "rare"}, []string{"warm", "hot"}),
			demand:  hot,
			want:    []place.Order{{Engine: "a", Model: "warm", Unload: true}, {Engine: "b", Model: "warm", Unload: true}},
		},
		{
			name:    "weights in memory are preferred",
			engines: engines([]string{"warm", "cold"}, []string{"rare"}, []string{"hot"}), demand: hot,
			change: func(e []place.Engine) { e[2].Resident, e[2].InRAM, e[1].InRAM = nil, nil, []string{"hot"} },
			want:   []place.Order{{Engine: "b", Model: "hot"}},
		},
		{
			name: "last replicas of called models stay", engines: engines([]string{"warm", "cold"}, []string{"hot", "rare"}),
			demand: map[string]sched.ModelDemand{
				"hot": {OfferedLoad: 2, Requested: true}, "warm": called, "cold": called, "rare": called,
			},
		},
		{
			name: "a model without calls gives way to one in demand", engines: engines([]string{"warm", "cold"}, []string{"hot", "rare"}),
			demand: map[string]sched.ModelDemand{"hot": {OfferedLoad: 2, Requested: true}, "warm": called, "rare": called},
			want:   []place.Order{{Engine: "a", Model: "cold", Unload: true}},
		},
		{
			name: "a model without calls stays for a small gain", engines: engines([]string{"warm", "cold"}, []string{"hot", "rare"}),
			demand: map[string]sched.ModelDemand{"hot": {OfferedLoad: 0.2, Requested: true}, "warm": called, "rare": called},
		},
		{
			name: "a waiting call takes the place of the model that is called least", engines: engines([]string{"hot", "cold"}, []string{"warm"}),
			demand: map[string]sched.ModelDemand{"hot": called, "cold": {CallRate: 0.05, Requested: true}, "warm": called, "rare": waiting},
			change: func(e []place.Engine) { e[1].Busy = true },
			want:   []place.Order{{Engine: "a", Model: "cold", Unload: true}},
		},
		{
			name: "a last replica with running calls stays", engines: engines([]string{"hot", "cold"}),
			demand: map[string]sched.ModelDemand{"hot": called, "cold": {CallRate: 0.05, Requested: true}, "rare": waiting},
			change: func(e []place.Engine) { e[0].Calls["cold"] = 1 },
		},
		{
			name: "a last replica for which calls wait stays", engines: engines([]string{"hot", "cold"}),
			demand: map[string]sched.ModelDemand{"hot": called, "cold": {Waiting: 1, CallRate: 0.05, Requested: true}, "rare": waiting},
		},
		{
			name: "one waiting call does not displace a model that is called often", engines: engines([]string{"hot", "cold"}),
			demand: map[string]sched.ModelDemand{"hot": called, "cold": called, "rare": waiting},
		},
		{
			name: "a spare replica goes before the last one of another model", engines: engines([]string{"warm", "cold"}, []string{"warm"}),
			demand: map[string]sched.ModelDemand{"rare": waiting, "warm": {OfferedLoad: 0.05, Requested: true}},
			change: func(e []place.Engine) { e[1].Busy = true },
			want:   []place.Order{{Engine: "a", Model: "warm", Unload: true}},
		},
		{
			name:    "calls wait for a version without the model",
			engines: engines([]string{"hot"}, []string{"warm", "rare"}, []string{"cold", "rare"}),
			demand: map[string]sched.ModelDemand{
				"hot": {Waiting: 2, Requested: true, Versions: map[string]int{"v2": 2}}, "warm": called,
			},
			change: func(e []place.Engine) { e[0].Software, e[1].Software, e[2].Software = "v1", "v2", "v2" },
			want:   []place.Order{{Engine: "c", Model: "cold", Unload: true}},
		},
		{
			name:    "the version of the calls is being loaded",
			engines: engines([]string{"hot"}, []string{"warm"}, []string{"cold", "rare"}),
			demand:  map[string]sched.ModelDemand{"hot": {Waiting: 2, Requested: true, Versions: map[string]int{"v2": 2}}},
			change: func(e []place.Engine) {
				e[0].Software, e[1].Software, e[2].Software, e[1].Loading = "v1", "v2", "v2", "hot"
			},
		},
		{
			name: "no engine of the version of the calls has room", engines: engines([]string{"hot"}, []string{"warm", "cold"}),
			demand: map[string]sched.ModelDemand{
				"hot": {Waiting: 1, Requested: true, Versions: map[string]int{"v2": 1}}, "warm": called, "cold": called,
				"rare": called,
			},
			change: func(e []place.Engine) { e[0].Software, e[1].Software, e[0].Busy = "v1", "v2", true },
		},
		{
			name: "a busy engine gets no order", engines: engines([]string{"hot"}, []string{"cold", "rare"}),
			demand: map[string]sched.ModelDemand{"warm": waiting, "cold": called, "rare": called},
			change: func(e []place.Engine) { e[0].Busy = true },
		},
		{
			name: "a model with running calls stays", engines: engines([]string{"warm", "cold"}, []string{"warm", "rare"}, []string{"hot"}),
			demand: map[string]sched.ModelDemand{
				"hot": {OfferedLoad: 2, Requested: true}, "warm": {OfferedLoad: 0.05, Requested: true}, "cold": called, "rare": called,
			},
			change: func(e []place.Engine) {
				e[0].Calls["warm"], e[1].Calls["warm"] = 1, 1
				e[2].Busy = true
			},
		},
		{
			name: "small differences change nothing", engines: engines([]string{"hot", "cold"}, []string{"warm", "rare"}),
			demand: map[string]sched.ModelDemand{"hot": {OfferedLoad: 0.1, Requested: true}, "warm": {OfferedLoad: 0.08, Requested: true}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.change != nil {
				tt.change(tt.engines)
			}
			p := &place.Planner{Spec: spec()}
			got := p.Plan(time.Unix(100, 0), tt.engines, tt.demand)
			for _, o := range tt.want {
				if !slices.Contains(got, o) {
					t.Errorf("orders %+v, want them to contain %+v", got, o)
				}
			}
			if tt.want == nil && len(got) > 0 {
				t.Errorf("orders %+v, want none", got)
			}
		})
	}
}

// Guards against loads of models that are resident on engines that have not registered yet, and against a delay of loads
// for waiting calls.
func TestEnginesRegisterOneByOne(t *testing.T) {
	p := &place.Planner{Spec: spec()}
	now := time.Unix(100, 0)
	all := [][]string{{"hot", "warm"}, {"hot", "cold"}, {"hot", "rare"}}
	for n := range all {
		if got := p.Plan(now, engines(all[:n+1]...), nil); len(got) > 0 {
			t.Errorf("%d engines: orders %+v, want none", n+1, got)
		}
		now = now.Add(time.Second)
	}
	waiting := map[string]sched.ModelDemand{"cold": {Waiting: 1, Requested: true}}
	if got := p.Plan(now, engines(all[0], all[2]), waiting); len(got) == 0 {
		t.Error("no order although calls wait")
	}
	now = now.Add(5 * time.Second)
	if got := p.Plan(now, engines(all[0], all[2]), nil); len(got) == 0 {
		t.Error("no order for a model whose only engine is gone")
	}
}

// Guards against the eviction of an overloaded model for every call to an unserved one, and against a model that stays
// unserved for as long as the overload lasts.
func TestUnservedModelInOverload(t *testing.T) {
	resident := [][]string{{"hot", "warm"}, {"hot", "warm"}}
	demand := map[string]sched.ModelDemand{
		"hot": {OfferedLoad: 3, Requested: true}, "warm": {OfferedLoad: 3, Requested: true}, "cold": {Waiting: 1, Requested: true},
	}
	p := &place.Planner{Spec: spec()}
	now := time.Unix(100, 0)
	for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if got := p.Plan(now, engines(resident...), demand); len(got) > 0 {
			t.Fatalf("orders %+v while all replicas are overloaded", got)
		}
	}
	now = now.Add(2 * time.Second)
	if got := p.Plan(now, engines(resident...), demand); len(got) != 1 || !got[0].Unload {
		t.Errorf("orders %+v, want an eviction for the model that has been unserved for six seconds", got)
	}
}

// Guards against more loads from the weight store than its rate allows when every model is in demand at once.
func TestLoadRate(t *testing.T) {
	p := &place.Planner{Spec: spec()}
	started := 0
	now := time.Unix(100, 0)
	for range 100 {
		list := engines(nil, nil, nil, nil, nil, nil, nil, nil)
		demand := map[string]sched.ModelDemand{}
		for _, m := range p.Spec.Models {
			demand[m.Name] = sched.ModelDemand{OfferedLoad: 5, Waiting: 3, Requested: true}
		}
		started += len(p.Plan(now, list, demand))
		now = now.Add(50 * time.Millisecond)
	}
	if started > 5+2 || started < 5 {
		t.Errorf("%d loads in 5 s at 1 a second", started)
	}
}

// Guards against a burst limit that binds below the weight store's rate when plans come at their usual interval, and
// against more loads than its limit for 5 s.
func TestLoadRateAtHighRates(t *testing.T) {
	const loadsPerS, seconds = 46, 5
	for _, interval := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		p := &place.Planner{Spec: manyModels(300)}
		p.Spec.LoadsPerS = loadsPerS
		demand := map[string]sched.ModelDemand{}
		for _, m := range p.Spec.Models {
			demand[m.Name] = sched.ModelDemand{Waiting: 1, Requested: true}
		}
		started := 0
		for at := time.Duration(0); at < seconds*time.Second; at += interval {
			started += len(p.Plan(time.Unix(100, 0).Add(at), emptyEngines(300), demand))
		}
		if low, high := 0.9*loadsPerS*seconds, 1.1*loadsPerS*seconds+3; float64(started) < low || float64(started) > high {
			t.Errorf("every %v: %d loads in %d s at %d a second", interval, started, seconds, loadsPerS)
		}
	}
}

// Guards against a model that stays unserved for ever because the models on all engines are called more often. The bound
// is half a minute for each call that is expected for the victim while it is away, with the factor of 1.5.
func TestUnservedModelIsLoadedInTheEnd(t *testing.T) {
	const bound = 5 * 3 / 2 * 30 * time.Second
	p := &place.Planner{Spec: spec()}
	demand := map[string]sched.ModelDemand{
		"hot": {CallRate: 1, Requested: true}, "cold": {CallRate: 1, Requested: true}, "rare": {Waiting: 1, Requested: true},
	}
	start := time.Unix(100, 0)
	for now := start; now.Sub(start) < bound; now = now.Add(100 * time.Millisecond) {
		if got := p.Plan(now, engines([]string{"hot", "cold"}), demand); len(got) > 0 {
			return
		}
	}
	t.Errorf("no order within %v", bound)
}

// manyModels returns a spec with n models of which an engine holds two.
func manyModels(n int) *topo.EngineSpec {
	s := spec()
	s.Models = nil
	for i := range n {
		s.Models = append(s.Models, topo.Model{
			Name: "m" + strconv.Itoa(i), MemoryMB: 100, LoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond,
			RAMLoadTime: 400 * time.Millisecond,
		})
	}
	return s
}

// emptyEngines returns n engines without models.
func emptyEngines(n int) []place.Engine {
	out := make([]place.Engine, 0, n)
	for i := range n {
		out = append(out, place.Engine{ID: "e" + strconv.Itoa(i), Calls: map[string]int{}})
	}
	return out
}
