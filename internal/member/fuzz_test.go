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
	// oneMessage is an exchange whose peer sends one message of arbitrary bytes.
	oneMessage struct{ body []byte }

	noDialer struct{}
)

func (c *oneMessage) Send(v any) error {
	_, err := wire.Marshal(v)
	return err
}

func (c *oneMessage) Recv(v any) error {
	if c.body == nil {
		return io.EOF
	}
	body := c.body
	c.body = nil
	return wire.Unmarshal(body, v)
}

func (c *oneMessage) Close() error { return nil }

func (noDialer) Open(context.Context, string, wire.Kind) (wire.Stream, error) {
	return nil, errors.New("unreachable")
}

// Guards against messages that panic or leave the digest different from the table, which would never settle.
func FuzzHandlers(f *testing.F) {
	kinds := []wire.Kind{wire.KindPing, wire.KindProbe, wire.KindJoin}
	members := []wire.Member{host(1, 3, wire.Alive), host(0, 9, wire.Dead), host(2, 1, wire.Leaving)}
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
		table := &Table{Self: host(0, 1, wire.Alive), Dialer: noDialer{}, Rand: rand.New(rand.NewPCG(1, 1))}
		handlers := table.Handlers()
		for range 2 {
			k := kinds[int(kind)%len(kinds)]
			handlers[k](context.Background(), nameOf(1), k, &oneMessage{body: body})
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
		if size := sizeOf(table.compose(nameOf(1))); size > maxPingBytes {
			t.Errorf("ping of %d bytes", size)
		}
	})
}
