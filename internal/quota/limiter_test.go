package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/topo"
)

func workspaces(rate float64, names ...string) []topo.Workspace {
	var out []topo.Workspace
	for _, name := range names {
		out = append(out, topo.Workspace{
			Name: name, Quota: topo.Quota{Rate: rate, Burst: rate, InTokens: true, PlainTokens: plain},
		})
	}
	return out
}

// lead returns a limiter of a single host that has led for so long.
func lead(d time.Duration, list []topo.Workspace) (*quota.Limiter, time.Time) {
	l := &quota.Limiter{Self: "a", Bounds: bounds}
	l.SetWorkspaces(origin, list)
	l.Update(origin, time.Minute, false, 1)
	l.Update(origin, time.Minute+5*time.Second, true, 1)
	now := origin.Add(d)
	l.Update(now, time.Minute+5*time.Second+d, true, 1)
	return l, now
}

// Guards against a new leader that hands out again what an earlier one has, against a quota that is raised and creates
// units, and against one that is lowered and keeps them; and against a workspace that appears and has to wait.
func TestAccountsOfConfigurations(t *testing.T) {
	for _, tt := range []struct {
		name  string
		led   time.Duration
		after []topo.Workspace // configuration that follows on one with a rate of 1,000
		space string
		want  float64 // units that are left
	}{
		{"new leader", 0, nil, "w", 0},
		{"filled", time.Second, nil, "w", 1000},
		{"raised", time.Second, workspaces(5000, "w"), "w", 1000},
		{"lowered", time.Second, workspaces(200, "w"), "w", 200},
		{"appears early", time.Second, workspaces(1000, "w", "x"), "x", 0},
		{"appears late", 8 * time.Second, workspaces(1000, "w", "x"), "x", 1000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, now := lead(tt.led, workspaces(1000, "w"))
			if tt.after != nil {
				l.SetWorkspaces(now, tt.after)
			}
			if _, _, ok := l.Charge(now, tt.space, tt.want); !ok {
				t.Errorf("less than %.0f units are left", tt.want)
			}
			if _, _, ok := l.Charge(now, tt.space, 1); ok {
				t.Errorf("more than %.0f units are left", tt.want)
			}
		})
	}
}

// Guards against a retry time after which the call is refused again, and against a refund that a rejected call does not
// get or that fills an account of a later term.
func TestRefusedAndRefunded(t *testing.T) {
	l, now := lead(time.Second, workspaces(1000, "w"))
	receipt, _, ok := l.Charge(now, "w", 900)
	_, wait, refused := l.Charge(now, "w", 400)
	if !ok || refused || wait != 300*time.Millisecond {
		t.Fatalf("allowed %v, refused %v, wait %v", ok, !refused, wait)
	}
	l.Refund(receipt)
	if receipt, _, ok = l.Charge(now, "w", 1000); !ok {
		t.Error("nothing was refunded")
	}
	l.Update(now, 2*time.Minute, false, 1)
	l.Update(now, 2*time.Minute, true, 1)
	l.Refund(receipt)
	if _, _, ok = l.Charge(now, "w", 1); ok {
		t.Error("an account of a new term was refunded")
	}
}

// Guards against a workspace without a quota, or calls without a workspace, that are refused, charged or reported.
func TestNoQuota(t *testing.T) {
	l, now := lead(0, []topo.Workspace{{Name: "free"}})
	for _, name := range []string{"", "free", "unknown"} {
		if _, _, ok := l.Charge(now, name, 1e9); !ok {
			t.Errorf("call of %q refused", name)
		}
		if _, ok := l.ChargePlain(now, name, 1e9); !ok {
			t.Errorf("plain call of %q refused", name)
		}
	}
	if l.Join("b"); l.Active() || l.Message(now, "b") != nil {
		t.Error("messages without quotas")
	}
}

// Guards against a charge that is debited twice because its report comes again, and against one that is lost with the
// connection.
func TestRepeatedReport(t *testing.T) {
	for name, repeat := range map[string]bool{"repeated": true, "lost": false} {
		l, now := lead(time.Second, workspaces(100_000, "w"))
		f := &quota.Limiter{Self: "b", Bounds: bounds}
		f.SetWorkspaces(now.Add(-time.Minute), workspaces(100_000, "w"))
		join := func() {
			l.Join("b")
			f.Follow("1")
			f.Update(now, time.Minute, false, 2)
			f.Apply(now, l.Message(now, "b"))
			l.Receive(now, "b", f.Report(now))
		}
		join()
		if _, ok := f.ChargePlain(now, "w", 200); !ok {
			t.Fatal("plain call refused")
		}
		if m := f.Report(now); repeat {
			l.Receive(now, "b", m)
			l.Receive(now, "b", m)
		} else {
			f.Unfollow(time.Minute, false)
			now = now.Add(time.Second)
			join()
		}
		if _, _, ok := l.Charge(now, "w", 100_000-200); !ok {
			t.Errorf("%s: charge debited twice", name)
		}
		if _, _, ok := l.Charge(now, "w", 1); ok {
			t.Errorf("%s: charge not debited", name)
		}
	}
}

// Guards against units that a host gains by connecting to a leader and disconnecting again.
func TestReconnecting(t *testing.T) {
	l := &quota.Limiter{Bounds: quota.Bounds{Window: 8 * time.Second}}
	l.SetWorkspaces(origin, workspaces(1000, "w"))
	now, boot := origin, time.Minute
	wait := func(d time.Duration) {
		now, boot = now.Add(d), boot+d
		l.Update(now, boot, false, 10)
	}
	wait(0)
	wait(3 * time.Second)
	for i := range 5 {
		wait(time.Second)
		if _, _, ok := l.Charge(now, "w", 101); ok {
			t.Fatal("a call larger than the account was allowed")
		}
		l.Follow("1")
		l.Apply(now, &quota.Message{Stamp: int64(i + 1)})
		if m := l.Report(now); m == nil || m.Stamp != int64(i+1) || l.Share() != 0 {
			t.Fatalf("the part of the rate is not lent: %+v", m)
		}
		l.Unfollow(boot, true)
		wait(0)
		if _, _, ok := l.Charge(now, "w", 1); ok || l.Share() != 0.1 {
			t.Fatalf("units after disconnecting, share %.2f", l.Share())
		}
	}
	if wait(time.Second); l.Share() != 0.1 {
		t.Errorf("share %.2f", l.Share())
	}
	if _, _, ok := l.Charge(now, "w", 100); !ok {
		t.Error("a host alone does not get its part")
	}
}

// Measures a charge at the leader of the largest fleet.
func BenchmarkCharge(b *testing.B) {
	for _, n := range []int{16, 100, 1000} {
		b.Run(fmt.Sprint(n, " workspaces"), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("workspace-", i)
			}
			l, now := lead(8*time.Second, workspaces(1e6, names...))
			for i := range 370 {
				l.Join(fmt.Sprint("host-", i))
			}
			boot := 2 * time.Minute
			for i := 0; b.Loop(); i++ {
				now, boot = now.Add(100*time.Microsecond), boot+100*time.Microsecond
				l.Update(now, boot, true, 370)
				l.Charge(now, names[i%n], long)
			}
		})
	}
}
