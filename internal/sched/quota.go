package sched

import (
	"time"

	"github.com/figreel/figreel/internal/quota"
)

// chargeQuota charges a call to the quota of its workspace, unless an earlier attempt or another decision on the same
// attempt has been charged. If the quota does not allow the call yet, the decision rejects it.
func (s *Scheduler) chargeQuota(now time.Time, q *Request) (quota.Receipt, Decision, bool) {
	if len(q.Tried) > 0 || q.Charged || !s.Quota.Limits(q.Workspace) {
		return quota.Receipt{}, Decision{}, true
	}
	receipt, wait, ok := s.Quota.Charge(now, q.Workspace, q.Cost)
	if ok {
		return receipt, Decision{}, true
	}
	return quota.Receipt{}, Decision{Kind: Rejected, Call: q.Call, Reason: ReasonOverQuota, RetryAfter: wait}, false
}
