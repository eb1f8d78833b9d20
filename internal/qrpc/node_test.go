package qrpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/figreel/figreel/internal/certs"
	"github.com/figreel/figreel/internal/wire"
)

// testTimeout only bounds a failing test.
const testTimeout = 20 * time.Second

func echo(_ context.Context, from string, _ wire.Kind, c wire.Stream) {
	for {
		var p wire.Ping
		if c.Recv(&p) != nil {
			return
		}
		p.From.CallerURL = from
		if c.Send(p) != nil {
			return
		}
	}
}

func authority(t testing.TB) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// startNode runs a node until the returned stop function is called or the test ends.
func startNode(t testing.TB, a *certs.Authority, name string, set ...func(*Endpoint)) (*Endpoint, string, func()) {
	t.Helper()
	cert, err := a.IssueHost(name)
	if err != nil {
		t.Fatal(err)
	}
	n := &Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: a.Pool}
	n.Handlers = map[wire.Kind]wire.Handler{wire.KindPing: echo}
	for _, f := range set {
		f(n)
	}
	bound, err := n.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	stop := func() {
		cancel()
		done <- <-done
	}
	t.Cleanup(stop)
	return n, bound.String(), stop
}

func exchangePing(c wire.Stream) error {
	if err := c.Send(wire.Ping{}); err != nil {
		return err
	}
	return c.Recv(new(wire.Ping))
}

func ping(t testing.TB, n *Endpoint, addr string) (wire.Ping, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var got wire.Ping
	err := wire.Call(ctx, n, addr, wire.KindPing, wire.Ping{Revision: 7}, &got)
	return got, err
}

// Guards against a second connection for the answering direction and against a wrong peer name.
func TestExchangesReuseOneConnectionInBothDirections(t *testing.T) {
	a := authority(t)
	one, addrOne, _ := startNode(t, a, "one")
	two, addrTwo, _ := startNode(t, a, "two")
	for range 3 {
		got, err := ping(t, one, addrTwo)
		if err != nil || got.Revision != 7 || got.From.CallerURL != "one" {
			t.Fatalf("got %+v, %v", got, err)
		}
	}
	if got, err := ping(t, two, addrOne); err != nil || got.From.CallerURL != "two" {
		t.Fatalf("reverse: got %+v, %v", got, err)
	}
	if one.Connections() != 1 || two.Connections() != 1 {
		t.Errorf("links: %d and %d, want 1 and 1", one.Connections(), two.Connections())
	}
}

// Guards against serving a host whose certificate is missing or signed by another authority.
func TestForeignCertificateIsRefusedAndCounted(t *testing.T) {
	a := authority(t)
	server, addr, _ := startNode(t, a, "server")
	foreign, _, _ := startNode(t, authority(t), "server", func(n *Endpoint) { n.CA = a.Pool })
	if _, err := ping(t, foreign, addr); err == nil {
		t.Error("foreign certificate was accepted")
	}
	bare, _, _ := startNode(t, a, "bare")
	bare.Cert.Certificate = nil // Set after Listen, which needs a certificate to serve.
	if _, err := ping(t, bare, addr); err == nil {
		t.Error("missing certificate was accepted")
	}
	if v := server.Stats.Events.Get(eventCertRefused); v == nil || v.String() != "2" {
		t.Errorf("refused certificates counted: %v, want 2", v)
	}
}

// Guards against frames that panic, allocate what they announce, or leave the stream open.
func TestBadFramesEndTheStreamAndAreCounted(t *testing.T) {
	kind, err := encodeFrame(opening{Kind: wire.KindPing})
	if err != nil {
		t.Fatal(err)
	}
	unknown, _ := encodeFrame(opening{Kind: "other"})
	tests := []struct {
		give  string
		bytes []byte
		event string
		code  quic.StreamErrorCode
	}{
		{"not CBOR", append(bytes.Clone(kind), 0, 0, 0, 1, 0xff), eventMalformed, codeMalformed},
		{"wrong type", append(bytes.Clone(kind), 0, 0, 0, 1, 0x01), eventMalformed, codeMalformed},
		{"oversized", append(bytes.Clone(kind), 0x7f, 0, 0, 0), eventOversized, codeOversized},
		{"oversized opening", binary.BigEndian.AppendUint32(nil, 65), eventOversized, codeOversized},
		{"unknown kind", unknown, eventUnknownKind, codeUnknownKind},
	}
	a := authority(t)
	server, addr, _ := startNode(t, a, "server")
	client, _, _ := startNode(t, a, "client")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, tt := range tests {
		server.Stats.Events.Init()
		l, _, err := client.connect(ctx, netip.MustParseAddrPort(addr))
		if err != nil {
			t.Fatal(err)
		}
		stream, err := l.open(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := stream.Write(tt.bytes); err != nil {
			t.Fatal(err)
		}
		_, err = io.ReadAll(stream)
		var reset *quic.StreamError
		if !errors.As(err, &reset) || reset.ErrorCode != tt.code {
			t.Errorf("%s: got %v, want code %d", tt.give, err, tt.code)
		}
		if v := server.Stats.Events.Get(tt.event); v == nil || v.String() != "1" {
			t.Errorf("%s: %s counted %v, want 1", tt.give, tt.event, v)
		}
	}
}

// Guards against peers that wait for the idle timeout of a connection whose host was replaced.
func TestRestartedHostIsReachedAgain(t *testing.T) {
	a := authority(t)
	client, _, _ := startNode(t, a, "client")
	server, addr, stop := startNode(t, a, "server")
	if _, err := ping(t, client, addr); err != nil {
		t.Fatal(err)
	}
	// Ends the socket first, so that no close frame reaches the client.
	_ = server.transport.Conn.Close()
	stop()
	cert := server.Cert
	again := &Endpoint{Addr: addr, Cert: cert, CA: a.Pool, Handlers: server.Handlers}
	if _, err := again.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = again.Run(ctx) }()
	// The first ping may find the old connection and be reset.
	if _, err := ping(t, client, addr); err != nil {
		if _, err = ping(t, client, addr); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against tickets that stay held by a dead host: its open streams must fail, and only then.
func TestSilentPeerIsDetectedWhileStreamsAreOpen(t *testing.T) {
	a := authority(t)
	server, addr, _ := startNode(t, a, "server")
	client, _, _ := startNode(t, a, "client", func(n *Endpoint) { n.DeadAfter = time.Second })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := client.Open(ctx, addr, wire.KindPing)
	if err != nil {
		t.Fatal(err)
	}
	if err := exchangePing(c); err != nil {
		t.Fatal(err)
	}
	_ = server.transport.Conn.Close()
	if err := c.Recv(new(wire.Ping)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the error of a dead connection", err)
	}
	if v := client.Stats.Events.Get(eventDead); v == nil || v.String() != "1" {
		t.Errorf("dead links counted: %v, want 1", v)
	}
}

// Guards against taking a peer for dead that only has nothing to send, such as a dispatcher whose queue is long.
func TestQuietStreamStaysOpen(t *testing.T) {
	const deadAfter = 2 * time.Second
	a := authority(t)
	_, addr, _ := startNode(t, a, "server", func(n *Endpoint) {
		n.DeadAfter = deadAfter
		n.Handlers[wire.KindTicket] = func(ctx context.Context, _ string, _ wire.Kind, c wire.Stream) {
			select {
			case <-time.After(2*deadAfter + deadAfter/2):
				_ = c.Send(wire.TicketResponse{Ticket: "t"})
			case <-ctx.Done():
			}
		}
	})
	client, _, _ := startNode(t, a, "client", func(n *Endpoint) { n.DeadAfter = deadAfter })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var grant wire.TicketResponse
	if err := wire.Call(ctx, client, addr, wire.KindTicket, wire.TicketRequest{}, &grant); err != nil ||
		grant.Ticket != "t" {
		t.Errorf("got %+v, %v", grant, err)
	}
}

// Guards against a peer that exhausts memory with open streams.
func TestStreamsBeyondTheBoundAreRefused(t *testing.T) {
	a := authority(t)
	_, addr, _ := startNode(t, a, "server", func(n *Endpoint) { n.MaxStreams = 1 })
	client, _, _ := startNode(t, a, "client")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	held, err := client.Open(ctx, addr, wire.KindPing)
	if err != nil {
		t.Fatal(err)
	}
	if err := exchangePing(held); err != nil {
		t.Fatal(err)
	}
	if _, err := ping(t, client, addr); err == nil {
		t.Error("a stream beyond the bound was served")
	}
	// The server ends its side after the client's, so the next stream may come too early once.
	_ = held.Close()
	for ctx.Err() == nil {
		if _, err := ping(t, client, addr); err == nil {
			return
		}
	}
	t.Error("streams stay refused after the held one was closed")
}

func FuzzDecodeFrame(f *testing.F) {
	for _, v := range []any{opening{Kind: wire.KindPing}, wire.Ping{Members: []wire.Member{{Name: "a"}}}} {
		frame, err := encodeFrame(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		for _, v := range []any{
			new(opening), new(wire.Ping), new(wire.Table), new(wire.TicketRequest), new(wire.OpenTicket),
			new(wire.Document), new(wire.PoolView), new(wire.LoadRequest),
		} {
			err := decodeFrame(bytes.NewReader(frame), v, wire.MaxFrameBytes)
			if err == nil && len(frame) <= headerBytes {
				t.Errorf("%T: %d bytes were accepted", v, len(frame))
			}
		}
	})
}
