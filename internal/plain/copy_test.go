package plain_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/plain"
)

// copyingUpstream responds to each request with the path as the body, and with the given status if the path is /first,
// after a copy of the response before on the same connection.
func copyingUpstream(t *testing.T, firstStatus int) (baseURL string) {
	t.Helper()
	s := &script.Server{Copies: true, Answer: func(r *http.Request) string {
		status := http.StatusOK
		if r.URL.Path == "/first" {
			status = firstStatus
		}
		return fmt.Sprintf("HTTP/1.1 %d S\nContent-Length: %d\n\n%s", status, len(r.URL.Path), r.URL.Path)
	}}
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return "http://" + addr
}

// Guards against a late copy of a rejection, or of the response to another caller, that is taken for the response to a
// request that the upstream executes.
func TestLateCopy(t *testing.T) {
	for _, tt := range []struct {
		name   string
		status int // of the response that is copied
	}{
		{"response to another request", http.StatusOK},
		{"too many requests", http.StatusTooManyRequests},
		{"unavailable", http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			baseURL := copyingUpstream(t, tt.status)
			c := &plain.Client{}
			for _, path := range []string{"/first", "/second"} {
				resp, err := c.Forward(t.Context(), plain.Call{Method: http.MethodGet, URL: baseURL + path})
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				wantStatus := http.StatusOK
				if path == "/first" {
					wantStatus = tt.status
				}
				if err != nil || resp.Status != wantStatus || string(body) != path {
					t.Errorf("%s: got status %d and the response to %q, %v", path, resp.Status, body, err)
				}
			}
		})
	}
}
