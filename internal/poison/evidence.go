package poison

import (
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

type (
	// crash is an engine instance that broke under a call.
	crash struct {
		at, sent time.Time
		instance string
		segments []topo.PromptSegment
		request  uint64 // of the call, 0 if it is not known
	}

	// evidence is what is known of one segment or request.
	evidence struct {
		servedAt  time.Time
		brokenAt  time.Time // when the last engine was counted
		instances []string  // engine instances that broke
		calls     []uint64  // the calls under which they broke, at most minCalls
	}
)

// known returns the evidence on a segment, or nil.
func (t *Table) known(id uint64) *evidence {
	if e := t.recent[id]; e != nil {
		return e
	}
	return t.old[id]
}

// of returns the evidence on a segment, and creates it if there is none.
func (t *Table) of(id uint64) *evidence {
	if e := t.recent[id]; e != nil {
		return e
	}
	e := t.old[id]
	if e == nil {
		e = &evidence{}
	}
	if t.recent == nil || len(t.recent) >= maxSegments/2 {
		t.old, t.recent = t.recent, make(map[uint64]*evidence)
	}
	t.recent[id] = e
	return e
}

// recallServed adds to the evidence that a request was served.
func (t *Table) recallServed(request uint64) {
	at := t.served.at(request)
	if at.IsZero() {
		return
	}
	if e := t.of(request); at.After(e.servedAt) && at.After(e.brokenAt) {
		*e = evidence{servedAt: at}
	}
}

// cleared reports whether a call with the segment was served lately.
func (e *evidence) cleared(now time.Time) bool {
	return !e.servedAt.IsZero() && now.Sub(e.servedAt) < retention
}

// isSame reports whether two crashes are of the same engine instance under the same call.
func (c *crash) isSame(other crash) bool {
	return c.instance == other.instance && c.call() == other.call()
}

// call identifies the call by its request or, if that is not known, by its last segment.
func (c *crash) call() uint64 {
	if c.request != 0 || len(c.segments) == 0 {
		return c.request
	}
	return c.segments[len(c.segments)-1].ID
}

// suspects returns the ids that may be the cause of the crash.
func (c *crash) suspects() []uint64 {
	return parts(&topo.CallSpec{Segments: c.segments, Request: c.request})
}

// parts returns the ids of what a call has in common with others: the shared segments and, for a call that comes again,
// its request.
func parts(call *topo.CallSpec) []uint64 {
	ids := shared(call.Segments)
	if call.Request != 0 {
		ids = append(ids, call.Request)
	}
	return ids
}

// add counts an engine instance that broke under a call with the segment.
func (e *evidence) add(now time.Time, c *crash) {
	if e.cleared(now) {
		return
	}
	if now.Sub(e.brokenAt) > retention {
		*e = evidence{}
	}
	if len(e.calls) < minCalls && !slices.Contains(e.calls, c.call()) {
		e.calls = append(e.calls, c.call())
	}
	commonCause := c.at.Sub(e.brokenAt).Abs() < commonCauseTime && c.sent.Before(e.brokenAt)
	if commonCause || slices.Contains(e.instances, c.instance) || len(e.instances) == maxInstances {
		return
	}
	e.instances = append(e.instances, c.instance)
	if c.at.After(e.brokenAt) {
		e.brokenAt = c.at
	}
}

// shared returns the ids of the segments that other calls may have: all but the last one.
func shared(segments []topo.PromptSegment) []uint64 {
	if len(segments) == 0 {
		return nil
	}
	out := make([]uint64, 0, len(segments)-1)
	for _, s := range segments[:len(segments)-1] {
		out = append(out, s.ID)
	}
	return out
}
