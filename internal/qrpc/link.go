package qrpc

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// silentTicks is the number of consecutive silent checks after which a peer is dead. Checks are counted instead of
	// time, so that a paused process gives its peers a chance to answer after it resumes.
	silentTicks = 5
	// keepAliveTicks sends after the second and the fourth silent check; one of the two may be lost.
	keepAliveTicks = 2
)

// link is one connection; either side opens streams on it.
type link struct {
	node *Endpoint
	conn *quic.Conn
	name string
	addr netip.AddrPort

	mu       sync.Mutex
	streams  int
	watching bool
	// packets is the count of received packets when the last stream was opened here.
	packets uint64
}

func (l *link) open(ctx context.Context) (*quic.Stream, error) {
	stream, err := l.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	l.acquire()
	return stream, nil
}

// accept serves the streams that the peer opens until the connection ends.
func (l *link) accept() {
	ctx := l.conn.Context()
	for {
		stream, err := l.conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if l.node.serving.Add(1) > int64(l.node.MaxStreams) {
			l.node.serving.Add(-1)
			l.node.Stats.CountEvent(eventBusy)
			abort(stream, codeBusy)
			continue
		}
		l.acquire()
		go l.serve(ctx, stream)
	}
}

func (l *link) serve(ctx context.Context, stream *quic.Stream) {
	defer l.node.serving.Add(-1)
	x := &exchange{node: l.node, link: l, stream: stream}
	defer func() { _ = x.Close() }()
	kind, err := x.recvOpening()
	if err != nil {
		return
	}
	handler := l.node.Handlers[kind]
	if handler == nil {
		l.node.Stats.CountEvent(eventUnknownKind)
		x.fail(codeUnknownKind)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handler(ctx, l.name, kind, x)
}

func (l *link) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams++
	l.packets = l.received()
	if !l.watching {
		l.watching = true
		go l.watch()
	}
}

func (l *link) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams--
}

// watch keeps the connection alive and detects a dead peer, as long as streams are open or the last one is unanswered.
func (l *link) watch() {
	tick := time.NewTicker(l.node.DeadAfter / silentTicks)
	defer tick.Stop()
	seen, silent := l.received(), 0
	for {
		select {
		case <-l.conn.Context().Done():
			return
		case <-tick.C:
		}
		received := l.received()
		if received != seen {
			seen, silent = received, 0
		} else {
			silent++
		}
		switch {
		case l.settled(received):
			return
		case silent >= silentTicks:
			l.node.Stats.CountEvent(eventDead)
			_ = l.conn.CloseWithError(codeDead, "no answer")
			return
		case silent > 0 && silent%keepAliveTicks == 0:
			// A datagram needs no stream and makes the peer acknowledge.
			_ = l.conn.SendDatagram([]byte{0})
		}
	}
}

// settled reports that nothing is left to watch, and ends the watch.
func (l *link) settled(received uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams > 0 || received == l.packets {
		return false
	}
	l.watching = false
	return true
}

func (l *link) received() uint64 { return l.conn.ConnectionStats().PacketsReceived }
