package host

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// watchers is how many hosts watch the store for all others, in different failure domains where possible.
	watchers = 2
	// holdTime is how long a host keeps a question for news that it has no answer to.
	holdTime = 2 * time.Second
	// answerTime is how much longer the answer may take.
	answerTime = 400 * time.Millisecond
	// sourcePause is the pause before a lost source is tried again.
	sourcePause = 250 * time.Millisecond
	// witnesses is how many hosts are asked whether the store is away for them too, of which leastLost must say so;
	// their answers count for vouchAge.
	witnesses = 4
	leastLost = 2
	vouchAge  = time.Second
	// urgentEvery is how often any host is asked for news while the store does not answer this one.
	urgentEvery = 300 * time.Millisecond
)

var errSourceFails = errors.New("the source has lost the store")

// relay spreads what the store tells: a few hosts watch the store and all listen to these. A host without a source that
// reaches the store watches itself.
type relay struct {
	self topo.Host
	view *view
	seat *elect.Elector
	// seeds are the addresses of hosts to ask before any is known.
	seeds []string
	stats *stats.Set
	log   zerolog.Logger
	// now is the time that goes on while the machine is suspended.
	now func() time.Duration

	mu    sync.Mutex
	heard map[string]bool // sources that answer and have the store
	vouch time.Duration   // boot time at which other hosts last said that the store is away, 0 before
}

// failing reports whether this host has lost the store.
func (r *relay) failing() bool { return r.view.failing() || r.seat.StoreUnreachable() }

// vouched reports whether other hosts have just said that they have lost the store too. Boot time counts a suspension
// of this machine, in which another host may have taken the seat.
func (r *relay) vouched() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vouch > 0 && r.now()-r.vouch < vouchAge
}

// askWitnesses asks some hosts whether they have the store, and notes when none of them has.
func (r *relay) askWitnesses(ctx context.Context) {
	hosts := r.others()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:min(len(hosts), witnesses)]
	if len(hosts) == 0 {
		return
	}
	asked := r.now()
	answers := make(chan error, len(hosts))
	for _, o := range hosts {
		go func() { answers <- r.askOnce(ctx, o.Link) }()
	}
	results := make([]error, 0, len(hosts))
	for range hosts {
		results = append(results, <-answers)
	}
	if awayForAll(results) {
		r.mu.Lock()
		r.vouch = asked
		r.mu.Unlock()
	}
}

// awayForAll reports whether most witnesses say that they have lost the store and none has it, as a host that has it
// could have taken the seat.
func awayForAll(answers []error) bool {
	lost := 0
	for _, err := range answers {
		switch {
		case err == nil:
			return false
		case errors.Is(err, errSourceFails):
			lost++
		}
	}
	return 2*lost > len(answers) && lost >= min(leastLost, len(answers))
}

// setSeeds replaces the addresses to ask before any host is known.
func (r *relay) setSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seeds = seeds
}

func (r *relay) others() []topo.Host {
	return slices.DeleteFunc(r.view.Hosts(), func(o topo.Host) bool { return o.Name == r.self.Name })
}

// direct reports whether this host watches the store itself.
func (r *relay) direct() bool {
	if _, watching := r.sources(); watching {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.heard) == 0
}

// sources returns the hosts to listen to, and whether this host is one that watches.
func (r *relay) sources() ([]topo.Host, bool) {
	hosts := r.view.Hosts()
	slices.SortFunc(hosts, func(a, b topo.Host) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	watching := false
	out := make([]topo.Host, 0, watchers)
	for _, o := range watchersOf(hosts) {
		if o.Name == r.self.Name {
			watching = true
			continue
		}
		out = append(out, o)
	}
	return out, watching
}

// watchersOf returns the hosts that watch the store, of a list by failure domain and name: the first of each of the
// first domains, and where there are fewer domains the next hosts.
func watchersOf(hosts []topo.Host) []topo.Host {
	var out, rest []topo.Host
	for i, o := range hosts {
		if i > 0 && hosts[i-1].Domain == o.Domain {
			rest = append(rest, o)
			continue
		}
		out = append(out, o)
	}
	out = append(out, rest...)
	return out[:min(len(out), watchers)]
}

// run listens to the sources until ctx ends.
func (r *relay) run(ctx context.Context) {
	r.heard = make(map[string]bool)
	listening := make(map[string]context.CancelFunc)
	urgent := time.Time{}
	asks := 0
	for clock.Sleep(ctx, roleEvery) {
		r.view.expire(time.Now())
		list, _ := r.sources()
		wanted := make(map[string]bool, len(list))
		for _, o := range list {
			wanted[o.Link] = true
			if listening[o.Link] == nil {
				one, cancel := context.WithCancel(ctx)
				listening[o.Link] = cancel
				go r.listen(one, o)
			}
		}
		for addr, cancel := range listening {
			if !wanted[addr] {
				cancel()
				delete(listening, addr)
			}
		}
		if !r.failing() || time.Since(urgent) < urgentEvery {
			continue
		}
		urgent = time.Now()
		asks++
		go r.askAny(ctx, asks)
		if r.seat.IsLeader() {
			go r.askWitnesses(ctx)
		}
	}
}

// listen takes over the news of one source until ctx ends.
func (r *relay) listen(ctx context.Context, o topo.Host) {
	defer r.note(o, false)
	for ctx.Err() == nil {
		err := r.attend(ctx, o)
		r.note(o, false)
		if ctx.Err() == nil {
			r.log.Info().Err(err).Str("source", o.Name).Msg("source of news lost")
		}
		clock.Sleep(ctx, sourcePause)
	}
}

func (r *relay) attend(ctx context.Context, o topo.Host) error {
	c, err := link.Dial(ctx, o.Link)
	if err != nil {
		return err
	}
	defer c.Close()
	for ctx.Err() == nil {
		if err := r.exchange(ctx, c, holdTime); err != nil {
			if errors.Is(err, errSourceFails) {
				r.note(o, false)
				clock.Sleep(ctx, sourcePause)
				continue
			}
			return err
		}
		r.note(o, true)
	}
	return ctx.Err()
}

// exchange asks once for news.
func (r *relay) exchange(ctx context.Context, c *link.Conn, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	m, err := c.RoundTrip(ctx, &link.Message{
		Kind: link.GetChanges, Host: r.self.Name, Prefixes: r.view.known(), WaitMS: wait.Milliseconds(),
	})
	if err != nil {
		return err
	}
	r.view.learn(m.Prefixes)
	if m.StoreUnreachable {
		return errSourceFails
	}
	return nil
}

func (r *relay) note(o topo.Host, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.heard[o.Link] = true
		return
	}
	delete(r.heard, o.Link)
}

// askAny asks one host after the other while this one has lost the store.
func (r *relay) askAny(ctx context.Context, turn int) {
	r.mu.Lock()
	addrs := slices.DeleteFunc(slices.Clone(r.seeds), func(a string) bool { return a == r.self.Link })
	r.mu.Unlock()
	for _, o := range r.others() {
		addrs = append(addrs, o.Link)
	}
	if len(addrs) == 0 {
		return
	}
	if err := r.askOnce(ctx, addrs[turn%len(addrs)]); err != nil {
		r.stats.CountEvent("news_failed")
	}
}

// askOnce asks a host for what it knows now.
func (r *relay) askOnce(ctx context.Context, addr string) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	c, err := link.Dial(ctx, addr)
	if err != nil {
		return err
	}
	defer c.Close()
	return r.exchange(ctx, c, 0)
}

// serve answers the questions of another host until its connection ends.
func (r *relay) serve(c *link.Conn, m *link.Message) {
	for m.Kind == link.GetChanges {
		answer := &link.Message{Kind: link.Changes, Prefixes: r.await(m), StoreUnreachable: r.failing()}
		if err := c.Send(answer); err != nil {
			return
		}
		var err error
		if m, err = c.Receive(); err != nil {
			return
		}
	}
}

// await returns the news, or nothing when the question's time is over.
func (r *relay) await(m *link.Message) []link.PrefixState {
	until := time.NewTimer(min(time.Duration(m.WaitMS)*time.Millisecond, holdTime))
	defer until.Stop()
	for {
		lists, changed := r.view.changes(m.Prefixes)
		if len(lists) > 0 {
			return lists
		}
		select {
		case <-changed:
		case <-until.C:
			return nil
		}
	}
}
