package memnet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

type (
	// Net connects clients to handlers by address, such as "kv:80"; the zero value is ready to use.
	Net struct {
		mu        sync.Mutex
		listeners map[string]*listener
	}

	// listener is a net.Listener that accepts the server ends of in-memory connections.
	listener struct {
		addr  string
		conns chan net.Conn
		done  chan struct{}
		once  sync.Once
	}

	// address is the net.Addr of a listener.
	address string
)

// Serve handles requests to addr with h until stop is called, which closes all connections to it.
func (n *Net) Serve(addr string, h http.Handler) (stop func()) {
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[addr] = l
	n.mu.Unlock()
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return func() { _ = s.Close() }
}

// Dial connects to the handler of addr; it fails when nothing serves addr or when ctx ends.
func (n *Net) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Errorf("connection to %s refused", addr)
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, errors.Errorf("connection to %s refused", addr)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes later dials and pending ones fail.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address that the listener was created for.
func (l *listener) Addr() net.Addr { return address(l.addr) }

// Network returns "mem".
func (address) Network() string { return "mem" }

// String returns the address.
func (a address) String() string { return string(a) }
