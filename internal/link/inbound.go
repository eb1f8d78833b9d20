package link

import (
	"bytes"
	"io"
	"net"
	"os"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/mem"
)

const (
	// portName and portShare are the name of the port for hosts in counters, and the share of the descriptors that its
	// connections may take.
	portName, portShare = "control", 0.2
	// firstMessageTime bounds the time from the start of a connection to the end of its first message, and messageTime
	// that of a later message which has begun to arrive.
	firstMessageTime, messageTime = 5 * time.Second, 10 * time.Second
	// maxFirstMessage and maxMessage bound messages, in bytes.
	maxFirstMessage, maxMessage = 1 << 20, 4 << 20
	// maxElements bounds the arrays and maps in a message; a follower has a few thousand open tickets and streams.
	maxElements = 16 << 10
	// freeBytes is what a message may have without room in the budget, and messageCost what each further byte takes of
	// it: the buffer doubles, and the decoded message is larger.
	freeBytes, messageCost = 4 << 10, 4
	// keptBuffer is the size of a message from which on its buffer is not kept for the next one.
	keptBuffer = 64 << 10
	// roomWait is how long a message waits for room, and roomInterval how often it tries again.
	roomWait, roomInterval = time.Second, 20 * time.Millisecond
)

// Reasons for which a connection is closed, which are also the names of counters.
const (
	noMessage       = "link_no_message"
	messageTooLarge = "link_message_too_large"
	messageNoRoom   = "link_message_no_room"
	messageNotRead  = "link_message_malformed" // the first one
)

var limitedDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// inbound bounds the messages of a connection that another machine has opened. The machine may be no host.
type inbound struct {
	net.Conn
	gate  *ingres.Gate
	share mem.Share
	r     io.Reader // of the decoder: bytes that an earlier decoder had read, then the connection

	first    bool  // the first message is awaited
	n        int64 // bytes of the current message
	deadline bool  // a read deadline is set
}

// newInbound returns a connection whose messages are bounded.
func newInbound(nc net.Conn, gate *ingres.Gate) *Conn {
	in := &inbound{Conn: nc, gate: gate, first: true, deadline: true}
	in.share.Budget = gate.Messages()
	in.r = in
	_ = nc.SetReadDeadline(time.Now().Add(firstMessageTime))
	c := NewConn(nc)
	c.in, c.dec = in, limitedDecoding.NewDecoder(in)
	return c
}

// Read implements io.Reader. It returns an error if the message exceeds its bounds.
func (in *inbound) Read(p []byte) (int, error) {
	if in.n > 0 && !in.deadline {
		in.deadline = true
		_ = in.SetReadDeadline(time.Now().Add(messageTime))
	}
	n, err := in.Conn.Read(p)
	in.n += int64(n)
	limit := int64(maxMessage)
	if in.first {
		limit = maxFirstMessage
	}
	switch {
	case in.n > limit:
		return 0, mem.ErrTooLong
	case !in.reserve():
		return 0, mem.ErrNoMemory
	}
	return n, err
}

// reserve takes room for the current message and reports whether there is any.
func (in *inbound) reserve() bool {
	need := (in.n-freeBytes)*messageCost - in.share.Held()
	if need <= 0 {
		return true
	}
	for deadline := time.Now().Add(roomWait); !in.share.Take(need); time.Sleep(roomInterval) {
		if !time.Now().Before(deadline) {
			return false
		}
	}
	return true
}

// received ends a message; dec is the decoder that has read it. It returns the decoder of the next one.
func (in *inbound) received(dec *cbor.Decoder) *cbor.Decoder {
	if in.n > keptBuffer {
		rest, _ := io.ReadAll(dec.Buffered())
		in.r = io.MultiReader(bytes.NewReader(rest), in.r)
		dec = limitedDecoding.NewDecoder(in.r)
	}
	in.n = 0
	in.share.Release()
	if in.deadline {
		in.deadline = false
		_ = in.SetReadDeadline(time.Time{})
	}
	if in.first {
		in.first = false
		if c, ok := in.Conn.(interface{ Established() }); ok {
			c.Established()
		}
	}
	return dec
}

// failed counts why a message has not been received, and closes the connection, so that its bytes are freed.
func (in *inbound) failed(err error) {
	in.share.Release()
	var reason string
	switch {
	case errors.Is(err, mem.ErrTooLong):
		reason = messageTooLarge
	case errors.Is(err, mem.ErrNoMemory):
		reason = messageNoRoom
	case in.first && errors.Is(err, os.ErrDeadlineExceeded):
		reason = noMessage
	case in.first && !errors.Is(err, io.EOF) && !isClosed(err):
		reason = messageNotRead
	}
	if reason != "" {
		in.gate.Report(reason, portName)
	}
	_ = in.Close()
}

// isClosed reports whether an error is that of a connection that has ended.
func isClosed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}
