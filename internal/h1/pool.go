package h1

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the time to establish a connection; upstreams accept within a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP probes that detect an unresponsive upstream
	// while a connection only waits for a response.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// maxIdle is how long connections may stay idle if the upstream states no lower limit.
	maxIdle = 4 * time.Second
	// idleMargin is subtracted from the idle limit that an upstream states, because the upstream's timer starts earlier
	// than ours.
	idleMargin = time.Second
	// idlePerUpstream bounds the number of idle connections to one upstream.
	idlePerUpstream = 16
	// maxRequests is the number of requests with an ID after which a connection is closed, because it remembers their
	// IDs.
	maxRequests = 512
	// bufferSize is the size of a connection's read buffer, in bytes. A request whose body is not larger is sent in one
	// write.
	bufferSize = 4096
	// maxSkipped bounds the responses to other requests that are skipped while waiting for a response.
	maxSkipped = 2
	// maxHeadBytes bounds the head of a response: status line, header fields and the start of the body that was read
	// with them. maxSkippedBytes bounds the body of a response that is skipped.
	maxHeadBytes    = 64 << 10
	maxSkippedBytes = 1 << 20
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

var (
	// ErrNotSent means that no byte of the request reached the upstream.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse means that the request was sent but no valid response arrived, so it may have been executed.
	ErrNoResponse = errors.New("no valid response")
	// ErrBodyTooLong means that the body of a response is longer than its reader allows.
	ErrBodyTooLong = errors.New("response body is too long")
)

type (
	// Pool is a pool of idle connections by address; the exported fields are set before use.
	Pool struct {
		// IDHeader is the response header in which upstreams echo the ID of a request.
		IDHeader string
		// Dialed is called before each attempt to open a new connection; nil does nothing.
		Dialed func(addr string)
		// Skipped is called for each response to another request that was read and skipped, with the address of the
		// upstream and the ID and status of the response; nil does nothing.
		Skipped func(addr, id string, status int)

		mu   sync.Mutex
		idle map[string][]*conn
	}

	// Request is an HTTP request. It is sent as it is, with the Host and Content-Length headers added.
	Request struct {
		Addr   string
		Method string
		Target string // path and query as the caller sent them
		Host   string
		Header http.Header
		Body   []byte
		// ID is expected in IDHeader of the response; if it is empty, the response must have none. A connection carries
		// each ID once: a faulty upstream may send a response once more, and the copy must not answer a request that is
		// sent again. A request without an ID that is not a GET goes out only on a connection that has carried no other
		// without one; the caller of a GET without an ID has to recognize the response to another.
		ID string
		// Check is sent first if the connection has not been checked; nil checks nothing. If it fails, the request is
		// not sent.
		Check *Check
	}

	// Check is a GET that is sent before the first request with a check on a connection. It shows which process the
	// connection leads to, because a connection does not outlive its process.
	Check struct {
		Target string
		Header http.Header
		// Accept returns an error if the response is not that of the process that is meant.
		Accept func(status int, body []byte) error
	}

	conn struct {
		net.Conn
		addr      string
		br        *bufio.Reader
		limit     *limitedReader
		idleSince time.Time
		maxIdle   time.Duration
		requests  int      // carried so far
		carried   []uint64 // hashes of their IDs
		unmatched bool     // one of them had no ID
		reused    bool
		checked   bool
	}
)

// Do sends the request once and returns the response after its header was read. When ctx ends, the connection is
// aborted, also while the body is being read. Errors are ErrNotSent or ErrNoResponse.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := p.check(ctx, c, r); err != nil {
		c.abort()
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c.addRequest(r.ID)
	stop := context.AfterFunc(ctx, func() { c.abort() })
	written := make(chan error, 1)
	body := r.Body
	header := encodeHeader(r)
	if len(body) <= bufferSize {
		n, err := c.Write(append(header, body...))
		if n == 0 && c.reused && errors.Is(err, syscall.EPIPE) {
			stop()
			c.abort()
			return nil, errors.Wrap(ErrNotSent, "idle connection was closed")
		}
		written <- err
	} else {
		// An upstream may respond before it has read a long body, and then read no further until its response is read.
		go func() {
			_, err := c.Write(header)
			if err == nil {
				_, err = c.Write(body)
			}
			written <- err
		}()
	}
	res, err := p.readResponse(c, r)
	if err != nil {
		stop()
		c.abort()
		return nil, errors.Wrap(ErrNoResponse, err.Error())
	}
	res.pool, res.conn, res.stopAbort, res.writeResult = p, c, stop, written
	return res, nil
}

// Sweep closes the connections that have exceeded their idle limit.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.maxIdle {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.pop(r)
		if c == nil {
			return p.dial(ctx, r.Addr)
		}
		if time.Since(c.idleSince) < c.maxIdle && c.isReusable() {
			c.reused = true
			return c, nil
		}
		c.abort()
	}
}

// pop removes and returns the idle connection that was used last of those that can carry the request, or nil.
func (p *Pool) pop(r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[r.Addr]
	for i, c := range slices.Backward(list) {
		if !c.canCarry(r) {
			continue
		}
		p.idle[r.Addr] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

func (p *Pool) put(c *conn) {
	if len(c.carried) >= maxRequests {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[c.addr]) < idlePerUpstream {
		p.idle[c.addr] = append(p.idle[c.addr], c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	if p.Dialed != nil {
		p.Dialed(addr)
	}
	nc, err := Dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	limit := &limitedReader{r: nc}
	return &conn{
		Conn: nc, addr: addr, br: bufio.NewReaderSize(limit, bufferSize), limit: limit, maxIdle: maxIdle,
	}, nil
}

// Dial connects with socket options that detect an unresponsive peer within seconds.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: SetUserTimeout}
	return d.DialContext(ctx, "tcp4", addr)
}

// KeepAlive returns the probe settings that detect an unresponsive peer of an idle connection.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged; it is a Control function of package net.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// addRequest records that the connection carries a request.
func (c *conn) addRequest(id string) {
	c.requests++
	if id == "" {
		c.unmatched = true
		return
	}
	c.carried = append(c.carried, xxhash.Sum64String(id))
}

// canCarry reports whether no copy of a response to an earlier request can be taken for the response to this one. A
// HEAD needs a connection of its own: where the body of a copy ends follows from the method of its request.
func (c *conn) canCarry(r *Request) bool {
	if r.Method == http.MethodHead {
		return false
	}
	if r.ID == "" {
		return r.Method == http.MethodGet || !c.unmatched
	}
	return !slices.Contains(c.carried, xxhash.Sum64String(r.ID))
}

// isReusable reports whether the connection is open and the peer has sent nothing since its last response.
func (c *conn) isReusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// abort resets the connection, so that unsent and unread bytes are discarded.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

func encodeHeader(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
