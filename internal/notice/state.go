package notice

import (
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// mergeSlack is how much newer a statement of another host must be, because its age does not include the time on
	// the way.
	mergeSlack = 20 * time.Millisecond
	// reportTime is how long other hosts are told that a limit has ended.
	reportTime = time.Minute
)

type (
	// Position counts the changes of a Table. Each connection between hosts has one for each direction.
	Position uint64

	// State is what hosts tell each other. Holds are not part of it, because they bind only the host that got them.
	State struct {
		Records []Record `cbor:"1,keyasint"`
	}

	// Record is what an instance has stated. Its ages are durations, because the clocks of hosts differ.
	Record struct {
		Instance topo.Instance `cbor:"1,keyasint"`
		Limited  bool          `cbor:"2,keyasint,omitempty"`
		Limit    float64       `cbor:"3,keyasint,omitempty"` // calls per second
		LimitAge time.Duration `cbor:"4,keyasint,omitempty"` // since it was stated or taken back; negative if never
		Leaving  bool          `cbor:"5,keyasint,omitempty"`
	}
)

// Changes returns the statements of listed instances that have changed after a position, or nil if there are none, and
// the position for the next call. Position 0 is before the first change. A statement that is only confirmed has not
// changed.
func (t *Table) Changes(now time.Time, after Position) (*State, Position) {
	if t == nil {
		return nil, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	var out State
	for id, e := range t.entries {
		if e.changed <= after || !t.isListed(id) {
			continue
		}
		if r, ok := e.record(now, id); ok {
			out.Records = append(out.Records, r)
		}
	}
	if len(out.Records) == 0 {
		return nil, t.position
	}
	return &out, t.position
}

// StateOf returns the statements of one instance, or nil if there are none.
func (t *Table) StateOf(now time.Time, id topo.Instance) *State {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return nil
	}
	r, ok := e.record(now, id)
	if !ok {
		return nil
	}
	return &State{Records: []Record{r}}
}

func (e *entry) record(now time.Time, id topo.Instance) (Record, bool) {
	r := Record{Instance: id, Limited: e.limited, Limit: e.limit, LimitAge: -1, Leaving: e.leaving}
	if !e.limitAt.IsZero() {
		r.LimitAge = max(now.Sub(e.limitAt), 0)
	}
	return r, e.leaving || e.limited || r.LimitAge >= 0 && r.LimitAge < reportTime
}

// Merge applies what another host knows; nil is nothing.
func (t *Table) Merge(now time.Time, s *State, via string) {
	if t == nil || s == nil {
		return
	}
	for i := range s.Records {
		t.merge(now, &s.Records[i], via)
	}
}

func (t *Table) merge(now time.Time, r *Record, via string) {
	t.mu.Lock()
	e := t.entries[r.Instance]
	if e == nil {
		if !r.Limited && !r.Leaving {
			t.mu.Unlock()
			return
		}
		if e = t.add(now, r.Instance); e == nil {
			t.mu.Unlock()
			return
		}
	}
	var changes []Change
	differs := r.Limited != e.limited || r.Limited && max(r.Limit, minLimit) != e.limit
	switch at := now.Add(-r.LimitAge); {
	case r.LimitAge < 0:
	case at.After(e.limitAt.Add(mergeSlack)):
		switch {
		case r.Limited:
			changes = e.setLimit(now, r.Limit, changes)
		case e.limited:
			e.limited = false
			changes = append(changes, Change{Kind: Limit})
		}
		e.limitAt = at
	case differs:
		// The sender has an older statement, so it needs this one, which may not have changed since it was sent.
		t.mark(e)
	}
	if r.Leaving && !e.leaving {
		e.leaving = true
		changes = append(changes, Change{Kind: Leaving, Active: true})
	}
	t.finish(now, r.Instance, e, changes, via)
}
