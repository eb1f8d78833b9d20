package sched_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against prompts of many small segments that make the estimates of what engines have cached take all memory.
func TestMemoryOfSmallSegments(t *testing.T) {
	const calls, segments, limit = 400, 2000, 16 << 20
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	s := fleet(4, 0)
	s.CacheBytes = limit
	before := heap()
	grant := func(i int) sched.Grant {
		q := fleetCall(i, 4)
		q.Spec.Segments = make([]topo.PromptSegment, segments)
		for k := range q.Spec.Segments {
			q.Spec.Segments[k] = topo.PromptSegment{ID: uint64(i*segments + k), Tokens: 1}
		}
		d := s.Schedule(start.Add(time.Duration(i)*time.Second), q)
		if d.Kind != sched.Granted {
			t.Fatalf("call %d: %+v", i, d)
		}
		s.Release(start.Add(time.Duration(i)*time.Second), d.Grant.Ticket, sched.Served)
		return d.Grant
	}
	for i := range calls {
		grant(i)
	}
	if used := heap() - before; used > limit {
		t.Errorf("%d bytes are used, %d are allowed", used, limit)
	}
	if g := grant(calls - 1); g.PrefillTokens >= segments {
		t.Errorf("a prompt that an engine has just read is estimated at %d tokens", g.PrefillTokens)
	}
	runtime.KeepAlive(s)
}
