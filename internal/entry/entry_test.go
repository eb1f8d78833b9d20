package entry_test

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

// upstream is a fake upstream that responds to each request with the next script. In a script, RESET resets the
// connection, HANG waits until the host closes it, and each DELAY at the start waits for 100 ms.
type upstream struct {
	id         string // of the engine in its grants; empty is e
	software   string // version of the engine in its grants
	service    string // of the engine in its grants
	mixed      bool   // its grants say that the service has several versions
	addr       string
	mu         sync.Mutex
	received   []*http.Request
	callerLeft chan struct{}
}

func newUpstream(t *testing.T, scripts ...string) *upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{addr: l.Addr().String(), callerLeft: make(chan struct{}, 8)}
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
		u.received = append(u.received, r)
		u.mu.Unlock()
		script := strings.ReplaceAll(<-next, "$ID", r.Header.Get("X-Id"))
		for strings.HasPrefix(script, "DELAY") {
			script = strings.TrimPrefix(script, "DELAY")
			time.Sleep(100 * time.Millisecond)
		}
		before, _, reset := strings.Cut(script, "RESET")
		before, _, hang := strings.Cut(before, "HANG")
		before, _, closed := strings.Cut(before, "CLOSE")
		_, _ = io.WriteString(nc, crlf.Replace(before))
		if hang {
			_, _ = br.ReadByte()
			u.callerLeft <- struct{}{}
			return
		}
		if reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
			return
		}
		if closed {
			return
		}
	}
}

func (u *upstream) requests() []*http.Request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

// fakeTickets is a fake ticket client that grants each engine once, in order, and rejects all further calls.
type fakeTickets struct {
	engines  []*upstream
	mu       sync.Mutex
	outcomes []sched.Outcome
	granted  int
	requests []sched.Request
}

func (f *fakeTickets) RequestTicket(_ context.Context, req sched.Request) (sched.Decision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, req)
	if f.granted >= len(f.engines) {
		return sched.Decision{Kind: sched.Rejected, Call: req.Call, Reason: "none"}, nil
	}
	e := f.engines[f.granted]
	f.granted++
	return sched.Decision{Kind: sched.Granted, Grant: sched.Grant{
		Engine: cmp.Or(e.id, "e"), Addr: e.addr, Software: e.software, Service: e.service, CheckStart: e.mixed,
	}}, nil
}

func (f *fakeTickets) FirstEvent(sched.Grant, *topo.Load) {}

func (f *fakeTickets) Release(_ sched.Grant, outcome sched.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome)
}

type budget struct{ left atomic.Int64 }

func newBudget(retries int) *budget {
	b := &budget{}
	b.left.Store(int64(retries))
	return b
}

func (b *budget) Earn(string) {}

func (b *budget) Spend(string) bool { return b.left.Add(-1) >= 0 }

const (
	okResponse  = "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 4\n\ndone"
	sseHeader   = "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Type: text/event-stream\nTransfer-Encoding: chunked\n\n"
	notExecuted = "HTTP/1.1 503 Service Unavailable\nX-Id: $ID\nX-NotRun: 1\nContent-Length: 0\n\n"
	serverError = "HTTP/1.1 500 Oops\nX-Id: $ID\nX-Sign: s1\nContent-Length: 4\n\noops"
)

// crlf turns line ends into CRLF, except those within chunks, which chunk encodes as NUL.
var crlf = strings.NewReplacer("\n", "\r\n", "\x00", "\n")

func chunk(events string) string {
	return strconv.FormatInt(int64(len(events)), 16) + "\n" + strings.ReplaceAll(events, "\n", "\x00") + "\n"
}

func event(id string) string { return "id: " + id + "\nd: x\n\n" }

func join(parts ...string) string { return strings.Join(parts, "") }

func newServer(
	t *testing.T, cfg *topo.Config, plain []*upstream, engines []*upstream, retries int, options ...func(*entry.Server),
) (*httptest.Server, *fakeTickets) {
	t.Helper()
	list := make([]*topo.Upstream, 0, len(plain))
	for i, u := range plain {
		list = append(list, &topo.Upstream{ID: string(rune('a' + i)), Addr: u.addr, Software: u.software})
	}
	tk := &fakeTickets{engines: engines}
	s := &entry.Server{
		Headers: entry.Headers{
			ID: "X-Id", Deadline: "X-Deadline", Instance: "X-Instance", NotExecuted: "X-Notrun", LastEventID: "Last-Event-Id", Resumes: "X-Resumes",
			Priority: "X-Priority", RetryAfter: "Retry-After", HostOnly: []string{"X-Deadline", "X-Priority", "X-Own"},
		},
		ParseSpec:   func(h http.Header) (topo.CallSpec, error) { return topo.CallSpec{Model: h.Get("X-Model")}, nil },
		Config:      func() *topo.Config { return cfg },
		Pool:        &h1.Pool{IDHeader: "X-Id"},
		Tickets:     tk,
		Balancer:    &entry.Balancer{Upstreams: func(string) []*topo.Upstream { return list }},
		RetryBudget: newBudget(retries), Stats: &stats.Set{}, Log: zerolog.Nop(),
		Stopping: func() (bool, bool) { return false, false },
	}
	for _, set := range options {
		set(s)
	}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return srv, tk
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

// Guards against a second execution of a non-idempotent call, a rejection of a call that may have been executed, and a
// lost response.
func TestPlain(t *testing.T) {
	for _, tt := range []struct {
		name     string
		kind     topo.CallKind
		attempts int
		scripts  [2]string
		status   int
		requests int
		signed   bool
		budget   int
	}{
		{"response", topo.NonIdempotent, 1, [2]string{okResponse, okResponse}, 200, 1, true, 5},
		{"rejected by both", topo.NonIdempotent, 1, [2]string{notExecuted, notExecuted}, 503, 2, false, 5},
		{"reset, non-idempotent call", topo.NonIdempotent, 1, [2]string{"RESET", "RESET"}, 502, 1, false, 5},
		{"reset, idempotent call", topo.Idempotent, 2, [2]string{"RESET", "RESET"}, 502, 2, false, 5},
		{"response shorter than its length", topo.NonIdempotent, 1, [2]string{
			"HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 9\n\ndoneRESET",
			"HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 9\n\ndoneRESET",
		}, 502, 1, false, 5},
		{"response that is not HTTP", topo.NonIdempotent, 1, [2]string{"what\n\nRESET", "what\n\nRESET"}, 502, 1, false, 5},
		{"head that ends early", topo.NonIdempotent, 1, [2]string{
			"HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1CLOSE", "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1CLOSE",
		}, 502, 1, false, 5},
		{"error of a non-idempotent call", topo.NonIdempotent, 1, [2]string{serverError, serverError}, 500, 1, true, 5},
		{"error of an idempotent call", topo.Idempotent, 2, [2]string{serverError, serverError}, 500, 2, true, 5},
		{"no response before the deadline", topo.NonIdempotent, 1, [2]string{"HANG", "HANG"}, 504, 1, false, 5},
		{"error, and the retry budget is empty", topo.Idempotent, 2, [2]string{serverError, serverError}, 500, 1, true, 0},
		{"error, and one retry is left", topo.Idempotent, 2, [2]string{serverError, serverError}, 500, 2, true, 1},
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
			if n := len(a.requests()) + len(b.requests()); n != tt.requests {
				t.Errorf("%d requests, want %d", n, tt.requests)
			}
		})
	}
}

// Guards against streams that miss, repeat or mix events, and against a truncated stream that looks complete.
func TestStream(t *testing.T) {
	firstPart := join(sseHeader, chunk(event("1")))
	secondPart := join(sseHeader, chunk(event("2")), "0\n\n")
	unframed := strings.Replace(sseHeader, "Transfer-Encoding: chunked\n", "", 1) +
		strings.ReplaceAll(event("1"), "\n", "\x00")
	for _, tt := range []struct {
		name      string
		resumable bool
		scripts   []string
		want      string
		complete  bool
		lastEvent string
	}{
		{"complete", false, []string{join(firstPart, "0\n\n")}, event("1"), true, ""},
		{"reset and resumed", true, []string{firstPart + "RESET", secondPart}, event("1") + event("2"), true, "1"},
		{"reset, not resumable", false, []string{firstPart + "RESET", secondPart}, event("1"), false, ""},
		{"reset in an event", true, []string{firstPart + "5\nid: 2RESET", secondPart}, event("1") + event("2"), true, "1"},
		{"resumed at an engine that fails", true, []string{firstPart + "RESET", serverError}, event("1"), false, "1"},
		{"resumed at an engine that rejects", true, []string{firstPart + "RESET", notExecuted}, event("1"), false, "1"},
		{"resumed at an engine that sends an error text as success", true, []string{
			firstPart + "RESET", "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 8\n\noops\n\n",
		}, event("1"), false, "1"},
		{"resumed at an engine that stops in the head", true, []string{
			firstPart + "RESET", "HTTP/1.1 200 OK\nX-Id: $ID\nContent-Type: text/event-streamCLOSE",
		}, event("1"), false, "1"},
		{"resumed at an engine that sends no HTTP", true, []string{firstPart + "RESET", "oops\n\nCLOSE"}, event("1"), false, "1"},
		{"ended within an event", false, []string{firstPart + "5\nid: 2\n0\n\n"}, event("1"), false, ""},
		{"ended by its connection", false, []string{unframed + "CLOSE"}, event("1"), true, ""},
		{"ended by its connection within an event", false, []string{unframed + "id: 2CLOSE"}, event("1"), false, ""},
		{"ended by a reset", false, []string{unframed + "RESET"}, event("1"), false, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var engines []*upstream
			for _, s := range tt.scripts {
				engines = append(engines, newUpstream(t, s))
			}
			srv, tk := newServer(t, config(topo.Stream, tt.resumable, 2), nil, engines, 1)
			_, body, _, err := send(t, srv.URL, "/m/x", "body")
			if body != tt.want || (err == nil) != tt.complete {
				t.Fatalf("body %q, %v, want %q, complete %v", body, err, tt.want, tt.complete)
			}
			if n := len(engines); n > 1 && tt.lastEvent != "" {
				if got := engines[1].requests()[0].Header.Get("Last-Event-Id"); got != tt.lastEvent {
					t.Errorf("resumed after %q, want %q", got, tt.lastEvent)
				}
			}
			srv.Close()
			if len(tk.outcomes) != tk.granted {
				t.Errorf("%d tickets released of %d", len(tk.outcomes), tk.granted)
			}
		})
	}
}

// Guards against an engine that is blamed for a call that it did not get or answered itself, and against one that broke
// under a call and is not.
func TestOutcomeOfAttempt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		script string // empty if nothing listens at the engine's address
		want   sched.Outcome
	}{
		{"complete", join(sseHeader, chunk(event("1")), "0\n\n"), sched.Served},
		{"closed before the response", "CLOSE", sched.Broken},
		{"reset in the header", "HTTP/1.1 200 OK\nX-Id:RESET", sched.Broken},
		{"closed before the first event", sseHeader + "CLOSE", sched.Broken},
		{"closed after an event", join(sseHeader, chunk(event("1")), "CLOSE"), sched.Broken},
		{"error response", serverError, sched.Failed},
		{"rejected", notExecuted, sched.NotExecuted},
		{"connection refused", "", sched.Failed},
	} {
		t.Run(tt.name, func(t *testing.T) {
			engine := &upstream{addr: unusedAddr(t)}
			if tt.script != "" {
				engine = newUpstream(t, tt.script)
			}
			srv, tk := newServer(t, config(topo.Stream, false, 1), nil, []*upstream{engine}, 0)
			_, _, _, _ = send(t, srv.URL, "/m/x", "body")
			srv.Close()
			if len(tk.outcomes) != 1 || tk.outcomes[0] != tt.want {
				t.Errorf("outcomes %v, want %v", tk.outcomes, tt.want)
			}
		})
	}
}

// unusedAddr returns an address at which nothing listens.
func unusedAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against headers of callers that only hosts may set, a changed request, and a deadline longer than the time
// that remains.
func TestForwarded(t *testing.T) {
	u := newUpstream(t, okResponse)
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

// Guards against requests that reach an upstream although they are malformed, too large or match no route.
func TestRejectedEarly(t *testing.T) {
	for _, tt := range []struct {
		path, id, body, deadline string
		status                   int
	}{
		{"/none/", "c1", "", "", http.StatusNotFound},
		{"/p/x", "", "", "", http.StatusBadRequest},
		{"/p/x", "c1", strings.Repeat("x", 1001), "", http.StatusRequestEntityTooLarge},
		{"/p/x", "c1", "", "soon", http.StatusBadRequest},
	} {
		u := newUpstream(t, okResponse)
		srv, _ := newServer(t, config(topo.NonIdempotent, false, 1), []*upstream{u}, nil, 0)
		status, _, _, err := send(t, srv.URL, tt.path, tt.body, "X-Id", tt.id, "X-Deadline", tt.deadline)
		if err != nil || status != tt.status || len(u.requests()) > 0 {
			t.Errorf("%s: status %d, %v, want %d; %d requests", tt.path, status, err, tt.status, len(u.requests()))
		}
	}
}

// Guards against an engine that continues a call whose caller has left.
func TestCallerLeaves(t *testing.T) {
	u := newUpstream(t, join(sseHeader, chunk(event("1")))+"HANG")
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
	case <-u.callerLeft:
	case <-time.After(500 * time.Millisecond):
		t.Error("the connection to the engine is still open")
	}
}

// Guards against stream calls that wait for an engine until their callers have left, because only their deadline is
// considered.
func TestPatienceLimitsWait(t *testing.T) {
	for _, tt := range []struct {
		patience, most, least time.Duration
	}{
		{0, time.Second, 300 * time.Millisecond},
		{200 * time.Millisecond, 200 * time.Millisecond, 0},
		{5 * time.Second, time.Second, 300 * time.Millisecond},
	} {
		cfg := config(topo.Stream, false, 1)
		for i := range cfg.Routes {
			cfg.Routes[i].Patience = tt.patience
		}
		srv, tk := newServer(t, cfg, nil, nil, 0)
		if status, _, _, err := send(t, srv.URL, "/m/x", ""); err != nil || status != http.StatusServiceUnavailable {
			t.Errorf("status %d, %v", status, err)
		}
		if got := tk.requests[0].FirstEventIn; got > tt.most || got < tt.least {
			t.Errorf("patience %v: the call may wait %v", tt.patience, got)
		}
	}
}

// Guards against an event without end that is collected until the memory is exhausted, or that counts as a response.
func TestEventWithoutEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	sent := make(chan int, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		n, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nX-Id: c1\r\nContent-Type: text/event-stream\r\n\r\ndata: ")
		block := strings.Repeat("x", 4096)
		for err == nil {
			var more int
			more, err = io.WriteString(nc, block)
			n += more
		}
		sent <- n
	}()
	cfg := config(topo.Stream, false, 1)
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = 20 * time.Second
	}
	srv, _ := newServer(t, cfg, nil, []*upstream{{addr: l.Addr().String()}}, 0)
	start := time.Now()
	if status, body, _, err := send(t, srv.URL, "/m/x", ""); err == nil && status == http.StatusOK {
		t.Errorf("status 200 with %d bytes", len(body))
	}
	if took := time.Since(start); took > 10*time.Second {
		t.Errorf("the attempt ended after %v", took)
	}
	const most = 32 << 20 // the size limit of an event and the buffers of both sockets
	if n := <-sent; n > most {
		t.Errorf("%d bytes were accepted", n)
	}
}

// Guards against a second copy of an upstream's refusal that is taken for the response to a further attempt of the same
// call: its caller would be told that a call has not run that the upstream runs.
func TestRefusalSentTwice(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	refusal := crlf.Replace(strings.ReplaceAll(notExecuted, "$ID", "c1"))
	var requests atomic.Int32
	serve := func(nc net.Conn) {
		defer func() { _ = nc.Close() }()
		br := bufio.NewReader(nc)
		for kept := false; ; kept = true {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			response := refusal
			if requests.Add(1) > 1 {
				response = crlf.Replace(strings.ReplaceAll(okResponse, "$ID", "c1"))
			}
			if kept {
				response = refusal + response
			}
			_, _ = io.WriteString(nc, response)
		}
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	u := &upstream{addr: l.Addr().String()}
	srv, _ := newServer(t, config(topo.NonIdempotent, false, 1), nil, []*upstream{u, u}, 5)
	status, _, _, err := send(t, srv.URL, "/m/x", "body")
	if err != nil || status != http.StatusOK || requests.Load() != 2 {
		t.Errorf("status %d, %v after %d requests, want the response of the second attempt", status, err, requests.Load())
	}
}

// quarantine blocks the calls of one request after a number of broken connections.
type quarantine struct {
	mu     sync.Mutex
	broken map[uint64]int
	served map[uint64]int
	most   int
}

func (q *quarantine) Admits(call *topo.CallSpec) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.broken[call.Request] < q.most
}

func (q *quarantine) Broken(_ time.Time, _ topo.Instance, call *topo.CallSpec) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.broken[call.Request]++
}

func (q *quarantine) Served(call *topo.CallSpec) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.served[call.Request]++
}

// Guards against a request that crashes one upstream of a plain service after the other because each repetition is taken
// for another call, against a rejection that claims that a call was not executed which was, and against other calls that
// are rejected with it.
func TestRepeatedRequest(t *testing.T) {
	q := &quarantine{broken: make(map[uint64]int), served: make(map[uint64]int), most: 2}
	var plain []*upstream
	for range 3 {
		plain = append(plain, newUpstream(t, "CLOSE", "CLOSE", "CLOSE", "CLOSE"))
	}
	srv, _ := newServer(t, config(topo.Idempotent, false, 3), plain, nil, 10)
	server, ok := srv.Config.Handler.(*entry.Server)
	if !ok {
		t.Fatal("no entry server")
	}
	server.Quarantine = q
	reached := func() int {
		n := 0
		for _, u := range plain {
			n += len(u.requests())
		}
		return n
	}
	for _, tt := range []struct {
		name, path, body string
		status           int
		reached          int // calls that upstreams got so far
	}{
		{"first", "/p/x", "deadly", http.StatusBadGateway, 2},
		{"again", "/p/x", "deadly", http.StatusServiceUnavailable, 2},
		{"another body", "/p/x", "other", http.StatusBadGateway, 4},
		{"another path", "/p/y", "deadly", http.StatusBadGateway, 6},
		{"again, with another id", "/p/x", "deadly", http.StatusServiceUnavailable, 6},
	} {
		status, _, h, err := send(t, srv.URL, tt.path, tt.body)
		if err != nil || status != tt.status || reached() != tt.reached {
			t.Errorf("%s: status %d, %v, %d calls reached upstreams", tt.name, status, err, reached())
		}
		if status == http.StatusServiceUnavailable && h.Get("Retry-After") == "" {
			t.Errorf("%s: no time after which to come again", tt.name)
		}
	}
}
