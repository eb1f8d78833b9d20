package simnet

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

// ErrStreamFailed means that the peer was unreachable for 5 s, that this host was killed, or that the stream is
// closed.
var ErrStreamFailed = errors.New("stream failed")

type (
	// stream is one side of a stream between two hosts; it implements wire.Stream.
	stream struct {
		net  *Net
		pair pair
		self *Host
		peer *Host
		in   *queue
		out  *queue
	}

	// queue holds the messages of one direction of a stream; it has one reader.
	queue struct {
		mu           sync.Mutex
		messages     []message
		writerClosed bool // the reader gets io.EOF after the last message
		readerClosed bool // writes fail
		signal       chan struct{}
	}

	message struct {
		body      []byte
		deliverAt time.Time
	}
)

func newQueue() *queue { return &queue{signal: make(chan struct{}, 1)} }

// Send encodes v and queues it; the peer can receive it after the delay between the two hosts.
func (s *stream) Send(v any) error {
	if s.self.ctx.Err() != nil {
		return errors.Wrap(ErrStreamFailed, "host was killed")
	}
	body, err := wire.Marshal(v)
	if err != nil {
		return err
	}
	state, _ := s.net.path(s.pair)
	if !s.out.push(message{body: body, deliverAt: time.Now().Add(state.delay)}) {
		return ErrStreamFailed
	}
	s.self.counts.sentBytes.Add(int64(len(body) + lengthBytes))
	s.self.counts.sentMessages.Add(1)
	return nil
}

// Recv waits for the next message and decodes it into v. It returns io.EOF after the last one if the peer has closed.
func (s *stream) Recv(v any) error {
	for {
		state, changed := s.net.path(s.pair)
		killed := s.peer.ctx.Err() != nil
		body, wait, err := s.in.pop(state.partitioned || state.frozen || killed)
		if err != nil {
			return err
		}
		if body != nil {
			s.self.counts.receivedBytes.Add(int64(len(body) + lengthBytes))
			s.self.counts.receivedMessages.Add(1)
			return wire.Unmarshal(body, v)
		}
		if err := s.wait(state, killed, wait, changed); err != nil {
			return err
		}
	}
}

// Close closes both directions; messages that were sent can still be received.
func (s *stream) Close() error {
	s.out.close(func(q *queue) { q.writerClosed = true })
	s.in.close(func(q *queue) { q.readerClosed = true })
	return nil
}

// wait blocks until Recv has to check its queue again: after a push or close, a change of the network, the death of the
// peer, or timeLeft. It returns an error if the host was killed or the peer was unreachable for failAfter.
func (s *stream) wait(state pathState, killed bool, timeLeft time.Duration, changed <-chan struct{}) error {
	peerKilled := s.peer.ctx.Done()
	fails := false
	switch {
	case killed:
		timeLeft, fails, peerKilled = failAfter, true, nil
	case state.partitioned:
		timeLeft, fails = time.Until(state.partitionedAt.Add(failAfter)), true
	}
	var timeout <-chan time.Time
	if fails || timeLeft > 0 {
		timer := time.NewTimer(timeLeft)
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-s.in.signal:
	case <-changed:
	case <-peerKilled:
	case <-timeout:
		if fails {
			_ = s.Close()
			return errors.Wrap(ErrStreamFailed, "peer is unresponsive")
		}
	case <-s.self.ctx.Done():
		return errors.Wrap(ErrStreamFailed, "host was killed")
	}
	return nil
}

func (q *queue) push(m message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.writerClosed || q.readerClosed {
		return false
	}
	q.messages = append(q.messages, m)
	q.wake()
	return true
}

// pop returns the next message if its delay is over, or else the remaining delay; both are zero if there is none, and
// while delivery is blocked by a fault.
func (q *queue) pop(blocked bool) ([]byte, time.Duration, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.readerClosed:
		return nil, 0, errors.Wrap(ErrStreamFailed, "closed on this side")
	case blocked:
		return nil, 0, nil
	case len(q.messages) > 0:
		m := q.messages[0]
		if wait := time.Until(m.deliverAt); wait > 0 {
			return nil, wait, nil
		}
		q.messages = q.messages[1:]
		return m.body, 0, nil
	case q.writerClosed:
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
