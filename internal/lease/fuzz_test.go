package lease

import (
	"context"
	"testing"

	"github.com/figreel/figreel/internal/wire"
)

// oneMessage is an exchange whose peer sends one message of arbitrary bytes.
type oneMessage struct {
	body []byte
	sent wire.ProbeResult
}

func (c *oneMessage) Send(v any) error {
	c.sent, _ = v.(wire.ProbeResult)
	return nil
}

func (c *oneMessage) Recv(v any) error { return wire.Unmarshal(c.body, v) }

func (c *oneMessage) Close() error { return nil }

// Guards against hand-over messages that panic or are acknowledged without a holder of that pool.
func FuzzServeHand(f *testing.F) {
	b, err := wire.Marshal(wire.Handover{Pool: "p"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, body []byte) {
		h := &Holder{Pool: "p"}
		asked := ""
		c := &oneMessage{body: body}
		ServeHandover(func(pool string) *Holder {
			asked = pool
			if pool == h.Pool {
				return h
			}
			return nil
		})(context.Background(), "peer", wire.KindHandover, c)
		if c.sent.OK != (asked == h.Pool) {
			t.Errorf("pool %q acknowledged: %v", asked, c.sent.OK)
		}
	})
}
