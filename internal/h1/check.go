package h1

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// checkTimeout bounds a check, and maxCheckBytes the body of its response.
	checkTimeout  = 500 * time.Millisecond
	maxCheckBytes = 1 << 20
)

// check sends the check of a request on its connection, unless the connection has been checked.
func (p *Pool) check(ctx context.Context, c *conn, r *Request) error {
	if r.Check == nil || c.checked {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.abort() })
	defer stop()
	get := &Request{Method: http.MethodGet, Target: r.Check.Target, Host: r.Addr, Header: r.Check.Header}
	c.addRequest(get.ID)
	if _, err := c.Write(encodeHeader(get)); err != nil {
		return errors.Wrap(err, "check connection")
	}
	res, err := p.readResponse(c, get)
	if err != nil {
		return errors.Wrap(err, "check connection")
	}
	body, err := io.ReadAll(io.LimitReader(res.body, maxCheckBytes))
	switch {
	case err != nil:
		return errors.Wrap(err, "check connection")
	case !res.keepAlive:
		return errors.New("the connection ends with its check")
	}
	c.checked, c.reused = true, true
	return r.Check.Accept(res.Status, body)
}
