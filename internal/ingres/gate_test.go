package ingres

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

// testPort is a served port.
type testPort struct {
	t    *testing.T
	gate *Gate
	addr string
}

// serve serves a handler on a port with at most conns connections, or as many as the gate allows if it is 0.
func serve(t *testing.T, g *Gate, conns int, limits func() topo.Limits, h http.Handler) *testPort {
	t.Helper()
	bound, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if g.Stats == nil {
		g.Stats = &stats.Set{}
	}
	l := g.Wrap(bound, Port{Name: "p", Share: 0.5, Limits: limits})
	if conns > 0 {
		l.max = conns
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	l.Prepare(srv)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l)
	}()
	t.Cleanup(func() {
		_ = srv.Close()
		<-done
	})
	return &testPort{t, g, bound.Addr().String()}
}

func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

// send opens a connection and sends text.
func (p *testPort) send(text string) (net.Conn, *bufio.Reader) {
	p.t.Helper()
	nc, err := net.Dial("tcp4", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(nc, text)
	return nc, bufio.NewReader(nc)
}

// status returns the status of the next response, or 0 if the connection ends.
func status(br *bufio.Reader) int {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (p *testPort) count(reason string) string {
	if v := p.gate.Stats.Events.Get(reason + "/p"); v != nil {
		return v.String()
	}
	return "0"
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n"

// Guards against heads that exceed a limit and are served, those within it that are not, and memory that is not given
// back.
func TestHeads(t *testing.T) {
	limits := func() topo.Limits { return topo.Limits{HeaderBytes: 32 << 10} }
	p := serve(t, &Gate{}, 0, limits, http.HandlerFunc(answer))
	fields := func(n int) string { return get + strings.Repeat("A: b\r\n", n) + "\r\n" }
	field := func(n int) string { return get + "A: " + strings.Repeat("b", n) + "\r\n\r\n" }
	for _, tt := range []struct {
		name, text string
		want       []int
		reason     string
	}{
		{"small", get + "\r\n", []int{200}, ""},
		{"most fields", fields(maxFields - 1), []int{200}, ""},
		{"too many fields", fields(maxFields), []int{431}, tooManyFields},
		{"largest", field(31 << 10), []int{200}, ""},
		{"too large", field(37 << 10), []int{431}, tooLargeHead},
		{"pipelined", strings.Repeat(get+"\r\n", 3), []int{200, 200, 200}, ""},
		{"pipelined, too many fields", get + "\r\n" + fields(maxFields), []int{200, 431}, tooManyFields},
		{"lines in a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9000\r\n\r\n" + strings.Repeat("\n", 9000) +
			get + "\r\n", []int{200, 200}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			nc, br := p.send(tt.text)
			for _, want := range tt.want {
				if got := status(br); got != want {
					t.Errorf("got %d, want %d", got, want)
				}
			}
			if tt.reason != "" && p.count(tt.reason) == "0" {
				t.Errorf("%s is not counted", tt.reason)
			}
			_ = nc.Close()
		})
	}
	await(t, func() bool { return p.gate.heads.Used() == 0 }, "the memory of all heads is given back")
}

func await(t *testing.T, done func() bool, what string) {
	t.Helper()
	for range 300 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("does not happen: " + what)
}

// Guards against heads that keep an ordinary client out when they fill the budget, and against more memory than it has.
func TestHeadsWithoutRoom(t *testing.T) {
	p := serve(t, &Gate{Memory: 4 << 20}, 0, nil, http.HandlerFunc(answer))
	for range 8 {
		p.send(get + "A: " + strings.Repeat("a", 60<<10))
	}
	await(t, func() bool { return p.gate.heads.Used() > p.gate.heads.Limit/2 }, "heads fill the budget")
	for range 5 {
		if _, br := p.send(get + "\r\n"); status(br) != 200 {
			t.Error("an ordinary request is not served")
		}
	}
	if used := p.gate.heads.Used(); used > p.gate.heads.Limit {
		t.Errorf("%d bytes of %d", used, p.gate.heads.Limit)
	}
	await(t, func() bool { return p.count(closedSlow) != "0" }, "a slow head is closed")
}

// Guards against a head that finds no room and is neither refused nor served.
func TestHeadRefused(t *testing.T) {
	p := serve(t, &Gate{Memory: 1 << 20}, 0, nil, http.HandlerFunc(answer))
	if _, br := p.send(get + "A: " + strings.Repeat("a", 60<<10) + "\r\n\r\n"); status(br) != 503 {
		t.Error("a head without room is not refused with 503")
	}
	if p.count(refusedHead) != "1" {
		t.Errorf("counted %s times", p.count(refusedHead))
	}
}

// Guards against connections beyond the limit, the wrong one that is closed for another, and one in use that is closed.
func TestConnections(t *testing.T) {
	release := make(chan struct{})
	var busy atomic.Int64
	p := serve(t, &Gate{}, 4, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			busy.Add(1)
			<-release
		}
		answer(w, r)
	}))
	_, inUseReader := p.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	await(t, func() bool { return busy.Load() == 1 }, "a request is served")
	kept, keptReader := p.send(get + "\r\n")
	if status(keptReader) != 200 {
		t.Fatal("no response")
	}
	_, slow := p.send(get)
	_, nothing := p.send("")
	time.Sleep(2 * headGrace)
	for _, closed := range []*bufio.Reader{nothing, slow} {
		nc, br := p.send(get + "\r\n")
		if status(br) != 200 {
			t.Error("a new client does not get in")
		}
		if _, err := closed.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the connection is not closed: %v", err)
		}
		// It is in use, so that the next one takes the place of another.
		_, _ = io.WriteString(nc, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	await(t, func() bool { return busy.Load() == 3 }, "three requests are served")
	_, _ = io.WriteString(kept, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	await(t, func() bool { return busy.Load() == 4 }, "the kept connection is used again")
	if _, br := p.send(get + "\r\n"); status(br) != 0 {
		t.Error("a connection beyond the limit is served")
	}
	close(release)
	for _, br := range []*bufio.Reader{inUseReader, keptReader} {
		if status(br) != 200 {
			t.Error("a connection in use got no response")
		}
	}
	counts := []string{p.count(closedIdle), p.count(closedSlow), p.count(refusedConn)}
	if got := strings.Join(counts, " "); got != "1 1 1" {
		t.Errorf("counted %s", got)
	}
}

// Guards against timeouts that do not follow the configuration, and kept connections that are closed too early.
func TestTimeouts(t *testing.T) {
	var limits atomic.Pointer[topo.Limits]
	limits.Store(&topo.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	p := serve(t, &Gate{}, 0, func() topo.Limits { return *limits.Load() }, http.HandlerFunc(answer))
	limits.Store(&topo.Limits{HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 2 * time.Second})
	nc, br := p.send(get + "\r\n")
	for range 2 {
		if status(br) != 200 {
			t.Fatal("a connection is closed before its idle time")
		}
		time.Sleep(1600 * time.Millisecond) // four fifths of the idle time
		_, _ = io.WriteString(nc, get+"\r\n")
	}
	for name, text := range map[string]string{"slow head": get, "idle": get + "\r\n"} {
		start := time.Now()
		_, br := p.send(text)
		status(br)
		if _, err := br.ReadByte(); err == nil || time.Since(start) > 5*time.Second {
			t.Errorf("%s: not closed in time: %v", name, err)
		}
	}
}

// Guards against closing the connection of a host that has sent its first message and now waits.
func TestEstablished(t *testing.T) {
	bound, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := (&Gate{}).Wrap(bound, Port{Name: "p", Raw: true})
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp4", bound.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := nc.(*conn)
	later := time.Now().Add(time.Hour)
	if got := c.order(later); got != sentNothing {
		t.Errorf("before the first message: %d", got)
	}
	_, _ = io.WriteString(client, "first")
	b := make([]byte, 100)
	_, _ = c.Read(b)
	if got := c.order(later); got != slowHead {
		t.Errorf("after a part of the first message: %d", got)
	}
	c.Established()
	_ = client.Close()
	_, _ = c.Read(b)
	if got := c.order(later); got != inUse {
		t.Errorf("after the first message: %d", got)
	}
	_ = c.Close()
}

// failingListener fails some times before it accepts.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends, or spins, because the system accepts no connection for a while.
func TestAcceptErrors(t *testing.T) {
	bound, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &Gate{Stats: &stats.Set{}}
	l := g.Wrap(&failingListener{bound, []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}, Port{Name: "p"})
	client, err := net.Dial("tcp4", bound.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	start := time.Now()
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if time.Since(start) < 3*minAcceptDelay {
		t.Error("accepting is tried again without a pause")
	}
	_ = nc.Close()
	if got := g.Stats.Events.Get(acceptFailed + "/p").String(); got != "3" {
		t.Errorf("counted %s", got)
	}
	_ = l.Close()
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a closed listener returns %v", err)
	}
}

// Guards against connections with TLS or HTTP/2 whose heads are not limited, or that are refused in calm.
func TestEncrypted(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		g := &Gate{Stats: &stats.Set{}}
		srv := httptest.NewUnstartedServer(http.HandlerFunc(answer))
		l := g.Wrap(srv.Listener, Port{Name: "p", Share: 0.5, Encrypted: true})
		srv.Listener = l
		l.Prepare(srv.Config)
		srv.EnableHTTP2 = http2
		srv.StartTLS()
		for _, tt := range []struct{ fields, want int }{{100, 200}, {100, 200}, {maxFields, 431}, {100, 200}} {
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			for range tt.fields {
				r.Header.Add("A", "b")
			}
			resp, err := srv.Client().Do(r)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != tt.want || resp.ProtoMajor == 2 != http2 {
				t.Errorf("%s with %d fields got %d", resp.Proto, tt.fields, resp.StatusCode)
			}
		}
		srv.Close()
		await(t, func() bool { return g.heads.Used() == 0 }, "the memory of all heads is given back")
	}
}

// Guards against a wrong order in which connections are closed for room, and against closing those in use.
func TestOrder(t *testing.T) {
	now := time.Now()
	for _, tt := range []struct {
		name string
		c    conn
		age  time.Duration
		want order
	}{
		{"new", conn{}, connGrace / 2, inUse},
		{"sent nothing", conn{}, connGrace, sentNothing},
		{"head just begun", conn{phase: head}, headGrace / 2, inUse},
		{"slow head", conn{phase: head}, headGrace, slowHead},
		{"kept", conn{phase: kept}, connGrace, idle},
		{"long response", conn{phase: serving, wrote: true, inBody: true}, time.Hour, inUse},
		{"waits for the handler", conn{phase: serving}, time.Hour, inUse},
		{"body just begun", conn{phase: serving, inBody: true}, bodyGrace / 2, inUse},
		{"body at a usual rate", conn{phase: serving, inBody: true, body: 20 << 10}, bodyGrace, inUse},
		{"slow body", conn{phase: serving, inBody: true, body: 5 << 10}, bodyGrace, slowBody},
		{"refused", conn{phase: head, finished: true}, 0, sentNothing},
	} {
		tt.c.since = now.Add(-tt.age)
		if got := tt.c.order(now); got != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, got, tt.want)
		}
	}
}
