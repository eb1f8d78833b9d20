package plain_test

import (
	"bufio"
	"context"
	"io"
	"net"
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

// withService runs f in a synctest bubble with a client that has called the emulated service s before.
func withService(t *testing.T, s *svc.Service, f func(ctx context.Context, c *plain.Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("s:80", s)()
		c := &plain.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		resp, err := c.Forward(t.Context(), plain.Call{Method: http.MethodGet, URL: "http://s:80/warm"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f(ctx, c)
	})
}

// TestNoAutomaticRetry guards against a second execution of a call whose connection breaks, a wrong NotExecuted, and
// URLs in errors.
func TestNoAutomaticRetry(t *testing.T) {
	cases := []struct {
		name        string
		url         string
		method      string
		spec        fault.Spec
		notExecuted bool
		requests    int
		executions  int
	}{
		{"no listener", "http://t:80", http.MethodPost, fault.Spec{}, true, 0, 0},
		{"post dropped before execution", "", http.MethodPost, fault.Spec{DropRequest: true}, false, 1, 0},
		{"get dropped before execution", "", http.MethodGet, fault.Spec{DropRequest: true}, false, 1, 0},
		{"response lost", "", http.MethodPost, fault.Spec{DropResponse: true}, false, 1, 1},
		{"frozen", "", http.MethodPost, fault.Spec{Freeze: true}, false, 1, 0},
	}
	for _, tc := range cases {
		s := new(svc.Service)
		withService(t, s, func(ctx context.Context, c *plain.Client) {
			s.Fault.Set(tc.spec)
			call := plain.Call{
				Method: tc.method, URL: tc.url, Header: http.Header{"Idempotency-Key": {"k"}},
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
			if !errors.As(err, &se) || se.NotExecuted != tc.notExecuted || strings.Contains(se.Reason, "/charge") {
				t.Errorf("%s: got %+v", tc.name, err)
			}
			requests, executions := s.Fault.Requests("/charge"), len(s.Executions())-1
			if requests != tc.requests || executions != tc.executions {
				t.Errorf("%s: %d requests and %d executions, want %d and %d",
					tc.name, requests, executions, tc.requests, tc.executions)
			}
		})
	}
}

// TestHeaders guards against a caller's credentials that reach a service, and a body or idempotency key that does not.
func TestHeaders(t *testing.T) {
	s := &svc.Service{KeyHeader: "X-Request-Key"}
	var received http.Header
	recorder := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Clone()
		s.ServeHTTP(w, r)
	})
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("s:80", recorder)()
		c := &plain.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		h := http.Header{
			"Authorization": {"Bearer secret"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Request-Key": {"k"},
		}
		resp, err := c.Forward(t.Context(), plain.Call{
			Method: http.MethodPost, URL: "http://s:80/x", Header: h, Body: strings.NewReader("b"), ContentLength: -1,
		})
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if received.Get("Authorization") != "" || received.Get("X-Hop") != "" {
			t.Errorf("service got headers %v", received)
		}
		if e := s.Executions()[0]; e.Key != "k" || e.Body != "b" {
			t.Errorf("service executed %+v", e)
		}
	})
}

// TestTruncatedBody guards against a truncated body that is taken for a complete one.
func TestTruncatedBody(t *testing.T) {
	s := new(svc.Service)
	withService(t, s, func(ctx context.Context, c *plain.Client) {
		s.Fault.Set(fault.Spec{CutAfterWrites: 1})
		resp, err := c.Forward(ctx, plain.Call{Method: http.MethodGet, URL: "http://s:80/x"})
		if err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(resp.Body); !errors.Is(err, plain.ErrTruncated) {
			t.Errorf("read %q, %v, want ErrTruncated", got, err)
		}
		_ = resp.Body.Close()
	})
}

// FuzzAnswers guards against a response that makes the client panic, and against a response body that the client
// changes.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status uint16, contentType string, body []byte) {
		var n memnet.Net
		s := new(svc.Service)
		defer n.Serve("s:80", s)()
		wantStatus := 200 + int(status%400)
		s.Fault.Set(fault.Spec{Response: &fault.Response{Status: wantStatus, ContentType: contentType, Body: body}})
		c := &plain.Client{HTTP: xhttp.Client{Dial: n.Dial}}
		resp, err := c.Forward(context.Background(), plain.Call{Method: http.MethodGet, URL: "http://s:80/x"})
		if err != nil {
			return
		}
		got, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		bodiless := wantStatus == http.StatusNoContent || wantStatus == http.StatusNotModified
		if resp.Status != wantStatus || err == nil && !bodiless && string(got) != string(body) {
			t.Errorf("got status %d and %q, want %d and %q", resp.Status, got, wantStatus, body)
		}
	})
}

// Guards against a response that ends in the middle of its head or body and counts as a complete one.
func TestResponseEndsEarly(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nX-Field: value\r\nContent-Length: 2\r\n\r\nok"
	for n := range len(response) + 1 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.WriteString(nc, response[:n])
			}
			_ = nc.Close()
		}()
		c := &plain.Client{}
		resp, err := c.Forward(t.Context(), plain.Call{Method: http.MethodGet, URL: "http://" + l.Addr().String()})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		if complete := err == nil; complete != (n == len(response)) {
			t.Errorf("after %d of %d bytes: complete is %v", n, len(response), complete)
		}
		_ = l.Close()
	}
}
