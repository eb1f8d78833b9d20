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

// testTimeout only limits how long a failing test takes.
const testTimeout = 20 * time.Second

// echo sends each ping back with the peer name from its certificate in From.CallerURL.
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

func newAuthority(t testing.TB) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority(time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// startEndpoint runs an endpoint until the returned stop function is called or the test ends.
func startEndpoint(t testing.TB, a *certs.Authority, name string, set ...func(*Endpoint)) (*Endpoint, string, func()) {
	t.Helper()
	cert, err := a.IssueHost(name)
	if err != nil {
		t.Fatal(err)
	}
	e := &Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: a.Pool}
	e.Handlers = map[wire.Kind]wire.Handler{wire.KindPing: echo}
	for _, f := range set {
		f(e)
	}
	bound, err := e.Listen()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stop := func() {
		cancel()
		done <- <-done
	}
	t.Cleanup(stop)
	return e, bound.String(), stop
}

func sendPing(c wire.Stream) error {
	if err := c.Send(wire.Ping{}); err != nil {
		return err
	}
	return c.Recv(new(wire.Ping))
}

func ping(t testing.TB, e *Endpoint, addr string) (wire.Ping, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var got wire.Ping
	err := wire.Call(ctx, e, addr, wire.KindPing, wire.Ping{Revision: 7}, &got)
	return got, err
}

// Guards against a second connection for streams that the accepting side opens, and against a wrong peer name.
func TestStreamsShareOneConnectionInBothDirections(t *testing.T) {
	a := newAuthority(t)
	one, addrOne, _ := startEndpoint(t, a, "one")
	two, addrTwo, _ := startEndpoint(t, a, "two")
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
		t.Errorf("connections: %d and %d, want 1 and 1", one.Connections(), two.Connections())
	}
}

// Guards against serving a host whose certificate is missing or signed by another authority.
func TestUntrustedCertificateIsRejectedAndCounted(t *testing.T) {
	a := newAuthority(t)
	server, addr, _ := startEndpoint(t, a, "server")
	untrusted, _, _ := startEndpoint(t, newAuthority(t), "server", func(e *Endpoint) { e.CA = a.Pool })
	if _, err := ping(t, untrusted, addr); err == nil {
		t.Error("untrusted certificate was accepted")
	}
	noCert, _, _ := startEndpoint(t, a, "nocert")
	noCert.Cert.Certificate = nil // Cleared after Listen, which needs a certificate to serve.
	if _, err := ping(t, noCert, addr); err == nil {
		t.Error("missing certificate was accepted")
	}
	if v := server.Stats.Events.Get(eventCertRefused); v == nil || v.String() != "2" {
		t.Errorf("rejected certificates counted: %v, want 2", v)
	}
}

// Guards against frames that cause a panic, allocate memory by their length prefix alone, or leave the stream open.
func TestMalformedFramesResetStreamAndAreCounted(t *testing.T) {
	kind, err := encodeFrame(streamHeader{Kind: wire.KindPing})
	if err != nil {
		t.Fatal(err)
	}
	unknown, _ := encodeFrame(streamHeader{Kind: "other"})
	tests := []struct {
		give  string
		bytes []byte
		event string
		code  quic.StreamErrorCode
	}{
		{"not CBOR", append(bytes.Clone(kind), 0, 0, 0, 1, 0xff), eventMalformed, codeMalformed},
		{"wrong type", append(bytes.Clone(kind), 0, 0, 0, 1, 0x01), eventMalformed, codeMalformed},
		{"oversized", append(bytes.Clone(kind), 0x7f, 0, 0, 0), eventOversized, codeOversized},
		{"oversized header", binary.BigEndian.AppendUint32(nil, 65), eventOversized, codeOversized},
		{"unknown kind", unknown, eventUnknownKind, codeUnknownKind},
	}
	a := newAuthority(t)
	server, addr, _ := startEndpoint(t, a, "server")
	client, _, _ := startEndpoint(t, a, "client")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for _, tt := range tests {
		server.Stats.Events.Init()
		c, _, err := client.connect(ctx, netip.MustParseAddrPort(addr))
		if err != nil {
			t.Fatal(err)
		}
		stream, err := c.openStream(ctx)
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

// Guards against peers that keep using a connection to the previous process of a restarted host until it times out.
func TestRestartedHostIsReachable(t *testing.T) {
	a := newAuthority(t)
	client, _, _ := startEndpoint(t, a, "client")
	server, addr, stop := startEndpoint(t, a, "server")
	if _, err := ping(t, client, addr); err != nil {
		t.Fatal(err)
	}
	// Closes the socket first, so that no close frame reaches the client.
	_ = server.transport.Conn.Close()
	stop()
	cert := server.Cert
	restarted := &Endpoint{Addr: addr, Cert: cert, CA: a.Pool, Handlers: server.Handlers}
	if _, err := restarted.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = restarted.Run(ctx) }()
	// The first ping may use the old connection and be reset.
	if _, err := ping(t, client, addr); err != nil {
		if _, err = ping(t, client, addr); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against tickets that stay open for a dead host: streams to an unresponsive peer must fail with an error.
func TestUnresponsivePeerIsDetectedWhileStreamsAreOpen(t *testing.T) {
	a := newAuthority(t)
	server, addr, _ := startEndpoint(t, a, "server")
	client, _, _ := startEndpoint(t, a, "client", func(e *Endpoint) { e.DeadAfter = time.Second })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := client.Open(ctx, addr, wire.KindPing)
	if err != nil {
		t.Fatal(err)
	}
	if err := sendPing(c); err != nil {
		t.Fatal(err)
	}
	_ = server.transport.Conn.Close()
	if err := c.Recv(new(wire.Ping)); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the error of a dead connection", err)
	}
	if v := client.Stats.Events.Get(eventDeadConn); v == nil || v.String() != "1" {
		t.Errorf("dead connections counted: %v, want 1", v)
	}
}

// Guards against closing the connection to a live peer that has nothing to send for more than twice DeadAfter, such as
// a dispatcher with a long queue.
func TestIdleStreamStaysOpen(t *testing.T) {
	const deadAfter = 2 * time.Second
	a := newAuthority(t)
	_, addr, _ := startEndpoint(t, a, "server", func(e *Endpoint) {
		e.DeadAfter = deadAfter
		e.Handlers[wire.KindTicket] = func(ctx context.Context, _ string, _ wire.Kind, c wire.Stream) {
			select {
			case <-time.After(2*deadAfter + deadAfter/2):
				_ = c.Send(wire.TicketResponse{Ticket: "t"})
			case <-ctx.Done():
			}
		}
	})
	client, _, _ := startEndpoint(t, a, "client", func(e *Endpoint) { e.DeadAfter = deadAfter })
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var grant wire.TicketResponse
	if err := wire.Call(ctx, client, addr, wire.KindTicket, wire.TicketRequest{}, &grant); err != nil ||
		grant.Ticket != "t" {
		t.Errorf("got %+v, %v", grant, err)
	}
}

// Guards against peers that exhaust memory by opening streams without limit.
func TestStreamsBeyondMaxStreamsAreRejected(t *testing.T) {
	a := newAuthority(t)
	_, addr, _ := startEndpoint(t, a, "server", func(e *Endpoint) { e.MaxStreams = 1 })
	client, _, _ := startEndpoint(t, a, "client")
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	open, err := client.Open(ctx, addr, wire.KindPing)
	if err != nil {
		t.Fatal(err)
	}
	if err := sendPing(open); err != nil {
		t.Fatal(err)
	}
	if _, err := ping(t, client, addr); err == nil {
		t.Error("a stream beyond MaxStreams was served")
	}
	// The server closes its side after the client, so streams opened before that are still rejected.
	_ = open.Close()
	for ctx.Err() == nil {
		if _, err := ping(t, client, addr); err == nil {
			return
		}
	}
	t.Error("streams are still rejected after the open one was closed")
}

func FuzzDecodeFrame(f *testing.F) {
	for _, v := range []any{streamHeader{Kind: wire.KindPing}, wire.Ping{Members: []wire.Member{{Name: "a"}}}} {
		frame, err := encodeFrame(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		for _, v := range []any{
			new(streamHeader), new(wire.Ping), new(wire.Table), new(wire.TicketRequest), new(wire.OpenTicket),
			new(wire.Document), new(wire.PoolView), new(wire.LoadRequest),
		} {
			err := decodeFrame(bytes.NewReader(frame), v, wire.MaxFrameBytes)
			if err == nil && len(frame) <= lengthBytes {
				t.Errorf("%T: %d bytes were accepted", v, len(frame))
			}
		}
	})
}
