package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

// upstream answers each request on a connection with the next script; CUT resets, HANG waits for the caller to leave.
type upstream struct {
	addr string
	mu   sync.Mutex
	seen []*http.Request
	left chan struct{}
}

func newUpstream(t *testing.T, scripts ...string) *upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{addr: l.Addr().String(), left: make(chan struct{}, 8)}
	next := make(chan string, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(nc, next)
		}
	}()
	return u
}

func (u *upstream) serve(nc net.Conn, next chan string) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		u.mu.Lock()
		u.seen = append(u.seen, r)
		u.mu.Unlock()
		script := strings.ReplaceAll(<-next, "$ID", r.Header.Get("X-Id"))
		before, _, cut := strings.Cut(script, "CUT")
		before, _, hang := strings.Cut(before, "HANG")
		_, _ = io.WriteString(nc, lines.Replace(before))
		if hang {
			_, _ = br.ReadByte()
			u.left <- struct{}{}
			return
		}
		if cut {
			_ = nc.(*net.TCPConn).SetLinger(0)
			return
		}
	}
}

func (u *upstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen
}

// tickets grants the engines in turn.
type tickets struct {
	engines []*upstream
	mu      sync.Mutex
	ends    []sched.Outcome
	next    int
}

func (k *tickets) RequestTicket(_ context.Context, a sched.Request) (sched.Decision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.next >= len(k.engines) {
		return sched.Decision{Kind: sched.Refused, Call: a.Call, Reason: "none"}, nil
	}
	k.next++
	return sched.Decision{Kind: sched.Granted, Grant: sched.Grant{Engine: "e", Addr: k.engines[k.next-1].addr}}, nil
}

func (k *tickets) FirstEvent(sched.Grant) {}

func (k *tickets) Release(_ sched.Grant, how sched.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ends = append(k.ends, how)
}

type budget struct{ left int }

func (b *budget) Earn(string) {}

func (b *budget) Spend(string) bool {
	b.left--
	return b.left >= 0
}

const (
	okAnswer   = "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 4\n\ndone"
	streamHead = "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	rejected   = "HTTP/1.1 503 Service Unavailable\nX-Id: $ID\nX-NotRun: 1\nContent-Length: 0\n\n"
	failed     = "HTTP/1.1 500 Oops\nX-Id: $ID\nX-Sign: s1\nContent-Length: 4\n\noops"
)

// lines writes line ends as CRLF outside of chunks, where they stand as NUL.
var lines = strings.NewReplacer("\n", "\r\n", "\x00", "\n")

func chunk(events string) string {
	return strconv.FormatInt(int64(len(events)), 16) + "\n" + strings.ReplaceAll(events, "\n", "\x00") + "\n"
}

func event(id string) string { return "id: " + id + "\nd: x\n\n" }

func script(parts ...string) string { return strings.Join(parts, "") }

func newServer(t *testing.T, cfg *topo.Config, plain []*upstream, engines []*upstream, retries int) (
	*httptest.Server, *tickets,
) {
	t.Helper()
	list := make([]*topo.Upstream, 0, len(plain))
	for i, u := range plain {
		list = append(list, &topo.Upstream{ID: string(rune('a' + i)), Addr: u.addr})
	}
	k := &tickets{engines: engines}
	s := &entry.Server{
		Headers: entry.Headers{
			ID: "X-Id", Deadline: "X-Deadline", Instance: "X-Instance", NotExecuted: "X-Notrun", LastEventID: "Last-Event-Id",
			Priority: "X-Priority", RetryAfter: "Retry-After", HostOnly: []string{"X-Deadline", "X-Priority", "X-Own"},
		},
		ParseSpec:   func(h http.Header) (topo.CallSpec, error) { return topo.CallSpec{Model: h.Get("X-Model")}, nil },
		Config:      func() *topo.Config { return cfg },
		Pool:        &h1.Pool{IDHeader: "X-Id"},
		Tickets:     k,
		Balancer:    &entry.Balancer{Upstreams: func(string) []*topo.Upstream { return list }},
		RetryBudget: &budget{left: retries}, Stats: &stats.Set{}, Log: zerolog.Nop(),
		Stopping: func() (bool, bool) { return false, false },
	}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return srv, k
}

func config(kind topo.CallKind, resumable bool, attempts int) *topo.Config {
	return &topo.Config{
		Version: 1, Limits: topo.Limits{BodyBytes: 1000},
		Services: map[string]topo.Service{
			"plain": {Name: "plain"}, "llm": {Name: "llm", Engine: &topo.EngineSpec{}},
		},
		Routes: []topo.Route{
			{
				Host: "svc.example", PathPrefix: "/p/", Kind: kind, Timeout: time.Second, MaxAttempts: attempts,
				TrafficSplit: []topo.WeightedService{{Service: "plain", Weight: 1}},
			},
			{
				Host: "svc.example", PathPrefix: "/m/", Kind: kind, Timeout: time.Second, MaxAttempts: attempts,
				Resumable: resumable, TrafficSplit: []topo.WeightedService{{Service: "llm", Weight: 1}},
			},
		},
	}
}

func send(t *testing.T, url, path, body string, header ...string) (int, string, http.Header, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "svc.example"
	r.Header.Set("X-Id", "c1")
	r.Header.Set("X-Model", "m")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), res.Header, err
}

// Guards against a repeated run of what may run once, a refusal of what may have run, and a lost answer.
func TestPlain(t *testing.T) {
	for _, tt := range []struct {
		name     string
		kind     topo.CallKind
		attempts int
		scripts  [2]string
		status   int
		runs     int
		signed   bool
		budget   int
	}{
		{"answer", topo.NonIdempotent, 1, [2]string{okAnswer, okAnswer}, 200, 1, true, 5},
		{"rejected by both", topo.NonIdempotent, 1, [2]string{rejected, rejected}, 503, 2, false, 5},
		{"cut after a call that may run once", topo.NonIdempotent, 1, [2]string{"CUT", "CUT"}, 502, 1, false, 5},
		{"cut after an idempotent call", topo.Idempotent, 2, [2]string{"CUT", "CUT"}, 502, 2, false, 5},
		{"short answer", topo.NonIdempotent, 1, [2]string{
			"HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 9\n\ndoneCUT",
			"HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 9\n\ndoneCUT",
		}, 502, 1, false, 5},
		{"no answer in the protocol", topo.NonIdempotent, 1, [2]string{"what\n\nCUT", "what\n\nCUT"}, 502, 1, false, 5},
		{"error of a call that may run once", topo.NonIdempotent, 1, [2]string{failed, failed}, 500, 1, true, 5},
		{"error of an idempotent call", topo.Idempotent, 2, [2]string{failed, failed}, 500, 2, true, 5},
		{"silence until the time is over", topo.NonIdempotent, 1, [2]string{"HANG", "HANG"}, 504, 1, false, 5},
		{"error of an idempotent call, budget spent", topo.Idempotent, 2, [2]string{failed, failed}, 500, 1, true, 0},
		{"error, and one further attempt left", topo.Idempotent, 2, [2]string{failed, failed}, 500, 2, true, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newUpstream(t, tt.scripts[0]), newUpstream(t, tt.scripts[1])
			srv, _ := newServer(t, config(tt.kind, false, tt.attempts), []*upstream{a, b}, nil, tt.budget)
			status, _, header, err := send(t, srv.URL, "/p/x", "body")
			if err != nil || status != tt.status {
				t.Fatalf("status %d, %v, want %d", status, err, tt.status)
			}
			if got := header.Get("X-Sign") != ""; got != tt.signed {
				t.Errorf("signature %v, want %v", got, tt.signed)
			}
			if runs := len(a.requests()) + len(b.requests()); runs != tt.runs {
				t.Errorf("%d runs, want %d", runs, tt.runs)
			}
		})
	}
}

// Guards against streams that miss, repeat or mix events, and against a broken stream that looks complete.
func TestStream(t *testing.T) {
	first := script(streamHead, chunk(event("1")))
	rest := script(streamHead, chunk(event("2")), "0\n\n")
	for _, tt := range []struct {
		name      string
		resumable bool
		scripts   []string
		want      string
		whole     bool
		lastEvent string
	}{
		{"whole", false, []string{script(first, "0\n\n")}, event("1"), true, ""},
		{"cut and resumed", true, []string{first + "CUT", rest}, event("1") + event("2"), true, "1"},
		{"cut, not resumable", false, []string{first + "CUT", rest}, event("1"), false, ""},
		{"cut within an event", true, []string{first + "5\nid: 2CUT", rest}, event("1") + event("2"), true, "1"},
		{"resumed at an engine that fails", true, []string{first + "CUT", failed}, event("1"), false, "1"},
		{"resumed at an engine that rejects", true, []string{first + "CUT", rejected}, event("1"), false, "1"},
		{"ended within an event", false, []string{first + "5\nid: 2\n0\n\n"}, event("1"), false, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var engines []*upstream
			for _, s := range tt.scripts {
				engines = append(engines, newUpstream(t, s))
			}
			srv, k := newServer(t, config(topo.Stream, tt.resumable, 2), nil, engines, 1)
			_, body, _, err := send(t, srv.URL, "/m/x", "body")
			if body != tt.want || (err == nil) != tt.whole {
				t.Fatalf("body %q, %v, want %q, whole %v", body, err, tt.want, tt.whole)
			}
			if n := len(engines); n > 1 && tt.lastEvent != "" {
				if got := engines[1].requests()[0].Header.Get("Last-Event-Id"); got != tt.lastEvent {
					t.Errorf("resumed after %q, want %q", got, tt.lastEvent)
				}
			}
			srv.Close()
			if len(k.ends) != k.next {
				t.Errorf("%d tickets returned of %d", len(k.ends), k.next)
			}
		})
	}
}

// Guards against headers that are the hosts' to set, a changed body, and a deadline beyond what is left.
func TestForwarded(t *testing.T) {
	u := newUpstream(t, okAnswer)
	srv, _ := newServer(t, config(topo.NonIdempotent, false, 1), []*upstream{u}, nil, 0)
	status, _, _, err := send(t, srv.URL, "/p/x?q=1", "body", "X-Deadline", "400", "X-Own", "no", "X-Other", "yes")
	if err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	r := u.requests()[0]
	if r.Header.Get("X-Own") != "" || r.Header.Get("X-Other") != "yes" || r.RequestURI != "/p/x?q=1" ||
		r.Header.Get("X-Instance") != "a" || r.Host != "svc.example" || r.ContentLength != 4 {
		t.Errorf("request %+v", r)
	}
	if d := r.Header.Get("X-Deadline"); len(d) != 3 || d > "400" {
		t.Errorf("deadline %s", d)
	}
}

// Guards against requests that reach an upstream although they are malformed, too large or on no route.
func TestRefusedEarly(t *testing.T) {
	for _, tt := range []struct {
		path, id, body, deadline string
		status                   int
	}{
		{"/none/", "c1", "", "", http.StatusNotFound},
		{"/p/x", "", "", "", http.StatusBadRequest},
		{"/p/x", "c1", strings.Repeat("x", 1001), "", http.StatusRequestEntityTooLarge},
		{"/p/x", "c1", "", "soon", http.StatusBadRequest},
	} {
		u := newUpstream(t, okAnswer)
		srv, _ := newServer(t, config(topo.NonIdempotent, false, 1), []*upstream{u}, nil, 0)
		status, _, _, err := send(t, srv.URL, tt.path, tt.body, "X-Id", tt.id, "X-Deadline", tt.deadline)
		if err != nil || status != tt.status || len(u.requests()) > 0 {
			t.Errorf("%s: status %d, %v, want %d; %d requests", tt.path, status, err, tt.status, len(u.requests()))
		}
	}
}

// Guards against an engine that works on after its caller has left.
func TestCallerLeaves(t *testing.T) {
	u := newUpstream(t, script(streamHead, chunk(event("1")))+"HANG")
	srv, _ := newServer(t, config(topo.Stream, false, 1), nil, []*upstream{u}, 0)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/m/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "svc.example"
	r.Header.Set("X-Id", "c1")
	r.Header.Set("X-Model", "m")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = res.Body.Close()
	select {
	case <-u.left:
	case <-time.After(500 * time.Millisecond):
		t.Error("the engine still works")
	}
}
