package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/topo"
)

// Guards against a stream that goes on at another software version within its response: it has the version of the engine
// whose event came first, not that of the first attempt, and any version will do before the first event.
func TestVersionWithinResponse(t *testing.T) {
	begun := join(sseHeader, chunk(event("1")))
	rest := join(sseHeader, chunk(event("2")), "0\n\n")
	for _, tt := range []struct {
		name    string
		scripts []string // of engines v1, v2, v3
		want    []string // versions that the ticket requests require
	}{
		{"complete", []string{join(begun, "0\n\n")}, []string{""}},
		{"breaks after an event", []string{begun + "RESET", rest}, []string{"", "v1"}},
		{"breaks within the first event", []string{join(sseHeader, "9\nid: 1\nRESET"), rest}, []string{"", ""}},
		{"breaks before the response", []string{"RESET", rest}, []string{"", ""}},
		{"not executed at first", []string{notExecuted, begun + "RESET", rest}, []string{"", "", "v2"}},
		{"breaks before an event, then after one", []string{"RESET", begun + "RESET", rest}, []string{"", "", "v2"}},
		{"breaks twice", []string{begun + "RESET", join(sseHeader, chunk(event("2"))) + "RESET", rest}, []string{"", "v1", "v1"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var engines []*upstream
			for i, s := range tt.scripts {
				u := newUpstream(t, s)
				u.software = "v" + string(rune('1'+i))
				engines = append(engines, u)
			}
			srv, tk := newServer(t, config(topo.Stream, true, 3), nil, engines, 5)
			if _, _, _, err := send(t, srv.URL, "/m/x", "body"); err != nil {
				t.Fatal(err)
			}
			if len(tk.requests) != len(tt.want) {
				t.Fatalf("%d ticket requests, want %d", len(tk.requests), len(tt.want))
			}
			for i, q := range tk.requests {
				if q.Software != tt.want[i] {
					t.Errorf("ticket request %d requires %q, want %q", i, q.Software, tt.want[i])
				}
			}
		})
	}
}

// Guards against a take-up whose ticket request does not say which stream it continues, and against a stream that counts
// as begun by an attempt that took it up.
func TestTakeUpNamesItsStream(t *testing.T) {
	for _, tt := range []struct {
		name    string
		header  []string
		takesUp bool
		resumes string
		begins  bool
	}{
		{"new stream", nil, false, "", true},
		{"take-up", []string{"Last-Event-Id", "3", "X-Resumes", "first"}, true, "first", false},
		{"take-up without the attempt", []string{"Last-Event-Id", "3"}, true, "", false},
		{"repeat before the first event", []string{"X-Resumes", "first"}, false, "first", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, join(sseHeader, chunk(event("4")), "0\n\n"))
			srv, tk := newServer(t, config(topo.Stream, true, 2), nil, []*upstream{u}, 5)
			if _, _, _, err := send(t, srv.URL, "/m/x", "body", tt.header...); err != nil {
				t.Fatal(err)
			}
			q := tk.requests[0]
			if q.TakesUp != tt.takesUp || q.Resumes != tt.resumes || q.BeginsStream() != tt.begins {
				t.Errorf("takes up %v, resumes %q, begins %v", q.TakesUp, q.Resumes, q.BeginsStream())
			}
		})
	}
}

// Guards against a stream of a plain service that is taken up at another software version than the one that began it.
func TestTakeUpAtPlainService(t *testing.T) {
	for _, tt := range []struct {
		name     string
		software []string // of the upstreams
		kind     topo.CallKind
		header   []string
		want     int
	}{
		{"new stream, two versions", []string{"v1", "v2"}, topo.Stream, nil, http.StatusOK},
		{"take-up, one version", []string{"v1", "v1"}, topo.Stream, []string{"Last-Event-Id", "3"}, http.StatusOK},
		{"take-up, two versions", []string{"v1", "v2"}, topo.Stream, []string{"Last-Event-Id", "3"}, http.StatusServiceUnavailable},
		{"no stream, two versions", []string{"v1", "v2"}, topo.Idempotent, []string{"Last-Event-Id", "3"}, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var ups []*upstream
			for _, v := range tt.software {
				u := newUpstream(t, okResponse)
				u.software = v
				ups = append(ups, u)
			}
			srv, _ := newServer(t, config(tt.kind, true, 2), ups, nil, 5)
			if status, _, _, err := send(t, srv.URL, "/p/x", "body", tt.header...); err != nil || status != tt.want {
				t.Errorf("status %d, %v, want %d", status, err, tt.want)
			}
		})
	}
}

// Guards against a stream that begins at another start of an engine than the one whose version is known, and against a
// check of every connection while there is one version.
func TestStartIsChecked(t *testing.T) {
	const report = "HTTP/1.1 200 OK\nContent-Length: 4\n\n"
	stream := join(sseHeader, chunk(event("1")), "0\n\n")
	for _, tt := range []struct {
		name     string
		mixed    bool
		scripts  []string
		want     int // status
		requests int
	}{
		{"one version", false, []string{stream}, http.StatusOK, 1},
		{"several versions", true, []string{report + "good", stream}, http.StatusOK, 2},
		{"started again", true, []string{report + "else"}, http.StatusServiceUnavailable, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, tt.scripts...)
			u.mixed = tt.mixed
			check := func(s *entry.Server) {
				s.StartCheck = func(topo.Instance) *h1.Check {
					return &h1.Check{Target: "/report", Accept: func(_ int, body []byte) error {
						if string(body) != "good" {
							return errors.New("started again")
						}
						return nil
					}}
				}
			}
			srv, _ := newServer(t, config(topo.Stream, true, 2), nil, []*upstream{u}, 5, check)
			if status, _, _, err := send(t, srv.URL, "/m/x", "body"); err != nil || status != tt.want {
				t.Errorf("status %d, %v, want %d", status, err, tt.want)
			}
			if n := len(u.requests()); n != tt.requests {
				t.Errorf("%d requests, want %d", n, tt.requests)
			}
		})
	}
}

// Guards against a take-up at a split route that is sent to another service than the one that began the stream: by a
// host that has no record of it, or after an attempt that went elsewhere than it was drawn for.
func TestServiceOfTakeUp(t *testing.T) {
	const calls = 40
	cfg := config(topo.Stream, true, 2)
	cfg.Services["other"] = cfg.Services["llm"]
	cfg.Routes[1].TrafficSplit = []topo.WeightedService{{Service: "llm", Weight: 1}, {Service: "other", Weight: 1}}
	srv, tk := newServer(t, cfg, nil, nil, 5)
	drawn := make(map[string]int)
	for i := range calls {
		id := fmt.Sprint("call ", i)
		for _, header := range [][]string{
			{"X-Id", id},
			{"X-Id", "take-up of " + id, "X-Resumes", id, "Last-Event-Id", "3"},
		} {
			if _, _, _, err := send(t, srv.URL, "/m/x", "body", header...); err != nil {
				t.Fatal(err)
			}
		}
		began, takeUp := tk.requests[2*i].Service, tk.requests[2*i+1].Service
		if drawn[began]++; began != takeUp {
			t.Errorf("%s began at %s and is taken up at %s", id, began, takeUp)
		}
	}
	if drawn["llm"] < calls/5 || drawn["other"] < calls/5 {
		t.Errorf("calls are drawn %v", drawn)
	}
	before := len(tk.requests)
	if status, body, _, err := send(t, srv.URL, "/m/x", "", "Last-Event-Id", "3"); err != nil || status != 503 {
		t.Errorf("take-up that names no attempt: status %d %q, %v, want 503", status, body, err)
	}
	if n := len(tk.requests) - before; n != 0 {
		t.Errorf("%d ticket requests for it", n)
	}
	for _, service := range []string{"llm", "other"} {
		first := newUpstream(t, join(sseHeader, chunk(event("4")))+"RESET")
		first.service = service
		srv, tk := newServer(t, cfg, nil, []*upstream{first, newUpstream(t, join(sseHeader, chunk(event("5")), "0\n\n"))}, 5)
		if _, _, _, err := send(t, srv.URL, "/m/x", "", "X-Resumes", "a", "Last-Event-Id", "3"); err != nil {
			t.Fatal(err)
		}
		if got := tk.requests[1].Service; got != service {
			t.Errorf("the second attempt is for %s, the first was granted at %s", got, service)
		}
	}
}
