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
	codeClosed       = 0
	codeMalformed    = 1
	codeOversized    = 2
	codeUnknownKind  = 3
	codeBusy         = 4
	codeUnresponsive = 5

	// lengthBytes is the size of the length prefix of each frame.
	lengthBytes = 4
	// maxHeaderBytes limits the header frame, which contains only a kind.
	maxHeaderBytes = 64
	headerTimeout  = 5 * time.Second
)

// ErrMalformed means that a frame from a peer is truncated or does not decode to the expected type.
var ErrMalformed = errors.New("malformed frame")

type (
	// streamHeader is the first frame of every stream; its kind selects the handler.
	streamHeader struct {
		Kind wire.Kind `cbor:"1,keyasint"`
	}

	// stream implements wire.Stream on a QUIC stream.
	stream struct {
		endpoint   *Endpoint
		conn       *conn
		quicStream *quic.Stream

		sendMu sync.Mutex
		// header is the encoded header frame until it is sent. It is written together with the first message, which
		// takes one packet instead of two.
		header    []byte
		closeOnce sync.Once
	}
)

// Send writes one frame; it blocks while the peer's receive window is full.
func (s *stream) Send(v any) error {
	frame, err := encodeFrame(v)
	if err != nil {
		return err
	}
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	frame = append(s.header, frame...)
	s.header = nil
	_, err = s.quicStream.Write(frame)
	return err
}

// Recv reads one frame into v; a malformed or oversized frame resets the stream and returns an error.
func (s *stream) Recv(v any) error {
	// The peer waits for the header, which a caller that receives first has not sent yet.
	if err := s.sendHeader(); err != nil {
		return err
	}
	return s.recvFrame(v, wire.MaxFrameBytes)
}

// Close ends the sending side once all sent data is delivered, and cancels the receiving side.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		// A QUIC stream must not be closed during a write, so a write that is still blocked is cancelled instead.
		if s.sendMu.TryLock() {
			_ = s.quicStream.Close()
			s.sendMu.Unlock()
		} else {
			s.quicStream.CancelWrite(codeClosed)
		}
		s.quicStream.CancelRead(codeClosed)
		s.conn.removeStream()
	})
	return nil
}

func (s *stream) sendHeader() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.header == nil {
		return nil
	}
	_, err := s.quicStream.Write(s.header)
	s.header = nil
	return err
}

func (s *stream) recvHeader() (wire.Kind, error) {
	if err := s.quicStream.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return "", err
	}
	var header streamHeader
	if err := s.recvFrame(&header, maxHeaderBytes); err != nil {
		return "", err
	}
	return header.Kind, s.quicStream.SetReadDeadline(time.Time{})
}

func (s *stream) recvFrame(v any, limit int) error {
	err := decodeFrame(s.quicStream, v, limit)
	switch {
	case errors.Is(err, wire.ErrFrameTooLarge):
		s.endpoint.Stats.CountEvent(eventOversized)
		s.fail(codeOversized)
	case errors.Is(err, ErrMalformed):
		s.endpoint.Stats.CountEvent(eventMalformed)
		s.fail(codeMalformed)
	}
	return err
}

func (s *stream) fail(code quic.StreamErrorCode) {
	resetStream(s.quicStream, code)
	s.closeOnce.Do(s.conn.removeStream)
}

func resetStream(qs *quic.Stream, code quic.StreamErrorCode) {
	qs.CancelWrite(code)
	qs.CancelRead(code)
}

func encodeFrame(v any) ([]byte, error) {
	body, err := wire.Marshal(v)
	if err != nil {
		return nil, err
	}
	frame := make([]byte, lengthBytes, lengthBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	return append(frame, body...), nil
}

// decodeFrame reads one frame of at most limit bytes into v. It returns io.EOF if r ends before a frame starts.
func decodeFrame(r io.Reader, v any, limit int) error {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return errors.Wrap(ErrMalformed, "truncated length prefix")
		}
		return err
	}
	size := int64(binary.BigEndian.Uint32(length[:]))
	if size > int64(limit) {
		return errors.Wrapf(wire.ErrFrameTooLarge, "frame of %d bytes exceeds the limit of %d", size, limit)
	}
	// The buffer grows with the received data, so that a peer cannot cause an allocation by a length prefix alone.
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
