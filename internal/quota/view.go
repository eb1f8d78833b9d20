package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/topo"
)

const (
	// reportInterval is the least time between two reports of charges, slowReportInterval that between two reports of
	// charges that are not urgent.
	reportInterval     = 250 * time.Millisecond
	slowReportInterval = 2 * time.Second
)

// view is what a follower knows of the leader's accounts, with its charges that the leader does not know of yet.
type view struct {
	standings map[string]*told
	credits   map[string]*bucket // what may be used of accounts that are scarce or unknown
	pending   map[string]float64 // charges that are not reported
	sent      []batch            // reports that the leader has not acknowledged
	sequence  uint64
	sentAt    time.Time // of the last report of charges
	sentAllAt time.Time // of the last report of all charges
	stamp     int64     // newest stamp of the leader
	echoed    int64     // newest stamp that was echoed
}

// told is the state of an account as the leader has last told it.
type told struct {
	until  time.Time // until when the account has no room
	scarce bool
}

type batch struct {
	sequence uint64
	units    map[string]float64
}

func newView() view {
	return view{
		standings: make(map[string]*told), credits: make(map[string]*bucket), pending: make(map[string]float64),
	}
}

// outstanding returns the charges of a workspace that the leader does not know of.
func (v *view) outstanding(name string) float64 {
	n := v.pending[name]
	for _, b := range v.sent {
		n += b.units[name]
	}
	return n
}

// requeue makes all unacknowledged charges be reported again, after a connection was lost.
func (v *view) requeue() {
	for _, b := range v.sent {
		for name, units := range b.units {
			v.pending[name] += units
		}
	}
	v.sent = nil
}

// apply applies a message of the leader.
func (v *view) apply(now time.Time, m *Message) {
	v.stamp = max(v.stamp, m.Stamp)
	v.sent = slices.DeleteFunc(v.sent, func(b batch) bool {
		if b.sequence > m.Sequence {
			return false
		}
		for name, units := range b.units {
			if c := v.credits[name]; c != nil {
				c.level += units
			}
		}
		return true
	})
	for _, s := range m.Standings {
		t := &told{scarce: s.Scarce}
		if s.WaitMS > 0 {
			t.until = now.Add(time.Duration(s.WaitMS) * time.Millisecond)
		}
		v.standings[s.Workspace] = t
	}
}

// report returns the next message to the leader, or nil if there is nothing to say yet.
func (v *view) report(now time.Time, mayEcho bool, urgent func(workspace string) bool) *Message {
	m := &Message{}
	if mayEcho && v.stamp > v.echoed {
		m.Stamp, v.echoed = v.stamp, v.stamp
	}
	units := make(map[string]float64)
	if now.Sub(v.sentAt) >= reportInterval {
		all := now.Sub(v.sentAllAt) >= slowReportInterval
		for name, n := range v.pending {
			if all || urgent(name) {
				units[name] = n
			}
		}
		if all {
			v.sentAllAt = now
		}
	}
	if len(units) > 0 {
		v.sequence++
		m.Sequence, v.sentAt = v.sequence, now
		for _, name := range slices.Sorted(maps.Keys(units)) {
			m.Charges = append(m.Charges, Usage{Workspace: name, Units: int64(math.Ceil(units[name]))})
			delete(v.pending, name)
		}
		v.sent = append(v.sent, batch{sequence: v.sequence, units: units})
	}
	if m.Stamp == 0 && m.Sequence == 0 {
		return nil
	}
	return m
}

// charge decides on a plain call. Where the account is scarce or its state is unknown, the charges of all hosts that
// the leader does not know of must stay within a share of the room. So each host has an equal part of that as its
// credit, which comes back when the leader acknowledges the charges. What is never acknowledged, because the leader or
// this host ended, comes back within a window, and a new process starts without credit.
func (v *view) charge(now, started time.Time, b *Bounds, name string, q *topo.Quota, cost, hosts float64) (
	time.Duration, bool,
) {
	t, c := v.standings[name], v.credits[name]
	if c == nil {
		c = &bucket{at: started}
		v.credits[name] = c
	}
	capacity := plainRoom * b.room(q) / hosts
	c.refill(now, capacity/b.window().Seconds(), capacity)
	switch {
	case t != nil && t.until.After(now):
		return t.until.Sub(now), false
	case t != nil && !t.scarce:
		if outstanding := v.outstanding(name); outstanding+cost > plentyLimit(b, q) {
			return reportInterval, false
		}
	case c.level < min(cost, capacity):
		v.pending[name] += 0 // asks for the state of the account
		return reportInterval, false
	}
	c.level -= cost
	v.pending[name] += cost
	return 0, true
}

// plentyLimit returns how much of an account that is not scarce a host may use without an acknowledgement.
func plentyLimit(b *Bounds, q *topo.Quota) float64 {
	return plentyShare * (scarceBurst*q.Burst + plainRoom*b.room(q))
}

// urgent reports whether charges are to be reported soon. Others may wait: those of all hosts together are within what
// is left of the account, and those of this host are far below their limit.
func (v *view) urgent(b *Bounds, name string, q *topo.Quota, hosts float64) bool {
	t := v.standings[name]
	few := min(scarceBurst*q.Burst/hosts, smallReport*plentyLimit(b, q))
	return t == nil || t.scarce || v.pending[name] > few
}
