package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

// pausingSender counts the calls of each upstream; some ask for a pause.
type pausingSender struct {
	pause map[string]string // Retry-After value by URL
	calls map[string]int
}

func (s *pausingSender) Forward(_ context.Context, c plain.Call) (*plain.Response, error) {
	s.calls[c.URL]++
	resp := &plain.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("ok"))}
	if after := s.pause[c.URL]; after != "" {
		resp.Status = http.StatusServiceUnavailable
		resp.Header.Set("Retry-After", after)
	}
	return resp, nil
}

// Guards against calls to an upstream that has asked for a pause with a Retry-After time, against a crowd of them when
// it ends, and against callers that are told to come back before any upstream takes calls.
func TestHold(t *testing.T) {
	const a, b = "http://a", "http://b"
	for _, tt := range []struct {
		name       string
		pause      map[string]string
		at         time.Duration // of five calls at once, after a first call to each upstream
		a, b       int           // of these five
		retryAfter time.Duration // with which the last is rejected; 0 means that it is not
	}{
		{"none", nil, time.Second, 2, 3, 0},
		{"one", map[string]string{a: "3"}, time.Second, 0, 5, 0},
		{"fractions of a second", map[string]string{a: "1.5"}, 1400 * time.Millisecond, 0, 5, 0},
		{"malformed", map[string]string{a: "soon"}, time.Second, 2, 3, 0},
		{"all", map[string]string{a: "5", b: "3"}, time.Second, 0, 0, 2 * time.Second},
		{
			"all, when one pause has ended",
			map[string]string{a: "60", b: "3"},
			3100 * time.Millisecond, 0, 1,
			time.Second,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &pausingSender{pause: tt.pause, calls: make(map[string]int)}
				p := &Proxy{
					Client: s, RetryBudget: &budget.Budget{}, Stats: &stats.Set{}, Notices: &notice.Table{},
					IsLeaving: func(string) bool { return false },
				}
				call := func(ups ...envdoc.Upstream) error {
					return p.Forward(t.Context(), httptest.NewRecorder(), apigw.ServiceRequest{
						Method: http.MethodGet, Header: http.Header{},
						Service: envdoc.Service{Name: "s", TimeoutMS: 1000, Upstreams: ups},
					})
				}
				ups := []envdoc.Upstream{{Name: "a", URL: a}, {Name: "b", URL: b}}
				for _, up := range ups {
					if err := call(up); err != nil {
						t.Errorf("first call at %s: %v", up.Name, err)
					}
				}
				time.Sleep(tt.at)
				clear(s.calls)
				var err error
				for range 5 {
					if err = call(ups...); tt.retryAfter == 0 && err != nil {
						t.Error(err)
					}
				}
				balanced := tt.a > 0 && tt.b > 0 // ties are broken in any order
				if !balanced && (s.calls[a] != tt.a || s.calls[b] != tt.b) || s.calls[a]+s.calls[b] != tt.a+tt.b {
					t.Errorf("calls at a %d, at b %d; want %d and %d", s.calls[a], s.calls[b], tt.a, tt.b)
				}
				var rejected *answer.Error
				tooSoon := errors.As(err, &rejected) && rejected.RetryAfter < tt.retryAfter
				if tooSoon || rejected != nil && rejected.Outcome != answer.NotRun {
					t.Errorf("rejected with %+v", rejected)
				}
				if (err != nil) != (tt.retryAfter > 0) {
					t.Errorf("the last call got %v", err)
				}
			})
		})
	}
}
