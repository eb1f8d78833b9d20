package plain

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/xhttp"
)

// ErrTruncated means that the body of an answer ended before its length.
var ErrTruncated = errors.New("body of the answer is incomplete")

// unsentHeaders concern the connection to the caller, are credentials for this project, or, in the last two cases,
// make net/http replay a request.
var unsentHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Authorization", "Idempotency-Key", "X-Idempotency-Key",
}

type (
	// Client forwards calls over HTTP; its fields are set before the first call.
	Client struct {
		HTTP xhttp.Client // its Dial may be set
	}

	// Call is one attempt; ContentLength is the size of Body in bytes, or -1 when it is unknown.
	Call struct {
		Method        string
		URL           string
		Header        http.Header
		Body          io.Reader
		ContentLength int64
		NonIdempotent bool
	}

	// Response is what the service answered; its reader must close Body, whose Read returns ErrTruncated if it
	// is incomplete.
	Response struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
	}

	// SendError tells whether a call without an answer can have been run.
	SendError struct {
		NotExecuted bool
		Reason      string
	}

	body struct {
		io.ReadCloser
	}
)

// Error returns the reason.
func (e *SendError) Error() string { return "plain service call: " + e.Reason }

// Forward sends the call once, cancels it when ctx ends and streams the answer; an error is a *SendError.
func (c *Client) Forward(ctx context.Context, call Call) (*Response, error) {
	r, err := http.NewRequestWithContext(ctx, call.Method, call.URL, nil)
	if err != nil {
		// The parser's error quotes the URL, which may hold a caller's data.
		return nil, &SendError{NotExecuted: true, Reason: "method or URL is not valid"}
	}
	r.Header = forwarded(call.Header)
	if call.Body != nil && call.ContentLength != 0 {
		r.Body = io.NopCloser(call.Body)
		r.ContentLength = call.ContentLength
	}
	send := c.HTTP.Do
	if call.NonIdempotent {
		send = c.HTTP.DoNewConn
	}
	resp, err := send(r)
	if err != nil {
		var f *xhttp.RequestError
		return nil, &SendError{NotExecuted: errors.As(err, &f) && !f.MaybeSent, Reason: err.Error()}
	}
	return &Response{Status: resp.StatusCode, Header: forwarded(resp.Header), Body: body{resp.Body}}, nil
}

// Read returns ErrTruncated when the connection breaks.
func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = errors.Wrap(ErrTruncated, err.Error())
	}
	return n, err
}

// forwarded returns a copy of h without the headers that must not pass.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range unsentHeaders {
		out.Del(name)
	}
	return out
}
