package host

import (
	"bytes"
	"maps"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/store"
)

const (
	// suspectTime is how long an entry in a restored store is not used if the previous era had removed it. By then the
	// entry of an owner that is gone has expired.
	suspectTime = 5 * time.Second
	// maxCopyAge is how long ago an entry may have been removed for a restored store to have it again.
	maxCopyAge = time.Minute
	// originSuspect is the origin of entries that were suspect and are still in the store.
	originSuspect = "restored copy"
)

// endedUpstream is an instance of an upstream whose entry was removed.
type endedUpstream struct {
	boot int64
	at   time.Duration // boot time
}

// startEra keeps the deletions of the eras before, which cannot be ordered among those from now on.
func (p *prefixState) startEra(revision int64) {
	for i := range p.deletions {
		p.deletions[i].Revision = 0
	}
	p.deletionsSince = revision
	p.list = sentList{}
}

// putCopied stores an item of a restored store. It may be older than what this host knows: an instance of an upstream
// that was leaving still is, and an entry that was removed may not have been written again.
func (sc *storeCache) putCopied(now time.Time, p *prefixState, key string, it store.Item, from origin) {
	old, known := p.items[key]
	p.items[key] = it
	p.routedAt[key] = it.Revision
	delete(p.graceUntil, key)
	switch {
	case known && old.Revision == it.Revision && bytes.Equal(old.Value, it.Value):
	case sc.isSuspect(p, key, it):
		p.suspects[key] = now.Add(suspectTime)
		sc.log.Info().Str("key", key).Int64("revision", it.Revision).Str("via", from.via).
			Msg("entry of a restored store is not used, it may be older")
	default:
		left := sc.upstreams[key]
		sc.use(p, key, it, from)
		if u := sc.upstreams[key]; u != nil && left != nil && left.Leaving && u.Boot == left.Boot {
			u.Leaving = true
		}
	}
}

// isSuspect reports whether an entry may be that of an owner that is gone or of an instance that has been replaced.
func (sc *storeCache) isSuspect(p *prefixState, key string, it store.Item) bool {
	switch {
	case p.prefix == sc.platform.UpstreamPrefix:
		u, err := sc.platform.Upstream(it)
		if err != nil {
			return false
		}
		if current := sc.upstreams[key]; current != nil {
			return u.Boot < current.Boot
		}
		e, ok := sc.ended[key]
		return ok && u.Boot <= e.boot && sc.now()-e.at < maxCopyAge
	case strings.HasPrefix(key, elect.HostPrefix):
		at, ok := sc.lapsed[key]
		return ok && sc.now()-at < maxCopyAge
	}
	return false
}

// trustSuspects puts entries into use that have been suspect for suspectTime, and reports whether there were any.
func (sc *storeCache) trustSuspects(now time.Time, p *prefixState) bool {
	changed := false
	for key, until := range p.suspects {
		if now.Before(until) {
			continue
		}
		delete(p.suspects, key)
		if it, ok := p.items[key]; ok {
			sc.use(p, key, it, origin{via: originSuspect})
			changed = true
		}
	}
	return changed
}

// addEnded records that the entry of an instance was removed.
func (sc *storeCache) addEnded(key string, boot int64) {
	now := sc.now()
	maps.DeleteFunc(sc.ended, func(_ string, e endedUpstream) bool { return now-e.at >= maxCopyAge })
	sc.ended[key] = endedUpstream{boot: boot, at: now}
}
