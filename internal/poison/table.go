package poison

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// minCrashes and minCalls are how many engines must have broken, under how many different calls with a segment.
	minCrashes = 3
	minCalls   = 2
	// commonCauseTime is the time within which engines that break count as one, because an outage breaks many at once.
	// An engine that got its call after the one before had broken counts by itself.
	commonCauseTime = 100 * time.Millisecond
	// retention is how long a served call clears its segments, and how long a crash counts.
	retention = time.Minute
	// maxSegments bounds how many segments are remembered, and maxInstances how many engines for each of them.
	maxSegments  = 4096
	maxInstances = 16
	// maxRecords bounds how many quarantines are kept, including those that have ended.
	maxRecords = 64
	// maxReports bounds how many crashes a host tells others of, and reportTime how old these may be.
	maxReports = 32
	reportTime = 10 * time.Second
	// initialProbeDelay is the time after which one call tests a quarantine; it doubles with each test, up to
	// maxProbeDelay.
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 10 * time.Minute
)

type (
	// Record is a quarantine: calls with all of its segments are rejected while it is active. A request counts as a
	// segment.
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
		served      servedRequests
		records     map[string]*quarantine
		crashes     []crash  // the newest ones under calls with segments that no call has cleared
		changed     []Record // not yet returned by Changes
	}

	// quarantine is a Record and what only this host needs of it.
	quarantine struct {
		Record
		endedAt    time.Time // when it ended, if it is not active
		probeAt    time.Time
		probeDelay time.Duration
	}
)

// Served records that a call was served completely, which clears its segments and its request.
func (t *Table) Served(now time.Time, call *topo.CallSpec) {
	ids := shared(call.Segments)
	if call.Request != 0 {
		t.served.add(now, call.Request)
	}
	if t.isSuspect(call.Request) {
		ids = append(ids, call.Request)
	}
	t.clear(now, ids)
}

// Broken records that the connection to an upstream instance broke before a call, which had been sent at the given
// time, got an event.
func (t *Table) Broken(now, sent time.Time, instance string, call *topo.CallSpec) {
	t.add(now, crash{at: now, sent: sent, instance: instance, segments: call.Segments, request: call.Request})
}

// isSuspect reports whether there is evidence against a request or it is part of a quarantine.
func (t *Table) isSuspect(request uint64) bool {
	if request == 0 {
		return false
	}
	if t.known(request) != nil {
		return true
	}
	for _, q := range t.records {
		if q.Active && slices.Contains(q.Segments, request) {
			return true
		}
	}
	return false
}

// add adds a crash to the evidence, unless it is known already.
func (t *Table) add(now time.Time, c crash) {
	ids := c.suspects()
	if len(ids) == 0 || slices.ContainsFunc(t.crashes, c.isSame) {
		return
	}
	t.recallServed(c.request)
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
		// A request is the same call each time, so different calls are needed only for segments.
		proven := len(e.instances) >= minCrashes && (len(e.calls) >= minCalls || id == c.request)
		if !proven || len(e.instances) < crashes {
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

// Blocks reports whether a call must not be sent to an upstream.
func (t *Table) Blocks(call *topo.CallSpec) bool {
	if len(t.records) == 0 {
		return false
	}
	return t.blocks(parts(call))
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
func (t *Table) Probe(now time.Time, call *topo.CallSpec) bool {
	ids := parts(call)
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
		t.recallServed(id)
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

// end ends a quarantine.
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

func (q *quarantine) blocks(ids []uint64) bool { return q.Active && containsAll(ids, q.Segments) }

// containsAll reports whether all ids are in the list.
func containsAll(list, ids []uint64) bool {
	for _, id := range ids {
		if !slices.Contains(list, id) {
			return false
		}
	}
	return true
}

// key returns the key of a quarantine in Table.records.
func key(ids []uint64) string {
	b := make([]byte, 0, 8*len(ids))
	for _, id := range ids {
		b = binary.BigEndian.AppendUint64(b, id)
	}
	return string(b)
}
