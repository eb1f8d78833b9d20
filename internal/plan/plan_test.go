package plan

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/pkg/envdoc"
)

var start = time.Unix(0, 0)

// simPool is a pool in which every planned action takes effect at once.
type simPool struct {
	t       testing.TB
	planner Planner
	in      Input
	rounds  int
}

// newSimPool creates engines of 100 MB in 3 failure domains, and models of the given sizes in MB with a minimum of two
// replicas.
func newSimPool(t testing.TB, engines int, sizes ...int) *simPool {
	p := &simPool{t: t}
	for i := range engines {
		p.in.Engines = append(p.in.Engines, Engine{UsableMB: 100, State: pool.EngineState{
			Name: fmt.Sprintf("e%02d", i), FailureDomain: fmt.Sprint("d", i%3), Up: true,
		}})
	}
	for i, size := range sizes {
		p.in.Models = append(p.in.Models, envdoc.Model{
			Name: fmt.Sprint("m", i), Version: "1", MemoryMB: size, MinCopies: 2,
		})
	}
	return p
}

// planAndApply plans, checks and executes the actions of one round and returns them.
func (p *simPool) planAndApply() []Action {
	p.rounds++
	actions := p.planner.Plan(start.Add(time.Duration(p.rounds)*time.Second), p.in)
	for _, a := range actions {
		i := slices.IndexFunc(p.in.Engines, func(e Engine) bool { return e.State.Name == a.Engine })
		e := &p.in.Engines[i]
		if a.Unload {
			if p.inDocument(a.Item) && len(p.replicaDomains(a.Item)) < 2 {
				p.t.Fatalf("unloads the last replica: %+v", a)
			}
			e.Replicas = slices.DeleteFunc(slices.Clone(e.Replicas), func(c Replica) bool { return c.Item == a.Item })
			e.ReservedMB -= a.MemoryMB
			continue
		}
		e.ReservedMB += a.MemoryMB
		if e.ReservedMB > e.UsableMB || e.State.Leaving || !e.State.Up {
			p.t.Fatalf("engine %+v cannot take %+v", e, a)
		}
		e.Replicas = append(slices.Clone(e.Replicas), Replica{
			Item: a.Item, Adapter: a.Adapter, MemoryMB: a.MemoryMB, Model: a.Model, Ready: true,
		})
	}
	return actions
}

// runRounds returns the number of actions in the given number of rounds.
func (p *simPool) runRounds(rounds int) (actions int) {
	for range rounds {
		actions += len(p.planAndApply())
	}
	return actions
}

func (p *simPool) inDocument(item string) bool {
	return slices.ContainsFunc(p.in.Models, func(m envdoc.Model) bool { return m.Item() == item })
}

// replicaDomains returns the failure domains of the item's replicas on engines that are up.
func (p *simPool) replicaDomains(item string) []string {
	var out []string
	for _, e := range p.in.Engines {
		if e.State.Up && slices.ContainsFunc(e.Replicas, func(c Replica) bool { return c.Item == item }) {
			out = append(out, e.State.FailureDomain)
		}
	}
	return out
}

// checkReplicas checks that the item has enough replicas, in more than one failure domain unless one is enough.
func (p *simPool) checkReplicas(item string, minimum int) {
	p.t.Helper()
	got := p.replicaDomains(item)
	if len(got) < minimum || minimum > 1 && len(slices.Compact(slices.Sorted(slices.Values(got)))) < 2 {
		p.t.Errorf("%s in failure domains %v, want at least %d replicas in two", item, got, minimum)
	}
}

// Guards against items below their minimum, replicas in a single failure domain, actions although nothing changed, and
// plans that differ for equal input.
func TestMinimumReplicas(t *testing.T) {
	p, twin := newSimPool(t, 6, 60, 50, 50, 30, 20), newSimPool(t, 6, 60, 50, 50, 30, 20)
	p.in.Adapters = []envdoc.Adapter{{Name: "a", Version: "1", Model: "m0", MemoryMB: 5, MinCopies: 2}}
	twin.in.Adapters = p.in.Adapters
	for range 10 {
		if a, b := p.planAndApply(), twin.planAndApply(); !slices.Equal(a, b) {
			t.Fatalf("plans differ: %v, %v", a, b)
		}
	}
	for i := range p.in.Models {
		p.checkReplicas(fmt.Sprintf("m%d@1", i), 2)
	}
	p.checkReplicas("a@1", 2)
	if n := p.runRounds(300); n > 0 {
		t.Errorf("%d actions although nothing changed", n)
	}
}

// Guards against lost replicas that are not replaced, or that are replaced on engines that are down or leaving.
func TestEngineLossAndLeaving(t *testing.T) {
	for _, change := range []func(*pool.EngineState){
		func(s *pool.EngineState) { s.Up = false },
		func(s *pool.EngineState) { s.Leaving = true },
	} {
		p := newSimPool(t, 9, 50, 50, 30, 30)
		p.runRounds(10)
		for _, i := range []int{0, 3, 6} {
			change(&p.in.Engines[i].State)
		}
		p.runRounds(10)
		for i := range p.in.Engines {
			p.in.Engines[i].State.Up = i%3 != 0
		}
		for i := range p.in.Models {
			p.checkReplicas(fmt.Sprintf("m%d@1", i), 2)
		}
	}
}

// Guards against a missing model for which nothing is evicted, and against the eviction of a last replica, which
// planAndApply checks.
func TestEvictionForMissing(t *testing.T) {
	p := newSimPool(t, 2, 50, 50)
	p.runRounds(5)
	for i := range 3 {
		name := fmt.Sprint("n", i)
		p.in.Models = append(p.in.Models, envdoc.Model{Name: name, Version: "1", MemoryMB: 50, MinCopies: 1})
		p.in.Demand = append(p.in.Demand, pool.Demand{Item: name + "@1", Waiting: 3, OldestWaitMS: 900 - i})
		p.runRounds(10)
	}
	for _, item := range []string{"m0@1", "m1@1", "n0@1", "n1@1"} {
		p.checkReplicas(item, 1)
	}
}

// Guards against an old version that is unloaded before the new one is ready, or is never unloaded.
func TestNewVersion(t *testing.T) {
	for _, engines := range []int{2, 4} {
		p := newSimPool(t, engines, 60, 30)
		p.runRounds(5)
		p.in.Models[0].Version = "2"
		for range 20 {
			p.planAndApply()
			if len(p.replicaDomains("m0@1"))+len(p.replicaDomains("m0@2")) == 0 {
				t.Fatal("no version is loaded")
			}
		}
		p.checkReplicas("m0@2", 2)
		if got := p.replicaDomains("m0@1"); len(got) > 0 {
			t.Errorf("old version still in %v", got)
		}
	}
}

// Guards against rising demand that adds no replica, and against loads and unloads for bursts of one second.
func TestDemand(t *testing.T) {
	p := newSimPool(t, 6, 40, 40, 40, 40)
	p.runRounds(10)
	p.in.Demand = []pool.Demand{{Item: "m0@1", TokensPerS: 2500, Rising: true}}
	p.runRounds(5)
	p.in.Demand = nil
	if n := len(p.replicaDomains("m0@1")); n < 3 {
		t.Errorf("%d replicas under rising demand", n)
	}
	p.runRounds(200)
	actions := 0
	for i := range 300 {
		p.in.Demand = []pool.Demand{{Item: fmt.Sprintf("m%d@1", i%4), TokensPerS: 2500}}
		actions += len(p.planAndApply())
	}
	if actions > 4 {
		t.Errorf("%d actions in 300 s of one-second bursts", actions)
	}
}

// newLargePool returns a pool of 24 engines with 20 models and 80 adapters.
func newLargePool(t testing.TB) *simPool {
	sizes := make([]int, 20)
	for i := range sizes {
		sizes[i] = 12 + i
	}
	p := newSimPool(t, 24, sizes...)
	for i := range 80 {
		p.in.Adapters = append(p.in.Adapters, envdoc.Adapter{
			Name: fmt.Sprint("a", i), Version: "1", Model: fmt.Sprint("m", i%20), MemoryMB: 1, MinCopies: 2,
		})
		p.in.Demand = append(p.in.Demand, pool.Demand{Item: fmt.Sprintf("a%d@1", i), TokensPerS: float64(i)})
	}
	return p
}

// Guards against adapters below their minimum because models were placed where no memory is left for adapters, and
// against actions although nothing changed.
func TestLargePool(t *testing.T) {
	p := newLargePool(t)
	p.runRounds(120)
	for _, a := range p.in.Adapters {
		p.checkReplicas(a.Item(), 2)
	}
	if n := p.runRounds(100); n > 0 {
		t.Errorf("%d actions although nothing changed", n)
	}
}

func BenchmarkPlan(b *testing.B) {
	p := newLargePool(b)
	b.Run("from nothing", func(b *testing.B) {
		for i := range b.N {
			planner := Planner{}
			planner.Plan(start.Add(time.Duration(i)), p.in)
		}
	})
	p.runRounds(100)
	b.Run("at rest", func(b *testing.B) {
		for i := range b.N {
			p.planner.Plan(start.Add(time.Hour+time.Duration(i)*time.Second), p.in)
		}
	})
}
