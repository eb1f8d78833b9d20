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

// lab carries out the moves of a planner at once.
type lab struct {
	t  testing.TB
	p  Planner
	in Input
	n  int
}

// newLab makes engines of 100 MB in 3 failure domains, and models of the given sizes with two copies each.
func newLab(t testing.TB, engines int, sizes ...int) *lab {
	l := &lab{t: t}
	for i := range engines {
		l.in.Engines = append(l.in.Engines, Engine{UsableMB: 100, State: pool.EngineState{
			Name: fmt.Sprintf("e%02d", i), FailureDomain: fmt.Sprint("d", i%3), Up: true,
		}})
	}
	for i, size := range sizes {
		l.in.Models = append(l.in.Models, envdoc.Model{
			Name: fmt.Sprint("m", i), Version: "1", MemoryMB: size, MinCopies: 2,
		})
	}
	return l
}

// round plans, checks the moves, and carries them out; it returns them.
func (l *lab) round() []Action {
	l.n++
	moves := l.p.Plan(start.Add(time.Duration(l.n)*time.Second), l.in)
	for _, m := range moves {
		i := slices.IndexFunc(l.in.Engines, func(e Engine) bool { return e.State.Name == m.Engine })
		e := &l.in.Engines[i]
		if m.Unload {
			if l.named(m.Item) && len(l.at(m.Item)) < 2 {
				l.t.Fatalf("unloads the last copy: %+v", m)
			}
			e.Replicas = slices.DeleteFunc(slices.Clone(e.Replicas), func(c Replica) bool { return c.Item == m.Item })
			e.ReservedMB -= m.MemoryMB
			continue
		}
		e.ReservedMB += m.MemoryMB
		if e.ReservedMB > e.UsableMB || e.State.Leaving || !e.State.Up {
			l.t.Fatalf("engine %+v cannot take %+v", e, m)
		}
		e.Replicas = append(slices.Clone(e.Replicas), Replica{
			Item: m.Item, Adapter: m.Adapter, MemoryMB: m.MemoryMB, Model: m.Model, Ready: true,
		})
	}
	return moves
}

func (l *lab) rest(rounds int) (moves int) {
	for range rounds {
		moves += len(l.round())
	}
	return moves
}

func (l *lab) named(item string) bool {
	return slices.ContainsFunc(l.in.Models, func(m envdoc.Model) bool { return m.Item() == item })
}

// at returns the failure domains of the copies on engines that are up.
func (l *lab) at(item string) []string {
	var out []string
	for _, e := range l.in.Engines {
		if e.State.Up && slices.ContainsFunc(e.Replicas, func(c Replica) bool { return c.Item == item }) {
			out = append(out, e.State.FailureDomain)
		}
	}
	return out
}

func (l *lab) copies(item string, least int) {
	l.t.Helper()
	got := l.at(item)
	if len(got) < least || least > 1 && len(slices.Compact(slices.Sorted(slices.Values(got)))) < 2 {
		l.t.Errorf("%s in failure domains %v, want %d copies in two at least", item, got, least)
	}
}

// Guards against missing minimum copies, copies in one failure domain, moves without a reason, and unequal plans.
func TestMinimumAndRest(t *testing.T) {
	l, twin := newLab(t, 6, 60, 50, 50, 30, 20), newLab(t, 6, 60, 50, 50, 30, 20)
	l.in.Adapters = []envdoc.Adapter{{Name: "a", Version: "1", Model: "m0", MemoryMB: 5, MinCopies: 2}}
	twin.in.Adapters = l.in.Adapters
	for range 10 {
		if a, b := l.round(), twin.round(); !slices.Equal(a, b) {
			t.Fatalf("plans differ: %v, %v", a, b)
		}
	}
	for i := range l.in.Models {
		l.copies(fmt.Sprintf("m%d@1", i), 2)
	}
	l.copies("a@1", 2)
	if n := l.rest(300); n > 0 {
		t.Errorf("%d moves although nothing changed", n)
	}
}

// Guards against losses that are not repaired, or repaired on the lost or leaving engines.
func TestLossAndLeaving(t *testing.T) {
	for _, change := range []func(*pool.EngineState){
		func(s *pool.EngineState) { s.Up = false },
		func(s *pool.EngineState) { s.Leaving = true },
	} {
		l := newLab(t, 9, 50, 50, 30, 30)
		l.rest(10)
		for _, i := range []int{0, 3, 6} {
			change(&l.in.Engines[i].State)
		}
		l.rest(10)
		for i := range l.in.Engines {
			l.in.Engines[i].State.Up = i%3 != 0
		}
		for i := range l.in.Models {
			l.copies(fmt.Sprintf("m%d@1", i), 2)
		}
	}
}

// Guards against a missing model that gets no room, and against room made from a last copy (checked in round).
func TestRoomForMissing(t *testing.T) {
	l := newLab(t, 2, 50, 50)
	l.rest(5)
	for i := range 3 {
		name := fmt.Sprint("n", i)
		l.in.Models = append(l.in.Models, envdoc.Model{Name: name, Version: "1", MemoryMB: 50, MinCopies: 1})
		l.in.Demand = append(l.in.Demand, pool.Demand{Item: name + "@1", Waiting: 3, OldestWaitMS: 900 - i})
		l.rest(10)
	}
	for _, item := range []string{"m0@1", "m1@1", "n0@1", "n1@1"} {
		l.copies(item, 1)
	}
}

// Guards against an old version that goes before the new one answers, or that stays.
func TestNewVersion(t *testing.T) {
	for _, engines := range []int{2, 4} {
		l := newLab(t, engines, 60, 30)
		l.rest(5)
		l.in.Models[0].Version = "2"
		for range 20 {
			l.round()
			if len(l.at("m0@1"))+len(l.at("m0@2")) == 0 {
				t.Fatal("no version answers")
			}
		}
		l.copies("m0@2", 2)
		if got := l.at("m0@1"); len(got) > 0 {
			t.Errorf("old version still in %v", got)
		}
	}
}

// Guards against demand without a further copy, and against moves that follow each short swing.
func TestDemand(t *testing.T) {
	l := newLab(t, 6, 40, 40, 40, 40)
	l.rest(10)
	l.in.Demand = []pool.Demand{{Item: "m0@1", TokensPerS: 2500, Rising: true}}
	l.rest(5)
	l.in.Demand = nil
	if n := len(l.at("m0@1")); n < 3 {
		t.Errorf("%d copies under rising demand", n)
	}
	l.rest(200)
	moves := 0
	for i := range 300 {
		l.in.Demand = []pool.Demand{{Item: fmt.Sprintf("m%d@1", i%4), TokensPerS: 2500}}
		moves += len(l.round())
	}
	if moves > 4 {
		t.Errorf("%d moves in 300 s of one-second swings", moves)
	}
}

// newLarge is a pool of 24 engines with 20 models and 80 adapters.
func newLarge(t testing.TB) *lab {
	sizes := make([]int, 20)
	for i := range sizes {
		sizes[i] = 12 + i
	}
	l := newLab(t, 24, sizes...)
	for i := range 80 {
		l.in.Adapters = append(l.in.Adapters, envdoc.Adapter{
			Name: fmt.Sprint("a", i), Version: "1", Model: fmt.Sprint("m", i%20), MemoryMB: 1, MinCopies: 2,
		})
		l.in.Demand = append(l.in.Demand, pool.Demand{Item: fmt.Sprintf("a%d@1", i), TokensPerS: float64(i)})
	}
	return l
}

// Guards against adapters that find no memory beside their models although the pool has plenty.
func TestLargePool(t *testing.T) {
	l := newLarge(t)
	l.rest(120)
	for _, a := range l.in.Adapters {
		l.copies(a.Item(), 2)
	}
	if n := l.rest(100); n > 0 {
		t.Errorf("%d moves although nothing changed", n)
	}
}

func BenchmarkPlan(b *testing.B) {
	l := newLarge(b)
	b.Run("from nothing", func(b *testing.B) {
		for i := range b.N {
			p := Planner{}
			p.Plan(start.Add(time.Duration(i)), l.in)
		}
	})
	l.rest(100)
	b.Run("at rest", func(b *testing.B) {
		for i := range b.N {
			l.p.Plan(start.Add(time.Hour+time.Duration(i)*time.Second), l.in)
		}
	})
}
