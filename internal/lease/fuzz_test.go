package lease

import (
	"context"
	"testing"

	"github.com/figreel/figreel/internal/wire"
)

// singleMessageStream is a stream whose peer sends one message of arbitrary bytes.
type singleMessageStream struct {
	body []byte
	sent wire.ProbeResult
}

func (c *singleMessageStream) Send(v any) error {
	c.sent, _ = v.(wire.ProbeResult)
	return nil
}

func (c *singleMessageStream) Recv(v any) error { return wire.Unmarshal(c.body, v) }

func (c *singleMessageStream) Close() error { return nil }

// Guards against handover messages that cause a panic, or that are acknowledged for a pool without a candidate.
func FuzzServeHand(f *testing.F) {
	b, err := wire.Marshal(wire.Handover{Pool: "p"})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, body []byte) {
		h := &Holder{Pool: "p"}
		requested := ""
		c := &singleMessageStream{body: body}
		ServeHandover(func(pool string) *Holder {
			requested = pool
			if pool == h.Pool {
				return h
			}
			return nil
		})(context.Background(), "peer", wire.KindHandover, c)
		if c.sent.OK != (requested == h.Pool) {
			t.Errorf("pool %q acknowledged: %v", requested, c.sent.OK)
		}
	})
}
