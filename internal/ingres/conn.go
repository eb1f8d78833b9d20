package ingres

import (
	"io"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/mem"
)

const (
	fresh   phase = iota // nothing has been received
	head                 // a head is being received
	serving              // a request is being served
	kept                 // waits for the next request
)

// Order in which connections are closed for room.
const (
	sentNothing order = iota
	slowHead
	idle
	slowBody
	inUse // not closed
)

const (
	// bufferBytes is the size of the buffer of net/http. Of a head that a client has sent before its earlier request
	// was served, at most so many bytes have been read.
	bufferBytes = 4 << 10
	// earlyHeadCost is taken for such a head if it is not complete; its fields have not been counted.
	earlyHeadCost = bufferBytes*byteCost + 2*maxFields*fieldCost
	// headSlack is the number of bytes by which a head may exceed its limit, as with net/http.
	headSlack = 4 << 10
	// refusalTime bounds sending a refusal, and lingerTime and lingerBytes what is read after it, because a connection
	// that is closed with unread bytes is reset and the client may lose the refusal.
	refusalTime = time.Second
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
)

var errRefused = errors.New("request refused")

type (
	phase int
	order int

	// conn is a connection of a client; its fields are guarded by the mutex of the gate.
	conn struct {
		net.Conn
		l     *Listener
		phase phase
		since time.Time // start of the phase
		scan  scanner
		share mem.Share // what the head takes until its request has been served

		idleSet  bool // the deadline of the idle time has been set
		early    bool // a part of the head was received with the earlier request
		inBody   bool // the handler waits for the body
		body     int  // bytes of the body received
		wrote    bool // a part of the response has been written
		removed  bool // closed, or about to be
		finished bool // the last response has been sent
		streams  bool // the connection carries several requests at once (HTTP/2); only handlers count their heads
	}
)

// Read implements net.Conn. It counts the bytes of a head before the HTTP server gets them, and refuses the request if
// they exceed a limit.
func (c *conn) Read(p []byte) (int, error) {
	g := c.l.gate
	g.mu.Lock()
	// Package net/http reads a single byte while a handler runs whose body is complete.
	c.inBody = c.phase == serving && len(p) > 1 && !c.l.port.Encrypted && !c.l.port.Raw
	early := c.early && c.phase == head
	c.early = false
	g.mu.Unlock()
	if early && !c.reserve(earlyHeadCost) {
		return 0, c.refuse(503, refusedHead)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refused := c.received(p[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// received counts bytes, and returns an error if the request was refused because of them.
func (c *conn) received(b []byte) error {
	g := c.l.gate
	g.mu.Lock()
	if c.phase == serving {
		c.body += len(b)
		c.inBody = false
		g.mu.Unlock()
		return nil
	}
	if c.phase != head {
		c.enter(head)
	}
	if c.l.port.Raw || c.streams {
		g.mu.Unlock()
		return nil
	}
	cost := int64(len(b)) * opaqueCost
	if !c.l.port.Encrypted {
		before := c.scan.fields
		c.scan.add(b)
		cost = headCost(len(b), c.scan.fields-before)
	}
	bytes, fields := c.scan.bytes, c.scan.fields
	g.mu.Unlock()
	switch {
	case bytes > c.l.limits().HeaderBytes+headSlack:
		return c.refuse(431, tooLargeHead)
	case fields > maxFields:
		return c.refuse(431, tooManyFields)
	case !c.reserve(cost):
		return c.refuse(503, refusedHead)
	}
	return nil
}

func (c *conn) reserve(n int64) bool {
	return c.l.gate.reserve(&c.share, n, c, func() bool { return c.removed })
}

// enter begins a phase. The caller holds the mutex of the gate.
func (c *conn) enter(p phase) {
	c.phase, c.since = p, time.Now()
	switch p {
	case head:
		c.scan = scanner{}
	case serving:
		c.body, c.wrote, c.inBody, c.idleSet, c.early = 0, false, false, false, false
	case kept:
		c.share.Release()
	}
}

// remove takes the connection off the list. The caller holds the mutex of the gate.
func (c *conn) remove() {
	if c.removed {
		return
	}
	c.removed = true
	c.share.Release()
	delete(c.l.gate.conns, c)
	c.l.count--
}

// order returns when the connection is closed for room. The caller holds the mutex of the gate.
func (c *conn) order(now time.Time) order {
	age := now.Sub(c.since)
	switch {
	case c.finished:
		return sentNothing
	case c.phase == fresh && age >= connGrace:
		return sentNothing
	case c.phase == head && age >= headGrace:
		return slowHead
	case c.phase == kept && age >= connGrace:
		return idle
	case c.phase == serving && c.inBody && !c.wrote && age >= bodyGrace &&
		float64(c.body) < minBodyRate*age.Seconds():
		return slowBody
	}
	return inUse
}

// refuse sends a status to a client whose head is not complete and returns the error with which net/http ends the
// connection without a response of its own.
func (c *conn) refuse(status int, reason string) error {
	g := c.l.gate
	g.mu.Lock()
	ended := c.removed
	c.share.Release()
	c.finished = true
	g.mu.Unlock()
	err := &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
	if ended {
		return err
	}
	g.Report(reason, c.l.port.Name)
	if c.l.port.Encrypted || c.l.port.Raw {
		return err
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	text := map[int]string{
		431: "431 Request Header Fields Too Large\r\n",
		503: "503 Service Unavailable\r\nRetry-After: " + retryAfter + "\r\n",
	}[status]
	_, writeErr := io.WriteString(c.Conn, "HTTP/1.1 "+text+"Connection: close\r\nContent-Type: text/plain\r\n"+
		"Content-Length: "+strconv.Itoa(len(reason)+1)+"\r\n\r\n"+reason+"\n")
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && writeErr == nil {
		_ = half.CloseWrite()
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	return err
}

// SetReadDeadline implements net.Conn. Where the limits of the port change, it replaces the deadlines that net/http
// sets for the idle time and for a head.
func (c *conn) SetReadDeadline(t time.Time) error {
	g, limits := c.l.gate, c.l.limits()
	g.mu.Lock()
	wait := time.Duration(0)
	switch {
	case c.l.port.Encrypted || c.phase == serving:
	case c.phase == kept && !c.idleSet:
		c.idleSet, wait = true, limits.IdleTimeout
	case c.phase == kept:
		// The head began to arrive before its connection was idle; it is in the buffer of net/http.
		c.enter(head)
		c.early, wait = true, limits.HeaderTimeout
	default:
		wait = limits.HeaderTimeout - time.Since(c.since)
	}
	g.mu.Unlock()
	if c.l.port.Limits != nil && !t.IsZero() && wait != 0 {
		t = time.Now().Add(wait)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	g := c.l.gate
	g.mu.Lock()
	c.wrote = true
	g.mu.Unlock()
	return c.Conn.Write(p)
}

// CloseWrite closes the sending side. After that net/http only waits for the client to read the response.
func (c *conn) CloseWrite() error {
	g := c.l.gate
	g.mu.Lock()
	c.finished = true
	g.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	g := c.l.gate
	g.mu.Lock()
	c.remove()
	g.mu.Unlock()
	return c.Conn.Close()
}

// Established marks a connection without HTTP as one that has sent its first message, which is not closed for room.
func (c *conn) Established() {
	g := c.l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	c.enter(serving)
}
