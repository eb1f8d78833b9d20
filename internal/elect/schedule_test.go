package elect

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/topo"
)

const (
	schedules        = 10_000
	scheduleTime     = 40 * time.Second
	scheduleTick     = 100 * time.Millisecond
	maxHosts         = 7
	testHandover     = 3 * time.Second
	testProbe        = 300 * time.Millisecond
	testAnswerExpiry = time.Second
	maxCopyAge       = 12 // seconds
)

// Ways in which the leader of a schedule extends its lease.
const (
	allPromise extension = iota
	mostConfirm
	noExtension
)

var errCut = errors.New("no connection")

type (
	extension int

	// schedule is a run of hosts that lose the store and each other at random.
	schedule struct {
		rng       *rand.Rand
		extension extension
		store     *stub.Store
		hosts     []*simHost
		started   time.Time
		down      bool // the store answers nobody
		restores  bool // the store comes back from older copies
		repeats   bool // hosts get changes and lists again that they have had
		copies    []*stub.Copy
		orders    []simOrder
	}

	// simHost is a machine; its embedded fields are those of the process that runs on it.
	simHost struct {
		name string
		run  *schedule
		*simProcess
		cutStore bool
		cutFrom  map[*simHost]bool // hosts that this host's messages do not reach
		frozen   bool
		slow     time.Duration // age of the copy of the store that this host follows
	}

	simProcess struct {
		*Elector
		promises  Promises
		dead      bool
		nextStep  time.Duration
		nextProbe time.Duration
		nextRead  time.Duration
		version   store.Version
		items     map[string]store.Item
		past      []pastState     // changes and lists that the host has had
		lapsed    map[string]bool // hosts that were registered before a restore
		confirmed time.Duration   // when most hosts have confirmed the outage
	}

	// pastState is a list of all items, or the changes up to a version.
	pastState struct {
		as     store.Version
		items  []store.Item
		events []store.Event
	}

	simOrder struct {
		at    time.Duration
		host  string
		token int64
	}

	// simStore is the store as one process reaches it.
	simStore struct {
		store.Store
		h *simHost
		p *simProcess
	}
)

func (s simStore) reaches() bool { return s.h.reachesStore() && s.h.simProcess == s.p && !s.p.dead }

func (s simStore) Commit(ctx context.Context, t store.Txn) (store.Version, error) {
	if !s.reaches() {
		return store.Version{}, store.ErrNotExecuted
	}
	return s.Store.Commit(ctx, t)
}

func (s simStore) Renew(ctx context.Context, l store.Lease) error {
	if !s.reaches() {
		return store.ErrNotExecuted
	}
	return s.Store.Renew(ctx, l)
}

func (s simStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if !s.reaches() {
		return store.Lease{}, store.ErrNotExecuted
	}
	return s.Store.Grant(ctx, ttl)
}

func (s simStore) Revoke(ctx context.Context, l store.Lease) error {
	if !s.reaches() {
		return store.ErrNotExecuted
	}
	return s.Store.Revoke(ctx, l)
}

func (h *simHost) reachesStore() bool { return !h.cutStore && !h.run.down }

func (s *schedule) now() time.Duration { return time.Since(s.started) + time.Second }

func (s *schedule) addHost() {
	h := &simHost{name: fmt.Sprint("h", len(s.hosts)), run: s, cutFrom: make(map[*simHost]bool)}
	s.start(h)
	s.hosts = append(s.hosts, h)
}

// start starts a new process on a machine.
func (s *schedule) start(h *simHost) {
	p := &simProcess{items: make(map[string]store.Item), lapsed: make(map[string]bool), confirmed: -testAnswerExpiry}
	p.promises.HandoverDelay = testHandover
	p.Elector = &Elector{
		Self: topo.Host{Name: h.name, Link: h.name}, Store: simStore{s.store, h, p}, Log: zerolog.Nop(),
		HandoverDelay: testHandover, Now: s.now, LeadershipChanged: func(bool) {},
		Rank: func(string) int { return s.rng.IntN(3) }, HasRun: s.now() > 2*time.Second,
		RequestStepDown: func(_ context.Context, earlier Leader, t Term) (time.Duration, error) {
			return s.stepDown(h, p, earlier, t)
		},
	}
	p.PromisedUntil = func(t Term) time.Duration {
		switch s.extension {
		case allPromise:
			return p.promises.Until(t)
		case mostConfirm:
			return p.confirmed + testAnswerExpiry
		default:
			return 0
		}
	}
	p.started = p.now()
	h.simProcess = p
}

func (s *schedule) stepDown(h *simHost, p *simProcess, earlier Leader, t Term) (time.Duration, error) {
	for _, o := range s.hosts {
		if o.name == earlier.Link && h.simProcess == p && o.reachable(h) && h.reachable(o) {
			if sinceLast, ok := o.StepDown(t); ok {
				return sinceLast, nil
			}
		}
	}
	return 0, errCut
}

// reachable reports whether messages of from reach the host.
func (h *simHost) reachable(from *simHost) bool { return !h.frozen && !h.dead && !from.cutFrom[h] }

// tick lets a host do what is due.
func (h *simHost) tick(ctx context.Context) {
	if h.frozen || h.dead {
		return
	}
	h.follow(ctx)
	now := h.now()
	if now >= h.nextStep {
		h.nextStep = now + h.step(ctx)
		synctest.Wait()
	}
	if t, leads := h.Term(); leads {
		switch {
		case !h.RenewalOverdue() && h.reachesStore() && h.slow < maxListAge:
			h.promises.SetHosts(now, h.others())
		case h.RenewalOverdue() && now >= h.nextProbe:
			h.nextProbe = now + testProbe
			h.promises.AddHosts(h.others())
			h.probe(now, t)
		}
	}
	if token, ok := h.Fence(); ok {
		h.run.orders = append(h.run.orders, simOrder{h.run.now(), h.name, token})
	}
}

// others returns the other hosts that are registered according to this host's copy.
func (h *simHost) others() []string {
	var names []string
	for key := range h.items {
		if name, ok := strings.CutPrefix(key, HostPrefix); ok && name != h.name {
			names = append(names, name)
		}
	}
	if h.RecentlyRestored() {
		for name := range h.lapsed {
			if _, listed := h.items[HostPrefix+name]; !listed && name != h.name {
				names = append(names, name)
			}
		}
	}
	return names
}

// follow applies the changes of the store, or of another host that knows newer ones.
func (h *simHost) follow(ctx context.Context) {
	now := h.now()
	if now < h.nextRead {
		return
	}
	h.nextRead = now + h.slow
	h.repeat()
	if !h.reachesStore() {
		o := h.run.hosts[h.run.rng.IntN(len(h.run.hosts))]
		if o.reachable(h) && h.reachable(o) && o.version.Compare(h.version) > 0 {
			h.replace(o.list(), o.version)
		}
		return
	}
	if h.version.Revision == 0 {
		if items, as, err := h.run.store.List(ctx, Prefix); err == nil {
			h.replace(items, as)
		}
		return
	}
	events, as, err := h.run.store.Watch(ctx, Prefix, h.version, 0)
	if err != nil || as.Era != h.version.Era {
		h.version = store.Version{}
		return
	}
	h.version = as
	for _, e := range events {
		h.items[e.Key] = e.Item
		if e.Deleted {
			delete(h.items, e.Key)
		}
	}
	h.Apply(as.Era, events)
	h.past = append(h.past, pastState{as: as, events: events})
	if len(events) > 0 {
		h.nextStep = 0
	}
}

func (h *simHost) list() []store.Item {
	items := make([]store.Item, 0, len(h.items))
	for _, it := range h.items {
		items = append(items, it)
	}
	return items
}

func (h *simHost) replace(items []store.Item, as store.Version) {
	for key := range h.items {
		if name, ok := strings.CutPrefix(key, HostPrefix); ok {
			h.lapsed[name] = true
		}
	}
	clear(h.items)
	for _, it := range items {
		h.items[it.Key] = it
	}
	h.version, h.nextStep = as, 0
	h.Replace(as, items)
	h.past = append(h.past, pastState{as: as, items: items})
}

// repeat lets the host get a change or a list again, as from a source that was suspended.
func (h *simHost) repeat() {
	if !h.run.repeats || len(h.past) == 0 || h.run.rng.IntN(3) > 0 {
		return
	}
	switch p := h.past[h.run.rng.IntN(len(h.past))]; {
	case p.items != nil:
		h.Replace(p.as, p.items)
	default:
		h.Apply(p.as.Era, p.events)
	}
}

// probe asks the other hosts for their promises, or whether they reach the store.
func (h *simHost) probe(now time.Duration, t Term) {
	unreachable, reaches, hosts := 0, false, 0
	for _, o := range h.run.hosts {
		if o == h {
			continue
		}
		hosts++
		if !o.reachable(h) || !h.reachable(o) {
			continue
		}
		if slices.Contains(h.others(), o.name) && o.Promise(t.Nonce) {
			h.promises.Record(t, o.name, now, now)
		}
		reaches = reaches || o.reachesStore()
		if !o.reachesStore() {
			unreachable++
		}
	}
	if 2*unreachable > hosts && !reaches && !h.reachesStore() {
		h.confirmed = now
	}
}

// disrupt begins or ends a fault.
func (s *schedule) disrupt(ctx context.Context) {
	h := s.hosts[s.rng.IntN(len(s.hosts))]
	o := s.hosts[s.rng.IntN(len(s.hosts))]
	kinds := 13
	if s.restores {
		kinds = 16
	}
	switch s.rng.IntN(kinds) {
	case 0, 1: // all but one lose the store and that one
		for _, o := range s.hosts {
			o.cutStore = o != h
			o.cutFrom = make(map[*simHost]bool)
			if o != h {
				o.cutFrom[h], h.cutFrom[o] = true, true
			}
		}
	case 2:
		s.down = !s.down
	case 3:
		h.frozen = !h.frozen
	case 4: // killed, or started again
		if h.dead {
			s.start(h)
		} else {
			h.dead = true
		}
	case 5: // restarted at once
		s.start(h)
	case 6: // stopped in a planned way, and started again
		h.Leave(ctx)
		s.start(h)
	case 7:
		h.cutFrom[o] = !h.cutFrom[o]
	case 8:
		h.cutStore = !h.cutStore
	case 9:
		for _, o := range s.hosts {
			o.cutStore, o.frozen, o.slow, o.cutFrom = false, false, 0, make(map[*simHost]bool)
		}
		s.down = false
	case 10:
		for _, o := range s.hosts {
			o.cutStore = s.rng.IntN(2) == 0
		}
	case 11:
		h.slow = time.Duration(s.rng.Int64N(int64(maxListAge)))
	case 12: // a new host, that only reaches the store
		if len(s.hosts) < maxHosts {
			s.addHost()
			added := s.hosts[len(s.hosts)-1]
			for _, o := range s.hosts[:len(s.hosts)-1] {
				if s.rng.IntN(3) > 0 {
					o.cutFrom[added], added.cutFrom[o] = true, true
				}
			}
		}
	case 13, 14, 15:
		s.restore()
	}
}

// restore brings the store back from a copy of the last seconds, to which others then write.
func (s *schedule) restore() {
	s.store.Restore(s.copies[len(s.copies)-1-s.rng.IntN(min(len(s.copies), maxCopyAge))])
	s.down = s.rng.IntN(3) == 0
	for range s.rng.IntN(30) {
		s.store.Set("other", "")
	}
}

// play runs the schedule and returns what is wrong with its orders, or an empty string.
func (s *schedule) play() string {
	ctx := context.Background()
	s.started, s.store = time.Now(), &stub.Store{}
	for range 3 + s.rng.IntN(3) {
		s.addHost()
	}
	next := 4 * time.Second
	if s.rng.IntN(2) == 0 {
		next += knownTime
	}
	copyAt := time.Duration(0)
	for s.now() < scheduleTime {
		if s.restores && s.now() >= copyAt {
			copyAt = s.now() + time.Second
			s.copies = append(s.copies, s.store.Copy())
		}
		if s.now() > next {
			s.disrupt(ctx)
			next = s.now() + time.Duration(s.rng.Int64N(int64(4*time.Second)))
		}
		for _, i := range s.rng.Perm(len(s.hosts)) {
			s.hosts[i].tick(ctx)
		}
		time.Sleep(scheduleTick)
	}
	last := make(map[string]time.Duration)
	highest := int64(0)
	for _, o := range s.orders {
		if o.token < highest {
			return fmt.Sprintf("%s sent an order with token %d after token %d at %v", o.host, o.token, highest, o.at)
		}
		for host, at := range last {
			if host != o.host && o.at-at < testHandover {
				return fmt.Sprintf("%s sent an order %v after %s at %v", o.host, o.at-at, host, o.at)
			}
		}
		highest, last[o.host] = o.token, o.at
	}
	return ""
}

// Guards against orders of two leaders: a leader that has lost the store goes on although a host that it does not reach
// leads, or a new leader begins before the orders of all earlier ones have ended. Hosts lose the store, each other in
// one or both directions, freeze, die, restart, stop and join in random schedules. The schedules find the fault of a
// leader that takes the word of most hosts. In some, the store comes back from copies of the last seconds, which have
// lost records of leaders, and gives out revisions and leases again.
func TestOneLeader(t *testing.T) {
	for _, tt := range []struct {
		name      string
		extension extension
		restores  bool
		repeats   bool
		runs      uint64
		faulty    bool // two leaders are found in some run
	}{
		{"all hosts promise", allPromise, false, false, schedules, false},
		{"no extension", noExtension, false, false, schedules / 10, false},
		{"most hosts confirm an outage", mostConfirm, false, false, schedules / 10, true},
		{"the store is restored", allPromise, true, false, schedules / 10, false},
		{"the store is restored, no extension", noExtension, true, false, schedules / 20, false},
		{"old changes come again", allPromise, false, true, schedules / 10, false},
		{"old changes come again, the store is restored", noExtension, true, true, schedules / 20, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			found := make([]string, tt.runs)
			orders := make([]int, tt.runs)
			t.Run("runs", func(t *testing.T) {
				const shards = 8
				for shard := range uint64(shards) {
					t.Run(fmt.Sprint(shard), func(t *testing.T) {
						t.Parallel()
						for seed := shard; seed < tt.runs; seed += shards {
							synctest.Test(t, func(*testing.T) {
								s := &schedule{
									rng: rand.New(rand.NewPCG(seed, 7)), extension: tt.extension, restores: tt.restores,
									repeats: tt.repeats,
								}
								found[seed], orders[seed] = s.play(), len(s.orders)
							})
						}
					})
				}
			})
			faults, total := 0, 0
			for seed, problem := range found {
				total += orders[seed]
				if problem == "" {
					continue
				}
				if faults++; !tt.faulty && faults <= 5 {
					t.Errorf("seed %d: %s", seed, problem)
				}
			}
			t.Logf("%d of %d runs with two leaders, %d orders", faults, tt.runs, total)
			if tt.faulty != (faults > 0) {
				t.Errorf("%d of %d runs with two leaders", faults, tt.runs)
			}
		})
	}
}
