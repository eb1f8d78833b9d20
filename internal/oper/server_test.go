package oper_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
	"github.com/figreel/figreel/pkg/find"
)

const key = "operator-secret"

// A document store that returns err from every operation and keeps the last proposed change.
type fakeStore struct {
	err      error
	proposed docrev.Change
}

func (store *fakeStore) Current() (*envdoc.Doc, int64) { return nil, 0 }

func (store *fakeStore) Propose(_ context.Context, c docrev.Change) (int64, error) {
	store.proposed = c
	return c.Base + 1, store.err
}

func (store *fakeStore) ReadRevision(context.Context, int64) (docrev.Record, error) {
	return docrev.Record{}, store.err
}

func (store *fakeStore) History(context.Context, int) ([]docrev.HistoryEntry, error) {
	return nil, store.err
}

func newHandler(t *testing.T, store *fakeStore, log *strings.Builder) http.Handler {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	s := &oper.Server{
		Name: "host-1", KeySHA256: []string{strings.Repeat("0", 64), hex.EncodeToString(sum[:])},
		DocumentStore: store, Stats: &stats.Set{}, Log: zerolog.New(log),
		Drain: func(context.Context, oper.DrainRequest) error { return store.err },
	}
	h, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func send(h http.Handler, auth, path, body string) (int, oper.ErrorResponse) {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", auth)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var resp oper.ErrorResponse
	_ = json.Unmarshal(w.Body.Bytes(), &resp)
	return w.Code, resp
}

// Guards against requests that are served without a known key, and against keys in log lines.
func TestAuthentication(t *testing.T) {
	store, log := &fakeStore{}, &strings.Builder{}
	h := newHandler(t, store, log)
	for _, tt := range []struct {
		auth string
		want int
	}{
		{"Bearer " + key, 200},
		{"", 401},
		{"Bearer ", 401},
		{key, 401},
		{"Bearer " + key + "x", 401},
		{"Bearer " + strings.Repeat("0", 64), 401},
	} {
		status, _ := send(h, tt.auth, "/v1/apply", `{"change_id":"c","author":"ann","base":3,"document":"x"}`)
		if status != tt.want {
			t.Errorf("Authorization %q: status %d, want %d", tt.auth, status, tt.want)
		}
	}
	if strings.Contains(log.String(), key) || !strings.Contains(store.proposed.Author, "ann (key ") {
		t.Errorf("log %s, author %s", log, store.proposed.Author)
	}
}

// Guards against error responses that report a wrong outcome of a change, or lack the findings or the conflict.
func TestErrorResponses(t *testing.T) {
	store := &fakeStore{}
	h := newHandler(t, store, &strings.Builder{})
	apply := `{"change_id":"c","base":0,"document":"x"}`
	list := &find.List{File: "f"}
	list.Add(3, "a", "b")
	for _, tt := range []struct {
		path, body string
		err        error
		status     int
		code       string
		outcome    answer.Outcome
	}{
		{"/v1/apply", apply, list, 422, oper.CodeFindings, answer.NotRun},
		{"/v1/apply", apply, &docrev.Conflict{Revision: 7, ChangeID: "w"}, 409, oper.CodeConflict, answer.NotRun},
		{"/v1/apply", apply, docrev.ErrOutcomeUnknown, 504, oper.CodeOutcomeUnknown, answer.Unknown},
		{"/v1/apply", apply, docrev.ErrUnavailable, 503, oper.CodeKVUnavailable, answer.NotRun},
		{"/v1/apply", apply, errors.Wrap(docrev.ErrNoBase, "x"), 400, oper.CodeBadRequest, answer.NotRun},
		{"/v1/apply", apply, errors.Wrap(docrev.ErrTooLarge, "x"), 400, oper.CodeBadRequest, answer.NotRun},
		{"/v1/apply", `{"document":"x"}`, nil, 400, oper.CodeBadRequest, answer.NotRun},
		{"/v1/apply", `{"dokument":"x"}`, nil, 400, oper.CodeBadRequest, answer.NotRun},
		{"/v1/check", `{"document":"x: 1"}`, nil, 422, oper.CodeFindings, answer.NotRun},
		{"/v1/check", `{"document":"` + strings.Repeat("x", 5<<20) + `"}`, nil, 400, oper.CodeBadRequest, answer.NotRun},
		{"/v1/promote", `{"document":"environment: a"}`, nil, 404, oper.CodeNotFound, answer.NotRun},
		{"/v1/drain", `{"kind":"host","name":"host-2"}`, nil, 421, oper.CodeOtherHost, answer.NotRun},
		{"/v1/drain", `{"kind":"host","name":"host-1","back":true}`, nil, 400, oper.CodeBadRequest, answer.NotRun},
		{"/v1/drain", `{"kind":"upstream","name":"e"}`, oper.ErrNoUpstream, 404, oper.CodeNotFound, answer.NotRun},
		{"/v1/drain", `{"kind":"upstream","name":"e"}`, kvapi.ErrOutcomeUnknown, 504, oper.CodeOutcomeUnknown, answer.Unknown},
	} {
		store.err = tt.err
		status, resp := send(h, "Bearer "+key, tt.path, tt.body)
		if status != tt.status || resp.Code != tt.code || resp.Outcome != tt.outcome {
			t.Errorf("%s with %v: %d %+v, want %d %s", tt.path, tt.err, status, resp, tt.status, tt.code)
		}
		if (resp.Conflict != nil) != (tt.code == oper.CodeConflict) ||
			(len(resp.Findings) > 0) != (tt.code == oper.CodeFindings) {
			t.Errorf("%s with %v: details %+v", tt.path, tt.err, resp)
		}
	}
}
