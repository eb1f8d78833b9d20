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

	"github.com/figreel/figreel/internal/intact"
	"github.com/figreel/figreel/internal/oper"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	requestTimeout   = 20 * time.Second // longer than a host's own limit of 15 s, so that its response still arrives
	maxResponseBytes = 16 << 20

	// The paths of requests that change state.
	applyPath = "/v1/apply"
	drainPath = "/v1/drain"
)

// Sends requests to several hosts in turn until one succeeds or rejects the request for a reason that applies to all.
type client struct {
	hosts      []string
	key        string
	httpClient *http.Client
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
	dialer := &intact.Dialer{Dial: new(net.Dialer).DialContext, HandshakeTimeout: requestTimeout}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, errors.Wrap(err, "read CA")
		}
		dialer.TLS = &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS12}
		if !dialer.TLS.RootCAs.AppendCertsFromPEM(pem) {
			return nil, errors.Errorf("%s holds no certificate", caFile)
		}
	}
	transport := new(http.Transport)
	dialer.Configure(transport)
	httpClient := &http.Client{Transport: transport, Timeout: requestTimeout}
	return &client{hosts: hosts, key: strings.TrimSpace(key), httpClient: httpClient}, nil
}

// Sends the request to one host after another until one succeeds, and decodes its response into out. An error that
// other hosts would return too is returned at once. Every request is idempotent, so it can be sent to several hosts.
// If all hosts fail, the error of a change has the code outcome_unknown if any of them may have executed the change.
func (c *client) do(ctx context.Context, method, path string, in, out any) error {
	var lastErr error
	mayHaveExecuted := false
	for _, host := range c.hosts {
		err := c.send(ctx, host, method, path, in, out)
		var resp *oper.ErrorResponse
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &resp):
			mayHaveExecuted = mayHaveExecuted || !notSent(err)
		case resp.Code == oper.CodeOutcomeUnknown:
			mayHaveExecuted = true
		case resp.Code == oper.CodeKVUnavailable, resp.Code == oper.CodeOtherHost, resp.Code == oper.CodeFailed:
			// Another host may be able to execute the request.
		default:
			return err
		}
		lastErr = errors.Wrap(err, host)
	}
	if mayHaveExecuted && (path == applyPath || path == drainPath) {
		return &oper.ErrorResponse{Code: oper.CodeOutcomeUnknown, Outcome: answer.Unknown, Message: lastErr.Error()}
	}
	return lastErr
}

func (c *client) send(ctx context.Context, host, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(intact.Trace(ctx), method, strings.TrimSuffix(host, "/")+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := intact.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if resp.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(b, out), "decode response")
	}
	errResp := new(oper.ErrorResponse)
	if err := json.Unmarshal(b, errResp); err != nil || errResp.Code == "" {
		return errors.Errorf("%s: %s", resp.Status, bytes.TrimSpace(b))
	}
	return errResp
}

// Reports whether the connection to the host failed, so that the request cannot have reached it.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
