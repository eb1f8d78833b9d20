package docrev

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/rendez"
)

const (
	// watchersPerDomain hosts of each failure domain watch the key-value service; the other hosts receive revisions
	// from peers, so that the load on the service does not grow with the number of hosts.
	watchersPerDomain = 2
	// watchTimeout bounds one watch call; a host that is no longer a watcher stops watching within this time.
	watchTimeout = 10 * time.Second
)

// watch submits new revisions from the key-value service while this host is a watcher of its failure domain.
func (rep *Replicator) watch(ctx context.Context) {
	watchFailed := false
	for ctx.Err() == nil {
		if !rep.isWatcher() {
			clock.Sleep(ctx, tickInterval)
			continue
		}
		next, err := rep.waitForNewer(ctx, watchFailed)
		switch {
		case err == nil:
			rep.submit(ctx, next)
			watchFailed = false
		case !errors.Is(err, kvapi.ErrNoChange):
			watchFailed = true
			clock.Sleep(ctx, tickInterval)
		}
	}
}

// waitForNewer returns the next revision once it exists, or kvapi.ErrNoChange. If the last watch failed, this host may
// have missed many revisions, so it searches for the newest one instead of watching for the next.
func (rep *Replicator) waitForNewer(ctx context.Context, watchFailed bool) (storedRevision, error) {
	latest := rep.Latest()
	if watchFailed {
		revision, value, err := rep.revisionLog().newest(ctx, latest)
		return storedRevision{revision, value}, err
	}
	value, err := rep.revisionLog().watch(ctx, latest+1, watchTimeout)
	return storedRevision{latest + 1, value}, err
}

// submit passes a record to the goroutine of Run and waits until Run has processed it or ctx ends.
func (rep *Replicator) submit(ctx context.Context, sr storedRevision) {
	sub := submission{storedRevision: sr, done: make(chan struct{})}
	select {
	case rep.submissions <- sub:
	case <-ctx.Done():
		return
	}
	select {
	case <-sub.done:
	case <-ctx.Done():
	}
}

// isWatcher reports whether this host is among the first watchersPerDomain hosts of its failure domain by rendezvous
// hashing.
func (rep *Replicator) isWatcher() bool {
	names := []string{rep.Self.Name}
	for _, m := range rep.livePeers() {
		if m.Domain == rep.Self.Domain {
			names = append(names, m.Name)
		}
	}
	ranked := rendez.Rank("config/"+rep.Environment, names)
	for _, name := range ranked[:min(watchersPerDomain, len(ranked))] {
		if name == rep.Self.Name {
			return true
		}
	}
	return false
}
