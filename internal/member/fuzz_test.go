package member

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

type (
	// singleMessageStream is a stream whose peer sends one message of arbitrary bytes.
	singleMessageStream struct{ body []byte }

	// failingDialer is a network on which no host can be reached.
	failingDialer struct{}
)

func (c *singleMessageStream) Send(v any) error {
	_, err := wire.Marshal(v)
	return err
}

func (c *singleMessageStream) Recv(v any) error {
	if c.body == nil {
		return io.EOF
	}
	body := c.body
	c.body = nil
	return wire.Unmarshal(body, v)
}

func (c *singleMessageStream) Close() error { return nil }

func (failingDialer) Open(context.Context, string, wire.Kind) (wire.Stream, error) {
	return nil, errors.New("unreachable")
}

// Guards against messages that cause a panic, or that leave a digest different from that of the table's entries, with
// which the host would exchange full tables forever.
func FuzzHandlers(f *testing.F) {
	kinds := []wire.Kind{wire.KindPing, wire.KindProbe, wire.KindJoin}
	members := []wire.Member{member(1, 3, wire.Alive), member(0, 9, wire.Dead), member(2, 1, wire.Leaving)}
	owners := []wire.Owner{{Pool: "p", Host: "h", Epoch: 3}}
	departures := []wire.Departure{{Upstream: "e", Seq: 2}}
	for kind, v := range []any{
		wire.Ping{From: members[0], Members: members, Owners: owners, Departures: departures},
		wire.Probe{Target: members[0]},
		wire.Table{Members: members, Owners: owners, Departures: departures},
	} {
		b, err := wire.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), b)
	}
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		table := &Table{Self: member(0, 1, wire.Alive), Dialer: failingDialer{}, Rand: rand.New(rand.NewPCG(1, 1))}
		handlers := table.Handlers()
		for range 2 {
			k := kinds[int(kind)%len(kinds)]
			handlers[k](context.Background(), nameOf(1), k, &singleMessageStream{body: body})
		}
		s := table.state
		if s == nil {
			return
		}
		digest := memberHash(s.self)
		for _, r := range s.members {
			digest ^= memberHash(r.member)
		}
		for _, o := range s.owners {
			digest ^= ownerHash(o)
		}
		for _, d := range s.departures {
			digest ^= departureHash(d)
		}
		if digest != s.digest {
			t.Error("the digest does not match the table")
		}
		if size := sizeOf(table.newPing(nameOf(1))); size > maxPingBytes {
			t.Errorf("ping of %d bytes", size)
		}
	})
}
