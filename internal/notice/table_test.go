package notice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/topo"
)

var (
	start = time.Unix(1000, 0)
	e1    = topo.Instance{ID: "e1", Boot: 1}
)

// sendFor sends calls as fast as the limit allows and returns how many were sent in the time.
func sendFor(t *notice.Table, from time.Time, d time.Duration, share float64) int {
	n := 0
	for at := from; at.Before(from.Add(d)); at = at.Add(time.Millisecond) {
		if t.LimitWait(at, e1, share) == 0 {
			t.Take(at, e1, share)
			n++
		}
	}
	return n
}

// Guards against hosts that exceed a stated limit together, against calls saved up over a long time, and against an
// upstream that never gets a call again because its limit is 0.
func TestLimit(t *testing.T) {
	for _, tt := range []struct {
		name       string
		limit      float64
		share      float64
		idle       time.Duration
		least, max int // calls in 10 s
	}{
		{"all of it", 3, 1, 0, 29, 31},
		{"one of ten hosts", 5, 0.1, 0, 4, 6},
		{"after a long idle time", 3, 1, time.Hour, 31, 34},
		{"below one call a second", 0.5, 1, time.Hour, 5, 7},
		{"one of a thousand hosts, idle before", 2, 0.001, time.Hour, 0, 1},
		{"none at all", 0, 1, time.Hour, 1, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var table notice.Table
			table.Apply(start, start, e1, topo.Notice{Limited: true, Limit: tt.limit})
			table.LimitWait(start, e1, tt.share)
			if n := sendFor(&table, start.Add(tt.idle), 10*time.Second, tt.share); n < tt.least || n > tt.max {
				t.Errorf("%d calls in 10 s, want %d to %d", n, tt.least, tt.max)
			}
		})
	}
}

// Guards against a limit that a response takes back although it was on its way when the limit was stated, or although it
// says nothing about limits, and against one that is never taken back.
func TestLimitEnds(t *testing.T) {
	second := start.Add(time.Second)
	for _, tt := range []struct {
		name    string
		sent    time.Time
		n       topo.Notice
		limited bool
	}{
		{"request sent after the statement", second, topo.Notice{}, false},
		{"request sent before the statement", start.Add(-time.Millisecond), topo.Notice{}, true},
		{"error response", second, topo.Notice{Partial: true}, true},
		{"stated again", second, topo.Notice{Limited: true, Limit: 2}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var table notice.Table
			table.Apply(start, start, e1, topo.Notice{Limited: true, Limit: 1})
			table.Apply(second.Add(time.Second), tt.sent, e1, tt.n)
			if _, limited := table.LimitOf(e1); limited != tt.limited {
				t.Errorf("limited is %v", limited)
			}
		})
	}
}

// Guards against calls to an upstream that is leaving or that wants none, against a statement that another instance
// inherits, and against a crowd of calls when a hold ends.
func TestAdmit(t *testing.T) {
	leaving, hold := topo.Notice{Leaving: true, Partial: true}, topo.Notice{Hold: 3 * time.Second, Partial: true}
	for _, tt := range []struct {
		name   string
		n      topo.Notice
		answer time.Duration // time of a later success, to a request sent then; 0 means none
		id     topo.Instance
		at     time.Duration
		want   int // of ten calls at once
	}{
		{"leaving", leaving, 0, e1, time.Millisecond, 0},
		{"leaving, an hour later", leaving, 0, e1, time.Hour, 0},
		{"leaving, later response without the statement", leaving, time.Second, e1, 2 * time.Second, 0},
		{"leaving, restarted", leaving, 0, topo.Instance{ID: "e1", Boot: 2}, time.Millisecond, 10},
		{"held", hold, 0, e1, 2999 * time.Millisecond, 0},
		{"held, a request sent before is answered", hold, time.Second, e1, 2 * time.Second, 0},
		{"hold has ended", hold, 0, e1, 3001 * time.Millisecond, 1},
		{"hold has ended and a call was answered", hold, 3500 * time.Millisecond, e1, 3600 * time.Millisecond, 10},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var table notice.Table
			table.Apply(start, start, e1, tt.n)
			if at := start.Add(tt.answer); tt.answer > 0 {
				table.Apply(at, at, e1, topo.Notice{})
			}
			admitted := 0
			for range 10 {
				if table.Admit(start.Add(tt.at), tt.id) {
					admitted++
				}
			}
			if admitted != tt.want {
				t.Errorf("%d of ten calls admitted, want %d", admitted, tt.want)
			}
		})
	}
}

// Guards against hosts that do not learn of a limit or of a departure from each other, against an old limit that comes
// back from a host that has not heard of its end, and against a hold that binds other hosts.
func TestMerge(t *testing.T) {
	for _, tt := range []struct {
		name             string
		theirs, ours     []topo.Notice // in order, a second apart; ours begin half a second later
		limited, leaving bool
	}{
		{"limit", []topo.Notice{{Limited: true, Limit: 2}}, nil, true, false},
		{"leaving", []topo.Notice{{Leaving: true}}, nil, false, true},
		{"hold", []topo.Notice{{Hold: time.Minute}}, nil, false, false},
		{"limit that has ended here since", []topo.Notice{{Limited: true, Limit: 2}}, []topo.Notice{
			{Limited: true, Limit: 2}, {},
		}, false, false},
		{"limit that has ended there since", []topo.Notice{{Limited: true, Limit: 2}, {}}, []topo.Notice{
			{Limited: true, Limit: 2},
		}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var a, b notice.Table
			for i, n := range tt.theirs {
				at := start.Add(time.Duration(i) * time.Second)
				a.Apply(at, at, e1, n)
			}
			for i, n := range tt.ours {
				at := start.Add(time.Duration(i)*time.Second + 500*time.Millisecond)
				b.Apply(at, at, e1, n)
			}
			now := start.Add(3 * time.Second)
			changes, _ := a.Changes(now, 0)
			b.Merge(now, changes, "a")
			changes, _ = b.Changes(now, 0)
			a.Merge(now, changes, "b")
			for _, table := range []*notice.Table{&a, &b} {
				if _, limited := table.LimitOf(e1); limited != tt.limited {
					t.Errorf("limited is %v", limited)
				}
				if leaving := table.IsLeaving(e1); leaving != tt.leaving {
					t.Errorf("leaving is %v", leaving)
				}
			}
			if wait := b.HoldWait(now, e1); wait > 0 {
				t.Errorf("this host is held for %v by what another was told", wait)
			}
		})
	}
}

// Guards against statements of ended instances that hosts send each other for ever, and against a departure that is
// forgotten while its instance is still listed.
func TestForget(t *testing.T) {
	const hours = 3600 * time.Second
	for _, tt := range []struct {
		name    string
		n       topo.Notice
		listed  time.Duration // how long the instance is listed
		stale   time.Duration // how long one host has an old list
		at      time.Duration
		leaving bool
	}{
		{"leaving, listed for an hour", topo.Notice{Leaving: true}, hours, 0, hours - time.Minute, true},
		{"leaving, ended after a minute", topo.Notice{Leaving: true}, time.Minute, 0, hours, false},
		{"leaving, one host has an old list", topo.Notice{Leaving: true}, time.Minute, 30 * time.Minute, hours, false},
		{"limit, ended after a minute", topo.Notice{Limited: true, Limit: 1}, time.Minute, 0, hours, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			tables := []*notice.Table{{}, {}, {}}
			for since := time.Duration(0); since < tt.at; since += time.Second {
				now := start.Add(since)
				for i, table := range tables {
					until := tt.listed
					if i == 1 {
						until = max(until, tt.stale)
					}
					if since < until {
						table.SetListed(now, []*topo.Upstream{{ID: e1.ID, Boot: e1.Boot}})
					} else {
						table.SetListed(now, nil)
					}
					if i == 0 && since == 0 {
						table.Apply(now, now, e1, tt.n)
					}
					// Hosts send each other what they know at random times, so some learn of the statement late.
					if rng.Float64() < 0.03 {
						changes, _ := table.Changes(now, 0)
						tables[(i+1)%len(tables)].Merge(now.Add(100*time.Millisecond), changes, "a")
					}
				}
			}
			for i, table := range tables {
				if table.IsLeaving(e1) != tt.leaving {
					t.Errorf("host %d: leaving is %v after %v", i, !tt.leaving, tt.at)
				}
				if s, _ := table.Changes(start.Add(tt.at), 0); (s != nil) != tt.leaving {
					t.Errorf("host %d: sends %v after %v", i, s, tt.at)
				}
			}
		})
	}
}

// Guards against hosts that send each other all statements again and again, and against a change that a host misses
// because only changes are sent: after any changes at any hosts and lost connections all hosts agree.
func TestChanges(t *testing.T) {
	const (
		hosts     = 4
		instances = 5
		steps     = 60
	)
	type linkState struct{ there, back notice.Position }
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, seed))
		now := start
		var tables [hosts]notice.Table
		var links [hosts]linkState // with host 0
		// exchange returns the number of records that were sent.
		exchange := func(i int) int {
			var a, b *notice.State
			a, links[i].there = tables[i].Changes(now, links[i].there)
			now = now.Add(time.Duration(rng.IntN(10)) * time.Millisecond)
			tables[0].Merge(now, a, "i")
			b, links[i].back = tables[0].Changes(now, links[i].back)
			tables[i].Merge(now, b, "0")
			n := 0
			for _, s := range []*notice.State{a, b} {
				if s != nil {
					n += len(s.Records)
				}
			}
			return n
		}
		list := make([]*topo.Upstream, instances)
		for i := range list {
			list[i] = &topo.Upstream{ID: string(rune('a' + i))}
		}
		for range steps {
			now = now.Add(100 * time.Millisecond)
			i, id := rng.IntN(hosts), topo.Instance{ID: string(rune('a' + rng.IntN(instances)))}
			switch rng.IntN(6) {
			case 0, 1:
				tables[i].Apply(now, now, id, topo.Notice{Limited: true, Limit: float64(1 + rng.IntN(3))})
			case 2:
				tables[i].Apply(now, now, id, topo.Notice{Leaving: rng.IntN(4) == 0})
			case 3:
				tables[i].SetListed(now, list[:rng.IntN(instances+1)])
			case 4:
				links[i] = linkState{}
			default:
				exchange(i)
			}
		}
		for i := range tables {
			tables[i].SetListed(now, list)
		}
		for range 2 * hosts {
			now = now.Add(100 * time.Millisecond)
			for i := 1; i < hosts; i++ {
				exchange(i)
			}
		}
		for i := 1; i < hosts; i++ {
			if n := exchange(i); n > 0 {
				t.Errorf("seed %d: %d statements were sent again", seed, n)
			}
			for _, u := range list {
				limit, limited := tables[i].LimitOf(u.Instance())
				limit0, limited0 := tables[0].LimitOf(u.Instance())
				leaving, leaving0 := tables[i].IsLeaving(u.Instance()), tables[0].IsLeaving(u.Instance())
				if limit != limit0 || limited != limited0 || leaving != leaving0 {
					t.Errorf("seed %d: host %d has %v %v %v for %s, host 0 has %v %v %v", seed, i, limit, limited, leaving,
						u.ID, limit0, limited0, leaving0)
				}
			}
		}
	}
}

// Guards against an upstream that gets no calls because a host that decided alone, with a small share of its limit, has
// become the leader, and against one that gets too many after the opposite.
func TestShareChanges(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after float64
		least, max    int // calls in 10 s at the second share
	}{
		{"a host becomes the leader", 0.01, 1, 28, 34},
		{"a leader decides alone", 1, 0.01, 0, 2},
		{"followers come back", 0.5, 1, 28, 34},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var table notice.Table
			table.Apply(start, start, e1, topo.Notice{Limited: true, Limit: 3})
			sendFor(&table, start, 10*time.Second, tt.before)
			n := sendFor(&table, start.Add(10*time.Second), 10*time.Second, tt.after)
			if n < tt.least || n > tt.max {
				t.Errorf("%d calls in 10 s, want %d to %d", n, tt.least, tt.max)
			}
		})
	}
}
