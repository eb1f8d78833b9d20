package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

// forwardTo calls the server through a proxy, and returns what the caller gets.
func forwardTo(t *testing.T, s *script.Cutter, n int) (status int, err error) {
	t.Helper()
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	p := &Proxy{
		Client: &plain.Client{}, RetryBudget: &budget.Budget{}, Stats: &stats.Set{},
		IsLeaving: func(string) bool { return false },
	}
	ups := []envdoc.Upstream{{Name: "u", URL: "http://" + addr}}
	svc := envdoc.Service{Name: "s", TimeoutMS: 10_000, Upstreams: ups}
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		err := p.Forward(r.Context(), w, apigw.ServiceRequest{
			Method: http.MethodPost, Header: http.Header{}, Service: svc, Body: make([]byte, n),
		})
		if err != nil {
			answer.From(err).Write(w, "id")
		}
	}))
	defer host.Close()
	resp, err := http.Get(host.URL)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against a response that looks complete to the caller although the service's was cut, and against a status that
// no response has and that ends the handler in a panic.
func TestResponseThatIsNone(t *testing.T) {
	for _, body := range []string{"part", strings.Repeat("part", 64<<10)} {
		for _, cut := range script.Cuts {
			t.Run(fmt.Sprint(cut.Name, ", ", len(body), " bytes"), func(t *testing.T) {
				s := &script.Cutter{Cut: cut, Response: "HTTP/1.1 200 OK\n\n" + body}
				status, err := forwardTo(t, s, 16<<20)
				if complete := status == http.StatusOK && err == nil; complete != cut.Complete {
					t.Errorf("status %d, %v", status, err)
				}
			})
		}
	}
	for _, status := range script.BadStatuses {
		s := &script.Cutter{
			Cut:      script.Cut{ReadAll: true, CloseFirst: true, Complete: true},
			Response: "HTTP/1.1 " + status + " X\n\nHTTP/1.1 200 OK\n\npart",
		}
		if got, err := forwardTo(t, s, 10); got != http.StatusBadGateway || err != nil {
			t.Errorf("status %s: the caller gets %d, %v", status, got, err)
		}
	}
}
