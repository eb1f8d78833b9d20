package plain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/figreel/figreel/internal/plain"
)

// copyingUpstream listens on a socket. It responds to each request with the path as the body, and with the given status
// if the path is /first. On a connection that has carried a request, it sends a copy of the previous response first.
func copyingUpstream(t *testing.T, firstStatus int) (baseURL string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		previous := ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			status := http.StatusOK
			if r.URL.Path == "/first" {
				status = firstStatus
			}
			response := fmt.Sprintf("HTTP/1.1 %d S\r\nContent-Length: %d\r\n\r\n%s", status, len(r.URL.Path), r.URL.Path)
			if _, err := io.WriteString(nc, previous+response); err != nil {
				return
			}
			previous = response
		}
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return "http://" + l.Addr().String()
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
