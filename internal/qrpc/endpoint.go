package qrpc

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// Counters in stats.Set.Events.
	eventMalformed   = "fellow_malformed"
	eventOversized   = "fellow_oversized"
	eventUnknownKind = "fellow_unknown_kind"
	eventCertRefused = "fellow_cert_refused"
	eventBusy        = "fellow_busy"
	eventDeadConn    = "fellow_dead_link"
	eventDial        = "fellow_dial"
	eventDialFailed  = "fellow_dial_failed"
	eventAccept      = "fellow_accept"

	defaultDialTimeout = 2 * time.Second
	defaultDeadAfter   = 5 * time.Second
	defaultMaxStreams  = 16384
	// A host pings its members in rotation and reaches each one well within this time, so their connections stay open.
	defaultIdleTimeout = 60 * time.Second
	// maxStreamsPerPeer is enough for one host that has all tickets of a pool of 24 engines open, one stream each.
	maxStreamsPerPeer = 4096
	maxConnWindow     = 8 << 20 // bytes
	// minPacketBytes is the smallest packet size that QUIC allows. Handshake packets are padded to the initial packet
	// size, so a larger one would only add padding.
	minPacketBytes = 1200
)

// ErrNotListening means that Open was called before Listen or after Run ended.
var ErrNotListening = errors.New("endpoint is not listening")

// Endpoint opens and serves streams between this host and others; exported fields are set before Listen or Run.
type Endpoint struct {
	// Addr is the UDP address to listen on, such as 127.0.0.1:7000.
	Addr string
	// Cert identifies this host by its common name or first DNS name; peers must have a certificate issued by CA.
	Cert tls.Certificate
	CA   *x509.CertPool
	// Handlers serve streams that peers open, by kind; a stream of any other kind is rejected.
	Handlers map[wire.Kind]wire.Handler
	Stats    *stats.Set
	// DialTimeout limits a handshake; zero means 2 s.
	DialTimeout time.Duration
	// IdleTimeout is how long a connection without traffic is kept; zero means 60 s.
	IdleTimeout time.Duration
	// DeadAfter is how long a peer with open streams may send no packet before its connection is closed; zero means
	// 5 s.
	DeadAfter time.Duration
	// MaxStreams limits the streams that all peers together have open at once; zero means 16384.
	MaxStreams int

	peerStreams atomic.Int64

	mu            sync.Mutex
	transport     *quic.Transport
	listener      *quic.Listener
	byAddr        map[netip.AddrPort]*conn
	conns         map[*conn]struct{}
	dials         map[netip.AddrPort]*pendingDial
	closedTraffic Traffic // of connections that have been closed
}

// Traffic counts what an endpoint sent and received, in QUIC packets and their bytes without UDP and IP headers.
type Traffic struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}

// pendingDial is a handshake in progress, shared by all calls of Open that wait for it.
type pendingDial struct {
	done chan struct{}
	conn *conn
	err  error
}

// Listen binds the socket and returns its address. Run calls it if needed.
func (e *Endpoint) Listen() (net.Addr, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener != nil {
		return e.listener.Addr(), nil
	}
	e.setDefaults()
	addr, err := net.ResolveUDPAddr("udp", e.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve listen address %q", e.Addr)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", e.Addr)
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: resetKey(e.Cert)}
	listener, err := transport.Listen(e.serverTLS(), e.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrapf(err, "start QUIC on %q", e.Addr)
	}
	e.transport, e.listener = transport, listener
	e.byAddr = make(map[netip.AddrPort]*conn)
	e.conns = make(map[*conn]struct{})
	e.dials = make(map[netip.AddrPort]*pendingDial)
	return listener.Addr(), nil
}

// Run accepts connections until ctx ends, then closes all of them.
func (e *Endpoint) Run(ctx context.Context) error {
	if _, err := e.Listen(); err != nil {
		return err
	}
	defer e.shutdown()
	for {
		qc, err := e.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept connection")
		}
		e.Stats.CountEvent(eventAccept)
		if c := e.register(qc); c != nil {
			go c.acceptStreams()
		}
	}
}

// Open opens a stream of the given kind on the connection to addr and dials if there is none. ctx limits only Open
// itself, not the stream.
func (e *Endpoint) Open(ctx context.Context, addr string, kind wire.Kind) (wire.Stream, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse host address")
	}
	header, err := encodeFrame(streamHeader{Kind: kind})
	if err != nil {
		return nil, err
	}
	for {
		c, dialled, err := e.connect(ctx, addrPort)
		if err != nil {
			return nil, err
		}
		qs, err := c.openStream(ctx)
		if err == nil {
			return &stream{endpoint: e, conn: c, quicStream: qs, header: header}, nil
		}
		// A reused connection may just have been closed, before its context ended: dial again in that case.
		if dialled || ctx.Err() != nil {
			return nil, errors.Wrapf(err, "open stream to %s", addr)
		}
		e.unregister(c)
	}
}

// Connections returns the number of open connections.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// Traffic returns the traffic of all connections so far.
func (e *Endpoint) Traffic() Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := e.closedTraffic
	for c := range e.conns {
		sum.add(c)
	}
	return sum
}

func (t *Traffic) add(c *conn) {
	s := c.quicConn.ConnectionStats()
	t.SentBytes += s.BytesSent
	t.ReceivedBytes += s.BytesReceived
	t.SentPackets += s.PacketsSent
	t.ReceivedPackets += s.PacketsReceived
}

func (e *Endpoint) setDefaults() {
	if e.Stats == nil {
		e.Stats = new(stats.Set)
	}
	if e.DialTimeout == 0 {
		e.DialTimeout = defaultDialTimeout
	}
	if e.IdleTimeout == 0 {
		e.IdleTimeout = defaultIdleTimeout
	}
	if e.DeadAfter == 0 {
		e.DeadAfter = defaultDeadAfter
	}
	if e.MaxStreams == 0 {
		e.MaxStreams = defaultMaxStreams
	}
}

// quicConfig does not enable the keep-alive of quic-go, which would keep all connections open; conn.monitor sends
// keep-alives only while streams are open.
func (e *Endpoint) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       e.DialTimeout,
		MaxIdleTimeout:             e.IdleTimeout,
		MaxIncomingStreams:         maxStreamsPerPeer,
		MaxIncomingUniStreams:      -1,
		MaxConnectionReceiveWindow: maxConnWindow,
		InitialPacketSize:          minPacketBytes,
		DisablePathMTUDiscovery:    true,
		EnableDatagrams:            true,
	}
}

// connect returns the connection to addr and whether it was dialled for this call. Concurrent calls share one dial.
func (e *Endpoint) connect(ctx context.Context, addr netip.AddrPort) (*conn, bool, error) {
	e.mu.Lock()
	if e.transport == nil {
		e.mu.Unlock()
		return nil, false, ErrNotListening
	}
	if c := e.byAddr[addr]; c != nil && c.quicConn.Context().Err() == nil {
		e.mu.Unlock()
		return c, false, nil
	}
	d := e.dials[addr]
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		e.dials[addr] = d
		go e.dial(e.transport, addr, d)
	}
	e.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, true, d.err
	case <-ctx.Done():
		return nil, false, errors.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// dial performs the handshake of d and wakes the callers that wait for it. It does not use the context of a caller,
// because others may wait for the same handshake.
func (e *Endpoint) dial(transport *quic.Transport, addr netip.AddrPort, d *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), e.DialTimeout)
	defer cancel()
	e.Stats.CountEvent(eventDial)
	qc, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), e.clientTLS(), e.quicConfig())
	if err != nil {
		e.Stats.CountEvent(eventDialFailed)
		d.err = errors.Wrapf(err, "connect to %s", addr)
	} else if d.conn = e.register(qc); d.conn == nil {
		d.err = ErrNotListening
	} else {
		go d.conn.acceptStreams()
	}
	e.mu.Lock()
	delete(e.dials, addr)
	e.mu.Unlock()
	close(d.done)
}

// register makes a connection available to Open, whichever side dialled it. The newest connection to an address
// replaces an older one, because the peer may have restarted. It returns nil if the endpoint has stopped.
func (e *Endpoint) register(qc *quic.Conn) *conn {
	name := peerName(qc.ConnectionState().TLS.PeerCertificates)
	c := &conn{endpoint: e, quicConn: qc, peer: name}
	if a, ok := qc.RemoteAddr().(*net.UDPAddr); ok {
		c.addr = netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), a.AddrPort().Port())
	}
	e.mu.Lock()
	stopped := e.transport == nil
	if !stopped {
		e.conns[c] = struct{}{}
		e.byAddr[c.addr] = c
	}
	e.mu.Unlock()
	if stopped {
		_ = qc.CloseWithError(codeClosed, "")
		return nil
	}
	context.AfterFunc(qc.Context(), func() { e.unregister(c) })
	return c
}

func (e *Endpoint) unregister(c *conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.conns[c]; ok {
		e.closedTraffic.add(c)
	}
	delete(e.conns, c)
	if e.byAddr[c.addr] == c {
		delete(e.byAddr, c.addr)
	}
}

func (e *Endpoint) shutdown() {
	e.mu.Lock()
	transport, listener := e.transport, e.listener
	e.transport = nil
	conns := make([]*conn, 0, len(e.conns))
	for c := range e.conns {
		conns = append(conns, c)
	}
	e.mu.Unlock()
	// Without a close frame, peers would detect the stop only after DeadAfter.
	for _, c := range conns {
		_ = c.quicConn.CloseWithError(codeClosed, "host stops")
	}
	_ = listener.Close()
	_ = transport.Close()
	_ = transport.Conn.Close()
}
