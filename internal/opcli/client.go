package opcli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	requestTimeout   = 20 * time.Second // longer than a host's own deadline
	maxResponseBytes = 16 << 20

	// The requests that change something.
	applyPath = "/v1/apply"
	drainPath = "/v1/drain"
)

// Talks to the first of several hosts that can answer.
type client struct {
	hosts []string
	key   string
	http  *http.Client
}

func newClient(hosts []string, keyFile, caFile string) (*client, error) {
	key := os.Getenv("FIGREEL_KEY")
	if keyFile != "" {
		b, err := os.ReadFile(keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "read operator key")
		}
		key = string(b)
	}
	if len(hosts) == 0 {
		return nil, errors.New("no host given: use --host or FIGREEL_HOSTS")
	}
	transport := &http.Transport{}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, errors.Wrap(err, "read CA")
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12}
		if !transport.TLSClientConfig.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("%s holds no certificate", caFile)
		}
	}
	c := &http.Client{Transport: transport, Timeout: requestTimeout}
	return &client{hosts: hosts, key: strings.TrimSpace(key), http: c}, nil
}

// Asks one host after the other until one gives a certain answer; every request is safe to repeat.
func (c *client) do(ctx context.Context, method, path string, in, out any) error {
	var last error
	unknown := false
	for _, host := range c.hosts {
		err := c.ask(ctx, host, method, path, in, out)
		var f *oper.ErrorResponse
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &f):
			unknown = unknown || !notSent(err)
		case f.Code == oper.CodeOutcomeUnknown:
			unknown = true
		case f.Code == oper.CodeKVUnavailable, f.Code == oper.CodeOtherHost, f.Code == oper.CodeFailed:
		default:
			return err
		}
		last = errors.Wrap(err, host)
	}
	if unknown && (path == applyPath || path == drainPath) {
		return &oper.ErrorResponse{Code: oper.CodeOutcomeUnknown, Outcome: answer.Unknown, Message: last.Error()}
	}
	return last
}

func (c *client) ask(ctx context.Context, host, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(host, "/")+path, body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(b, out), "decode response")
	}
	f := new(oper.ErrorResponse)
	if err := json.Unmarshal(b, f); err != nil || f.Code == "" {
		return errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(b))
	}
	return f
}

// Reports whether the request cannot have reached the host.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
