package docrev

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/figreel/figreel/internal/clock"
)

// maxSkipped bounds how many revisions a starting host tries, newest first, until it finds one that it can apply.
const maxSkipped = 8

// start obtains a first revision from the key-value service or, if that fails, from peers, and retries until it has
// one; it returns false if ctx ends first.
func (rep *Replicator) start(ctx context.Context, wg *sync.WaitGroup) bool {
	for !rep.startFromKV(ctx, wg) && !rep.startFromPeers(ctx, wg) {
		if !clock.Sleep(ctx, tickInterval) {
			return false
		}
	}
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.state.started = true
	return true
}

// startFromKV applies the newest of the last maxSkipped revisions that this host can apply, and reports whether the
// key-value service could be read. It reports true for an environment without revisions, because the first one may
// still have to be proposed.
func (rep *Replicator) startFromKV(ctx context.Context, wg *sync.WaitGroup) bool {
	revision, value, err := rep.revisionLog().newest(ctx, 0)
	if err != nil {
		return false
	}
	rep.advance(ctx, wg, storedRevision{revision, value})
	for r := revision - 1; r > max(revision-maxSkipped, 0) && !rep.hasDocument(); r-- {
		if value, err = rep.revisionLog().get(ctx, r); err != nil {
			return false
		}
		rep.applyOlder(storedRevision{r, value})
	}
	return true
}

func (rep *Replicator) hasDocument() bool {
	doc, _ := rep.Current()
	return doc != nil
}

// applyOlder applies an older revision on a host without an active one; the latest one stays pending.
func (rep *Replicator) applyOlder(sr storedRevision) {
	doc, err := rep.apply(sr)
	if err != nil {
		return
	}
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.state.doc, rep.state.applied = doc, sr
}

// startFromPeers pulls the active revision of every seed and of some members, and applies the newest of them that
// this host can apply. It waits for all responses, because the first one may be from a host that is out of date.
func (rep *Replicator) startFromPeers(ctx context.Context, wg *sync.WaitGroup) bool {
	addrs := append([]string(nil), rep.Seeds...)
	for _, m := range rep.samplePeers(pushTargets) {
		addrs = append(addrs, m.Addr)
	}
	responses := make([]storedRevision, len(addrs))
	var pulls sync.WaitGroup
	for i, addr := range addrs {
		pulls.Go(func() {
			if sr, err := rep.pull(ctx, addr, 0); err == nil {
				responses[i] = sr
			}
		})
	}
	pulls.Wait()
	slices.SortFunc(responses, func(a, b storedRevision) int { return cmp.Compare(b.revision, a.revision) })
	for i, sr := range responses {
		if i == 0 {
			rep.advance(ctx, wg, sr)
		} else if !rep.hasDocument() && sr.revision > 0 {
			rep.applyOlder(sr)
		}
	}
	return rep.hasDocument()
}
