package entry

import (
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// initialBackoff and maxBackoff limit the backoff of an upstream after consecutive failures.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// domainBias is added to the score of upstreams outside the host's own failure domain. Scores are in calls in
	// flight.
	domainBias = 0.5
	// failureWeight is the weight of the newest outcome in an upstream's failure rate, an exponential moving average.
	failureWeight = 0.25
	// failurePenalty is added to the score for a failure rate of 1. An upstream in backoff gets twice as much and a
	// leaving one four times as much.
	failurePenalty = 6.0
	// busyPenalty is added to the score for a stated load that takes all slots, and for each time as slow as usual;
	// maxLoadPenalty bounds the sum. A stated load counts by its age with the time constant loadTimeConstant, because
	// it changes many times a second.
	busyPenalty      = 1.0
	maxLoadPenalty   = 3.0
	loadTimeConstant = 250 * time.Millisecond
	// waitPenalty is added to the score for each second that the limit of an upstream delays a call.
	waitPenalty = 10.0
	// waitShare is the share of the time left until its deadline that a call may wait for the limit of an upstream.
	// maxLateness bounds the wait as a multiple of the target latency, so that calls do not delay others that can still
	// meet their targets.
	waitShare   = 0.7
	maxLateness = 1.6
)

type (
	// Balancer chooses upstreams of plain services by the load and the outcomes of this host's own calls.
	Balancer struct {
		Domain    string
		Upstreams func(service string) []*topo.Upstream
		// Notices holds what upstreams state about the calls that they take; nil holds nothing.
		Notices *notice.Table
		// LimitShare returns the share of the upstreams' limits that the calls of this host may use.
		LimitShare func() float64

		mu    sync.Mutex
		state map[string]*upstreamState
	}

	upstreamState struct {
		inFlight            int
		consecutiveFailures int
		failureRate         float64 // moving average, 0 to 1
		backoffUntil        time.Time
		load                topo.Load // as stated in the newest response
		loadAt              time.Time // when it arrived
	}
)

// Pick returns the upstream with the lowest score that is not in tried, and counts a call in flight there. The call may
// be sent after the wait, which is at most maxWait; it is reserved at the upstream's limit. If no upstream takes a call
// that soon, Pick returns nil and the time after which one may, or 0 if there is none.
func (b *Balancer) Pick(now time.Time, service string, tried []string, maxWait time.Duration) (
	best *topo.Upstream, wait time.Duration,
) {
	list := b.Upstreams(service)
	share := b.limitShare()
	b.mu.Lock()
	defer b.mu.Unlock()
	var bestScore float64
	var bestWait, soonest time.Duration
	for _, u := range list {
		id := u.Instance()
		if slices.Contains(tried, u.ID) || b.Notices.IsLeaving(id) {
			continue
		}
		rest, held := b.Notices.LimitWait(now, id, share), b.Notices.HoldWait(now, id)
		if held > 0 || rest > maxWait {
			if rest = max(rest, held); soonest == 0 || rest < soonest {
				soonest = rest
			}
			continue
		}
		score := b.score(now, u) + waitPenalty*rest.Seconds()
		if best == nil || score < bestScore {
			best, bestScore, bestWait = u, score, rest
		}
	}
	if best == nil {
		return nil, soonest
	}
	b.stateOf(best.ID).inFlight++
	b.Notices.Take(now, best.Instance(), share)
	return best, bestWait
}

// score returns how much speaks against the upstream.
func (b *Balancer) score(now time.Time, u *topo.Upstream) float64 {
	st := b.stateOf(u.ID)
	score := float64(st.inFlight) + failurePenalty*st.failureRate + st.loadPenalty(now) + rand.Float64()/2
	if u.Domain != b.Domain {
		score += domainBias
	}
	if now.Before(st.backoffUntil) {
		score += 2 * failurePenalty
	}
	if u.Leaving {
		score += 4 * failurePenalty
	}
	return score
}

// isMixed reports whether the upstreams of a service have several software versions. Hosts do not remember which of
// them began a stream of a plain service.
func (b *Balancer) isMixed(service string) bool {
	list := b.Upstreams(service)
	return slices.ContainsFunc(list, func(u *topo.Upstream) bool { return u.Software != list[0].Software })
}

// admits reports whether a call may be sent to an upstream that Pick has returned. While the call waited, the upstream
// may have left or asked for no further calls.
func (b *Balancer) admits(now time.Time, u *topo.Upstream) bool {
	listed := slices.ContainsFunc(b.Upstreams(u.Service), func(o *topo.Upstream) bool {
		return o.Instance() == u.Instance()
	})
	return listed && b.Notices.Admit(now, u.Instance())
}

// cancel returns an upstream that Pick has returned and that got no call.
func (b *Balancer) cancel(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).inFlight--
}

func (b *Balancer) limitShare() float64 {
	if b.LimitShare == nil {
		return 1
	}
	return b.LimitShare()
}

// Done records that a call at an upstream ended; failed means that the upstream caused a failure.
func (b *Balancer) Done(now time.Time, id string, failed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.stateOf(id)
	st.inFlight--
	if !failed {
		st.consecutiveFailures = 0
		st.failureRate -= failureWeight * st.failureRate
		return
	}
	st.consecutiveFailures++
	st.failureRate += failureWeight * (1 - st.failureRate)
	st.backoffUntil = now.Add(min(initialBackoff<<min(st.consecutiveFailures-1, 8), maxBackoff))
}

// SetLoad records the load that an upstream stated in a response; nil records nothing.
func (b *Balancer) SetLoad(now time.Time, id string, load *topo.Load) {
	if load == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.stateOf(id)
	st.load, st.loadAt = *load, now
}

// loadPenalty returns what the stated load of the upstream adds to its score.
func (st *upstreamState) loadPenalty(now time.Time) float64 {
	if st.load.Slots == 0 {
		return 0
	}
	busy := float64(st.load.Running+st.load.Waiting) / float64(st.load.Slots)
	penalty := busyPenalty * (busy + max(st.load.Slowdown-1, 0))
	return min(penalty, maxLoadPenalty) * math.Exp(-now.Sub(st.loadAt).Seconds()/loadTimeConstant.Seconds())
}

func (b *Balancer) stateOf(id string) *upstreamState {
	if b.state == nil {
		b.state = make(map[string]*upstreamState)
	}
	st := b.state[id]
	if st == nil {
		st = &upstreamState{}
		b.state[id] = st
	}
	return st
}

// attemptResult says what to do after an attempt.
type attemptResult uint8

const (
	completed attemptResult = iota // the call has ended, with a response or an aborted connection
	tryNext                        // another attempt may be made
)

// servePlain sends the call to one upstream of a plain service after another until one responds or no further attempt
// is allowed.
func (c *call) servePlain() {
	if c.hasUnknownOrigin() || c.takesUp && c.s.Balancer.isMixed(c.service) {
		c.finishWithoutResponse(sched.ReasonVersionUnknown)
		return
	}
	if !c.chargePlain() {
		return
	}
	c.countForHedges()
	for {
		u, retryAfter := c.pickUpstream()
		if u == nil {
			reason := reasonNoUpstream
			if retryAfter > 0 {
				reason = reasonUpstreamLimits
			}
			c.finishUnserved(reason, max(retryAfter, defaultRetryAfter))
			return
		}
		if !c.checkKey() {
			c.s.Balancer.cancel(u.ID)
			return
		}
		if c.s.Quarantine != nil && !c.s.Quarantine.Admits(&c.spec) {
			c.s.Balancer.cancel(u.ID)
			c.finishUnserved(sched.ReasonQuarantine, sched.QuarantineRetryAfter)
			return
		}
		if c.attemptPlain(u) == completed {
			return
		}
		if !c.spendRetry() {
			c.finishWithoutResponse(reasonRejected)
			return
		}
	}
}

// chargePlain charges the call to the quota of its workspace and reports whether the quota allows it; if not, it has
// ended the call.
func (c *call) chargePlain() bool {
	if c.s.Quotas == nil || c.workspace == nil || !c.workspace.Quota.Limited() {
		return true
	}
	retryAfter, ok := c.s.Quotas.ChargePlain(c.workspace.Name, c.cost())
	if !ok {
		c.reject(sched.ReasonOverQuota, retryAfter)
	}
	return ok
}

// pickUpstream picks an upstream and waits until its statements allow the call. If no upstream takes the call soon
// enough, it returns nil and the time after which one may, or 0 if there is none.
func (c *call) pickUpstream() (u *topo.Upstream, retryAfter time.Duration) {
	for {
		maxWait := c.maxWait()
		u, wait := c.s.Balancer.Pick(time.Now(), c.service, c.tried, maxWait)
		if wait > 0 {
			c.delayedBy = reasonUpstreamLimits
		}
		if u == nil && (wait == 0 || wait > maxWait) {
			return nil, wait
		}
		waited := wait == 0 || c.waitForUpstream(wait)
		if u == nil && waited {
			continue
		}
		if waited && c.s.Balancer.admits(time.Now(), u) {
			return u, 0
		}
		if u != nil {
			c.s.Balancer.cancel(u.ID)
		}
		if !waited {
			return nil, wait
		}
	}
}

// waitForUpstream reports whether the call still runs after the wait.
func (c *call) waitForUpstream(wait time.Duration) bool {
	c.s.Hedges.Wait(c.service, 1)
	defer c.s.Hedges.Wait(c.service, -1)
	return clock.Sleep(c.ctx, wait)
}

// maxWait returns how long the call may wait for an upstream.
func (c *call) maxWait() time.Duration {
	left := time.Duration(waitShare * float64(time.Until(c.deadline)))
	if c.route.TargetLatency <= 0 {
		return left
	}
	latest := c.start.Add(time.Duration(maxLateness * float64(c.route.TargetLatency)))
	return min(left, time.Until(latest))
}

// attemptPlain sends the call to an upstream, and to a second one if the first is late.
func (c *call) attemptPlain(u *topo.Upstream) attemptResult {
	c.tried = append(c.tried, u.ID)
	x := c.exchange(u)
	defer x.cancel()
	u, res := x.upstream, x.res
	if errors.Is(x.err, h1.ErrNotSent) {
		c.s.Balancer.Done(time.Now(), u.ID, c.ctx.Err() == nil)
		c.s.Stats.CountRetry("not_sent")
		return tryNext
	}
	c.attempts++
	if x.err != nil {
		return c.handleBroken(u, x.sent, x.err)
	}
	c.s.Balancer.SetLoad(time.Now(), u.ID, c.s.load(res.Header))
	stated := c.s.applyNotice(x.sent, u.Instance(), res)
	body, complete, err := c.holdBody(res)
	if err != nil {
		return c.handleBroken(u, x.sent, err)
	}
	if complete {
		c.recordOutcome(u, res, stated)
		return c.handleResponse(res, body, true)
	}
	result := c.handleResponse(res, body, false)
	c.recordOutcome(u, res, stated)
	return result
}

// recordOutcome records how the upstream has served the call.
func (c *call) recordOutcome(u *topo.Upstream, res *h1.Response, stated topo.Notice) {
	// An upstream that asks for a pause gets no calls meanwhile, and has not failed.
	failed := res.Status >= http.StatusInternalServerError && stated.Hold == 0 || c.truncated
	c.s.Balancer.Done(time.Now(), u.ID, failed)
	if c.s.Quarantine != nil && res.Status < http.StatusInternalServerError && !c.notExecuted(res) && !c.truncated {
		c.s.Quarantine.Served(&c.spec)
	}
}

// handleBroken handles an attempt at a plain upstream whose connection broke, unless the call has ended.
func (c *call) handleBroken(u *topo.Upstream, sent time.Time, err error) attemptResult {
	c.recordBroken(u, sent, err)
	return c.handleFailure()
}

// recordBroken records an attempt at a plain upstream whose connection broke.
func (c *call) recordBroken(u *topo.Upstream, sent time.Time, err error) {
	running := c.ctx.Err() == nil
	c.logBroken(u.ID, err)
	c.s.Balancer.Done(time.Now(), u.ID, running)
	if running && c.s.Quarantine != nil {
		c.s.Quarantine.Broken(sent, u.Instance(), &c.spec)
	}
}

// handleResponse relays a response whose body, or the start of it, has been read. It returns tryNext if the upstream
// did not execute the request or failed in a way that allows a retry.
func (c *call) handleResponse(res *h1.Response, body []byte, complete bool) attemptResult {
	defer res.Close()
	if c.notExecuted(res) {
		c.logNotExecuted(res)
		c.s.Stats.CountRetry("not_run")
		return tryNext
	}
	c.mayHaveExecuted = true
	if c.headerSent {
		// The caller has events of another engine already; a response that is not a stream cannot continue them.
		c.fail(res.Status, reasonUpstreamErr)
		return completed
	}
	failed := res.Status >= http.StatusInternalServerError || saysNotExecuted(res.Status)
	if failed && c.route.Retryable() && c.attempts < c.route.MaxAttempts {
		if complete {
			c.fallback, c.fallbackBody = res, body
		}
		c.s.Stats.CountRetry("upstream_error")
		return tryNext
	}
	if complete || saysNotExecuted(res.Status) {
		c.relayResponse(res.Status, res.Header, body)
		return completed
	}
	c.passOn(res, body)
	return completed
}

// notExecuted reports whether the upstream's response says that it did not execute the request.
func (c *call) notExecuted(res *h1.Response) bool {
	return res.Header.Get(c.s.Headers.NotExecuted) != "" || res.Status == http.StatusMisdirectedRequest
}

// logNotExecuted logs an attempt that the upstream did not execute, with the connection on which it said so.
func (c *call) logNotExecuted(res *h1.Response) {
	c.s.Log.Info().Str("call", c.id).Str("upstream", c.tried[len(c.tried)-1]).Int("status", res.Status).
		Str("conn", res.LocalAddr).Int("earlier_requests", res.Earlier).Msg("attempt not executed")
}

// saysNotExecuted reports whether a status tells callers that the call was not executed and never will be.
func saysNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleFailure handles an attempt without a valid response: the upstream may have executed the request.
func (c *call) handleFailure() attemptResult {
	c.mayHaveExecuted = true
	if c.callerLeft() {
		c.logEnd(0, reasonCallerLeft)
		return c.abort()
	}
	if c.ctx.Err() != nil {
		c.fail(http.StatusGatewayTimeout, c.timeoutReason())
		return completed
	}
	if c.route.Retryable() && c.attempts < c.route.MaxAttempts {
		c.s.Stats.CountRetry("broken")
		return tryNext
	}
	c.fail(http.StatusBadGateway, reasonUpstreamFailed)
	return completed
}

// spendRetry reports whether another attempt may be made and takes it from the retry budget. Attempts are free until
// one has reached an upstream.
func (c *call) spendRetry() bool {
	if c.ctx.Err() != nil || time.Until(c.deadline) < minAttemptTime {
		return false
	}
	return c.attempts == 0 || c.s.RetryBudget.Spend(c.service)
}

// finishWithoutResponse is finishUnserved for a call that is not known to be served better after some time.
func (c *call) finishWithoutResponse(reason string) { c.finishUnserved(reason, defaultRetryAfter) }

// finishUnserved ends the call when no further attempt is possible. It relays the fallback response if there is one,
// and otherwise rejects the call, with the time after which it may be served, only if no upstream can have executed it.
func (c *call) finishUnserved(reason string, retryAfter time.Duration) {
	switch {
	case c.callerLeft():
		c.logEnd(0, reasonCallerLeft)
		c.abort()
	case c.fallback != nil && !c.headerSent:
		c.relayResponse(c.fallback.Status, c.fallback.Header, c.fallbackBody)
	case !c.mayHaveExecuted:
		c.reject(reason, retryAfter)
	case c.ctx.Err() != nil:
		c.fail(http.StatusGatewayTimeout, c.timeoutReason())
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}
