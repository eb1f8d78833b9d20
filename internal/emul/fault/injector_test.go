package fault_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/emul/svc"
	"github.com/figreel/figreel/internal/xhttp"
)

// TestSpecs guards against faults that have no effect, that apply to more requests than Count, or that apply to
// requests with another path or body.
func TestSpecs(t *testing.T) {
	const hour = time.Hour
	cases := []struct {
		name       string
		spec       fault.Spec
		ok         []bool // whether each of the successive requests for /a succeeds
		executions int
		took       time.Duration
	}{
		{"none", fault.Spec{}, []bool{true}, 1, 0},
		{"other path", fault.Spec{Path: "/b", DropRequest: true}, []bool{true}, 1, 0},
		{"other body", fault.Spec{Contains: "key", DropRequest: true}, []bool{true}, 1, 0},
		{"dropped request", fault.Spec{Path: "/a", DropRequest: true}, []bool{false, false}, 0, 0},
		{"dropped response", fault.Spec{DropResponse: true, Count: 1}, []bool{false, true}, 2, 0},
		{"delay", fault.Spec{DelayMS: 1500, Count: 2}, []bool{true, true, true}, 3, 3 * time.Second},
		{"frozen for an hour", fault.Spec{Freeze: true}, []bool{true, true}, 2, hour},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			var n memnet.Net
			s := new(svc.Service)
			defer n.Serve("s:80", s)()
			c := &xhttp.Client{Dial: n.Dial}
			s.Fault.Set(tc.spec)
			endFreeze := time.AfterFunc(hour, func() { s.Fault.Set(fault.Spec{}) })
			defer endFreeze.Stop()
			start := time.Now()
			for i, want := range tc.ok {
				r, _ := xhttp.NewRequest(t.Context(), http.MethodGet, "http://s:80/a", nil)
				resp, err := c.Do(r)
				if err == nil {
					_ = resp.Body.Close()
				}
				if ok := err == nil; ok != want {
					t.Errorf("%s: request %d returned error %v", tc.name, i, err)
				}
			}
			if execs, took := len(s.Executions()), time.Since(start); execs != tc.executions || took != tc.took {
				t.Errorf("%s: %d executions in %v, want %d in %v", tc.name, execs, took, tc.executions, tc.took)
			}
		})
	}
}

// TestFaultEndpoints guards against a fault spec that cannot be set or read over HTTP, and a request record that cannot
// be read over HTTP.
func TestFaultEndpoints(t *testing.T) {
	s := httptest.NewServer(new(svc.Service))
	defer s.Close()
	steps := []struct{ method, path, body, want string }{
		{http.MethodPost, "/fault", `{"delay_ms":1,"count":5}`, `{"delay_ms":1,"count":5}`},
		{http.MethodPost, "/fault", `{"delay_ms":"1"}`, `"code":"bad_request"`},
		{http.MethodPost, "/x", `body`, `"body":"body"`},
		{http.MethodGet, "/fault", ``, `{"delay_ms":1,"count":4}`},
		{http.MethodGet, "/record", ``, `{"runs":[{"number":1`},
	}
	for _, st := range steps {
		r, _ := http.NewRequest(st.method, s.URL+st.path, strings.NewReader(st.body))
		resp, err := s.Client().Do(r)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if !strings.Contains(string(got), st.want) {
			t.Errorf("%s %s: got %q, want %q", st.method, st.path, got, st.want)
		}
	}
}
