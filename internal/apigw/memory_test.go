package apigw_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/stats"
)

// endlessForwarder responds with a body that does not end until the writer fails.
type endlessForwarder struct{ fakeBackend }

// Forward implements apigw.Forwarder.
func (*endlessForwarder) Forward(ctx context.Context, w http.ResponseWriter, _ apigw.ServiceRequest) error {
	w.WriteHeader(http.StatusOK)
	for block := make([]byte, 32<<10); ; {
		if _, err := w.Write(block); err != nil {
			return err
		}
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Guards against a host that runs out of memory because services answer non-idempotent calls with bodies without end, or
// because callers send long bodies.
func TestMemoryOfCalls(t *testing.T) {
	const (
		memory = 284 << 20
		limit  = memory * 15 / 100
		calls  = 60
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memory * 7 / 10))
	for _, tt := range []struct {
		name   string
		body   int
		status int
	}{
		{"response without end", 10, http.StatusBadGateway},
		{"requests beyond the memory", 2 << 20, http.StatusServiceUnavailable},
	} {
		t.Run(tt.name, func(t *testing.T) {
			doc := newDocument(1, 1)
			current := &apigw.ActiveDoc{Doc: doc, Targets: doc.Targets()}
			requests, responses := &mem.Budget{Limit: limit}, &mem.Budget{Limit: limit}
			if tt.body > 10 {
				requests.Limit = 1 << 20
			}
			s := &apigw.Server{
				ActiveDoc: func() *apigw.ActiveDoc { return current }, Forwarder: &endlessForwarder{}, Stats: &stats.Set{},
				Log: zerolog.Nop(), MaxBodyBytes: 4 << 20, MaxInFlight: calls,
				RequestMemory: requests, ResponseMemory: responses,
			}
			mux := http.NewServeMux()
			for _, route := range s.Routes() {
				mux.HandleFunc(strings.TrimSpace(route.Method+" "+route.Path), route.Handler)
			}
			var wg sync.WaitGroup
			for range calls {
				wg.Go(func() {
					r := httptest.NewRequest(http.MethodPost, "/svc/read/x", strings.NewReader(strings.Repeat("x", tt.body)))
					r.Header.Set("Authorization", "Bearer "+secret)
					r.Header.Set("X-Figreel-Not-Repeatable", "true")
					w := httptest.NewRecorder()
					mux.ServeHTTP(w, r)
					if w.Code != tt.status || tt.status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
						t.Errorf("status %d, Retry-After %q: %.200s", w.Code, w.Header().Get("Retry-After"), w.Body)
					}
				})
			}
			done := make(chan struct{})
			go func() {
				wg.Wait()
				close(done)
			}()
			var heap uint64
			for waiting := true; waiting; {
				select {
				case <-done:
					waiting = false
				case <-time.After(5 * time.Millisecond):
					var m runtime.MemStats
					runtime.ReadMemStats(&m)
					heap = max(heap, m.HeapInuse)
				}
			}
			if heap > memory || requests.Used()+responses.Used() != 0 {
				t.Errorf("%d kB of heap, %d and %d bytes held", heap>>10, requests.Used(), responses.Used())
			}
			t.Logf("%d kB of heap", heap>>10)
		})
	}
}
