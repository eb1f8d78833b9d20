package ingres

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// The limits of ports whose limits do not change, and of others before a configuration is known.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds what a configuration may allow.
	maxHeaderBytes = 1 << 20

	// minAcceptDelay and maxAcceptDelay bound the pause after the system has accepted no connection.
	minAcceptDelay, maxAcceptDelay = 5 * time.Millisecond, 500 * time.Millisecond
)

type (
	// Port describes what a listener serves.
	Port struct {
		Name string // in counters and log lines
		// Share is the share of the descriptors of the process that its connections may take.
		Share float64
		// Limits returns the current limits; values of 0 stand for the defaults. If it is nil, the timeouts of the
		// server apply.
		Limits func() topo.Limits
		// Raw means that the port does not speak HTTP; only its connections are limited.
		Raw bool
		// Encrypted means that the connections carry TLS.
		Encrypted bool
	}

	// Listener accepts the connections of one port.
	Listener struct {
		net.Listener
		gate *Gate
		port Port
		max  int

		closeOnce sync.Once
		closed    chan struct{}
		crowded   bool // the last connection was refused; only Accept uses it
		count     int  // open connections, guarded by the mutex of the gate
	}

	connKey struct{} // context key of the connection of a request
)

// Wrap returns a listener with the limits of the gate; a nil gate has the defaults, for this listener alone.
func (g *Gate) Wrap(l net.Listener, p Port) *Listener {
	if g == nil {
		g = &Gate{}
	}
	g.init()
	return &Listener{Listener: l, gate: g, port: p, max: g.maxConns(p.Share), closed: make(chan struct{})}
}

// limits returns the current limits.
func (l *Listener) limits() topo.Limits {
	var out topo.Limits
	if l.port.Limits != nil {
		out = l.port.Limits()
	}
	if out.HeaderBytes <= 0 {
		out.HeaderBytes = defaultHeaderBytes
	}
	out.HeaderBytes = min(out.HeaderBytes, maxHeaderBytes)
	if out.HeaderTimeout <= 0 {
		out.HeaderTimeout = defaultHeaderTimeout
	}
	if out.IdleTimeout <= 0 {
		out.IdleTimeout = defaultIdleTimeout
	}
	return out
}

// Accept implements net.Listener. It returns an error only if the listener is closed or cannot work any more.
func (l *Listener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.admit(nc); c != nil {
				return c, nil
			}
			delay = minAcceptDelay
			continue
		case !isTemporary(err):
			return nil, err
		}
		l.gate.Report(acceptFailed, l.port.Name)
		l.gate.mu.Lock()
		l.gate.closeFor(time.Now(), func(_ *conn, o order) bool { return o != slowBody })
		l.gate.mu.Unlock()
		if !l.pause(delay) {
			return nil, net.ErrClosed
		}
		delay = min(2*delay, maxAcceptDelay)
	}
}

// pause waits, and returns false if the listener is closed before.
func (l *Listener) pause(d time.Duration) bool {
	select {
	case <-l.closed:
		return false
	case <-time.After(d):
		return true
	}
}

// isTemporary reports whether accepting may succeed later: the process or the system has run out of descriptors or of
// memory, or the client has left.
func isTemporary(err error) bool {
	for _, e := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR,
	} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// admit adds a connection to the list. If there are too many, it closes another one; if it cannot, it closes this one
// after a while and returns nil.
func (l *Listener) admit(nc net.Conn) *conn {
	g := l.gate
	c := &conn{Conn: nc, l: l, since: time.Now()}
	c.share = mem.Share{Budget: g.heads}
	wait := connWait
	if l.crowded {
		wait = crowdedWait
	}
	for deadline := time.Now().Add(wait); ; {
		g.mu.Lock()
		own := func(o *conn, _ order) bool { return o.l == l }
		if l.count < l.max || g.closeFor(time.Now(), own) {
			g.conns[c] = struct{}{}
			l.count++
			g.mu.Unlock()
			l.crowded = false
			return c
		}
		g.mu.Unlock()
		if !time.Now().Before(deadline) || !l.pause(crowdedWait) {
			break
		}
	}
	l.crowded = true
	g.Report(refusedConn, l.port.Name)
	_ = nc.Close()
	return nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Prepare sets the limits of a server that is about to serve the listener, and the hooks by which the listener learns
// when a head is complete and when its request has been served.
func (l *Listener) Prepare(srv *http.Server) {
	srv.MaxHeaderBytes = defaultHeaderBytes
	if l.port.Limits != nil {
		srv.MaxHeaderBytes = maxHeaderBytes
		srv.ReadHeaderTimeout, srv.IdleTimeout = defaultHeaderTimeout, defaultIdleTimeout
	}
	srv.ConnState = l.stateChanged
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, connOf(nc))
	}
	srv.Handler = l.limitHeads(srv.Handler)
}

func connOf(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// stateChanged is the ConnState hook of the server: a connection is active from the end of a head until its request has
// been served.
func (l *Listener) stateChanged(nc net.Conn, s http.ConnState) {
	c := connOf(nc)
	if c == nil {
		return
	}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	switch s {
	case http.StateActive, http.StateHijacked:
		c.enter(serving)
	case http.StateIdle:
		c.enter(kept)
	case http.StateNew, http.StateClosed:
	}
}

// limitHeads refuses requests whose heads were not counted while they arrived: those of HTTP/2, and those that arrived
// with the earlier request.
func (l *Listener) limitHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		bytes, fields := sizeOf(r)
		if fields > maxFields {
			l.gate.Report(tooManyFields, l.port.Name)
			refuseRequest(w, http.StatusRequestHeaderFieldsTooLarge, tooManyFields)
			return
		}
		need := headCost(bytes, fields)
		c, _ := r.Context().Value(connKey{}).(*conn)
		if c != nil {
			l.gate.mu.Lock()
			if c.streams = r.ProtoMajor > 1; !c.streams {
				need -= c.share.Held()
			}
			l.gate.mu.Unlock()
		}
		if need > 0 {
			share := mem.Share{Budget: l.gate.heads}
			defer share.Release()
			if !l.reserve(&share, need, c, r) {
				l.gate.Report(refusedHead, l.port.Name)
				w.Header().Set("Retry-After", retryAfter)
				refuseRequest(w, http.StatusServiceUnavailable, refusedHead)
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

// reserve takes room for the head of a request. Requests of HTTP/2 do not wait for it, because a connection may have
// hundreds of them whose heads are in memory already.
func (l *Listener) reserve(s *mem.Share, n int64, c *conn, r *http.Request) bool {
	ended := func() bool { return r.Context().Err() != nil }
	if r.ProtoMajor > 1 {
		ok, _ := l.gate.tryReserve(s, n, c, ended)
		return ok
	}
	return l.gate.reserve(s, n, c, ended)
}

func refuseRequest(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Connection", "close")
	http.Error(w, reason, status)
}
