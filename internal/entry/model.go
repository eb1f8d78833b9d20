package entry

import (
	"bytes"
	"cmp"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// streamBufferSize is the maximum size of one read from an upstream's stream, in bytes.
	streamBufferSize = 8 << 10
	// smallEventBytes is the size of an event that is held even if the memory for responses is used up.
	smallEventBytes = 2 * streamBufferSize
	// maxSeparator is the length of the longest end of an event, in bytes.
	maxSeparator = len("\n\r\n")
	// maxEventBytes is the size limit of one event of a stream.
	maxEventBytes = 1 << 20
)

// serveModel sends the call to one engine after another until its response is complete or no further attempt is
// allowed.
func (c *call) serveModel() {
	if c.hasUnknownOrigin() {
		c.finishWithoutResponse(sched.ReasonVersionUnknown)
		return
	}
	for {
		decision, err := c.s.Tickets.RequestTicket(c.ctx, c.ticketRequest())
		if err != nil {
			c.finishWithoutResponse(c.timeoutReason())
			return
		}
		if decision.Kind == sched.Rejected {
			c.handleRejection(decision)
			return
		}
		if decision.Grant.DelayedBy != "" {
			c.delayedBy = decision.Grant.DelayedBy
		}
		c.grant, c.timeToGrant = decision.Grant, time.Since(c.start)
		c.service = cmp.Or(decision.Grant.Service, c.service)
		if !c.checkKey() {
			c.s.Tickets.Release(decision.Grant, sched.Canceled)
			return
		}
		next, outcome := c.attemptModel(decision.Grant)
		c.s.Tickets.Release(decision.Grant, outcome)
		if next == completed {
			return
		}
		if !c.spendRetry() {
			c.finishWithoutResponse(reasonRejected)
			return
		}
	}
}

// noteTakeUp records whether the caller takes up a stream, and which.
func (c *call) noteTakeUp() {
	c.lastEventID = c.r.Header.Get(c.s.Headers.LastEventID)
	c.resumes = c.r.Header.Get(c.s.Headers.Resumes)
	if c.takesUp = c.lastEventID != "" && c.route.Kind == topo.Stream; c.takesUp {
		c.s.Stats.CountEvent("streams_taken_up")
	}
}

// hasUnknownOrigin reports whether the caller takes up a stream without naming it, on a route that is split over
// several services. It may have begun at any of them.
func (c *call) hasUnknownOrigin() bool {
	return c.takesUp && c.resumes == "" && len(c.route.TrafficSplit) > 1
}

func (c *call) handleRejection(decision sched.Decision) {
	c.rejection = decision
	if c.headerSent || c.mayHaveExecuted {
		c.finishWithoutResponse(decision.Reason)
		return
	}
	c.reject(decision.Reason, decision.RetryAfter)
}

func (c *call) ticketRequest() sched.Request {
	req := sched.Request{
		Call: c.id, Service: c.service, Domain: c.s.Domain, Spec: c.spec, Priority: c.priority(),
		TargetLatency: c.route.TargetLatency, Remaining: time.Until(c.deadline), Tried: c.tried,
		GapTarget: c.route.GapTarget, FirstEventIn: time.Until(c.firstEventDeadline()),
		Software: c.software, TakesUp: c.takesUp, Resumes: c.resumes,
		Resumable: c.route.Resumable, Workspace: c.workspaceName(), Cost: c.cost(),
	}
	if c.workspace != nil {
		req.WorkspacePriority, req.HasWorkspacePriority = c.workspace.Priority, c.workspace.HasPriority
	}
	return req
}

// firstEventDeadline returns when the caller leaves if the next attempt has sent no event.
func (c *call) firstEventDeadline() time.Time {
	if c.route.Patience <= 0 {
		return c.deadline
	}
	since := c.start
	if c.headerSent {
		since = c.lastEventAt
	}
	if end := since.Add(c.route.Patience); end.Before(c.deadline) {
		return end
	}
	return c.deadline
}

func (c *call) attemptModel(g sched.Grant) (attemptResult, sched.Outcome) {
	c.tried = append(c.tried, g.Engine)
	c.firstEventSent = false
	sent := time.Now()
	r := c.upstreamRequest(g.Addr, g.Engine)
	if g.CheckStart && c.s.StartCheck != nil {
		r.Check = c.s.StartCheck(topo.Instance{ID: g.Engine, Boot: g.Boot})
	}
	res, err := c.s.Pool.Do(c.ctx, r)
	if errors.Is(err, h1.ErrNotSent) {
		c.s.Stats.CountRetry("not_sent")
		return tryNext, c.failureOutcome(sched.Failed)
	}
	c.attempts++
	if err != nil {
		c.logBroken(g.Engine, err)
		return c.handleFailure(), c.failureOutcome(sched.Broken)
	}
	c.s.applyNotice(sent, topo.Instance{ID: g.Engine, Boot: g.Boot}, res)
	if res.Status == http.StatusOK && c.route.Kind == topo.Stream {
		if c.headerSent && !isEventStream(res.Header) {
			c.s.Log.Warn().Str("call", c.id).Str("upstream", g.Engine).
				Msg("response that is no stream cannot continue one")
			res.Close()
			return c.handleTruncated()
		}
		return c.relayStream(res, g)
	}
	body, complete, err := c.holdBody(res)
	if err != nil {
		c.logBroken(g.Engine, err)
		return c.handleFailure(), c.failureOutcome(sched.Broken)
	}
	outcome := sched.Served
	switch {
	case res.Status == http.StatusMisdirectedRequest:
		outcome = sched.NotResident
	case c.notExecuted(res):
		outcome = sched.NotExecuted
	case res.Status >= http.StatusInternalServerError:
		outcome = sched.Failed
	}
	return c.handleResponse(res, body, complete), outcome
}

// isEventStream reports whether the body of a response is a stream of events.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// failureOutcome returns Canceled for a failure after the call's context ended, and otherwise that of the upstream.
func (c *call) failureOutcome(ofUpstream sched.Outcome) sched.Outcome {
	if c.ctx.Err() != nil {
		return sched.Canceled
	}
	return ofUpstream
}

// relayStream relays events until the stream ends; the response header is sent with the first event. There is no limit
// on the gap between events, because a slow engine may still finish; the connection to a dead engine ends by its own
// timeouts.
func (c *call) relayStream(res *h1.Response, g sched.Grant) (attemptResult, sched.Outcome) {
	c.mayHaveExecuted = true
	var partial []byte
	long := mem.Share{Budget: c.s.ResponseMemory}
	defer long.Release()
	buf := make([]byte, streamBufferSize)
	for {
		n, err := res.Read(buf)
		fits := true
		if len(partial)+n <= smallEventBytes {
			partial = append(partial, buf[:n]...)
		} else {
			partial, fits = long.Append(partial, buf[:n])
		}
		// What was read before holds no end of an event, but may hold the start of one.
		from := max(len(partial)-n-maxSeparator+1, 0)
		if end := endOfLastEvent(partial[from:]); end > 0 {
			c.sendEvents(res, g, partial[:from+end])
			partial = append(partial[:0], partial[from+end:]...)
		}
		if len(partial) > maxEventBytes || !fits {
			c.s.Stats.CountEvent("event_too_long")
			c.s.Log.Warn().Str("call", c.id).Str("upstream", g.Engine).Bool("memory_used_up", !fits).
				Msg("event of the stream is too long")
			res.Close()
			return c.handleTruncated()
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(partial) == 0 && c.headerSent:
			c.logEnd(res.Status, "")
			return completed, sched.Served
		default:
			c.logBroken(g.Engine, err)
			return c.handleTruncated()
		}
	}
}

// logBroken logs an attempt whose connection broke, with what tells calls apart that break engines from calls that only
// shared an engine with them.
func (c *call) logBroken(upstream string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	segments := make([]string, 0, len(c.spec.Segments))
	for _, s := range c.spec.Segments {
		segments = append(segments, strconv.FormatUint(s.ID, 16))
	}
	c.s.Log.Warn().Err(err).Str("call", c.id).Str("upstream", upstream).Str("software", c.grant.Software).
		Bool("first_event", c.firstEventSent).
		Strs("segments", segments).Str("request", strconv.FormatUint(c.spec.Request, 16)).
		Msg("connection to upstream broke")
}

// handleTruncated handles a stream that ended before it was complete; another engine continues it if it is resumable.
func (c *call) handleTruncated() (attemptResult, sched.Outcome) {
	outcome := c.failureOutcome(sched.Broken)
	if c.callerLeft() {
		c.logEnd(0, reasonCallerLeft)
		return c.abort(), outcome
	}
	if c.ctx.Err() == nil && c.route.Resumable && c.attempts < c.route.MaxAttempts {
		c.s.Stats.CountRetry("stream_cut")
		return tryNext, outcome
	}
	if c.headerSent {
		c.logEnd(0, reasonStreamTruncated)
		return c.abort(), outcome
	}
	return c.handleFailure(), outcome
}

// abort makes finish reset the caller's connection, after the ticket has been released.
func (c *call) abort() attemptResult {
	c.aborted = true
	return completed
}

// sendEvents sends complete events to the caller, after the response header if it has not been sent.
func (c *call) sendEvents(res *h1.Response, g sched.Grant, events []byte) {
	if !c.firstEventSent {
		c.firstEventSent = true
		c.s.Tickets.FirstEvent(g, c.s.load(res.Header))
	}
	now := time.Now()
	if c.headerSent {
		if gap := now.Sub(c.lastEventAt); gap > c.maxGap {
			c.maxGap, c.maxGapAt = gap, c.lastEventAt.Sub(c.start)
		}
	} else {
		c.timeToFirstEvent = now.Sub(c.start)
	}
	c.lastEventAt = now
	if !c.headerSent {
		copyHeader(c.w.Header(), res.Header)
		c.w.WriteHeader(res.Status)
		c.headerSent, c.software = true, g.Software
	}
	if id := lastEventID(events); id != "" {
		c.lastEventID = id
	}
	_, _ = c.w.Write(events)
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}

// endOfLastEvent returns the offset after the last complete event in b, or 0. Events end with an empty line; lines end
// with LF or CRLF.
func endOfLastEvent(b []byte) int {
	end := 0
	for _, separator := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(separator)); i >= 0 {
			end = max(end, i+len(separator))
		}
	}
	return end
}

// lastEventID returns the id of the last event that has one, or an empty string.
func lastEventID(events []byte) string {
	id := ""
	for line := range strings.SplitSeq(string(events), "\n") {
		if v, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(v)
		}
	}
	return id
}
