package poison

import (
	"time"

	"github.com/figreel/figreel/internal/topo"
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
		Request  uint64               `cbor:"5,keyasint,omitempty"`
	}
)

// State returns the quarantines, including those that have ended in the last minute, and the latest crashes for other
// hosts. It returns nil if there are none.
func (t *Table) State(now time.Time) *State {
	var out State
	for k, q := range t.records {
		if !q.Active && now.Sub(q.endedAt) > retention {
			delete(t.records, k)
			continue
		}
		out.Records = append(out.Records, q.Record)
	}
	for _, c := range t.crashes {
		age := now.Sub(c.at)
		r := Report{Instance: c.instance, Segments: t.suspects(now, c.segments), Age: age, Took: c.at.Sub(c.sent)}
		if e := t.known(c.request); e == nil || !e.cleared(now) {
			r.Request = c.request
		}
		if age < reportTime && (len(r.Segments) > 1 || r.Request != 0) {
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
		t.add(now, crash{at: at, sent: at.Add(-r.Took), instance: r.Instance, segments: r.Segments, request: r.Request})
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
