package kvapi

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/xhttp"
)

const (
	defaultTimeout = 2 * time.Second
	// maxAnswerBytes bounds one entry: its value in base64 and room for the other fields.
	maxAnswerBytes = 2 * MaxValueBytes
	// maxListBytes bounds an answer to List; a list of large values needs a smaller limit.
	maxListBytes = 16 * MaxValueBytes
)

type (
	// Client calls the key-value service over HTTP; its fields are set before the first call.
	Client struct {
		URL     string
		Stats   *stats.Set    // counts calls by kind; may be nil
		Timeout time.Duration // for each call; a watch gets it in addition to its wait; 0 means 2 s
		HTTP    xhttp.Client  // its Dial may be set
	}

	refusal struct {
		Code string `json:"code"`
	}

	// keyArgs, listArgs, leaseArgs and watchArgs are the request bodies of the wire format.
	keyArgs struct {
		Key       string `json:"key"`
		IfVersion int64  `json:"if_version"`
	}

	listArgs struct {
		Prefix string `json:"prefix"`
		Limit  int    `json:"limit"`
	}

	leaseArgs struct {
		LeaseID string `json:"lease_id,omitempty"`
		TTLMS   int64  `json:"ttl_ms,omitempty"`
	}

	watchArgs struct {
		Key    string `json:"key"`
		After  int64  `json:"after"`
		WaitMS int64  `json:"wait_ms"`
	}
)

var _ Service = (*Client)(nil)

// Get returns the entry or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	return c.entry(ctx, "get", key, keyArgs{Key: key}, 0)
}

// List returns up to limit entries whose keys start with prefix, in key order, with their values.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]Entry, error) {
	var out struct {
		Entries []Entry `json:"entries"`
	}
	if err := c.call(ctx, "list", listArgs{Prefix: prefix, Limit: limit}, 0, maxListBytes, &out); err != nil {
		return nil, err
	}
	// An answer without entries must not pass for an empty list.
	if out.Entries == nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, "list: answer has no entries")
	}
	for _, e := range out.Entries {
		if !strings.HasPrefix(e.Key, prefix) || e.Version < 1 {
			return nil, errors.Wrapf(ErrOutcomeUnknown, "list %q: answer has key %q, version %d",
				prefix, e.Key, e.Version)
		}
	}
	return out.Entries, nil
}

// Put writes and returns the new entry; a lease deletes the key when it ends.
func (c *Client) Put(ctx context.Context, w Write) (Entry, error) {
	if len(w.Value) > MaxValueBytes {
		return Entry{}, errors.Wrapf(ErrTooLarge, "key %q has %d bytes", w.Key, len(w.Value))
	}
	return c.entry(ctx, "put", w.Key, w, 0)
}

// Delete removes the key if its version holds; AnyVersion removes it in any case.
func (c *Client) Delete(ctx context.Context, key string, ifVersion int64) error {
	return c.call(ctx, "delete", keyArgs{Key: key, IfVersion: ifVersion}, 0, maxAnswerBytes, &struct{}{})
}

// Grant creates a lease that ends ttl after its last renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var out leaseArgs
	err := c.call(ctx, "grant", leaseArgs{TTLMS: ttl.Milliseconds()}, 0, maxAnswerBytes, &out)
	if err != nil {
		return "", err
	}
	if out.LeaseID == "" {
		return "", errors.Wrap(ErrOutcomeUnknown, "grant: answer has no lease id")
	}
	return out.LeaseID, nil
}

// Renew extends the lease by its ttl or returns ErrLeaseNotFound.
func (c *Client) Renew(ctx context.Context, leaseID string) error {
	return c.call(ctx, "renew", leaseArgs{LeaseID: leaseID}, 0, maxAnswerBytes, &struct{}{})
}

// Revoke ends the lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, leaseID string) error {
	return c.call(ctx, "revoke", leaseArgs{LeaseID: leaseID}, 0, maxAnswerBytes, &struct{}{})
}

// Watch waits until the key has a revision greater than after, or returns ErrNoChange when wait has passed.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error) {
	return c.entry(ctx, "watch", key, watchArgs{Key: key, After: after, WaitMS: wait.Milliseconds()}, wait)
}

// Close closes idle connections.
func (c *Client) Close() { c.HTTP.Close() }

func (c *Client) entry(ctx context.Context, kind, key string, args any, wait time.Duration) (Entry, error) {
	var e Entry
	if err := c.call(ctx, kind, args, wait, maxAnswerBytes, &e); err != nil {
		return Entry{}, err
	}
	if e.Key != key || e.Version < 1 || e.Revision < 1 {
		return Entry{}, errors.Wrapf(ErrOutcomeUnknown, "%s %q: answer has key %q, version %d and revision %d",
			kind, key, e.Key, e.Version, e.Revision)
	}
	return e, nil
}

func (c *Client) call(ctx context.Context, kind string, args any, wait time.Duration, limit int64, out any) error {
	if c.Stats != nil {
		c.Stats.CountKVCall(kind)
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	r, err := xhttp.NewRequest(ctx, http.MethodPost, c.URL+"/v1/"+kind, args)
	if err != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "%s: %v", kind, err)
	}
	resp, err := c.HTTP.Do(r)
	if err != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "%s: %v", kind, err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := xhttp.DecodeJSON(resp, limit, out); err != nil {
			return errors.Wrapf(ErrOutcomeUnknown, "%s: %v", kind, err)
		}
		return nil
	}
	return refused(kind, resp)
}

// refused needs the matching code beside the status, because any HTTP server answers 404 to an unknown path.
func refused(kind string, resp *http.Response) error {
	var r refusal
	if err := xhttp.DecodeJSON(resp, maxAnswerBytes, &r); err != nil {
		return errors.Wrapf(ErrOutcomeUnknown, "%s: %v", kind, err)
	}
	definite := []struct {
		status int
		code   string
		err    error
	}{
		{http.StatusNotFound, "not_found", ErrNotFound},
		{http.StatusConflict, "conflict", ErrConflict},
		{http.StatusGone, "lease_gone", ErrLeaseNotFound},
		{http.StatusRequestEntityTooLarge, "too_large", ErrTooLarge},
		{http.StatusTooManyRequests, "limited", ErrRateLimited},
		{http.StatusNotFound, "no_change", ErrNoChange},
	}
	for _, d := range definite {
		if resp.StatusCode == d.status && r.Code == d.code {
			return errors.Wrap(d.err, kind)
		}
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%s: status %d with code %q", kind, resp.StatusCode, r.Code)
}
