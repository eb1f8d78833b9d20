package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// downFirst and downMost bound how long an upstream is avoided after failures.
	downFirst = 200 * time.Millisecond
	downMost  = 2 * time.Second
	// domainBias is the number of calls by which an upstream in the host's own failure domain is preferred.
	domainBias = 0.5
	// failureGain is the weight of one outcome in an upstream's failure rate.
	failureGain = 0.25
	// failureBias is the number of calls that a failure rate of one weighs.
	failureBias = 6.0
)

type (
	// Balancer chooses upstreams of plain services by this host's own calls.
	Balancer struct {
		Domain    string
		Upstreams func(service string) []*topo.Upstream

		mu    sync.Mutex
		state map[string]*plainState
	}

	plainState struct {
		calls    int
		failures int
		rate     float64 // recent share of failures
		down     time.Time
	}
)

// Pick chooses an upstream and counts a call on it; nil means that there is none that was not tried.
func (p *Balancer) Pick(now time.Time, service string, tried []string) *topo.Upstream {
	list := p.Upstreams(service)
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *topo.Upstream
	var bestScore float64
	for _, u := range list {
		if slices.Contains(tried, u.ID) {
			continue
		}
		st := p.of(u.ID)
		score := float64(st.calls) + failureBias*st.rate + rand.Float64()/2
		if u.Domain != p.Domain {
			score += domainBias
		}
		if now.Before(st.down) {
			score += 2 * failureBias
		}
		if u.Leaving {
			score += 4 * failureBias
		}
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	if best != nil {
		p.of(best.ID).calls++
	}
	return best
}

// Done ends a call; failed blames the upstream.
func (p *Balancer) Done(now time.Time, id string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := p.of(id)
	st.calls--
	if !failed {
		st.failures = 0
		st.rate -= failureGain * st.rate
		return
	}
	st.failures++
	st.rate += failureGain * (1 - st.rate)
	st.down = now.Add(min(downFirst<<min(st.failures-1, 8), downMost))
}

func (p *Balancer) of(id string) *plainState {
	if p.state == nil {
		p.state = make(map[string]*plainState)
	}
	st := p.state[id]
	if st == nil {
		st = &plainState{}
		p.state[id] = st
	}
	return st
}

// verdict is what follows from one attempt.
type verdict uint8

const (
	answered verdict = iota // the caller has its final answer
	again                   // another upstream may be tried
)

// servePlain sends the call to upstreams of a plain service until one answers.
func (c *call) servePlain() {
	for {
		u := c.s.Balancer.Pick(time.Now(), c.service, c.tried)
		if u == nil {
			c.giveUp(reasonNoUpstream)
			return
		}
		if c.attemptPlain(u) == answered {
			return
		}
		if !c.mayRetry() {
			c.giveUp(reasonRejected)
			return
		}
	}
}

func (c *call) attemptPlain(u *topo.Upstream) verdict {
	c.tried = append(c.tried, u.ID)
	a, err := c.s.Pool.Do(c.ctx, c.request(u.Addr, u.ID))
	if errors.Is(err, h1.ErrNotSent) {
		c.s.Balancer.Done(time.Now(), u.ID, c.ctx.Err() == nil)
		c.s.Stats.CountRetry("not_sent")
		return again
	}
	c.attempts++
	if err != nil {
		c.s.Balancer.Done(time.Now(), u.ID, c.ctx.Err() == nil)
		return c.broken()
	}
	body, err := a.ReadAll(MaxResponseBytes)
	if err != nil {
		c.s.Balancer.Done(time.Now(), u.ID, c.ctx.Err() == nil)
		return c.broken()
	}
	c.s.Balancer.Done(time.Now(), u.ID, a.Status >= http.StatusInternalServerError)
	return c.judge(a, body)
}

// judge relays a whole answer, or lets another upstream try.
func (c *call) judge(a *h1.Response, body []byte) verdict {
	if c.rejected(a) {
		c.s.Stats.CountRetry("not_run")
		return again
	}
	c.mayRun = true
	if c.begun {
		// The answer began with another engine's events; this one cannot complete it.
		c.fail(a.Status, reasonUpstreamErr)
		return answered
	}
	if a.Status >= http.StatusInternalServerError && c.route.Retryable() && c.attempts < c.route.MaxAttempts {
		c.spare, c.spareBody = a, body
		c.s.Stats.CountRetry("upstream_error")
		return again
	}
	c.relay(a.Status, a.Header, body)
	return answered
}

// rejected reports whether the upstream says that it did not run the request.
func (c *call) rejected(a *h1.Response) bool {
	return a.Header.Get(c.s.Headers.NotExecuted) != "" || a.Status == http.StatusMisdirectedRequest
}

// broken handles an attempt without a valid answer: the request may have run.
func (c *call) broken() verdict {
	c.mayRun = true
	if c.gone() {
		c.log(0, reasonCallerLeft)
		return c.abort()
	}
	if c.ctx.Err() != nil {
		c.fail(http.StatusGatewayTimeout, reasonDeadline)
		return answered
	}
	if c.route.Retryable() && c.attempts < c.route.MaxAttempts {
		c.s.Stats.CountRetry("broken")
		return again
	}
	c.fail(http.StatusBadGateway, reasonBroken)
	return answered
}

// mayRetry takes one further attempt from the budget.
func (c *call) mayRetry() bool {
	if c.ctx.Err() != nil || time.Until(c.deadline) < minAttempt {
		return false
	}
	return c.attempts == 0 || c.s.RetryBudget.Spend(c.service)
}

// giveUp ends the call without an upstream's answer.
func (c *call) giveUp(reason string) {
	switch {
	case c.gone():
		c.log(0, reasonCallerLeft)
		c.abort()
	case c.spare != nil && !c.begun:
		c.relay(c.spare.Status, c.spare.Header, c.spareBody)
	case !c.mayRun:
		c.refuse(reason, retryAfter)
	case c.ctx.Err() != nil:
		c.fail(http.StatusGatewayTimeout, reasonDeadline)
	default:
		c.fail(http.StatusBadGateway, reason)
	}
}
