package websrv

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/zeromicro/go-zero/rest"
)

// Guards against go-zero responding, buffering or recovering from panics in place of the handlers: requests that no
// route matches must get JSON errors and be counted, flushed parts of a response must arrive at once, and an aborted
// response must not look complete.
func TestHandler(t *testing.T) {
	rejected := make(map[string]int)
	finish := make(chan struct{})
	s := &Server{Name: "test", OnRejected: func(code string) { rejected[code]++ }, Routes: []rest.Route{
		{Method: http.MethodGet, Path: "/stream", Handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "first")
			_ = http.NewResponseController(w).Flush()
			<-finish
		}},
		{Path: "/abort", Handler: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	}}
	h, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	srv := httptest.NewServer(h)
	defer srv.Close()
	send := func(method, path string) *http.Response {
		r, _ := http.NewRequest(method, srv.URL+path, nil)
		resp, err := srv.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}

	resp := send(http.MethodGet, "/stream")
	buf := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, buf); err != nil || string(buf) != "first" {
		t.Errorf("first part: %q, %v", buf, err)
	}
	close(finish)
	_ = resp.Body.Close()

	resp = send(http.MethodGet, "/abort")
	if b, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("aborted response %q looks complete", b)
	}
	_ = resp.Body.Close()

	for _, tt := range []struct {
		method, path, code string
		status             int
	}{
		{http.MethodPost, "/stream", "wrong_method", http.StatusMethodNotAllowed},
		{http.MethodGet, "/none", "unknown_path", http.StatusNotFound},
		{http.MethodGet, "/a/../stream", "unknown_path", http.StatusNotFound},
	} {
		resp := send(tt.method, tt.path)
		var out struct {
			Error struct{ Code, Outcome string }
		}
		err := json.NewDecoder(resp.Body).Decode(&out)
		if err != nil || resp.StatusCode != tt.status || out.Error.Code != tt.code || out.Error.Outcome != "not_run" {
			t.Errorf("%s %s: %d %+v, %v", tt.method, tt.path, resp.StatusCode, out, err)
		}
		_ = resp.Body.Close()
	}
	if rejected["wrong_method"] != 1 || rejected["unknown_path"] != 2 {
		t.Errorf("counted %v", rejected)
	}
}
