package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against a response that looks complete to the caller although the upstream's was cut, and against a status
// that no response has and that ends the handler in a panic.
func TestResponseThatIsNone(t *testing.T) {
	const sse = "Content-Type: text/event-stream\n"
	long := strings.Repeat("x", 16<<20)
	type row struct {
		name, path, start string
		kind              topo.CallKind
	}
	for _, tt := range []row{
		{"response", "/p/x", "HTTP/1.1 200 OK\nX-Id: $ID\n\npart", topo.NonIdempotent},
		{"long response", "/p/x", "HTTP/1.1 200 OK\nX-Id: $ID\n\n" + strings.Repeat("part", 1<<20), topo.NonIdempotent},
		{"stream", "/m/x", "HTTP/1.1 200 OK\nX-Id: $ID\n" + sse + "\n" + event("1"), topo.Stream},
	} {
		servers := make([]*script.Cutter, 0, len(script.Cuts)+len(script.BadStatuses))
		for _, cut := range script.Cuts {
			servers = append(servers, &script.Cutter{Cut: cut, Response: tt.start})
		}
		for _, status := range script.BadStatuses {
			response := "HTTP/1.1 " + status + " X\nX-Id: $ID\nContent-Length: 0\n\n" + tt.start
			cut := script.Cut{Name: "status " + status, ReadAll: true, CloseFirst: true}
			servers = append(servers, &script.Cutter{Cut: cut, Response: response})
		}
		for _, s := range servers {
			t.Run(fmt.Sprint(tt.name, ", ", s.Name), func(t *testing.T) {
				s.IDHeader = "X-Id"
				addr, err := s.Listen()
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = s.Close() }()
				ups := []*upstream{{addr: addr}}
				cfg := config(tt.kind, false, 1)
				cfg.Limits.BodyBytes = int64(len(long))
				for i := range cfg.Routes {
					cfg.Routes[i].Timeout = 20 * time.Second
				}
				srv, _ := newServer(t, cfg, ups, ups, 0)
				status, _, _, err := send(t, srv.URL, tt.path, long)
				if s.Complete && (status != http.StatusOK || err != nil) {
					t.Errorf("status %d, %v, want the complete response", status, err)
				}
				if !s.Complete && err == nil && status != http.StatusBadGateway {
					t.Errorf("status %d and a response that looks complete", status)
				}
				if strings.HasPrefix(s.Name, "status") && status != http.StatusBadGateway {
					t.Errorf("status %d, %v, want one of the host", status, err)
				}
			})
		}
	}
}
