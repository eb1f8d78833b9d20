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
	eventStreamType = "text/event-stream"
	// maxEventBytes limits one line of a stream; a token takes a few bytes.
	maxEventBytes = 64 << 10
)

var (
	// ErrWrongAttempt means that the engine sent an event of another attempt; the stream continues.
	ErrWrongAttempt = errors.New("event belongs to another attempt")
	// ErrClosed means that Close was called or that the context of Generate has ended.
	ErrClosed = errors.New("stream is closed")
)

type (
	// stream is a Stream over an open HTTP response.
	stream struct {
		attemptID string
		cancel    context.CancelCauseFunc
		results   chan result
		endErr    error // set once the stream has ended; used only by the goroutine that calls Next
	}

	// result is an event or an error that readEvents passes to Next.
	result struct {
		event Event
		err   error
	}
)

// newStream returns a stream whose events are read by a separate goroutine. So no event is lost when the context of
// Next ends while Next waits for it.
func newStream(call Call, resp *http.Response, cancel context.CancelCauseFunc) (*stream, error) {
	if contentType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); contentType != eventStreamType {
		_ = resp.Body.Close()
		return nil, errors.Errorf("response has content type %q instead of %s", contentType, eventStreamType)
	}
	s := &stream{attemptID: call.AttemptID, cancel: cancel, results: make(chan result)}
	go s.readEvents(resp.Request.Context(), resp.Body)
	return s, nil
}

// Next returns the next event. With ErrWrongAttempt it returns the event of the other attempt, and the stream goes on.
func (s *stream) Next(ctx context.Context) (Event, error) {
	if s.endErr != nil {
		return Event{}, s.endErr
	}
	select {
	case r, ok := <-s.results:
		if !ok {
			s.endErr = ErrClosed
			return Event{}, s.endErr
		}
		if r.err != nil && !errors.Is(r.err, ErrWrongAttempt) {
			s.endErr = r.err
		}
		if r.err == nil && r.event.Final {
			s.endErr = io.EOF
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

// readEvents passes events to Next until the final one, an error or the end of ctx, and then closes the response body.
func (s *stream) readEvents(ctx context.Context, body io.ReadCloser) {
	defer close(s.results)
	defer func() { _ = body.Close() }()
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(splitCompleteLine)
	for {
		e, err := nextEvent(lines)
		if err == nil && e.AttemptID != s.attemptID {
			err = errors.Wrapf(ErrWrongAttempt, "attempt %q instead of %q", e.AttemptID, s.attemptID)
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

// splitCompleteLine is a bufio.SplitFunc that drops a last line without a newline, as a truncated stream can end.
func splitCompleteLine(data []byte, _ bool) (advance int, token []byte, err error) {
	i := bytes.IndexByte(data, '\n')
	if i < 0 {
		return 0, nil, nil
	}
	return i + 1, data[:i], nil
}

// nextEvent returns the event of the next data line; it skips comments, blank lines and other fields.
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
