package simnet

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

// ErrBroken means that the peer was silent for 5 s or that the exchange was closed on this side.
var ErrBroken = errors.New("exchange is broken")

type (
	// conn is one side of an exchange.
	conn struct {
		net  *Net
		pair pair
		self *Host
		peer *Host
		in   *queue
		out  *queue
	}

	// queue holds the messages of one direction, which have one reader.
	queue struct {
		mu       sync.Mutex
		messages []message
		ended    bool // by the writer: io.EOF after the last message
		refused  bool // by the reader: writes fail
		signal   chan struct{}
	}

	message struct {
		body []byte
		due  time.Time
	}
)

func newQueue() *queue { return &queue{signal: make(chan struct{}, 1)} }

// Send encodes v and queues it; the message arrives after the delay of the pair.
func (c *conn) Send(v any) error {
	if c.self.ctx.Err() != nil {
		return errors.Wrap(ErrBroken, "host was killed")
	}
	body, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	l, _ := c.net.state(c.pair)
	if !c.out.push(message{body: body, due: time.Now().Add(l.delay)}) {
		return ErrBroken
	}
	c.self.counts.sentBytes.Add(int64(len(body) + headerBytes))
	c.self.counts.sentMessages.Add(1)
	return nil
}

// Recv waits for the next message; io.EOF follows the last one of a peer that closed.
func (c *conn) Recv(v any) error {
	for {
		l, changed := c.net.state(c.pair)
		killed := c.peer.ctx.Err() != nil
		body, wait, err := c.in.pop(l.cut || l.frozen || killed)
		if err != nil {
			return err
		}
		if body != nil {
			c.self.counts.receivedBytes.Add(int64(len(body) + headerBytes))
			c.self.counts.receivedMessages.Add(1)
			return wire.Unmarshal(body, v)
		}
		if err := c.pause(l, killed, wait, changed); err != nil {
			return err
		}
	}
}

// Close ends both directions.
func (c *conn) Close() error {
	c.out.close(func(q *queue) { q.ended = true })
	c.in.close(func(q *queue) { q.refused = true })
	return nil
}

// pause waits until Recv has a reason to look again, or returns the error of a broken exchange.
func (c *conn) pause(l link, killed bool, wait time.Duration, changed <-chan struct{}) error {
	peerKilled := c.peer.ctx.Done()
	breaks := false
	switch {
	case killed:
		wait, breaks, peerKilled = breakAfter, true, nil
	case l.cut:
		wait, breaks = time.Until(l.cutAt.Add(breakAfter)), true
	}
	var timeout <-chan time.Time
	if breaks || wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-c.in.signal:
	case <-changed:
	case <-peerKilled:
	case <-timeout:
		if breaks {
			_ = c.Close()
			return errors.Wrap(ErrBroken, "peer is silent")
		}
	case <-c.self.ctx.Done():
		return errors.Wrap(ErrBroken, "host was killed")
	}
	return nil
}

func (q *queue) push(m message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended || q.refused {
		return false
	}
	q.messages = append(q.messages, m)
	q.wake()
	return true
}

// pop returns the first message that is due, or else how long to wait for it; held queues give nothing.
func (q *queue) pop(held bool) ([]byte, time.Duration, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.refused:
		return nil, 0, errors.Wrap(ErrBroken, "closed on this side")
	case held:
		return nil, 0, nil
	case len(q.messages) > 0:
		m := q.messages[0]
		if wait := time.Until(m.due); wait > 0 {
			return nil, wait, nil
		}
		q.messages = q.messages[1:]
		return m.body, 0, nil
	case q.ended:
		return nil, 0, io.EOF
	default:
		return nil, 0, nil
	}
}

func (q *queue) close(f func(*queue)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q)
	q.wake()
}

func (q *queue) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}
