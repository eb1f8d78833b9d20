package apigw_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/websrv"
	"github.com/figreel/figreel/internal/wire"
)

// instantTicket is granted without a dispatcher, so that the benchmarks measure only the data path.
type instantTicket struct {
	grant    wire.TicketResponse
	migrated chan struct{}
}

func (t instantTicket) Grant() wire.TicketResponse   { return t.grant }
func (t instantTicket) Migrate() <-chan struct{}     { return t.migrated }
func (t instantTicket) ReportProgress(wire.Progress) {}
func (t instantTicket) Close()                       {}

// fastEngine streams constant tokens as fast as the host reads them, with one write per token.
func fastEngine(w http.ResponseWriter, r *http.Request) {
	var c engine.Call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	head := `data: {"attempt_id":"` + c.AttemptID + `","index":`
	for i := range c.MaxTokens {
		_, _ = w.Write([]byte(head + strconv.Itoa(i) + `,"token":"token "}` + "\n\n"))
		_ = flush.Flush()
	}
	n := strconv.Itoa(c.MaxTokens)
	_, _ = w.Write([]byte(head + n + `,"final":true,"finish_reason":"length","completion_tokens":` + n + "}\n\n"))
}

// newRelayHost starts a host on a TCP socket whose only engine is at url, and returns its address.
func newRelayHost(b *testing.B, url string) (addr string, h *host) {
	b.Helper()
	s, hosts := newSystem(b, 0, 0, 1)
	b.Cleanup(s.close)
	h = hosts[0]
	h.MaxInFlight = 1 << 20
	h.relay.Engines = &engine.Client{}
	h.relay.Tickets = ticketFunc(func(context.Context, wire.TicketRequest) (ticket.Ticket, error) {
		g := wire.TicketResponse{Engine: "e1", URL: url, ModelItem: modelItem}
		return instantTicket{grant: g, migrated: make(chan struct{})}, nil
	})
	routes, err := (&websrv.Server{Name: "bench", Routes: h.Routes()}).Handler()
	if err != nil {
		b.Fatal(err)
	}
	srv := httptest.NewServer(routes)
	b.Cleanup(srv.Close)
	return srv.Listener.Addr().String(), h
}

// readStream sends a request on the caller's connection and reads the streamed response to its end.
func (c *benchCaller) readStream(b *testing.B) {
	if _, err := c.conn.Write(c.request); err != nil {
		b.Error(err)
		return
	}
	for {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			b.Error(err)
			return
		}
		if string(line) == "0\r\n" {
			_, _ = c.in.ReadSlice('\n')
			return
		}
	}
}

type benchCaller struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
}

func newBenchCaller(b *testing.B, addr string, tokens int) *benchCaller {
	b.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	body := fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, strings.Repeat("word ", 200), tokens)
	request := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
		"X-Figreel-Class: batch\r\nContent-Length: %d\r\n\r\n%s", secret, len(body), body)
	return &benchCaller{conn: conn, in: bufio.NewReader(conn), request: []byte(request)}
}

// cpuTime returns the user and system CPU time of the process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRelay measures streams through one host over loopback sockets. The callers and the engine run in the same
// process, so its CPU time is an upper bound of the host's; BenchmarkDirect measures their share.
func BenchmarkRelay(b *testing.B) {
	e := httptest.NewServer(http.HandlerFunc(fastEngine))
	defer e.Close()
	for _, tokens := range []int{1, 300} {
		for _, callers := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("tokens=%d/callers=%d", tokens, callers), func(b *testing.B) {
				addr, _ := newRelayHost(b, e.URL)
				measure(b, callers, tokens, func() func() {
					c := newBenchCaller(b, addr, tokens)
					return func() { c.readStream(b) }
				})
			})
		}
	}
}

// BenchmarkDirect measures callers that send requests straight to the engine, each on a new connection as a host does.
func BenchmarkDirect(b *testing.B) {
	e := httptest.NewServer(http.HandlerFunc(fastEngine))
	defer e.Close()
	for _, tokens := range []int{1, 300} {
		b.Run(fmt.Sprintf("tokens=%d/callers=16", tokens), func(b *testing.B) {
			body := fmt.Sprintf(`{"attempt_id":"a","prompt":%q,"max_tokens":%d}`, strings.Repeat("word ", 200), tokens)
			request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: e\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
				len(body), body)
			measure(b, 16, tokens, func() func() {
				return func() {
					conn, err := net.Dial("tcp", e.Listener.Addr().String())
					if err != nil {
						b.Error(err)
						return
					}
					defer func() { _ = conn.Close() }()
					(&benchCaller{conn: conn, in: bufio.NewReader(conn), request: []byte(request)}).readStream(b)
				}
			})
		})
	}
}

// measure executes b.N calls with the given number of concurrent callers and reports rates and CPU time.
func measure(b *testing.B, callers, tokens int, newCall func() func()) {
	b.Helper()
	calls := make([]func(), callers)
	for i := range calls {
		calls[i] = newCall()
	}
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime()
	var wg sync.WaitGroup
	for _, call := range calls {
		wg.Go(func() {
			for range work {
				call()
			}
		})
	}
	wg.Wait()
	cpuUsed, elapsed := cpuTime()-before, b.Elapsed()
	n := float64(b.N)
	b.ReportMetric(n/elapsed.Seconds(), "requests/s")
	b.ReportMetric(n*float64(tokens)/elapsed.Seconds(), "tokens/s")
	b.ReportMetric(float64(cpuUsed.Microseconds())/n, "cpu-µs/request")
}

// BenchmarkOpenStream measures the memory per open stream. The process contains the caller, the host and the engine.
func BenchmarkOpenStream(b *testing.B) {
	const streams = 1000
	stop := make(chan struct{})
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c engine.Call
		_ = json.NewDecoder(r.Body).Decode(&c)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "data: {\"attempt_id\":%q,\"index\":0,\"token\":\"a\"}\n\n", c.AttemptID)
		_ = http.NewResponseController(w).Flush()
		<-stop
	}))
	defer e.Close()
	defer close(stop)
	addr, h := newRelayHost(b, e.URL)
	h.relay.StallTimeout = time.Hour
	callers := make([]*benchCaller, streams)
	for i := range callers {
		callers[i] = newBenchCaller(b, addr, 2)
	}
	before := memoryInUse()
	for _, c := range callers {
		_, _ = c.conn.Write(c.request)
		for line := ""; !strings.HasPrefix(line, "data:"); {
			line, _ = c.in.ReadString('\n')
		}
	}
	b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KiB/stream")
}

// memoryInUse returns the bytes of heap and stack spans in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
