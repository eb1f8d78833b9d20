package member

import (
	"context"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/wire"
)

// serveTimeout bounds an exchange whose peer stops halfway.
const serveTimeout = 5 * time.Second

func (t *Table) servePing(ctx context.Context, from string, _ wire.Kind, c wire.Stream) {
	done := bound(ctx, c)
	defer done()
	var req wire.Ping
	if c.Recv(&req) != nil {
		return
	}
	if req.From.Name != from {
		t.Stats.CountEvent(eventMismatch)
		return
	}
	t.agree(req.Digest)
	t.absorb(req)
	_ = c.Send(t.compose(from))
}

func (t *Table) serveProbe(ctx context.Context, _ string, _ wire.Kind, c wire.Stream) {
	done := bound(ctx, c)
	defer done()
	var req wire.Probe
	if c.Recv(&req) != nil {
		return
	}
	t.mu.Lock()
	r := t.state.members[req.Target.Name]
	var target wire.Member
	// Only addresses from the own table are dialled, so that a peer cannot make this host send elsewhere.
	known := r != nil && r.member.Addr == req.Target.Addr
	if known {
		target = r.member
	}
	t.mu.Unlock()
	_ = c.Send(wire.ProbeResult{OK: known && t.ping(ctx, target) == nil})
}

func (t *Table) serveJoin(ctx context.Context, from string, _ wire.Kind, c wire.Stream) {
	done := bound(ctx, c)
	defer done()
	var req wire.Table
	if c.Recv(&req) != nil {
		return
	}
	if len(req.Members) == 0 || req.Members[0].Name != from {
		t.Stats.CountEvent(eventMismatch)
		return
	}
	t.absorbTable(req, false)
	_ = c.Send(t.wholeTable())
}

// bound closes c when ctx ends or the time of an exchange is over; the result ends the bound.
func bound(ctx context.Context, c wire.Stream) func() {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	return func() {
		stop()
		cancel()
	}
}

// compose builds a ping for a member; what this host holds against it comes first, for it to refute.
func (t *Table) compose(to string) wire.Ping {
	revision := t.revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := wire.Ping{From: t.state.self, Revision: revision, Digest: t.state.digest}
	if m, ok := t.state.claim(to); ok {
		p.Members = append(p.Members, m)
	}
	t.state.gossip.fill(&p, len(t.state.members)+1)
	return p
}

func (t *Table) wholeTable() wire.Table {
	revision := t.revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.table(revision)
}

func (t *Table) revision() int64 {
	if t.Revision == nil {
		return 0
	}
	return t.Revision()
}

// agree stops sending news on after enough other hosts had it before they pinged. The digests are compared before the
// ping is merged, because afterwards they agree by the exchange itself.
func (t *Table) agree(digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if digest != t.state.digest || t.agreed != digest {
		t.agreeing, t.agreed = 0, t.state.digest
	}
	if digest != t.state.digest {
		return
	}
	if t.agreeing++; t.agreeing >= agreement {
		t.state.gossip.settle()
	}
}

func (t *Table) absorb(p wire.Ping) {
	now := time.Now()
	t.mu.Lock()
	before := t.state.self.Incarnation
	t.state.merge(now, p.From)
	for _, m := range p.Members {
		t.state.merge(now, m)
	}
	owners, departures := t.state.mergeFacts(p.Owners, p.Departures)
	refuted := t.state.self.Incarnation != before
	t.mu.Unlock()
	t.report(p.From, p.Revision, owners, departures, refuted)
}

// absorbTable merges a whole table; quiet keeps the result from being sent on.
func (t *Table) absorbTable(table wire.Table, quiet bool) {
	now := time.Now()
	t.mu.Lock()
	before := t.state.self.Incarnation
	t.state.quiet = quiet
	// The sender's own record is first-hand, so it is merged like gossip.
	t.state.merge(now, table.Members[0])
	for _, m := range table.Members[1:] {
		t.state.mergeTable(now, m)
	}
	owners, departures := t.state.mergeFacts(table.Owners, table.Departures)
	t.state.quiet = false
	refuted := t.state.self.Incarnation != before
	t.mu.Unlock()
	t.report(table.Members[0], table.Revision, owners, departures, refuted)
}

// mergeFacts returns what was new.
func (s *state) mergeFacts(owners []wire.Owner, departures []wire.Departure) ([]wire.Owner, []wire.Departure) {
	owners = slices.DeleteFunc(owners, func(o wire.Owner) bool { return !s.setOwner(o) })
	departures = slices.DeleteFunc(departures, func(d wire.Departure) bool { return !s.setDeparture(d) })
	return owners, departures
}

func (t *Table) report(from wire.Member, rev int64, owners []wire.Owner, departures []wire.Departure, refuted bool) {
	if refuted {
		t.Stats.CountEvent(eventRefuted)
	}
	t.pokeIfUrgent()
	for _, o := range owners {
		if t.OnOwner != nil {
			t.OnOwner(o)
		}
	}
	for _, d := range departures {
		if t.OnDeparture != nil {
			t.OnDeparture(d)
		}
	}
	if t.OnPeerRevision != nil {
		t.OnPeerRevision(rev, from)
	}
	t.notify()
}
