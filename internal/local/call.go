package local

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os/exec"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/opcli"
)

const (
	pollInterval = 100 * time.Millisecond
	maxResponse  = 8 << 20
	callerAuth   = "Bearer " + CallerKey
)

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Apply runs "figreel apply" with the cluster's document and returns its output. It tries one host after the other
// until one accepts the document or finds it invalid. When ctx ends or a process fails first, it returns that and the
// last error of a host.
func (c *Cluster) Apply(ctx context.Context) ([]byte, error) {
	ctx, cancel := c.Watch(ctx)
	defer cancel()
	var lastErr error
	for {
		for i := range c.Hosts {
			host := c.URL(HostName(i) + "-op")
			out, err := c.runFigreel(ctx, "apply", "--base", "0", "--host", host, c.DocumentFile())
			if err == nil {
				return out, nil
			}
			if ctx.Err() != nil {
				return nil, applyError(ctx, lastErr)
			}
			lastErr = errors.Errorf("%s: %s", err, bytes.TrimSpace(out))
			if exit := new(exec.ExitError); errors.As(err, &exit) && exit.ExitCode() == opcli.ExitFindings {
				return nil, errors.Wrap(lastErr, "figreel apply")
			}
		}
		if !clock.Sleep(ctx, pollInterval) {
			return nil, applyError(ctx, lastErr)
		}
	}
}

// applyError returns the reason why ctx has ended, with the error of the last attempt that was not interrupted.
func applyError(ctx context.Context, lastErr error) error {
	if lastErr == nil {
		return errors.Wrap(context.Cause(ctx), "figreel apply")
	}
	return errors.Wrapf(context.Cause(ctx), "figreel apply (last attempt: %s)", lastErr)
}

// runFigreel runs a command of the figreel program with the operator key and returns its output.
func (c *Cluster) runFigreel(ctx context.Context, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, c.Program("figreel"), args...)
	cmd.Env = append(cmd.Environ(), "FIGREEL_KEY="+OperatorKey)
	return cmd.CombinedOutput()
}

// AwaitReady waits until every host reports ready and each model completes a short request. It returns an error when
// ctx ends or a process fails first.
func (c *Cluster) AwaitReady(ctx context.Context, models ...string) error {
	ctx, cancel := c.Watch(ctx)
	defer cancel()
	for i := range c.Hosts {
		if err := c.waitUntil(ctx, func() bool {
			resp, err := c.Get(ctx, HostName(i), "/readyz")
			return err == nil && resp.Status == http.StatusOK
		}); err != nil {
			return errors.Wrapf(err, "%s is not ready", HostName(i))
		}
	}
	for _, m := range models {
		body := `{"model":"` + m + `","prompt":"ready?","max_tokens":2}`
		if err := c.waitUntil(ctx, func() bool {
			resp, err := c.Post(ctx, HostName(0), "/v1/completions", body, nil)
			return err == nil && resp.Status == http.StatusOK
		}); err != nil {
			return errors.Wrapf(err, "model %s completes no request", m)
		}
	}
	return nil
}

// Get sends a GET request with the caller's key to a process and returns the complete response.
func (c *Cluster) Get(ctx context.Context, name, path string) (Response, error) {
	return c.do(ctx, http.MethodGet, c.URL(name)+path, "", nil)
}

// Post sends a POST request with the caller's key to a process and returns the complete response.
func (c *Cluster) Post(ctx context.Context, name, path, body string, header map[string]string) (Response, error) {
	return c.do(ctx, http.MethodPost, c.URL(name)+path, body, header)
}

func (c *Cluster) do(ctx context.Context, method, url, body string, header map[string]string) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return Response{}, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", callerAuth)
	for name, v := range header {
		req.Header.Set(name, v)
	}
	// Each request opens a connection, like a caller that looks up a host address for every call.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, errors.Wrap(err, "read response")
}

// waitUntil polls done until it returns true; it returns the cause of ctx when ctx ends first.
func (c *Cluster) waitUntil(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
