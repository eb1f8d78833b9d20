package link

import (
	"net"
	"sync/atomic"
)

// kindNames are the names of the kinds of messages in metrics.
var kindNames = [...]string{
	Hello: "hello", TicketRequest: "ticket_request", Cancel: "cancel", Reply: "reply", FirstEvent: "first_event",
	Release: "release", StepDown: "step_down", SteppedDown: "stepped_down", GetChanges: "get_changes",
	Changes: "changes", Notices: "notices", RequestPromise: "request_promise", Promised: "promised",
	Refused: "refused", Quota: "quota", Ack: "ack", Keep: "keep",
}

type (
	// Traffic counts the messages that a host has sent to others, and their bytes without those of the transport, by
	// kind; its zero value is ready for use.
	Traffic struct {
		sent [len(kindNames)]struct{ messages, bytes atomic.Int64 }
	}

	// countingConn counts the bytes that are written. Only one goroutine at a time may write and read the count.
	countingConn struct {
		net.Conn

		written int64
	}
)

// Each calls f for each kind of message that hosts send, with functions that return what has been sent of it.
func (t *Traffic) Each(f func(kind string, messages, bytes func() int64)) {
	for kind, name := range kindNames {
		f(name, t.sent[kind].messages.Load, t.sent[kind].bytes.Load)
	}
}

func (t *Traffic) add(kind Kind, bytes int64) {
	if t == nil || int(kind) >= len(t.sent) {
		return
	}
	t.sent[kind].messages.Add(1)
	t.sent[kind].bytes.Add(bytes)
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}
