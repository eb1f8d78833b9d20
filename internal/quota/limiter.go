package quota

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/rendez"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// tolerance is the error of sums of units that is disregarded.
	tolerance = 1e-6
	// shareInterval is the time between two computations of a leader's share while no follower joins or reports.
	shareInterval = 50 * time.Millisecond
	// rankAge is how long a position among the hosts is used before it is computed again.
	rankAge = 10 * time.Second
)

type (
	// Limiter decides which calls of a host the quotas allow, and on the leader which calls of all hosts. Its exported
	// fields are set before use. It is not safe for concurrent use.
	Limiter struct {
		Self   string
		Bounds Bounds
		// Hosts returns the registered hosts.
		Hosts func() []topo.Host
		Log   zerolog.Logger
		// Count counts an event; nil does nothing.
		Count func(event string)

		list       []topo.Workspace // active configuration
		quotas     map[string]topo.Quota
		boot       time.Duration // at the last update
		hosts      float64       // hosts that may be sending calls
		epoch      uint64        // changes when accounts are replaced by others
		leader     *accounts     // nil while this host does not lead
		termBoot   time.Duration // start of the term
		shareAt    time.Duration // boot time when the share of the leader's accounts was computed; 0 if it has changed
		locals     *locals
		part       part
		freeAt     time.Duration // boot time from which on no leader counts the part of this host
		lentTo     string        // leadership to which the part was last lent
		following  string        // leadership that this host is connected to, or empty
		followed   string        // leadership that this host was last connected to
		view       view
		members    map[string]*member
		ranks      map[string]int // positions of this host, by workspace
		rankedAt   time.Duration  // boot time since which ranks holds
		exhaustion exhaustion
	}

	// Receipt is what a call was charged; its zero value is no charge.
	Receipt struct {
		workspace     string
		base, reserve float64
		epoch         uint64
	}
)

// SetWorkspaces applies a new configuration.
func (l *Limiter) SetWorkspaces(now time.Time, list []topo.Workspace) {
	if len(list) == 0 && l.quotas == nil || len(list) > 0 && len(list) == len(l.list) && &list[0] == &l.list[0] {
		return
	}
	l.init()
	l.list = list
	quotas := make(map[string]topo.Quota)
	for i := range list {
		if w := &list[i]; w.Quota.Limited() {
			quotas[w.Name] = w.Quota
		}
	}
	if l.locals.started.IsZero() {
		l.locals.started = now
	}
	l.quotas = quotas
	l.locals.setQuotas(now, quotas)
	switch {
	case len(quotas) == 0:
		l.leader = nil
	case l.leader != nil:
		l.leader.setQuotas(now, quotas)
	}
	for name := range l.view.pending {
		if _, ok := quotas[name]; !ok {
			delete(l.view.pending, name)
		}
	}
}

func (l *Limiter) init() {
	if l.locals != nil {
		return
	}
	l.locals = &locals{bounds: &l.Bounds, byName: make(map[string]*local)}
	l.members, l.view, l.hosts = make(map[string]*member), newView(), 1
	l.part.hosts, l.part.rank = 1, l.rank
}

// Active reports whether any workspace has a quota.
func (l *Limiter) Active() bool { return l != nil && len(l.quotas) > 0 }

// Limits reports whether the calls of a workspace are limited.
func (l *Limiter) Limits(workspace string) bool {
	if l == nil || workspace == "" || len(l.quotas) == 0 {
		return false
	}
	_, ok := l.quotas[workspace]
	return ok
}

// Update sets the current time, by the monotonic clock and since boot, whether this host leads, and the number of hosts
// that may be sending calls. It is called before every other method that uses them.
func (l *Limiter) Update(now time.Time, boot time.Duration, leads bool, hosts int) {
	if !l.Active() {
		return
	}
	if l.boot == 0 {
		// An earlier process of this host may have lent its part just before it ended.
		l.freeAt = boot + lendTime
	}
	if n := float64(max(hosts, 1)); n != l.hosts {
		l.hosts, l.part.hosts, l.shareAt, l.ranks = n, n, 0, nil
	}
	l.boot = boot
	if leads != (l.leader != nil) {
		l.changeRole(now, leads)
	}
	if leads {
		l.updateShare(now)
		return
	}
	if alone := l.boot >= l.freeAt; alone && l.part.since.IsZero() {
		l.part.since = now
	} else if !alone {
		l.part.since = time.Time{}
	}
}

// changeRole starts or ends a term of this host as the leader.
func (l *Limiter) changeRole(now time.Time, leads bool) {
	l.epoch++
	l.shareAt = 0
	l.part.since = time.Time{}
	l.locals.surrender()
	for name := range l.members {
		l.members[name] = newMember()
	}
	if leads {
		l.leader, l.termBoot = newAccounts(now, &l.Bounds, l.quotas), l.boot
		return
	}
	l.leader = nil
}

// updateShare sets the share of the rate that belongs to the hosts that are connected to this leader, itself included.
func (l *Limiter) updateShare(now time.Time) {
	if l.shareAt > 0 && l.boot-l.shareAt < shareInterval {
		return
	}
	l.shareAt = l.boot
	connected := 0
	if l.boot >= l.freeAt {
		connected++
	}
	for _, f := range l.members {
		if f.counts(l.boot) {
			connected++
		}
	}
	l.leader.setShare(now, min(float64(connected)/l.hosts, 1))
}

// Leads reports whether this host keeps the accounts for all hosts.
func (l *Limiter) Leads() bool { return l.leader != nil }

// Lent reports whether the part of this host belongs to the leader that it is connected to.
func (l *Limiter) Lent() bool {
	return l.leader == nil && l.following != "" && l.lentTo == l.following && l.boot < l.freeAt
}

// Share returns the share of every quota's rate that the accounts of this host get.
func (l *Limiter) Share() float64 {
	switch {
	case l.leader != nil:
		return l.leader.share
	case !l.Active() || l.part.since.IsZero():
		return 0
	}
	return 1 / l.hosts
}

// Charge charges a call to an engine to the account of its workspace. If the account lacks the cost, Charge returns the
// time until it has it, and false.
func (l *Limiter) Charge(now time.Time, workspace string, cost float64) (Receipt, time.Duration, bool) {
	if !l.Limits(workspace) || cost <= 0 {
		return Receipt{}, 0, true
	}
	l.locals.byName[workspace].note(now, cost)
	r := Receipt{workspace: workspace, base: cost, epoch: l.epoch}
	var wait time.Duration
	var ok bool
	if l.leader != nil {
		wait, ok = l.leader.charge(now, l.leader.byName[workspace], cost)
	} else {
		r.base, r.reserve, wait, ok = l.locals.charge(now, workspace, cost, &l.part)
	}
	if !ok {
		l.refuse(now, workspace)
		return Receipt{}, wait, false
	}
	return r, 0, true
}

// Refund returns what a call was charged that will not be sent to any engine. What an account cannot hold is lost when
// it is next used.
func (l *Limiter) Refund(r Receipt) {
	if r == (Receipt{}) || r.epoch != l.epoch {
		return
	}
	if l.leader != nil {
		if a := l.leader.byName[r.workspace]; a != nil {
			a.level += r.base
		}
		return
	}
	if a := l.locals.byName[r.workspace]; a != nil {
		if a.reserve.level += r.reserve; !l.part.since.IsZero() {
			a.base.level += r.base
		}
	}
}

// ChargePlain charges a call to a plain service, as Charge does. A follower decides from what the leader has told.
func (l *Limiter) ChargePlain(now time.Time, workspace string, cost float64) (time.Duration, bool) {
	if !l.Limits(workspace) || cost <= 0 {
		return 0, true
	}
	if l.leader != nil || l.following == "" || l.boot >= l.freeAt {
		_, wait, ok := l.Charge(now, workspace, cost)
		return wait, ok
	}
	q := l.quotas[workspace]
	wait, ok := l.view.charge(now, l.locals.started, &l.Bounds, workspace, &q, cost, l.hosts)
	if !ok {
		l.refuse(now, workspace)
	}
	return wait, ok
}

// Follow records a connection to a leader; leadership names its term.
func (l *Limiter) Follow(leadership string) {
	l.init()
	if l.view.requeue(); leadership != l.followed {
		// The accounts of a new leader start empty, which covers all earlier charges.
		l.view.pending = make(map[string]float64)
	}
	l.following, l.followed = leadership, leadership
	l.view.stamp, l.view.echoed, l.view.sequence = 0, 0, 0
	clear(l.view.standings)
}

// Unfollow records that the connection to the leader has ended. Closed is set if the leader closed it, which says that
// it does not count the part of this host any more.
func (l *Limiter) Unfollow(boot time.Duration, closed bool) {
	if l.following == "" {
		return
	}
	if closed && l.lentTo == l.following {
		l.freeAt = min(l.freeAt, boot)
	}
	l.following = ""
}

// Apply applies a message of the leader.
func (l *Limiter) Apply(now time.Time, m *Message) {
	if l.following == "" || m == nil {
		return
	}
	if m.Released {
		if l.lentTo == l.following && m.Stamp > l.view.echoed {
			l.freeAt = min(l.freeAt, l.boot)
		}
		return
	}
	l.view.apply(now, m)
}

// Report returns the message that is due to the leader, or nil. With the echo of a stamp this host lends its part of
// the rate to the leader, unless another leader may still count it.
func (l *Limiter) Report(now time.Time) *Message {
	if !l.Active() || l.following == "" || l.leader != nil {
		return nil
	}
	mayLend := l.boot >= l.freeAt || l.lentTo == "" || l.lentTo == l.following
	m := l.view.report(now, mayLend, func(workspace string) bool {
		q := l.quotas[workspace]
		return l.view.urgent(&l.Bounds, workspace, &q, l.hosts)
	})
	if m != nil && m.Stamp > 0 {
		if !l.part.since.IsZero() {
			l.part.since = time.Time{}
			l.locals.surrender()
			// What is refunded later must not come back to the base.
			l.epoch++
		}
		l.freeAt, l.lentTo = l.boot+lendTime, l.following
	}
	return m
}

// Join records the connection of a follower.
func (l *Limiter) Join(host string) {
	l.init()
	l.members[host] = newMember()
	l.shareAt = 0
}

// Leave records that the connection of a follower has ended.
func (l *Limiter) Leave(host string) {
	delete(l.members, host)
	l.shareAt = 0
}

// Receive applies a report of a follower.
func (l *Limiter) Receive(now time.Time, host string, m *Message) {
	f := l.members[host]
	if f == nil || l.leader == nil || m == nil {
		return
	}
	for _, c := range f.receive(now, l.boot, l.termBoot, m) {
		l.leader.debit(now, c.Workspace, float64(c.Units))
		q := l.quotas[c.Workspace]
		f.wantsAck = f.wantsAck || f.told[c.Workspace].scarce ||
			float64(c.Units) > smallReport*plentyLimit(&l.Bounds, &q)
	}
	if m.Stamp > 0 {
		l.shareAt = 0
		l.updateShare(now)
	}
}

// Message returns the message that is due to a follower, or nil.
func (l *Limiter) Message(now time.Time, host string) *Message {
	f := l.members[host]
	switch {
	case f == nil || !l.Active():
		return nil
	case l.leader != nil:
		return f.message(now, l.boot, l.leader)
	case f.released:
		return nil
	}
	f.released = true
	return &Message{Released: true, Stamp: int64(l.boot)}
}

// rank returns the position of this host in the order of all hosts for a workspace.
func (l *Limiter) rank(workspace string) int {
	if l.ranks == nil || l.boot-l.rankedAt > rankAge {
		l.ranks, l.rankedAt = make(map[string]int), l.boot
	}
	if n, ok := l.ranks[workspace]; ok {
		return n
	}
	names := []string{l.Self}
	if l.Hosts != nil {
		for _, h := range l.Hosts() {
			if h.Name != l.Self {
				names = append(names, h.Name)
			}
		}
	}
	n := slices.Index(rendez.Rank(workspace, names), l.Self)
	l.ranks[workspace] = n
	return n
}
