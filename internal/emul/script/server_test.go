package script_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/figreel/figreel/internal/emul/script"
)

// Guards against tests that pass because the server sends no copies, or sends them on other connections.
func TestCopies(t *testing.T) {
	for _, tt := range []struct {
		name   string
		copies bool
		want   []string // bodies of the responses on one connection
	}{
		{"without copies", false, []string{"/a", "/b"}},
		{"with copies", true, []string{"/a", "/a", "/b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &script.Server{Copies: tt.copies, IDHeader: "X-Id", Answer: func(r *http.Request) string {
				return "HTTP/1.1 200 OK\nX-Id: $ID\nContent-Length: 2\n\n" + r.URL.Path
			}}
			addr, err := s.Listen()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			nc, err := net.Dial("tcp4", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			_, _ = io.WriteString(nc, "GET /a HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\n\r\n")
			br := bufio.NewReader(nc)
			for i, want := range tt.want {
				res, err := http.ReadResponse(br, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(res.Body)
				if err != nil || string(body) != want || res.Header.Get("X-Id") != map[string]string{"/a": "1", "/b": "2"}[want] {
					t.Errorf("response %d: %q, id %q, %v, want %q", i, body, res.Header.Get("X-Id"), err, want)
				}
			}
			if s.Conns() != 1 {
				t.Errorf("%d connections", s.Conns())
			}
		})
	}
}
