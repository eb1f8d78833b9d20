package idem

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/answer"
)

// upstream is a service with a non-idempotent request; it counts executions.
type upstream struct {
	executions atomic.Int64
	latency    time.Duration
	err        error
}

func (u *upstream) execute(context.Context) (*Response, error) {
	if u.err != nil {
		return nil, u.err
	}
	u.executions.Add(1)
	time.Sleep(u.latency)
	return &Response{Status: http.StatusOK, Body: []byte("charged")}, nil
}

func newRecords(s *kvfake.Store, host string) *Records {
	return &Records{
		KV: s.Client(host), Stats: &stats.Set{}, Environment: "test", Host: host,
		Retention: func() time.Duration { return 24 * time.Hour },
	}
}

func newClaim(attempt string) Claim {
	return Claim{Caller: "c", Key: "k", Attempt: attempt, Fingerprint: []byte("body")}
}

func outcomeOf(err error) answer.Outcome {
	if err == nil {
		return ""
	}
	return answer.From(err).Outcome
}

// Guards against a second execution of a call when a request to the key-value service for its claim, or the response to
// it, is lost.
func TestLostWrites(t *testing.T) {
	tests := []struct {
		name       string
		faults     []kvfake.Fault
		executions int64
		first      answer.Outcome
		retry      answer.Outcome
	}{
		{name: "no fault", executions: 1},
		{
			name: "claim took effect, response lost", faults: []kvfake.Fault{{Kind: kvfake.Put, AfterExecution: true}},
			executions: 1,
		},
		{name: "claim did not arrive", faults: []kvfake.Fault{{Kind: kvfake.Put}}, executions: 1},
		{
			name: "claim took effect, response and first read lost", executions: 1,
			faults: []kvfake.Fault{{Kind: kvfake.Put, AfterExecution: true}, {Kind: kvfake.Get}},
		},
		{
			name:       "lease rejected by rate limit",
			faults:     []kvfake.Fault{{Kind: kvfake.Grant, Err: kvapi.ErrRateLimited}},
			executions: 1, first: answer.Unknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := kvfake.New()
				for _, f := range tt.faults {
					s.InjectFault(f)
				}
				up := &upstream{latency: time.Second}
				_, err := newRecords(s, "a").Run(t.Context(), newClaim("a1"), up.execute)
				if got := outcomeOf(err); got != tt.first {
					t.Errorf("first attempt: outcome %q, want %q (%v)", got, tt.first, err)
				}
				_, err = newRecords(s, "b").Run(t.Context(), newClaim("b1"), up.execute)
				if got := outcomeOf(err); got != tt.retry {
					t.Errorf("retry: outcome %q, want %q (%v)", got, tt.retry, err)
				}
				if n := up.executions.Load(); n != tt.executions {
					t.Errorf("%d executions, want %d", n, tt.executions)
				}
			})
		})
	}
}

// Guards against concurrent executions of one key on several hosts, and against waiting hosts that get a response of
// their own instead of the replayed one.
func TestConcurrentAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		s.Latency = 2 * time.Millisecond
		up := &upstream{latency: 3 * time.Second}
		responses := make(chan *Response, 3)
		for _, host := range []string{"a", "b", "c"} {
			go func() {
				resp, err := newRecords(s, host).Run(t.Context(), newClaim(host), up.execute)
				if err != nil {
					t.Errorf("host %s: %v", host, err)
				}
				responses <- resp
			}()
		}
		replayed := 0
		for range 3 {
			if resp := <-responses; resp != nil && resp.Replayed {
				replayed++
			}
		}
		if up.executions.Load() != 1 || replayed != 2 {
			t.Errorf("%d executions and %d replays, want 1 and 2", up.executions.Load(), replayed)
		}
	})
}

// Guards against a second execution, or a wrong not_run outcome, after the claiming host died or the call ended with an
// unknown outcome, and during an outage of the key-value service.
func TestUnknownOutcomeIsKept(t *testing.T) {
	tests := []struct {
		name       string
		before     func(t *testing.T, s *kvfake.Store, up *upstream)
		executions int64
	}{
		{
			name: "claiming host died during the call", executions: 1,
			before: func(t *testing.T, s *kvfake.Store, up *upstream) {
				up.latency = 1000 * time.Hour
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				go func() {
					_, _ = newRecords(s, "a").Run(ctx, newClaim("a1"), func(context.Context) (*Response, error) {
						up.executions.Add(1)
						<-ctx.Done()
						return nil, ctx.Err()
					})
				}()
				synctest.Wait()
			},
		},
		{
			name: "outage after the first attempt", executions: 1,
			before: func(t *testing.T, s *kvfake.Store, up *upstream) {
				if _, err := newRecords(s, "a").Run(t.Context(), newClaim("a1"), up.execute); err != nil {
					t.Fatal(err)
				}
				s.SetOutage(true)
			},
		},
		{
			name: "first attempt ended without a response", executions: 0,
			before: func(t *testing.T, s *kvfake.Store, up *upstream) {
				up.err = &answer.Error{Code: "cut", Outcome: answer.Unknown}
				if _, err := newRecords(s, "a").Run(t.Context(), newClaim("a1"), up.execute); err == nil {
					t.Fatal("no error")
				}
				up.err = nil
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := kvfake.New()
				up := &upstream{}
				tt.before(t, s, up)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := newRecords(s, "b").Run(ctx, newClaim("b1"), up.execute)
				if got := outcomeOf(err); got != answer.Unknown {
					t.Errorf("outcome %q, want %q (%v)", got, answer.Unknown, err)
				}
				if n := up.executions.Load(); n != tt.executions {
					t.Errorf("%d executions, want %d", n, tt.executions)
				}
			})
		})
	}
}

// Guards against a key that stays claimed although its attempt was certainly not executed, and against a key that is
// accepted again for another request.
func TestReleaseAndReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		up := &upstream{err: &answer.Error{Code: "refused", Outcome: answer.NotRun}}
		if _, err := newRecords(s, "a").Run(t.Context(), newClaim("a1"), up.execute); outcomeOf(err) != answer.NotRun {
			t.Fatalf("want not_run, got %v", err)
		}
		up.err = nil
		if _, err := newRecords(s, "b").Run(t.Context(), newClaim("b1"), up.execute); err != nil {
			t.Fatalf("a released key must be claimable again: %v", err)
		}
		other := newClaim("c1")
		other.Fingerprint = []byte("another body")
		if _, err := newRecords(s, "c").Run(t.Context(), other, up.execute); answer.From(err).Code != "key_reused" {
			t.Errorf("want key_reused, got %v", err)
		}
		if n := up.executions.Load(); n != 1 {
			t.Errorf("%d executions, want 1", n)
		}
	})
}

// Guards against calls of one host that exceed its share of the key-value service's writes.
func TestWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		rs := newRecords(s, "a")
		rs.Writes = rate.NewLimiter(writesPerClaim, writesPerClaim)
		up := &upstream{}
		for i, want := range []answer.Outcome{"", answer.Unknown} {
			c := newClaim("a1")
			c.Key = strconv.Itoa(i)
			if _, err := rs.Run(t.Context(), c, up.execute); outcomeOf(err) != want {
				t.Errorf("call %d: outcome %q, want %q", i, outcomeOf(err), want)
			}
		}
		if n := s.Calls(kvfake.Put, kvfake.Grant); n != writesPerClaim || up.executions.Load() != 1 {
			t.Errorf("%d writes and %d executions, want %d and 1", n, up.executions.Load(), writesPerClaim)
		}
	})
}

// Guards against a result that is never recorded because of an outage of the key-value service when the call ended.
func TestResultRecordedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		up := &upstream{}
		resp, err := newRecords(s, "a").Run(t.Context(), newClaim("a1"), func(ctx context.Context) (*Response, error) {
			s.SetOutage(true)
			return up.execute(ctx)
		})
		if err != nil || resp == nil {
			t.Fatalf("the caller must get its response during the outage: %v", err)
		}
		time.Sleep(2 * time.Minute)
		s.SetOutage(false)
		time.Sleep(time.Second)
		resp, err = newRecords(s, "b").Run(t.Context(), newClaim("b1"), up.execute)
		if err != nil || !resp.Replayed || up.executions.Load() != 1 {
			t.Errorf("want the recorded response, got %v, %v after %d executions", resp, err, up.executions.Load())
		}
	})
}
