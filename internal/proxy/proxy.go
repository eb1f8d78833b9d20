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
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/plain"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/xhttp"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	maxAttempts       = 3 // attempts per request
	copyBufferBytes   = 32 << 10
	headerRequestID   = "X-Request-Id"
	headerRetryAfter  = "Retry-After"
	retryAfter        = time.Second
	statusBadGateway  = http.StatusBadGateway
	statusUnavailable = http.StatusServiceUnavailable
	codeNoUpstream    = "no_upstream"
)

type (
	// Sender sends one attempt to an upstream; *plain.Client implements it.
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
		// Notices holds which upstreams have asked for a pause; nil holds nothing.
		Notices *notice.Table

		picker picker
	}

	// requestState is the state of one request over its attempts.
	requestState struct {
		triedUpstreams map[string]bool
		maybeExecuted  bool // an upstream may have executed an attempt
		lastErr        error
	}
)

// errDeadlinePassed means that a request was not sent because its deadline had passed.
var errDeadlinePassed = &plain.SendError{NotExecuted: true, Reason: "the deadline passed before the request was sent"}

// Forward sends the request to an upstream and writes the response to w. It returns an *answer.Error only if nothing
// was written to w. If the response is truncated after that, Forward aborts the connection of the client, so that a
// truncated response never looks complete.
func (p *Proxy) Forward(ctx context.Context, w http.ResponseWriter, req apigw.ServiceRequest) error {
	callerCtx := ctx
	ctx, cancel := context.WithTimeout(callerCtx, time.Duration(req.Service.TimeoutMS)*time.Millisecond)
	defer cancel()
	state := &requestState{triedUpstreams: make(map[string]bool)}
	for n := 1; ; n++ {
		up, ok := p.pick(req, state)
		if !ok {
			return p.toAPIError(req, state)
		}
		sentAt := time.Now()
		resp, err := p.send(ctx, up, req)
		if err == nil {
			p.Stats.ObserveUpstream(up.Name, time.Since(sentAt))
			p.applyNotice(sentAt, up.Name, resp)
			return p.writeResponse(w, up, req, resp)
		}
		r := failed
		if errors.Is(err, errDeadlinePassed) || callerCtx.Err() != nil {
			r = unknown
		}
		p.picker.done(time.Now(), up.Name, r)
		state.recordFailure(up.Name, err)
		if !p.shouldRetry(ctx, req, state, n) {
			return p.toAPIError(req, state)
		}
	}
}

// pick chooses an upstream that was not tried, is not leaving and has not asked for a pause.
func (p *Proxy) pick(req apigw.ServiceRequest, state *requestState) (envdoc.Upstream, bool) {
	for {
		now := time.Now()
		up, ok := p.picker.pick(now, req.Service.Upstreams, p.FailureDomain, func(name string) bool {
			return state.triedUpstreams[name] || p.IsLeaving(name) || p.Notices.HoldWait(now, instanceOf(name)) > 0
		})
		// After a pause only one call at a time is admitted until one has been answered.
		if !ok || p.Notices.Admit(now, instanceOf(up.Name)) {
			return up, ok
		}
		p.picker.done(now, up.Name, unknown)
	}
}

// applyNotice records the pause that an upstream asks for with status 503, or that it has answered after one.
func (p *Proxy) applyNotice(sentAt time.Time, upstream string, resp *plain.Response) {
	n := topo.Notice{Partial: true}
	if after := resp.Header.Get(headerRetryAfter); after != "" && resp.Status == statusUnavailable {
		var err error
		if n.Hold, err = xhttp.ParseRetryAfter(after, time.Now()); err != nil {
			p.Stats.CountEvent("retry_after_malformed")
		}
	}
	if n.Hold > 0 {
		p.Stats.CountEvent("upstream_held")
	}
	p.Notices.Apply(time.Now(), sentAt, instanceOf(upstream), n)
}

// holdWait returns the shortest time until an upstream of the service may be called again, or 0 if none has asked for a
// pause.
func (p *Proxy) holdWait(s envdoc.Service) time.Duration {
	var shortest time.Duration
	for _, up := range s.Upstreams {
		wait := p.Notices.HoldWait(time.Now(), instanceOf(up.Name))
		if wait > 0 && (shortest == 0 || wait < shortest) {
			shortest = wait
		}
	}
	return shortest
}

// instanceOf identifies an upstream in the table of notices; the document has no instances.
func instanceOf(upstream string) topo.Instance { return topo.Instance{ID: upstream} }

func (p *Proxy) send(ctx context.Context, up envdoc.Upstream, req apigw.ServiceRequest) (*plain.Response, error) {
	// After a pause of the process, the timer that cancels ctx fires slightly late, so the clock is checked as well.
	if d, ok := ctx.Deadline(); ok && !time.Now().Before(d) {
		return nil, errDeadlinePassed
	}
	header := req.Header.Clone()
	header.Set(headerRequestID, req.RequestID)
	return p.Client.Forward(ctx, plain.Call{
		Method: req.Method, URL: strings.TrimSuffix(up.URL, "/") + req.Path, Header: header,
		Body: bytes.NewReader(req.Body), ContentLength: int64(len(req.Body)),
	})
}

// recordFailure records an upstream as tried and whether it may have executed the request.
func (s *requestState) recordFailure(upstream string, err error) {
	s.triedUpstreams[upstream] = true
	s.lastErr = err
	var se *plain.SendError
	if !errors.As(err, &se) || !se.NotExecuted {
		s.maybeExecuted = true
	}
}

// shouldRetry reports whether another upstream may be tried after n attempts, and spends the retry budget if so.
func (p *Proxy) shouldRetry(ctx context.Context, req apigw.ServiceRequest, s *requestState, n int) bool {
	if ctx.Err() != nil || n >= maxAttempts || s.maybeExecuted && !req.Idempotent {
		return false
	}
	if !p.RetryBudget.Spend() {
		p.Stats.CountRejection("retry_budget_empty")
		return false
	}
	if s.maybeExecuted {
		p.Stats.CountRetry("service_no_answer")
	} else {
		p.Stats.CountRetry("service_not_started")
	}
	return true
}

// toAPIError returns the error for a request that no upstream has completed.
func (p *Proxy) toAPIError(req apigw.ServiceRequest, s *requestState) error {
	e := &answer.Error{
		Status: statusBadGateway, Code: "upstream_failed", Outcome: answer.NotRun, RetryAfter: retryAfter,
	}
	switch {
	case s.maybeExecuted && req.Idempotent:
		e.Outcome = answer.Failed
	case s.maybeExecuted:
		e.Outcome = answer.Unknown
	}
	if s.lastErr == nil {
		e.Status, e.Code = statusUnavailable, codeNoUpstream
		e.RetryAfter = max(p.holdWait(req.Service), retryAfter)
		e.Message = "service " + req.Service.Name + " has no available upstream"
		return e
	}
	e.Message = "service " + req.Service.Name + " sent no response: " + s.lastErr.Error()
	return e
}

// writeResponse streams the upstream's response to w. It reads the first bytes of the body before it sends the status,
// so that an upstream that fails immediately can still be reported as an error.
func (p *Proxy) writeResponse(
	w http.ResponseWriter, up envdoc.Upstream, req apigw.ServiceRequest, resp *plain.Response,
) error {
	defer func() { _ = resp.Body.Close() }()
	r := failed
	// A truncated response may end in a panic.
	defer func() { p.picker.done(time.Now(), up.Name, r) }()
	buf := make([]byte, copyBufferBytes)
	n, err := resp.Body.Read(buf)
	if err != nil && !errors.Is(err, io.EOF) {
		return p.toAPIError(req, &requestState{maybeExecuted: true, lastErr: err})
	}
	copyHeader(w.Header(), resp.Header)
	status := resp.Status
	if !req.Idempotent && saysNotExecuted(status) {
		p.Stats.CountEvent("service_outcome_not_stated")
		w.Header().Del(headerRetryAfter)
		status = statusBadGateway
	}
	w.WriteHeader(status)
	truncated, werr := p.copyBody(w, resp.Body, buf, n, err)
	if truncated {
		return werr
	}
	r = served
	if werr == nil {
		p.RetryBudget.Earn()
	}
	return werr
}

// copyBody copies the rest of the body to w, starting with buf[:n] and the error err of the read that filled it.
// truncated reports that the upstream broke off; werr is the error for the caller of Forward.
func (p *Proxy) copyBody(
	w http.ResponseWriter, body io.Reader, buf []byte, n int, err error,
) (truncated bool, werr error) {
	flush := http.NewResponseController(w)
	for {
		if _, werr := w.Write(buf[:n]); werr != nil {
			return false, errors.Wrap(werr, "write response")
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

// abort ends a response that is truncated after its status was sent. A buffering writer has a Cut method, whose error
// abort returns. Any other writer belongs to net/http, which closes the connection when the handler panics with
// http.ErrAbortHandler.
func abort(w http.ResponseWriter) error {
	if c, ok := w.(interface{ Truncated() error }); ok {
		return c.Truncated()
	}
	panic(http.ErrAbortHandler)
}

// saysNotExecuted reports whether clients take a status for a statement that the request was not executed, which a
// service does not make by it.
func saysNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, statusUnavailable:
		return true
	}
	return false
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
