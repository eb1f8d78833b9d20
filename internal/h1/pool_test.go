package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/h1"
)

// serve starts a server that sends the scripts in turn as responses, over all connections. It pauses at the word LATE
// in a script.
func serve(t *testing.T, scripts ...string) (addr string, conns *int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = new(int)
	go func() {
		next := 0
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			*conns++
			br := bufio.NewReader(nc)
			for next < len(scripts) {
				r, err := http.ReadRequest(br)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, r.Body)
				first, rest, pauses := strings.Cut(scripts[next], "LATE")
				next++
				_, _ = io.WriteString(nc, strings.ReplaceAll(first, "\n", "\r\n"))
				if pauses {
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(nc, strings.ReplaceAll(rest, "\n", "\r\n"))
				}
				if strings.Contains(scripts[next-1], "Connection: close") {
					break
				}
			}
			_ = nc.Close()
		}
	}()
	return l.Addr().String(), conns
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\nX-Id: " + id + "\nContent-Length: 2\n\n" + body
}

// Guards against responses that are matched to another request, and against the reuse of connections that must not be
// reused.
func TestReuse(t *testing.T) {
	for _, tt := range []struct {
		name    string
		scripts []string
		want    []string // bodies, or an empty string for an error
		conns   int
	}{
		{"reused", []string{response("1", "r1"), response("2", "r2")}, []string{"r1", "r2"}, 1},
		{"closed by the upstream", []string{
			"HTTP/1.1 200 OK\nX-Id: 1\nConnection: close\nContent-Length: 2\n\nr1", response("2", "r2"),
		}, []string{"r1", "r2"}, 2},
		{"second response at once", []string{response("1", "r1") + response("1", "xx"), response("2", "r2")}, []string{"r1", "r2"}, 2},
		{"second response late", []string{response("1", "r1") + "LATE" + response("1", "xx"), response("2", "r2")}, []string{"r1", "r2"}, 2},
		{"response to another request first", []string{response("1", "r1"), response("9", "xx") + response("2", "r2")}, []string{"r1", "r2"}, 1},
		{"response in chunks to another request first", []string{
			response("1", "r1"),
			"HTTP/1.1 200 OK\nX-Id: 9\nTransfer-Encoding: chunked\n\n2\nxx\n0\n\n" + response("2", "r2"),
		}, []string{"r1", "r2"}, 1},
		{"response without a length to another request first", []string{
			response("1", "r1"), "HTTP/1.1 200 OK\nX-Id: 9\n\nxx" + response("2", "r2"),
		}, []string{"r1", ""}, 1},
		{"response without an ID on a reused connection", []string{
			response("1", "r1"), "HTTP/1.1 200 OK\nContent-Length: 2\n\nxx",
		}, []string{"r1", ""}, 1},
		{"body without a length", []string{"HTTP/1.1 200 OK\nX-Id: 1\nConnection: close\n\nr1", response("2", "r2")}, []string{"r1", "r2"}, 2},
		{"idle limit of a second", []string{
			"HTTP/1.1 200 OK\nX-Id: 1\nKeep-Alive: timeout=1\nContent-Length: 2\n\nr1", response("2", "r2"),
		}, []string{"r1", "r2"}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, conns := serve(t, tt.scripts...)
			p := &h1.Pool{IDHeader: "X-Id"}
			for i, want := range tt.want {
				got := ""
				res, err := p.Do(context.Background(), &h1.Request{
					Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", ID: string(rune('1' + i)),
				})
				if err == nil {
					b, _ := res.ReadAll(100)
					got = string(b)
				}
				if got != want {
					t.Errorf("request %d: %q, %v, want %q", i+1, got, err, want)
				}
				time.Sleep(40 * time.Millisecond)
			}
			if *conns != tt.conns {
				t.Errorf("%d connections, want %d", *conns, tt.conns)
			}
		})
	}
}

// Guards against a request that is reported as not sent although it may have been executed, and the reverse.
func TestErrors(t *testing.T) {
	p := &h1.Pool{IDHeader: "X-Id"}
	r := &h1.Request{Addr: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", ID: "1"}
	if _, err := p.Do(context.Background(), r); !errors.Is(err, h1.ErrNotSent) {
		t.Errorf("no listener: %v", err)
	}
	r.Addr, _ = serve(t, "")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, r); !errors.Is(err, h1.ErrNoResponse) {
		t.Errorf("no response: %v", err)
	}
	r.Addr, _ = serve(t, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 9\nConnection: close\n\nr1")
	res, err := p.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := res.ReadAll(100); err == nil {
		t.Errorf("truncated body %q is accepted as complete", b)
	}
}

// Guards against a deadlock with an upstream that responds before it has read a long request body.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(nc, "HTTP/1.1 503 No\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := &h1.Pool{IDHeader: "X-Id"}
	res, err := p.Do(context.Background(), &h1.Request{
		Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Body: make([]byte, 32<<20),
	})
	if err != nil || res.Status != http.StatusServiceUnavailable {
		t.Fatalf("%+v, %v", res, err)
	}
	if _, err := res.ReadAll(10); err != nil {
		t.Error(err)
	}
}

// Guards against a response whose head breaks off and that looks complete: the connection is closed after each byte of the
// response in turn.
func TestResponseEndsEarly(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		shortest   int // bytes after which the response may count as complete
	}{
		{"with a length", response("1", "r1"), len(response("1", "r1"))},
		{
			"in chunks", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n2\nr1\n0\n\n",
			len("HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n2\nr1\n0\n\n"),
		},
		{"without a length", "HTTP/1.1 200 OK\nX-Id: 1\n\nr1", len("HTTP/1.1 200 OK\nX-Id: 1\n\n")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for n := range tt.shortest {
				addr, _ := serve(t, tt.text[:n])
				p := &h1.Pool{IDHeader: "X-Id"}
				res, err := p.Do(context.Background(), &h1.Request{
					Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", ID: "1",
				})
				if err != nil {
					continue
				}
				if b, err := res.ReadAll(100); err == nil {
					t.Errorf("cut after %d bytes: complete response %d with body %q", n, res.Status, b)
				}
			}
		})
	}
}

// Guards against logs that do not show which request a response belongs to and what its connection has carried before.
func TestSkippedResponse(t *testing.T) {
	addr, _ := serve(t, response("1", "r1"), response("9", "xx")+response("2", "r2"))
	var skipped []string
	p := &h1.Pool{IDHeader: "X-Id", Skipped: func(addr, id string, status int) {
		skipped = append(skipped, addr+" "+id+" "+strconv.Itoa(status))
	}}
	for earlier, id := range []string{"1", "2"} {
		res, err := p.Do(context.Background(), &h1.Request{Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", ID: id})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := res.ReadAll(100); err != nil || res.Earlier != earlier || res.LocalAddr == "" {
			t.Errorf("request %s: %v, %d requests before on %q, want %d", id, err, res.Earlier, res.LocalAddr, earlier)
		}
	}
	if want := addr + " 9 200"; len(skipped) != 1 || skipped[0] != want {
		t.Errorf("skipped %q, want %q", skipped, want)
	}
}

// Guards against a copy of a response that answers a request that is sent again: no connection carries an ID twice,
// whatever it has carried in between, and for however long it is used.
func TestConnectionCarriesIDOnce(t *testing.T) {
	others := make([]string, 1000)
	for i := range others {
		others[i] = "o" + strconv.Itoa(i)
	}
	for _, tt := range []struct {
		name string
		ids  []string
		want int // connections
	}{
		{"other IDs", []string{"a", "b", "c"}, 1},
		{"reads without IDs", []string{"", "", ""}, 1},
		{"writes without IDs", []string{"write", "write", "write"}, 3},
		{"a write after a read", []string{"", "write"}, 2},
		{"a read after a write", []string{"write", ""}, 1},
		{"a write after others with IDs", []string{"a", "b", "write", "c"}, 1},
		{"again at once", []string{"a", "a"}, 2},
		{"again later", []string{"a", "b", "c", "a"}, 2},
		{"again three times", []string{"a", "a", "a"}, 3},
		{"again, other IDs after it", []string{"a", "a", "b", "c"}, 2},
		{"two IDs again", []string{"a", "b", "b", "a"}, 2},
		{"again after many", slices.Concat([]string{"a"}, others, []string{"a"}), 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			scripts := make([]string, len(tt.ids))
			for i, id := range tt.ids {
				if scripts[i] = response(id, "ok"); id == "" || id == "write" {
					scripts[i] = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"
				}
			}
			srv, addr := serveScripts(t, false, scripts...)
			p := &h1.Pool{IDHeader: "X-Id"}
			for i, id := range tt.ids {
				r := &h1.Request{Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", ID: id}
				if id == "write" {
					r.Method, r.ID = http.MethodPost, ""
				}
				res, err := p.Do(context.Background(), r)
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				if _, err := res.ReadAll(10); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
			if n := srv.Conns(); n != tt.want {
				t.Errorf("%d connections, want %d", n, tt.want)
			}
		})
	}
}

// serveScripts starts a server that answers the requests on all its connections with the scripts in turn.
func serveScripts(t *testing.T, copies bool, scripts ...string) (srv *script.Server, addr string) {
	t.Helper()
	next := make(chan string, len(scripts))
	for _, s := range scripts {
		next <- s
	}
	srv = &script.Server{Copies: copies, Answer: func(r *http.Request) string {
		answer := <-next
		if end := strings.Index(answer, "\n\n"); r.Method == http.MethodHead {
			answer = answer[:end+2]
		}
		return answer
	}}
	addr, err := srv.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = srv.Close() })
	return srv, addr
}

// Guards against an order or a report that is answered by a late response to a call on the same connection.
func TestRequestWithoutID(t *testing.T) {
	_, addr := serveScripts(t, true, response("1", "r1"), "HTTP/1.1 202 OK\nContent-Length: 2\n\nok")
	p := &h1.Pool{IDHeader: "X-Id"}
	for _, tt := range []struct {
		id   string
		want int
	}{{"1", http.StatusOK}, {"", http.StatusAccepted}} {
		res, err := p.Do(context.Background(), &h1.Request{
			Addr: addr, Method: http.MethodPost, Target: "/", Host: "h", ID: tt.id,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := res.ReadAll(10); err != nil || res.Status != tt.want {
			t.Errorf("request with ID %q: status %d, %v, want %d", tt.id, res.Status, err, tt.want)
		}
	}
}

// Guards against the body of a copy that is read as the response to a HEAD, and against a response to a HEAD that takes
// bytes of the next response for its body.
func TestHeadHasItsOwnConnection(t *testing.T) {
	inner := "HTTP/1.1 503 No\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"
	get := "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: " + strconv.Itoa(len(inner)) + "\n\n" + strings.ReplaceAll(inner, "\r\n", "\n")
	head := "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 20\n\n"
	for _, tt := range []struct {
		name    string
		methods []string
		copied  string // the answer to the first request
	}{
		{"HEAD after GET", []string{http.MethodGet, http.MethodHead}, get},
		{"GET after HEAD", []string{http.MethodHead, http.MethodGet}, head},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, addr := serveScripts(t, true, tt.copied, response("2", "r2"))
			p := &h1.Pool{IDHeader: "X-Id"}
			for i, method := range tt.methods {
				res, err := p.Do(context.Background(), &h1.Request{
					Addr: addr, Method: method, Target: "/", Host: "h", ID: strconv.Itoa(i + 1),
				})
				if err != nil {
					t.Fatalf("%s: %v", method, err)
				}
				if _, err := res.ReadAll(1000); err != nil || res.Status != http.StatusOK {
					t.Errorf("%s: status %d, %v", method, res.Status, err)
				}
			}
		})
	}
}

// Guards against a request that reaches another start of its upstream than the one that is meant, and against a check that
// is sent more than once on a connection or whose response answers a request.
func TestCheck(t *testing.T) {
	const head = "HTTP/1.1 200 OK\nContent-Length: 4\n"
	check := &h1.Check{Target: "/report", Accept: func(status int, body []byte) error {
		if status != http.StatusOK || string(body) != "good" {
			return errors.New("other start")
		}
		return nil
	}}
	for _, tt := range []struct {
		name    string
		report  string
		checked []bool // which requests want a check
		want    []string
		paths   string // that the upstream gets
	}{
		{"accepted once", head + "\ngood", []bool{true, true}, []string{"r1", "r2"}, "/report / /"},
		{"on a connection that was used before", head + "\ngood", []bool{false, true}, []string{"r1", "r2"}, "/ /report /"},
		{"other start", head + "\nelse", []bool{true}, []string{"not sent"}, "/report"},
		{"connection ends", head + "Connection: close\n\ngood", []bool{true}, []string{"not sent"}, "/report"},
		{"no HTTP", "oops\n\n", []bool{true}, []string{"not sent"}, "/report"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var paths []string
			srv := &script.Server{IDHeader: "X-Id", Answer: func(r *http.Request) string {
				paths = append(paths, r.URL.Path)
				if r.URL.Path == "/report" {
					return tt.report
				}
				return response("$ID", "r"+r.Header.Get("X-Id"))
			}}
			addr, err := srv.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = srv.Close() }()
			p := &h1.Pool{IDHeader: "X-Id"}
			for i, want := range tt.want {
				id := strconv.Itoa(i + 1)
				r := &h1.Request{
					Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"X-Id": {id}}, ID: id,
				}
				if tt.checked[i] {
					r.Check = check
				}
				got := ""
				res, err := p.Do(context.Background(), r)
				switch {
				case errors.Is(err, h1.ErrNotSent):
					got = "not sent"
				case err != nil:
					got = err.Error()
				default:
					b, _ := res.ReadAll(100)
					got = string(b)
				}
				if got != want {
					t.Errorf("request %d: %q, want %q", i+1, got, want)
				}
			}
			if got := strings.Join(paths, " "); got != tt.paths {
				t.Errorf("the upstream got %q, want %q", got, tt.paths)
			}
		})
	}
}
