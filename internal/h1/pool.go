package h1

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout bounds the wait for a connection; upstreams accept within a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout ends connections whose peer acknowledges nothing.
	silenceTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveEvery find silent peers of connections that only wait for an answer.
	keepAliveIdle  = time.Second
	keepAliveEvery = 500 * time.Millisecond
	keepAliveCount = 2
	// maxIdle bounds the age of idle connections to upstreams that state no limit.
	maxIdle = 4 * time.Second
	// idleMargin is kept from the idle limit that an upstream states, because its clock started earlier.
	idleMargin = time.Second
	// idlePerUpstream bounds the idle connections kept for one upstream.
	idlePerUpstream = 16
	readBuffer      = 4096
	// maxStray bounds the answers to earlier requests that are skipped on one connection.
	maxStray = 2
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT.
	tcpUserTimeout = 0x12
)

var (
	// ErrNotSent means that no byte of the request reached the upstream.
	ErrNotSent = errors.New("request was not sent")
	// ErrNoResponse means that the request was sent and no valid answer arrived, so it may have run.
	ErrNoResponse = errors.New("no valid answer")
)

type (
	// Pool keeps idle connections by address; the fields are set before use.
	Pool struct {
		// IDHeader is the header by which upstreams echo the id of a request.
		IDHeader string
		// Dialed is called for every new connection.
		Dialed func(addr string)

		mu   sync.Mutex
		idle map[string][]*conn
	}

	// Request is sent as it is; the host header and the length are added.
	Request struct {
		Addr   string
		Method string
		Target string // path and query as the caller sent them
		Host   string
		Header http.Header
		Body   []byte
		ID     string
	}

	conn struct {
		net.Conn
		addr  string
		br    *bufio.Reader
		since time.Time
		limit time.Duration
		used  bool
	}
)

// Do sends the request once and returns the answer with its header read. The context ends both the wait and the
// reading of the body. Errors are ErrNotSent or ErrNoResponse.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.abort() })
	written := make(chan error, 1)
	body := r.Body
	head := head(r)
	if len(body) <= readBuffer {
		_, err = c.Write(append(head, body...))
		if err != nil && c.used && errors.Is(err, syscall.EPIPE) {
			stop()
			c.abort()
			return nil, errors.Wrap(ErrNotSent, "idle connection was closed")
		}
		written <- err
	} else {
		// An upstream may answer before it has read a long body, and reads no further until the answer is read.
		go func() {
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(body)
			}
			written <- err
		}()
	}
	a, err := p.read(c, r)
	if err != nil {
		stop()
		c.abort()
		return nil, errors.Wrap(ErrNoResponse, err.Error())
	}
	a.pool, a.conn, a.stop, a.written = p, c, stop, written
	return a, nil
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.since) >= c.limit {
				old = append(old, c)
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
	for _, c := range old {
		_ = c.Close()
	}
}

func (p *Pool) take(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.pop(r.Addr)
		if c == nil {
			break
		}
		if time.Since(c.since) < c.limit && c.quiet() {
			c.used = true
			return c, nil
		}
		c.abort()
	}
	return p.dial(ctx, r.Addr)
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[addr] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.since = time.Now()
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
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, readBuffer), limit: maxIdle}, nil
}

// Dial connects with settings that find a silent peer within seconds.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: KeepAlive(), Control: SetUserTimeout}
	return d.DialContext(ctx, "tcp4", addr)
}

// KeepAlive returns the probes that find a silent peer of an idle connection.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
	}
}

// SetUserTimeout bounds how long sent bytes may stay unacknowledged; it is a Control function of package net.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}

// quiet reports whether the peer has neither closed the connection nor sent anything since its last answer.
func (c *conn) quiet() bool {
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

// abort resets the connection, so that bytes on their way are dropped.
func (c *conn) abort() {
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}

func head(r *Request) []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}
