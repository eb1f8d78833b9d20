package weight

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/xhttp"
)

const (
	timeout          = 5 * time.Second
	maxResponseBytes = 64 << 10
)

// ErrNotFound means that the weight store does not have the item.
var ErrNotFound = errors.New("weight store does not have the item")

type (
	// Client calls the weight store over HTTP; its fields are set before the first call.
	Client struct {
		URL  string
		HTTP xhttp.Client // Dial may be set before the first call
	}

	// Item is a model or adapter version in the catalog; Name has the form name@version.
	Item struct {
		Name     string `json:"name"`
		Adapter  bool   `json:"adapter,omitempty"`
		MemoryMB int    `json:"memory_mb"`
	}
)

// Item returns the catalog entry of the item with this name, or ErrNotFound.
func (c *Client) Item(ctx context.Context, name string) (Item, error) {
	var out struct {
		Item
		Code string `json:"code"`
	}
	status, err := c.get(ctx, "/v1/items?name="+url.QueryEscape(name), &out)
	switch {
	case err != nil:
	case status == http.StatusNotFound && out.Code == "not_found":
		err = ErrNotFound
	case status != http.StatusOK:
		err = errors.Errorf("status %d with code %q", status, out.Code)
	case out.Name != name || out.MemoryMB < 1:
		err = errors.Errorf("response has name %q and %d MB", out.Name, out.MemoryMB)
	}
	if err != nil {
		return Item{}, errors.Wrapf(err, "weight store item %q", name)
	}
	return out.Item, nil
}

// Health returns an error unless the store reports that it serves loads.
func (c *Client) Health(ctx context.Context) error {
	var out struct {
		OK bool `json:"ok"`
	}
	status, err := c.get(ctx, "/v1/health", &out)
	if err == nil && (status != http.StatusOK || !out.OK) {
		err = errors.Errorf("status %d, ok is %v", status, out.OK)
	}
	return errors.Wrap(err, "weight store health")
}

func (c *Client) get(ctx context.Context, path string, out any) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := xhttp.NewRequest(ctx, http.MethodGet, c.URL+path, nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.HTTP.DoWithBreaker("weight "+c.URL, r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, xhttp.DecodeJSON(resp, maxResponseBytes, out)
}
