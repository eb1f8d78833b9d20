package script

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// halfClosed is the time between the end of the response and the reset of a connection that is closed before the
// request was read. Its peer has read the end of the response by then.
const halfClosed = 20 * time.Millisecond

// Cuts are the ways to end a connection after a response whose end only the end of the connection shows.
var Cuts = []Cut{
	{Name: "reset at once"},
	{Name: "reset after 5 ms", Pause: 5 * time.Millisecond},
	{Name: "reset after 60 ms", Pause: 60 * time.Millisecond},
	{Name: "reset after the upload", ReadAll: true, Pause: 5 * time.Millisecond},
	{Name: "closed before the end of the upload", CloseFirst: true},
	{Name: "clean close", ReadAll: true, CloseFirst: true, Complete: true},
}

// BadStatuses are statuses that no response has.
var BadStatuses = []string{"000", "099", "600", "999"}

// Cut says how a Cutter ends a connection.
type Cut struct {
	Name       string
	ReadAll    bool          // the whole request is read before the response is sent, and not only its head
	Pause      time.Duration // between the response and the end of the connection
	CloseFirst bool          // the sender closes its side before the connection ends
	Complete   bool          // the response is complete
}

// Cutter is a server that sends one response on each connection and then ends the connection; its fields are set before
// Listen.
type Cutter struct {
	Cut
	// Response is a whole response. LF is sent as CRLF, and $ID as the value of IDHeader in the request.
	Response string
	IDHeader string
	TLS      *tls.Config // nil for a server without TLS
	// NoNotify leaves out the notification with which a TLS connection is closed.
	NoNotify bool

	listener net.Listener
}

// Listen starts the server on loopback and returns its address.
func (c *Cutter) Listen() (addr string, err error) {
	if c.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return "", errors.Wrap(err, "listen")
	}
	go func() {
		for {
			nc, err := c.listener.Accept()
			if err != nil {
				return
			}
			go c.serve(nc.(*net.TCPConn))
		}
	}()
	return c.listener.Addr().String(), nil
}

// Close ends the server; its open connections stay open.
func (c *Cutter) Close() error { return errors.Wrap(c.listener.Close(), "close listener") }

func (c *Cutter) serve(raw *net.TCPConn) {
	defer func() { _ = raw.Close() }()
	nc := net.Conn(raw)
	if c.TLS != nil {
		nc = tls.Server(raw, c.TLS)
	}
	r, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	if c.ReadAll {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	response := strings.NewReplacer("\n", "\r\n", "$ID", r.Header.Get(c.IDHeader)).Replace(c.Response)
	if _, err := io.WriteString(nc, response); err != nil {
		return
	}
	time.Sleep(c.Pause)
	if c.CloseFirst {
		if tc, ok := nc.(*tls.Conn); ok && !c.NoNotify {
			_ = tc.CloseWrite()
		}
		_ = raw.CloseWrite()
		time.Sleep(halfClosed)
	}
	if !c.Complete {
		_ = raw.SetLinger(0)
	}
}
