package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	maxAttempts  = 3
	copyBytes    = 32 << 10
	headerID     = "X-Request-Id"
	retryAfter   = time.Second
	badGateway   = http.StatusBadGateway
	unavailable  = http.StatusServiceUnavailable
	codeNoneLeft = "no_upstream"
)

type (
	// Sender sends one attempt; *plain.Client is the one in use.
	Sender interface {
		Forward(ctx context.Context, c plain.Call) (*plain.Response, error)
	}

	// Proxy forwards requests to plain services; its fields are set before use.
	Proxy struct {
		Client        Sender
		RetryBudget   *budget.Budget
		Stats         *stats.Set
		FailureDomain string
		// IsLeaving reports whether an upstream is leaving.
		IsLeaving func(upstream string) bool

		picker picker
	}

	// attempt is what is known of one request over its attempts.
	attempt struct {
		tried map[string]bool
		maybe bool // an attempt may have run
		last  error
	}
)

// errLate is a request that was not sent because its deadline had passed.
var errLate = &plain.SendError{NotExecuted: true, Reason: "the deadline passed before the request was sent"}

// Forward sends the request to an upstream and writes its answer to w; an *answer.Error is returned before anything is
// written. An answer that is cut afterwards aborts the connection, so that it never looks whole.
func (p *Proxy) Forward(ctx context.Context, w http.ResponseWriter, f apigw.ServiceRequest) error {
	from := ctx
	ctx, cancel := context.WithTimeout(from, time.Duration(f.Service.TimeoutMS)*time.Millisecond)
	defer cancel()
	at := &attempt{tried: make(map[string]bool)}
	for n := 1; ; n++ {
		up, ok := p.picker.pick(time.Now(), f.Service.Upstreams, p.FailureDomain, func(name string) bool {
			return at.tried[name] || p.IsLeaving(name)
		})
		if !ok {
			return p.refuse(f, at)
		}
		began := time.Now()
		a, err := p.send(ctx, up, f)
		if err == nil {
			p.Stats.ObserveUpstream(up.Name, time.Since(began))
			return p.answer(w, up, f, a)
		}
		// Neither a late request nor a caller that left is the fault of the upstream.
		p.picker.done(time.Now(), up.Name, !errors.Is(err, errLate) && from.Err() == nil)
		at.note(up.Name, err)
		if !p.again(ctx, f, at, n) {
			return p.refuse(f, at)
		}
	}
}

func (p *Proxy) send(ctx context.Context, up envdoc.Upstream, f apigw.ServiceRequest) (*plain.Response, error) {
	// After a pause of the process, ctx learns only a moment later that its deadline has passed.
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return nil, errLate
	}
	header := f.Header.Clone()
	header.Set(headerID, f.RequestID)
	return p.Client.Forward(ctx, plain.Call{
		Method: f.Method, URL: strings.TrimSuffix(up.URL, "/") + f.Path, Header: header,
		Body: bytes.NewReader(f.Body), ContentLength: int64(len(f.Body)), NonIdempotent: !f.Idempotent,
	})
}

func (a *attempt) note(name string, err error) {
	a.tried[name] = true
	a.last = err
	var se *plain.SendError
	if !errors.As(err, &se) || !se.NotExecuted {
		a.maybe = true
	}
}

// again reports whether another upstream may be tried.
func (p *Proxy) again(ctx context.Context, f apigw.ServiceRequest, a *attempt, n int) bool {
	if ctx.Err() != nil || n >= maxAttempts || a.maybe && !f.Idempotent {
		return false
	}
	if !p.RetryBudget.Spend() {
		p.Stats.CountRejection("retry_budget_empty")
		return false
	}
	if a.maybe {
		p.Stats.CountRetry("service_no_answer")
	} else {
		p.Stats.CountRetry("service_not_started")
	}
	return true
}

func (p *Proxy) refuse(f apigw.ServiceRequest, a *attempt) error {
	e := &answer.Error{Status: badGateway, Code: "upstream_failed", Outcome: answer.NotRun, RetryAfter: retryAfter}
	switch {
	case a.maybe && f.Idempotent:
		e.Outcome = answer.Failed
	case a.maybe:
		e.Outcome = answer.Unknown
	}
	if a.last == nil {
		e.Status, e.Code = unavailable, codeNoneLeft
		e.Message = "service " + f.Service.Name + " has no upstream that takes work"
		return e
	}
	e.Message = "service " + f.Service.Name + " gave no answer: " + a.last.Error()
	return e
}

// answer streams the upstream's answer; its first part is read before the status is sent, so that an upstream that
// breaks at once can still be reported as an error.
func (p *Proxy) answer(w http.ResponseWriter, up envdoc.Upstream, f apigw.ServiceRequest, a *plain.Response) error {
	defer func() { _ = a.Body.Close() }()
	buf := make([]byte, copyBytes)
	n, err := a.Body.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		p.picker.done(time.Now(), up.Name, true)
		return p.refuse(f, &attempt{maybe: true, last: err})
	}
	copyHeader(w.Header(), a.Header)
	w.WriteHeader(a.Status)
	failed, werr := p.copy(w, a.Body, buf, n, err)
	p.picker.done(time.Now(), up.Name, failed)
	if !failed && werr == nil {
		p.RetryBudget.Earn()
	}
	return werr
}

// copy passes the body on; failed blames the upstream.
func (p *Proxy) copy(w http.ResponseWriter, body io.Reader, buf []byte, n int, err error) (failed bool, werr error) {
	flush := http.NewResponseController(w)
	for {
		if _, werr := w.Write(buf[:n]); werr != nil {
			return false, errors.Wrap(werr, "write answer")
		}
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			p.Stats.CountEvent("service_answer_cut")
			return true, abort(w)
		}
		_ = flush.Flush()
		n, err = body.Read(buf)
	}
}

// abort ends an answer whose status was sent: a network writer drops its connection, any other returns the error.
func abort(w http.ResponseWriter) error {
	if c, ok := w.(interface{ Cut() error }); ok {
		return c.Cut()
	}
	panic(http.ErrAbortHandler)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
