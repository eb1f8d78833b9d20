package sched_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

var start = time.Unix(1000, 0)

// newDesk has n engines that hold model m, and model x without a copy.
func newDesk(n int) *sched.Scheduler {
	d := &sched.Scheduler{PlacementFrom: start}
	d.SetConfig(&topo.Config{Services: map[string]topo.Service{"llm": {Name: "llm", Engine: &topo.EngineSpec{
		Slots: 8, KVTokens: 100_000, AdapterSlots: 2,
		Models: []topo.Model{{Name: "m", LoadTime: 4 * time.Second}, {Name: "x", LoadTime: 4 * time.Second}},
	}}}})
	d.SetUpstreams(start, ups(n))
	return d
}

func ups(n int) []*topo.Upstream {
	var list []*topo.Upstream
	for i := range n {
		list = append(list, &topo.Upstream{
			ID: "e" + strconv.Itoa(i), Service: "llm", Addr: "addr" + strconv.Itoa(i), Boot: 1, Slots: 8,
			Models: []topo.Resident{{Name: "m"}},
		})
	}
	return list
}

func call(id string, prompt int, parts ...uint64) sched.Request {
	a := sched.Request{
		Call: id, Service: "llm", Remaining: 5 * time.Second,
		Spec: topo.CallSpec{Model: "m", PromptTokens: prompt, OutputTokens: 50},
	}
	for _, p := range parts {
		a.Spec.Segments = append(a.Spec.Segments, topo.PromptSegment{ID: p, Tokens: prompt / len(parts)})
	}
	return a
}

// Guards against a burst of long prompts that crowds one engine while others are idle.
func TestBurstSpreads(t *testing.T) {
	d := newDesk(4)
	on := make(map[string]int)
	for i := range 16 {
		got := d.Schedule(start, call(strconv.Itoa(i), 9000))
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

// Guards against prompts that are read again although an idle engine keeps their first part.
func TestKeptPromptsAreFound(t *testing.T) {
	d := newDesk(4)
	first := d.Schedule(start, call("a", 9000, 1, 2, 3))
	d.FirstEvent(start.Add(200*time.Millisecond), first.Grant.Ticket)
	d.Release(start.Add(300*time.Millisecond), first.Grant.Ticket, sched.Served)
	for i := range 5 {
		got := d.Schedule(start.Add(time.Second), call(strconv.Itoa(i), 9000, 1, 2, uint64(10+i)))
		if got.Grant.Engine != first.Grant.Engine {
			t.Errorf("call %d went to %s, its prompt is kept on %s", i, got.Grant.Engine, first.Grant.Engine)
		}
		d.Release(start.Add(time.Second), got.Grant.Ticket, sched.Served)
	}
}

// Guards against calls to engines that failed, left, restarted or no longer hold the model.
func TestEnginesAvoided(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(d *sched.Scheduler)
	}{
		{"failed", func(d *sched.Scheduler) {
			d.Release(start, d.Schedule(start, call("a", 100)).Grant.Ticket, sched.Failed)
		}},
		{"said that it lacks the model", func(d *sched.Scheduler) {
			d.Release(start, d.Schedule(start, call("a", 100)).Grant.Ticket, sched.NotResident)
		}},
		{"leaving", func(d *sched.Scheduler) {
			list := ups(2)
			list[0].Leaving = true
			d.SetUpstreams(start, list)
		}},
		{"gone", func(d *sched.Scheduler) { d.SetUpstreams(start, ups(2)[1:]) }},
		{"restarted empty", func(d *sched.Scheduler) {
			list := ups(2)
			list[0].Boot, list[0].Models = 2, nil
			d.SetUpstreams(start, list)
		}},
		{"about to unload", func(d *sched.Scheduler) { d.DrainModel("e0", "m") }},
		{"unloaded", func(d *sched.Scheduler) {
			d.OrderAccepted(start, "e0", &topo.Order{Unload: true, Model: "m"}, 1)
		}},
		{"reports that it is empty", func(d *sched.Scheduler) { d.SetReport(start, "e0", &topo.Report{Boot: 1, Sequence: 1}) }},
	} {
		d := newDesk(2)
		tt.do(d)
		for i := range 4 {
			got := d.Schedule(start.Add(time.Millisecond), call(strconv.Itoa(i), 100))
			if got.Kind != sched.Granted || got.Grant.Engine != "e1" {
				t.Errorf("%s: %+v", tt.name, got)
			}
		}
	}
}

// Guards against calls that wait for a model that cannot come in time, or are refused although it can.
func TestModelWithoutCopy(t *testing.T) {
	for _, tt := range []struct {
		name   string
		places bool
		left   time.Duration
		want   sched.Kind
	}{
		{"in time", true, 5 * time.Second, sched.Waiting},
		{"too late", true, 3 * time.Second, sched.Refused},
		{"nobody places", false, 5 * time.Second, sched.Refused},
	} {
		d := newDesk(2)
		if !tt.places {
			d.PlacementFrom = time.Time{}
		}
		a := call("a", 100)
		a.Spec.Model, a.Remaining = "x", tt.left
		got := d.Schedule(start, a)
		if got.Kind != tt.want {
			t.Errorf("%s: %+v", tt.name, got)
		}
		if got.Kind == sched.Refused && got.RetryAfter <= 0 {
			t.Errorf("%s: refused without a time to come back", tt.name)
		}
		if n := d.Demand(start)["x"].Waiting; tt.want == sched.Waiting && n != 1 {
			t.Errorf("%s: %d calls wait", tt.name, n)
		}
	}
}

// Guards against an adapter that is ordered twice, or for which a call in use makes way.
func TestAdapters(t *testing.T) {
	d := newDesk(1)
	ask := func(id, adapter string) sched.Decision {
		a := call(id, 100)
		a.Spec.Adapter = adapter
		return d.Schedule(start, a)
	}
	load := func(n sched.AdapterLoad) {
		d.OrderAccepted(start, n.Engine, &topo.Order{Model: n.Model, Adapter: n.Adapter}, 1)
	}
	if ask("a", "a1").Kind != sched.Waiting || ask("b", "a1").Kind != sched.Waiting {
		t.Fatal("calls do not wait for their adapter")
	}
	needs := d.AdapterLoads()
	if len(needs) != 1 || needs[0].EvictAdapter != "" {
		t.Fatalf("orders %+v", needs)
	}
	load(needs[0])
	soon := start.Add(50 * time.Millisecond)
	if got := d.Step(soon); len(got) != 2 || got[0].Kind != sched.Granted {
		t.Fatalf("decisions %+v", got)
	}
	ask("c", "a2")
	load(d.AdapterLoads()[0])
	granted := d.Step(soon)
	if len(granted) != 1 {
		t.Fatalf("decisions %+v", granted)
	}
	if got := ask("d", "a3"); got.Kind != sched.Waiting || len(d.AdapterLoads()) != 0 {
		t.Errorf("an adapter in use makes way: %+v", got)
	}
	d.Release(soon, granted[0].Grant.Ticket, sched.Served)
	d.Step(soon)
	if needs := d.AdapterLoads(); len(needs) != 1 || needs[0].EvictAdapter != "a2" || needs[0].Adapter != "a3" {
		t.Errorf("orders %+v", needs)
	}
}

// Guards against a desk that loses count when tickets move to another one.
func TestHold(t *testing.T) {
	old, d := newDesk(2), newDesk(2)
	for i := range 6 {
		a := call(strconv.Itoa(i), 9000)
		got := old.Schedule(start, a)
		d.RestoreTicket(start, sched.OpenTicket{Request: a, Grant: sched.Grant{
			Ticket: 100 + got.Grant.Ticket, Engine: "e0", Addr: "addr0", Boot: 1,
		}})
	}
	for i := range 3 {
		if got := d.Schedule(start, call("n"+strconv.Itoa(i), 9000)); got.Grant.Engine != "e1" {
			t.Errorf("call %d goes to the engine with six calls", i)
		}
	}
	if n := d.Calls("e0", "m"); n != 6 {
		t.Errorf("%d calls are known", n)
	}
	d.Release(start, 101, sched.Canceled)
	if n := d.Calls("e0", "m"); n != 5 {
		t.Errorf("%d calls are known after one has ended", n)
	}
}

// Guards against calls that wait until it is too late in an overload, instead of being told at once to come back.
func TestOverloadIsToldAtOnce(t *testing.T) {
	d := newDesk(1)
	a := call("s", 100)
	a.GapTarget, a.TargetLatency = 500*time.Millisecond, time.Second
	d.FirstEvent(start, d.Schedule(start, a).Grant.Ticket)
	waiting, refused := 0, 0
	for i := range 60 {
		a := call(strconv.Itoa(i), 6000)
		a.GapTarget, a.TargetLatency, a.Remaining = 500*time.Millisecond, time.Second, 4*time.Second
		switch got := d.Schedule(start, a); got.Kind {
		case sched.Waiting:
			waiting++
		case sched.Refused:
			refused++
			if got.RetryAfter < 500*time.Millisecond {
				t.Errorf("call %d is told to come back in %v", i, got.RetryAfter)
			}
		}
	}
	if waiting < 10 || refused < 30 {
		t.Errorf("%d calls wait, %d are refused at once", waiting, refused)
	}
	// A prompt takes 0.16 s, so twice the target is over after twelve.
	if waiting > 12 {
		t.Errorf("%d calls wait, some for more than twice their target", waiting)
	}
}

// Guards against calls that have missed their target, in an overload by long prompts, but hold up streams or calls that
// can still be served in time.
func TestLateCallsGoLast(t *testing.T) {
	const gap = 500 * time.Millisecond
	d := newDesk(1)
	busy := call("stream", 100)
	busy.GapTarget, busy.TargetLatency = gap, time.Second
	d.FirstEvent(start, d.Schedule(start, busy).Grant.Ticket)
	reading := call("reading", 9000)
	reading.GapTarget, reading.TargetLatency = gap, time.Second
	first := d.Schedule(start, reading)
	if first.Kind != sched.Granted {
		first = d.Step(start.Add(50 * time.Millisecond))[0]
	}
	late := call("late", 9000)
	late.GapTarget, late.TargetLatency = gap, 300*time.Millisecond
	now := start.Add(100 * time.Millisecond)
	if got := d.Schedule(now, late); got.Kind != sched.Waiting {
		t.Fatalf("late call: %+v", got)
	}
	now = now.Add(200 * time.Millisecond)
	soon := call("soon", 1000)
	soon.GapTarget, soon.TargetLatency = gap, time.Second
	if got := d.Schedule(now, soon); got.Kind != sched.Waiting {
		t.Fatalf("call in time: %+v", got)
	}
	now = now.Add(200 * time.Millisecond)
	if got := d.Step(now); len(got) > 0 {
		t.Errorf("granted while streams have no lull: %+v", got)
	}
	d.FirstEvent(now, first.Grant.Ticket)
	got := d.Step(now.Add(100 * time.Millisecond))
	if len(got) != 1 || got[0].Call != "soon" {
		t.Errorf("first granted: %+v, want the call that can still be served in time", got)
	}
}

// Guards against calls that wait for an adapter although it is known that no order for it can be sent in time, and
// against calls that are refused just before it can.
func TestAdapterBeforeOrders(t *testing.T) {
	for _, tt := range []struct {
		name string
		from time.Duration
		want sched.Kind
	}{
		{"soon", time.Second, sched.Waiting},
		{"later than the call can wait", 3 * time.Second, sched.Refused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDesk(2)
			d.PlacementFrom = start.Add(tt.from)
			a := call("a", 1000)
			a.Spec.Adapter, a.TargetLatency = "x1", 800*time.Millisecond
			got := d.Schedule(start, a)
			if got.Kind != tt.want {
				t.Fatalf("at once: %+v", got)
			}
			if got.Kind == sched.Refused {
				if got.RetryAfter < tt.from {
					t.Errorf("told to come back in %v, orders go out in %v", got.RetryAfter, tt.from)
				}
				return
			}
			if got := d.Step(start.Add(tt.from - time.Millisecond)); len(got) > 0 {
				t.Errorf("before orders go out: %+v", got)
			}
			if got := d.Step(start.Add(tt.from)); len(got) > 0 {
				t.Errorf("once orders go out: %+v", got)
			}
			if needs := d.AdapterLoads(); len(needs) != 1 {
				t.Errorf("orders %+v, want one for the adapter", needs)
			}
		})
	}
}

// Guards against large calls that are refused wherever streams run, because their own prompt takes longer than a small
// call may wait.
func TestLargeCallsAreNotTurnedAway(t *testing.T) {
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
			d := newDesk(1)
			ask := func(id string, prompt int) sched.Kind {
				a := call(id, prompt)
				a.GapTarget, a.TargetLatency, a.Remaining = 500*time.Millisecond, time.Second, 8*time.Second
				return d.Schedule(start, a).Kind
			}
			stream := call("stream", 100)
			stream.GapTarget = 500 * time.Millisecond
			d.FirstEvent(start, d.Schedule(start, stream).Grant.Ticket)
			for i := range tt.waiting {
				ask(strconv.Itoa(i), 6000)
			}
			if got := ask("last", tt.prompt); (got != sched.Refused) != tt.want {
				t.Errorf("decision %v, want it to be taken: %v", got, tt.want)
			}
		})
	}
}
