package entry

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

// streamBuffer is the size of one read from an upstream's stream.
const streamBuffer = 8 << 10

// serveModel sends the call to engines until one has answered to the end.
func (c *call) serveModel() {
	c.lastID = c.r.Header.Get(c.s.Headers.LastEventID)
	for {
		got, err := c.s.Tickets.RequestTicket(c.ctx, c.ask())
		if err != nil {
			c.giveUp(reasonDeadline)
			return
		}
		if got.Kind == sched.Refused {
			c.refused(got)
			return
		}
		c.granted, c.grantedIn = got.Grant, time.Since(c.start)
		v, how := c.attemptModel(got.Grant)
		c.s.Tickets.Release(got.Grant, how)
		if v == answered {
			return
		}
		if !c.mayRetry() {
			c.giveUp(reasonRejected)
			return
		}
	}
}

func (c *call) refused(got sched.Decision) {
	if c.begun || c.mayRun {
		c.giveUp(got.Reason)
		return
	}
	c.refuse(got.Reason, got.RetryAfter)
}

func (c *call) ask() sched.Request {
	return sched.Request{
		Call: c.id, Service: c.service, Domain: c.s.Domain, Spec: c.demand, Priority: c.route.Priority,
		TargetLatency: c.route.TargetLatency, Remaining: time.Until(c.deadline), Tried: c.tried,
		GapTarget: c.route.GapTarget,
	}
}

func (c *call) attemptModel(g sched.Grant) (verdict, sched.Outcome) {
	c.tried = append(c.tried, g.Engine)
	c.first = false
	a, err := c.s.Pool.Do(c.ctx, c.request(g.Addr, g.Engine))
	if errors.Is(err, h1.ErrNotSent) {
		c.s.Stats.CountRetry("not_sent")
		return again, c.blame()
	}
	c.attempts++
	if err != nil {
		return c.broken(), c.blame()
	}
	if a.Status == http.StatusOK && c.route.Kind == topo.Stream {
		return c.stream(a, g)
	}
	body, err := a.ReadAll(MaxResponseBytes)
	if err != nil {
		return c.broken(), c.blame()
	}
	how := sched.Served
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		how = sched.NotResident
	case c.rejected(a):
		how = sched.NotExecuted
	case a.Status >= http.StatusInternalServerError:
		how = sched.Failed
	}
	return c.judge(a, body), how
}

// blame tells whether a failure was the upstream's or the end of the call.
func (c *call) blame() sched.Outcome {
	if c.ctx.Err() != nil {
		return sched.Canceled
	}
	return sched.Failed
}

// stream relays events until the stream ends; the answer begins with the first event. An engine's silence does not end
// it, because the engine may still finish; a dead engine's connection ends by its own time-outs.
func (c *call) stream(a *h1.Response, g sched.Grant) (verdict, sched.Outcome) {
	c.mayRun = true
	var pending []byte
	buf := make([]byte, streamBuffer)
	for {
		n, err := a.Read(buf)
		pending = append(pending, buf[:n]...)
		if end := lastEvent(pending); end > 0 {
			c.sendEvents(a, g, pending[:end])
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && len(pending) == 0 && c.begun:
			c.log(a.Status, "")
			return answered, sched.Served
		default:
			return c.cut()
		}
	}
}

// cut handles a stream that broke: a resumable one goes on at another engine.
func (c *call) cut() (verdict, sched.Outcome) {
	how := c.blame()
	if c.gone() {
		c.log(0, reasonCallerLeft)
		return c.abort(), how
	}
	if c.ctx.Err() == nil && c.route.Resumable && c.attempts < c.route.MaxAttempts {
		c.s.Stats.CountRetry("stream_cut")
		return again, how
	}
	if c.begun {
		c.log(0, reasonStreamCut)
		return c.abort(), how
	}
	return c.broken(), how
}

// abort remembers to break the caller's connection off once the ticket is returned.
func (c *call) abort() verdict {
	c.aborted = true
	return answered
}

// sendEvents sends whole events that the caller does not have yet.
func (c *call) sendEvents(a *h1.Response, g sched.Grant, events []byte) {
	if !c.first {
		c.first = true
		c.s.Tickets.FirstEvent(g)
	}
	now := time.Now()
	if c.begun {
		if pause := now.Sub(c.eventAt); pause > c.longest {
			c.longest, c.longestAt = pause, c.eventAt.Sub(c.start)
		}
	} else {
		c.firstIn = now.Sub(c.start)
	}
	c.eventAt = now
	if !c.begun {
		copyHeader(c.w.Header(), a.Header)
		c.w.WriteHeader(a.Status)
		c.begun = true
	}
	if id := lastID(events); id != "" {
		c.lastID = id
	}
	_, _ = c.w.Write(events)
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}

// lastEvent returns the end of the last whole event.
func lastEvent(b []byte) int {
	i := bytes.LastIndex(b, []byte("\n\n"))
	if i < 0 {
		return 0
	}
	return i + len("\n\n")
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) string {
	id := ""
	for line := range strings.SplitSeq(string(events), "\n") {
		if v, ok := strings.CutPrefix(line, "id:"); ok {
			id = strings.TrimSpace(v)
		}
	}
	return id
}
