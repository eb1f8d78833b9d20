package link

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/fresh"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/poison"
	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/speed"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/vers"
)

// sendTimeout is the write timeout of one message, for peers that do not read.
const sendTimeout = 500 * time.Millisecond

const (
	// Hello is the first message of a follower to the leader; it names the host and its open tickets.
	Hello Kind = iota
	// TicketRequest requests an engine and a ticket for a call.
	TicketRequest
	// Cancel withdraws a ticket request.
	Cancel
	// Reply is the scheduler's decision on a ticket request; a call that has to wait gets a second one.
	Reply
	// FirstEvent reports that the first event of a response has arrived.
	FirstEvent
	// Release returns a ticket with the outcome of the call.
	Release
	// StepDown asks the previous leader to send no more orders to engines; the response is SteppedDown.
	StepDown
	// SteppedDown reports how long ago the previous leader sent its last order.
	SteppedDown
	// GetChanges requests the changes of the store since the sender's revisions, and may wait for them; the response is
	// Changes.
	GetChanges
	// Changes is the response to GetChanges.
	Changes
	// Notices tells the leader what an upstream has just stated about the calls that it takes.
	Notices
	// RequestPromise asks a host to send no orders to engines for a while, because the leader with this nonce cannot
	// renew its lease; the response is Promised or Refused.
	RequestPromise
	// Promised grants what RequestPromise asks for.
	Promised
	// Refused is the response of a host that has seen the lease of that leader end.
	Refused
	// Quota tells the leader what plain calls of workspaces have used, and a follower which quotas are used up.
	Quota
	// Ack only acknowledges messages.
	Ack
	// Keep asks a follower to keep the records of streams that began at the leader as if they had begun there.
	Keep
)

type (
	// Kind is the kind of a message.
	Kind uint8

	// Message is one message; its kind determines which fields are set.
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
		// StoreUnreachable is set if the sender itself cannot reach the store.
		StoreUnreachable bool `cbor:"13,keyasint,omitempty"`
		// Stale is set if the sender's copy of the upstreams is too old to rely on.
		Stale bool `cbor:"14,keyasint,omitempty"`
		// Load is the load that the engine stated with the first event, or nil.
		Load *topo.Load `cbor:"15,keyasint,omitempty"`
		// ConfirmedMS is the time from the arrival of the request to the moment as of which the sender's copy of the
		// upstreams is complete; it is negative if that was before. It has no meaning if Stale is set.
		ConfirmedMS int64 `cbor:"16,keyasint,omitempty"`
		// Poison is what the sender of GetChanges or Changes knows of prompt segments that crash engines, or nil.
		Poison *poison.State `cbor:"17,keyasint,omitempty"`
		// Notices is what the sender of GetChanges, Changes or Notices knows of the statements of upstreams, or nil.
		Notices *notice.State `cbor:"18,keyasint,omitempty"`
		// Token is the fencing token of the sender of StepDown.
		Token int64 `cbor:"19,keyasint,omitempty"`
		// Streams says which software versions began streams at the sender: with Hello all that it knows, with
		// FirstEvent the one that the event began, and with Keep either.
		Streams []vers.Record `cbor:"20,keyasint,omitempty"`
		// Config is the state of the sender's copy of the configuration, with Changes, or nil.
		Config *fresh.State `cbor:"21,keyasint,omitempty"`
		// Quota is what Quota tells.
		Quota *quota.Message `cbor:"22,keyasint,omitempty"`
		// Speeds holds with Hello the newest estimates of the speed of engines and the cost of models at the sender.
		Speeds []speed.Estimate `cbor:"23,keyasint,omitempty"`
		// Assumed holds with Hello what the sender assumes of streams without a record.
		Assumed []vers.Assumption `cbor:"25,keyasint,omitempty"`
		// Acked is the number of messages that the sender has received on the connection, if it acknowledges them.
		Acked uint64 `cbor:"24,keyasint,omitempty"`
	}

	// PrefixState is the state of the store below a prefix at a version. It holds all items, or with Delta set the
	// events since the revision that the receiver has, which is of the same era.
	PrefixState struct {
		Prefix   string        `cbor:"1,keyasint"`
		Revision int64         `cbor:"2,keyasint"`
		Items    []store.Item  `cbor:"3,keyasint,omitempty"`
		Delta    bool          `cbor:"4,keyasint,omitempty"`
		Events   []store.Event `cbor:"5,keyasint,omitempty"`
		Era      int64         `cbor:"6,keyasint,omitempty"`
		// DetailRevision is the revision as of which the details of the items are complete too, those that say nothing
		// of where calls may be sent. WantsDetails is set in a request if they are wanted; without it a response may
		// leave changes of details out, and has no DetailRevision then.
		DetailRevision int64 `cbor:"7,keyasint,omitempty"`
		WantsDetails   bool  `cbor:"8,keyasint,omitempty"`
		// Packed replaces Items and Events, see Pack.
		Packed []byte `cbor:"9,keyasint,omitempty"`
	}

	// Conn is a connection to another host. Several goroutines may send; only one may receive.
	Conn struct {
		// Traffic counts what is sent; nil counts nothing. It is set before the first message.
		Traffic *Traffic

		nc   *countingConn
		dec  *cbor.Decoder
		mu   sync.Mutex // held while a message is sent
		enc  *cbor.Encoder
		in   *inbound // nil for a connection that this host has opened
		acks ackState
	}
)

// Dial connects to the host at addr.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	nc, err := h1.Dial(ctx, addr)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to host at %s", addr)
	}
	return NewConn(nc), nil
}

// Listen accepts connections of other hosts until ctx ends and calls serve for each in its own goroutine. It bounds the
// connections and their messages by the gate.
func Listen(ctx context.Context, addr string, gate *ingres.Gate, serve func(*Conn)) error {
	lc := net.ListenConfig{KeepAliveConfig: h1.KeepAlive(), Control: h1.SetUserTimeout}
	bound, err := lc.Listen(ctx, "tcp4", addr)
	if err != nil {
		return errors.Wrap(err, "listen for hosts")
	}
	l := gate.Wrap(bound, ingres.Port{Name: portName, Share: portShare, Raw: true})
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept connection of host")
		}
		go serve(newInbound(nc, gate))
	}
}

// Send sends one message. A failed write closes the connection.
func (c *Conn) Send(m *Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.nc.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return errors.Wrap(err, "send to host")
	}
	before := c.nc.written
	out := *m
	out.Acked = c.acks.sending(time.Now())
	err := c.enc.Encode(&out)
	c.Traffic.add(m.Kind, c.nc.written-before)
	if err != nil {
		c.Close()
		return errors.Wrap(err, "send to host")
	}
	return nil
}

// Receive returns the next message, or an error once the connection has failed or is closed.
func (c *Conn) Receive() (*Message, error) {
	var m Message
	if err := c.dec.Decode(&m); err != nil {
		if c.in != nil {
			c.in.failed(err)
		}
		return nil, errors.Wrap(err, "receive from host")
	}
	if c.in != nil {
		c.dec = c.in.received(c.dec)
	}
	if c.acks.received(time.Now(), m.Acked) {
		time.AfterFunc(c.acks.delay, c.sendAck)
	}
	return &m, nil
}

// RoundTrip sends a message and returns the next one received. It closes the connection if ctx ends first.
func (c *Conn) RoundTrip(ctx context.Context, m *Message) (*Message, error) {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	if err := c.Send(m); err != nil {
		return nil, err
	}
	return c.Receive()
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// ClosedByPeer reports whether a connection has ended because the other process closed it or ended.
func ClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// Version returns the version of the state.
func (s *PrefixState) Version() store.Version { return store.Version{Era: s.Era, Revision: s.Revision} }

// NewConn returns a connection to another host over an established transport.
func NewConn(nc net.Conn) *Conn {
	counted := &countingConn{Conn: nc}
	return &Conn{nc: counted, dec: cbor.NewDecoder(nc), enc: cbor.NewEncoder(counted)}
}
