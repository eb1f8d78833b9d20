package quota

import "time"

const (
	// exhaustionEnd is the time without a refusal after which a workspace is not exhausted any more.
	exhaustionEnd = 2 * time.Second
	// maxLabels is the maximum number of workspaces with a label of their own.
	maxLabels = 64
	// otherLabel is the label of all other workspaces.
	otherLabel = "other"
)

type (
	// Change says that a workspace has become exhausted at a host, or that this has ended.
	Change struct {
		Workspace string
		Exhausted bool
		Leads     bool // the host decides as the leader
		Alone     bool // the host decides without a leader
		Rate      float64
		Refused   int           // calls refused until the end
		Took      time.Duration // from the first refusal to the last
	}

	// exhaustion keeps which workspaces have been refused calls.
	exhaustion struct {
		spells map[string]*spell
		labels map[string]bool
	}

	spell struct {
		since, last time.Time
		refused     int
	}
)

// refuse records a refused call.
func (l *Limiter) refuse(now time.Time, workspace string) {
	e := &l.exhaustion
	if e.spells == nil {
		e.spells, e.labels = make(map[string]*spell), make(map[string]bool)
	}
	sp := e.spells[workspace]
	if sp == nil {
		sp = &spell{since: now}
		e.spells[workspace] = sp
		l.change(workspace, true, sp)
	}
	sp.last = now
	sp.refused++
	if l.Refused != nil {
		l.Refused(e.label(workspace))
	}
}

// EndSpells records which workspaces are not exhausted any more.
func (l *Limiter) EndSpells(now time.Time) {
	for workspace, sp := range l.exhaustion.spells {
		if now.Sub(sp.last) >= exhaustionEnd {
			delete(l.exhaustion.spells, workspace)
			l.change(workspace, false, sp)
		}
	}
}

// Exhausted returns the number of workspaces that are exhausted at this host.
func (l *Limiter) Exhausted() int { return len(l.exhaustion.spells) }

func (l *Limiter) change(workspace string, exhausted bool, sp *spell) {
	if l.Changed == nil {
		return
	}
	l.Changed(Change{
		Workspace: workspace, Exhausted: exhausted, Leads: l.leader != nil,
		Alone: l.leader == nil && !l.part.since.IsZero(), Rate: l.quotas[workspace].Rate,
		Refused: sp.refused, Took: sp.last.Sub(sp.since),
	})
}

// label returns the label of a workspace for metrics.
func (e *exhaustion) label(workspace string) string {
	if e.labels[workspace] {
		return workspace
	}
	if len(e.labels) >= maxLabels {
		return otherLabel
	}
	e.labels[workspace] = true
	return workspace
}
