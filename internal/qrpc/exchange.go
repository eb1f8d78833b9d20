package qrpc

import (
	"bytes"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// Application error codes of streams and connections.
	codeClosed      = 0
	codeMalformed   = 1
	codeOversized   = 2
	codeUnknownKind = 3
	codeBusy        = 4
	codeDead        = 5

	headerBytes = 4
	// maxOpeningBytes bounds the first frame, which holds only a kind.
	maxOpeningBytes = 64
	openingTimeout  = 5 * time.Second
)

// ErrMalformed means that a peer sent a frame that is not a value of the expected type.
var ErrMalformed = errors.New("malformed frame")

type (
	// opening is the first frame of every stream.
	opening struct {
		Kind wire.Kind `cbor:"1,keyasint"`
	}

	// exchange is one stream; it implements wire.Stream.
	exchange struct {
		node   *Endpoint
		link   *link
		stream *quic.Stream

		sendMu sync.Mutex
		// opening is sent together with the first message, to spend one packet instead of two.
		opening []byte
		once    sync.Once
	}
)

// Send writes one frame; it blocks while the peer's receive window is full.
func (x *exchange) Send(v any) error {
	frame, err := encodeFrame(v)
	if err != nil {
		return err
	}
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	frame = append(x.opening, frame...)
	x.opening = nil
	_, err = x.stream.Write(frame)
	return err
}

// Recv reads one frame into v; a malformed or oversized frame ends the exchange with an error.
func (x *exchange) Recv(v any) error {
	if err := x.flush(); err != nil {
		return err
	}
	return x.recv(v, wire.MaxFrameBytes)
}

// Close ends the sending side after what was sent, and cancels the receiving side.
func (x *exchange) Close() error {
	x.once.Do(func() {
		// A stream must not be closed during a write; a write that still blocks is cancelled instead.
		if x.sendMu.TryLock() {
			_ = x.stream.Close()
			x.sendMu.Unlock()
		} else {
			x.stream.CancelWrite(codeClosed)
		}
		x.stream.CancelRead(codeClosed)
		x.link.release()
	})
	return nil
}

func (x *exchange) flush() error {
	x.sendMu.Lock()
	defer x.sendMu.Unlock()
	if x.opening == nil {
		return nil
	}
	_, err := x.stream.Write(x.opening)
	x.opening = nil
	return err
}

func (x *exchange) recvOpening() (wire.Kind, error) {
	if err := x.stream.SetReadDeadline(time.Now().Add(openingTimeout)); err != nil {
		return "", err
	}
	var first opening
	if err := x.recv(&first, maxOpeningBytes); err != nil {
		return "", err
	}
	return first.Kind, x.stream.SetReadDeadline(time.Time{})
}

func (x *exchange) recv(v any, limit int) error {
	err := decodeFrame(x.stream, v, limit)
	switch {
	case errors.Is(err, wire.ErrFrameTooLarge):
		x.node.Stats.CountEvent(eventOversized)
		x.fail(codeOversized)
	case errors.Is(err, ErrMalformed):
		x.node.Stats.CountEvent(eventMalformed)
		x.fail(codeMalformed)
	}
	return err
}

func (x *exchange) fail(code quic.StreamErrorCode) {
	abort(x.stream, code)
	x.once.Do(x.link.release)
}

func abort(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelWrite(code)
	stream.CancelRead(code)
}

func encodeFrame(v any) ([]byte, error) {
	body, err := wire.Marshal(v)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// decodeFrame returns io.EOF if r ends before the first byte of a frame.
func decodeFrame(r io.Reader, v any, limit int) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.Wrap(ErrMalformed, "truncated length")
		}
		return err
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(limit) {
		return errors.Wrapf(wire.ErrFrameTooLarge, "%d bytes announced, %d allowed", size, limit)
	}
	// The buffer grows with what arrives, so that an announced length alone allocates nothing.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, size); err != nil {
		if errors.Is(err, io.EOF) {
			return errors.Wrap(ErrMalformed, "truncated body")
		}
		return err
	}
	if err := wire.Unmarshal(body.Bytes(), v); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}
