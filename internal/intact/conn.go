package intact

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var errNoNotification = errors.New("the TLS connection ended without a notification of its end")

type (
	// Dialer opens connections that return the end of the stream only after a clean close of the sender; its fields are
	// set before use. Each connection carries one request.
	Dialer struct {
		Dial             func(ctx context.Context, network, addr string) (net.Conn, error)
		TLS              *tls.Config // nil for the defaults
		HandshakeTimeout time.Duration
	}

	// conn is a connection of a Dialer.
	conn struct {
		net.Conn
		base    *baseConn
		written chan error // receives the result of writing the request
		end     error      // of the stream, once it was read
	}

	// baseConn is the connection below TLS, or the connection itself.
	baseConn struct {
		net.Conn
		ended atomic.Bool // the end of the stream was read
	}
)

// Configure makes a transport use the connections. Requests must have a context of Trace.
func (d *Dialer) Configure(t *http.Transport) {
	t.DialContext, t.DialTLSContext, t.DisableKeepAlives = d.dial, d.dialTLS, true
}

// Trace returns a context for one request, which passes the result of writing it to its connection.
func Trace(ctx context.Context) context.Context {
	var used atomic.Pointer[conn]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				used.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := used.Load(); c != nil {
				select {
				case c.written <- info.Err:
				default:
				}
			}
		},
	})
}

func (d *Dialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := d.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	base := &baseConn{Conn: nc}
	return &conn{Conn: base, base: base, written: make(chan error, 1)}, nil
}

func (d *Dialer) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	nc, err := d.Dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if d.TLS != nil {
		config = d.TLS.Clone()
	}
	if config.ServerName == "" {
		config.ServerName = host
	}
	ctx, cancel := context.WithTimeout(ctx, d.HandshakeTimeout)
	defer cancel()
	base := &baseConn{Conn: nc}
	tc := tls.Client(base, config)
	if err := tc.HandshakeContext(ctx); err != nil {
		_ = nc.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return &conn{Conn: tc, base: base, written: make(chan error, 1)}, nil
}

// Read returns io.EOF only after a clean close of the sender, which over TLS includes the notification of the end.
func (c *conn) Read(b []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		err = c.verify()
		c.end = err
	}
	return n, err
}

// verify returns io.EOF if the stream has ended cleanly.
func (c *conn) verify() error {
	_, isTLS := c.Conn.(*tls.Conn)
	if isTLS && c.base.ended.Load() {
		return errNoNotification
	}
	if err := Verify(c.base.Conn, c.written, isTLS); err != nil {
		return err
	}
	return io.EOF
}

// Read notes the end of the stream.
func (c *baseConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		c.ended.Store(true)
	}
	return n, err
}
