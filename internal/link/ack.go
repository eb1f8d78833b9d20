package link

import (
	"sync"
	"time"

	"github.com/figreel/figreel/internal/acks"
)

// ackState is what one end of a connection has acknowledged and what it has had acknowledged.
type ackState struct {
	mu     sync.Mutex
	window acks.Window // of the messages that this end sends
	got    uint64      // messages that this end has received
	told   uint64      // messages that this end has acknowledged

	// The fields below are set by Acknowledge.
	enabled bool
	delay   time.Duration
	failed  func(error)
	due     bool // an acknowledgement will be sent
}

// Acknowledge makes this end acknowledge what it receives: at once, and from then on with each message that it sends,
// at most delay after a message has arrived. If an acknowledgement cannot be sent, the connection is closed and failed
// is called. It is called by the goroutine that receives.
func (c *Conn) Acknowledge(delay time.Duration, failed func(error)) {
	a := &c.acks
	a.mu.Lock()
	a.enabled, a.due, a.delay, a.failed = true, true, delay, failed
	a.mu.Unlock()
	go c.sendAck()
}

// Stalled returns for how long the peer has acknowledged nothing although it was sent messages. It is 0 if the peer has
// acknowledged all of them, or does not acknowledge messages.
func (c *Conn) Stalled() time.Duration {
	a := &c.acks
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.window.Stalled(time.Now())
}

// sendAck acknowledges what has been received, unless a message to the peer has done so.
func (c *Conn) sendAck() {
	a := &c.acks
	a.mu.Lock()
	a.due = false
	told := a.told == a.got
	a.mu.Unlock()
	if told {
		return
	}
	if err := c.Send(&Message{Kind: Ack}); err != nil {
		a.failed(err)
	}
}

// sending records that a message is sent, and returns the count that it acknowledges.
func (a *ackState) sending(now time.Time) uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.window.Sent(now)
	if !a.enabled {
		return 0
	}
	a.told = a.got
	return a.got
}

// received records a message and what it acknowledges. It reports whether an acknowledgement has to be sent after the
// delay.
func (a *ackState) received(now time.Time, acked uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.got++
	a.window.Acked(now, acked)
	if !a.enabled || a.due {
		return false
	}
	a.due = true
	return true
}
