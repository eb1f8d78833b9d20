package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/figreel/figreel/internal/topo"
)

// Guards against a rejection that is not true: an upstream has answered with a status that tells callers that the call
// was not executed, but has not stated that itself. The caller would repeat a call that may have been executed.
func TestStatusWithoutPromise(t *testing.T) {
	for _, tt := range []struct {
		name     string
		path     string
		kind     topo.CallKind
		status   int
		stated   bool // the upstream states that it did not execute the call
		want     int
		requests int
	}{
		{"plain", "/p/x", topo.NonIdempotent, http.StatusServiceUnavailable, false, 502, 1},
		{"plain", "/p/x", topo.NonIdempotent, http.StatusTooManyRequests, false, 502, 1},
		{"plain", "/p/x", topo.NonIdempotent, http.StatusRequestTimeout, false, 502, 1},
		{"plain, stated", "/p/x", topo.NonIdempotent, http.StatusTooManyRequests, true, 503, 2},
		{"plain, other status", "/p/x", topo.NonIdempotent, http.StatusConflict, false, 409, 1},
		{"plain, idempotent", "/p/x", topo.Idempotent, http.StatusServiceUnavailable, false, 502, 2},
		{"plain, idempotent", "/p/x", topo.Idempotent, http.StatusTooManyRequests, false, 502, 2},
		{"plain, idempotent", "/p/x", topo.Idempotent, http.StatusRequestTimeout, false, 502, 2},
		{"engine", "/m/x", topo.NonIdempotent, http.StatusServiceUnavailable, false, 502, 1},
		{"engine", "/m/x", topo.NonIdempotent, http.StatusTooManyRequests, false, 502, 1},
		{"engine, stream", "/m/x", topo.Stream, http.StatusServiceUnavailable, false, 502, 1},
		{"engine, stream", "/m/x", topo.Stream, http.StatusRequestTimeout, false, 502, 1},
		{"engine, stream, stated", "/m/x", topo.Stream, http.StatusServiceUnavailable, true, 503, 2},
		{"engine, misdirected", "/m/x", topo.Stream, http.StatusMisdirectedRequest, false, 503, 2},
	} {
		t.Run(fmt.Sprint(tt.name, " ", tt.status), func(t *testing.T) {
			script := fmt.Sprintf("HTTP/1.1 %d X\nX-Id: $ID\nX-Sign: s1\nRetry-After: 1\nContent-Length: 4\n", tt.status)
			if tt.stated {
				script += "X-NotRun: 1\n"
			}
			script += "\noops"
			ups := []*upstream{newUpstream(t, script), newUpstream(t, script)}
			srv, _ := newServer(t, config(tt.kind, false, 2), ups, ups, 5)
			status, _, header, err := send(t, srv.URL, tt.path, "body")
			if err != nil || status != tt.want {
				t.Fatalf("status %d, %v, want %d", status, err, tt.want)
			}
			if signed := header.Get("X-Sign") != ""; signed != (status == tt.status && !tt.stated) {
				t.Errorf("signature of the upstream on status %d: %v", status, signed)
			}
			if n := len(ups[0].requests()) + len(ups[1].requests()); n != tt.requests {
				t.Errorf("%d requests, want %d", n, tt.requests)
			}
		})
	}
}
