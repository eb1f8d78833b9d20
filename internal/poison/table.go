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
	// maxReports bounds how many crashes a host tells others of, and reportTime how old these may be.
	maxReports = 8
	reportTime = 10 * time.Second
	// initialProbeDelay is the time after which one call tests a quarantine; it doubles with each test, up to
	// maxProbeDelay.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
)

type (
	// State is what hosts tell each other.
	State struct {
		Records []Record `cbor:"1,keyasint,omitempty"`
		Reports []Report `cbor:"2,keyasint,omitempty"`
	}

	// Report is an engine that broke under a call. Its times are durations, because the clocks of hosts differ.
	Report struct {
		Instance string               `cbor:"1,keyasint"`
		Segments []topo.PromptSegment `cbor:"2,keyasint"` // those that no call has cleared, and the last one
		Age      time.Duration        `cbor:"3,keyasint"` // since the engine broke
		Took     time.Duration        `cbor:"4,keyasint"` // from the sending of the call until then
	}

	// Record is a quarantine: calls with all of its segments are rejected while it is active.
	Record struct {
		Segments []uint64 `cbor:"1,keyasint"`           // ids, sorted
		Active   bool     `cbor:"2,keyasint,omitempty"` // false after it has ended
		Version  int      `cbor:"3,keyasint"`           // number of changes; the highest version counts
		// Cleared holds the segments that were served, if the quarantine has ended for that reason.
		Cleared []uint64 `cbor:"4,keyasint,omitempty"`
	}

	// Table holds the evidence and the quarantines of one host; its zero value is empty.
	Table struct {
		// Evidence is kept in two generations, so that the oldest half can be dropped at once.
		recent, old map[uint64]*evidence
		records     map[string]*quarantine
		crashes     []crash  // the newest ones under calls with segments that no call has cleared
		changed     []Record // not yet returned by Changes
	}

	crash struct {
		at, sent time.Time
		instance string
		segments []topo.PromptSegment
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
	t.clear(now, shared(segments))
}

// Broken records that the connection to an engine instance broke before the call with these segments, which had been
// sent at the given time, got an event.
func (t *Table) Broken(now, sent time.Time, instance string, segments []topo.PromptSegment) {
	t.add(now, crash{at: now, sent: sent, instance: instance, segments: segments})
}

// add adds a crash to the evidence, unless it is known already.
func (t *Table) add(now time.Time, c crash) {
	ids := shared(c.segments)
	if len(ids) == 0 || slices.ContainsFunc(t.crashes, c.isSame) {
		return
	}
	if !slices.ContainsFunc(ids, func(id uint64) bool { return !t.of(id).cleared(now) }) {
		return
	}
	t.crashes = append(t.crashes, c)
	if n := len(t.crashes) - maxReports; n > 0 {
		t.crashes = append(t.crashes[:0], t.crashes[n:]...)
	}
	crashes := 0
	var suspects []uint64
	for _, id := range ids {
		e := t.of(id)
		e.add(now, &c)
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
	return t.blocks(shared(segments))
}

func (t *Table) blocks(ids []uint64) bool {
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

// State returns the quarantines, including those that have ended in the last minute, and the latest crashes for other
// hosts. It returns nil if there are none.
func (t *Table) State(now time.Time) *State {
	var out State
	for k, q := range t.records {
		if !q.Active && now.Sub(q.endedAt) > memory {
			delete(t.records, k)
			continue
		}
		out.Records = append(out.Records, q.Record)
	}
	for _, c := range t.crashes {
		age := now.Sub(c.at)
		if suspects := t.suspects(now, c.segments); age < reportTime && len(suspects) > 1 {
			r := Report{Instance: c.instance, Segments: suspects, Age: age, Took: c.at.Sub(c.sent)}
			out.Reports = append(out.Reports, r)
		}
	}
	if len(out.Records) == 0 && len(out.Reports) == 0 {
		return nil
	}
	return &out
}

// Merge applies what another host knows; nil is nothing.
func (t *Table) Merge(now time.Time, s *State) {
	if s == nil {
		return
	}
	for _, r := range s.Reports {
		at := now.Add(-r.Age)
		t.add(now, crash{at: at, sent: at.Add(-r.Took), instance: r.Instance, segments: r.Segments})
	}
	for _, r := range s.Records {
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
		q.Active, q.Version, q.Cleared, q.endedAt = r.Active, r.Version, r.Cleared, now
		q.probeAt, q.probeDelay = now.Add(initialProbeDelay), initialProbeDelay
		t.changed = append(t.changed, q.Record)
		if !q.Active {
			t.clear(now, q.Cleared)
			continue
		}
		t.endWider(now, q.Segments)
		if t.coversOther(q) {
			t.end(now, q)
			continue
		}
		t.narrow(now, q)
	}
}

// Changes returns the quarantines that have begun or ended since the previous call of Changes.
func (t *Table) Changes() []Record {
	out := t.changed
	t.changed = nil
	return out
}

// quarantine blocks calls that have all of these segments, unless calls with fewer of them are blocked already.
func (t *Table) quarantine(now time.Time, ids []uint64) {
	if t.blocks(ids) {
		return
	}
	slices.Sort(ids)
	t.endWider(now, ids)
	q := t.record(ids)
	if q == nil {
		return
	}
	q.Active, q.Cleared = true, nil
	q.Version++
	q.probeAt, q.probeDelay = now.Add(initialProbeDelay), initialProbeDelay
	t.changed = append(t.changed, q.Record)
}

// clear records that segments were served, and narrows the quarantines that contain any of them.
func (t *Table) clear(now time.Time, ids []uint64) {
	for _, id := range ids {
		*t.of(id) = evidence{servedAt: now}
	}
	for _, q := range t.records {
		if q.Active && slices.ContainsFunc(ids, func(id uint64) bool { return slices.Contains(q.Segments, id) }) {
			t.narrow(now, q)
		}
	}
}

// narrow ends a quarantine if any of its segments has been served, and quarantines the others, if there are any.
func (t *Table) narrow(now time.Time, q *quarantine) {
	var cleared, rest []uint64
	for _, id := range q.Segments {
		if e := t.known(id); e != nil && e.cleared(now) {
			cleared = append(cleared, id)
		} else {
			rest = append(rest, id)
		}
	}
	if len(cleared) == 0 {
		return
	}
	q.Cleared = cleared
	t.end(now, q)
	if len(rest) > 0 {
		t.quarantine(now, rest)
	}
}

// endWider ends the quarantines of more segments than these.
func (t *Table) endWider(now time.Time, ids []uint64) {
	for _, q := range t.records {
		if q.Active && len(q.Segments) > len(ids) && containsAll(q.Segments, ids) {
			t.end(now, q)
		}
	}
}

// coversOther reports whether another active quarantine has only segments of this one.
func (t *Table) coversOther(q *quarantine) bool {
	for _, other := range t.records {
		if other != q && other.blocks(q.Segments) {
			return true
		}
	}
	return false
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

// suspects returns the segments that no call has cleared, and the last one.
func (t *Table) suspects(now time.Time, segments []topo.PromptSegment) []topo.PromptSegment {
	out := make([]topo.PromptSegment, 0, len(segments))
	for i, s := range segments {
		e := t.known(s.ID)
		if i == len(segments)-1 || e == nil || !e.cleared(now) {
			out = append(out, s)
		}
	}
	return out
}

// isSame reports whether two crashes are of the same engine instance under the same call.
func (c *crash) isSame(other crash) bool {
	return c.instance == other.instance && c.call() == other.call()
}

// call identifies the call by its last segment, which no other call has.
func (c *crash) call() uint64 { return c.segments[len(c.segments)-1].ID }

// add counts an engine instance that broke under a call with the segment.
func (e *evidence) add(now time.Time, c *crash) {
	if e.cleared(now) {
		return
	}
	if now.Sub(e.brokenAt) > memory {
		*e = evidence{}
	}
	if len(e.calls) < minCalls && !slices.Contains(e.calls, c.call()) {
		e.calls = append(e.calls, c.call())
	}
	commonCause := c.at.Sub(e.brokenAt).Abs() < commonCauseTime && !c.sent.After(e.brokenAt)
	if commonCause || slices.Contains(e.instances, c.instance) || len(e.instances) == maxInstances {
		return
	}
	e.instances = append(e.instances, c.instance)
	if c.at.After(e.brokenAt) {
		e.brokenAt = c.at
	}
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
