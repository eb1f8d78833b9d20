package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"
)

const (
	eventType = "text/event-stream"
	// maxEventBytes bounds one line of a stream; a token has a few bytes.
	maxEventBytes = 64 << 10
)

var (
	// ErrWrongAttempt means that the event belongs to another attempt; the stream continues.
	ErrWrongAttempt = errors.New("event belongs to another attempt")
	// ErrClosed means that the stream was closed by its reader or that the context of Generate has ended.
	ErrClosed = errors.New("stream is closed")
)

type (
	stream struct {
		attempt string
		cancel  context.CancelCauseFunc
		results chan result
		ended   error // owned by the caller of Next
	}

	result struct {
		event Event
		err   error
	}
)

// newStream reads events ahead in its own goroutine, so that Next can give up waiting without losing an event.
func newStream(call Call, resp *http.Response, cancel context.CancelCauseFunc) (*stream, error) {
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind != eventType {
		_ = resp.Body.Close()
		return nil, errors.Errorf("answer has content type %q instead of %s", kind, eventType)
	}
	s := &stream{attempt: call.AttemptID, cancel: cancel, results: make(chan result)}
	go s.read(resp.Request.Context(), resp.Body)
	return s, nil
}

// Next returns the next event; ErrWrongAttempt comes with the foreign event and does not end the stream.
func (s *stream) Next(ctx context.Context) (Event, error) {
	if s.ended != nil {
		return Event{}, s.ended
	}
	select {
	case r, ok := <-s.results:
		if !ok {
			s.ended = ErrClosed
			return Event{}, s.ended
		}
		if r.err != nil && !errors.Is(r.err, ErrWrongAttempt) {
			s.ended = r.err
		}
		if r.err == nil && r.event.Final {
			s.ended = io.EOF
		}
		return r.event, r.err
	case <-ctx.Done():
		return Event{}, ctx.Err()
	}
}

// Close cancels the attempt if it has not ended.
func (s *stream) Close() error {
	s.cancel(ErrClosed)
	return nil
}

// read delivers events until the final one or an error, and closes the connection.
func (s *stream) read(ctx context.Context, body io.ReadCloser) {
	defer close(s.results)
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(splitLine)
	for {
		e, err := nextEvent(lines)
		if err == nil && e.AttemptID != s.attempt {
			err = errors.Wrapf(ErrWrongAttempt, "attempt %q instead of %q", e.AttemptID, s.attempt)
		}
		select {
		case s.results <- result{event: e, err: err}:
		case <-ctx.Done():
			return
		}
		if err != nil && !errors.Is(err, ErrWrongAttempt) || err == nil && e.Final {
			return
		}
	}
}

// splitLine drops a last line without its end, which a cut stream can leave.
func splitLine(data []byte, _ bool) (advance int, token []byte, err error) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		return 0, nil, nil
	}
	return i + 1, data[:i], nil
}

// nextEvent returns the event of the next data line; comments, blank lines and other fields are skipped.
func nextEvent(lines *bufio.Scanner) (Event, error) {
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		var e struct {
			Event
			Index *int `json:"index"`
		}
		if err := json.Unmarshal(data, &e); err != nil {
			return Event{}, errors.Wrap(err, "stream event")
		}
		if e.Index == nil || *e.Index < 0 {
			return Event{}, errors.Errorf("stream event has no valid index: %.100s", data)
		}
		e.Event.Index = *e.Index
		return e.Event, nil
	}
	if err := lines.Err(); errors.Is(err, bufio.ErrTooLong) {
		return Event{}, errors.Errorf("stream event is longer than %d bytes", maxEventBytes)
	} else if err != nil {
		return Event{}, errors.Wrap(ErrTruncated, err.Error())
	}
	return Event{}, ErrTruncated
}
