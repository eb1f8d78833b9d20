package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/topo"
)

// repeater is a fake upstream that answers each request with a head and then with the same bytes, without end or until
// there are n. Then it closes the connection, or waits for the host to do so if hang is set.
func repeater(t *testing.T, head, rest string, n int, hang bool) *upstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				head := strings.ReplaceAll(head, "$ID", r.Header.Get("X-Id"))
				_, err = io.WriteString(nc, strings.ReplaceAll(head, "\n", "\r\n"))
				block := strings.Repeat(rest, 1+4096/len(rest))
				for sent := 0; err == nil && (n == 0 || sent < n); sent += len(block) {
					if n > 0 {
						block = block[:min(len(block), n-sent)]
					}
					_, err = io.WriteString(nc, block)
				}
				if err == nil && hang {
					_, _ = nc.Read(make([]byte, 1))
				}
			}()
		}
	}()
	return &upstream{addr: l.Addr().String()}
}

func withMemory(b *mem.Budget) func(*entry.Server) {
	return func(s *entry.Server) { s.RequestMemory, s.ResponseMemory = b, b }
}

// Guards against a host that holds what upstreams in trouble send without end until it runs out of memory, and takes all
// other calls with it.
func TestMemoryOfEndlessResponses(t *testing.T) {
	const (
		memory = 284 << 20 // of a host
		limit  = memory * 15 / 100
		calls  = 60
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memory * 7 / 10))
	for _, tt := range []struct {
		name, path, head, rest string
		kind                   topo.CallKind
		calls, n               int
	}{
		{"body", "/p/x", "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\n\n", "x", topo.NonIdempotent, calls, 0},
		{"body, idempotent call", "/p/x", "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\n\n", "x", topo.Idempotent, calls, 0},
		{"body of an error", "/p/x", "HTTP/1.1 500 Oops\nX-Id: $ID\n\n", "x", topo.Idempotent, calls, 0},
		{"body of an engine", "/m/x", "HTTP/1.1 400 Oops\nX-Id: $ID\n\n", "x", topo.Stream, calls, 0},
		{"event that stops", "/m/x", strings.TrimSuffix(sseHeader, "Transfer-Encoding: chunked\n\n") + "\n", "x", topo.Stream, 6 * calls, 900 << 10},
		{"head", "/p/x", "HTTP/1.1 200 OK\n", "X-Field: x\r\n", topo.NonIdempotent, calls, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ups := make([]*upstream, tt.calls)
			for i := range ups {
				ups[i] = repeater(t, tt.head, tt.rest, tt.n, true)
			}
			b := &mem.Budget{Limit: limit}
			srv, _ := newServer(t, config(tt.kind, false, 2), ups[:2], ups, calls, withMemory(b))
			done := make(chan struct{})
			var heap, held int64
			go func() {
				defer close(done)
				var wg sync.WaitGroup
				for range tt.calls {
					wg.Go(func() { _, _, _ = drain(srv.URL, tt.path) })
				}
				wg.Wait()
			}()
			for waiting := true; waiting; {
				select {
				case <-done:
					waiting = false
				case <-time.After(10 * time.Millisecond):
					heap, held = max(heap, heapBytes()), max(held, b.Used())
				}
			}
			t.Logf("%d kB of heap, %d kB held", heap>>10, held>>10)
			if heap > memory || held > limit {
				t.Errorf("%d kB of heap, %d kB held", heap>>10, held>>10)
			}
			srv.Close()
			if b.Used() != 0 {
				t.Errorf("%d bytes are held after the calls", b.Used())
			}
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse)
}

// drain sends a call and reads its response without keeping it.
func drain(url, path string) (status int, n int64, err error) {
	r, err := http.NewRequest(http.MethodPost, url+path, strings.NewReader("body"))
	if err != nil {
		return 0, 0, err
	}
	r.Host = "svc.example"
	r.Header.Set("X-Id", "c1")
	if strings.HasPrefix(path, "/m/") {
		r.Header.Set("X-Model", "m")
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	n, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, n, err
}

// Guards against long responses that are cut, end early but look complete, or promise what is not true, once the host
// does not hold them any more.
func TestLongResponse(t *testing.T) {
	const long = 5 << 20
	head := func(status int, more string) string {
		return "HTTP/1.1 " + strconv.Itoa(status) + " X\nX-Id: $ID\nX-Sign: s1\n" + more + "\n"
	}
	length := "Content-Length: " + strconv.Itoa(long) + "\n"
	for _, tt := range []struct {
		name     string
		kind     topo.CallKind
		head     string
		sent     int
		status   int
		complete bool
	}{
		{"with a length", topo.NonIdempotent, head(200, length), long, 200, true},
		{"without a length", topo.NonIdempotent, head(200, ""), long, 200, true},
		{"idempotent", topo.Idempotent, head(200, length), long, 200, true},
		{"broken", topo.NonIdempotent, head(200, length), long - 1, 200, false},
		{"error", topo.NonIdempotent, head(500, length), long, 500, true},
		{"error of an idempotent call", topo.Idempotent, head(500, length), long, 500, true},
		{"rejection that is not stated", topo.NonIdempotent, head(503, length), long, 502, true},
		{"rejection", topo.NonIdempotent, head(503, "X-NotRun: 1\n"+length), long, 503, true},
		{"longer than allowed", topo.NonIdempotent, head(200, ""), entry.MaxResponseBytes + 1, 200, false},
		{
			"stated to be longer than allowed", topo.NonIdempotent,
			head(200, "Content-Length: "+strconv.Itoa(entry.MaxResponseBytes+1)+"\n"), long, 502, true,
		},
	} {
		for _, room := range []int64{64 << 10, 64 << 20} {
			t.Run(fmt.Sprint(tt.name, ", room for ", room>>10, " kB"), func(t *testing.T) {
				ups := []*upstream{repeater(t, tt.head, "abcdefg", tt.sent, false), repeater(t, tt.head, "abcdefg", tt.sent, false)}
				b := &mem.Budget{Limit: room}
				cfg := config(tt.kind, false, 2)
				// A response that the route's timeout ends is cut as well.
				cfg.Routes[0].Timeout = 20 * time.Second
				srv, _ := newServer(t, cfg, ups, nil, 5, withMemory(b))
				status, body, _, err := send(t, srv.URL, "/p/x", "body")
				if status != tt.status || (err == nil) != tt.complete {
					t.Fatalf("status %d, %v, want %d, complete %v", status, err, tt.status, tt.complete)
				}
				if want := strings.Repeat("abcdefg", tt.sent/7+1)[:tt.sent]; tt.complete && status < 502 && body != want {
					t.Errorf("%d bytes, not the %d that were sent", len(body), len(want))
				}
			})
		}
	}
}

// Guards against calls that are read although there is no memory for them, and against rejections of them that do not
// say when to come back.
func TestRequestsWithoutMemory(t *testing.T) {
	u := newUpstream(t, okResponse)
	b := &mem.Budget{Limit: 600}
	srv, _ := newServer(t, config(topo.NonIdempotent, false, 1), []*upstream{u}, nil, 5, withMemory(b))
	status, _, header, err := send(t, srv.URL, "/p/x", strings.Repeat("x", 900))
	if err != nil || status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v, Retry-After %q", status, err, header.Get("Retry-After"))
	}
	if len(u.requests()) > 0 {
		t.Error("the call reached an upstream")
	}
	share := mem.Share{Budget: b}
	if !share.Take(600) {
		t.Errorf("%d bytes are held after the call", b.Used())
	}
}

// Guards against sound calls that fail because others have used up the memory for responses.
func TestSoundCallsWithoutMemory(t *testing.T) {
	stream := join(sseHeader, chunk(event("1")+event("2")), "0\n\n")
	for _, tt := range []struct {
		name, path, script, body string
		kind                     topo.CallKind
	}{
		{"response", "/p/x", okResponse, "done", topo.NonIdempotent},
		{"idempotent", "/p/x", okResponse, "done", topo.Idempotent},
		{"stream", "/m/x", stream, event("1") + event("2"), topo.Stream},
	} {
		t.Run(tt.name, func(t *testing.T) {
			ups := []*upstream{newUpstream(t, tt.script)}
			srv, _ := newServer(t, config(tt.kind, false, 2), ups, ups, 5, func(s *entry.Server) {
				s.ResponseMemory = &mem.Budget{}
			})
			status, body, _, err := send(t, srv.URL, tt.path, "body")
			if err != nil || status != http.StatusOK || body != tt.body {
				t.Errorf("status %d, body %q, %v", status, body, err)
			}
		})
	}
}
