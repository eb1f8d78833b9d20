package svcreg

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/xhttp"
)

const (
	timeout = 5 * time.Second
	// maxResponseBytes limits a list; 370 hosts and 790 engines take about 200 kB.
	maxResponseBytes = 2 << 20
)

type (
	// Client reads the service registry over HTTP; its fields are set before the first call.
	Client struct {
		URL  string
		HTTP xhttp.Client // Dial may be set before the first call
	}

	// List is the complete list at Cursor. If Unchanged is set, the caller's list at that cursor is still current, and
	// Hosts and Upstreams are left out.
	List struct {
		Cursor    int64      `json:"cursor"`
		Unchanged bool       `json:"unchanged,omitempty"`
		Hosts     []Host     `json:"hosts"`
		Upstreams []Upstream `json:"upstreams"`
	}

	// Host is a host that callers connect to; Addr is its address for other hosts, CallerURL its URL for callers.
	Host struct {
		Name          string `json:"name"`
		Addr          string `json:"addr"`
		CallerURL     string `json:"caller_url"`
		FailureDomain string `json:"failure_domain"`
		Leaving       bool   `json:"leaving,omitempty"`
	}

	// Upstream is an engine or an upstream of a plain service; Name is its name in the document.
	Upstream struct {
		Name    string `json:"name"`
		Leaving bool   `json:"leaving,omitempty"`
	}
)

// Fetch returns the list, or only the cursor with Unchanged set if the cursor is still since. With since 0 it always
// returns the list.
func (c *Client) Fetch(ctx context.Context, since int64) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out, err := c.get(ctx, since)
	return out, errors.Wrap(err, "service registry")
}

func (c *Client) get(ctx context.Context, since int64) (List, error) {
	r, err := xhttp.NewRequest(ctx, http.MethodGet, fmt.Sprintf("%s/v1/list?since=%d", c.URL, since), nil)
	if err != nil {
		return List{}, err
	}
	resp, err := c.HTTP.DoWithBreaker("list "+c.URL, r)
	if err != nil {
		return List{}, err
	}
	var out List
	if err := xhttp.DecodeJSON(resp, maxResponseBytes, &out); err != nil {
		return List{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, errors.Errorf("status %d", resp.StatusCode)
	}
	if err := out.validate(since); err != nil {
		return List{}, err
	}
	return out, nil
}

// validate rejects an incomplete response, which would otherwise be taken for an empty or shorter list.
func (l List) validate(since int64) error {
	if l.Cursor < 1 {
		return errors.Errorf("response has cursor %d", l.Cursor)
	}
	if l.Unchanged && l.Cursor != since {
		return errors.Errorf("response is unchanged at cursor %d instead of %d", l.Cursor, since)
	}
	if !l.Unchanged && (l.Hosts == nil || l.Upstreams == nil) {
		return errors.New("response lacks the hosts or the upstreams")
	}
	for i, h := range l.Hosts {
		if h.Name == "" || h.Addr == "" {
			return errors.Errorf("host %d has name %q and address %q", i, h.Name, h.Addr)
		}
	}
	for i, u := range l.Upstreams {
		if u.Name == "" {
			return errors.Errorf("upstream %d has no name", i)
		}
	}
	return nil
}
