package hedge_test

import (
	"cmp"
	"flag"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figreel/figreel/internal/hedge"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var origin = time.Unix(1000, 0)

const normal = 20 * time.Millisecond

type event struct {
	at    time.Duration
	apply func()
}

// play sends calls at their times in virtual time and returns the times of the calls and of the second attempts. took
// returns the time to the first byte of the call's first attempt.
func play(p *hedge.Policy, arrivals []time.Duration, took func(i int, at time.Duration) time.Duration) (
	hedges []time.Duration, refused map[string]int,
) {
	k, refused := hedge.Key{Service: "s"}, make(map[string]int)
	var queue []event
	for i, at := range arrivals {
		queue = append(queue, event{at, func() {
			began, first := origin.Add(at), took(i, at)
			delay := p.Count(began, k)
			late := delay > 0 && first > delay
			hedged := false
			for n := time.Duration(1); late && n <= hedge.MaxAsks && n*delay < first; n++ {
				queue = append(queue, event{at + n*delay, func() {
					if n == 1 {
						p.Late("s")
					}
					if hedged {
						return
					}
					reason := p.Start(origin.Add(at+n*delay), "s", began)
					if refused[reason]++; reason != "" {
						return
					}
					hedged = true
					hedges = append(hedges, at+n*delay)
					queue = append(queue, event{at + n*delay + normal, func() {
						p.FirstByte(k, began, n*delay+normal, true)
					}})
				}})
			}
			queue = append(queue, event{at + first, func() {
				if !hedged {
					p.FirstByte(k, began, first, late)
				}
			}})
		}})
	}
	for len(queue) > 0 {
		slices.SortStableFunc(queue, func(a, b event) int { return cmp.Compare(a.at, b.at) })
		next := queue[0]
		queue = queue[1:]
		next.apply()
	}
	return hedges, refused
}

func every(n int, interval time.Duration) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = time.Duration(i) * interval
	}
	return out
}

// Guards against hedges where all calls are slow and no other upstream is faster, against none where one upstream is
// slow, and against more than the share.
func TestLoads(t *testing.T) {
	const disturbed = 2 * time.Second
	for _, tt := range []struct {
		name        string
		slow        func(i int, at time.Duration) time.Duration // from disturbed on
		least, most int
	}{
		{"a straggler among ten", func(i int, _ time.Duration) time.Duration {
			if i%10 == 0 {
				return 8 * normal
			}
			return normal
		}, 5, 12},
		{"all slow at once", func(int, time.Duration) time.Duration { return 20 * normal }, 0, 0},
		{"late but sound", func(i int, _ time.Duration) time.Duration {
			if i%10 == 0 {
				return 4 * normal
			}
			return normal
		}, 1, 12},
		{"a dark upstream", func(i int, _ time.Duration) time.Duration {
			if i%10 == 0 {
				return time.Minute
			}
			return normal
		}, 5, 12},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &hedge.Policy{Share: 0.02}
			hedges, refused := play(p, every(600, 10*time.Millisecond), func(i int, at time.Duration) time.Duration {
				if at < disturbed {
					return normal
				}
				return tt.slow(i, at)
			})
			if n := len(hedges); n < tt.least || n > tt.most {
				t.Errorf("%d hedges for 600 calls, want %d to %d; %v", n, tt.least, tt.most, refused)
			}
		})
	}
}

// Guards against hedges while calls wait, which a burst causes, and against a wait that is never over.
func TestBurst(t *testing.T) {
	p := &hedge.Policy{Share: 0.1}
	play(p, every(200, 10*time.Millisecond), func(int, time.Duration) time.Duration { return normal })
	now, began := origin.Add(2*time.Second), origin.Add(1900*time.Millisecond)
	p.Wait("s", 1)
	if got := p.Start(now, "s", began); got != hedge.RefusedWaiting {
		t.Errorf("while a call waits: %q", got)
	}
	p.Wait("s", -1)
	if got := p.Start(now, "s", began); got != "" {
		t.Errorf("when none waits: %q", got)
	}
}

// Guards against a hedge on a host that does not ask for any or knows no usual time.
func TestOff(t *testing.T) {
	for _, p := range []*hedge.Policy{nil, {}} {
		play(p, every(200, 10*time.Millisecond), func(int, time.Duration) time.Duration { return normal })
		if p.Count(origin, hedge.Key{Service: "s"}) != 0 || p.Start(origin, "s", origin) == "" {
			t.Error("a policy that is off allows a second attempt")
		}
	}
}

// Guards against more hedges in any window than the share of its calls and those of the 10 s before.
func TestLimitInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &hedge.Policy{Share: rapid.SampledFrom([]float64{1e-300, 0.01, 0.02, 0.07, 0.3, 1}).Draw(t, "share")}
		k := hedge.Key{Service: "s"}
		p.FirstByte(k, origin.Add(time.Hour), normal, false)
		var now time.Duration
		var calls, hedges []time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 249, 250, 3000, 9999, 10001, 70000}).Draw(t, "ms")) *
				time.Millisecond
			for range rapid.IntRange(0, 120).Draw(t, "calls") {
				p.Count(origin.Add(now), k)
				calls = append(calls, now)
			}
			for range rapid.IntRange(0, 20).Draw(t, "late") {
				if p.Start(origin.Add(now), "s", origin) == "" {
					hedges = append(hedges, now)
				}
			}
		}
		for i, from := range hedges {
			for j := i; j < len(hedges); j++ {
				first, _ := slices.BinarySearch(calls, from-10*time.Second)
				after, _ := slices.BinarySearch(calls, hedges[j]+1)
				paying := after - first
				if most := int(math.Floor(p.Share*float64(paying) + 1e-9)); j-i+1 > most {
					t.Fatalf("%d hedges from %v to %v for %d calls", j-i+1, from, hedges[j], paying)
				}
			}
		}
	})
}
