package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/envdoc"
)

// truncatingSender responds with a body that breaks off.
type truncatingSender struct{}

func (truncatingSender) Forward(context.Context, plain.Call) (*plain.Response, error) {
	body := io.MultiReader(strings.NewReader("part"), brokenReader{})
	return &plain.Response{Status: http.StatusOK, Body: io.NopCloser(body)}, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against an upstream that counts as busy for good after a truncated response, and against a truncated response
// that looks complete.
func TestTruncatedResponseEndsCall(t *testing.T) {
	p := &Proxy{
		Client: truncatingSender{}, RetryBudget: &budget.Budget{}, Stats: &stats.Set{},
		IsLeaving: func(string) bool { return false },
	}
	req := apigw.ServiceRequest{
		Method: http.MethodPost, Header: http.Header{}, Service: envdoc.Service{
			Name: "s", TimeoutMS: 1000, Upstreams: []envdoc.Upstream{{Name: "u", URL: "http://127.0.0.1:1"}},
		},
	}
	func() {
		defer func() {
			if got := recover(); got != http.ErrAbortHandler {
				t.Errorf("recovered %v, want the handler to abort the connection", got)
			}
		}()
		if err := p.Forward(context.Background(), httptest.NewRecorder(), req); err == nil {
			t.Error("a truncated response counts as complete")
		}
	}()
	if n := p.picker.state("u").inFlight; n != 0 {
		t.Errorf("%d calls in flight after the call", n)
	}
}

// Guards against calls to an ejected upstream because a call there was not sent in time or its caller left.
func TestUnknownResultKeepsEjection(t *testing.T) {
	now := time.Unix(1000, 0)
	ups := []envdoc.Upstream{{Name: "a"}, {Name: "b"}}
	none := func(string) bool { return false }
	for _, tt := range []struct {
		name string
		last result
		want string
	}{
		{"served", served, "a"},
		{"failed", failed, "b"},
		{"unknown", unknown, "b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := &picker{}
			for _, r := range []result{failed, tt.last} {
				p.state("a").inFlight++
				p.done(now, "a", r)
			}
			if up, _ := p.pick(now, ups, "", none); up.Name != tt.want {
				t.Errorf("picked %s, want %s", up.Name, tt.want)
			}
		})
	}
}
