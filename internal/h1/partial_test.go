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

// Guards against a request that counts as not sent although a part of it was: an upstream closes its side of an idle
// connection and resets it while the host writes the request. The upstream may have executed what it got.
func TestResetWhileWriting(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	got := make(chan int, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		tc := nc.(*net.TCPConn)
		_ = tc.SetReadBuffer(64 << 10)
		br := bufio.NewReader(nc)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
		n, _ := br.Read(make([]byte, 1024))
		got <- n
		_ = tc.CloseWrite()
		time.Sleep(50 * time.Millisecond)
		_ = tc.SetLinger(0)
		_ = tc.Close()
	}()
	p := &h1.Pool{IDHeader: "Id"}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := &h1.Request{Addr: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "x", ID: "a"}
	res, err := p.Do(ctx, r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := res.ReadAll(10); err != nil {
		t.Fatal(err)
	}
	// Longer than what the kernel buffers of both sides hold. The receiving side would grow to more without a fixed size.
	r.ID = "b"
	r.Header = http.Header{"Long": {strings.Repeat("x", 16<<20)}}
	_, err = p.Do(ctx, r)
	if n := <-got; n == 0 {
		t.Fatal("the upstream got nothing")
	}
	if !errors.Is(err, h1.ErrNoResponse) {
		t.Errorf("error %v, want %v", err, h1.ErrNoResponse)
	}
}
