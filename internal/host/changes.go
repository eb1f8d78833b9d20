package host

import (
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/store"
)

// changes returns the changes since the revisions in known, the boot time as of which this host's copy of the upstreams
// is complete, and a channel that is closed at the next change.
func (sc *storeCache) changes(known []link.PrefixState) (
	out []link.PrefixState, confirmedAt time.Duration, next <-chan struct{},
) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, k := range known {
		p := sc.states[k.Prefix]
		if p == nil || p.version.Compare(k.Version()) <= 0 {
			continue
		}
		if p.sent.Version() != p.version || p.sentSince != k.Version() {
			// Most hosts ask for the same changes.
			p.sent, p.sentSince = p.changesSince(k.Version()), k.Version()
		}
		out = append(out, p.sent)
	}
	return out, sc.states[sc.platform.UpstreamPrefix].confirmedAt, sc.nextChange
}

// changesSince returns the changes of the prefix since a version, or all items if that is of another era or the
// deletions since then are not known any more.
func (p *prefixState) changesSince(v store.Version) link.PrefixState {
	revision := v.Revision
	l := link.PrefixState{
		Prefix: p.prefix, Revision: p.version.Revision, Era: p.version.Era,
		Delta: v.Era == p.version.Era && revision >= p.deletionsSince && revision > 0,
	}
	for _, it := range p.items {
		switch {
		case !l.Delta:
			l.Items = append(l.Items, it)
		case it.Revision > revision:
			l.Events = append(l.Events, store.Event{Item: it})
		}
	}
	if !l.Delta {
		return l
	}
	for _, e := range p.deletions {
		if _, back := p.items[e.Key]; e.Revision > revision && !back {
			l.Events = append(l.Events, e)
		}
	}
	return l
}

// merge applies changes that another host has sent.
func (sc *storeCache) merge(states []link.PrefixState, via string) {
	for _, l := range states {
		if l.Delta {
			sc.apply(l.Prefix, l.Events, l.Version(), via)
		} else {
			sc.replace(l, via)
		}
	}
}

// knownRevisions returns the cached revisions of the prefixes whose changes other hosts should send. The prefix of the
// configuration is included only while the store is unreachable or another host has a newer one, because every host
// watches it: it is too large to be sent to a whole fleet by a few hosts.
func (sc *storeCache) knownRevisions() []link.PrefixState {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	out := make([]link.PrefixState, 0, len(sc.states))
	for _, p := range sc.states {
		if p.prefix != sc.platform.ConfigPrefix || p.unreachable || sc.age.Behind(p.version) {
			out = append(out, link.PrefixState{Prefix: p.prefix, Revision: p.version.Revision, Era: p.version.Era})
		}
	}
	return out
}
