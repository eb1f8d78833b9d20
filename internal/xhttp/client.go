package xhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/figreel/figreel/internal/intact"
)

const (
	dialTimeout    = time.Second
	maxHeaderBytes = 64 << 10
)

type (
	// DialFunc opens a connection; tests replace it with an in-memory network.
	DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

	// Client sends each request at most once, on a connection of its own, and follows no redirects; the zero value is
	// ready to use.
	Client struct {
		Dial DialFunc // nil for TCP

		initOnce sync.Once
		client   *http.Client
	}

	// RequestError is the failure of a request that got no response. MaybeSent is false if no byte can have reached the
	// receiver.
	RequestError struct {
		MaybeSent bool
		Err       error
	}
)

// Error returns the cause and whether the request may have been sent.
func (e *RequestError) Error() string {
	if e.MaybeSent {
		return "no response: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// NewRequest returns a request with v as its JSON body, or without a body if v is nil. Its error is a *RequestError.
func NewRequest(ctx context.Context, method, target string, v any) (*http.Request, error) {
	var body io.Reader
	if v != nil {
		b, err := json.Marshal(v)
		if err != nil {
			return nil, &RequestError{Err: err}
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return nil, &RequestError{Err: err}
	}
	if v != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

// Do sends the request once; its error is a *RequestError.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	c.init()
	return sendOnce(r, c.client.Do)
}

// DoWithBreaker is like Do, but behind go-zero's circuit breaker of the given name; a request that the breaker rejects
// is not sent, and its error has MaybeSent false.
func (c *Client) DoWithBreaker(name string, r *http.Request) (*http.Response, error) {
	c.init()
	return sendOnce(r, httpc.NewServiceWithClient(name, c.client).DoRequest)
}

func (c *Client) init() {
	c.initOnce.Do(func() { c.client = c.newHTTPClient() })
}

// newHTTPClient returns a client that keeps no connections: HTTP/1 has no request IDs, so on a kept connection a late
// copy of an earlier response would be taken for the response to the next request.
func (c *Client) newHTTPClient() *http.Client {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	// Only HTTP/1 is enabled, because net/http may send an HTTP/2 request again after a GOAWAY frame.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		DisableCompression: true, Protocols: protocols, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	(&intact.Dialer{Dial: dial, HandshakeTimeout: dialTimeout}).Configure(transport)
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// sendOnce sends r and records whether it got a connection, after which it may have been sent. It clears GetBody,
// because net/http may retry a request that has it.
func sendOnce(r *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r = r.WithContext(intact.Trace(httptrace.WithClientTrace(r.Context(), trace)))
	r.GetBody = nil
	resp, err := send(r)
	if err == nil {
		if err = intact.CheckStatus(resp.StatusCode); err == nil {
			return resp, nil
		}
		_ = resp.Body.Close()
	}
	// The URL may contain a caller's data, which must not appear in errors.
	var urlErr *url.Error
	if errors.As(err, &urlErr) {
		err = urlErr.Err
	}
	return nil, &RequestError{MaybeSent: sent.Load(), Err: err}
}

// DecodeJSON decodes a JSON response of at most limit bytes into v and closes its body. It returns an error for a
// response that is truncated, longer or not of type application/json.
func DecodeJSON(resp *http.Response, limit int64, v any) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errors.Wrapf(err, "response with status %d is truncated", resp.StatusCode)
	}
	if int64(len(body)) > limit {
		return errors.Errorf("response with status %d is longer than %d bytes", resp.StatusCode, limit)
	}
	if contentType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); contentType != "application/json" {
		return errors.Errorf("response with status %d has content type %q instead of JSON",
			resp.StatusCode, contentType)
	}
	return errors.Wrapf(json.Unmarshal(body, v), "response with status %d", resp.StatusCode)
}
