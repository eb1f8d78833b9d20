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

// ErrTruncated means that a response body ended early.
var ErrTruncated = errors.New("response body is truncated")

// strippedHeaders are forwarded neither in requests nor in responses: they concern a single connection or hold the
// caller's credentials for the host. The last two are idempotency keys, with which net/http would retry a request by
// itself.
var strippedHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Authorization", "Idempotency-Key", "X-Idempotency-Key",
}

type (
	// Client forwards calls over HTTP; its fields are set before the first call.
	Client struct {
		HTTP xhttp.Client // Dial may be set before the first call
	}

	// Call is one attempt; ContentLength is the size of Body in bytes, or -1 if it is unknown.
	Call struct {
		Method        string
		URL           string
		Header        http.Header
		Body          io.Reader
		ContentLength int64
	}

	// Response is the response of a service. The caller of Forward must close Body; its Read returns ErrTruncated
	// if the body ends early.
	Response struct {
		Status int
		Header http.Header
		Body   io.ReadCloser
	}

	// SendError is the failure of a call that got no response. NotExecuted is true only if the service certainly has
	// not executed the call and will not.
	SendError struct {
		NotExecuted bool
		Reason      string
	}

	// responseBody reports a broken connection as ErrTruncated.
	responseBody struct {
		io.ReadCloser
	}
)

// Error returns the reason of the failure.
func (e *SendError) Error() string { return "plain service call: " + e.Reason }

// Forward sends the call once and returns the response, whose body is streamed. The call is cancelled when ctx ends.
// The error is a *SendError.
func (c *Client) Forward(ctx context.Context, call Call) (*Response, error) {
	r, err := http.NewRequestWithContext(ctx, call.Method, call.URL, nil)
	if err != nil {
		// The parser's error quotes the URL, which may contain a caller's data.
		return nil, &SendError{NotExecuted: true, Reason: "method or URL is not valid"}
	}
	r.Header = stripHeaders(call.Header)
	if call.Body != nil && call.ContentLength != 0 {
		r.Body = io.NopCloser(call.Body)
		r.ContentLength = call.ContentLength
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		var re *xhttp.RequestError
		return nil, &SendError{NotExecuted: errors.As(err, &re) && !re.MaybeSent, Reason: err.Error()}
	}
	return &Response{Status: resp.StatusCode, Header: stripHeaders(resp.Header), Body: responseBody{resp.Body}}, nil
}

// Read returns ErrTruncated if the connection breaks before the end of the body.
func (b responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = errors.Wrap(ErrTruncated, err.Error())
	}
	return n, err
}

// stripHeaders returns a copy of h without strippedHeaders and the headers that Connection names.
func stripHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range strippedHeaders {
		out.Del(name)
	}
	return out
}
