package kvapi_test

import (
	"context"
	"fmt"
	"net/http"
	"path"
	"testing"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/script"
	"github.com/figreel/figreel/internal/kvapi"
)

// copyingStore responds to each kind of call with the given response, after a copy of the response before on the same
// connection.
func copyingStore(t *testing.T, responses map[string]string) (baseURL string) {
	t.Helper()
	s := &script.Server{Copies: true, Answer: func(r *http.Request) string { return responses[path.Base(r.URL.Path)] }}
	addr, err := s.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return "http://" + addr
}

// Guards against a write or renewal that counts as done because of a late copy of the response to an earlier call, so
// that two hosts hold one claim or lease.
func TestLateCopy(t *testing.T) {
	response := func(status int, body string) string {
		return fmt.Sprintf("HTTP/1.1 %d S\nContent-Type: application/json\nContent-Length: %d\n\n%s",
			status, len(body), body)
	}
	entry := response(http.StatusOK, `{"key":"a","value":"","version":3,"revision":3}`)
	conflict := response(http.StatusConflict, `{"code":"conflict"}`)
	for _, tt := range []struct {
		name      string
		responses map[string]string
		calls     func(ctx context.Context, c *kvapi.Client) error
		want      error
	}{
		{
			"read before a conflicting write",
			map[string]string{"get": entry, "put": conflict},
			func(ctx context.Context, c *kvapi.Client) error {
				e, err := c.Get(ctx, "a")
				if err != nil {
					return err
				}
				_, err = c.Put(ctx, kvapi.Write{Key: "a", IfVersion: e.Version})
				return err
			},
			kvapi.ErrConflict,
		},
		{
			"revocation before the renewal of another lease",
			map[string]string{
				"revoke": response(http.StatusOK, "{}"), "renew": response(http.StatusGone, `{"code":"lease_gone"}`),
			},
			func(ctx context.Context, c *kvapi.Client) error {
				if err := c.Revoke(ctx, "1"); err != nil {
					return err
				}
				return c.Renew(ctx, "2")
			},
			kvapi.ErrLeaseNotFound,
		},
		{
			"conflict before a write that takes effect",
			map[string]string{"delete": conflict, "put": entry},
			func(ctx context.Context, c *kvapi.Client) error {
				if err := c.Delete(ctx, "b", 1); !errors.Is(err, kvapi.ErrConflict) {
					return err
				}
				_, err := c.Put(ctx, kvapi.Write{Key: "a", IfVersion: kvapi.AnyVersion})
				return err
			},
			nil,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := &kvapi.Client{URL: copyingStore(t, tt.responses)}
			wantErr(t, tt.calls(t.Context(), c), tt.want)
		})
	}
}
