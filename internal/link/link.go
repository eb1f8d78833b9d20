package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/store"
)

// sendTimeout bounds how long a peer that does not read may hold up a message.
const sendTimeout = 500 * time.Millisecond

const (
	// Hello names the sender and the tickets that it holds.
	Hello Kind = iota
	// TicketRequest asks for an engine.
	TicketRequest
	// Cancel withdraws an ask.
	Cancel
	// Reply is the decision on an ask; a waiting call gets a second one.
	Reply
	// FirstEvent tells of the first event of an answer.
	FirstEvent
	// Release returns a ticket.
	Release
	// StepDown asks the last holder of the seat to send no more orders; SteppedDown answers.
	StepDown
	// SteppedDown tells how long ago the last order was sent.
	SteppedDown
	// GetChanges asks for changes of the store that the sender does not know, and may wait for them; Changes answers.
	GetChanges
	// Changes carries the changes.
	Changes
)

type (
	// Kind is the kind of a message.
	Kind uint8

	// Message is one message; which fields are set follows from its kind.
	Message struct {
		Kind           Kind               `cbor:"1,keyasint"`
		Call           string             `cbor:"2,keyasint,omitempty"`
		Host           string             `cbor:"3,keyasint,omitempty"`
		Request        *sched.Request     `cbor:"4,keyasint,omitempty"`
		Decision       *sched.Decision    `cbor:"5,keyasint,omitempty"`
		Ticket         uint64             `cbor:"6,keyasint,omitempty"`
		Outcome        sched.Outcome      `cbor:"7,keyasint,omitempty"`
		OpenTickets    []sched.OpenTicket `cbor:"8,keyasint,omitempty"`
		Nonce          string             `cbor:"9,keyasint,omitempty"`
		LastOrderAgeMS int64              `cbor:"10,keyasint,omitempty"`
		Prefixes       []PrefixState      `cbor:"11,keyasint,omitempty"`
		WaitMS         int64              `cbor:"12,keyasint,omitempty"`
		// StoreUnreachable tells that the sender has lost the store itself.
		StoreUnreachable bool `cbor:"13,keyasint,omitempty"`
	}

	// PrefixState is the part of the store below a prefix, as of a revision: whole, or with Delta set what has
	// changed.
	PrefixState struct {
		Prefix   string        `cbor:"1,keyasint"`
		Revision int64         `cbor:"2,keyasint"`
		Items    []store.Item  `cbor:"3,keyasint,omitempty"`
		Delta    bool          `cbor:"4,keyasint,omitempty"`
		Events   []store.Event `cbor:"5,keyasint,omitempty"`
	}

	// Conn is a connection to another host.
	Conn struct {
		nc  net.Conn
		dec *cbor.Decoder
		mu  sync.Mutex
		enc *cbor.Encoder
	}
)

// Dial connects to another host.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := h1.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host at %s", addr)
	}
	return wrap(nc), nil
}

// Listen serves connections until ctx ends; each runs in its own goroutine.
func Listen(ctx context.Context, addr string, serve func(*Conn)) error {
	lc := net.ListenConfig{KeepAliveConfig: h1.KeepAlive(), Control: h1.SetUserTimeout}
	l, err := lc.Listen(ctx, "tcp4", addr)
	if err != nil {
		return errors.Wrap(err, "listen for hosts")
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept host")
		}
		go serve(wrap(nc))
	}
}

// Send sends one message; an error ends the connection.
func (c *Conn) Send(m *Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.nc.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return errors.Wrap(err, "send to host")
	}
	if err := c.enc.Encode(m); err != nil {
		c.Close()
		return errors.Wrap(err, "send to host")
	}
	return nil
}

// Receive returns the next message.
func (c *Conn) Receive() (*Message, error) {
	var m Message
	if err := c.dec.Decode(&m); err != nil {
		return nil, errors.Wrap(err, "receive from host")
	}
	return &m, nil
}

// RoundTrip sends a message and returns the answer, within the time of ctx.
func (c *Conn) RoundTrip(ctx context.Context, m *Message) (*Message, error) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := c.Send(m); err != nil {
		return nil, err
	}
	return c.Receive()
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

func wrap(nc net.Conn) *Conn {
	return &Conn{nc: nc, dec: cbor.NewDecoder(nc), enc: cbor.NewEncoder(nc)}
}
