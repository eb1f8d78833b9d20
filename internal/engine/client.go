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
	// maxResponseBytes limits a status report or an order result; a report with 1,000 items takes about 100 kB.
	maxResponseBytes = 1 << 20
	maxErrorBytes    = 64 << 10
)

type (
	// Client calls engines over HTTP; its fields are set before the first call.
	Client struct {
		Timeout time.Duration // of SendOrder, of Status and until Generate has the response header; 0 means 5 s
		HTTP    xhttp.Client  // Dial may be set before the first call
	}

	// errorBody is the JSON body of an engine's error response; a flag that the engine leaves out is false.
	errorBody struct {
		Code        string `json:"code"`
		Message     string `json:"message"`
		NotExecuted bool   `json:"not_run"`
		Leaving     bool   `json:"leaving"`
	}
)

var _ API = (*Client)(nil)

// Generate starts an attempt, which is cancelled when ctx ends; its error is a *SendError.
func (c *Client) Generate(ctx context.Context, url string, call Call) (Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	r, err := xhttp.NewRequest(ctx, http.MethodPost, url+"/v1/generate", call)
	if err != nil {
		cancel(err)
		return nil, &SendError{NotExecuted: true, Reason: err.Error()}
	}
	r.Header.Set("Accept", eventStreamType)
	timer := time.AfterFunc(c.timeout(), func() { cancel(errors.New("engine sent no response header in time")) })
	resp, err := c.HTTP.Do(r)
	if !timer.Stop() && err == nil {
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
		return nil, requestFailure(err)
	}
	return nil, rejection(resp)
}

// SendOrder sends an order; after an error the outcome is unknown, and the order may still take effect.
func (c *Client) SendOrder(ctx context.Context, url string, o Order) (OrderResult, error) {
	var out struct {
		OrderResult
		Applied *bool `json:"applied"`
	}
	err := c.doJSON(ctx, http.MethodPost, url+"/v1/orders", o, &out)
	if err == nil && (out.BootID == "" || out.Applied == nil) {
		err = errors.New("response lacks the boot id or whether the order was applied")
	}
	if err != nil {
		return OrderResult{}, errors.Wrapf(err, "order %s", o.ID)
	}
	out.OrderResult.Applied = *out.Applied
	return out.OrderResult, nil
}

// Status returns the engine's status report; its memory use is current, its load metrics may be out of date.
func (c *Client) Status(ctx context.Context, url string) (Status, error) {
	var out Status
	err := c.doJSON(ctx, http.MethodGet, url+"/v1/status", nil, &out)
	if err == nil {
		err = out.validate()
	}
	if err != nil {
		return Status{}, errors.Wrap(err, "engine status")
	}
	return out, nil
}

// doJSON sends in as JSON and decodes the response into out.
func (c *Client) doJSON(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	r, err := xhttp.NewRequest(ctx, method, url, in)
	if err != nil {
		return err
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return rejection(resp)
	}
	return xhttp.DecodeJSON(resp, maxResponseBytes, out)
}

// validate rejects an incomplete or invalid report, because memory that it leaves out would be counted as free.
func (s Status) validate() error {
	if s.BootID == "" || s.Items == nil || s.UsedMB < 0 {
		return errors.Errorf("report has boot id %q, %d items and %d MB in use", s.BootID, len(s.Items), s.UsedMB)
	}
	for _, it := range s.Items {
		validState := it.State == Loading || it.State == Resident || it.State == Unloading
		if it.Name == "" || it.MemoryMB < 0 || !validState {
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

// requestFailure returns the error of a request that got no response.
func requestFailure(err error) *SendError {
	var re *xhttp.RequestError
	return &SendError{NotExecuted: errors.As(err, &re) && !re.MaybeSent, Reason: err.Error()}
}

// rejection returns the error of a response whose status is not 200.
func rejection(resp *http.Response) *SendError {
	e := &SendError{Status: resp.StatusCode}
	var holdErr error
	if after := resp.Header.Get("Retry-After"); after != "" && resp.StatusCode == http.StatusServiceUnavailable {
		// A malformed time is the same as none, and one that is too long is cut.
		e.Hold, holdErr = xhttp.ParseRetryAfter(after, time.Now())
	}
	var body errorBody
	if err := xhttp.DecodeJSON(resp, maxErrorBytes, &body); err != nil {
		e.Reason = err.Error()
		return e
	}
	e.Leaving = body.Leaving
	// An error body with a status below 400 is contradictory, so its claim that nothing was executed is ignored.
	e.NotExecuted = body.NotExecuted && resp.StatusCode >= http.StatusBadRequest
	e.Reason = body.Code + ": " + body.Message
	if holdErr != nil {
		e.Reason += "; " + holdErr.Error()
	}
	return e
}
