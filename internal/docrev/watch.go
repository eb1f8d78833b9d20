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
	watchersPerDomain = 2
	// A host that ceases to be a watcher stops watching after this time at the latest.
	watchWait = 10 * time.Second
)

// Watches for the next revision while this host is one of the watchers of its failure domain.
func (s *Replicator) watch(ctx context.Context) {
	behind := false
	for ctx.Err() == nil {
		if !s.ranked() {
			clock.Sleep(ctx, tick)
			continue
		}
		next, err := s.next(ctx, behind)
		switch {
		case err == nil:
			s.offer(ctx, next)
			behind = false
		case !errors.Is(err, kvapi.ErrNoChange):
			behind = true
			clock.Sleep(ctx, tick)
		}
	}
}

// After a failed watch many revisions may have passed, so the newest one is looked for first.
func (s *Replicator) next(ctx context.Context, behind bool) (held, error) {
	latest := s.Latest()
	if behind {
		revision, value, err := s.journal().newest(ctx, latest)
		return held{revision, value}, err
	}
	value, err := s.journal().watch(ctx, latest+1, watchWait)
	return held{latest + 1, value}, err
}

// Hands a record to the goroutine of Run and waits until it is adopted.
func (s *Replicator) offer(ctx context.Context, h held) {
	f := found{held: h, done: make(chan struct{})}
	select {
	case s.found <- f:
	case <-ctx.Done():
		return
	}
	select {
	case <-f.done:
	case <-ctx.Done():
	}
}

func (s *Replicator) ranked() bool {
	names := []string{s.Self.Name}
	for _, m := range s.others() {
		if m.Domain == s.Self.Domain {
			names = append(names, m.Name)
		}
	}
	ranked := rendez.Rank("config/"+s.Environment, names)
	for _, name := range ranked[:min(watchersPerDomain, len(ranked))] {
		if name == s.Self.Name {
			return true
		}
	}
	return false
}
