package simnet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// failAfter is the time after which streams to an unreachable host fail; it equals the default of
	// qrpc.Endpoint.DeadAfter.
	failAfter   = 5 * time.Second
	dialTimeout = 2 * time.Second
	// lengthBytes is the size of the length prefix that package qrpc adds to each message.
	lengthBytes = 4
)

// ErrUnreachable means that the host could not be reached within the dial timeout of 2 s.
var ErrUnreachable = errors.New("host is unreachable")

type (
	// Net connects hosts by address; exported fields are set before the first Open.
	Net struct {
		// Delay is the one-way delay between two hosts unless DelayBetween or SetDelay sets another.
		Delay time.Duration
		// DelayBetween, if set, returns the one-way delay between two addresses in place of Delay.
		DelayBetween func(a, b string) time.Duration
		// IdleTimeout is how long an unused connection is kept; zero means forever. It only affects
		// Traffic.Handshakes.
		IdleTimeout time.Duration

		mu       sync.Mutex
		hosts    map[string]*Host
		paths    map[pair]pathState
		lastUsed map[pair]time.Time
		changed  chan struct{}
	}

	// Host is one host of a Net and implements wire.Dialer.
	Host struct {
		// Handlers serve the streams that other hosts open, by kind; they are set before the first one is opened.
		Handlers map[wire.Kind]wire.Handler

		net    *Net
		name   string
		addr   string
		ctx    context.Context
		kill   context.CancelFunc
		counts counters
	}

	// Traffic counts the traffic of one host; bytes are those of frames, without packet overhead.
	Traffic struct {
		SentBytes, ReceivedBytes       int64
		SentMessages, ReceivedMessages int64
		Opened, Handshakes             int64
	}

	counters struct {
		sentBytes, receivedBytes       atomic.Int64
		sentMessages, receivedMessages atomic.Int64
		opened, handshakes             atomic.Int64
	}

	// pair is an unordered pair of addresses, stored with a <= b.
	pair struct{ a, b string }

	// pathState is the state of the network between two hosts.
	pathState struct {
		partitioned   bool
		partitionedAt time.Time
		frozen        bool
		delay         time.Duration
	}
)

// Host adds a host, which may replace a killed one at the same address. Its handlers and streams end with ctx.
func (n *Net) Host(ctx context.Context, name, addr string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = make(map[string]*Host)
		n.paths = make(map[pair]pathState)
		n.lastUsed = make(map[pair]time.Time)
		n.changed = make(chan struct{})
	}
	h := &Host{net: n, name: name, addr: addr, Handlers: make(map[wire.Kind]wire.Handler)}
	h.ctx, h.kill = context.WithCancel(ctx)
	n.hosts[addr] = h
	return h
}

// Partition blocks all messages between two addresses until Heal; streams fail after 5 s.
func (n *Net) Partition(a, b string) {
	now := time.Now()
	n.update(a, b, func(s *pathState) { s.partitioned, s.partitionedAt = true, now })
}

// Heal ends Partition and Freeze between two addresses.
func (n *Net) Heal(a, b string) {
	n.update(a, b, func(s *pathState) { s.partitioned, s.frozen = false, false })
}

// Freeze delays all messages between two addresses until Heal; streams do not fail.
func (n *Net) Freeze(a, b string) {
	n.update(a, b, func(s *pathState) { s.frozen = true })
}

// SetDelay sets the one-way delay between two addresses.
func (n *Net) SetDelay(a, b string, d time.Duration) {
	n.update(a, b, func(s *pathState) { s.delay = d })
}

func (n *Net) update(a, b string, f func(*pathState)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pairOf(a, b)
	state, ok := n.paths[p]
	if !ok {
		state.delay = n.delay(p)
	}
	f(&state)
	n.paths[p] = state
	close(n.changed)
	n.changed = make(chan struct{})
}

// path returns the state of the path between two addresses and a channel that is closed when any path changes.
func (n *Net) path(p pair) (pathState, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	state, ok := n.paths[p]
	if !ok {
		state.delay = n.delay(p)
	}
	return state, n.changed
}

func (n *Net) delay(p pair) time.Duration {
	if n.DelayBetween != nil {
		return n.DelayBetween(p.a, p.b)
	}
	return n.Delay
}

// recordUse records a use of the connection between two hosts and reports whether it has to be established.
func (n *Net) recordUse(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	last, ok := n.lastUsed[p]
	n.lastUsed[p] = now
	return !ok || n.IdleTimeout > 0 && now.Sub(last) > n.IdleTimeout
}

func (n *Net) hostAt(addr string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[addr]
}

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// Kill stops the host without closing its streams: they fail at the peers after 5 s, and new ones cannot be opened.
func (h *Host) Kill() {
	h.net.mu.Lock()
	if h.net.hosts[h.addr] == h {
		delete(h.net.hosts, h.addr)
	}
	for p := range h.net.lastUsed {
		if p.a == h.addr || p.b == h.addr {
			delete(h.net.lastUsed, p)
		}
	}
	h.net.mu.Unlock()
	h.kill()
}

// Traffic returns the host's traffic so far.
func (h *Host) Traffic() Traffic {
	return Traffic{
		SentBytes:        h.counts.sentBytes.Load(),
		ReceivedBytes:    h.counts.receivedBytes.Load(),
		SentMessages:     h.counts.sentMessages.Load(),
		ReceivedMessages: h.counts.receivedMessages.Load(),
		Opened:           h.counts.opened.Load(),
		Handshakes:       h.counts.handshakes.Load(),
	}
}

// Open opens a stream to the host at addr; if the host is unreachable, it fails with ErrUnreachable after 2 s.
func (h *Host) Open(ctx context.Context, addr string, kind wire.Kind) (wire.Stream, error) {
	if h.ctx.Err() != nil {
		return nil, h.ctx.Err()
	}
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	for {
		state, changed := h.net.path(pairOf(h.addr, addr))
		if peer := h.net.hostAt(addr); peer != nil && !state.partitioned && !state.frozen {
			return h.startStream(peer, kind), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, errors.Wrap(ErrUnreachable, addr)
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-h.ctx.Done():
			return nil, h.ctx.Err()
		}
	}
}

func (h *Host) startStream(peer *Host, kind wire.Kind) wire.Stream {
	p := pairOf(h.addr, peer.addr)
	h.counts.opened.Add(1)
	if h.net.recordUse(p) {
		h.counts.handshakes.Add(1)
	}
	toPeer, fromPeer := newQueue(), newQueue()
	local := &stream{net: h.net, pair: p, self: h, peer: peer, in: fromPeer, out: toPeer}
	remote := &stream{net: h.net, pair: p, self: peer, peer: h, in: toPeer, out: fromPeer}
	handler := peer.Handlers[kind]
	if handler == nil {
		_ = remote.Close()
		return local
	}
	go func() {
		ctx, cancel := context.WithCancel(peer.ctx)
		defer cancel()
		defer func() { _ = remote.Close() }()
		handler(ctx, h.name, kind, remote)
	}()
	return local
}
