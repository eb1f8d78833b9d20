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

// Guards against concurrent proposals on one base of which more than one is accepted, and against a conflict error that
// does not name the accepted change.
func TestConcurrentProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.kv.Latency = 5 * time.Millisecond
		hosts := []*host{c.add("fd-1"), c.add("fd-2"), c.add("fd-3")}
		errs := make([]error, len(hosts))
		for i, h := range hosts {
			h.run()
			go func() { errs[i] = h.propose(h.Self.Name, 0) }()
		}
		time.Sleep(5 * time.Second)
		synctest.Wait()
		stored, _ := hosts[0].ReadRevision(t.Context(), 1)
		accepted := 0
		for i, err := range errs {
			var conflict *Conflict
			switch {
			case err == nil && stored.ChangeID == hosts[i].Self.Name:
				accepted++
			case !errors.As(err, &conflict) || conflict.Revision != 1 || conflict.ChangeID != stored.ChangeID:
				t.Errorf("%s: %v", hosts[i].Self.Name, err)
			}
		}
		if accepted != 1 {
			t.Errorf("%d changes were accepted on one base", accepted)
		}
		c.expectRevision(1, hosts...)
	})
}

// Guards against a wrong outcome when requests to the key-value service or their responses are lost: a change that is
// reported as failed but took effect, or as accepted but did not, or that is accepted twice.
func TestLostResponses(t *testing.T) {
	put := func(times int, after bool, err error) kvfake.Fault {
		return kvfake.Fault{Kind: kvfake.Put, Times: times, AfterExecution: after, Err: err}
	}
	for _, tt := range []struct {
		name   string
		faults []kvfake.Fault
		want   error
		exists bool
	}{
		{"response lost", []kvfake.Fault{put(1, true, nil)}, nil, true},
		{"two reads and response lost", []kvfake.Fault{put(1, true, nil), {Kind: kvfake.Get, Times: 2}}, nil, true},
		{"first three writes lost", []kvfake.Fault{put(3, false, nil)}, nil, true},
		{"every write lost", []kvfake.Fault{put(9999, false, nil)}, ErrOutcomeUnknown, false},
		{"response to a write hangs", []kvfake.Fault{{Kind: kvfake.Put, Hang: true, AfterExecution: true}}, nil, true},
		{"every write rate-limited", []kvfake.Fault{put(9999, false, kvapi.ErrRateLimited)}, ErrUnavailable, false},
		{"every read lost", []kvfake.Fault{{Kind: kvfake.Get, Times: 9999}}, ErrUnavailable, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			h := c.add("fd-1")
			h.run()
			c.mustPropose(h, 0)
			for _, fault := range tt.faults {
				c.kv.InjectFault(fault)
			}
			if err := h.propose("c2", 1); !errors.Is(err, tt.want) {
				t.Errorf("%s: %v, want %v", tt.name, err, tt.want)
			}
			if exists := len(c.kv.Keys("env/trial/rev/")) == 2; exists != tt.exists {
				t.Errorf("%s: revision 2 exists: %t", tt.name, exists)
			}
		})
	}
}

// Guards against a repeated proposal that becomes a second revision, and against accepting an unknown or outdated base,
// a reused change ID or a document that is too large.
func TestRepeatedProposal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		h := c.add("fd-1")
		h.run()
		c.mustPropose(h, 0, 1, 0, 1)
		var conflict *Conflict
		if err := h.propose("other", 0); !errors.As(err, &conflict) || conflict.ChangeID != "c1" {
			t.Errorf("outdated base: %v", err)
		}
		_, err := h.Propose(t.Context(), Change{ID: "c2", Base: 1, Body: body("different")})
		if !errors.As(err, &conflict) {
			t.Errorf("same id with another document: %v", err)
		}
		if err := h.propose("c9", 8); !errors.Is(err, ErrNoBase) {
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
		entries, err := h.History(t.Context(), 5)
		if err != nil || len(entries) != 2 || entries[0].ChangeID != "c2" || entries[1].Revision != 1 {
			t.Errorf("history %+v, %v", entries, err)
		}
	})
}

// Guards against a host that, after a partition, does not catch up or makes other hosts go back to its old revision.
func TestPartitionedHostRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		hosts := []*host{c.add("fd-1"), c.add("fd-1"), c.add("fd-1"), c.add("fd-1")}
		for _, h := range hosts {
			h.run()
		}
		c.mustPropose(hosts[0], 0)
		time.Sleep(5 * time.Second)
		c.setPartition(hosts[3], true, true)
		c.mustPropose(hosts[0], 1, 2, 3)
		time.Sleep(time.Minute)
		c.expectRevision(4, hosts[:3]...)
		c.expectRevision(1, hosts[3])
		c.setPartition(hosts[3], false, false)
		time.Sleep(5 * time.Second)
		c.expectRevision(4, hosts...)
	})
}

// Guards against a host that starts during an outage of the key-value service and applies the first response although
// another peer has a newer revision, is ready without a document, or never finishes its start.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		stale, current, unreachable := c.add("fd-1"), c.add("fd-1"), c.add("fd-1")
		stale.run()
		current.run()
		c.mustPropose(current, 0)
		time.Sleep(5 * time.Second)
		c.setPartition(stale, true, true)
		c.mustPropose(current, 1, 2)
		c.kv.SetOutage(true)
		c.setPartition(unreachable, true, true)
		c.setPartition(stale, true, false)
		stale.stop() // it still serves pulls but gets no new revisions
		starting := c.add("fd-2", stale, unreachable, current)
		starting.run()
		synctest.Wait()
		if starting.Ready() {
			t.Error("ready before any response")
		}
		time.Sleep(3 * time.Second)
		c.expectRevision(3, starting)
		if !starting.Ready() || starting.applied[0] != 3 {
			t.Errorf("ready %t after applying %v", starting.Ready(), starting.applied)
		}
	})
}

// Guards against a watcher that, after a partition from the key-value service, reads each missed revision in turn
// instead of searching for the newest one.
func TestWatchGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		watcher := c.add("fd-1")
		watcher.run()
		c.mustPropose(watcher, 0)
		c.kv.SetPartitioned(watcher.Self.Name, true)
		writer := revisionLog{kv: c.kv.Client("writer"), env: "trial"}
		value, _ := Record{ChangeID: "x", Body: body("x")}.encode()
		for r := int64(2); r <= 200; r++ {
			if err := writer.create(t.Context(), r, value); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		before := c.kv.CallsOf(watcher.Self.Name)
		c.kv.SetPartitioned(watcher.Self.Name, false)
		time.Sleep(3 * time.Second)
		c.expectRevision(200, watcher)
		if calls := c.kv.CallsOf(watcher.Self.Name) - before; calls > 25 {
			t.Errorf("%d calls to catch up 199 revisions", calls)
		}
	})
}

// Guards against faults around a revision that a host cannot apply: that the status doesn't show it, that peers don't
// receive it, that it is retried in a loop, that a host that has applied it goes back to an older one, that a restarted
// host finds no older revision to apply, or that the next revision isn't applied.
func TestUnappliableRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		a, b := c.add("fd-1"), c.add("fd-1")
		a.rejected = 2
		a.run()
		c.mustPropose(a, 0, 1)
		b.run()
		c.kv.SetPartitioned(b.Self.Name, true) // b can get revisions only from a
		time.Sleep(5 * time.Second)
		c.expectRevision(1, a)
		if st := a.Status(); st.Pending != 2 || !strings.Contains(st.Reason, errTest.Error()) {
			t.Errorf("status %+v", st)
		}
		c.expectRevision(2, b)
		restarted, fromPeer := c.add("fd-1"), c.add("fd-1", a)
		c.kv.InjectFault(kvfake.Fault{
			Client: fromPeer.Self.Name, Kind: kvfake.Get, Prefix: "env/trial/rev/1", Times: 9999,
		})
		restarted.rejected, fromPeer.rejected = 2, 2
		restarted.run()
		fromPeer.run()
		time.Sleep(2 * time.Second)
		c.expectRevision(1, restarted, fromPeer)
		c.mustPropose(a, 2)
		time.Sleep(5 * time.Second)
		c.expectRevision(3, a, b, restarted, fromPeer)
		if st := a.Status(); st.Pending != 0 || st.Reason != "" {
			t.Errorf("status after the next revision %+v", st)
		}
	})
}

// Guards against applying documents that were corrupted between hosts, and against a host that then never gets the
// revision from the key-value service.
func TestBadDigest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for range 4 { // at least one is neither a watcher nor the proposer
			c.add("fd-1").corrupt = true
		}
		for _, h := range c.hosts {
			h.run()
		}
		time.Sleep(1500 * time.Millisecond)
		c.mustPropose(c.hosts[0], 0)
		time.Sleep(10 * time.Second)
		c.expectRevision(1, c.hosts...)
		counted := 0
		for _, h := range c.hosts {
			if h.Stats.Events.Get("config_bad_digest") != nil {
				counted++
			}
		}
		if counted == 0 {
			t.Error("no bad digest was counted")
		}
	})
}

// Guards against a host without contact to any peer that never polls the key-value service.
func TestIsolatedHostPollsService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		for range 4 {
			c.add("fd-1")
		}
		for _, h := range c.hosts {
			h.run()
		}
		time.Sleep(1500 * time.Millisecond) // no ping is in progress at this time
		for _, h := range c.hosts {
			c.setPartition(h, false, true)
		}
		c.mustPropose(c.hosts[0], 0)
		time.Sleep(7 * time.Second)
		c.expectRevision(1, c.hosts...)
	})
}

// Guards against a change that takes longer than 12 s to reach all 370 hosts, and against hosts that all fetch it from
// the key-value service instead of from peers.
func TestFullFleet(t *testing.T) {
	const size, domains, limit = 370, 4, 12 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		c.kv.Latency = 5 * time.Millisecond
		for i := range size {
			c.add([]string{"fd-1", "fd-2", "fd-3", "fd-4"}[i%domains])
		}
		for _, h := range c.hosts {
			h.run()
		}
		c.mustPropose(c.hosts[0], 0)
		time.Sleep(limit)
		c.expectRevision(1, c.hosts...)

		callsBefore, start := c.kv.Calls(), time.Now()
		c.mustPropose(c.hosts[1], 1)
		for !c.allAt(2) && time.Since(start) < limit {
			time.Sleep(10 * time.Millisecond)
		}
		elapsed := time.Since(start)
		c.expectRevision(2, c.hosts...)
		time.Sleep(limit - elapsed)
		calls := c.kv.Calls() - callsBefore
		t.Logf("change active on %d hosts after %v; %d key-value calls in %v", size, elapsed, calls, limit)
		if calls > 40 {
			t.Errorf("%d key-value calls for one change", calls)
		}
	})
}

// allAt reports whether the revision is active on every host.
func (c *cluster) allAt(revision int64) bool {
	for _, h := range c.hosts {
		if _, r := h.Current(); r != revision {
			return false
		}
	}
	return true
}

// Guards against a search for the newest revision that finds another one or takes too many calls, with an exact, an
// outdated, a wrong and no hint.
func TestNewest(t *testing.T) {
	store := kvfake.New()
	l := revisionLog{kv: store.Client("a"), env: "trial"}
	for r := int64(1); r <= 500; r++ {
		_ = l.create(t.Context(), r, []byte("x"))
	}
	for _, tt := range []struct {
		hint, from int64
		maxCalls   int
	}{
		{0, 0, 20}, {500, 0, 3}, {497, 0, 8}, {9999, 0, 21}, {0, 500, 1}, {0, 499, 3}, {0, 1, 20},
	} {
		_ = l.kv.Delete(t.Context(), l.hintKey(), kvapi.AnyVersion)
		if tt.hint > 0 {
			_ = l.setHint(t.Context(), tt.hint)
		}
		before := store.Calls()
		got, value, err := l.newest(context.Background(), tt.from)
		calls := store.Calls() - before
		if err != nil || got != 500 || (value == nil) != (tt.from == 500) || calls > tt.maxCalls {
			t.Errorf("hint %d, from %d: revision %d, error %v, %d calls", tt.hint, tt.from, got, err, calls)
		}
	}
}
