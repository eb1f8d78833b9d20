package weight_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/emul/memnet"
	"github.com/figreel/figreel/internal/emul/wstore"
	"github.com/figreel/figreel/internal/weight"
	"github.com/figreel/figreel/internal/xhttp"
)

func init() { logx.Disable() }

// TestCatalog guards against a missing item that is taken for one that needs no memory.
func TestCatalog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Net
		defer n.Serve("w:80", &wstore.Store{Items: []weight.Item{{Name: "m@1", MemoryMB: 7}}})()
		c := &weight.Client{URL: "http://w:80", HTTP: xhttp.Client{Dial: n.Dial}}
		if it, err := c.Item(t.Context(), "m@1"); err != nil || it.MemoryMB != 7 {
			t.Errorf("got %+v, %v", it, err)
		}
		if it, err := c.Item(t.Context(), "m@2"); !errors.Is(err, weight.ErrNotFound) {
			t.Errorf("got %+v, %v, want ErrNotFound", it, err)
		}
		if err := c.Health(t.Context()); err != nil {
			t.Error(err)
		}
	})
}

// FuzzAnswers guards against a response of a faulty weight store that makes the client panic, or that is accepted
// although it is invalid.
func FuzzAnswers(f *testing.F) {
	f.Fuzz(func(t *testing.T, status uint16, contentType string, body []byte) {
		var n memnet.Net
		s := new(wstore.Store)
		defer n.Serve("w:80", s)()
		s.Fault.Set(fault.Spec{Response: &fault.Response{
			Status: 200 + int(status%400), ContentType: contentType, Body: body,
		}})
		c := &weight.Client{URL: "http://w:80", HTTP: xhttp.Client{Dial: n.Dial}}
		if it, err := c.Item(context.Background(), "m@1"); err == nil && (it.Name != "m@1" || it.MemoryMB < 1) {
			t.Errorf("item %+v from %q", it, body)
		}
		_ = c.Health(context.Background())
	})
}
