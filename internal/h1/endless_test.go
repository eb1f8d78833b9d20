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

// maxUnread is the most that a server can send to a client that does not read on: what the client reads and the buffers
// of both sockets.
const maxUnread = 32 << 20

// endless starts a server that sends head and then repeats the rest until the client closes the connection. It returns
// how many bytes were sent.
func endless(t *testing.T, head, rest string) (addr string, sent <-chan int) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	total := make(chan int, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
			return
		}
		n, err := io.WriteString(nc, head)
		block := strings.Repeat(rest, 1+4096/len(rest))
		for err == nil {
			var more int
			more, err = io.WriteString(nc, block)
			n += more
		}
		total <- n
	}()
	return l.Addr().String(), total
}

// checkEndless sends a request to an endless server and passes what comes of it to check. It fails if the exchange takes
// until its deadline, or if the server could send more than maxUnread.
func checkEndless(t *testing.T, head, rest string, check func(*h1.Response, error)) {
	t.Helper()
	addr, sent := endless(t, head, rest)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	p := &h1.Pool{IDHeader: "X-Id"}
	check(p.Do(ctx, &h1.Request{Addr: addr, Method: http.MethodGet, Target: "/", Host: "h", ID: "mine"}))
	if ctx.Err() != nil {
		t.Fatal("the exchange ended only with its deadline")
	}
	if n := <-sent; n > maxUnread {
		t.Errorf("%d bytes were accepted", n)
	}
}

// Guards against an upstream in trouble that sends bytes without end in place of a response: they must end the attempt
// after a bounded number of bytes, and never count as a response.
func TestEndlessHead(t *testing.T) {
	for _, tt := range []struct{ name, head, rest string }{
		{"no line end", "", "x"},
		{"status line without end", "HTTP/1.1 200 ", "O"},
		{"header field without end", "HTTP/1.1 200 OK\r\nX-Field: ", "x"},
		{"header fields without end", "HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"},
		{"informational responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"empty lines without end", "", "\r\n"},
		{
			"body of another request without end",
			"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 99999999999\r\n\r\n", "x",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			checkEndless(t, tt.head, tt.rest, func(_ *h1.Response, err error) {
				if !errors.Is(err, h1.ErrNoResponse) {
					t.Fatalf("error %v, want no response", err)
				}
			})
		})
	}
}

// Guards against a body without end that is read for as long as the upstream sends it.
func TestEndlessBody(t *testing.T) {
	for _, tt := range []struct{ name, head, rest string }{
		{"no length", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nConnection: close\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		{
			"chunk extension",
			"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x",
		},
		{
			"trailers",
			"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: x\r\n",
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			checkEndless(t, tt.head, tt.rest, func(res *h1.Response, err error) {
				if err != nil {
					t.Fatal(err)
				}
				if b, err := res.ReadAll(64 << 10); err == nil {
					t.Fatalf("%d bytes count as a complete body", len(b))
				}
			})
		})
	}
}

// FuzzReadResponse guards against input that is no response, or is cut anywhere, but counts as a complete one, or that
// is read without end.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 5\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: mine\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: -1\r\n\r\nok", "\r\n", "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, input string) {
		if len(input) > 1<<16 {
			t.Skip("longer inputs are covered by TestEndlessHead")
		}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
				_, _ = io.WriteString(nc, input)
			}
			_ = nc.Close()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		p := &h1.Pool{IDHeader: "X-Id"}
		res, err := p.Do(ctx, &h1.Request{
			Addr: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", ID: "mine",
		})
		if err != nil {
			return
		}
		body, err := res.ReadAll(1 << 16)
		if ctx.Err() != nil {
			t.Fatal("the exchange ended only with its deadline")
		}
		if err == nil && !strings.Contains(input, string(body)) && !strings.Contains(strings.ToLower(input), "chunked") {
			t.Errorf("body %q is not part of the input %q", body, input)
		}
	})
}
