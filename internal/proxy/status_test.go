package proxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/envdoc"
)

// Guards against a status that lets callers repeat a non-idempotent call although the service may have executed it.
func TestStatusOfService(t *testing.T) {
	const badGateway = http.StatusBadGateway
	for _, tt := range []struct {
		status     int // of the service
		idempotent bool
		want       int
	}{
		{http.StatusRequestTimeout, false, badGateway},
		{http.StatusMisdirectedRequest, false, badGateway},
		{http.StatusTooManyRequests, false, badGateway},
		{http.StatusServiceUnavailable, false, badGateway},
		{http.StatusRequestTimeout, true, http.StatusRequestTimeout},
		{http.StatusTooManyRequests, true, http.StatusTooManyRequests},
		{http.StatusServiceUnavailable, true, http.StatusServiceUnavailable},
		{http.StatusOK, false, http.StatusOK},
		{http.StatusBadRequest, false, http.StatusBadRequest},
		{http.StatusInternalServerError, false, http.StatusInternalServerError},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(tt.status)
			_, _ = io.WriteString(w, "charged")
		}))
		p := &Proxy{
			Client: &plain.Client{}, RetryBudget: &budget.Budget{}, Stats: &stats.Set{},
			IsLeaving: func(string) bool { return false },
		}
		w := httptest.NewRecorder()
		svc := envdoc.Service{Name: "s", TimeoutMS: 10_000, Upstreams: []envdoc.Upstream{{Name: "u", URL: s.URL}}}
		err := p.Forward(t.Context(), w, apigw.ServiceRequest{
			Method: http.MethodPost, Header: http.Header{}, Idempotent: tt.idempotent, Service: svc,
		})
		s.Close()
		if err != nil || w.Code != tt.want || w.Body.String() != "charged" {
			t.Errorf("status %d of the service, idempotent %t: got %d %q, %v, want status %d",
				tt.status, tt.idempotent, w.Code, w.Body, err, tt.want)
		}
		if kept := w.Header().Get("Retry-After") != ""; kept != (tt.want == tt.status) {
			t.Errorf("status %d of the service, idempotent %t: Retry-After kept is %t", tt.status, tt.idempotent, kept)
		}
	}
}
