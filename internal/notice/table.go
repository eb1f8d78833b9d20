package notice

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// minLimit is the lowest rate that a limit allows, in calls per second. Calls at this rate show whether the limit
	// still holds.
	minLimit = 0.1
	// minWindow bounds how long a call that a limit allows may be saved up: the time of one call at the limit, and at
	// least this long.
	minWindow = time.Second
	// maxDebt bounds how long a limited upstream gets no calls because it has got too many.
	maxDebt = 4 * time.Second
	// trialInterval is the time between two calls to an upstream after its hold has ended, until one has been answered.
	// Further holds in a row delay the first of these calls, by half of trialInterval at first and up to maxTrialDelay,
	// because each such call is refused in vain.
	trialInterval = 500 * time.Millisecond
	maxTrialDelay = 2 * time.Second
	// retention is how long statements of an instance that is not listed are kept. It is longer than an entry of a live
	// upstream may be missing.
	retention = 10 * time.Minute
	// maxInstances bounds the number of instances with statements.
	maxInstances = 4096
	// logInterval is the shortest time between two changes of one kind that Changed reports for one instance.
	logInterval = time.Second
)

// Kinds of statements.
const (
	Limit   Kind = "limit"
	Leaving Kind = "leaving"
	Hold    Kind = "hold"
)

type (
	// Kind is the kind of a statement.
	Kind string

	// Table holds the statements of upstreams; its zero value is empty, and a nil Table has none. It is safe for
	// concurrent use.
	Table struct {
		// Changed is called after a statement has begun or ended, and after a limit has changed; nil does nothing.
		Changed func(Change)
		// Malformed is called for statements that cannot be read; nil does nothing.
		Malformed func(topo.Instance, error)

		mu       sync.Mutex
		entries  map[topo.Instance]*entry
		listed   map[topo.Instance]bool // nil before the first call of SetListed
		position Position
	}

	// Change is a statement that has begun, ended or changed.
	Change struct {
		Instance topo.Instance
		Kind     Kind
		Active   bool
		Limit    float64       // calls per second, of a limit
		Hold     time.Duration // of a hold
		Via      string        // host that has sent the statement, or empty if this host got it from the upstream
		// Frequent is set if the last change of this kind was reported a moment ago, or if only the value has changed.
		Frequent bool
	}

	entry struct {
		limited   bool
		limit     float64
		limitAt   time.Time // when the limit was last stated or taken back
		leaving   bool
		holdUntil time.Time
		trial     bool          // no call has been answered since the hold
		holds     int           // holds after calls that were sent as trials
		nextTrial time.Time     // earliest time of the next call while trial is set
		next      time.Time     // earliest time of the next call that the limit allows; zero if none was computed
		spacing   time.Duration // period for which next was computed
		changed   Position      // of the last change that other hosts are told
		neededAt  time.Time     // when the instance was last listed, or has last sent a response
		logged    map[Kind]time.Time
	}
)

// Apply records what a response states, to a call sent at the given time. A statement that a response leaves out ends
// only if the call was sent after the statement, because responses may overtake each other. The time is zero for a
// response to something else than a call, such as a status report: it ends no statement.
func (t *Table) Apply(now, sent time.Time, id topo.Instance, n topo.Notice) {
	if t == nil {
		return
	}
	if n.Malformed != nil && t.Malformed != nil {
		t.Malformed(id, n.Malformed)
	}
	t.mu.Lock()
	e := t.entries[id]
	if e == nil {
		if !n.Limited && !n.Leaving && n.Hold == 0 {
			t.mu.Unlock()
			return
		}
		if e = t.add(now, id); e == nil {
			t.mu.Unlock()
			return
		}
	}
	e.neededAt = now
	var changes []Change
	switch {
	case n.Limited:
		changes = e.setLimit(now, n.Limit, changes)
		e.limitAt = now
	case e.limited && !n.Partial && sent.After(e.limitAt):
		e.limited, e.limitAt = false, now
		changes = append(changes, Change{Kind: Limit})
	}
	if n.Leaving && !e.leaving {
		e.leaving = true
		changes = append(changes, Change{Kind: Leaving, Active: true})
	}
	switch {
	case n.Hold > 0:
		if !e.trial {
			changes = append(changes, Change{Kind: Hold, Active: true, Hold: n.Hold})
		}
		e.hold(now, sent, n.Hold)
	case e.trial && sent.After(e.holdUntil):
		e.trial, e.holds = false, 0
		changes = append(changes, Change{Kind: Hold})
	}
	t.finish(now, id, e, changes, "")
}

// hold starts or extends a hold. One that follows a trial delays the next trial.
func (e *entry) hold(now, sent time.Time, d time.Duration) {
	if e.trial && sent.After(e.holdUntil) {
		e.holds++
	}
	if until := now.Add(d); until.After(e.holdUntil) {
		e.holdUntil = until
	}
	e.trial, e.nextTrial = true, e.holdUntil
	if e.holds > 0 {
		e.nextTrial = e.nextTrial.Add(min(trialInterval<<min(e.holds, 8)/4, maxTrialDelay))
	}
}

// setLimit sets the limit, and reports whether it has begun or changed.
func (e *entry) setLimit(now time.Time, limit float64, changes []Change) []Change {
	limit = max(limit, minLimit)
	c := Change{Kind: Limit, Active: true, Limit: limit, Frequent: e.limited}
	changed := !e.limited || limit != e.limit
	if !e.limited {
		e.next = time.Time{}
	}
	e.limited, e.limit = true, limit
	if changed {
		changes = append(changes, c)
	}
	return changes
}

// finish reports the changes of an entry and unlocks the table.
func (t *Table) finish(now time.Time, id topo.Instance, e *entry, changes []Change, via string) {
	for i := range changes {
		c := &changes[i]
		c.Instance, c.Via = id, via
		if c.Kind != Hold {
			t.mark(e)
		}
		if e.logged == nil {
			e.logged = make(map[Kind]time.Time)
		}
		c.Frequent = c.Frequent || now.Sub(e.logged[c.Kind]) < logInterval
		if !c.Frequent {
			e.logged[c.Kind] = now
		}
	}
	changed := t.Changed
	t.mu.Unlock()
	if changed == nil {
		return
	}
	for _, c := range changes {
		changed(c)
	}
}

// mark makes the entry one that other hosts have not been told of. The caller holds t.mu.
func (t *Table) mark(e *entry) {
	t.position++
	e.changed = t.position
}

// add adds an entry, or returns nil if there are too many that are still needed.
func (t *Table) add(now time.Time, id topo.Instance) *entry {
	if t.entries == nil {
		t.entries = make(map[topo.Instance]*entry)
	}
	if len(t.entries) >= maxInstances {
		t.prune(now)
	}
	if len(t.entries) >= maxInstances {
		return nil
	}
	e := &entry{neededAt: now}
	t.entries[id] = e
	return e
}

// SetListed tells the table which instances there are. Statements last for as long as their instance is listed and for
// a while after that, in which other hosts are not told of them: hosts would send each other the statements of ended
// instances for ever.
func (t *Table) SetListed(now time.Time, list []*topo.Upstream) {
	listed := make(map[topo.Instance]bool, len(list))
	for _, u := range list {
		listed[u.Instance()] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for id, e := range t.entries {
		if listed[id] && !t.isListed(id) {
			t.mark(e)
		}
	}
	t.listed = listed
}

// isListed reports whether the instance is listed, as far as that is known. The caller holds t.mu.
func (t *Table) isListed(id topo.Instance) bool { return t.listed == nil || t.listed[id] }

// prune forgets the entries of instances that have not been listed for a while.
func (t *Table) prune(now time.Time) {
	for id, e := range t.entries {
		switch {
		case t.listed[id]:
			e.neededAt = now
		case now.Sub(e.neededAt) > retention:
			delete(t.entries, id)
		}
	}
}

// IsLeaving reports whether the instance has stated that it is leaving.
func (t *Table) IsLeaving(id topo.Instance) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	return e != nil && e.leaving
}

// HoldWait returns how long this host must send no calls to the instance.
func (t *Table) HoldWait(now time.Time, id topo.Instance) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[id].holdWait(now)
}

func (e *entry) holdWait(now time.Time) time.Duration {
	if e == nil || !e.trial {
		return 0
	}
	return max(e.nextTrial.Sub(now), 0)
}

// Holds returns how long this host must send no calls to each instance that has asked for it.
func (t *Table) Holds(now time.Time) map[topo.Instance]time.Duration {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[topo.Instance]time.Duration
	for id, e := range t.entries {
		if wait := e.holdWait(now); wait > 0 {
			if out == nil {
				out = make(map[topo.Instance]time.Duration)
			}
			out[id] = wait
		}
	}
	return out
}

// Admit reports whether this host may send a call to the instance now, limits aside, and counts the call as a trial if
// a hold has just ended.
func (t *Table) Admit(now time.Time, id topo.Instance) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	switch {
	case e == nil:
		return true
	case e.leaving || e.holdWait(now) > 0:
		return false
	}
	if e.trial {
		e.nextTrial = now.Add(trialInterval)
	}
	return true
}

// LimitOf returns the limit that the instance states, in calls per second, and false if it states none.
func (t *Table) LimitOf(id topo.Instance) (float64, bool) {
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || !e.limited {
		return 0, false
	}
	return e.limit, true
}

// LimitWait returns how long the limit of the instance, of which this host may use the given share, allows no further
// call.
func (t *Table) LimitWait(now time.Time, id topo.Instance, share float64) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || !e.limited {
		return 0
	}
	e.advance(now, share)
	return max(e.next.Sub(now), 0)
}

// Take counts a call to the instance against its limit.
func (t *Table) Take(now time.Time, id topo.Instance, share float64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || !e.limited {
		return
	}
	e.advance(now, share)
	e.next = e.next.Add(e.period(share))
	if latest := now.Add(max(maxDebt, e.period(share))); e.next.After(latest) {
		e.next = latest
	}
}

// advance drops the calls that were allowed too long ago. The first one is allowed at a random time, so that hosts that
// learn of the limit together do not all send a call at once. When the limit or the share changes, the number of calls
// saved up or sent too early stays the same.
func (e *entry) advance(now time.Time, share float64) {
	period := e.period(share)
	if e.next.IsZero() {
		e.next, e.spacing = now.Add(time.Duration(rand.Float64()*float64(period))), period
		return
	}
	if period != e.spacing {
		calls := float64(e.next.Sub(now)) / float64(e.spacing)
		e.next, e.spacing = now.Add(time.Duration(calls*float64(period))), period
	}
	window := max(minWindow, e.period(1))
	if late := now.Sub(e.next) - window; late > 0 {
		n := math.Ceil(float64(late) / float64(period))
		e.next = e.next.Add(time.Duration(n * float64(period)))
	}
}

// period returns the time between two calls.
func (e *entry) period(share float64) time.Duration {
	return time.Duration(float64(time.Second) / (e.limit * share))
}
