package h1_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/h1"
)

// exchange sends a request with a body of n bytes to a server that cuts its connection.
func exchange(t *testing.T, s *script.Cutter, n int) (*h1.Response, []byte, error) {
	t.Helper()
	s.IDHeader = "X-Id"
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	p := &h1.Pool{IDHeader: "X-Id"}
	res, err := p.Do(ctx, &h1.Request{
		Addr: addr, Method: http.MethodPost, Target: "/", Host: "h", ID: "a", Body: make([]byte, n),
		Header: http.Header{"X-Id": {"a"}},
	})
	if err != nil {
		return nil, nil, err
	}
	b, err := res.ReadAll(1 << 20)
	return res, b, err
}

// Guards against a part of a response that counts as a complete one because the failed write of the request has taken
// the error of the connection.
func TestResponseCutDuringUpload(t *testing.T) {
	for _, cut := range script.Cuts {
		for _, n := range []int{100, 64 << 10, 16 << 20} {
			if cut.CloseFirst && !cut.ReadAll && n < 16<<20 {
				continue // the kernel of the server takes the whole upload
			}
			t.Run(fmt.Sprint(cut.Name, ", ", n, " bytes"), func(t *testing.T) {
				for range 4 {
					s := &script.Cutter{Cut: cut, Response: "HTTP/1.1 200 OK\nX-Id: $ID\n\npart"}
					_, b, err := exchange(t, s, n)
					if cut.Complete && (err != nil || string(b) != "part") {
						t.Errorf("got %q, %v, want the complete response", b, err)
					}
					if !cut.Complete && !errors.Is(err, h1.ErrNoResponse) {
						t.Errorf("got %q, %v, want no response", b, err)
					}
				}
			})
		}
	}
}

// Guards against a status that no response has and that is skipped or passed on, and against what follows it on the
// connection being taken for a response.
func TestStatusOfResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\nX-Id: $ID\nContent-Length: 2\n\nok"
	informational := []string{"100", "102", "103", "199"}
	for i, status := range slices.Concat(informational, script.BadStatuses) {
		want := i < len(informational)
		for _, fields := range []string{"", "X-Id: $ID\n", "Content-Length: 0\n"} {
			s := &script.Cutter{
				Cut:      script.Cut{ReadAll: true, CloseFirst: true, Complete: true},
				Response: "HTTP/1.1 " + status + " X\n" + fields + "\n" + sound,
			}
			_, b, err := exchange(t, s, 10)
			if want && (err != nil || string(b) != "ok") || !want && !errors.Is(err, h1.ErrNoResponse) {
				t.Errorf("status %s, fields %q: got %q, %v", status, fields, b, err)
			}
		}
	}
}
