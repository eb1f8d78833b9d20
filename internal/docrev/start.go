package docrev

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/figreel/figreel/internal/clock"
)

// A restarted host skips at most this many newest revisions that it cannot apply.
const maxSkipped = 8

// Finds a first revision, from the service or else from every seed; reports false when ctx ends before.
func (s *Replicator) start(ctx context.Context, wg *sync.WaitGroup) bool {
	for !s.startFromService(ctx, wg) && !s.startFromPeers(ctx, wg) {
		if !clock.Sleep(ctx, tick) {
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.started = true
	return true
}

// An environment without any revision is a success: the first one is still to be proposed.
func (s *Replicator) startFromService(ctx context.Context, wg *sync.WaitGroup) bool {
	revision, value, err := s.journal().newest(ctx, 0)
	if err != nil {
		return false
	}
	s.adopt(ctx, wg, held{revision, value})
	for r := revision - 1; r > max(revision-maxSkipped, 0) && !s.inForce(); r-- {
		if value, err = s.journal().get(ctx, r); err != nil {
			return false
		}
		s.fallBack(held{r, value})
	}
	return true
}

func (s *Replicator) inForce() bool {
	doc, _ := s.Current()
	return doc != nil
}

// Puts an older revision into force on a host that has none, while the latest stays pending.
func (s *Replicator) fallBack(h held) {
	doc, err := s.apply(h)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.doc, s.state.applied = doc, h
}

// Asks every seed and some members, and takes the highest revision in force on any of them that can be applied here.
func (s *Replicator) startFromPeers(ctx context.Context, wg *sync.WaitGroup) bool {
	addrs := append([]string(nil), s.Seeds...)
	for _, m := range s.sample(pushTargets) {
		addrs = append(addrs, m.Addr)
	}
	answers := make([]held, len(addrs))
	var asked sync.WaitGroup
	for i, addr := range addrs {
		asked.Go(func() {
			if h, err := s.pull(ctx, addr, 0); err == nil {
				answers[i] = h
			}
		})
	}
	asked.Wait()
	slices.SortFunc(answers, func(a, b held) int { return cmp.Compare(b.revision, a.revision) })
	for i, h := range answers {
		if i == 0 {
			s.adopt(ctx, wg, h)
		} else if !s.inForce() && h.revision > 0 {
			s.fallBack(h)
		}
	}
	return s.inForce()
}
