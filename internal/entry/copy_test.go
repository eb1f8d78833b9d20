package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/figreel/figreel/internal/topo"
)

// copier is an upstream that does not execute the first request and sends a copy of that answer before the answer to the
// next request on the same connection.
type copier struct {
	addr     string
	executed atomic.Int32
}

func newCopier(t *testing.T, status int) *copier {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &copier{addr: l.Addr().String()}
	refusal := fmt.Sprintf("HTTP/1.1 %d X\nX-Id: $ID\nX-Notrun: 1\nContent-Length: 0\n\n", status)
	var requests atomic.Int32
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(nc, &requests, refusal)
		}
	}()
	return u
}

func (u *copier) serve(nc net.Conn, requests *atomic.Int32, refusal string) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	due := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer := due + okResponse
		if requests.Add(1) == 1 {
			answer, due = refusal, refusal
		} else {
			u.executed.Add(1)
		}
		_, _ = io.WriteString(nc, crlf.Replace(strings.ReplaceAll(answer, "$ID", r.Header.Get("X-Id"))))
	}
}

// Guards against a copy of a refusal that is taken for the answer to a further attempt of the same call: the upstream
// has started anew under another id, and both ids are listed with its address.
func TestCopyOfRefusal(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
	}{
		{"/p/x", http.StatusMisdirectedRequest},
		{"/p/x", http.StatusTooManyRequests},
		{"/p/x", http.StatusServiceUnavailable},
		{"/m/x", http.StatusMisdirectedRequest},
		{"/m/x", http.StatusTooManyRequests},
		{"/m/x", http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprint(tt.path, " ", tt.status), func(t *testing.T) {
			u := newCopier(t, tt.status)
			ids := []*upstream{{id: "old", addr: u.addr}, {id: "new", addr: u.addr}}
			srv, _ := newServer(t, config(topo.NonIdempotent, false, 2), ids, ids, 5)
			status, body, _, err := send(t, srv.URL, tt.path, "body")
			if err != nil || status != http.StatusOK || body != "done" {
				t.Errorf("status %d, body %q, %v, want the answer to the second attempt", status, body, err)
			}
			if n := u.executed.Load(); n != 1 {
				t.Errorf("executed %d times", n)
			}
		})
	}
}
