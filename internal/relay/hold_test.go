package relay

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/pkg/answer"
)

// Guards against attempts at an engine that has asked for a pause with a Retry-After time, and against a call that is
// held until its deadline although the pause is longer.
func TestHold(t *testing.T) {
	const hold = 2 * time.Second
	for _, tt := range []struct {
		name     string
		engine   string // that the dispatcher grants; empty means another one each time
		deadline time.Duration
		attempts int
		least    time.Duration // until the end of the call
		most     time.Duration
		served   bool
	}{
		{"another engine is granted", "", time.Minute, 2, 0, time.Second, true},
		{"the same engine is granted", "e1", time.Minute, 2, hold, hold + time.Second, true},
		{"the deadline is too near", "e1", 3 * time.Second, 1, 0, time.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngines{scripts: []script{{sendErr: &engine.SendError{
					NotExecuted: true, Status: http.StatusServiceUnavailable, Hold: hold,
				}}}}
				d := &fakeDispatcher{engine: tt.engine}
				r := newRelay(e, d)
				r.Notices = &notice.Table{}
				req := newRequest(true)
				start := time.Now()
				req.TicketRequest.Deadline = start.Add(tt.deadline)
				_, err := r.Do(t.Context(), req, func(string) error { return nil })
				if took := time.Since(start); took < tt.least || took > tt.most {
					t.Errorf("the call took %v, want %v to %v", took, tt.least, tt.most)
				}
				if len(e.calls) != tt.attempts || (err == nil) != tt.served {
					t.Errorf("%d attempts, error %v", len(e.calls), err)
				}
				if last := d.requests[len(d.requests)-1]; !slices.Contains(last.Tried, "e1") {
					t.Errorf("the dispatcher was not told that e1 takes no calls: %v", last.Tried)
				}
				if d.openTickets != 0 {
					t.Errorf("%d tickets open after the call", d.openTickets)
				}
				var rejected *answer.Error
				if tt.served || !errors.As(err, &rejected) {
					return
				}
				if rejected.RetryAfter < time.Second || rejected.Outcome != answer.NotRun {
					t.Errorf("rejected with %+v", rejected)
				}
			})
		})
	}
}
