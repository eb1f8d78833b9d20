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
	eventDead        = "fellow_dead_link"
	eventDial        = "fellow_dial"
	eventDialFailed  = "fellow_dial_failed"
	eventAccept      = "fellow_accept"

	defaultDialTimeout = 2 * time.Second
	defaultDeadAfter   = 5 * time.Second
	defaultMaxStreams  = 16384
	// The members that a host pings in turn each come round well within this time, so their connections stay open.
	defaultIdleTimeout = 60 * time.Second
	// maxStreamsPerPeer leaves room for all tickets of a 24 engine pool held by one entry host.
	maxStreamsPerPeer = 4096
	maxConnWindow     = 8 << 20
	// minPacketBytes is the smallest packet size that QUIC allows; larger ones would only pad handshakes.
	minPacketBytes = 1200
)

// ErrNotListening means that Open was used before Listen or after Run has ended.
var ErrNotListening = errors.New("node does not listen")

// Endpoint exchanges messages with other hosts; exported fields are set before Listen or Run.
type Endpoint struct {
	// Addr is the UDP address to listen on, such as 127.0.0.1:7000.
	Addr string
	// Cert names the host by its common name or first DNS name; CA is what peers are verified against.
	Cert tls.Certificate
	CA   *x509.CertPool
	// Handlers serves the kinds of exchange that peers may open; any other kind is refused.
	Handlers map[wire.Kind]wire.Handler
	Stats    *stats.Set
	// DialTimeout bounds a handshake; zero means 2 s.
	DialTimeout time.Duration
	// IdleTimeout closes connections without exchanges; zero means 60 s.
	IdleTimeout time.Duration
	// DeadAfter is how long a peer with open exchanges may be silent; zero means 5 s.
	DeadAfter time.Duration
	// MaxStreams bounds the exchanges that peers have open at once; zero means 16384.
	MaxStreams int

	serving atomic.Int64

	mu        sync.Mutex
	transport *quic.Transport
	listener  *quic.Listener
	byAddr    map[netip.AddrPort]*link
	links     map[*link]struct{}
	dials     map[netip.AddrPort]*dial
	past      Traffic // of connections that have ended
}

// Traffic counts what a node sent and received, without the headers of UDP and IP.
type Traffic struct {
	SentBytes, ReceivedBytes     uint64
	SentPackets, ReceivedPackets uint64
}

// dial is one handshake in progress, shared by all exchanges that wait for it.
type dial struct {
	done chan struct{}
	link *link
	err  error
}

// Listen binds the socket and returns its address; Run does it if it was not done before.
func (n *Endpoint) Listen() (net.Addr, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listener != nil {
		return n.listener.Addr(), nil
	}
	n.setDefaults()
	addr, err := net.ResolveUDPAddr("udp", n.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve listen address %q", n.Addr)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", n.Addr)
	}
	transport := &quic.Transport{Conn: socket, StatelessResetKey: resetKey(n.Cert)}
	listener, err := transport.Listen(n.serverTLS(), n.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, errors.Wrapf(err, "start QUIC on %q", n.Addr)
	}
	n.transport, n.listener = transport, listener
	n.byAddr = make(map[netip.AddrPort]*link)
	n.links = make(map[*link]struct{})
	n.dials = make(map[netip.AddrPort]*dial)
	return listener.Addr(), nil
}

// Run accepts exchanges until ctx ends, then closes every connection.
func (n *Endpoint) Run(ctx context.Context) error {
	if _, err := n.Listen(); err != nil {
		return err
	}
	defer n.shutdown()
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept connection")
		}
		n.Stats.CountEvent(eventAccept)
		if l := n.adopt(conn); l != nil {
			go l.accept()
		}
	}
}

// Open starts an exchange over the connection to addr, dialling if there is none; ctx bounds only the opening.
func (n *Endpoint) Open(ctx context.Context, addr string, kind wire.Kind) (wire.Stream, error) {
	key, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse host address")
	}
	opening, err := encodeFrame(opening{Kind: kind})
	if err != nil {
		return nil, err
	}
	for {
		l, fresh, err := n.connect(ctx, key)
		if err != nil {
			return nil, err
		}
		stream, err := l.open(ctx)
		if err == nil {
			return &exchange{node: n, link: l, stream: stream, opening: opening}, nil
		}
		// A reused connection may have ended a moment ago; its context ends only after its streams fail.
		if fresh || ctx.Err() != nil {
			return nil, errors.Wrapf(err, "open exchange with %s", addr)
		}
		n.forget(l)
	}
}

// Connections returns the number of open connections.
func (n *Endpoint) Connections() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}

// Traffic returns the traffic of all connections so far.
func (n *Endpoint) Traffic() Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := n.past
	for l := range n.links {
		sum.add(l)
	}
	return sum
}

func (t *Traffic) add(l *link) {
	s := l.conn.ConnectionStats()
	t.SentBytes += s.BytesSent
	t.ReceivedBytes += s.BytesReceived
	t.SentPackets += s.PacketsSent
	t.ReceivedPackets += s.PacketsReceived
}

func (n *Endpoint) setDefaults() {
	if n.Stats == nil {
		n.Stats = new(stats.Set)
	}
	if n.DialTimeout == 0 {
		n.DialTimeout = defaultDialTimeout
	}
	if n.IdleTimeout == 0 {
		n.IdleTimeout = defaultIdleTimeout
	}
	if n.DeadAfter == 0 {
		n.DeadAfter = defaultDeadAfter
	}
	if n.MaxStreams == 0 {
		n.MaxStreams = defaultMaxStreams
	}
}

// quicConfig leaves out quic-go's keepalive, which would keep all connections open; link.watch sends its own.
func (n *Endpoint) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:       n.DialTimeout,
		MaxIdleTimeout:             n.IdleTimeout,
		MaxIncomingStreams:         maxStreamsPerPeer,
		MaxIncomingUniStreams:      -1,
		MaxConnectionReceiveWindow: maxConnWindow,
		InitialPacketSize:          minPacketBytes,
		DisablePathMTUDiscovery:    true,
		EnableDatagrams:            true,
	}
}

// connect returns the link to addr and whether it was dialled by this call.
func (n *Endpoint) connect(ctx context.Context, addr netip.AddrPort) (*link, bool, error) {
	n.mu.Lock()
	if n.transport == nil {
		n.mu.Unlock()
		return nil, false, ErrNotListening
	}
	if l := n.byAddr[addr]; l != nil && l.conn.Context().Err() == nil {
		n.mu.Unlock()
		return l, false, nil
	}
	d := n.dials[addr]
	if d == nil {
		d = &dial{done: make(chan struct{})}
		n.dials[addr] = d
		go n.dial(n.transport, addr, d)
	}
	n.mu.Unlock()
	select {
	case <-d.done:
		return d.link, true, d.err
	case <-ctx.Done():
		return nil, false, errors.Wrapf(ctx.Err(), "connect to %s", addr)
	}
}

// dial is not bound to the context of one exchange, because others may wait for the same handshake.
func (n *Endpoint) dial(transport *quic.Transport, addr netip.AddrPort, d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), n.DialTimeout)
	defer cancel()
	n.Stats.CountEvent(eventDial)
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(addr), n.clientTLS(), n.quicConfig())
	if err != nil {
		n.Stats.CountEvent(eventDialFailed)
		d.err = errors.Wrapf(err, "connect to %s", addr)
	} else if d.link = n.adopt(conn); d.link == nil {
		d.err = ErrNotListening
	} else {
		go d.link.accept()
	}
	n.mu.Lock()
	delete(n.dials, addr)
	n.mu.Unlock()
	close(d.done)
}

// adopt registers a connection for reuse in both directions; the newest one to an address wins, because the peer may
// have restarted. It returns nil when the node has stopped.
func (n *Endpoint) adopt(conn *quic.Conn) *link {
	name := peerName(conn.ConnectionState().TLS.PeerCertificates)
	l := &link{node: n, conn: conn, name: name}
	if a, ok := conn.RemoteAddr().(*net.UDPAddr); ok {
		l.addr = netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), a.AddrPort().Port())
	}
	n.mu.Lock()
	stopped := n.transport == nil
	if !stopped {
		n.links[l] = struct{}{}
		n.byAddr[l.addr] = l
	}
	n.mu.Unlock()
	if stopped {
		_ = conn.CloseWithError(codeClosed, "")
		return nil
	}
	context.AfterFunc(conn.Context(), func() { n.forget(l) })
	return l
}

func (n *Endpoint) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.links[l]; ok {
		n.past.add(l)
	}
	delete(n.links, l)
	if n.byAddr[l.addr] == l {
		delete(n.byAddr, l.addr)
	}
}

func (n *Endpoint) shutdown() {
	n.mu.Lock()
	transport, listener := n.transport, n.listener
	n.transport = nil
	links := make([]*link, 0, len(n.links))
	for l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	// Without a close frame, peers would notice only after DeadAfter.
	for _, l := range links {
		_ = l.conn.CloseWithError(codeClosed, "host stops")
	}
	_ = listener.Close()
	_ = transport.Close()
	_ = transport.Conn.Close()
}
