package entry_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/topo"
)

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
			refusal := fmt.Sprintf("HTTP/1.1 %d X\nX-Id: $ID\nX-Notrun: 1\nContent-Length: 0\n\n", tt.status)
			var requests atomic.Int32
			u := &script.Server{IDHeader: "X-Id", Copies: true, Answer: func(*http.Request) string {
				if requests.Add(1) == 1 {
					return refusal
				}
				return okResponse
			}}
			addr, err := u.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = u.Close() }()
			ids := []*upstream{{id: "old", addr: addr}, {id: "new", addr: addr}}
			srv, _ := newServer(t, config(topo.NonIdempotent, false, 2), ids, ids, 5)
			status, body, _, err := send(t, srv.URL, tt.path, "body")
			if err != nil || status != http.StatusOK || body != "done" {
				t.Errorf("status %d, body %q, %v, want the answer to the second attempt", status, body, err)
			}
			if n := requests.Load() - 1; n != 1 {
				t.Errorf("executed %d times", n)
			}
		})
	}
}
