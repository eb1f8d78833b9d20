package place_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/place"
	"github.com/figreel/figreel/internal/sched"
)

// BenchmarkPlan measures one plan of a service whose models are all resident and in demand, with calls waiting for
// some models without a replica. The number of models is 1.7 times that of engines.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{20, 80, 320, 790} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			models := n * 17 / 10
			s := manyModels(models)
			s.LoadsPerS = float64(n) / 7
			list := emptyEngines(n)
			for i := range list {
				list[i].Resident = []string{
					fmt.Sprint("m", i%models), fmt.Sprint("m", (i+n/2)%models),
				}
				list[i].InRAM, list[i].OnDisk = list[i].Resident, list[i].Resident
			}
			demand := map[string]sched.ModelDemand{}
			for i := range s.Models {
				d := sched.ModelDemand{OfferedLoad: float64(i%40) / 40, CallRate: 1, Requested: true}
				if i%10 == 0 {
					d.Waiting = 2
				}
				demand[s.Models[i].Name] = d
			}
			p := &place.Planner{Spec: s}
			now := time.Unix(100, 0)
			p.Plan(now, list, demand)
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				p.Plan(now, list, demand)
			}
		})
	}
}
