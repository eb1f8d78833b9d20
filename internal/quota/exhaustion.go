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
	if l.Count != nil {
		l.Count("over_quota/" + e.label(workspace))
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

// change logs that a workspace has become exhausted, or that this has ended.
func (l *Limiter) change(workspace string, exhausted bool, sp *spell) {
	line := l.Log.Info().Str("workspace", workspace).Bool("leads", l.leader != nil).
		Bool("alone", l.leader == nil && !l.part.since.IsZero()).Float64("rate", l.quotas[workspace].Rate)
	if exhausted {
		line.Msg("quota exhausted")
		return
	}
	line.Int("refused", sp.refused).Dur("took_ms", sp.last.Sub(sp.since)).Msg("quota not exhausted any more")
}

// Gauges returns the metrics of the limiter by name.
func (l *Limiter) Gauges() map[string]func() int64 {
	return map[string]func() int64{
		"quotas_exhausted":     func() int64 { return int64(len(l.exhaustion.spells)) },
		"quota_share_permille": func() int64 { return int64(1000 * l.Share()) },
	}
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
