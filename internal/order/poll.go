package order

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/engine"
)

const (
	pollTimeout = 2 * time.Second
	// downAfter is the number of failed polls in a row after which an engine counts as lost.
	downAfter = 3
	// hurriedPoll is the interval while an order is unsettled or after a failed poll.
	hurriedPoll = time.Second
	// longestPoll bounds how long a restart or a departure can go unnoticed in a large pool.
	longestPoll = 20 * time.Second
	// Sizes of a report in JSON, measured with names of 20 bytes.
	reportBytes     = 300
	reportItemBytes = 90
)

// poll asks for the engine's report when it is due; requests of one engine never overlap.
func (o *Reconciler) poll(ctx context.Context, p *peer, now time.Time) {
	if p.polling || now.Before(p.nextPoll) {
		return
	}
	p.polling = true
	url := p.doc.URL
	o.spawn(func() {
		callCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		st, err := o.Engines.Status(callCtx, url)
		o.post(ctx, func() { o.polled(p, now, st, err) })
	})
}

func (o *Reconciler) polled(p *peer, started time.Time, st engine.Status, err error) {
	now := time.Now()
	p.polling = false
	if p.nextPoll.After(started) {
		// An order was answered while the report was on its way.
		p.nextPoll = now
	} else {
		p.nextPoll = now.Add(o.interval())
	}
	if err != nil {
		o.pollFailed(p, now, err)
		return
	}
	if !p.seen || p.fails >= downAfter || st.BootID != p.status.BootID || st.Leaving != p.status.Leaving {
		o.replan()
	}
	p.fails = 0
	p.seen = true
	p.status = st
	if p.led == nil {
		return
	}
	restarted := p.led.BootID != "" && p.led.BootID != st.BootID
	if !p.led.ApplyReport(now, started, st) {
		return
	}
	p.reportedAt = started
	// An engine that lost its number in a restart accepts any order until it has seen one, also a late one.
	p.sync = p.sync || restarted && p.led.Rules.ChecksFencing
	if p.led.Dirty() {
		o.replan()
	}
	if len(p.led.Corrections()) > 0 || len(p.led.InDoubt()) > 0 {
		p.nextPoll = earlier(p.nextPoll, now.Add(hurriedPoll))
	}
}

func (o *Reconciler) pollFailed(p *peer, now time.Time, err error) {
	p.fails++
	if p.fails < downAfter {
		p.nextPoll = now.Add(hurriedPoll)
		return
	}
	if p.fails == downAfter {
		o.Log.Warn().Err(err).Str("engine", p.doc.Name).Msg("engine does not answer")
		o.Stats.CountEvent("order_engine_lost")
		o.replan()
	}
}

// up reports whether the engine answers its polls.
func (p *peer) up() bool { return p.seen && p.fails < downAfter }

// ready reports whether the last poll was answered, so that an order is likely to arrive.
func (p *peer) ready() bool { return p.seen && p.fails == 0 }

// interval is longer for large pools, so that their reports stay within StatusBytesPerS, up to longestPoll.
func (o *Reconciler) interval() time.Duration {
	sum := 0
	for _, p := range o.peers {
		sum += reportBytes + reportItemBytes*len(p.status.Items)
	}
	spread := time.Duration(sum) * time.Second / time.Duration(o.StatusBytesPerS)
	return max(o.PollEvery, min(spread, longestPoll))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
