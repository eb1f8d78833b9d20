package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/poison"
	"github.com/figreel/figreel/internal/topo"
)

const deadlyRequest = 1 << 40

// request returns a call with a request and these segments.
func request(id uint64, segments ...uint64) *topo.CallSpec {
	call := prompt(segments...)
	call.Request = id
	return call
}

// Guards against a request that comes again and crashes one upstream after the other, and against other calls, or a request
// that is served, that are rejected with it.
func TestRequestThatComesAgain(t *testing.T) {
	type event struct {
		at     int    // ms
		engine string // that broke, or empty if the call was served
		call   *topo.CallSpec
	}
	const gap = 400
	repeated := func(n int, call *topo.CallSpec) []event {
		var out []event
		for i := range n {
			out = append(out, event{i * gap, fmt.Sprint("engine-", i), call})
		}
		return out
	}
	served := func(n int) []event {
		var out []event
		for i := range n {
			out = append(out, event{gap + 1, "", request(uint64(1000+i), 1, uint64(1000+i))})
		}
		return out
	}
	model, plain := request(deadlyRequest, 1, 2, 9), request(deadlyRequest)
	for _, tt := range []struct {
		name    string
		events  []event
		call    *topo.CallSpec
		blocked bool
	}{
		{"three engines", repeated(3, model), model, true},
		{"with another last segment", repeated(3, model), request(deadlyRequest, 1, 2, 10), true},
		{"another request with the same segments", repeated(3, model), request(7, 1, 2, 9), false},
		{"plain service", repeated(3, plain), plain, true},
		{"another request of a plain service", repeated(3, plain), request(7), false},
		{"two engines", repeated(2, model), model, false},
		{"unknown request", repeated(3, request(0, 9)), request(0, 9), false},
		{"many other calls in between", append(repeated(2, model), append(served(20_000), event{2 * gap, "c", model})...), model, true},
		{"served in between", append(repeated(2, model), event{gap + 1, "", model}, event{2 * gap, "c", model}), model, false},
		{"served before", append([]event{{0, "", model}}, repeated(4, model)...), model, false},
		{"served afterwards", append(repeated(3, model), event{3 * gap, "", model}), model, false},
		{"engines of one outage", []event{{0, "a", model}, {5, "b", model}, {9, "c", model}}, model, false},
		{"one engine", []event{{0, "a", model}, {gap, "a", model}, {2 * gap, "a", model}}, model, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var table poison.Table
			for _, e := range tt.events {
				at := start.Add(time.Duration(e.at) * time.Millisecond)
				if e.engine == "" {
					table.Served(at, e.call)
				} else {
					table.Broken(at, at.Add(-80*time.Millisecond), e.engine, e.call)
				}
			}
			if got := table.Blocks(tt.call); got != tt.blocked {
				t.Errorf("blocked: %v, want %v; %+v", got, tt.blocked, table.State(start))
			}
		})
	}
}

// Guards against a request that crashes engines under the calls of several hosts, none of which sees enough of them, and
// against a host with broken connections that makes all others reject a request that they serve.
func TestRequestAtSeveralHosts(t *testing.T) {
	call := request(deadlyRequest, 1, 9)
	for _, served := range []bool{false, true} {
		var hosts [3]poison.Table
		if served {
			hosts[2].Served(start, call)
		}
		for i := range 3 {
			at := start.Add(time.Duration(i+1) * time.Second)
			broken := &hosts[i]
			if served {
				broken = &hosts[0]
			}
			broken.Broken(at, at.Add(-80*time.Millisecond), fmt.Sprint("engine-", i), call)
			for range 2 {
				for n := range hosts {
					hosts[(n+1)%len(hosts)].Merge(at, hosts[n].State(at))
				}
			}
		}
		if got := hosts[2].Blocks(call); got == served {
			t.Errorf("served %v, blocked %v: %+v", served, got, hosts[2].State(start))
		}
	}
}
