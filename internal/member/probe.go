package member

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

const (
	// Counters in stats.Set.Events.
	eventMissed   = "member_probe_missed"
	eventRefuted  = "member_refuted"
	eventSync     = "member_table_exchange"
	eventMismatch = "member_name_mismatch"

	pingTimeout = 500 * time.Millisecond
	// probeTimeout covers the ping by the intermediary (pingTimeout) and the call to the intermediary.
	probeTimeout = time.Second
	tableTimeout = 3 * time.Second
	// maxIntermediaries is how many other members ping a member that has not responded.
	maxIntermediaries = 2
	// maxProbeAge exceeds the longest probe; a missed probe that took longer is ignored, because this process was
	// paused meanwhile.
	maxProbeAge = 3 * time.Second
	// More than pauseIntervals intervals between two ticks mean that the process was paused.
	pauseIntervals = 3

	// minPushInterval limits the rate of pushes; changes in between are sent together.
	minPushInterval = 200 * time.Millisecond
	// pushTargets is how many members a push pings; gossip sends the changes on.
	pushTargets = 3
	// maxDisputedPings limits the pings to disputed members per tick.
	maxDisputedPings = 5

	initialJoinBackoff    = time.Second
	maxJoinBackoff        = 5 * time.Second
	requiredJoinResponses = 3
	// rejoinInterval is the mean time between table exchanges with unknown addresses. A dial to a dead address sends
	// 8.6 KB of handshake packets (cmd/scale quic), or 290 B/s at this interval while the table holds such an address.
	rejoinInterval = 30 * time.Second
	// digestTolerance is how long digests may differ before full tables are exchanged. Gossip reaches all hosts within
	// about 8 s, so a longer difference means that an update was lost. syncInterval is the minimum time between
	// exchanges.
	digestTolerance = 10 * time.Second
	syncInterval    = 30 * time.Second
	// requiredMatches is how many pings in a row must have arrived with the digest of this host before its updates
	// count as known to all hosts and are dropped. Without this, the updates of 370 hosts that start together would
	// fill pings for over 5 minutes.
	requiredMatches = 10
	// In the first startupTime of a host, tables are exchanged sooner and more often: when many hosts start together,
	// pings of 600 bytes cannot carry the records of all of them fast enough.
	startupTime          = 30 * time.Second
	startDigestTolerance = 2 * time.Second
	startSyncInterval    = 4 * time.Second
)

// tick starts the periodic ping and the pings, joins and table exchanges that are due. elapsed is the time since the
// last tick; t.mu must not be held.
func (t *Table) tick(now time.Time, elapsed time.Duration, spawn func(func(context.Context))) {
	var dynamicSeeds []string
	if t.DynamicSeeds != nil {
		dynamicSeeds = t.DynamicSeeds()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if elapsed > pauseIntervals*t.Interval {
		t.state.extendSuspicions(elapsed)
	}
	t.state.expire(now)
	if m, ok := t.ring.pick(t.state, t.Fanout, t.Rand); ok {
		spawn(func(ctx context.Context) { t.probe(ctx, m) })
	}
	for _, m := range t.disputedMembers() {
		spawn(func(ctx context.Context) { _ = t.ping(ctx, m) })
	}
	t.joinOrRejoin(now, dynamicSeeds, spawn)
}

// disputedMembers returns up to maxDisputedPings disputed members. The ping to each carries its reported state, so
// that it can refute it.
func (t *Table) disputedMembers() []wire.Member {
	var out []wire.Member
	for _, name := range sortedKeys(t.state.disputed) {
		if len(out) == maxDisputedPings {
			break
		}
		m := t.state.disputed[name]
		if r := t.state.members[name]; r != nil {
			m.Addr = r.member.Addr
		}
		out = append(out, m)
	}
	return out
}

// joinOrRejoin starts an attempt to join, if one is due and none is running, while this host has not joined or has no
// reachable members. If it has reachable members and starts no attempt, it exchanges tables from time to time with one
// address of a seed or dead member, because a partition may have split the hosts into groups that do not ping each
// other.
func (t *Table) joinOrRejoin(now time.Time, dynamicSeeds []string, spawn func(func(context.Context))) {
	noReachable := t.state.noReachableMembers()
	switch {
	case (noReachable || !t.hasJoined) && !t.isJoining && !now.Before(t.joinAt):
		t.isJoining = true
		addrs := t.unknownAddrs(dynamicSeeds)
		spawn(func(ctx context.Context) { t.join(ctx, addrs) })
	case !noReachable && t.rejoinAt.IsZero():
		t.rejoinAt = now.Add(rejoinInterval/2 + t.randomDuration(rejoinInterval))
	case !noReachable && !now.Before(t.rejoinAt):
		t.rejoinAt = now.Add(rejoinInterval/2 + t.randomDuration(rejoinInterval))
		if addrs := t.unknownAddrs(dynamicSeeds); len(addrs) > 0 {
			spawn(func(ctx context.Context) { _ = t.exchangeTables(ctx, addrs[0], true) })
		}
	}
}

// unknownAddrs returns the addresses of seeds and dead members in random order, without those of members that are not
// dead.
func (t *Table) unknownAddrs(dynamicSeeds []string) []string {
	var addrs []string
	add := func(list ...string) {
		for _, a := range list {
			if a != t.state.self.Addr && !slices.Contains(addrs, a) {
				addrs = append(addrs, a)
			}
		}
	}
	add(t.Seeds...)
	add(dynamicSeeds...)
	liveAddrs := make(map[string]bool)
	for _, name := range sortedKeys(t.state.members) {
		m := t.state.members[name].member
		if m.State == wire.Dead {
			add(m.Addr)
		} else {
			liveAddrs[m.Addr] = true
		}
	}
	addrs = slices.DeleteFunc(addrs, func(a string) bool { return liveAddrs[a] })
	t.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

// randomDuration returns a random duration in [0, d); unlike jitter, it needs t.mu to be held.
func (t *Table) randomDuration(d time.Duration) time.Duration {
	return time.Duration(t.Rand.Int64N(int64(d)))
}

// join exchanges tables with one address after the other until requiredJoinResponses have responded. If none responds,
// it sets the time of the next attempt. More than one response is needed because hosts that start together reach
// different seeds first, and could otherwise form separate groups.
func (t *Table) join(ctx context.Context, addrs []string) {
	responses := 0
	for _, addr := range addrs {
		if ctx.Err() != nil || responses == requiredJoinResponses {
			break
		}
		if t.exchangeTables(ctx, addr, false) == nil {
			responses++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isJoining = false
	// If another host has contacted this one, it counts as joined, and unresponsive seeds are tried at the longer
	// rejoinInterval only.
	if responses > 0 || !t.state.noReachableMembers() {
		t.hasJoined, t.joinBackoff = true, 0
		return
	}
	t.joinBackoff = min(max(2*t.joinBackoff, initialJoinBackoff), maxJoinBackoff)
	t.joinAt = time.Now().Add(t.joinBackoff/2 + t.randomDuration(t.joinBackoff))
}

// exchangeTables sends the record of this host, or the full table if full is set, and merges the table in the response.
func (t *Table) exchangeTables(ctx context.Context, addr string, full bool) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	t.Stats.CountEvent(eventSync)
	t.mu.Lock()
	// A joining host receives entries that the other hosts already have, so it need not send them on. A full exchange
	// may connect two groups of hosts, and then each group lacks the entries of the other.
	noRebroadcast := !full && t.state.noReachableMembers()
	t.mu.Unlock()
	req := t.fullTable()
	oldIncarnation := req.Members[0].Incarnation
	if !full {
		req = wire.Table{Revision: req.Revision, Members: req.Members[:1]}
	}
	var resp wire.Table
	if err := wire.Call(ctx, t.Dialer, addr, wire.KindJoin, req, &resp); err != nil {
		return err
	}
	if len(resp.Members) == 0 {
		return errors.New("peer sent an empty table")
	}
	t.mergeTable(resp, noRebroadcast)
	t.mu.Lock()
	refuted := t.state.self.Incarnation != oldIncarnation
	t.mu.Unlock()
	// The peer reported a wrong state of this host; the ping sends the refutation at once.
	if refuted {
		return t.ping(ctx, resp.Members[0])
	}
	return nil
}

// probe pings a member, directly and then through intermediaries, and suspects it if there is no response.
func (t *Table) probe(ctx context.Context, m wire.Member) {
	started := time.Now()
	if t.ping(ctx, m) == nil || t.probeIndirectly(ctx, m) || ctx.Err() != nil {
		return
	}
	now := time.Now()
	if now.Sub(started) > maxProbeAge {
		return
	}
	t.Stats.CountEvent(eventMissed)
	t.mu.Lock()
	t.state.suspect(now, m)
	t.mu.Unlock()
	t.pushIfRequested()
}

// probeIndirectly lets intermediaries ping a member, and reports whether one of them got a response.
func (t *Table) probeIndirectly(ctx context.Context, m wire.Member) bool {
	t.mu.Lock()
	intermediaries := t.ring.sample(t.state, t.Fanout, maxIntermediaries+1, t.Rand)
	t.mu.Unlock()
	intermediaries = slices.DeleteFunc(intermediaries, func(h wire.Member) bool { return h.Name == m.Name })
	intermediaries = intermediaries[:min(len(intermediaries), maxIntermediaries)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, len(intermediaries))
	for _, h := range intermediaries {
		go func() {
			var resp wire.ProbeResult
			err := wire.Call(ctx, t.Dialer, h.Addr, wire.KindProbe, wire.Probe{Target: m}, &resp)
			results <- err == nil && resp.OK
		}()
	}
	for range intermediaries {
		if <-results {
			return true
		}
	}
	return false
}

// ping exchanges gossip with one member. It fails if the host at the address has another name.
func (t *Table) ping(ctx context.Context, m wire.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var resp wire.Ping
	err := wire.Call(ctx, t.Dialer, m.Addr, wire.KindPing, t.newPing(m.Name), &resp)
	t.mu.Lock()
	delete(t.state.disputed, m.Name)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	t.mergePing(resp)
	if resp.From.Name != m.Name {
		// The address now belongs to another host.
		t.Stats.CountEvent(eventMismatch)
		return errors.Errorf("host %q responded to a ping for %q", resp.From.Name, m.Name)
	}
	t.compareDigest(ctx, m, resp.Digest)
	return nil
}

// compareDigest exchanges full tables with a peer once the digests of peers have differed for longer than tolerated. A
// digest of zero counts as equal.
func (t *Table) compareDigest(ctx context.Context, m wire.Member, digest uint64) {
	now := time.Now()
	t.mu.Lock()
	tolerance, interval := digestTolerance, syncInterval
	if now.Sub(t.started) < startupTime {
		tolerance, interval = startDigestTolerance, startSyncInterval
	}
	due := false
	switch {
	case digest == 0 || digest == t.state.digest:
		t.differSince = time.Time{}
	case t.differSince.IsZero():
		t.differSince = now
	case now.Sub(t.differSince) >= tolerance && !now.Before(t.syncAt):
		due = true
		t.syncAt = now.Add(interval)
	}
	t.mu.Unlock()
	if due {
		_ = t.exchangeTables(context.WithoutCancel(ctx), m.Addr, true)
	}
}

// push pings a few random members, so that they receive urgent changes before the next periodic ping.
func (t *Table) push(spawn func(func(context.Context))) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.ring.sample(t.state, t.Fanout, pushTargets, t.Rand) {
		spawn(func(ctx context.Context) { _ = t.ping(ctx, m) })
	}
}
