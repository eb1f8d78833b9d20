package acks

import "time"

// Window counts the messages that were sent on a connection and those that the peer has acknowledged. Its zero value is
// that of a new connection. It is not safe for concurrent use.
type Window struct {
	sent, acked uint64
	// progressAt is when the peer last acknowledged a message, or when the first one after that was sent.
	progressAt time.Time
}

// Sent records that a message is sent.
func (w *Window) Sent(now time.Time) {
	if w.sent == w.acked {
		w.progressAt = now
	}
	w.sent++
}

// Acked records that the peer has received the first n messages. It ignores counts that are not newer, and those of
// messages that were not sent.
func (w *Window) Acked(now time.Time, n uint64) {
	if n > w.acked && n <= w.sent {
		w.acked, w.progressAt = n, now
	}
}

// Stalled returns for how long the peer has acknowledged nothing although messages wait for that, and 0 if none do. A
// peer that has never acknowledged anything does not send acknowledgements, so nothing waits for them.
func (w *Window) Stalled(now time.Time) time.Duration {
	if w.acked == 0 || w.sent == w.acked {
		return 0
	}
	return now.Sub(w.progressAt)
}
