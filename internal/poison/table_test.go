package poison_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figreel/figreel/internal/poison"
	"github.com/figreel/figreel/internal/topo"
)

const (
	system = 1 // system prompt of a model, in every call
	tenant = 2 // shared by some calls
	deadly = 3 // crashes engines
)

var start = time.Unix(1000, 0)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func prompt(ids ...uint64) *topo.CallSpec {
	var out topo.CallSpec
	for _, id := range ids {
		out.Segments = append(out.Segments, topo.PromptSegment{ID: id, Tokens: 100})
	}
	return &out
}

// step is one observation: a call that was served, or under which an engine broke.
type step struct {
	at     time.Duration
	took   time.Duration // since the call was sent
	engine string        // empty if the call was served
	ids    []uint64
}

func crash(at time.Duration, engine string, ids ...uint64) step {
	return step{at * time.Millisecond, 80 * time.Millisecond, engine, ids}
}

func served(at time.Duration, ids ...uint64) step { return step{at * time.Millisecond, 0, "", ids} }

func replay(t *poison.Table, steps []step) {
	for _, s := range steps {
		if s.engine == "" {
			t.Served(start.Add(s.at), prompt(s.ids...))
		} else {
			t.Broken(start.Add(s.at), start.Add(s.at-s.took), s.engine, prompt(s.ids...))
		}
	}
}

// Guards against segments that crash one engine after the other, and against sound calls that are rejected because they
// shared an engine, a system prompt or an outage with others.
func TestQuarantine(t *testing.T) {
	crashes := []step{crash(0, "a", 1, 2, 3, 10), crash(400, "b", 1, 2, 3, 10), crash(900, "c", 1, 2, 3, 11)}
	for _, tt := range []struct {
		name    string
		steps   []step
		blocked []uint64 // prompt that must be blocked, or nil
		allowed []uint64 // prompt that must not be blocked, or nil
	}{
		{"nothing known", nil, nil, []uint64{1, 2, 3, 9}},
		{"cause among cleared segments", append([]step{served(0, 1, 2, 8)}, crashes...), []uint64{1, 3, 9}, []uint64{1, 2, 9}},
		{"cause and another segment that was not served", crashes, []uint64{1, 2, 3, 9}, []uint64{1, 2, 9}},
		{"the other segment is served later", append(crashes, served(950, 1, 2, 9)), []uint64{7, 3, 9}, []uint64{1, 2, 9}},
		{"last segment", append([]step{served(0, 1, 2, 8)}, crashes...), nil, []uint64{1, 2, 3}},
		{"two engines", crashes[:2], nil, []uint64{1, 2, 3, 9}},
		{
			"one call with its retries",
			[]step{crash(0, "a", 3, 10), crash(300, "b", 3, 10), crash(600, "c", 3, 10), crash(900, "d", 3, 10)},
			nil,
			[]uint64{3, 9},
		},
		{
			"engines that break at the same time",
			[]step{crash(0, "a", 3, 10), crash(20, "b", 3, 11), crash(40, "c", 3, 12), crash(60, "d", 3, 13)},
			nil,
			[]uint64{3, 9},
		},
		{
			"each engine got its call after the one before had broken",
			[]step{crash(0, "a", 3, 10), crash(85, "b", 3, 10), crash(170, "c", 3, 11)},
			[]uint64{3, 9},
			nil,
		},
		{
			"one engine breaks again and again",
			[]step{crash(0, "a", 3, 10), crash(300, "a", 3, 11), crash(600, "a", 3, 12), crash(900, "a", 3, 13)},
			nil,
			[]uint64{3, 9},
		},
		{
			"served in between",
			[]step{crash(0, "a", 3, 10), crash(300, "b", 3, 11), served(400, 3, 9), crash(600, "c", 3, 12)},
			nil,
			[]uint64{3, 9},
		},
		{"served afterwards", append(crashes, served(1000, 1, 2, 3, 12)), nil, []uint64{1, 2, 3, 9}},
		{
			"crashes long ago",
			[]step{crash(0, "a", 3, 10), crash(300, "b", 3, 11), crash(90_000, "c", 3, 12)},
			nil,
			[]uint64{3, 9},
		},
		{
			"served long ago",
			[]step{served(0, 3, 9), crash(90_000, "a", 3, 10), crash(90_300, "b", 3, 11), crash(90_600, "c", 3, 12)},
			[]uint64{3, 9},
			nil,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var table poison.Table
			replay(&table, tt.steps)
			if tt.blocked != nil && !table.Blocks(prompt(tt.blocked...)) {
				t.Errorf("%v is not blocked", tt.blocked)
			}
			if tt.allowed != nil && table.Blocks(prompt(tt.allowed...)) {
				t.Errorf("%v is blocked", tt.allowed)
			}
		})
	}
}

// Guards against a quarantine that never ends, and against tests of it that crash an engine each few seconds.
func TestProbes(t *testing.T) {
	var table poison.Table
	replay(&table, []step{crash(0, "a", 3, 10), crash(300, "b", 3, 11), crash(600, "c", 3, 12)})
	probes := 0
	for at := time.Second; at < 4*time.Minute; at += 100 * time.Millisecond {
		if table.Probe(start.Add(at), prompt(deadly, 9)) {
			probes++
			table.Broken(start.Add(at), start.Add(at), fmt.Sprint("probed-", probes), prompt(deadly, 9))
		}
		if !table.Blocks(prompt(deadly, 9)) {
			t.Fatalf("not blocked after %v", at)
		}
	}
	if probes < 2 || probes > 3 {
		t.Errorf("%d probes in four minutes", probes)
	}
	table.Served(start.Add(5*time.Minute), prompt(deadly, 9))
	if table.Blocks(prompt(deadly, 9)) {
		t.Error("blocked after a probe was served")
	}
}

// Guards against hosts that disagree on a quarantine, that keep one that has ended, or that block all calls because of
// a malformed record.
func TestMerge(t *testing.T) {
	var a, b poison.Table
	replay(&a, []step{crash(0, "a", 2, 3, 10), crash(300, "b", 2, 3, 11), crash(600, "c", 2, 3, 12)})
	b.Merge(start, a.State(start))
	if !b.Blocks(prompt(tenant, deadly, 9)) {
		t.Error("the other host does not block")
	}
	b.Served(start, prompt(tenant, 9))
	a.Merge(start, b.State(start))
	for name, table := range map[string]*poison.Table{"a": &a, "b": &b} {
		if !table.Blocks(prompt(deadly, 9)) || table.Blocks(prompt(tenant, 9)) {
			t.Errorf("%s blocks %+v, want segment 3 alone", name, table.State(start))
		}
	}
	b.Merge(start, &poison.State{Records: []poison.Record{{Active: true, Version: 9}}})
	if b.Blocks(prompt(system, 9)) {
		t.Error("a record without segments blocks a call")
	}
	before := len(b.Changes())
	b.Merge(start, a.State(start))
	if again := b.Changes(); before == 0 || len(again) > 0 {
		t.Errorf("%d changes, and %d from records that are known already", before, len(again))
	}
	later := start.Add(time.Hour)
	if left := a.State(later); len(left.Records) != 1 || !left.Records[0].Active || len(left.Reports) > 0 {
		t.Errorf("state after an hour: %+v, want the active quarantine", left)
	}
	a.Merge(later, b.State(start))
	if left := a.State(later); len(left.Records) != 1 {
		t.Errorf("another host brings ended quarantines back: %+v", left)
	}
}

// Guards against hosts that each lose several engines to a segment, because no leader sees all crashes, and against a
// crash that counts twice because several hosts tell of it.
func TestReports(t *testing.T) {
	var hosts [3]poison.Table
	share := func(at time.Time) {
		for range 2 {
			for i := range hosts {
				hosts[(i+1)%len(hosts)].Merge(at, hosts[i].State(at))
			}
		}
	}
	for i, c := range []step{crash(0, "a", 1, 3, 10), crash(900, "b", 1, 3, 11), crash(1800, "c", 1, 3, 12)} {
		for n := range hosts {
			if hosts[n].Blocks(prompt(system, deadly, 9)) {
				t.Errorf("host %d blocks after %d crashes", n, i)
			}
		}
		replay(&hosts[i], []step{served(c.at/time.Millisecond, 1, 9), c})
		share(start.Add(c.at + 300*time.Millisecond))
	}
	for n := range hosts {
		if !hosts[n].Blocks(prompt(system, deadly, 9)) || hosts[n].Blocks(prompt(system, 9)) {
			t.Errorf("host %d knows %+v", n, hosts[n].State(start))
		}
	}
}

// Guards against a segment that is quarantined although it is served now and then, and against one that crashes engines
// and is not found, whatever else the calls have in common.
func TestCauseIsFoundAmongSoundSegments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table poison.Table
		now := start
		crashes := 0
		for i := range uint64(rapid.IntRange(30, 120).Draw(t, "calls")) {
			now = now.Add(time.Duration(rapid.IntRange(110, 900).Draw(t, "gap")) * time.Millisecond)
			ids := []uint64{system, 100 + uint64(rapid.IntRange(0, 3).Draw(t, "tenant"))}
			if sound := rapid.IntRange(0, 3).Draw(t, "sound") > 0; sound {
				table.Served(now, prompt(append(ids, 1000+i)...))
				continue
			}
			if ids = append(ids, deadly, 1000+i); table.Blocks(prompt(ids...)) {
				continue
			}
			crashes++
			table.Broken(now, now, fmt.Sprint("engine-", i), prompt(ids...))
			// A sound call that shared the engine.
			table.Broken(now, now, fmt.Sprint("engine-", i), prompt(system, 100, 5000+i))
		}
		if crashes > 5 {
			t.Fatalf("%d engines crashed", crashes)
		}
		for tenant := range uint64(4) {
			table.Served(now, prompt(system, 100+tenant, 9))
			if table.Blocks(prompt(system, 100+tenant, 9)) {
				t.Fatalf("sound calls of tenant %d are blocked", tenant)
			}
		}
	})
}

// Guards against hosts that do not agree in the end on what crashes engines, and against quarantines that hosts begin
// and end again and again because each knows of other calls.
func TestHostsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]poison.Table, 4)
		now := start
		crashes, changes := 0, 0
		share := func() {
			from := rapid.IntRange(0, len(hosts)-1).Draw(t, "from")
			for i := range hosts {
				hosts[i].Merge(now, hosts[from].State(now))
				hosts[from].Merge(now, hosts[i].State(now))
			}
		}
		for i := range uint64(rapid.IntRange(100, 300).Draw(t, "calls")) {
			now = now.Add(time.Duration(rapid.IntRange(30, 150).Draw(t, "gap")) * time.Millisecond)
			h := &hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			ids := []uint64{system, 100 + uint64(rapid.IntRange(0, 5).Draw(t, "tenant")), 1000 + i}
			if i%5 == 0 {
				share()
			}
			if rapid.IntRange(0, 9).Draw(t, "sound") > 0 {
				if !h.Blocks(prompt(ids...)) {
					h.Served(now, prompt(ids...))
				}
				continue
			}
			if ids = append(ids[:2], deadly, 1000+i); h.Blocks(prompt(ids...)) {
				continue
			}
			crashes++
			h.Broken(now, now.Add(-50*time.Millisecond), fmt.Sprint("engine-", i), prompt(ids...))
		}
		share()
		share()
		for i := range hosts {
			changes += len(hosts[i].Changes())
			if crashes > 8 && !hosts[i].Blocks(prompt(system, deadly, 9)) {
				t.Fatalf("host %d does not block after %d crashes: %+v", i, crashes, hosts[i].State(now))
			}
			if hosts[i].Blocks(prompt(system, 9)) {
				t.Fatalf("host %d blocks a system prompt: %+v", i, hosts[i].State(now))
			}
		}
		if crashes > 12 || changes > 80 {
			t.Fatalf("%d crashes, %d changes of quarantines", crashes, changes)
		}
	})
}
