package plain_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/emul/svc"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/xhttp"
)

// bubble runs f on virtual time with a client that has an idle connection to s.
func bubble(t *testing.T, s *svc.Service, f func(ctx context.Context, c *plain.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("s:80", s)()
		c := &plain.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		defer c.HTTP.Close()
		a, err := c.Forward(t.Context(), plain.Call{Method: http.MethodGet, URL: "http://s:80/warm"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(a.Body)
		_ = a.Body.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f(ctx, c)
	})
}

// TestNoReplay guards against a second run of a call whose connection breaks, untrue statements about the first, and
// URLs in errors.
func TestNoReplay(t *testing.T) {
	cases := []struct {
		name    string
		url     string
		method  string
		plan    fault.Spec
		notRun  bool
		arrived int
		runs    int
	}{
		{"no listener", "http://t:80", http.MethodPost, fault.Spec{}, true, 0, 0},
		{"post dropped before its effect", "", http.MethodPost, fault.Spec{DropRequest: true}, false, 1, 0},
		{"get dropped before its effect", "", http.MethodGet, fault.Spec{DropRequest: true}, false, 1, 0},
		{"answer lost", "", http.MethodPost, fault.Spec{DropResponse: true}, false, 1, 1},
		{"frozen", "", http.MethodPost, fault.Spec{Freeze: true}, false, 1, 0},
	}
	for _, tc := range cases {
		s := new(svc.Service)
		bubble(t, s, func(ctx context.Context, c *plain.Client) {
			s.Fault.Set(tc.plan)
			call := plain.Call{
				Method: tc.method, URL: tc.url, Header: http.Header{"Idempotency-Key": {"k"}},
				NonIdempotent: true,
			}
			if tc.method == http.MethodPost {
				call.Body, call.ContentLength = strings.NewReader("charge"), 6
			}
			if call.URL == "" {
				call.URL = "http://s:80"
			}
			call.URL += "/charge"
			_, err := c.Forward(ctx, call)
			var se *plain.SendError
			if !errors.As(err, &se) || se.NotExecuted != tc.notRun || strings.Contains(se.Reason, "/charge") {
				t.Errorf("%s: got %+v", tc.name, err)
			}
			arrived, runs := s.Fault.Requests("/charge"), len(s.Executions())-1
			if arrived != tc.arrived || runs != tc.runs {
				t.Errorf("%s: %d arrived and %d ran, want %d and %d", tc.name, arrived, runs, tc.arrived, tc.runs)
			}
		})
	}
}

// TestHeaders guards against a caller's key that reaches a service, and a body or key that does not.
func TestHeaders(t *testing.T) {
	s := &svc.Service{KeyHeader: "X-Request-Key"}
	var seen http.Header
	outer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		s.ServeHTTP(w, r)
	})
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("s:80", outer)()
		c := &plain.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		h := http.Header{
			"Authorization": {"Bearer secret"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Request-Key": {"k"},
		}
		a, err := c.Forward(t.Context(), plain.Call{
			Method: http.MethodPost, URL: "http://s:80/x", Header: h, Body: strings.NewReader("b"), ContentLength: -1,
			NonIdempotent: true,
		})
		if err != nil {
			t.Fatal(err)
		}
		_ = a.Body.Close()
		if seen.Get("Authorization") != "" || seen.Get("X-Hop") != "" {
			t.Errorf("service got headers %v", seen)
		}
		if run := s.Executions()[0]; run.Key != "k" || run.Body != "b" {
			t.Errorf("service ran %+v", run)
		}
	})
}

// TestCut guards against a truncated body that passes for a whole one.
func TestCut(t *testing.T) {
	s := new(svc.Service)
	bubble(t, s, func(ctx context.Context, c *plain.Client) {
		s.Fault.Set(fault.Spec{CutAfterWrites: 1})
		a, err := c.Forward(ctx, plain.Call{Method: http.MethodGet, URL: "http://s:80/x"})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(a.Body); !errors.Is(err, plain.ErrTruncated) {
			t.Errorf("read %q, %v, want ErrCut", got, err)
		}
		_ = a.Body.Close()
	})
}

// FuzzAnswers guards against an answer that panics the client or loses bytes on its way.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status uint16, kind string, body []byte) {
		var n memnet.Net
		s := new(svc.Service)
		defer n.Serve("s:80", s)()
		want := 200 + int(status%400)
		s.Fault.Set(fault.Spec{Response: &fault.Response{Status: want, ContentType: kind, Body: body}})
		c := &plain.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		defer c.HTTP.Close()
		a, err := c.Forward(context.Background(), plain.Call{Method: http.MethodGet, URL: "http://s:80/x"})
		if err != nil {
			return
		}
		got, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		bodiless := want == http.StatusNoContent || want == http.StatusNotModified
		if a.Status != want || err == nil && !bodiless && string(got) != string(body) {
			t.Errorf("got status %d and %q, want %d and %q", a.Status, got, want, body)
		}
	})
}
