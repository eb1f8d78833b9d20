package member

import (
	"context"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/wire"
)

// serveTimeout limits an exchange whose peer stops sending or receiving halfway.
const serveTimeout = 5 * time.Second

// servePing merges the gossip of a ping and responds with gossip of this host.
func (t *Table) servePing(ctx context.Context, from string, _ wire.Kind, stream wire.Stream) {
	release := limitDuration(ctx, stream)
	defer release()
	var req wire.Ping
	if stream.Recv(&req) != nil {
		return
	}
	if req.From.Name != from {
		t.Stats.CountEvent(eventMismatch)
		return
	}
	t.countDigestMatch(req.Digest)
	t.mergePing(req)
	_ = stream.Send(t.newPing(from))
}

// serveProbe pings the target of an indirect probe and responds whether it succeeded.
func (t *Table) serveProbe(ctx context.Context, _ string, _ wire.Kind, stream wire.Stream) {
	release := limitDuration(ctx, stream)
	defer release()
	var req wire.Probe
	if stream.Recv(&req) != nil {
		return
	}
	t.mu.Lock()
	r := t.state.members[req.Target.Name]
	var target wire.Member
	// Only addresses in this host's table are dialed, so that a peer cannot make this host send to arbitrary addresses.
	known := r != nil && r.member.Addr == req.Target.Addr
	if known {
		target = r.member
	}
	t.mu.Unlock()
	_ = stream.Send(wire.ProbeResult{OK: known && t.ping(ctx, target) == nil})
}

// serveJoin merges the received table, or single record, and responds with the full table.
func (t *Table) serveJoin(ctx context.Context, from string, _ wire.Kind, stream wire.Stream) {
	release := limitDuration(ctx, stream)
	defer release()
	var req wire.Table
	if stream.Recv(&req) != nil {
		return
	}
	if len(req.Members) == 0 || req.Members[0].Name != from {
		t.Stats.CountEvent(eventMismatch)
		return
	}
	t.mergeTable(req, false)
	_ = stream.Send(t.fullTable())
}

// limitDuration closes stream when ctx ends or serveTimeout has passed; the caller must call the returned function to
// release the timer.
func limitDuration(ctx context.Context, stream wire.Stream) func() {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	return func() {
		stop()
		cancel()
	}
}

// newPing returns a ping for a member. If this host has a suspected, dead or disputed record of it, that comes first,
// so that the member can refute it.
func (t *Table) newPing(to string) wire.Ping {
	revision := t.revision()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := wire.Ping{From: t.state.self, Revision: revision, Digest: t.state.digest}
	if m, ok := t.state.reportedState(to); ok {
		p.Members = append(p.Members, m)
	}
	t.state.gossip.fill(&p, len(t.state.members)+1)
	return p
}

func (t *Table) fullTable() wire.Table {
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

// countDigestMatch counts consecutive pings from hosts whose digest equals that of this host, and drops the updates
// that the digest covers after requiredMatches of them. It must be called before the ping is merged, because the merge
// itself can make the digests equal.
func (t *Table) countDigestMatch(digest uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if digest != t.state.digest || t.matchedDigest != digest {
		t.matchingPings, t.matchedDigest = 0, t.state.digest
	}
	if digest != t.state.digest {
		return
	}
	if t.matchingPings++; t.matchingPings >= requiredMatches {
		t.state.gossip.dropConverged()
	}
}

// mergePing merges the gossip of a ping or its response, and calls the callbacks.
func (t *Table) mergePing(p wire.Ping) {
	now := time.Now()
	t.mu.Lock()
	oldIncarnation := t.state.self.Incarnation
	t.state.merge(now, p.From)
	for _, m := range p.Members {
		t.state.merge(now, m)
	}
	owners, departures := t.state.mergeEntries(p.Owners, p.Departures)
	refuted := t.state.self.Incarnation != oldIncarnation
	t.mu.Unlock()
	t.callHooks(p.From, p.Revision, owners, departures, refuted)
}

// mergeTable merges a full table and calls the callbacks; with noRebroadcast, the merged entries are not queued for
// gossip.
func (t *Table) mergeTable(table wire.Table, noRebroadcast bool) {
	now := time.Now()
	t.mu.Lock()
	oldIncarnation := t.state.self.Incarnation
	t.state.noRebroadcast = noRebroadcast
	// The first record is that of the sender itself and cannot be disputed, so it is merged like gossip.
	t.state.merge(now, table.Members[0])
	for _, m := range table.Members[1:] {
		t.state.mergeTable(now, m)
	}
	owners, departures := t.state.mergeEntries(table.Owners, table.Departures)
	t.state.noRebroadcast = false
	refuted := t.state.self.Incarnation != oldIncarnation
	t.mu.Unlock()
	t.callHooks(table.Members[0], table.Revision, owners, departures, refuted)
}

// mergeEntries stores owners and departures and returns those that were new; it overwrites its arguments.
func (s *state) mergeEntries(owners []wire.Owner, departures []wire.Departure) ([]wire.Owner, []wire.Departure) {
	owners = slices.DeleteFunc(owners, func(o wire.Owner) bool { return !s.setOwner(o) })
	departures = slices.DeleteFunc(departures, func(d wire.Departure) bool { return !s.setDeparture(d) })
	return owners, departures
}

// callHooks runs after a merge without locks held: it counts a refutation, requests a push if needed, and calls the
// callbacks for new entries.
func (t *Table) callHooks(from wire.Member, rev int64, owners []wire.Owner, departures []wire.Departure, refuted bool) {
	if refuted {
		t.Stats.CountEvent(eventRefuted)
	}
	t.pushIfRequested()
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
