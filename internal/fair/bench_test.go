package fair_test

import (
	"fmt"
	"testing"

	"github.com/figreel/figreel/internal/fair"
)

// BenchmarkOrder measures the order of 500 queued calls, and BenchmarkArrival the place of another one with a charge.
func BenchmarkOrder(b *testing.B) { benchmark(b, func(s *site) { s.queue.Order(start, s.waiting) }) }

func BenchmarkArrival(b *testing.B) {
	benchmark(b, func(s *site) {
		s.queue.Ahead(start, s.waiting[7], func(*job) bool { return true })
		s.queue.Charge(start, s.waiting[7].Workspace, 0, longWork)
	})
}

func benchmark(b *testing.B, f func(*site)) {
	for _, spaces := range []int{16, 100, 1000} {
		for _, n := range []int{20, 140, 790} {
			b.Run(fmt.Sprintf("workspaces=%d/engines=%d", spaces, n), func(b *testing.B) {
				s := newSite(make(map[string][]int))
				for i := range n * 17 / 20 { // models with an average of 3.5 replicas
					s.pools[fmt.Sprint(i)] = engines(i, min(i+1+i%6, n))
				}
				for i := range 500 {
					s.waiting = append(s.waiting, &job{fair.Call[string]{
						Workspace: fmt.Sprint(i * 7 % spaces), Pool: fmt.Sprint(i % len(s.pools)), Work: longWork,
					}})
				}
				s.queue.Order(start, s.waiting)
				for b.Loop() {
					f(s)
				}
			})
		}
	}
}
