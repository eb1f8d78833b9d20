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
	exchanges     = 3000
	exchangeLimit = 10 * time.Second
	certLifetime  = time.Hour
	// packetHeaders are those of UDP and IPv4.
	packetHeaders = 28
	settleTime    = time.Second
)

// QUICResult is the cost of real connections over loopback; CPU and bytes are sums of both ends.
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
	// UnansweredDialBytes is what one attempt to reach a dead host sends.
	UnansweredDialBytes uint64
}

// MeasureQUIC connects one node to others on loopback, then exchanges pings with them in turn.
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
	if _, err := pings(ctx, hub, addrs, connections); err != nil {
		return res, err
	}
	res.HandshakeCPU = (cpuTime() - cpu) / time.Duration(connections)
	// Handshake buffers are released and late packets counted before the memory is read.
	time.Sleep(settleTime)
	res.MemoryPerEnd = (heapBytes() - memory) / uint64(2*connections)
	handshakes := traffic(all)
	res.HandshakeBytes = handshakes.wire() / float64(connections)
	cpu = cpuTime()
	times, err := pings(ctx, hub, addrs, exchanges)
	if err != nil {
		return res, err
	}
	res.ExchangeCPU = (cpuTime() - cpu) / exchanges
	time.Sleep(settleTime)
	sum := traffic(all)
	res.ExchangeBytes = (sum.wire() - handshakes.wire()) / exchanges
	res.Packets = float64(sum.packets-handshakes.packets) / exchanges
	res.FrameBytes, err = frameBytes()
	slices.Sort(times)
	res.RTTMedian, res.RTTP99 = times[len(times)/2], times[len(times)*99/100]
	if err == nil {
		res.UnansweredDialBytes, err = silentDial(ctx, hub)
	}
	return res, err
}

// silentDial connects to a socket that never answers and returns the bytes that arrive there, with packet headers.
func silentDial(ctx context.Context, hub *qrpc.Endpoint) (uint64, error) {
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
	_ = onePing(ctx, hub, socket.LocalAddr().String())
	_ = socket.Close()
	return total.Load(), nil
}

// sent is what nodes sent; everything sent on loopback is also received.
type sent struct{ bytes, packets uint64 }

func (s sent) wire() float64 { return float64(s.bytes + packetHeaders*s.packets) }

func traffic(nodes []*qrpc.Endpoint) sent {
	var s sent
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

// frameBytes is the size of the two frames of a ping.
func frameBytes() (int, error) {
	b, err := wire.Marshal(samplePing())
	return 2 * (len(b) + 4), err
}

// pings runs n exchanges one after the other and returns their durations.
func pings(ctx context.Context, hub *qrpc.Endpoint, addrs []string, n int) ([]time.Duration, error) {
	times := make([]time.Duration, 0, n)
	for i := range n {
		start := time.Now()
		if err := onePing(ctx, hub, addrs[i%len(addrs)]); err != nil {
			return nil, err
		}
		times = append(times, time.Since(start))
	}
	return times, nil
}

func onePing(ctx context.Context, hub *qrpc.Endpoint, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	return wire.Call(ctx, hub, addr, wire.KindPing, samplePing(), new(wire.Ping))
}

// WriteQUIC prints results as a markdown table.
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
