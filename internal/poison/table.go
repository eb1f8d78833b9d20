package poison

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// minCrashes and minCalls are how many engines must have broken, under how many different calls.
	minCrashes = 3
	minCalls   = 2
	// commonCauseTime is the time within which engines that break count as one, because an outage breaks many at once.
	// An engine that got its call after the one before had broken counts by itself.
	commonCauseTime = 100 * time.Millisecond
	// memory is how long a served call clears its segments, and how long a crash counts.
	memory = time.Minute
	// maxSegments bounds how many segments are remembered, and maxInstances how many engines for each of them.
	maxSegments  = 4096
	maxInstances = 16
	// maxRecords bounds how many quarantines are kept, including those that have ended.
	maxRecords = 64
	// initialProbeDelay is the time after which one call tests a quarantine; it doubles with each test, up to
	// maxProbeDelay.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
)

type (
	// Record is a quarantine as hosts tell each other: calls with all of its segments are rejected while it is active.
	Record struct {
		Segments []uint64 `cbor:"1,keyasint"`           // ids, sorted
		Active   bool     `cbor:"2,keyasint,omitempty"` // false after it has ended
		Version  int      `cbor:"3,keyasint"`           // number of changes; the highest version counts
	}

	// Table holds the evidence and the quarantines of one host; its zero value is empty.
	Table struct {
		// Evidence is kept in two generations, so that the oldest half can be dropped at once.
		recent, old map[uint64]*evidence
		records     map[string]*quarantine
		changed     []Record // not yet returned by Changes
	}

	// evidence is what is known of one segment.
	evidence struct {
		servedAt  time.Time
		brokenAt  time.Time // when the last engine was counted
		instances []string  // engine instances that broke
		calls     []uint64  // last segments of the calls under which they broke, at most minCalls
	}

	quarantine struct {
		Record
		endedAt    time.Time // when it ended, if it is not active
		probeAt    time.Time
		probeDelay time.Duration
	}
)

// Served records that a call with these segments was served completely, which clears all of them.
func (t *Table) Served(now time.Time, segments []topo.PromptSegment) {
	for _, id := range shared(segments) {
		*t.of(id) = evidence{servedAt: now}
		for _, q := range t.records {
			if q.Active && slices.Contains(q.Segments, id) {
				t.clear(now, q, id)
			}
		}
	}
}

// Broken records that the connection to an engine instance broke before the call with these segments, which had been
// sent at the given time, got an event.
func (t *Table) Broken(now, sent time.Time, instance string, segments []topo.PromptSegment) {
	ids := shared(segments)
	if len(ids) == 0 {
		return
	}
	last := segments[len(segments)-1].ID
	crashes := 0
	var suspects []uint64
	for _, id := range ids {
		e := t.of(id)
		e.add(now, sent, instance, last)
		if len(e.instances) < minCrashes || len(e.calls) < minCalls || len(e.instances) < crashes {
			continue
		}
		if len(e.instances) > crashes {
			crashes, suspects = len(e.instances), nil
		}
		suspects = append(suspects, id)
	}
	if len(suspects) > 0 {
		t.quarantine(now, suspects)
	}
}

// Blocks reports whether a call with these segments must not be sent to an engine.
func (t *Table) Blocks(segments []topo.PromptSegment) bool {
	if len(t.records) == 0 {
		return false
	}
	ids := shared(segments)
	for _, q := range t.records {
		if q.blocks(ids) {
			return true
		}
	}
	return false
}

// Probe reports whether a call that Blocks rejects may be sent to test its quarantine, and counts it as that test.
func (t *Table) Probe(now time.Time, segments []topo.PromptSegment) bool {
	ids := shared(segments)
	var due []*quarantine
	for _, q := range t.records {
		if !q.blocks(ids) {
			continue
		}
		if now.Before(q.probeAt) {
			return false
		}
		due = append(due, q)
	}
	for _, q := range due {
		q.probeDelay = min(2*q.probeDelay, maxProbeDelay)
		q.probeAt = now.Add(q.probeDelay)
	}
	return true
}

// Records returns the quarantines for other hosts, including those that have ended in the last minute.
func (t *Table) Records(now time.Time) []Record {
	out := make([]Record, 0, len(t.records))
	for k, q := range t.records {
		if !q.Active && now.Sub(q.endedAt) > memory {
			delete(t.records, k)
			continue
		}
		out = append(out, q.Record)
	}
	return out
}

// Merge applies the quarantines of another host.
func (t *Table) Merge(now time.Time, records []Record) {
	for _, r := range records {
		if len(r.Segments) == 0 {
			// It would block every call.
			continue
		}
		if !r.Active && t.records[key(r.Segments)] == nil {
			continue
		}
		q := t.record(r.Segments)
		if q == nil || r.Version <= q.Version {
			continue
		}
		q.Active, q.Version, q.endedAt = r.Active, r.Version, now
		q.probeAt, q.probeDelay = now.Add(initialProbeDelay), initialProbeDelay
		t.changed = append(t.changed, q.Record)
		if !q.Active {
			continue
		}
		for _, id := range r.Segments {
			if e := t.known(id); e != nil && e.cleared(now) {
				t.clear(now, q, id)
			}
		}
	}
}

// Changes returns the quarantines that have begun or ended since the previous call of Changes.
func (t *Table) Changes() []Record {
	out := t.changed
	t.changed = nil
	return out
}

// quarantine blocks calls that have all of these segments, instead of those with more segments.
func (t *Table) quarantine(now time.Time, ids []uint64) {
	slices.Sort(ids)
	for _, q := range t.records {
		if q.Active && len(q.Segments) > len(ids) && containsAll(q.Segments, ids) {
			t.end(now, q)
		}
	}
	q := t.record(ids)
	if q == nil || q.Active {
		return
	}
	q.Active = true
	q.Version++
	q.probeAt, q.probeDelay = now.Add(initialProbeDelay), initialProbeDelay
	t.changed = append(t.changed, q.Record)
}

// clear ends a quarantine because one of its segments was served, and quarantines the others, if there are any.
func (t *Table) clear(now time.Time, q *quarantine, id uint64) {
	t.end(now, q)
	rest := slices.DeleteFunc(slices.Clone(q.Segments), func(other uint64) bool { return other == id })
	if len(rest) > 0 {
		t.quarantine(now, rest)
	}
}

func (t *Table) end(now time.Time, q *quarantine) {
	q.Active, q.endedAt = false, now
	q.Version++
	t.changed = append(t.changed, q.Record)
}

// record returns the quarantine of these segments, which must be sorted. It creates an ended one if there is none, and
// returns nil if there are too many.
func (t *Table) record(ids []uint64) *quarantine {
	if t.records == nil {
		t.records = make(map[string]*quarantine)
	}
	k := key(ids)
	if q := t.records[k]; q != nil {
		return q
	}
	if len(t.records) >= maxRecords && !t.dropEnded() {
		return nil
	}
	q := &quarantine{Record: Record{Segments: ids}}
	t.records[k] = q
	return q
}

// dropEnded forgets one quarantine that has ended, and reports whether there was one.
func (t *Table) dropEnded() bool {
	for k, q := range t.records {
		if !q.Active {
			delete(t.records, k)
			return true
		}
	}
	return false
}

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

// cleared reports whether a call with the segment was served lately.
func (e *evidence) cleared(now time.Time) bool {
	return !e.servedAt.IsZero() && now.Sub(e.servedAt) < memory
}

// add counts an engine instance that broke under a call whose last segment is given.
func (e *evidence) add(now, sent time.Time, instance string, last uint64) {
	if e.cleared(now) {
		return
	}
	if now.Sub(e.brokenAt) > memory {
		*e = evidence{}
	}
	if len(e.calls) < minCalls && !slices.Contains(e.calls, last) {
		e.calls = append(e.calls, last)
	}
	commonCause := now.Sub(e.brokenAt) < commonCauseTime && !sent.After(e.brokenAt)
	if commonCause || slices.Contains(e.instances, instance) || len(e.instances) == maxInstances {
		return
	}
	e.instances = append(e.instances, instance)
	e.brokenAt = now
}

func (q *quarantine) blocks(ids []uint64) bool { return q.Active && containsAll(ids, q.Segments) }

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

func containsAll(list, ids []uint64) bool {
	for _, id := range ids {
		if !slices.Contains(list, id) {
			return false
		}
	}
	return true
}

func key(ids []uint64) string {
	b := make([]byte, 0, 8*len(ids))
	for _, id := range ids {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return string(b)
}
