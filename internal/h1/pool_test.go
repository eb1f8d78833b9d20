package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/h1"
)

// serve answers the requests of each connection with the scripts in turn; LATE waits before the rest is sent.
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
				now, late, waits := strings.Cut(scripts[next], "LATE")
				next++
				_, _ = io.WriteString(nc, strings.ReplaceAll(now, "\n", "\r\n"))
				if waits {
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(nc, strings.ReplaceAll(late, "\n", "\r\n"))
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

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\nX-Id: " + id + "\nContent-Length: 2\n\n" + body
}

// Guards against answers that are given to another request, and connections that are used again when they must not be.
func TestReuse(t *testing.T) {
	for _, tt := range []struct {
		name    string
		scripts []string
		want    []string // bodies, or an empty string for an error
		conns   int
	}{
		{"kept", []string{answer("1", "r1"), answer("2", "r2")}, []string{"r1", "r2"}, 1},
		{"closed by the upstream", []string{
			"HTTP/1.1 200 OK\nX-Id: 1\nConnection: close\nContent-Length: 2\n\nr1", answer("2", "r2"),
		}, []string{"r1", "r2"}, 2},
		{"second answer at once", []string{answer("1", "r1") + answer("1", "xx"), answer("2", "r2")}, []string{"r1", "r2"}, 2},
		{"second answer late", []string{answer("1", "r1") + "LATE" + answer("1", "xx"), answer("2", "r2")}, []string{"r1", "r2"}, 2},
		{"answer to another request first", []string{answer("1", "r1"), answer("9", "xx") + answer("2", "r2")}, []string{"r1", "r2"}, 1},
		{"answer without an id on a used connection", []string{
			answer("1", "r1"), "HTTP/1.1 200 OK\nContent-Length: 2\n\nxx",
		}, []string{"r1", ""}, 1},
		{"body without a length", []string{"HTTP/1.1 200 OK\nX-Id: 1\nConnection: close\n\nr1", answer("2", "r2")}, []string{"r1", "r2"}, 2},
		{"idle limit of a second", []string{
			"HTTP/1.1 200 OK\nX-Id: 1\nKeep-Alive: timeout=1\nContent-Length: 2\n\nr1", answer("2", "r2"),
		}, []string{"r1", "r2"}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			addr, conns := serve(t, tt.scripts...)
			p := &h1.Pool{IDHeader: "X-Id"}
			for i, want := range tt.want {
				got := ""
				a, err := p.Do(context.Background(), &h1.Request{
					Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", ID: string(rune('1' + i)),
				})
				if err == nil {
					b, _ := a.ReadAll(100)
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

// Guards against a request that is taken for unsent although it may have run, and the reverse.
func TestErrors(t *testing.T) {
	p := &h1.Pool{IDHeader: "X-Id"}
	r := &h1.Request{Addr: "127.0.0.1:1", Method: http.MethodGet, Target: "/", Host: "h", ID: "1"}
	if _, err := p.Do(context.Background(), r); !errors.Is(err, h1.ErrNotSent) {
		t.Errorf("nobody listens: %v", err)
	}
	r.Addr, _ = serve(t, "")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := p.Do(ctx, r); !errors.Is(err, h1.ErrNoResponse) {
		t.Errorf("no answer: %v", err)
	}
	r.Addr, _ = serve(t, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 9\nConnection: close\n\nr1")
	a, err := p.Do(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := a.ReadAll(100); err == nil {
		t.Errorf("short body %q is taken for whole", b)
	}
}

// Guards against a deadlock with an upstream that answers before it has read a long body.
func TestEarlyAnswer(t *testing.T) {
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
	a, err := p.Do(context.Background(), &h1.Request{
		Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", ID: "1", Body: make([]byte, 32<<20),
	})
	if err != nil || a.Status != http.StatusServiceUnavailable {
		t.Fatalf("%+v, %v", a, err)
	}
	if _, err := a.ReadAll(10); err != nil {
		t.Error(err)
	}
}
