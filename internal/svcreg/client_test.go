package svcreg_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/hosts"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/svcreg"
	"github.com/figreel/figreel/internal/xhttp"
)

func init() { logx.Disable() }

// TestCursor guards against a list that is sent in full although it is unchanged, or reported as unchanged after a
// change.
func TestCursor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		l := &hosts.Registry{Staleness: 3 * time.Second}
		defer n.Serve("l:80", l)()
		c := &svcreg.Client{URL: "http://l:80", HTTP: xhttp.Client{Dial: n.Dial}}
		list := []svcreg.Host{{Name: "h1", Addr: "127.0.0.1:7000", Leaving: true}}
		l.Set(list, []svcreg.Upstream{{Name: "e1"}})
		steps := []struct {
			name      string
			after     time.Duration
			unchanged bool
			hosts     int
		}{
			{"before the propagation delay", 0, false, 0},
			{"still before the propagation delay", 2 * time.Second, true, 0},
			{"after the propagation delay", time.Second, false, 1},
			{"unchanged", time.Second, true, 0},
		}
		cursor := int64(0)
		for _, s := range steps {
			time.Sleep(s.after)
			got, err := c.Fetch(t.Context(), cursor)
			if err != nil || got.Unchanged != s.unchanged || len(got.Hosts) != s.hosts {
				t.Errorf("%s: got %+v, %v", s.name, got, err)
			}
			cursor = got.Cursor
		}
	})
}

// FuzzAnswers guards against an invalid response that makes the client panic or is taken for an empty list.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status uint16, contentType string, body []byte) {
		var n memnet.Net
		l := new(hosts.Registry)
		defer n.Serve("l:80", l)()
		l.Fault.Set(fault.Spec{Response: &fault.Response{
			Status: 200 + int(status%400), ContentType: contentType, Body: body,
		}})
		c := &svcreg.Client{URL: "http://l:80", HTTP: xhttp.Client{Dial: n.Dial}}
		got, err := c.Fetch(context.Background(), 7)
		if err == nil && !got.Unchanged && (got.Hosts == nil || got.Upstreams == nil) {
			t.Errorf("list %+v from %q", got, body)
		}
	})
}
