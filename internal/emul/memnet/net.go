package memnet

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

type (
	// Net connects clients to handlers by address such as "kv:80"; the zero value is ready.
	Net struct {
		mu        sync.Mutex
		listeners map[string]*listener
	}

	listener struct {
		addr  string
		conns chan net.Conn
		done  chan struct{}
		once  sync.Once
	}

	address string
)

// Serve answers requests to addr with h until stop is called, which cuts all its connections.
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

// Dial connects to the handler that serves addr.
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

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address that the handler serves.
func (l *listener) Addr() net.Addr { return address(l.addr) }

// Network returns the kind of network.
func (address) Network() string { return "mem" }

// String returns the address.
func (a address) String() string { return string(a) }
