package qrpc

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// maxIdleTicks is the number of consecutive checks without a received packet after which a peer counts as dead.
	// Checks are counted instead of elapsed time, so that a process that was paused still lets its peers respond after
	// it resumes.
	maxIdleTicks = 5
	// keepAliveTicks is the number of checks without a packet between keep-alives: one is sent after the second check
	// and one after the fourth, so that one of them may be lost.
	keepAliveTicks = 2
)

// conn is a connection to one peer; both sides open streams on it.
type conn struct {
	endpoint *Endpoint
	quicConn *quic.Conn
	peer     string // name in the peer's certificate
	addr     netip.AddrPort

	mu         sync.Mutex
	streams    int
	monitoring bool
	// packetsAtOpen is the number of packets received when the last stream was opened or accepted.
	packetsAtOpen uint64
}

func (c *conn) openStream(ctx context.Context) (*quic.Stream, error) {
	qs, err := c.quicConn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	c.addStream()
	return qs, nil
}

// acceptStreams serves the streams that the peer opens until the connection ends.
func (c *conn) acceptStreams() {
	ctx := c.quicConn.Context()
	for {
		qs, err := c.quicConn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if c.endpoint.peerStreams.Add(1) > int64(c.endpoint.MaxStreams) {
			c.endpoint.peerStreams.Add(-1)
			c.endpoint.Stats.CountEvent(eventBusy)
			resetStream(qs, codeBusy)
			continue
		}
		c.addStream()
		go c.serveStream(ctx, qs)
	}
}

func (c *conn) serveStream(ctx context.Context, qs *quic.Stream) {
	defer c.endpoint.peerStreams.Add(-1)
	s := &stream{endpoint: c.endpoint, conn: c, quicStream: qs}
	defer func() { _ = s.Close() }()
	kind, err := s.recvHeader()
	if err != nil {
		return
	}
	handler := c.endpoint.Handlers[kind]
	if handler == nil {
		c.endpoint.Stats.CountEvent(eventUnknownKind)
		s.fail(codeUnknownKind)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handler(ctx, c.peer, kind, s)
}

func (c *conn) addStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams++
	c.packetsAtOpen = c.packetsReceived()
	if !c.monitoring {
		c.monitoring = true
		go c.monitor()
	}
}

func (c *conn) removeStream() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams--
}

// monitor sends keep-alives and closes the connection to an unresponsive peer. It runs while streams are open, or while
// no packet has arrived since the last one was opened.
func (c *conn) monitor() {
	tick := time.NewTicker(c.endpoint.DeadAfter / maxIdleTicks)
	defer tick.Stop()
	lastReceived, idleTicks := c.packetsReceived(), 0
	for {
		select {
		case <-c.quicConn.Context().Done():
			return
		case <-tick.C:
		}
		received := c.packetsReceived()
		if received != lastReceived {
			lastReceived, idleTicks = received, 0
		} else {
			idleTicks++
		}
		switch {
		case c.stopIfIdle(received):
			return
		case idleTicks >= maxIdleTicks:
			c.endpoint.Stats.CountEvent(eventDeadConn)
			_ = c.quicConn.CloseWithError(codeUnresponsive, "no answer")
			return
		case idleTicks > 0 && idleTicks%keepAliveTicks == 0:
			// A datagram needs no stream, and the peer has to acknowledge it.
			_ = c.quicConn.SendDatagram([]byte{0})
		}
	}
}

// stopIfIdle reports whether monitor may end: no stream is open, and a packet has arrived since the last one was
// opened. It then clears monitoring, so that the next stream starts a new monitor.
func (c *conn) stopIfIdle(received uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams > 0 || received == c.packetsAtOpen {
		return false
	}
	c.monitoring = false
	return true
}

func (c *conn) packetsReceived() uint64 { return c.quicConn.ConnectionStats().PacketsReceived }
