package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/h1"
	"github.com/figreel/figreel/internal/hedge"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// sameDomainPenalty is added to the score of the upstreams in the failure domain of the first attempt, in calls in
	// flight: the domain may be slow as a whole.
	sameDomainPenalty = 3.0
	// waitingTime is how long an upstream that has stated waiting calls gets no second attempt.
	waitingTime = time.Second
)

// Reasons for which no second attempt starts, besides those of package hedge.
const (
	refusedCall        = "call"
	refusedKey         = "key"
	refusedQuarantine  = "quarantine"
	refusedUpstream    = "upstream"
	refusedRetryBudget = "retry_budget"
)

type (
	// exchange is one request to an upstream and the head of its response.
	exchange struct {
		upstream *topo.Upstream
		sent     time.Time
		took     time.Duration
		cancel   context.CancelFunc // aborts it; called also when the response has been read
		res      *h1.Response
		err      error
	}

	// race is a first exchange and the second one that may start beside it. Only one goroutine uses it.
	race struct {
		c       *call
		first   *exchange
		second  *exchange
		running []*exchange
		results chan *exchange
		asks    int
		refused string
	}
)

// pickSecond returns an idle upstream for an attempt beside a slow one in the given failure domain, and counts a call
// in flight there; nil if there is none.
func (b *Balancer) pickSecond(now time.Time, service string, tried []string, domain string) *topo.Upstream {
	list, share := b.Upstreams(service), b.limitShare()
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *topo.Upstream
	var bestScore float64
	for _, u := range list {
		id, st := u.Instance(), b.stateOf(u.ID)
		if slices.Contains(tried, u.ID) || u.Leaving || b.Notices.IsLeaving(id) || now.Before(st.backoffUntil) ||
			b.Notices.LimitWait(now, id, share) > 0 || b.Notices.HoldWait(now, id) > 0 ||
			st.load.Waiting > 0 && now.Sub(st.loadAt) < waitingTime {
			continue
		}
		score := b.score(now, u)
		if u.Domain == domain {
			score += sameDomainPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = u, score
		}
	}
	if best != nil {
		b.stateOf(best.ID).inFlight++
		b.Notices.Take(now, best.Instance(), share)
	}
	return best
}

// lost records that an upstream was slower than a second attempt elsewhere. It does not back off, because it may be
// well; but its failure rate rises, because attempts that are cancelled do not stay in flight and so count no more.
func (b *Balancer) lost(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.stateOf(id)
	st.inFlight--
	st.failureRate += failureWeight * (1 - st.failureRate)
}

func (c *call) hedgeKey() hedge.Key {
	return hedge.Key{Service: c.service, Model: c.spec.Model, Size: hedge.SizeClass(c.spec.PromptTokens)}
}

// mayHedge reports whether the next attempt may get a second one beside it.
func (c *call) mayHedge() bool {
	return c.s.Hedges != nil && c.route.Kind == topo.Idempotent && !c.headerSent && c.attempts+2 <= c.route.MaxAttempts
}

// countForHedges counts the call if its attempts may get a second one beside them.
func (c *call) countForHedges() {
	if c.mayHedge() {
		c.hedgeDelay = c.s.Hedges.Count(time.Now(), c.hedgeKey())
	}
}

// exchange sends the call to the upstream, and to a second one if the first is late. It returns the exchange whose
// response counts; the other one, if any, has ended or is cancelled.
func (c *call) exchange(u *topo.Upstream) *exchange {
	if !c.mayHedge() {
		x := &exchange{upstream: u, sent: time.Now(), cancel: func() {}}
		x.res, x.err = c.s.Pool.Do(c.ctx, c.upstreamRequest(u.Addr, u.ID))
		return x
	}
	r := &race{c: c, results: make(chan *exchange, 2)}
	r.first = r.start(u)
	x := r.run()
	r.record(x)
	return x
}

func (r *race) start(u *topo.Upstream) *exchange {
	ctx, cancel := context.WithCancel(r.c.ctx)
	x := &exchange{upstream: u, sent: time.Now(), cancel: cancel}
	r.running = append(r.running, x)
	request, pool, results := r.c.upstreamRequest(u.Addr, u.ID), r.c.s.Pool, r.results
	go func() {
		x.res, x.err = pool.Do(ctx, request)
		x.took = time.Since(x.sent)
		results <- x
	}()
	return x
}

// run returns the exchange that counts: the first one that was served, or the last one to end.
func (r *race) run() *exchange {
	var late <-chan time.Time
	if delay := r.c.hedgeDelay; delay > 0 {
		ticker := time.NewTicker(delay)
		defer ticker.Stop()
		late = ticker.C
	}
	for {
		select {
		case x := <-r.results:
			r.running = slices.DeleteFunc(r.running, func(o *exchange) bool { return o == x })
			if len(r.running) == 0 {
				r.c.setLastTried(x)
				return x
			}
			if r.c.served(x) {
				r.cancelLoser(r.running[0])
				r.c.setLastTried(x)
				return x
			}
			r.c.dropFailed(x)
		case <-late:
			if len(r.results) == 0 && !r.ask() {
				late = nil
			}
		}
	}
}

// ask starts a second exchange if nothing speaks against it, and reports whether it is to be called again.
func (r *race) ask() (again bool) {
	if r.asks++; r.asks == 1 {
		r.c.s.Hedges.Late(r.c.service)
	}
	var u *topo.Upstream
	u, r.refused = r.c.admitSecond(r.first)
	if u != nil {
		r.c.tried = append(r.c.tried, u.ID)
		r.second = r.start(u)
		r.c.s.Stats.CountEvent("hedges_started")
		return false
	}
	switch r.refused {
	case hedge.RefusedLimit, hedge.RefusedWaiting, hedge.RefusedAllSlow:
		return r.asks < hedge.MaxAsks
	}
	return false
}

// admitSecond returns the upstream for a second attempt beside the first, or nil and the reason why none may start.
func (c *call) admitSecond(first *exchange) (u *topo.Upstream, refused string) {
	now := time.Now()
	if c.ctx.Err() != nil || c.deadline.Sub(now) < minAttemptTime {
		return nil, refusedCall
	}
	// A refusal ends only the second attempt; the first one goes on.
	if c.lookUpKey() != "" {
		return nil, refusedKey
	}
	if c.s.Quarantine != nil && !c.s.Quarantine.Admits(&c.spec) {
		return nil, refusedQuarantine
	}
	if reason := c.s.Hedges.Start(now, c.service, first.sent); reason != "" {
		return nil, reason
	}
	u = c.s.Balancer.pickSecond(now, c.service, c.tried, first.upstream.Domain)
	if u == nil {
		return nil, refusedUpstream
	}
	if !c.s.RetryBudget.Spend(c.service) {
		c.s.Balancer.cancel(u.ID)
		return nil, refusedRetryBudget
	}
	return u, ""
}

// served reports whether the response is one for which no other attempt would be made.
func (c *call) served(x *exchange) bool {
	return x.err == nil && x.res.Status < http.StatusInternalServerError && !saysNotExecuted(x.res.Status) &&
		!c.notExecuted(x.res)
}

// cancelLoser cancels the exchange that still runs when the other one was served.
func (r *race) cancelLoser(x *exchange) {
	x.cancel()
	results := r.results
	go func() {
		if late := <-results; late.res != nil {
			late.res.Close()
		}
	}()
	r.c.attempts++
	r.c.mayHaveExecuted = true
	if x == r.second {
		r.c.s.Balancer.cancel(x.upstream.ID)
		return
	}
	r.c.s.Balancer.lost(x.upstream.ID)
	r.c.s.Hedges.FirstByte(r.c.hedgeKey(), x.sent, time.Since(x.sent), true)
}

// dropFailed records an exchange that failed while the other one goes on.
func (c *call) dropFailed(x *exchange) {
	defer x.cancel()
	c.setLastTried(x)
	u, running := x.upstream, c.ctx.Err() == nil
	if errors.Is(x.err, h1.ErrNotSent) {
		c.s.Balancer.Done(time.Now(), u.ID, running)
		c.s.Stats.CountRetry("not_sent")
		return
	}
	c.attempts++
	if x.err != nil {
		c.mayHaveExecuted = true
		c.recordBroken(u, x.sent, x.err)
		return
	}
	defer x.res.Close()
	c.s.Balancer.SetLoad(time.Now(), u.ID, c.s.load(x.res.Header))
	c.recordOutcome(u, x.res, c.s.applyNotice(x.sent, u.Instance(), x.res))
	if c.notExecuted(x.res) {
		c.logNotExecuted(x.res)
		c.s.Stats.CountRetry("not_run")
		return
	}
	c.mayHaveExecuted = true
	c.s.Stats.CountRetry("upstream_error")
}

// setLastTried makes the upstream of the exchange the last one of those that were tried, as which log lines name it.
func (c *call) setLastTried(x *exchange) {
	c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return id == x.upstream.ID })
	c.tried = append(c.tried, x.upstream.ID)
}

// record counts how the race ended and how long the first exchange took.
func (r *race) record(x *exchange) {
	c := r.c
	if x == r.first && c.served(x) {
		c.s.Hedges.FirstByte(c.hedgeKey(), x.sent, x.took, r.asks > 0)
	}
	switch {
	case r.second == nil && r.asks > 0:
		c.hedgeRefused = r.refused
		c.s.Stats.CountEvent("hedges_refused")
		c.s.Stats.CountEvent("hedges_refused/" + r.refused)
	case r.second == nil:
	case x == r.second && c.served(x):
		c.hedge = "won"
		c.s.Stats.CountEvent("hedges_won")
	default:
		c.hedge = "lost"
		c.s.Stats.CountEvent("hedges_lost")
	}
}
