package docrev

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
)

// Guards against two operators who both win on the same base, or a loser who is not told who won.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.kv.Latency = 5 * time.Millisecond
		hosts := []*host{f.add("fd-1"), f.add("fd-2"), f.add("fd-3")}
		errs := make([]error, len(hosts))
		for i, h := range hosts {
			h.run()
			go func() { errs[i] = h.change(h.Self.Name, 0) }()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		stored, _ := hosts[0].Read(t.Context(), 1)
		won := 0
		for i, err := range errs {
			var conflict *Conflict
			switch {
			case err == nil && stored.ChangeID == hosts[i].Self.Name:
				won++
			case !errors.As(err, &conflict) || conflict.Revision != 1 || conflict.ChangeID != stored.ChangeID:
				t.Errorf("%s: %v", hosts[i].Self.Name, err)
			}
		}
		if won != 1 {
			t.Errorf("%d changes were accepted on one base", won)
		}
		f.expect(1, hosts...)
	})
}

// Guards against reporting a change as failed that took effect, as accepted that did not, or accepting it twice.
func TestLostAnswers(t *testing.T) {
	put := func(times int, after bool, err error) kvfake.Fault {
		return kvfake.Fault{Kind: kvfake.Put, Times: times, AfterEffect: after, Err: err}
	}
	for _, tt := range []struct {
		name   string
		faults []kvfake.Fault
		want   error
		exists bool
	}{
		{"answer lost", []kvfake.Fault{put(1, true, nil)}, nil, true},
		{"answer lost and late read", []kvfake.Fault{put(1, true, nil), {Kind: kvfake.Get, Times: 2}}, nil, true},
		{"write lost", []kvfake.Fault{put(3, false, nil)}, nil, true},
		{"every write lost", []kvfake.Fault{put(9999, false, nil)}, ErrOutcomeUnknown, false},
		{"hanging write", []kvfake.Fault{{Kind: kvfake.Put, Hang: true, AfterEffect: true}}, nil, true},
		{"rate limit", []kvfake.Fault{put(9999, false, kvapi.ErrRateLimited)}, ErrUnavailable, false},
		{"no reads", []kvfake.Fault{{Kind: kvfake.Get, Times: 9999}}, ErrUnavailable, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			h := f.add("fd-1")
			h.run()
			f.mustChange(h, 0)
			for _, fault := range tt.faults {
				f.kv.InjectFault(fault)
			}
			if err := h.change("c2", 1); !errors.Is(err, tt.want) {
				t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
			}
			if exists := len(f.kv.Keys("env/trial/rev/")) == 2; exists != tt.exists {
				t.Errorf("%s: revision 2 exists: %t", tt.name, exists)
			}
		})
	}
}

// Guards against a repeated proposal that becomes a second revision, and against unknown or outdated bases.
func TestProposeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		h := f.add("fd-1")
		h.run()
		f.mustChange(h, 0, 1, 0, 1)
		var conflict *Conflict
		if err := h.change("other", 0); !errors.As(err, &conflict) || conflict.ChangeID != "c1" {
			t.Errorf("outdated base: %v", err)
		}
		_, err := h.Propose(t.Context(), Change{ID: "c2", Base: 1, Body: body("different")})
		if !errors.As(err, &conflict) {
			t.Errorf("same id with another document: %v", err)
		}
		if err := h.change("c9", 8); !errors.Is(err, ErrNoBase) {
			t.Errorf("unknown base: %v", err)
		}
		random := make([]byte, kvapi.MaxValueBytes)
		_, _ = rand.NewChaCha8([32]byte{}).Read(random)
		for _, filler := range []string{strings.Repeat("#", MaxDocumentBytes), hex.EncodeToString(random)[:2<<20-100]} {
			large := append(body("c3"), "#"+filler...)
			if _, err := h.Propose(t.Context(), Change{ID: "c3", Base: 2, Body: large}); !errors.Is(err, ErrTooLarge) {
				t.Errorf("document of %d bytes: %v", len(large), err)
			}
		}
		past, err := h.History(t.Context(), 5)
		if err != nil || len(past) != 2 || past[0].ChangeID != "c2" || past[1].Revision != 1 {
			t.Errorf("history %+v, %v", past, err)
		}
	})
}

// Guards against a host that returns with an old revision and takes others back, or does not catch up.
func TestCutOffHostReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		hosts := []*host{f.add("fd-1"), f.add("fd-1"), f.add("fd-1"), f.add("fd-1")}
		for _, h := range hosts {
			h.run()
		}
		f.mustChange(hosts[0], 0)
		time.Sleep(5 * time.Second)
		f.setCut(hosts[3], true, true)
		f.mustChange(hosts[0], 1, 2, 3)
		time.Sleep(time.Minute)
		f.expect(4, hosts[:3]...)
		f.expect(1, hosts[3])
		f.setCut(hosts[3], false, false)
		time.Sleep(5 * time.Second)
		f.expect(4, hosts...)
	})
}

// Guards against a start that takes the first answer, is ready without a document, or does not end in an outage.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		stale, fresh, dead := f.add("fd-1"), f.add("fd-1"), f.add("fd-1")
		stale.run()
		fresh.run()
		f.mustChange(fresh, 0)
		time.Sleep(5 * time.Second)
		f.setCut(stale, true, true)
		f.mustChange(fresh, 1, 2)
		f.kv.SetDown(true)
		f.setCut(dead, true, true)
		f.setCut(stale, true, false)
		stale.stop() // it still answers pulls but no longer learns
		late := f.add("fd-2", stale, dead, fresh)
		late.run()
		synctest.Wait()
		if late.Ready() {
			t.Error("ready before any answer")
		}
		time.Sleep(3 * time.Second)
		f.expect(3, late)
		if !late.Ready() || late.applied[0] != 3 {
			t.Errorf("ready %t after applying %v", late.Ready(), late.applied)
		}
	})
}

// Guards against a watcher that, after an outage, walks through every revision it missed.
func TestWatchGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		watcher := f.add("fd-1")
		watcher.run()
		f.mustChange(watcher, 0)
		f.kv.SetPartitioned(watcher.Self.Name, true)
		writer := journal{kv: f.kv.Client("writer"), env: "trial"}
		value, _ := Record{ChangeID: "x", Body: body("x")}.encode()
		for r := int64(2); r <= 200; r++ {
			if err := writer.create(t.Context(), r, value); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		before := f.kv.CallsOf(watcher.Self.Name)
		f.kv.SetPartitioned(watcher.Self.Name, false)
		time.Sleep(3 * time.Second)
		f.expect(200, watcher)
		if calls := f.kv.CallsOf(watcher.Self.Name) - before; calls > 25 {
			t.Errorf("%d calls to catch up 199 revisions", calls)
		}
	})
}

// Guards against a revision that cannot be applied and is hidden, kept from others, retried in a loop or reverted to.
func TestRevisionThatCannotBeApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		a, b := f.add("fd-1"), f.add("fd-1")
		a.refuse = 2
		a.run()
		f.mustChange(a, 0, 1)
		b.run()
		f.kv.SetPartitioned(b.Self.Name, true) // b depends on what a gives
		time.Sleep(5 * time.Second)
		f.expect(1, a)
		if st := a.Status(); st.Pending != 2 || !strings.Contains(st.Reason, errTest.Error()) {
			t.Errorf("status %+v", st)
		}
		f.expect(2, b)
		restarted, byPeer := f.add("fd-1"), f.add("fd-1", a)
		f.kv.InjectFault(kvfake.Fault{
			Client: byPeer.Self.Name, Kind: kvfake.Get, Prefix: "env/trial/rev/1", Times: 9999,
		})
		restarted.refuse, byPeer.refuse = 2, 2
		restarted.run()
		byPeer.run()
		time.Sleep(2 * time.Second)
		f.expect(1, restarted, byPeer)
		f.mustChange(a, 2)
		time.Sleep(5 * time.Second)
		f.expect(3, a, b, restarted, byPeer)
		if st := a.Status(); st.Pending != 0 || st.Reason != "" {
			t.Errorf("status after the next revision %+v", st)
		}
	})
}

// Guards against documents that were damaged on the way, and a host that then waits for its peers for ever.
func TestBadDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for range 4 { // at least one is neither a watcher nor the proposer
			f.add("fd-1").corrupt = true
		}
		for _, h := range f.hosts {
			h.run()
		}
		time.Sleep(1500 * time.Millisecond)
		f.mustChange(f.hosts[0], 0)
		time.Sleep(10 * time.Second)
		f.expect(1, f.hosts...)
		counted := 0
		for _, h := range f.hosts {
			if h.Stats.Events.Get("config_bad_digest") != nil {
				counted++
			}
		}
		if counted == 0 {
			t.Error("no bad digest was counted")
		}
	})
}

// Guards against a host that no peer reaches and that never asks the service itself.
func TestSilentHostAsksTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for range 4 {
			f.add("fd-1")
		}
		for _, h := range f.hosts {
			h.run()
		}
		time.Sleep(1500 * time.Millisecond) // no ping is under way
		for _, h := range f.hosts {
			f.setCut(h, false, true)
		}
		f.mustChange(f.hosts[0], 0)
		time.Sleep(7 * time.Second)
		f.expect(1, f.hosts...)
	})
}

// Guards against a change that takes longer than 12 s to reach a full fleet, or that every host asks the service for.
func TestFullFleet(t *testing.T) {
	const size, domains, limit = 370, 4, 12 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.kv.Latency = 5 * time.Millisecond
		for i := range size {
			f.add([]string{"fd-1", "fd-2", "fd-3", "fd-4"}[i%domains])
		}
		for _, h := range f.hosts {
			h.run()
		}
		f.mustChange(f.hosts[0], 0)
		time.Sleep(limit)
		f.expect(1, f.hosts...)

		before, began := f.kv.Calls(), time.Now()
		f.mustChange(f.hosts[1], 1)
		for !f.all(2) && time.Since(began) < limit {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(began)
		f.expect(2, f.hosts...)
		time.Sleep(limit - took)
		calls := f.kv.Calls() - before
		t.Logf("change in force on %d hosts after %v; %d key-value calls in %v", size, took, calls, limit)
		if calls > 40 {
			t.Errorf("%d key-value calls for one change", calls)
		}
	})
}

func (f *fleet) all(revision int64) bool {
	for _, h := range f.hosts {
		if _, r := h.Current(); r != revision {
			return false
		}
	}
	return true
}

// Guards against many calls for the newest revision at start, with or without a usable hint.
func TestNewest(t *testing.T) {
	store := kvfake.New()
	j := journal{kv: store.Client("a"), env: "trial"}
	for r := int64(1); r <= 500; r++ {
		_ = j.create(t.Context(), r, []byte("x"))
	}
	for _, tt := range []struct {
		hint, from int64
		maxCalls   int
	}{
		{0, 0, 20}, {500, 0, 3}, {497, 0, 8}, {9999, 0, 21}, {0, 500, 1}, {0, 499, 3}, {0, 1, 20},
	} {
		_ = j.kv.Delete(t.Context(), j.hintKey(), kvapi.AnyVersion)
		if tt.hint > 0 {
			_ = j.setHint(t.Context(), tt.hint)
		}
		before := store.Calls()
		got, value, err := j.newest(context.Background(), tt.from)
		calls := store.Calls() - before
		if err != nil || got != 500 || (value == nil) != (tt.from == 500) || calls > tt.maxCalls {
			t.Errorf("hint %d, from %d: revision %d, error %v, %d calls", tt.hint, tt.from, got, err, calls)
		}
	}
}
