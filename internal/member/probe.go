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
	// probeTimeout leaves a helper its own ping and the way to it and back.
	probeTimeout = time.Second
	tableTimeout = 3 * time.Second
	helpers      = 2
	// staleProbe exceeds the longest probe; a result that took longer was held up by a pause of this process.
	staleProbe = 3 * time.Second
	// pausedTicks is how many intervals may pass between two ticks before the process counts as paused.
	pausedTicks = 3

	pushGap    = 200 * time.Millisecond
	pushedTo   = 3
	challenges = 5

	joinRetry    = time.Second
	joinRetryMax = 5 * time.Second
	joinAnswers  = 3
	// A dial to a dead address sends 8.6 KB of handshake packets (cmd/scale quic), or 290 B/s while one is remembered.
	healInterval = 30 * time.Second
	// Gossip reaches all hosts within about 8 s, so that a longer difference means that something was missed.
	differAfter  = 10 * time.Second
	syncInterval = 30 * time.Second
	// agreement is how many pings in a row must come from hosts that had the same table before, until its news counts
	// as known everywhere. Without it, a start of all 370 hosts would fill pings for over 5 minutes.
	agreement = 10
	// While many hosts start together, gossip of 600 bytes is too narrow for all of them.
	startPhase        = 30 * time.Second
	startDifferAfter  = 2 * time.Second
	startSyncInterval = 4 * time.Second
)

// tick starts what is due; gap is the time since the last tick.
func (t *Table) tick(now time.Time, gap time.Duration, spawn func(func(context.Context))) {
	var listed []string
	if t.DynamicSeeds != nil {
		listed = t.DynamicSeeds()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if gap > pausedTicks*t.Interval {
		t.state.postpone(gap)
	}
	t.state.expire(now)
	if m, ok := t.ring.pick(t.state, t.Fanout, t.Rand); ok {
		spawn(func(ctx context.Context) { t.probe(ctx, m) })
	}
	for _, m := range t.challenged() {
		spawn(func(ctx context.Context) { _ = t.ping(ctx, m) })
	}
	t.contact(now, listed, spawn)
}

// challenged takes a few disputed members, who are told what is claimed about them and settle it by refuting.
func (t *Table) challenged() []wire.Member {
	var out []wire.Member
	for _, name := range sortedKeys(t.state.disputed) {
		if len(out) == challenges {
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

// contact joins after the start and while no other host is known, and else tries a stranger now and then, who may be
// behind a partition.
func (t *Table) contact(now time.Time, listed []string, spawn func(func(context.Context))) {
	alone := t.state.alone()
	switch {
	case (alone || !t.joined) && !t.joining && !now.Before(t.joinAt):
		t.joining = true
		addrs := t.strangers(listed)
		spawn(func(ctx context.Context) { t.join(ctx, addrs) })
	case !alone && t.healAt.IsZero():
		t.healAt = now.Add(healInterval/2 + t.randomPart(healInterval))
	case !alone && !now.Before(t.healAt):
		t.healAt = now.Add(healInterval/2 + t.randomPart(healInterval))
		if addrs := t.strangers(listed); len(addrs) > 0 {
			spawn(func(ctx context.Context) { _ = t.exchangeTables(ctx, addrs[0], true) })
		}
	}
}

// strangers returns the addresses of seeds and dead members that no live member has, in random order.
func (t *Table) strangers(listed []string) []string {
	var addrs []string
	add := func(list ...string) {
		for _, a := range list {
			if a != t.state.self.Addr && !slices.Contains(addrs, a) {
				addrs = append(addrs, a)
			}
		}
	}
	add(t.Seeds...)
	add(listed...)
	live := make(map[string]bool)
	for _, name := range sortedKeys(t.state.members) {
		m := t.state.members[name].member
		if m.State == wire.Dead {
			add(m.Addr)
		} else {
			live[m.Addr] = true
		}
	}
	addrs = slices.DeleteFunc(addrs, func(a string) bool { return live[a] })
	t.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs
}

func (t *Table) randomPart(d time.Duration) time.Duration {
	return time.Duration(t.Rand.Int64N(int64(d)))
}

// join asks one address after the other until enough have answered; without any answer, it sets the time of the next
// attempt. Hosts that start together find different seeds first, so one answer could leave them in separate groups.
func (t *Table) join(ctx context.Context, addrs []string) {
	answers := 0
	for _, addr := range addrs {
		if ctx.Err() != nil || answers == joinAnswers {
			break
		}
		if t.exchangeTables(ctx, addr, false) == nil {
			answers++
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.joining = false
	// A host that others have found leaves seeds that do not answer to the slower attempts of contact.
	if answers > 0 || !t.state.alone() {
		t.joined, t.joinWait = true, 0
		return
	}
	t.joinWait = min(max(2*t.joinWait, joinRetry), joinRetryMax)
	t.joinAt = time.Now().Add(t.joinWait/2 + t.randomPart(t.joinWait))
}

// exchangeTables sends the own record, or the whole table, and merges the table that comes back.
func (t *Table) exchangeTables(ctx context.Context, addr string, whole bool) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	t.Stats.CountEvent(eventSync)
	t.mu.Lock()
	// What a host without a table learns is known elsewhere; what joins two groups is news to both.
	quiet := !whole && t.state.alone()
	t.mu.Unlock()
	req := t.wholeTable()
	before := req.Members[0].Incarnation
	if !whole {
		req = wire.Table{Revision: req.Revision, Members: req.Members[:1]}
	}
	var resp wire.Table
	if err := wire.Call(ctx, t.Dialer, addr, wire.KindJoin, req, &resp); err != nil {
		return err
	}
	if len(resp.Members) == 0 {
		return errors.New("peer sent an empty table")
	}
	t.absorbTable(resp, quiet)
	t.mu.Lock()
	refuted := t.state.self.Incarnation != before
	t.mu.Unlock()
	if refuted {
		return t.ping(ctx, resp.Members[0])
	}
	return nil
}

// probe pings a member, directly and then through others, and suspects it if there is no answer.
func (t *Table) probe(ctx context.Context, m wire.Member) {
	started := time.Now()
	if t.ping(ctx, m) == nil || t.probeIndirectly(ctx, m) || ctx.Err() != nil {
		return
	}
	now := time.Now()
	if now.Sub(started) > staleProbe {
		return
	}
	t.Stats.CountEvent(eventMissed)
	t.mu.Lock()
	t.state.suspect(now, m)
	t.mu.Unlock()
	t.pokeIfUrgent()
}

func (t *Table) probeIndirectly(ctx context.Context, m wire.Member) bool {
	t.mu.Lock()
	through := t.ring.sample(t.state, t.Fanout, helpers+1, t.Rand)
	t.mu.Unlock()
	through = slices.DeleteFunc(through, func(h wire.Member) bool { return h.Name == m.Name })
	through = through[:min(len(through), helpers)]
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	results := make(chan bool, len(through))
	for _, h := range through {
		go func() {
			var resp wire.ProbeResult
			err := wire.Call(ctx, t.Dialer, h.Addr, wire.KindProbe, wire.Probe{Target: m}, &resp)
			results <- err == nil && resp.OK
		}()
	}
	for range through {
		if <-results {
			return true
		}
	}
	return false
}

// ping exchanges gossip with one member.
func (t *Table) ping(ctx context.Context, m wire.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var resp wire.Ping
	err := wire.Call(ctx, t.Dialer, m.Addr, wire.KindPing, t.compose(m.Name), &resp)
	t.mu.Lock()
	delete(t.state.disputed, m.Name)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	t.absorb(resp)
	if resp.From.Name != m.Name {
		// Another host has taken over the address.
		t.Stats.CountEvent(eventMismatch)
		return errors.Errorf("host %q answered a ping to %q", resp.From.Name, m.Name)
	}
	t.compare(ctx, m, resp.Digest)
	return nil
}

// compare exchanges whole tables with a peer after they have differed for long.
func (t *Table) compare(ctx context.Context, m wire.Member, digest uint64) {
	now := time.Now()
	t.mu.Lock()
	patience, interval := differAfter, syncInterval
	if now.Sub(t.started) < startPhase {
		patience, interval = startDifferAfter, startSyncInterval
	}
	due := false
	switch {
	case digest == 0 || digest == t.state.digest:
		t.differ = time.Time{}
	case t.differ.IsZero():
		t.differ = now
	case now.Sub(t.differ) >= patience && !now.Before(t.syncAt):
		due = true
		t.syncAt = now.Add(interval)
	}
	t.mu.Unlock()
	if due {
		_ = t.exchangeTables(context.WithoutCancel(ctx), m.Addr, true)
	}
}

// push tells a few random members of urgent changes at once.
func (t *Table) push(spawn func(func(context.Context))) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.ring.sample(t.state, t.Fanout, pushedTo, t.Rand) {
		spawn(func(ctx context.Context) { _ = t.ping(ctx, m) })
	}
}
