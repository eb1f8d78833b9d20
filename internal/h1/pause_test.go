package h1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/h1"
)

// Guards against a call that is lost because its upstream, whose machine acknowledges all that it is sent, reads
// nothing of a long request for a while.
func TestUploadToSlowReader(t *testing.T) {
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
		_ = nc.(*net.TCPConn).SetReadBuffer(64 << 10)
		r, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		time.Sleep(3 * time.Second)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
	}()
	p := &h1.Pool{IDHeader: "Id"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	res, err := p.Do(ctx, &h1.Request{
		Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "x", ID: "a", Body: make([]byte, 1<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	if b, err := res.ReadAll(10); err != nil || string(b) != "ok" {
		t.Errorf("got %q, %v", b, err)
	}
}
