package host

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// promiseInterval is the time between two requests of the leader for the promises of the other hosts while it has
	// not renewed its lease, for promiseHosts hosts; it grows with their number, up to maxPromiseInterval.
	promiseInterval    = 300 * time.Millisecond
	promiseHosts       = 75
	maxPromiseInterval = time.Second
)

// promiseRound is the state of the leader's requests for promises; its zero value is that before the first one.
type promiseRound struct {
	askedAt time.Time
	logged  bool // whether the log says that all other hosts promise
	overdue bool // the renewal of the lease was overdue at the last update
}

// updatePromises keeps the promises of the other hosts to this host as the leader up to date. It asks for them while
// the renewal of the lease is overdue; meanwhile it forgets no host.
func (r *watchRelay) updatePromises(ctx context.Context, round *promiseRound) {
	hosts := r.otherHosts()
	names := make([]string, 0, len(hosts))
	for _, o := range hosts {
		names = append(names, o.Name)
	}
	if r.elector.RecentlyRestored() {
		names = append(names, r.cache.lapsedHosts()...)
	}
	if !r.elector.RenewalOverdue() {
		round.overdue, round.logged = false, false
		if r.cache.isCurrent() {
			r.promises.SetHosts(r.now(), names)
		}
		return
	}
	r.promises.AddHosts(names)
	r.logPromises(round)
	if time.Since(round.askedAt) < promisePause(len(hosts)) {
		return
	}
	round.askedAt = time.Now()
	for _, o := range hosts {
		go r.requestPromise(ctx, o)
	}
}

// logPromises logs when orders beyond the lease become allowed and when they end.
func (r *watchRelay) logPromises(round *promiseRound) {
	term, leads := r.elector.Term()
	until := r.promises.Until(term)
	promised := until > r.now()
	first := !round.overdue
	round.overdue = true
	if !leads || !first && promised == round.logged {
		return
	}
	round.logged = promised
	line := r.log.Warn().Int64("token", term.Token).Dur("lease_left_ms", term.LeaseEnd-r.now())
	if promised {
		line.Dur("promised_ms", until-r.now()).Msg("lease not renewed, all other hosts promise to send no orders")
		return
	}
	line.Strs("missing", r.promises.Missing(term)).
		Msg("lease not renewed, other hosts have not promised to send no orders")
}

// requestPromise asks a host to send no orders for a while.
func (r *watchRelay) requestPromise(ctx context.Context, o topo.Host) {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	term, leads := r.elector.Term()
	if !leads {
		return
	}
	asked := r.now()
	c, err := r.dial(ctx, o.Link)
	if err != nil {
		r.stats.CountEvent("promise_failed")
		return
	}
	defer c.Close()
	m, err := c.RoundTrip(ctx, &link.Message{
		Kind: link.RequestPromise, Host: r.self.Name, Nonce: term.Nonce, StoreUnreachable: r.storeUnreachable(),
	})
	if err != nil {
		r.stats.CountEvent("promise_failed")
		return
	}
	if m.Kind != link.Promised {
		r.stats.CountEvent("promise_refused")
		return
	}
	r.promises.Record(term, o.Name, asked, r.now())
	if m.StoreUnreachable && r.storeUnreachable() {
		r.cache.confirmOutage()
	}
}

// promise answers a request of the leader to send no orders for a while.
func (r *watchRelay) promise(m *link.Message) *link.Message {
	response := &link.Message{Kind: link.Refused, Host: r.self.Name, StoreUnreachable: r.storeUnreachable()}
	if r.elector.Promise(m.Nonce) {
		response.Kind = link.Promised
	}
	return response
}

// promisePause returns the time between two requests for promises.
func promisePause(hosts int) time.Duration {
	return min(promiseInterval*time.Duration(max(hosts, promiseHosts))/promiseHosts, maxPromiseInterval)
}
