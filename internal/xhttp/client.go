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
)

const (
	dialTimeout = time.Second
	// idleTimeout is below the usual server setting of a minute, so that the client closes idle connections first.
	idleTimeout    = 30 * time.Second
	idlePerHost    = 32
	maxHeaderBytes = 64 << 10
)

type (
	// DialFunc opens a connection; tests replace it by an in-memory network.
	DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

	// Client sends requests that are never replayed and follows no redirects; the zero value is ready.
	Client struct {
		Dial DialFunc // nil for TCP

		once   sync.Once
		pooled *http.Client
		fresh  *http.Client
	}

	// RequestError is a request without an answer; MaybeSent is false when no byte can have reached the receiver.
	RequestError struct {
		MaybeSent bool
		Err       error
	}
)

// Error returns the cause and whether the request can have arrived.
func (f *RequestError) Error() string {
	if f.MaybeSent {
		return "no answer: " + f.Err.Error()
	}
	return "request not sent: " + f.Err.Error()
}

// Unwrap returns the cause.
func (f *RequestError) Unwrap() error { return f.Err }

// NewRequest returns a request with v as its JSON body; a nil v means that it has none.
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

// Do sends the request once, possibly on a connection that is already open; an error is a *RequestError.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	c.init()
	return once(r, c.pooled.Do)
}

// DoNewConn sends the request once on a connection of its own; an error is a *RequestError.
func (c *Client) DoNewConn(r *http.Request) (*http.Response, error) {
	c.init()
	return once(r, c.fresh.Do)
}

// DoWithBreaker is like Do behind go-zero's circuit breaker of that name, whose refusals are not sent.
func (c *Client) DoWithBreaker(name string, r *http.Request) (*http.Response, error) {
	c.init()
	return once(r, httpc.NewServiceWithClient(name, c.pooled).DoRequest)
}

// Close closes idle connections.
func (c *Client) Close() {
	c.init()
	c.pooled.CloseIdleConnections()
}

func (c *Client) init() {
	c.once.Do(func() {
		c.pooled = c.newHTTP(false)
		c.fresh = c.newHTTP(true)
	})
}

func (c *Client) newHTTP(fresh bool) *http.Client {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	// HTTP/2 may send a request again after GOAWAY, so only HTTP/1 is enabled.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: dial, DisableKeepAlives: fresh, DisableCompression: true, Protocols: protocols,
			MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout,
			TLSHandshakeTimeout: dialTimeout, MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// once drops GetBody, because net/http may replay a request that has it, and notes whether it got a connection.
func once(r *http.Request, send func(*http.Request) (*http.Response, error)) (*http.Response, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.GetBody = nil
	resp, err := send(r)
	if err == nil {
		return resp, nil
	}
	// The URL may hold a caller's data, which does not belong into errors.
	var ue *url.Error
	if errors.As(err, &ue) {
		err = ue.Err
	}
	return nil, &RequestError{MaybeSent: sent.Load(), Err: err}
}

// DecodeJSON reads a JSON answer of at most limit bytes into v and closes it.
func DecodeJSON(resp *http.Response, limit int64, v any) error {
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return errors.Wrapf(err, "answer with status %d is truncated", resp.StatusCode)
	}
	if int64(len(body)) > limit {
		return errors.Errorf("answer with status %d is longer than %d bytes", resp.StatusCode, limit)
	}
	if kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type")); kind != "application/json" {
		return errors.Errorf("answer with status %d has content type %q instead of JSON", resp.StatusCode, kind)
	}
	return errors.Wrapf(json.Unmarshal(body, v), "answer with status %d", resp.StatusCode)
}
