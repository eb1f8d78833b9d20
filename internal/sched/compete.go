package sched

import (
	"time"

	"github.com/figreel/figreel/internal/fair"
)

// maxQueue is the number of queued calls beyond which calls are rejected, the ones of the workspace furthest above its
// share first. It bounds the time of a step.
const maxQueue = 1000

type fairQueue = fair.Queue[*pending, modelKey, *engine]

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
		t.Item.position, t.Item.ahead = t.Position, t.Ahead
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
				return s.reject(p, ReasonQueueShare, s.workTime(p, len(s.holders(p.modelKey()))))
			} else if over != nil {
				over.excess = true
			}
		}
	}
	s.waiting = append(s.waiting, p)
	s.queued[p.modelKey()] += p.prefill
	return dec
}

// compete decides on a call that has to wait for engines because other workspaces want them too. The call waits in the
// fair order while its model's engines are full, and is rejected if it cannot be served in time after the calls that
// go before it. Calls without a workspace may still be sent to full engines.
func (s *Scheduler) compete(now time.Time, p *pending, best *candidate, replicas int) (Decision, bool) {
	if best == nil || best.delay > 0 {
		return Decision{}, false
	}
	arriving := now.Equal(p.arrived)
	if arriving {
		t := s.fair.Ahead(now, p, func(q *pending) bool { return q.compare(now, p) <= 0 })
		p.position, p.ahead = t.Position, t.Ahead
	}
	held := p.Workspace != "" &&
		(best.full && len(best.engine.tickets) > 0 || arriving && s.fair.Contested(best.engine))
	if !held && (!arriving || !best.waitForDecode) {
		return Decision{}, false
	}
	wait := s.workTime(p, replicas)
	if now.Sub(p.arrived)+best.ttft+wait > p.maxQueueTime(p.deadline.Sub(p.arrived)) {
		reason := ReasonOverload
		if s.fair.Above(p) {
			reason = ReasonQueueShare
		}
		return s.reject(p, reason, wait), true
	}
	return Decision{Kind: Waiting, Call: p.Call}, held
}

// workTime returns the time in which the replicas do the work that goes before the call.
func (s *Scheduler) workTime(p *pending, replicas int) time.Duration {
	return time.Duration(p.ahead/float64(max(replicas, 1))) * s.tokenCost(p.Spec.Model)
}

// charge adds the work of a granted call to what its workspace got from the engine.
func (s *Scheduler) charge(now time.Time, t *ticket) {
	if s.competes() {
		s.fair.Charge(now, t.request.Workspace, t.engine, fair.Work(t.prefillTokens, t.request.Spec.OutputTokens))
	}
}
