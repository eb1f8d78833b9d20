package host

import (
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/store"
)

// changes returns the changes since the revisions in known, whether they hold more than newer revisions, the boot time
// as of which this host's copy of the upstreams is complete, and a channel that is closed at the next change.
func (sc *storeCache) changes(known []link.PrefixState) (
	out []link.PrefixState, changed bool, confirmedAt time.Duration, next <-chan struct{},
) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	confirmedAt = sc.states[sc.platform.UpstreamPrefix].confirmedAt
	for _, k := range known {
		p := sc.states[k.Prefix]
		if p == nil {
			continue
		}
		behind := p.version.Compare(k.Version()) > 0
		if !behind && (!k.WantsDetails || k.Era != p.version.Era || p.detailRevision <= k.DetailRevision) {
			continue
		}
		if !k.WantsDetails {
			k.DetailRevision = 0
		}
		if k.Revision == 0 && p.list.at > 0 && sc.now()-p.list.at < maxListAge {
			out, changed = append(out, p.list.PrefixState), true
			confirmedAt = min(confirmedAt, p.list.confirmedAt)
			continue
		}
		outdated := k.WantsDetails && p.sent.DetailRevision != p.detailRevision
		if outdated || p.sent.Version() != p.version || p.sentFor != sentKey(&k) {
			// Most hosts ask for the same changes.
			p.sent, p.sentFor = p.changesSince(&k), sentKey(&k)
			if err := p.sent.Pack(); err != nil {
				sc.log.Error().Err(err).Msg("changes are sent uncompressed")
			}
			if !p.sent.Delta {
				p.list = sentList{PrefixState: p.sent, at: sc.now(), confirmedAt: confirmedAt}
			}
		}
		out = append(out, p.sent)
		changed = changed || p.sent.HasChanges()
	}
	return out, changed, confirmedAt, sc.nextChange
}

// sentKey returns what decides about the response to a request for the changes of a prefix.
func sentKey(k *link.PrefixState) sentRequest {
	return sentRequest{since: k.Version(), details: k.WantsDetails, detailsSince: k.DetailRevision}
}

// changesSince returns the changes of the prefix that a host lacks, or all items if its version is of another era or
// the deletions since then are not known any more.
func (p *prefixState) changesSince(k *link.PrefixState) link.PrefixState {
	revision := k.Revision
	l := link.PrefixState{
		Prefix: p.prefix, Revision: p.version.Revision, Era: p.version.Era,
		Delta: k.Era == p.version.Era && revision >= p.deletionsSince && revision > 0,
	}
	if k.WantsDetails || !l.Delta {
		l.DetailRevision = p.detailRevision
	}
	for key, it := range p.items {
		switch {
		case !l.Delta:
			l.Items = append(l.Items, it)
		case p.routedAt[key] > revision, k.WantsDetails && it.Revision > k.DetailRevision:
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
		if err := l.Unpack(); err != nil {
			sc.log.Error().Err(err).Str("via", via).Msg("changes of another host dropped")
			continue
		}
		if l.Delta {
			sc.apply(l, via)
		} else {
			sc.replace(l, via)
		}
	}
}

// knownRevisions returns the cached revisions of the prefixes whose changes other hosts should send. The prefix of the
// configuration is included only while the store is unreachable, or while another host has a newer one and keys must be
// revoked in time, because every host watches it: it is too large to be sent to a whole fleet by a few hosts.
func (sc *storeCache) knownRevisions() []link.PrefixState {
	// The scheduler reads the upstreams while it is locked, so it is asked before the copy is locked.
	schedules := sc.schedulesCalls()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	out := make([]link.PrefixState, 0, len(sc.states))
	for _, p := range sc.states {
		if p.prefix != sc.platform.ConfigPrefix || p.unreachable || sc.age.Enabled() && sc.age.Behind(p.version) {
			out = append(out, link.PrefixState{
				Prefix: p.prefix, Revision: p.version.Revision, Era: p.version.Era, DetailRevision: p.detailRevision,
				WantsDetails: sc.wantsDetails(p, schedules),
			})
		}
	}
	return out
}
