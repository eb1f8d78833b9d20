package xhttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/svcreg"
	"github.com/figreel/figreel/internal/weight"
	"github.com/figreel/figreel/internal/xhttp"
)

// A user is a client that is built on this package.
type user struct {
	name     string
	response string // a sound one; every part of it that is sent would be complete
	upload   bool   // its requests can be long
	call     func(ctx context.Context, url string, n int) error
}

var users = []user{
	{"xhttp", `{}`, true, func(ctx context.Context, url string, n int) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("x", n)))
		if err != nil {
			return err
		}
		resp, err := new(xhttp.Client).Do(r)
		if err != nil {
			return err
		}
		return xhttp.DecodeJSON(resp, 100, new(struct{}))
	}},
	{"plain", `{}`, true, func(ctx context.Context, url string, n int) error {
		resp, err := new(plain.Client).Forward(ctx, plain.Call{
			Method: http.MethodPost, URL: url, Body: strings.NewReader(strings.Repeat("x", n)), ContentLength: int64(n),
		})
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return err
	}},
	{"order", `{"boot_id":"b","applied":true}`, true, func(ctx context.Context, url string, n int) error {
		_, err := new(engine.Client).SendOrder(ctx, url, engine.Order{ID: "o", Item: strings.Repeat("x", n)})
		return err
	}},
	{"status of an engine", `{"boot_id":"b","items":[]}`, false, func(ctx context.Context, url string, _ int) error {
		_, err := new(engine.Client).Status(ctx, url)
		return err
	}},
	{"kvapi", `{"key":"k","version":1,"revision":1}`, true, func(ctx context.Context, url string, n int) error {
		// The name of a lease is not limited in its length.
		_, err := (&kvapi.Client{URL: url}).Put(ctx, kvapi.Write{Key: "k", LeaseID: strings.Repeat("x", n)})
		if errors.Is(err, kvapi.ErrOutcomeUnknown) || err == nil {
			return err
		}
		return nil
	}},
	{"svcreg", `{"cursor":1,"hosts":[],"upstreams":[]}`, false, func(ctx context.Context, url string, _ int) error {
		_, err := (&svcreg.Client{URL: url}).Fetch(ctx, 0)
		return err
	}},
	{"weight", `{"ok":true}`, false, func(ctx context.Context, url string, _ int) error {
		return (&weight.Client{URL: url}).Health(ctx)
	}},
}

// serveCut starts the server.
func serveCut(t *testing.T, s *script.Cutter, isTLS bool) (url string) {
	t.Helper()
	url = "http://"
	if isTLS {
		s.TLS, url = tlsConfig, "https://"
	}
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return url + addr
}

var tlsConfig, ca = script.TLS()

// TestMain makes the certificate of the servers one of the system's, which are read once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "xhttp")
	if err != nil {
		panic(err)
	}
	file := filepath.Join(dir, "ca.pem")
	if err := os.WriteFile(file, ca, 0o600); err != nil {
		panic(err)
	}
	_ = os.Setenv("SSL_CERT_FILE", file)
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against a response that counts as complete although its connection was reset, because the failed write of the
// request has taken the error of the connection.
func TestResponseCutDuringUpload(t *testing.T) {
	for _, u := range users {
		for _, cut := range script.Cuts {
			for _, n := range []int{100, 64 << 10, 16 << 20} {
				short := n < 16<<20
				if n > 100 && !u.upload || cut.CloseFirst && !cut.ReadAll && short {
					continue // the kernel of the server takes the whole upload
				}
				for _, isTLS := range []bool{false, true} {
					if isTLS && !short && u.name != "xhttp" {
						continue // the others differ only in the requests that they send
					}
					t.Run(fmt.Sprint(u.name, ", ", cut.Name, ", ", n, " bytes, TLS ", isTLS), func(t *testing.T) {
						const head = "HTTP/1.1 200 OK\nContent-Type: application/json\n\n"
						url := serveCut(t, &script.Cutter{Cut: cut, Response: head + u.response}, isTLS)
						if err := u.call(t.Context(), url, n); (err == nil) != cut.Complete {
							t.Errorf("%v, complete is %t", err, cut.Complete)
						}
					})
				}
			}
		}
	}
}

// Guards against a TLS connection that anyone on the way can end, and whose response then counts as complete.
func TestEndWithoutNotification(t *testing.T) {
	const response = "HTTP/1.1 200 OK\nContent-Type: application/json\n\n{}"
	clean := script.Cut{ReadAll: true, CloseFirst: true, Complete: true}
	url := serveCut(t, &script.Cutter{Cut: clean, Response: response, NoNotify: true}, true)
	if err := users[0].call(t.Context(), url, 10); err == nil {
		t.Error("the response counts as complete")
	}
}

// Guards against a status that no response has and that is passed on, and against informational responses that are not
// skipped.
func TestStatusOfResponse(t *testing.T) {
	for _, u := range users {
		sound := fmt.Sprintf("HTTP/1.1 200 OK\nContent-Type: application/json\nContent-Length: %d\n\n%s",
			len(u.response), u.response)
		for _, status := range append([]string{"102", "103"}, script.BadStatuses...) {
			informational := status[0] == '1'
			for _, fields := range []string{"", "Content-Length: 0\n"} {
				url := serveCut(t, &script.Cutter{
					Cut:      script.Cut{ReadAll: true, CloseFirst: true, Complete: true},
					Response: "HTTP/1.1 " + status + " X\n" + fields + "\n" + sound,
				}, false)
				if err := u.call(t.Context(), url, 10); (err == nil) != informational {
					t.Errorf("%s: status %s: %v", u.name, status, err)
				}
			}
		}
	}
}
