package sched_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

var start = time.Unix(1000, 0)

// newScheduler returns a scheduler with n engines that all hold model m; model x has no replica.
func newScheduler(n int) *sched.Scheduler {
	s := &sched.Scheduler{PlacementFrom: start}
	s.SetConfig(&topo.Config{Services: map[string]topo.Service{"llm": {Name: "llm", Engine: &topo.EngineSpec{
		Slots: 8, KVTokens: 100_000, AdapterSlots: 2,
		Models: []topo.Model{{Name: "m", LoadTime: 4 * time.Second}, {Name: "x", LoadTime: 4 * time.Second}},
	}}}})
	s.SetUpstreams(start, upstreams(n))
	return s
}

func upstreams(n int) []*topo.Upstream {
	var list []*topo.Upstream
	for i := range n {
		list = append(list, &topo.Upstream{
			ID: "e" + strconv.Itoa(i), Service: "llm", Addr: "addr" + strconv.Itoa(i), Boot: 1, Slots: 8,
			Models: []topo.Resident{{Name: "m"}},
		})
	}
	return list
}

func call(name string, prompt int, segments ...uint64) sched.Request {
	q := sched.Request{
		Call: name, Service: "llm", Remaining: 5 * time.Second,
		Spec: topo.CallSpec{Model: "m", PromptTokens: prompt, OutputTokens: 50},
	}
	for _, id := range segments {
		q.Spec.Segments = append(q.Spec.Segments, topo.PromptSegment{ID: id, Tokens: prompt / len(segments)})
	}
	return q
}

// Guards against a burst of long prompts being sent to one engine while others are idle.
func TestBurstIsSpread(t *testing.T) {
	s := newScheduler(4)
	on := make(map[string]int)
	for i := range 16 {
		got := s.Schedule(start, call(strconv.Itoa(i), 9000))
		if got.Kind != sched.Granted {
			t.Fatalf("call %d: %+v", i, got)
		}
		on[got.Grant.Engine]++
	}
	for e, n := range on {
		if n != 4 {
			t.Errorf("%s has %d of 16 calls", e, n)
		}
	}
}

// Guards against a repeated prefill although an idle engine has the prefix of the prompt in its cache.
func TestCachedPrefixIsReused(t *testing.T) {
	s := newScheduler(4)
	first := s.Schedule(start, call("a", 9000, 1, 2, 3))
	s.FirstEvent(start.Add(200*time.Millisecond), first.Grant.Ticket)
	s.Release(start.Add(300*time.Millisecond), first.Grant.Ticket, sched.Served)
	for i := range 5 {
		got := s.Schedule(start.Add(time.Second), call(strconv.Itoa(i), 9000, 1, 2, uint64(10+i)))
		if got.Grant.Engine != first.Grant.Engine {
			t.Errorf("call %d went to %s, its prefix is cached on %s", i, got.Grant.Engine, first.Grant.Engine)
		}
		s.Release(start.Add(time.Second), got.Grant.Ticket, sched.Served)
	}
}

// Guards against calls to engines that failed, are leaving, have restarted or no longer hold the model.
func TestUnavailableEnginesAreAvoided(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(s *sched.Scheduler)
	}{
		{"failed", func(s *sched.Scheduler) {
			s.Release(start, s.Schedule(start, call("a", 100)).Grant.Ticket, sched.Failed)
		}},
		{"responded that the model is not resident", func(s *sched.Scheduler) {
			s.Release(start, s.Schedule(start, call("a", 100)).Grant.Ticket, sched.NotResident)
		}},
		{"leaving", func(s *sched.Scheduler) {
			list := upstreams(2)
			list[0].Leaving = true
			s.SetUpstreams(start, list)
		}},
		{"not listed any more", func(s *sched.Scheduler) { s.SetUpstreams(start, upstreams(2)[1:]) }},
		{"restarted without models", func(s *sched.Scheduler) {
			list := upstreams(2)
			list[0].Boot, list[0].Models = 2, nil
			s.SetUpstreams(start, list)
		}},
		{"draining", func(s *sched.Scheduler) { s.DrainModel("e0", "m") }},
		{"unloaded", func(s *sched.Scheduler) {
			s.OrderAccepted(start, "e0", &topo.Order{Unload: true, Model: "m"}, 1, topo.OrderAccepted)
		}},
		{"reports no models", func(s *sched.Scheduler) { s.SetReport(start, "e0", &topo.Report{Boot: 1, Sequence: 1}) }},
	} {
		s := newScheduler(2)
		tt.do(s)
		for i := range 4 {
			got := s.Schedule(start.Add(time.Millisecond), call(strconv.Itoa(i), 100))
			if got.Kind != sched.Granted || got.Grant.Engine != "e1" {
				t.Errorf("%s: %+v", tt.name, got)
			}
		}
	}
}

// Guards against calls that wait for a model that cannot be loaded in time, and against calls that are rejected
// although it can.
func TestModelWithoutReplica(t *testing.T) {
	for _, tt := range []struct {
		name      string
		placement bool
		left      time.Duration
		want      sched.Kind
	}{
		{"in time", true, 5 * time.Second, sched.Waiting},
		{"too late", true, 3 * time.Second, sched.Rejected},
		{"no placement", false, 5 * time.Second, sched.Rejected},
	} {
		s := newScheduler(2)
		if !tt.placement {
			s.PlacementFrom = time.Time{}
		}
		q := call("a", 100)
		q.Spec.Model, q.Remaining = "x", tt.left
		got := s.Schedule(start, q)
		if got.Kind != tt.want {
			t.Errorf("%s: %+v", tt.name, got)
		}
		if got.Kind == sched.Rejected && got.RetryAfter <= 0 {
			t.Errorf("%s: rejected without a retry time", tt.name)
		}
		if n := s.Demand(start)["x"].Waiting; tt.want == sched.Waiting && n != 1 {
			t.Errorf("%s: %d calls are waiting", tt.name, n)
		}
	}
}

// Guards against an adapter that is ordered twice, and against the eviction of an adapter that is in use.
func TestAdapters(t *testing.T) {
	s := newScheduler(1)
	schedule := func(id, adapter string) sched.Decision {
		q := call(id, 100)
		q.Spec.Adapter = adapter
		return s.Schedule(start, q)
	}
	accept := func(n sched.AdapterLoad) {
		s.OrderAccepted(start, n.Engine, &topo.Order{Model: n.Model, Adapter: n.Adapter}, 1, topo.OrderAccepted)
	}
	if schedule("a", "a1").Kind != sched.Waiting || schedule("b", "a1").Kind != sched.Waiting {
		t.Fatal("calls are not waiting for their adapter")
	}
	loads := s.AdapterLoads()
	if len(loads) != 1 || loads[0].EvictAdapter != "" {
		t.Fatalf("adapter loads %+v", loads)
	}
	accept(loads[0])
	soon := start.Add(50 * time.Millisecond)
	if got := s.Step(soon); len(got) != 2 || got[0].Kind != sched.Granted {
		t.Fatalf("decisions %+v", got)
	}
	schedule("c", "a2")
	accept(s.AdapterLoads()[0])
	granted := s.Step(soon)
	if len(granted) != 1 {
		t.Fatalf("decisions %+v", granted)
	}
	if got := schedule("d", "a3"); got.Kind != sched.Waiting || len(s.AdapterLoads()) != 0 {
		t.Errorf("an adapter in use is evicted: %+v", got)
	}
	s.Release(soon, granted[0].Grant.Ticket, sched.Served)
	s.Step(soon)
	if loads := s.AdapterLoads(); len(loads) != 1 || loads[0].EvictAdapter != "a2" || loads[0].Adapter != "a3" {
		t.Errorf("adapter loads %+v", loads)
	}
}

// Guards against calls that are sent with an adapter that is being evicted, because the load of another one failed.
func TestFailedAdapterLoad(t *testing.T) {
	s := newScheduler(1)
	soon := start.Add(50 * time.Millisecond)
	schedule := func(now time.Time, id, adapter string) sched.Decision {
		q := call(id, 100)
		q.Spec.Adapter = adapter
		return s.Schedule(now, q)
	}
	for _, name := range []string{"a1", "a2"} {
		schedule(start, "first "+name, name)
		for _, load := range s.AdapterLoads() {
			s.OrderAccepted(start, load.Engine, &topo.Order{Model: load.Model, Adapter: load.Adapter}, 1, topo.OrderAccepted)
		}
		for _, dec := range s.Step(soon) {
			s.Release(soon, dec.Grant.Ticket, sched.Served)
		}
	}
	schedule(soon, "b", "b1")
	schedule(soon, "c", "b2")
	loads := s.AdapterLoads()
	if len(loads) != 2 || loads[0].EvictAdapter == loads[1].EvictAdapter {
		t.Fatalf("adapter loads %+v, want two that evict both adapters", loads)
	}
	s.AdapterFailed(soon, loads[0])
	if got := schedule(soon, "d", loads[0].EvictAdapter); got.Kind != sched.Granted {
		t.Errorf("call for an adapter whose eviction was given up: %+v", got)
	}
	if got := schedule(soon, "e", loads[1].EvictAdapter); got.Kind == sched.Granted {
		t.Errorf("call for an adapter that is being evicted: %+v", got)
	}
}

// Guards against a new scheduler that ignores the load of the tickets restored from its predecessor.
func TestRestoreTicket(t *testing.T) {
	old, s := newScheduler(2), newScheduler(2)
	for i := range 6 {
		q := call(strconv.Itoa(i), 9000)
		got := old.Schedule(start, q)
		s.RestoreTicket(start, sched.OpenTicket{Request: q, Grant: sched.Grant{
			Ticket: 100 + got.Grant.Ticket, Engine: "e0", Addr: "addr0", Boot: 1,
		}})
	}
	for i := range 3 {
		if got := s.Schedule(start, call("n"+strconv.Itoa(i), 9000)); got.Grant.Engine != "e1" {
			t.Errorf("call %d goes to the engine with six restored calls", i)
		}
	}
	if n := s.Calls("e0", "m"); n != 6 {
		t.Errorf("%d calls, want 6", n)
	}
	s.Release(start, 101, sched.Canceled)
	if n := s.Calls("e0", "m"); n != 5 {
		t.Errorf("%d calls after one has ended, want 5", n)
	}
}

// Guards against calls in an overload that are queued until it is too late, instead of being rejected at once with a
// retry time.
func TestOverloadIsRejectedAtOnce(t *testing.T) {
	s := newScheduler(1)
	q := call("s", 100)
	q.GapTarget, q.TargetLatency = 500*time.Millisecond, time.Second
	s.FirstEvent(start, s.Schedule(start, q).Grant.Ticket)
	waiting, rejected := 0, 0
	for i := range 60 {
		q := call(strconv.Itoa(i), 6000)
		q.GapTarget, q.TargetLatency, q.Remaining = 500*time.Millisecond, time.Second, 4*time.Second
		switch got := s.Schedule(start, q); got.Kind {
		case sched.Waiting:
			waiting++
		case sched.Rejected:
			rejected++
			if got.RetryAfter < 500*time.Millisecond {
				t.Errorf("call %d gets a retry time of %v", i, got.RetryAfter)
			}
		}
	}
	if waiting < 10 || rejected < 30 {
		t.Errorf("%d calls are queued, %d are rejected at once", waiting, rejected)
	}
	// The prefill of a prompt takes 0.16 s, so that of twelve prompts takes about twice the target.
	if waiting > 12 {
		t.Errorf("%d calls are queued, some for more than twice their target", waiting)
	}
}

// Guards, in an overload of long prompts, against late calls being served before calls that can still meet their
// target, and against grants that stall running streams.
func TestLateCallsGoLast(t *testing.T) {
	const gap = 500 * time.Millisecond
	s := newScheduler(1)
	busy := call("stream", 100)
	busy.GapTarget, busy.TargetLatency = gap, time.Second
	s.FirstEvent(start, s.Schedule(start, busy).Grant.Ticket)
	prefill := call("prefill", 9000)
	prefill.GapTarget, prefill.TargetLatency = gap, time.Second
	first := s.Schedule(start, prefill)
	if first.Kind != sched.Granted {
		first = s.Step(start.Add(50 * time.Millisecond))[0]
	}
	late := call("late", 9000)
	late.GapTarget, late.TargetLatency = gap, 300*time.Millisecond
	now := start.Add(100 * time.Millisecond)
	if got := s.Schedule(now, late); got.Kind != sched.Waiting {
		t.Fatalf("late call: %+v", got)
	}
	now = now.Add(200 * time.Millisecond)
	soon := call("soon", 1000)
	soon.GapTarget, soon.TargetLatency = gap, time.Second
	if got := s.Schedule(now, soon); got.Kind != sched.Waiting {
		t.Fatalf("call in time: %+v", got)
	}
	now = now.Add(200 * time.Millisecond)
	if got := s.Step(now); len(got) > 0 {
		t.Errorf("granted before a decode interval of the streams: %+v", got)
	}
	s.FirstEvent(now, first.Grant.Ticket)
	got := s.Step(now.Add(100 * time.Millisecond))
	if len(got) != 1 || got[0].Call != "soon" {
		t.Errorf("first granted: %+v, want the call that can still be served in time", got)
	}
}

// Guards against calls that wait for an adapter although no order for it can be sent in time, and against calls that
// are rejected shortly before orders can be sent.
func TestAdapterBeforePlacement(t *testing.T) {
	for _, tt := range []struct {
		name string
		from time.Duration
		want sched.Kind
	}{
		{"soon", time.Second, sched.Waiting},
		{"later than the call can wait", 3 * time.Second, sched.Rejected},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler(2)
			s.PlacementFrom = start.Add(tt.from)
			q := call("a", 1000)
			q.Spec.Adapter, q.TargetLatency = "x1", 800*time.Millisecond
			got := s.Schedule(start, q)
			if got.Kind != tt.want {
				t.Fatalf("at once: %+v", got)
			}
			if got.Kind == sched.Rejected {
				if got.RetryAfter < tt.from {
					t.Errorf("retry time %v, orders can be sent in %v", got.RetryAfter, tt.from)
				}
				return
			}
			if got := s.Step(start.Add(tt.from - time.Millisecond)); len(got) > 0 {
				t.Errorf("before orders can be sent: %+v", got)
			}
			if got := s.Step(start.Add(tt.from)); len(got) > 0 {
				t.Errorf("once orders can be sent: %+v", got)
			}
			if loads := s.AdapterLoads(); len(loads) != 1 {
				t.Errorf("adapter loads %+v, want one for the adapter", loads)
			}
		})
	}
}

// Guards against large calls being rejected on engines with running streams, because their own prefill takes longer
// than the maximum queueing time of a small call.
func TestLargeCallsAreNotRejected(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prompt  int
		waiting int
		want    bool
	}{
		{"large and alone", 90_000, 0, true},
		{"small behind a few", 6000, 4, true},
		{"large behind too many", 90_000, 11, false},
		{"small behind too many", 6000, 11, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newScheduler(1)
			schedule := func(id string, prompt int) sched.Kind {
				q := call(id, prompt)
				q.GapTarget, q.TargetLatency, q.Remaining = 500*time.Millisecond, time.Second, 8*time.Second
				return s.Schedule(start, q).Kind
			}
			stream := call("stream", 100)
			stream.GapTarget = 500 * time.Millisecond
			s.FirstEvent(start, s.Schedule(start, stream).Grant.Ticket)
			for i := range tt.waiting {
				schedule(strconv.Itoa(i), 6000)
			}
			if got := schedule("last", tt.prompt); (got != sched.Rejected) != tt.want {
				t.Errorf("decision %v, want it to be accepted: %v", got, tt.want)
			}
		})
	}
}
