package apigw_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/websrv"
)

// fakeBackend is a generator and forwarder that counts its calls.
type fakeBackend struct{ calls int }

// Do delivers two tokens, the first of which is the name of the class.
func (e *fakeBackend) Do(_ context.Context, req relay.Request, sink relay.Sink) (relay.Result, error) {
	e.calls++
	for _, token := range []string{req.TicketRequest.Class, " b"} {
		if err := sink(token); err != nil {
			return relay.Result{}, err
		}
	}
	return relay.Result{FinishReason: "stop", CompletionTokens: 2}, nil
}

// Forward responds with status 204.
func (e *fakeBackend) Forward(_ context.Context, w http.ResponseWriter, _ apigw.ServiceRequest) error {
	e.calls++
	w.WriteHeader(http.StatusNoContent)
	return nil
}

// FuzzRequests guards against bodies and headers that cause a panic, that are executed and still get an error response,
// or that get an error response without a code, an outcome and an increment of the rejection counter.
func FuzzRequests(f *testing.F) {
	paths := []string{"/v1/chat/completions", "/v1/completions", "/svc/read/x", "/svc/strict/%2F"}
	f.Add(uint8(0), []byte(chatBody), "", "", "", "", "r1")
	f.Add(uint8(0), []byte(withFields(chatBody, `"stream":true`)), "batch", "", "100", "false", "")
	f.Add(uint8(0), []byte(`{"model":"m","messages":[{"role":"user","content":[{"text":1}]}]}`), "", "k", "", "", "")
	f.Add(uint8(1), []byte(textBody), "", "", "0", "", "")
	f.Add(uint8(1), []byte(`{"model":"m","prompt":["a"],"n":0,"max_tokens":-1}`), "x", "", "", "maybe", "\x00")
	f.Add(uint8(2), []byte{0xff}, "", "", "9999999999999999999", "0", "a b")
	f.Add(uint8(3), []byte{}, "", "", "", "1", strings.Repeat("i", 70))
	f.Fuzz(func(t *testing.T, path uint8, body []byte, class, key, deadline, nonIdempotent, id string) {
		e, set := &fakeBackend{}, &stats.Set{}
		doc := newDocument(1, 1)
		current := &apigw.ActiveDoc{Doc: doc, Targets: doc.Targets()}
		s := &apigw.Server{
			ActiveDoc: func() *apigw.ActiveDoc { return current }, Generator: e, Forwarder: e, Stats: set, Log: zerolog.Nop(),
			MaxBodyBytes: 1 << 16, MaxInFlight: 1,
		}
		router := websrv.NewRouter()
		router.OnRejected = set.CountRejection
		for _, route := range s.Routes() {
			_ = router.Handle(route.Method, route.Path, route.Handler)
		}
		r := httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], strings.NewReader(string(body)))
		r.Header.Set("Authorization", "Bearer "+secret)
		for name, value := range map[string]string{
			"X-Figreel-Class": class, "X-Figreel-Deadline-Ms": deadline, "X-Figreel-Not-Repeatable": nonIdempotent,
			"X-Request-Id": id,
		} {
			r.Header.Set(name, value)
		}
		if key != "" && nonIdempotent == "" && strings.HasPrefix(r.URL.Path, "/v1/") {
			r.Header.Set("Idempotency-Key", key)
		}
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		checkResponse(t, w, e, set)
	})
}

// checkResponse fails the test unless the response is a success after one call, or a complete error after none.
func checkResponse(t *testing.T, w *httptest.ResponseRecorder, e *fakeBackend, set *stats.Set) {
	t.Helper()
	if w.Code < http.StatusBadRequest {
		if e.calls != 1 {
			t.Errorf("status %d after %d calls", w.Code, e.calls)
		}
		return
	}
	var out struct{ Error errorBody }
	if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil || out.Error.Code == "" || out.Error.Outcome == "" {
		t.Fatalf("status %d with %q, %v", w.Code, w.Body, err)
	}
	if n := set.Refusals.Get(out.Error.Code); n == nil || n.String() != "1" || e.calls != 0 {
		t.Errorf("%s: counted %v after %d calls", out.Error.Code, n, e.calls)
	}
}
