package sched_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against a call beyond the quota that gets an engine or is rejected for another reason first, against a later
// attempt or a restored ticket that is charged again, and against a rejected or cancelled call that is not refunded.
func TestQuota(t *testing.T) {
	s := newScheduler(1)
	s.Quota = &quota.Limiter{}
	s.Quota.SetWorkspaces(start, []topo.Workspace{{Name: "w", Quota: topo.Quota{Rate: 10, Burst: 10}}})
	s.Quota.Update(start, time.Minute, false, 1)
	s.Quota.Update(start, time.Hour, true, 1)
	now := start.Add(time.Second)
	schedule := func(name, model string, tried ...string) sched.Decision {
		s.Quota.Update(now, time.Hour+now.Sub(start), true, 1)
		q := call(name, 100)
		q.Spec.Model, q.Tried, q.Workspace, q.Cost = model, tried, "w", 6
		return s.Schedule(now, q)
	}
	if got := schedule("unknown", "none"); got.Reason != sched.ReasonUnknownModel {
		t.Fatalf("unknown model: %+v", got)
	}
	if got := schedule("waits", "x"); got.Kind != sched.Waiting {
		t.Fatalf("waiting call: %+v", got)
	}
	s.Cancel("waits")
	first := schedule("first", "m")
	if first.Kind != sched.Granted {
		t.Fatalf("refunds are missing: %+v", first)
	}
	s.RestoreTicket(now, sched.OpenTicket{Request: sched.Request{Workspace: "w", Cost: 6}, Grant: first.Grant})
	if got := schedule("first", "m", "e9"); got.Kind != sched.Granted {
		t.Errorf("later attempt: %+v", got)
	}
	for _, model := range []string{"m", "none"} {
		got := schedule("second", model)
		if got.Reason != sched.ReasonOverQuota || got.RetryAfter != 200*time.Millisecond {
			t.Errorf("call for model %s beyond the quota: %+v", model, got)
		}
	}
	now = now.Add(200 * time.Millisecond)
	if got := schedule("second", "m"); got.Kind != sched.Granted {
		t.Errorf("after the retry time: %+v", got)
	}
}
