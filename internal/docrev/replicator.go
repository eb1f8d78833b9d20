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
	// pushTargets is the number of random peers that are notified of a new revision at once, and the number of peers
	// that a starting host pulls from in addition to the seeds.
	pushTargets  = 3
	tickInterval = time.Second
	// pollAfter is how long a host that receives nothing from its peers, or that knows of a newer revision but cannot
	// fetch it, waits before it polls the key-value service.
	pollAfter = 5 * time.Second
	// announcementBuffer bounds the announcements that wait for Run; further ones are dropped.
	announcementBuffer = 64
)

type (
	// Replicator keeps one host at the newest revision that it can obtain from the key-value service or from peers;
	// its exported fields are set before Run.
	Replicator struct {
		Environment string
		Self        wire.Member
		KV          kvapi.Service
		Dialer      wire.Dialer
		// Seeds are addresses of hosts to pull from when this host starts during an outage of the key-value service.
		Seeds []string
		// Members returns the members that this host knows.
		Members func() []wire.Member
		// Notify pings a member; the ping carries the Latest revision.
		Notify func(ctx context.Context, to wire.Member)
		// Apply makes a document the active one; if it returns an error, the revision stays pending.
		Apply func(doc *envdoc.Doc, revision int64) error
		Stats *stats.Set
		Log   zerolog.Logger

		once          sync.Once
		announcements chan announcement
		submissions   chan submission

		mu    sync.Mutex
		state state

		// The fields below are used only by the goroutine of Run.
		lastContact    time.Time // when a peer last announced its revision, or this host last polled
		outOfDateSince time.Time // since when a newer revision is known that this host lacks; zero if there is none
	}

	// Status describes the revisions of a host: Revision is the active one, 0 if there is none; Pending is a newer one
	// that it has but cannot apply, 0 if there is none; Reason is why it cannot. Watching is set if the host watches
	// the key-value service.
	Status struct {
		Revision int64  `json:"revision"`
		Pending  int64  `json:"pending,omitempty"`
		Reason   string `json:"reason,omitempty"`
		Watching bool   `json:"watching"`
	}

	// state holds the newest record that the host has (latest) and the active one (applied, and parsed as doc).
	state struct {
		started bool
		doc     *envdoc.Doc
		applied storedRevision
		latest  storedRevision
		reason  string // why latest could not be applied; empty if it was
	}

	// storedRevision is a revision and its encoded record.
	storedRevision struct {
		revision int64
		value    []byte
	}

	// announcement is the newest revision of a peer, as the peer's ping states it.
	announcement struct {
		revision int64
		from     wire.Member
	}

	// submission is a record for Run to apply; Run closes done afterwards.
	submission struct {
		storedRevision
		done chan struct{}
	}
)

// Run obtains and applies new revisions until ctx ends; it returns nil.
func (rep *Replicator) Run(ctx context.Context) error {
	rep.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !rep.start(ctx, &wg) {
		return nil
	}
	wg.Go(func() { rep.watch(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	rep.lastContact = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-rep.announcements:
			rep.onAnnouncement(ctx, &wg, a)
		case sub := <-rep.submissions:
			rep.advance(ctx, &wg, sub.storedRevision)
			close(sub.done)
		case <-ticker.C:
			rep.onTick(ctx, &wg)
		}
	}
}

// Current returns the active document and its revision, or nil and 0.
func (rep *Replicator) Current() (*envdoc.Doc, int64) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.state.doc, rep.state.applied.revision
}

// Latest returns the newest revision that this host has and can send to peers, applied or not; pings carry it.
func (rep *Replicator) Latest() int64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.state.latest.revision
}

// Ready reports whether the host has started and has an active document.
func (rep *Replicator) Ready() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.state.started && rep.state.doc != nil
}

// Status returns the active revision of this host and the pending one, if any.
func (rep *Replicator) Status() Status {
	watching := rep.isWatcher()
	rep.mu.Lock()
	defer rep.mu.Unlock()
	st := Status{Revision: rep.state.applied.revision, Watching: watching}
	if rep.state.latest.revision > st.Revision {
		st.Pending, st.Reason = rep.state.latest.revision, rep.state.reason
	}
	return st
}

// ObserveRevision records that a peer was in contact and which revision it has; it never blocks.
func (rep *Replicator) ObserveRevision(revision int64, from wire.Member) {
	rep.init()
	select {
	case rep.announcements <- announcement{revision: revision, from: from}:
	default: // the queue is full; the peer's next ping repeats the announcement
	}
}

func (rep *Replicator) init() {
	rep.once.Do(func() {
		rep.announcements = make(chan announcement, announcementBuffer)
		rep.submissions = make(chan submission)
	})
}

func (rep *Replicator) revisionLog() revisionLog {
	return revisionLog{kv: rep.KV, env: rep.Environment}
}

func (rep *Replicator) onAnnouncement(ctx context.Context, wg *sync.WaitGroup, a announcement) {
	rep.lastContact = time.Now()
	if a.revision <= rep.Latest() {
		return
	}
	if rep.outOfDateSince.IsZero() {
		rep.outOfDateSince = time.Now()
	}
	got, err := rep.pull(ctx, a.from.Addr, a.revision)
	if err != nil {
		rep.Stats.CountEvent("config_pull_failed")
		rep.Log.Warn().Err(err).Str("from", a.from.Name).Int64("revision", a.revision).Msg("cannot pull the revision")
		return
	}
	rep.advance(ctx, wg, got)
}

func (rep *Replicator) onTick(ctx context.Context, wg *sync.WaitGroup) {
	_, revision := rep.Current()
	rep.Stats.SetGauge("config_revision", revision)
	now := time.Now()
	noContact := now.Sub(rep.lastContact) >= pollAfter
	outOfDate := !rep.outOfDateSince.IsZero() && now.Sub(rep.outOfDateSince) >= pollAfter
	if !noContact && !outOfDate {
		return
	}
	rep.lastContact, rep.outOfDateSince = now, time.Time{} // the next poll is due after another pollAfter
	newest, value, err := rep.revisionLog().newest(ctx, rep.Latest())
	if err != nil {
		rep.Stats.CountEvent("config_poll_failed")
		return
	}
	rep.advance(ctx, wg, storedRevision{newest, value})
}

// advance stores a newer revision, tries to apply it and notifies some peers; it ignores a revision that is not newer
// than the latest one.
func (rep *Replicator) advance(ctx context.Context, wg *sync.WaitGroup, sr storedRevision) {
	if sr.revision <= rep.Latest() {
		return
	}
	rep.outOfDateSince = time.Time{}
	doc, err := rep.apply(sr)
	rep.mu.Lock()
	rep.state.latest = sr
	if err == nil {
		rep.state.doc, rep.state.applied, rep.state.reason = doc, sr, ""
	} else {
		rep.state.reason = err.Error()
	}
	rep.mu.Unlock()
	if err != nil {
		rep.Stats.CountEvent("config_not_applied")
		rep.Log.Error().Err(err).Int64("revision", sr.revision).Msg("cannot apply the revision, it stays pending")
	}
	for _, m := range rep.samplePeers(pushTargets) {
		wg.Go(func() { rep.Notify(ctx, m) })
	}
}

func (rep *Replicator) apply(sr storedRevision) (*envdoc.Doc, error) {
	r, err := decodeRecord(sr.value)
	if err != nil {
		return nil, err
	}
	doc, err := r.document("revision "+strconv.FormatInt(sr.revision, 10), rep.Environment)
	if err != nil {
		return nil, err
	}
	return doc, errors.Wrap(rep.Apply(doc, sr.revision), "apply")
}

func (rep *Replicator) livePeers() []wire.Member {
	var peers []wire.Member
	for _, m := range rep.Members() {
		if m.Name != rep.Self.Name && m.State == wire.Alive {
			peers = append(peers, m)
		}
	}
	return peers
}

func (rep *Replicator) samplePeers(n int) []wire.Member {
	peers := rep.livePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}
