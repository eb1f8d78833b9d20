package place_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/place"
	"github.com/figreel/figreel/internal/sched"
)

// Guards against loads that follow from the speed of engines where all are alike.
func TestEvenEnginesAreLoadedAsBefore(t *testing.T) {
	loads := func(speed float64) int {
		s, rng := newSim(20, 40), rand.New(rand.NewPCG(1, 2))
		for _, e := range s.engines {
			e.Speed = speed
		}
		for range 900 {
			s.step()
			for range 2 {
				s.arrive("m"+strconv.Itoa(min(rng.IntN(40), rng.IntN(40))), true)
			}
		}
		return s.fetched
	}
	if before, got := loads(0), loads(1); got > before {
		t.Errorf("%d loads, %d without a known speed", got, before)
	}
}

// Guards against replicas that are counted and not weighed by the speed of their engine.
func TestSpeedOfEngines(t *testing.T) {
	for _, tt := range []struct {
		name     string
		resident [][]string
		speeds   []float64
		load     float64
		want     []place.Order
	}{
		{
			"a popular model goes to a fast engine",
			[][]string{{"warm"}, {"cold"}, {"rare"}},
			[]float64{0.55, 0.55, 1.2},
			0.5,
			[]place.Order{{Engine: "c", Model: "hot"}, {Engine: "a", Model: "hot"}, {Engine: "b", Model: "hot"}},
		},
		{
			"replicas on slow engines do not suffice",
			[][]string{{"hot", "warm"}, {"cold"}, {"rare"}},
			[]float64{0.55, 0.55, 0.55},
			0.09,
			[]place.Order{{Engine: "b", Model: "hot"}},
		},
		{
			"one on a usual engine does", [][]string{{"hot", "warm"}, {"cold"}, {"rare"}}, []float64{0, 0, 0}, 0.09, nil,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := engines(tt.resident...)
			for i := range list {
				list[i].Speed = tt.speeds[i]
				list[i].InRAM = []string{"hot"}
			}
			p := &place.Planner{Spec: spec()}
			got := p.Plan(time.Unix(100, 0), list, map[string]sched.ModelDemand{"hot": {OfferedLoad: tt.load, Requested: true}})
			if len(got) != len(tt.want) {
				t.Fatalf("orders %+v, want %+v", got, tt.want)
			}
			for i := range got {
				if got[i] != tt.want[i] {
					t.Errorf("order %+v, want %+v", got[i], tt.want[i])
				}
			}
		})
	}
}
