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
	// maxResponseBytes limits a response with one entry: base64 enlarges the value by a third, and the rest is left for
	// the other fields.
	maxResponseBytes = 2 * MaxValueBytes
	// maxListBytes limits a response to List; callers that list large values must pass a smaller limit of entries.
	maxListBytes = 16 * MaxValueBytes
)

type (
	// Client calls the key-value service over HTTP; its fields are set before the first call.
	Client struct {
		URL     string
		Stats   *stats.Set    // counts calls by kind; may be nil
		Timeout time.Duration // of each call; for a watch it is added to the wait; 0 means 2 s
		HTTP    xhttp.Client  // Dial may be set before the first call
	}

	// errorBody is the JSON body of an error response.
	errorBody struct {
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
	return c.callForEntry(ctx, "get", key, keyArgs{Key: key}, 0)
}

// List returns up to limit entries whose keys start with prefix, sorted by key, with their values.
func (c *Client) List(ctx context.Context, prefix string, limit int) ([]Entry, error) {
	var out struct {
		Entries []Entry `json:"entries"`
	}
	if err := c.call(ctx, "list", listArgs{Prefix: prefix, Limit: limit}, 0, maxListBytes, &out); err != nil {
		return nil, err
	}
	// A response without the entries field must not be taken for an empty list.
	if out.Entries == nil {
		return nil, errors.Wrap(ErrOutcomeUnknown, "list: response has no entries")
	}
	for _, e := range out.Entries {
		if !strings.HasPrefix(e.Key, prefix) || e.Version < 1 {
			return nil, errors.Wrapf(ErrOutcomeUnknown, "list %q: response has key %q, version %d",
				prefix, e.Key, e.Version)
		}
	}
	return out.Entries, nil
}

// Put writes the key and returns its new entry. If the write names a lease, the key is deleted when the lease ends.
func (c *Client) Put(ctx context.Context, w Write) (Entry, error) {
	if len(w.Value) > MaxValueBytes {
		return Entry{}, errors.Wrapf(ErrTooLarge, "key %q has %d bytes", w.Key, len(w.Value))
	}
	return c.callForEntry(ctx, "put", w.Key, w, 0)
}

// Delete removes the key if its version is ifVersion; with AnyVersion it removes the key unconditionally.
func (c *Client) Delete(ctx context.Context, key string, ifVersion int64) error {
	return c.call(ctx, "delete", keyArgs{Key: key, IfVersion: ifVersion}, 0, maxResponseBytes, &struct{}{})
}

// Grant creates a lease that expires ttl after its creation or last renewal.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var out leaseArgs
	err := c.call(ctx, "grant", leaseArgs{TTLMS: ttl.Milliseconds()}, 0, maxResponseBytes, &out)
	if err != nil {
		return "", err
	}
	if out.LeaseID == "" {
		return "", errors.Wrap(ErrOutcomeUnknown, "grant: response has no lease id")
	}
	return out.LeaseID, nil
}

// Renew extends the lease by its ttl or returns ErrLeaseNotFound.
func (c *Client) Renew(ctx context.Context, leaseID string) error {
	return c.call(ctx, "renew", leaseArgs{LeaseID: leaseID}, 0, maxResponseBytes, &struct{}{})
}

// Revoke ends the lease and deletes its keys.
func (c *Client) Revoke(ctx context.Context, leaseID string) error {
	return c.call(ctx, "revoke", leaseArgs{LeaseID: leaseID}, 0, maxResponseBytes, &struct{}{})
}

// Watch waits until the key has a revision greater than after, or returns ErrNoChange when wait has passed.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Entry, error) {
	return c.callForEntry(ctx, "watch", key, watchArgs{Key: key, After: after, WaitMS: wait.Milliseconds()}, wait)
}

// callForEntry makes a call whose response is the entry of key.
func (c *Client) callForEntry(ctx context.Context, kind, key string, args any, wait time.Duration) (Entry, error) {
	var e Entry
	if err := c.call(ctx, kind, args, wait, maxResponseBytes, &e); err != nil {
		return Entry{}, err
	}
	if e.Key != key || e.Version < 1 || e.Revision < 1 {
		return Entry{}, errors.Wrapf(ErrOutcomeUnknown, "%s %q: response has key %q, version %d and revision %d",
			kind, key, e.Key, e.Version, e.Revision)
	}
	return e, nil
}

// call makes one call within the timeout plus wait, and decodes a response of at most limit bytes into out.
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
	return rejection(kind, resp)
}

// rejection returns the error for a response whose status is not 200. An outcome is definite only if both the status
// and the code match, because any HTTP server sends 404 for an unknown path.
func rejection(kind string, resp *http.Response) error {
	var body errorBody
	if err := xhttp.DecodeJSON(resp, maxResponseBytes, &body); err != nil {
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
		if resp.StatusCode == d.status && body.Code == d.code {
			return errors.Wrap(d.err, kind)
		}
	}
	return errors.Wrapf(ErrOutcomeUnknown, "%s: status %d with code %q", kind, resp.StatusCode, body.Code)
}
