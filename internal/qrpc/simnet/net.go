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
	// breakAfter matches the dead connection detection of the real transport.
	breakAfter  = 5 * time.Second
	dialTimeout = 2 * time.Second
	// headerBytes is the frame length that the real transport adds to each message.
	headerBytes = 4
)

// ErrUnreachable means that no connection to the host came about.
var ErrUnreachable = errors.New("host is unreachable")

type (
	// Net joins hosts by address; exported fields are set before the first Open.
	Net struct {
		// Delay is the one-way delay of pairs without their own.
		Delay time.Duration
		// DelayBetween replaces Delay if set; SetDelay replaces both.
		DelayBetween func(a, b string) time.Duration
		// IdleTimeout is how long an unused connection is kept; it only affects Traffic.Handshakes. Zero keeps them.
		IdleTimeout time.Duration

		mu      sync.Mutex
		hosts   map[string]*Host
		links   map[pair]link
		used    map[pair]time.Time
		changed chan struct{}
	}

	// Host is one host of a Net and implements wire.Dialer.
	Host struct {
		// Handlers serves the exchanges that other hosts open; set it before they do.
		Handlers map[wire.Kind]wire.Handler

		net    *Net
		name   string
		addr   string
		ctx    context.Context
		kill   context.CancelFunc
		counts counters
	}

	// Traffic is the traffic of one host; bytes are frames without packet overhead.
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

	// pair is an unordered pair of addresses.
	pair struct{ a, b string }

	link struct {
		cut    bool
		cutAt  time.Time
		frozen bool
		delay  time.Duration
	}
)

// Host adds a host, replacing a killed one at the same address; ctx ends its handlers.
func (n *Net) Host(ctx context.Context, name, addr string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = make(map[string]*Host)
		n.links = make(map[pair]link)
		n.used = make(map[pair]time.Time)
		n.changed = make(chan struct{})
	}
	h := &Host{net: n, name: name, addr: addr, Handlers: make(map[wire.Kind]wire.Handler)}
	h.ctx, h.kill = context.WithCancel(ctx)
	n.hosts[addr] = h
	return h
}

// Partition drops everything between two addresses until Heal; exchanges break after 5 s.
func (n *Net) Partition(a, b string) {
	now := time.Now()
	n.update(a, b, func(l *link) { l.cut, l.cutAt = true, now })
}

// Heal ends Partition and Freeze between two addresses.
func (n *Net) Heal(a, b string) {
	n.update(a, b, func(l *link) { l.cut, l.frozen = false, false })
}

// Freeze holds messages between two addresses until Heal, without breaking exchanges.
func (n *Net) Freeze(a, b string) {
	n.update(a, b, func(l *link) { l.frozen = true })
}

// SetDelay sets the one-way delay between two addresses.
func (n *Net) SetDelay(a, b string, d time.Duration) {
	n.update(a, b, func(l *link) { l.delay = d })
}

func (n *Net) update(a, b string, f func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := pairOf(a, b)
	l, ok := n.links[p]
	if !ok {
		l.delay = n.delay(p)
	}
	f(&l)
	n.links[p] = l
	close(n.changed)
	n.changed = make(chan struct{})
}

// state returns the link between two addresses and a channel that is closed when any link changes.
func (n *Net) state(p pair) (link, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[p]
	if !ok {
		l.delay = n.delay(p)
	}
	return l, n.changed
}

func (n *Net) delay(p pair) time.Duration {
	if n.DelayBetween != nil {
		return n.DelayBetween(p.a, p.b)
	}
	return n.Delay
}

// touch records use of the connection of a pair and reports whether it is a new one.
func (n *Net) touch(p pair) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	last, ok := n.used[p]
	n.used[p] = now
	return !ok || n.IdleTimeout > 0 && now.Sub(last) > n.IdleTimeout
}

func (n *Net) find(addr string) *Host {
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

// Kill stops the host without a word: its exchanges break at the peers after 5 s, and nobody reaches it any more.
func (h *Host) Kill() {
	h.net.mu.Lock()
	if h.net.hosts[h.addr] == h {
		delete(h.net.hosts, h.addr)
	}
	for p := range h.net.used {
		if p.a == h.addr || p.b == h.addr {
			delete(h.net.used, p)
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

// Open starts an exchange with the host at addr; an unreachable host costs the dial timeout of 2 s.
func (h *Host) Open(ctx context.Context, addr string, kind wire.Kind) (wire.Stream, error) {
	if h.ctx.Err() != nil {
		return nil, h.ctx.Err()
	}
	timeout := time.NewTimer(dialTimeout)
	defer timeout.Stop()
	for {
		l, changed := h.net.state(pairOf(h.addr, addr))
		if peer := h.net.find(addr); peer != nil && !l.cut && !l.frozen {
			return h.start(peer, kind), nil
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

func (h *Host) start(peer *Host, kind wire.Kind) wire.Stream {
	p := pairOf(h.addr, peer.addr)
	h.counts.opened.Add(1)
	if h.net.touch(p) {
		h.counts.handshakes.Add(1)
	}
	there, back := newQueue(), newQueue()
	near := &conn{net: h.net, pair: p, self: h, peer: peer, in: back, out: there}
	far := &conn{net: h.net, pair: p, self: peer, peer: h, in: there, out: back}
	handler := peer.Handlers[kind]
	if handler == nil {
		_ = far.Close()
		return near
	}
	go func() {
		ctx, cancel := context.WithCancel(peer.ctx)
		defer cancel()
		defer func() { _ = far.Close() }()
		handler(ctx, h.name, kind, far)
	}()
	return near
}
