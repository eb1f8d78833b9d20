package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/xhttp"
)

const (
	defaultTimeout = 5 * time.Second
	// maxAnswerBytes bounds a report or an answer to an order; a report of 1,000 items has about 100 kB.
	maxAnswerBytes = 1 << 20
	maxErrorBytes  = 64 << 10
)

type (
	// Client calls engines over HTTP, each call on a connection of its own; its fields are set before the first call.
	Client struct {
		Timeout time.Duration // for SendOrder, Status and the start of an answer to Generate; 0 means 5 s
		HTTP    xhttp.Client  // its Dial may be set
	}

	// refusal is an engine's error body; NotExecuted and Leaving are true only if the engine says so.
	refusal struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		NotRun  bool   `json:"not_run"`
		Leaving bool   `json:"leaving"`
	}
)

var _ API = (*Client)(nil)

// Generate starts an attempt, which is cancelled when ctx ends; an error is a *SendError.
func (c *Client) Generate(ctx context.Context, url string, call Call) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := xhttp.NewRequest(ctx, http.MethodPost, url+"/v1/generate", call)
	if err != nil {
		cancel(err)
		return nil, &SendError{NotExecuted: true, Reason: err.Error()}
	}
	r.Header.Set("Accept", eventType)
	late := time.AfterFunc(c.timeout(), func() { cancel(errors.New("engine has not begun its answer in time")) })
	resp, err := c.HTTP.DoNewConn(r)
	if !late.Stop() && err == nil {
		_ = resp.Body.Close()
		err = context.Cause(ctx)
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		s, err := newStream(call, resp, cancel)
		if err == nil {
			return s, nil
		}
		cancel(err)
		return nil, &SendError{Status: resp.StatusCode, Reason: err.Error()}
	}
	defer cancel(nil)
	if err != nil {
		return nil, unsent(err)
	}
	return nil, refused(resp)
}

// SendOrder gives an order; an error means that the order may or may not arrive.
func (c *Client) SendOrder(ctx context.Context, url string, o Order) (OrderResult, error) {
	var out struct {
		OrderResult
		Applied *bool `json:"applied"`
	}
	err := c.exchange(ctx, http.MethodPost, url+"/v1/orders", o, &out)
	if err == nil && (out.BootID == "" || out.Applied == nil) {
		err = errors.New("answer lacks the boot id or whether the order was applied")
	}
	if err != nil {
		return OrderResult{}, errors.Wrapf(err, "order %s", o.ID)
	}
	out.OrderResult.Applied = *out.Applied
	return out.OrderResult, nil
}

// Status returns the engine's current report of memory; its load figures may lag.
func (c *Client) Status(ctx context.Context, url string) (Status, error) {
	var out Status
	err := c.exchange(ctx, http.MethodGet, url+"/v1/status", nil, &out)
	if err == nil {
		err = out.check()
	}
	if err != nil {
		return Status{}, errors.Wrap(err, "engine status")
	}
	return out, nil
}

func (c *Client) exchange(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := xhttp.NewRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	resp, err := c.HTTP.DoNewConn(r)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return refused(resp)
	}
	return xhttp.DecodeJSON(resp, maxAnswerBytes, out)
}

// check refuses a report that would let memory pass for free.
func (s Status) check() error {
	if s.BootID == "" || s.Items == nil || s.UsedMB < 0 {
		return errors.Errorf("report has boot id %q, %d items and %d MB in use", s.BootID, len(s.Items), s.UsedMB)
	}
	for _, it := range s.Items {
		known := it.State == Loading || it.State == Resident || it.State == Unloading
		if it.Name == "" || it.MemoryMB < 0 || !known {
			return errors.Errorf("report has item %q in state %q with %d MB", it.Name, it.State, it.MemoryMB)
		}
	}
	return nil
}

func (c *Client) timeout() time.Duration {
	if c.Timeout == 0 {
		return defaultTimeout
	}
	return c.Timeout
}

func unsent(err error) *SendError {
	var f *xhttp.RequestError
	return &SendError{NotExecuted: errors.As(err, &f) && !f.MaybeSent, Reason: err.Error()}
}

func refused(resp *http.Response) *SendError {
	e := &SendError{Status: resp.StatusCode}
	var body refusal
	if err := xhttp.DecodeJSON(resp, maxErrorBytes, &body); err != nil {
		e.Reason = err.Error()
		return e
	}
	e.Leaving = body.Leaving
	// A success status contradicts a refusal, so its body is not believed.
	e.NotExecuted = body.NotRun && resp.StatusCode >= http.StatusBadRequest
	e.Reason = body.Code + ": " + body.Message
	return e
}
