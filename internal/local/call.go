package local

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os/exec"
	"time"

	"github.com/pkg/errors"
)

const (
	pollPause  = 100 * time.Millisecond
	maxAnswer  = 8 << 20
	callerAuth = "Bearer " + CallerKey
)

// Response is an HTTP answer as a whole.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Apply puts the rig's document into force through the first host that answers, with the figreel program.
func (r *Cluster) Apply(ctx context.Context) ([]byte, error) {
	var last error
	for ctx.Err() == nil {
		for i := range r.Hosts {
			host := r.URL(HostName(i) + "-op")
			out, err := r.operate(ctx, "apply", "--base", "0", "--host", host, r.DocumentFile())
			if err == nil {
				return out, nil
			}
			last = errors.Wrapf(err, "apply: %s", out)
		}
		time.Sleep(pollPause)
	}
	return nil, last
}

// operate runs an operator command of the figreel program.
func (r *Cluster) operate(ctx context.Context, args ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, r.Program("figreel"), args...)
	cmd.Env = append(cmd.Environ(), "FIGREEL_KEY="+OperatorKey)
	return cmd.CombinedOutput()
}

// AwaitReady waits until every host is ready and a generation for each model succeeds.
func (r *Cluster) AwaitReady(ctx context.Context, models ...string) error {
	for i := range r.Hosts {
		if err := r.await(ctx, func() bool {
			a, err := r.Get(ctx, HostName(i), "/readyz")
			return err == nil && a.Status == http.StatusOK
		}); err != nil {
			return errors.Wrapf(err, "%s is not ready", HostName(i))
		}
	}
	for _, m := range models {
		body := `{"model":"` + m + `","prompt":"ready?","max_tokens":2}`
		if err := r.await(ctx, func() bool {
			a, err := r.Post(ctx, HostName(0), "/v1/completions", body, nil)
			return err == nil && a.Status == http.StatusOK
		}); err != nil {
			return errors.Wrapf(err, "model %s does not answer", m)
		}
	}
	return nil
}

// Get sends a caller's request to a process and returns the whole answer.
func (r *Cluster) Get(ctx context.Context, name, path string) (Response, error) {
	return r.do(ctx, http.MethodGet, r.URL(name)+path, "", nil)
}

// Post sends a caller's request with a body to a process and returns the whole answer.
func (r *Cluster) Post(ctx context.Context, name, path, body string, header map[string]string) (Response, error) {
	return r.do(ctx, http.MethodPost, r.URL(name)+path, body, header)
}

func (r *Cluster) do(ctx context.Context, method, url, body string, header map[string]string) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return Response{}, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", callerAuth)
	for name, v := range header {
		req.Header.Set(name, v)
	}
	// Each call uses a connection of its own, as callers that connect by address answers do.
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Response{}, errors.Wrap(err, "call")
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: b}, errors.Wrap(err, "read answer")
}

// await polls until ok holds or ctx ends.
func (r *Cluster) await(ctx context.Context, ok func() bool) error {
	for !ok() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollPause):
		}
	}
	return nil
}
