package docrev

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	pushTargets = 3
	tick        = time.Second
	// A host that hears from no peer, or hears of a revision that it cannot get, asks the service after this time.
	silence     = 5 * time.Second
	queueLength = 64
)

type (
	// Replicator keeps one host at the newest revision it can reach; exported fields are set before Run.
	Replicator struct {
		Environment string
		Self        wire.Member
		KV          kvapi.Service
		Dialer      wire.Dialer
		// Seeds are addresses of hosts to ask when the host starts during an outage.
		Seeds []string
		// Members returns the live members that this host knows.
		Members func() []wire.Member
		// Notify pings a member, which tells it the Latest revision.
		Notify func(ctx context.Context, to wire.Member)
		// Apply puts a document into force; an error keeps the revision pending.
		Apply func(doc *envdoc.Doc, revision int64) error
		Stats *stats.Set
		Log   zerolog.Logger

		once  sync.Once
		heard chan heard
		found chan found

		mu    sync.Mutex
		state state

		// Owned by the goroutine of Run.
		lastHeard time.Time
		missing   time.Time // since when a newer revision is known but not held; zero if none is
	}

	// Status tells how far a host is; Pending is a newer revision that it cannot apply, 0 if there is none.
	Status struct {
		Revision int64  `json:"revision"`
		Pending  int64  `json:"pending,omitempty"`
		Reason   string `json:"reason,omitempty"`
		Watching bool   `json:"watching"`
	}

	// Latest is the newest record that the host holds; applied is the newest one in force.
	state struct {
		started bool
		doc     *envdoc.Doc
		applied held
		latest  held
		reason  string // why the latest record is not in force
	}

	held struct {
		revision int64
		value    []byte
	}

	heard struct {
		revision int64
		from     wire.Member
	}

	found struct {
		held
		done chan struct{}
	}
)

// Run follows the revisions until ctx ends.
func (s *Replicator) Run(ctx context.Context) error {
	s.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !s.start(ctx, &wg) {
		return nil
	}
	wg.Go(func() { s.watch(ctx) })
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	s.lastHeard = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-s.heard:
			s.onHeard(ctx, &wg, h)
		case f := <-s.found:
			s.adopt(ctx, &wg, f.held)
			close(f.done)
		case <-ticker.C:
			s.onTick(ctx, &wg)
		}
	}
}

// Current returns the document in force and its revision, or nil and 0.
func (s *Replicator) Current() (*envdoc.Doc, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.doc, s.state.applied.revision
}

// Latest returns the newest revision that the host can give to others, applied or not; pings carry it.
func (s *Replicator) Latest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.latest.revision
}

// Ready reports whether the host has started and a document is in force.
func (s *Replicator) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.started && s.state.doc != nil
}

// Status returns how far the host is.
func (s *Replicator) Status() Status {
	watching := s.ranked()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Revision: s.state.applied.revision, Watching: watching}
	if s.state.latest.revision > st.Revision {
		st.Pending, st.Reason = s.state.latest.revision, s.state.reason
	}
	return st
}

// ObserveRevision tells that a peer answered and which revision it has; it never blocks.
func (s *Replicator) ObserveRevision(revision int64, from wire.Member) {
	s.init()
	select {
	case s.heard <- heard{revision: revision, from: from}:
	default: // peers repeat it with every ping
	}
}

func (s *Replicator) init() {
	s.once.Do(func() {
		s.heard = make(chan heard, queueLength)
		s.found = make(chan found)
	})
}

func (s *Replicator) journal() journal {
	return journal{kv: s.KV, env: s.Environment}
}

func (s *Replicator) onHeard(ctx context.Context, wg *sync.WaitGroup, h heard) {
	s.lastHeard = time.Now()
	if h.revision <= s.Latest() {
		return
	}
	if s.missing.IsZero() {
		s.missing = time.Now()
	}
	got, err := s.pull(ctx, h.from.Addr, h.revision)
	if err != nil {
		s.Stats.CountEvent("config_pull_failed")
		s.Log.Warn().Err(err).Str("from", h.from.Name).Int64("revision", h.revision).Msg("pull failed")
		return
	}
	s.adopt(ctx, wg, got)
}

func (s *Replicator) onTick(ctx context.Context, wg *sync.WaitGroup) {
	_, revision := s.Current()
	s.Stats.SetGauge("config_revision", revision)
	now := time.Now()
	silent := now.Sub(s.lastHeard) >= silence
	stuck := !s.missing.IsZero() && now.Sub(s.missing) >= silence
	if !silent && !stuck {
		return
	}
	s.lastHeard, s.missing = now, time.Time{} // the next poll is due after another silence
	newest, value, err := s.journal().newest(ctx, s.Latest())
	if err != nil {
		s.Stats.CountEvent("config_poll_failed")
		return
	}
	s.adopt(ctx, wg, held{newest, value})
}

// Takes a newer revision, tries to put it into force and tells others; older ones are ignored.
func (s *Replicator) adopt(ctx context.Context, wg *sync.WaitGroup, h held) {
	if h.revision <= s.Latest() {
		return
	}
	s.missing = time.Time{}
	doc, err := s.apply(h)
	s.mu.Lock()
	s.state.latest = h
	if err == nil {
		s.state.doc, s.state.applied, s.state.reason = doc, h, ""
	} else {
		s.state.reason = err.Error()
	}
	s.mu.Unlock()
	if err != nil {
		s.Stats.CountEvent("config_not_applied")
		s.Log.Error().Err(err).Int64("revision", h.revision).Msg("revision cannot be applied and stays pending")
	}
	for _, m := range s.sample(pushTargets) {
		wg.Go(func() { s.Notify(ctx, m) })
	}
}

func (s *Replicator) apply(h held) (*envdoc.Doc, error) {
	r, err := decodeRecord(h.value)
	if err != nil {
		return nil, err
	}
	doc, err := r.document("revision "+strconv.FormatInt(h.revision, 10), s.Environment)
	if err != nil {
		return nil, err
	}
	return doc, errors.Wrap(s.Apply(doc, h.revision), "apply")
}

func (s *Replicator) others() []wire.Member {
	var others []wire.Member
	for _, m := range s.Members() {
		if m.Name != s.Self.Name && m.State == wire.Alive {
			others = append(others, m)
		}
	}
	return others
}

func (s *Replicator) sample(n int) []wire.Member {
	others := s.others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}
