package ledger

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
)

// testLedger is a ledger whose clock the test sets.
type testLedger struct {
	t      *testing.T
	ledger *Ledger
	seq    int64
	ids    int
}

func at(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }

func newTestLedger(t *testing.T, checks bool) *testLedger {
	l := &testLedger{t: t, ledger: &Ledger{
		Rules: Rules{CapacityMB: capacity, MaxOrderDelay: maxDelay, ChecksFencing: checks},
	}}
	l.ledger.Takeover(at(0), 1)
	l.report(1, 1, 0)
	return l
}

// report applies a report of boot "1" that was requested at started and arrives at now.
func (l *testLedger) report(now, started float64, fence int64, present ...string) bool {
	l.seq++
	return l.ledger.ApplyReport(at(now), at(started), l.status("1", l.seq, fence, present...))
}

func (l *testLedger) status(boot string, seq, fence int64, present ...string) engine.Status {
	st := engine.Status{BootID: boot, Seq: seq, Fence: fence}
	for _, name := range present {
		st.Items = append(st.Items, engine.Item{Name: name, MemoryMB: sizes[name], State: engine.Resident})
	}
	return st
}

func (l *testLedger) load(began, ended float64, name string) engine.Order {
	l.t.Helper()
	l.ids++
	o, err := l.ledger.BeginLoad(at(began), name+"l", Item{Name: name, MemoryMB: sizes[name]})
	if err != nil {
		l.t.Fatal(err)
	}
	l.ledger.EndOrder(at(ended), o, nil)
	return o
}

func (l *testLedger) unload(began, ended float64, name string, applied bool) {
	l.t.Helper()
	o, err := l.ledger.BeginUnload(at(began), name+"u", name)
	if err != nil {
		l.t.Fatal(err)
	}
	var res *engine.OrderResult
	if applied {
		res = &engine.OrderResult{Applied: true, Fence: o.Fence, BootID: "1", Seq: l.seq}
	}
	l.ledger.EndOrder(at(ended), o, res)
}

func (l *testLedger) checkReserved(want int, when string) {
	l.t.Helper()
	if got := l.ledger.ReservedMB(); got != want {
		l.t.Errorf("%s: %d reserved, want %d: %+v", when, got, want, l.ledger.Items)
	}
}

// Guards against freeing memory when the maximum order delay is counted from the start of an order instead of its end,
// or up to the arrival of a report instead of its request.
func TestMaxOrderDelayWithoutFencing(t *testing.T) {
	l := newTestLedger(t, false)
	l.load(2, 12, "c")
	l.unload(13, 14, "c", true)
	l.checkReserved(5, "after the unload")
	l.report(80, 65, 0)
	l.checkReserved(5, "report requested 60 s after the load began, but not after its outcome")
	l.report(90, 71, 0)
	l.checkReserved(5, "report requested before the end of the delay that arrived after it")
	l.report(91, 72, 0)
	l.checkReserved(0, "report requested after the delay")
}

// Guards against freeing memory on an engine that checks fencing only because time has passed: stored loads are sent to
// it without a lease, so they may arrive after any delay.
func TestFencingNeedsHigherToken(t *testing.T) {
	l := newTestLedger(t, true)
	o := l.load(2, 3, "c")
	l.ledger.Drop("c")
	l.report(1000, 999, o.Fence)
	l.checkReserved(5, "token not above that of the load")
	if c := l.ledger.Corrections(); len(c) != 1 || c[0].Kind != SyncFence {
		t.Fatalf("corrections %+v, want a sync", c)
	}
	l.report(1002, 1001, o.Fence+1)
	l.checkReserved(0, "higher token")
}

// Guards against reports that were requested before the last order ended or before another report.
func TestOldReports(t *testing.T) {
	l := newTestLedger(t, false)
	l.load(2, 12, "c")
	l.report(13, 12, 0, "c")
	l.unload(100, 110, "c", true)
	l.report(111, 105, 0)
	l.checkReserved(5, "report requested before the response")
	l.report(113, 112, 0, "c")
	if l.report(114, 111, 0) {
		t.Error("accepted a report that was requested before the last one")
	}
	if l.ledger.ApplyReport(at(116), at(115), l.status("1", l.seq-3, 0)) {
		t.Error("accepted a report with a lower sequence number of the same boot")
	}
	l.checkReserved(5, "still present")
}

// Guards against an item that counts as stable although a late unload may still remove it.
func TestLateUnload(t *testing.T) {
	l := newTestLedger(t, false)
	l.load(2, 3, "c")
	l.report(71, 70, 0, "c")
	l.unload(72, 73, "c", true)
	l.report(75, 74, 0)
	l.checkReserved(0, "unloaded")
	l.load(76, 77, "c")
	l.report(79, 78, 0, "c")
	if l.ledger.Stable("c") {
		t.Error("stable while the unload can still arrive")
	}
	l.report(134, 133, 0, "c")
	if !l.ledger.Stable("c") {
		t.Error("not stable after the maximum order delay")
	}
}

// Guards against a new owner that frees memory by times or fencing tokens from before its takeover, or that sends
// orders before it has a report.
func TestTakeoverRestartsOrderDelays(t *testing.T) {
	for _, checks := range []bool{true, false} {
		l := newTestLedger(t, checks)
		l.load(2, 3, "c")
		l.unload(4, 5, "c", false)
		body, err := l.ledger.Encode()
		if err != nil {
			t.Fatal(err)
		}
		rules := l.ledger.Rules
		if l.ledger, err = Decode(body); err != nil {
			t.Fatal(err)
		}
		old := l.ledger.Fence
		l.ledger.Rules = rules
		l.ledger.Takeover(at(100), 2)
		if _, err = l.ledger.BeginLoad(at(101), "x", Item{Name: "d", MemoryMB: 6}); !errors.Is(err, ErrNoReport) {
			t.Errorf("load before a report: %v", err)
		}
		l.report(102, 101, old)
		l.checkReserved(5, "after the takeover")
		if l.ledger.Fence <= old {
			t.Errorf("token %d not raised", l.ledger.Fence)
		}
		l.report(162, 161, l.ledger.Fence)
		l.checkReserved(0, "after the maximum order delay and with the new token")
	}
}

// Guards against use of fencing on an engine that lost its token in a restart, and against unknown items that reserve
// no memory.
func TestLostFenceAndUnknownItems(t *testing.T) {
	l := newTestLedger(t, true)
	l.load(2, 3, "c")
	l.unload(4, 5, "c", true)
	l.report(7, 6, l.ledger.Fence)
	l.checkReserved(0, "fenced off by its token")
	l.ledger.ApplyReport(at(9), at(8), l.status("2", 1, 0, "a"))
	l.checkReserved(8, "old load may take effect, and an unknown item is there")
	if l.ledger.Fencing() {
		t.Error("still uses fencing")
	}
	l.ledger.ApplyReport(at(80), at(79), l.status("2", 2, 0, "a"))
	l.checkReserved(3, "after the maximum order delay")
}
