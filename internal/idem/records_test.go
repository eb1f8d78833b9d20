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

// charge is an upstream whose effect must not repeat.
type charge struct {
	runs  atomic.Int64
	takes time.Duration
	err   error
}

func (c *charge) do(context.Context) (*Response, error) {
	if c.err != nil {
		return nil, c.err
	}
	c.runs.Add(1)
	time.Sleep(c.takes)
	return &Response{Status: http.StatusOK, Body: []byte("charged")}, nil
}

func records(s *kvfake.Store, host string) *Records {
	return &Records{
		KV: s.Client(host), Stats: &stats.Set{}, Environment: "test", Host: host,
		Retention: func() time.Duration { return 24 * time.Hour },
	}
}

func claim(attempt string) Claim {
	return Claim{Caller: "c", Key: "k", Attempt: attempt, Fingerprint: []byte("body")}
}

func outcome(err error) answer.Outcome {
	if err == nil {
		return ""
	}
	return answer.From(err).Outcome
}

// Guards against a second run when the answer to a write of the claim or of the result is lost or never arrives.
func TestLostWrites(t *testing.T) {
	tests := []struct {
		name   string
		faults []kvfake.Fault
		runs   int64
		first  answer.Outcome
		retry  answer.Outcome
	}{
		{name: "no fault", runs: 1},
		{
			name: "claim took effect, answer lost", faults: []kvfake.Fault{{Kind: kvfake.Put, AfterEffect: true}},
			runs: 1,
		},
		{name: "claim did not arrive", faults: []kvfake.Fault{{Kind: kvfake.Put}}, runs: 1},
		{
			name: "claim took effect, answer and first read lost", runs: 1,
			faults: []kvfake.Fault{{Kind: kvfake.Put, AfterEffect: true}, {Kind: kvfake.Get}},
		},
		{
			name:   "lease refused by rate limit",
			faults: []kvfake.Fault{{Kind: kvfake.Grant, Err: kvapi.ErrRateLimited}},
			runs:   1, first: answer.Unknown,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := kvfake.New()
				for _, f := range tt.faults {
					s.InjectFault(f)
				}
				up := &charge{takes: time.Second}
				_, err := records(s, "a").Run(t.Context(), claim("a1"), up.do)
				if got := outcome(err); got != tt.first {
					t.Errorf("first attempt: outcome %q, want %q (%v)", got, tt.first, err)
				}
				_, err = records(s, "b").Run(t.Context(), claim("b1"), up.do)
				if got := outcome(err); got != tt.retry {
					t.Errorf("retry: outcome %q, want %q (%v)", got, tt.retry, err)
				}
				if n := up.runs.Load(); n != tt.runs {
					t.Errorf("ran %d times, want %d", n, tt.runs)
				}
			})
		})
	}
}

// Guards against two hosts running the same key at once, and against the second one getting another answer.
func TestSameKeyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		s.Latency = 2 * time.Millisecond
		up := &charge{takes: 3 * time.Second}
		answers := make(chan *Response, 3)
		for _, host := range []string{"a", "b", "c"} {
			go func() {
				a, err := records(s, host).Run(t.Context(), claim(host), up.do)
				if err != nil {
					t.Errorf("host %s: %v", host, err)
				}
				answers <- a
			}()
		}
		replayed := 0
		for range 3 {
			if a := <-answers; a != nil && a.Replayed {
				replayed++
			}
		}
		if up.runs.Load() != 1 || replayed != 2 {
			t.Errorf("ran %d times with %d replays, want 1 and 2", up.runs.Load(), replayed)
		}
	})
}

// Guards against a run, or an untrue not_run, after the claiming host died or while the service is down.
func TestUnknownStaysUnknown(t *testing.T) {
	tests := []struct {
		name   string
		before func(t *testing.T, s *kvfake.Store, up *charge)
		runs   int64
	}{
		{
			name: "claiming host died in the middle", runs: 1,
			before: func(t *testing.T, s *kvfake.Store, up *charge) {
				up.takes = 1000 * time.Hour
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				go func() {
					_, _ = records(s, "a").Run(ctx, claim("a1"), func(context.Context) (*Response, error) {
						up.runs.Add(1)
						<-ctx.Done()
						return nil, ctx.Err()
					})
				}()
				synctest.Wait()
			},
		},
		{
			name: "outage after the first attempt", runs: 1,
			before: func(t *testing.T, s *kvfake.Store, up *charge) {
				if _, err := records(s, "a").Run(t.Context(), claim("a1"), up.do); err != nil {
					t.Fatal(err)
				}
				s.SetDown(true)
			},
		},
		{
			name: "first attempt ended without an answer", runs: 0,
			before: func(t *testing.T, s *kvfake.Store, up *charge) {
				up.err = &answer.Error{Code: "cut", Outcome: answer.Unknown}
				if _, err := records(s, "a").Run(t.Context(), claim("a1"), up.do); err == nil {
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
				up := &charge{}
				tt.before(t, s, up)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err := records(s, "b").Run(ctx, claim("b1"), up.do)
				if got := outcome(err); got != answer.Unknown {
					t.Errorf("outcome %q, want %q (%v)", got, answer.Unknown, err)
				}
				if n := up.runs.Load(); n != tt.runs {
					t.Errorf("ran %d times, want %d", n, tt.runs)
				}
			})
		})
	}
}

// Guards against a key that stays blocked although its attempt was provably not run, and against a reused key.
func TestReleaseAndReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		up := &charge{err: &answer.Error{Code: "refused", Outcome: answer.NotRun}}
		if _, err := records(s, "a").Run(t.Context(), claim("a1"), up.do); outcome(err) != answer.NotRun {
			t.Fatalf("want not_run, got %v", err)
		}
		up.err = nil
		if _, err := records(s, "b").Run(t.Context(), claim("b1"), up.do); err != nil {
			t.Fatalf("a released key must run: %v", err)
		}
		other := claim("c1")
		other.Fingerprint = []byte("another body")
		if _, err := records(s, "c").Run(t.Context(), other, up.do); answer.From(err).Code != "key_reused" {
			t.Errorf("want key_reused, got %v", err)
		}
		if n := up.runs.Load(); n != 1 {
			t.Errorf("ran %d times, want 1", n)
		}
	})
}

// Guards against calls that use up the key-value service's writes for all other hosts.
func TestWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		b := records(s, "a")
		b.Writes = rate.NewLimiter(writesPerClaim, writesPerClaim)
		up := &charge{}
		for i, want := range []answer.Outcome{"", answer.Unknown} {
			c := claim("a1")
			c.Key = strconv.Itoa(i)
			if _, err := b.Run(t.Context(), c, up.do); outcome(err) != want {
				t.Errorf("call %d: outcome %q, want %q", i, outcome(err), want)
			}
		}
		if n := s.Calls(kvfake.Put, kvfake.Grant); n != writesPerClaim || up.runs.Load() != 1 {
			t.Errorf("%d writes and %d runs, want %d and 1", n, up.runs.Load(), writesPerClaim)
		}
	})
}

// Guards against a result that is lost because the service was down when the call ended.
func TestResultRecordedAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := kvfake.New()
		up := &charge{}
		a, err := records(s, "a").Run(t.Context(), claim("a1"), func(ctx context.Context) (*Response, error) {
			s.SetDown(true)
			return up.do(ctx)
		})
		if err != nil || a == nil {
			t.Fatalf("the caller must get its answer during the outage: %v", err)
		}
		time.Sleep(2 * time.Minute)
		s.SetDown(false)
		time.Sleep(time.Second)
		a, err = records(s, "b").Run(t.Context(), claim("b1"), up.do)
		if err != nil || !a.Replayed || up.runs.Load() != 1 {
			t.Errorf("want the recorded answer, got %v, %v after %d runs", a, err, up.runs.Load())
		}
	})
}
