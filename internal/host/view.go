package host

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// listTimeout bounds one list call.
	listTimeout = 1500 * time.Millisecond
	// watchWait is how long a watch may wait; a longer wait costs fewer calls, and dead connections end it sooner.
	watchWait = 10 * time.Second
	// probeWait is the wait of the first watch after a failed call, whose answer shows that the store is back.
	probeWait = 50 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failed call to the store.
	retryFirst = 100 * time.Millisecond
	retryMost  = 600 * time.Millisecond
	// gatherTime lets changes of upstreams and hosts gather between two calls, which are priced.
	gatherTime = 200 * time.Millisecond
	// roleEvery is how often a host looks whether it should watch the store itself.
	roleEvery = 100 * time.Millisecond
	// keptRemovals bounds how many ends of keys are told to other hosts one by one.
	keptRemovals = 500
	// lapseTime keeps upstreams and hosts whose entries ended while the store was away; those that live write them
	// again within about two seconds, and a leaving one must get no calls after that.
	lapseTime = 1500 * time.Millisecond
	// returnTime is how long after the store has come back ended entries are doubted.
	returnTime = time.Second
)

// view is what this host knows from the store.
type view struct {
	platform *Platform
	stats    *stats.Set
	log      zerolog.Logger
	seat     *elect.Elector
	changed  func()

	mu        sync.Mutex
	config    *topo.Config
	parts     map[string]*part
	upstreams map[string]*topo.Upstream
	hosts     map[string]topo.Host
	returned  time.Time     // when the store last came back
	news      chan struct{} // closed at the next change
}

// part is the copy of what lies below one prefix.
type part struct {
	prefix   string
	items    map[string]store.Item
	lapsed   map[string]time.Time // ended entries that are still believed, until then
	removed  []store.Event        // the newest ends of keys, oldest first
	complete int64                // revision since when removed is complete
	revision int64
	failing  bool
}

func newView(p *Platform, s *elect.Elector, st *stats.Set, log zerolog.Logger) *view {
	v := &view{
		platform: p, seat: s, stats: st, log: log, parts: make(map[string]*part),
		upstreams: make(map[string]*topo.Upstream), hosts: make(map[string]topo.Host), news: make(chan struct{}),
	}
	for _, prefix := range v.prefixes() {
		v.parts[prefix] = &part{prefix: prefix, items: make(map[string]store.Item), lapsed: make(map[string]time.Time)}
	}
	return v
}

func (v *view) prefixes() []string {
	return []string{v.platform.ConfigPrefix, v.platform.UpstreamPrefix, elect.Prefix}
}

// run follows one prefix until ctx ends; it watches while direct tells so, and otherwise other hosts tell of changes.
func (v *view) run(ctx context.Context, prefix string, direct func() bool) {
	pause := retryFirst
	listed := false
	for ctx.Err() == nil {
		if listed && !direct() {
			clock.Sleep(ctx, roleEvery)
			continue
		}
		var err error
		if listed {
			err = v.watch(ctx, prefix)
		} else {
			err = v.list(ctx, prefix)
		}
		if err == nil {
			listed, pause = true, retryFirst
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, store.ErrCompacted) {
			v.log.Info().Str("prefix", prefix).Msg("history dropped, reading all")
			listed = false
			continue
		}
		v.failed(prefix, err)
		clock.Sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

func (v *view) list(ctx context.Context, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	items, revision, err := v.platform.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	v.regained(prefix)
	v.replace(link.PrefixState{Prefix: prefix, Revision: revision, Items: items})
	return nil
}

func (v *view) watch(ctx context.Context, prefix string) error {
	v.mu.Lock()
	after, wait := v.parts[prefix].revision, watchWait
	if v.parts[prefix].failing {
		wait = probeWait
	}
	v.mu.Unlock()
	events, revision, err := v.platform.Store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return err
	}
	v.regained(prefix)
	v.apply(prefix, events, revision)
	if len(events) > 0 && prefix != v.platform.ConfigPrefix {
		clock.Sleep(ctx, gatherTime)
	}
	return nil
}

func (v *view) failed(prefix string, err error) {
	v.mu.Lock()
	p := v.parts[prefix]
	first := !p.failing
	p.failing = true
	v.mu.Unlock()
	if first {
		v.log.Warn().Err(err).Str("prefix", prefix).Msg("store lost")
	}
}

func (v *view) regained(prefix string) {
	v.mu.Lock()
	p := v.parts[prefix]
	was := p.failing
	p.failing = false
	if was {
		v.returned = time.Now()
	}
	v.mu.Unlock()
	if was {
		v.log.Info().Str("prefix", prefix).Msg("store regained")
	}
}

// failing reports whether the last call for some prefix failed.
func (v *view) failing() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.parts {
		if p.failing {
			return true
		}
	}
	return false
}

// replace takes over all items of a prefix unless they are older than what is known.
func (v *view) replace(l link.PrefixState) {
	v.mu.Lock()
	p := v.parts[l.Prefix]
	if p == nil || l.Revision < p.revision {
		v.mu.Unlock()
		return
	}
	now := time.Now()
	fresh := make(map[string]store.Item, len(l.Items))
	for _, it := range l.Items {
		fresh[it.Key] = it
	}
	for key := range p.items {
		if _, ok := fresh[key]; !ok {
			v.drop(now, p, key, l.Revision)
		}
	}
	if p.revision == 0 {
		p.complete = l.Revision
	}
	for key, it := range fresh {
		v.put(p, key, it)
	}
	p.revision = l.Revision
	v.tell()
	v.mu.Unlock()
	if l.Prefix == elect.Prefix {
		v.seat.Replace(l.Items)
	}
	v.changed()
}

func (v *view) apply(prefix string, events []store.Event, revision int64) {
	v.mu.Lock()
	p := v.parts[prefix]
	if revision <= p.revision && len(events) == 0 {
		v.mu.Unlock()
		return
	}
	now := time.Now()
	for _, e := range events {
		if e.Revision <= p.revision {
			continue
		}
		if e.Deleted {
			v.drop(now, p, e.Key, e.Revision)
			continue
		}
		v.put(p, e.Key, e.Item)
	}
	p.revision = max(p.revision, revision)
	v.tell()
	v.mu.Unlock()
	if prefix == elect.Prefix {
		v.seat.Apply(events)
	}
	if len(events) > 0 {
		v.changed()
	}
}

// put decodes a new item; what cannot be read leaves the last state in force.
func (v *view) put(p *part, key string, it store.Item) {
	if old, ok := p.items[key]; ok && old.Revision == it.Revision {
		return
	}
	p.items[key] = it
	delete(p.lapsed, key)
	switch p.prefix {
	case v.platform.ConfigPrefix:
		c, err := v.platform.Config(it)
		switch {
		case err != nil:
			v.log.Error().Err(err).Msg("configuration cannot be read, the last one stays in force")
		case c != nil && (v.config == nil || c.Version > v.config.Version):
			v.config = c
			v.log.Info().Int64("version", c.Version).Int("routes", len(c.Routes)).Msg("configuration in force")
		}
	case v.platform.UpstreamPrefix:
		u, err := v.platform.Upstream(it)
		if err != nil {
			v.log.Warn().Err(err).Msg("entry skipped")
			delete(v.upstreams, key)
			return
		}
		if old := v.upstreams[key]; old == nil || old.Leaving != u.Leaving || old.Boot != u.Boot {
			v.log.Info().Str("upstream", u.ID).Str("addr", u.Addr).Bool("leaving", u.Leaving).Int64("boot", u.Boot).
				Msg("upstream")
		}
		u.Revision = it.Revision
		v.upstreams[key] = u
	default:
		if !strings.HasPrefix(key, elect.HostPrefix) {
			return
		}
		var h topo.Host
		if err := json.Unmarshal(it.Value, &h); err != nil {
			v.log.Warn().Err(err).Str("key", key).Msg("registration skipped")
			return
		}
		h.Registered = it.Revision
		v.hosts[key] = h
	}
}

// tell wakes those who wait for news.
func (v *view) tell() {
	close(v.news)
	v.news = make(chan struct{})
}

// drop forgets an item at once, or after lapseTime when the store has just come back.
func (v *view) drop(now time.Time, p *part, key string, revision int64) {
	delete(p.items, key)
	p.removed = append(p.removed, store.Event{Item: store.Item{Key: key, Revision: revision}, Deleted: true})
	if n := len(p.removed) - keptRemovals; n > 0 {
		p.complete = p.removed[n-1].Revision
		p.removed = append(p.removed[:0], p.removed[n:]...)
	}
	if now.Sub(v.returned) < returnTime && p.prefix != v.platform.ConfigPrefix {
		p.lapsed[key] = now.Add(lapseTime)
		return
	}
	v.forget(key)
}

func (v *view) forget(key string) {
	if u := v.upstreams[key]; u != nil {
		v.log.Info().Str("upstream", u.ID).Msg("upstream gone")
		delete(v.upstreams, key)
	}
	delete(v.hosts, key)
}

// expire forgets lapsed items whose time is over.
func (v *view) expire(now time.Time) {
	changed := false
	v.mu.Lock()
	for _, p := range v.parts {
		for key, until := range p.lapsed {
			if now.After(until) {
				delete(p.lapsed, key)
				v.forget(key)
				changed = true
			}
		}
	}
	v.mu.Unlock()
	if changed {
		v.changed()
	}
}

// Config returns the configuration in force, or nil.
func (v *view) Config() *topo.Config {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// Upstreams returns those of a service that are not leaving, or all of them when service is empty.
func (v *view) Upstreams(service string) []*topo.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]*topo.Upstream, 0, len(v.upstreams))
	for _, u := range v.upstreams {
		if service == "" || u.Service == service && !u.Leaving {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *topo.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Hosts returns the registered hosts by name.
func (v *view) Hosts() []topo.Host {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]topo.Host, 0, len(v.hosts))
	for _, h := range v.hosts {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b topo.Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// changes returns what another host does not know, and a channel that is closed at the next change.
func (v *view) changes(known []link.PrefixState) ([]link.PrefixState, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []link.PrefixState
	for _, k := range known {
		p := v.parts[k.Prefix]
		if p == nil || p.revision <= k.Revision {
			continue
		}
		l := link.PrefixState{Prefix: p.prefix, Revision: p.revision, Delta: k.Revision >= p.complete && k.Revision > 0}
		for _, it := range p.items {
			switch {
			case !l.Delta:
				l.Items = append(l.Items, it)
			case it.Revision > k.Revision:
				l.Events = append(l.Events, store.Event{Item: it})
			}
		}
		if l.Delta {
			for _, e := range p.removed {
				if _, back := p.items[e.Key]; e.Revision > k.Revision && !back {
					l.Events = append(l.Events, e)
				}
			}
		}
		out = append(out, l)
	}
	return out, v.news
}

// learn takes over what another host tells.
func (v *view) learn(lists []link.PrefixState) {
	for _, l := range lists {
		if l.Delta {
			v.apply(l.Prefix, l.Events, l.Revision)
		} else {
			v.replace(l)
		}
	}
}

// known returns the revisions of the parts that other hosts should tell of; the configuration is among them only while
// the store does not answer, because every host watches it.
func (v *view) known() []link.PrefixState {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]link.PrefixState, 0, len(v.parts))
	for _, p := range v.parts {
		if p.prefix != v.platform.ConfigPrefix || p.failing || p.revision == 0 {
			out = append(out, link.PrefixState{Prefix: p.prefix, Revision: p.revision})
		}
	}
	return out
}
