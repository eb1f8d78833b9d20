package ledger

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
)

// script is a ledger whose time the test sets.
type script struct {
	t   *testing.T
	led *Ledger
	seq int64
	ids int
}

func at(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }

func newScript(t *testing.T, checks bool) *script {
	s := &script{t: t, led: &Ledger{Rules: Rules{CapacityMB: capacity, MaxOrderDelay: horizon, ChecksFencing: checks}}}
	s.led.Takeover(at(0), 1)
	s.report(1, 1, 0)
	return s
}

// report applies a report of boot "1" that was asked for at started and arrives at now.
func (s *script) report(now, started float64, fence int64, present ...string) bool {
	s.seq++
	return s.led.ApplyReport(at(now), at(started), s.status("1", s.seq, fence, present...))
}

func (s *script) status(boot string, seq, fence int64, present ...string) engine.Status {
	st := engine.Status{BootID: boot, Seq: seq, Fence: fence}
	for _, name := range present {
		st.Items = append(st.Items, engine.Item{Name: name, MemoryMB: sizes[name], State: engine.Resident})
	}
	return st
}

func (s *script) load(began, ended float64, name string) engine.Order {
	s.t.Helper()
	s.ids++
	o, err := s.led.BeginLoad(at(began), name+"l", Item{Name: name, MemoryMB: sizes[name]})
	if err != nil {
		s.t.Fatal(err)
	}
	s.led.EndOrder(at(ended), o, nil)
	return o
}

func (s *script) unload(began, ended float64, name string, applied bool) {
	s.t.Helper()
	o, err := s.led.BeginUnload(at(began), name+"u", name)
	if err != nil {
		s.t.Fatal(err)
	}
	var res *engine.OrderResult
	if applied {
		res = &engine.OrderResult{Applied: true, Fence: o.Fence, BootID: "1", Seq: s.seq}
	}
	s.led.EndOrder(at(ended), o, res)
}

func (s *script) reserved(want int, when string) {
	s.t.Helper()
	if got := s.led.ReservedMB(); got != want {
		s.t.Errorf("%s: %d reserved, want %d: %+v", when, got, want, s.led.Items)
	}
}

// Guards against freeing by the time at which a report arrives, or by the time at which an order was begun.
func TestHorizonWithoutFencing(t *testing.T) {
	s := newScript(t, false)
	s.load(2, 12, "c")
	s.unload(13, 14, "c", true)
	s.reserved(5, "after the unload")
	s.report(80, 65, 0)
	s.reserved(5, "report asked 60 s after the load was begun, but not after its outcome")
	s.report(90, 71, 0)
	s.reserved(5, "report asked before the horizon that arrived after it")
	s.report(91, 72, 0)
	s.reserved(0, "report asked after the horizon")
}

// Guards against freeing by time on an engine to which recorded loads go without a lease.
func TestFencingNeedsAHigherNumber(t *testing.T) {
	s := newScript(t, true)
	o := s.load(2, 3, "c")
	s.led.Abandon("c")
	s.report(1000, 999, o.Fence)
	s.reserved(5, "number not above that of the load")
	if n := s.led.Corrections(); len(n) != 1 || n[0].Kind != SyncFence {
		t.Fatalf("needs %+v, want a sync", n)
	}
	s.report(1002, 1001, o.Fence+1)
	s.reserved(0, "higher number")
}

// Guards against reports that are older than the last order or than another report.
func TestOldReports(t *testing.T) {
	s := newScript(t, false)
	s.load(2, 12, "c")
	s.report(13, 12, 0, "c")
	s.unload(100, 110, "c", true)
	s.report(111, 105, 0)
	s.reserved(5, "report asked before the answer")
	s.report(113, 112, 0, "c")
	if s.report(114, 111, 0) {
		t.Error("accepted a report that was asked for before the last one")
	}
	if s.led.ApplyReport(at(116), at(115), s.status("1", s.seq-3, 0)) {
		t.Error("accepted a report with a lower number of the same boot")
	}
	s.reserved(5, "still present")
}

// Guards against counting on an item that a late unload may still remove.
func TestLateUnload(t *testing.T) {
	s := newScript(t, false)
	s.load(2, 3, "c")
	s.report(71, 70, 0, "c")
	s.unload(72, 73, "c", true)
	s.report(75, 74, 0)
	s.reserved(0, "unloaded")
	s.load(76, 77, "c")
	s.report(79, 78, 0, "c")
	if s.led.Stable("c") {
		t.Error("dependable while the unload can still arrive")
	}
	s.report(134, 133, 0, "c")
	if !s.led.Stable("c") {
		t.Error("not dependable after the horizon")
	}
}

// Guards against a new owner that trusts times or numbers from before its takeover, or orders before a report.
func TestTakeoverRestartsHorizons(t *testing.T) {
	for _, checks := range []bool{true, false} {
		s := newScript(t, checks)
		s.load(2, 3, "c")
		s.unload(4, 5, "c", false)
		body, err := s.led.Encode()
		if err != nil {
			t.Fatal(err)
		}
		rules := s.led.Rules
		if s.led, err = Decode(body); err != nil {
			t.Fatal(err)
		}
		old := s.led.Fence
		s.led.Rules = rules
		s.led.Takeover(at(100), 2)
		if _, err = s.led.BeginLoad(at(101), "x", Item{Name: "d", MemoryMB: 6}); !errors.Is(err, ErrNoReport) {
			t.Errorf("load before a report: %v", err)
		}
		s.report(102, 101, old)
		s.reserved(5, "after the takeover")
		if s.led.Fence <= old {
			t.Errorf("number %d not raised", s.led.Fence)
		}
		s.report(162, 161, s.led.Fence)
		s.reserved(0, "after the horizon and with the new number")
	}
}

// Guards against trusting the number of an engine that loses it in a restart, and against unknown items.
func TestForgetfulEngineAndUnknownItems(t *testing.T) {
	s := newScript(t, true)
	s.load(2, 3, "c")
	s.unload(4, 5, "c", true)
	s.report(7, 6, s.led.Fence)
	s.reserved(0, "void by its number")
	s.led.ApplyReport(at(9), at(8), s.status("2", 1, 0, "a"))
	s.reserved(8, "freed load may come again, and an unknown item is there")
	if s.led.Fencing() {
		t.Error("still trusts the number")
	}
	s.led.ApplyReport(at(80), at(79), s.status("2", 2, 0, "a"))
	s.reserved(3, "after the horizon")
}
