package sched

import (
	"time"

	"github.com/figreel/figreel/internal/fair"
)

const (
	// maxQueue is the number of queued calls beyond which calls are rejected, the ones of the workspace furthest above
	// its share first. It bounds the time of a step.
	maxQueue = 1000
	// minSaturation is how long the engines of a model have to be full before the work that they took is used as a
	// measurement; after maxSaturation the earlier half loses its weight.
	minSaturation = 200 * time.Millisecond
	maxSaturation = 2 * time.Second
	// arrivalShare is the share of its limit that a call may be expected to wait when it arrives. The rest is for calls
	// of other workspaces that arrive later and go before it.
	arrivalShare = 0.9
	// saturationGap is the time without full engines that ends a saturation.
	saturationGap = 100 * time.Millisecond
)

type (
	fairQueue = fair.Queue[*pending, modelKey, *engine]

	// saturation measures what the full engines of a model take.
	saturation struct {
		since, last time.Time          // when the engines were found full
		work        float64            // in tokens, since then
		parts       map[string]float64 // of the workspaces
	}
)

// competes reports whether workspaces compete for the engines. With one workspace or none the present order is kept,
// and calls may wait in the queues of engines, because there is nobody whom that delays.
func (s *Scheduler) competes() bool { return s.config != nil && len(s.config.Workspaces) > 1 }

// BackloggedWorkspaces returns the number of workspaces with queued calls. Calls without one count as one workspace.
func (s *Scheduler) BackloggedWorkspaces() int { return s.fair.Backlogged() }

// describe returns the call's part in the competition. A workspace without a priority is as urgent as those with the
// most urgent one, as the priority that engines get says.
func (p *pending) describe() fair.Call[modelKey] {
	c := fair.Call[modelKey]{
		Workspace: p.Workspace, Pool: p.modelKey(), Work: fair.Work(p.Spec.UnsharedTokens(), p.Spec.OutputTokens),
	}
	if p.HasWorkspacePriority {
		c.Priority = p.WorkspacePriority
	}
	return c
}

// fairOrder returns the queued calls, which are in the present order, in the order in which they are decided.
func (s *Scheduler) fairOrder(now time.Time) []*pending {
	if !s.competes() {
		return s.waiting
	}
	out := make([]*pending, 0, len(s.waiting))
	for _, t := range s.fair.Order(now, s.waiting) {
		t.Item.position, t.Item.ahead, t.Item.own = t.Position, t.Ahead, t.Own
		out = append(out, t.Item)
	}
	return out
}

// enqueue queues a call. If the queue is too long, it rejects this call at once, or another one in the next step.
func (s *Scheduler) enqueue(now time.Time, p *pending, dec Decision) Decision {
	if s.competes() {
		s.fair.Add(now, p)
		if len(s.waiting) >= maxQueue {
			if over, _ := s.fair.Excess(); over == p {
				s.fair.Remove(p)
				return s.reject(p, ReasonQueueShare, s.timeAhead(now, p))
			} else if over != nil {
				over.excess = true
				s.fair.Remove(over)
			}
		}
	}
	p.queued = true
	s.waiting = append(s.waiting, p)
	s.queued[p.modelKey()] += p.prefill
	return dec
}

// compete decides on a call that has to wait for engines because other workspaces want them too. The call waits in the
// fair order while its model's engines are full, and is rejected if it cannot be served in time after the calls that
// go before it. Calls without a workspace may still be sent to full engines.
func (s *Scheduler) compete(now time.Time, p *pending, best *candidate, speeds float64) (Decision, bool) {
	if best == nil || best.delay > 0 {
		return Decision{}, false
	}
	arriving := !p.queued
	if best.full {
		s.saturate(now, p.modelKey())
	}
	if arriving {
		t := s.fair.Ahead(now, p, func(q *pending) bool { return q.compare(now, p) <= 0 })
		p.position, p.ahead, p.own = t.Position, t.Ahead, t.Own
	}
	held := p.Workspace != "" &&
		(best.full && len(best.engine.tickets) > 0 || arriving && s.fair.Contested(best.engine))
	if !held && (!arriving || !best.waitForDecode) {
		return Decision{}, false
	}
	wait := s.timeAhead(now, p)
	if !best.full {
		// Engines with room are held up by prefill only.
		wait = min(wait, s.queuedPrefill(p, speeds))
	}
	limit := p.maxQueueTime(p.deadline.Sub(p.arrived))
	if arriving && best.full && p.minTTFT <= p.TargetLatency {
		// A call that misses its target goes last, so it is not served in time if it is not served by then.
		limit = min(limit, p.TargetLatency)
	}
	if arriving {
		limit = scale(arrivalShare, limit)
	}
	if now.Sub(p.arrived)+best.ttft+wait > limit {
		reason := ReasonOverload
		if s.fair.Above(p) {
			reason = ReasonQueueShare
		}
		return s.reject(p, reason, wait), true
	}
	return Decision{Kind: Waiting, Call: p.Call}, held
}

// saturate records that the engines of a model are full.
func (s *Scheduler) saturate(now time.Time, k modelKey) {
	m := s.saturated[k]
	if m == nil || now.Sub(m.last) > saturationGap {
		m = &saturation{since: now, parts: make(map[string]float64)}
		s.saturated[k] = m
	}
	if age := now.Sub(m.since); age > maxSaturation {
		m.since = now.Add(-age / 2)
		m.work /= 2
		for name := range m.parts {
			m.parts[name] /= 2
		}
	}
	m.last = now
}

// timeAhead returns the time that the work before the call in the fair order takes: at the rate at which the model's
// engines took work while they were full, or else at the prefill time of as many tokens. Calls of others that arrive
// later may go before the call, so the work of its own workspace is not done faster than at the rate of the workspace
// that got the most.
func (s *Scheduler) timeAhead(now time.Time, p *pending) time.Duration {
	if m := s.saturated[p.modelKey()]; m != nil && now.Sub(m.last) <= saturationGap {
		if age := now.Sub(m.since); age >= minSaturation {
			own := p.describe().Work
			most := 0.0
			for _, part := range m.parts {
				most = max(most, part)
			}
			return scale(max(p.ahead/(m.work+own), p.own/(most+own)), age)
		}
	}
	replicas := max(len(s.holders(p.modelKey())), 1)
	return scale(p.ahead/float64(replicas), p.tokenCost)
}

// charge adds the work of a granted call to what its workspace got from the engine.
func (s *Scheduler) charge(now time.Time, t *ticket) {
	if !s.competes() {
		return
	}
	work := fair.Work(t.prefillTokens, t.request.Spec.OutputTokens)
	s.fair.Charge(now, t.request.Workspace, t.engine, work)
	if m := s.saturated[t.request.modelKey()]; m != nil {
		m.work += work
		m.parts[t.request.Workspace] += work
	}
}
