package scale

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/certs"
	"github.com/figreel/figreel/internal/qrpc"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// pingCount is the number of pings that are sent to measure costs and round-trip times.
	pingCount    = 3000
	pingTimeout  = 10 * time.Second
	certLifetime = time.Hour
	// packetHeaders is the size in bytes of the UDP and IPv4 headers.
	packetHeaders = 28
	// settleTime is the time in which handshake buffers are released and late packets arrive.
	settleTime = time.Second
)

// QUICResult is the cost of real QUIC connections over loopback. CPU and bytes are sums over both ends, for each
// handshake or ping; an exchange is one ping with its response.
type QUICResult struct {
	Connections    int
	MemoryPerEnd   uint64
	HandshakeCPU   time.Duration
	HandshakeBytes float64
	ExchangeCPU    time.Duration
	ExchangeBytes  float64
	FrameBytes     int
	Packets        float64
	RTTMedian      time.Duration
	RTTP99         time.Duration
	// UnansweredDialBytes is the number of bytes sent by one dial to an address that does not respond.
	UnansweredDialBytes uint64
}

// MeasureQUIC connects one endpoint (the hub) to others on loopback and then exchanges pings with them in turn.
func MeasureQUIC(connections int) (QUICResult, error) {
	res := QUICResult{Connections: connections}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	authority, err := certs.NewAuthority(certLifetime)
	if err != nil {
		return res, err
	}
	hub, _, err := startNode(ctx, authority, "hub")
	if err != nil {
		return res, err
	}
	var addrs []string
	var nodes []*qrpc.Endpoint
	for i := range connections {
		n, addr, err := startNode(ctx, authority, nameOf(i))
		if err != nil {
			return res, err
		}
		addrs, nodes = append(addrs, addr), append(nodes, n)
	}
	all := append(nodes, hub)
	memory, cpu := heapBytes(), cpuTime()
	if _, err := runPings(ctx, hub, addrs, connections); err != nil {
		return res, err
	}
	res.HandshakeCPU = (cpuTime() - cpu) / time.Duration(connections)
	// Wait until handshake buffers are released and late packets are counted.
	time.Sleep(settleTime)
	res.MemoryPerEnd = (heapBytes() - memory) / uint64(2*connections)
	handshakes := traffic(all)
	res.HandshakeBytes = handshakes.wireBytes() / float64(connections)
	cpu = cpuTime()
	times, err := runPings(ctx, hub, addrs, pingCount)
	if err != nil {
		return res, err
	}
	res.ExchangeCPU = (cpuTime() - cpu) / pingCount
	time.Sleep(settleTime)
	sum := traffic(all)
	res.ExchangeBytes = (sum.wireBytes() - handshakes.wireBytes()) / pingCount
	res.Packets = float64(sum.packets-handshakes.packets) / pingCount
	res.FrameBytes, err = frameBytes()
	slices.Sort(times)
	res.RTTMedian, res.RTTP99 = times[len(times)/2], times[len(times)*99/100]
	if err == nil {
		res.UnansweredDialBytes, err = dialUnanswered(ctx, hub)
	}
	return res, err
}

// dialUnanswered dials a socket that never responds and returns the number of bytes that arrive there, including packet
// headers.
func dialUnanswered(ctx context.Context, hub *qrpc.Endpoint) (uint64, error) {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	var total atomic.Uint64
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, _, err := socket.ReadFromUDP(buf)
			if err != nil {
				return
			}
			total.Add(uint64(n + packetHeaders))
		}
	}()
	_ = ping(ctx, hub, socket.LocalAddr().String())
	_ = socket.Close()
	return total.Load(), nil
}

// sentTraffic counts bytes and packets sent. Received traffic is not counted, because loopback delivers all that is
// sent.
type sentTraffic struct{ bytes, packets uint64 }

func (s sentTraffic) wireBytes() float64 { return float64(s.bytes + packetHeaders*s.packets) }

func traffic(nodes []*qrpc.Endpoint) sentTraffic {
	var s sentTraffic
	for _, n := range nodes {
		t := n.Traffic()
		s.bytes += t.SentBytes
		s.packets += t.SentPackets
	}
	return s
}

func startNode(ctx context.Context, a *certs.Authority, name string) (*qrpc.Endpoint, string, error) {
	cert, err := a.IssueHost(name)
	if err != nil {
		return nil, "", err
	}
	n := &qrpc.Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: a.Pool}
	n.Handlers = map[wire.Kind]wire.Handler{
		wire.KindPing: func(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
			var p wire.Ping
			if c.Recv(&p) == nil {
				_ = c.Send(p)
			}
		},
	}
	addr, err := n.Listen()
	if err != nil {
		return nil, "", err
	}
	go func() { _ = n.Run(ctx) }()
	return n, addr.String(), nil
}

func samplePing() wire.Ping {
	return wire.Ping{
		From: wire.Member{
			Name: nameOf(7), Addr: addrOf(7), CallerURL: "https://" + addrOf(7), Domain: "zone-1",
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		Revision: 1000,
		Digest:   1 << 63,
	}
}

// frameBytes returns the size of the two frames of a ping and its response; each has a length prefix of 4 bytes.
func frameBytes() (int, error) {
	b, err := wire.Marshal(samplePing())
	return 2 * (len(b) + 4), err
}

// runPings sends n pings one after the other, to the addresses in turn, and returns their round-trip times.
func runPings(ctx context.Context, hub *qrpc.Endpoint, addrs []string, n int) ([]time.Duration, error) {
	times := make([]time.Duration, 0, n)
	for i := range n {
		start := time.Now()
		if err := ping(ctx, hub, addrs[i%len(addrs)]); err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
	}
	return times, nil
}

func ping(ctx context.Context, hub *qrpc.Endpoint, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return wire.Call(ctx, hub, addr, wire.KindPing, samplePing(), new(wire.Ping))
}

// WriteQUIC writes the results to w as a markdown table.
func WriteQUIC(w io.Writer, list []QUICResult) {
	fmt.Fprintln(w, "| connections | memory KB/end | handshake CPU µs | handshake bytes | exchange CPU µs "+
		"| exchange bytes | of these frames | packets | RTT median µs | RTT p99 µs | silent dial bytes |")
	fmt.Fprintln(w, strings.Repeat("|--:", 11)+"|")
	for _, r := range list {
		fmt.Fprintf(w, "| %d | %.1f | %d | %.0f | %d | %.0f | %d | %.1f | %d | %d | %d |\n",
			r.Connections, float64(r.MemoryPerEnd)/1024, r.HandshakeCPU.Microseconds(), r.HandshakeBytes,
			r.ExchangeCPU.Microseconds(), r.ExchangeBytes, r.FrameBytes, r.Packets,
			r.RTTMedian.Microseconds(), r.RTTP99.Microseconds(), r.UnansweredDialBytes)
	}
}
