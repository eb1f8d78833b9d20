package place_test

import (
	"slices"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/place"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

func kind() *topo.EngineSpec {
	k := &topo.EngineSpec{MemoryMB: 220, AdapterSlots: 2, LoadsPerS: 1}
	for _, name := range []string{"hot", "warm", "cold", "rare"} {
		k.Models = append(k.Models, topo.Model{
			Name: name, MemoryMB: 100, LoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond,
			RAMLoadTime: 400 * time.Millisecond,
		})
	}
	return k
}

// engines returns one engine for each list of models.
func engines(held ...[]string) []place.Engine {
	out := make([]place.Engine, 0, len(held))
	for i, h := range held {
		out = append(out, place.Engine{ID: string(rune('a' + i)), Resident: h, Calls: map[string]int{}})
	}
	return out
}

// Guards against models that stay unreachable, last copies that make way, and loads that chase small differences.
func TestPlan(t *testing.T) {
	hot := map[string]sched.ModelDemand{"hot": {OfferedLoad: 2, Requested: true}, "warm": {OfferedLoad: 0.05, Requested: true}}
	for _, tt := range []struct {
		name    string
		engines []place.Engine
		needs   map[string]sched.ModelDemand
		change  func([]place.Engine)
		want    []place.Order
	}{
		{
			name: "calls wait for a model without a copy", engines: engines([]string{"hot"}, []string{"hot", "warm"}),
			needs: map[string]sched.ModelDemand{"cold": {Waiting: 2, Requested: true}, "rare": {}},
			want:  []place.Order{{Engine: "a", Model: "cold"}},
		},
		{
			name:    "demand has moved to a model with one copy",
			engines: engines([]string{"warm", "cold"}, []string{"warm", "rare"}, []string{"warm", "hot"}),
			needs:   hot,
			want:    []place.Order{{Engine: "a", Model: "warm", Unload: true}, {Engine: "b", Model: "warm", Unload: true}},
		},
		{
			name:    "a copy in memory goes first",
			engines: engines([]string{"warm", "cold"}, []string{"rare"}, []string{"hot"}), needs: hot,
			change: func(e []place.Engine) { e[2].Resident, e[2].InRAM, e[1].InRAM = nil, nil, []string{"hot"} },
			want:   []place.Order{{Engine: "b", Model: "hot"}},
		},
		{
			name: "last copies stay", engines: engines([]string{"warm", "cold"}, []string{"hot", "rare"}), needs: hot,
		},
		{
			name: "a busy engine takes no order", engines: engines([]string{"hot"}, []string{"cold", "rare"}),
			needs:  map[string]sched.ModelDemand{"warm": {Waiting: 1, Requested: true}},
			change: func(e []place.Engine) { e[0].Busy = true },
		},
		{
			name: "a model with running calls stays", engines: engines([]string{"warm", "cold"}, []string{"warm", "rare"}, []string{"hot"}),
			needs: hot,
			change: func(e []place.Engine) {
				e[0].Calls["warm"], e[1].Calls["warm"] = 1, 1
				e[2].Busy = true
			},
		},
		{
			name: "small differences change nothing", engines: engines([]string{"hot", "cold"}, []string{"warm", "rare"}),
			needs: map[string]sched.ModelDemand{"hot": {OfferedLoad: 0.1, Requested: true}, "warm": {OfferedLoad: 0.08, Requested: true}},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if tt.change != nil {
				tt.change(tt.engines)
			}
			p := &place.Planner{Spec: kind()}
			got := p.Plan(time.Unix(100, 0), tt.engines, tt.needs)
			for _, o := range tt.want {
				if !slices.Contains(got, o) {
					t.Errorf("orders %+v lack %+v", got, o)
				}
			}
			if tt.want == nil && len(got) > 0 {
				t.Errorf("orders %+v, want none", got)
			}
		})
	}
}

// Guards against loads of models that engines hold which have not registered yet, and against waiting for these while
// calls wait.
func TestEnginesRegisterOneByOne(t *testing.T) {
	p := &place.Planner{Spec: kind()}
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
		t.Error("no order for a model that only an engine held which is gone")
	}
}

// Guards against an overload of some models that takes a copy from them for every call to another one, and against
// models that stay unreachable as long as it lasts.
func TestModelWithoutCopyInOverload(t *testing.T) {
	held := [][]string{{"hot", "warm"}, {"hot", "warm"}}
	needs := map[string]sched.ModelDemand{
		"hot": {OfferedLoad: 3, Requested: true}, "warm": {OfferedLoad: 3, Requested: true}, "cold": {Waiting: 1, Requested: true},
	}
	p := &place.Planner{Spec: kind()}
	now := time.Unix(100, 0)
	for end := now.Add(4 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if got := p.Plan(now, engines(held...), needs); len(got) > 0 {
			t.Fatalf("orders %+v while all copies are overloaded", got)
		}
	}
	now = now.Add(2 * time.Second)
	if got := p.Plan(now, engines(held...), needs); len(got) != 1 || !got[0].Unload {
		t.Errorf("orders %+v, want room for the model that has lacked a copy for six seconds", got)
	}
}

// Guards against more loads from the weight store than its rate allows, also when every model is wanted at once.
func TestLoadRate(t *testing.T) {
	p := &place.Planner{Spec: kind()}
	begun := 0
	now := time.Unix(100, 0)
	for range 100 {
		list := engines(nil, nil, nil, nil, nil, nil, nil, nil)
		needs := map[string]sched.ModelDemand{}
		for _, m := range p.Spec.Models {
			needs[m.Name] = sched.ModelDemand{OfferedLoad: 5, Waiting: 3, Requested: true}
		}
		begun += len(p.Plan(now, list, needs))
		now = now.Add(50 * time.Millisecond)
	}
	if begun > 5+2 || begun < 5 {
		t.Errorf("%d loads in 5 s at 1 a second", begun)
	}
}
