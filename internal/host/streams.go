package host

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/batch"
	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/verkv"
	"github.com/figreel/figreel/internal/vers"
)

const (
	// streamPrefix is the prefix of the keys that say what began streams: those of package verkv, and those below
	// recordsPrefix, which hold records. Hosts read them when they need them and do not follow them, because they
	// change several times a second.
	streamPrefix  = "figreel-streams/"
	recordsPrefix = streamPrefix + "records/"
	// saveInterval is the interval at which the leader saves new records.
	saveInterval = 250 * time.Millisecond
	// saveRetryDelay is the pause after a failed call.
	saveRetryDelay = time.Second
	// reloadInterval is the interval at which the leader reads what the store has, because a call without a response
	// may be executed late.
	reloadInterval = 30 * time.Second
	// saveTimeout and lookupTimeout are the timeouts of one call to the store.
	saveTimeout   = 900 * time.Millisecond
	lookupTimeout = 300 * time.Millisecond
	// saveShare is the share of the writes that the store allows which hosts without a leader may use for records.
	saveShare = 0.25
	// lookupInterval is the minimum time between two reads of the records by one host. intervalPerHost is the minimum
	// time between two calls of one host without a leader, for each host of the fleet.
	lookupInterval  = 100 * time.Millisecond
	intervalPerHost = 10 * time.Millisecond
	// maxRecords bounds the records under one key. maxOldKeys bounds the keys of records that one transaction removes,
	// and maxNotes the services whose versions it changes, with two keys each at most.
	maxRecords = 20_000
	maxOldKeys = 20
	maxNotes   = 5
)

type (
	// streamStore keeps in the store which software versions began streams, so that streams can be taken up after the
	// loss of all hosts that know it. The leader writes records while a service has several versions. While it has one,
	// the store says which, so that the streams that all hosts forget at once are known to be of that one.
	streamStore struct {
		store   store.Store
		elector *elect.Elector
		tickets *ticketService
		stats   *stats.Set
		log     zerolog.Logger
		// refresh brings the list of upstreams up to date with the store.
		refresh func(context.Context) error
		// knownEra returns the newest era of the store that this host knows.
		knownEra func() int64
		// first reports whether this host leads and no host had led before.
		first func() bool
		// hosts returns the number of registered hosts.
		hosts func() int
		// writesPerS is how many writes a second the store allows all hosts together; 0 if that is not known.
		writesPerS float64

		// The fields up to the next mutex are those of the goroutine of run.
		process  string // identifies this process in keys
		loadedAt time.Time
		era      int64
		keys     []savedKey // keys of records, oldest first
		keySeq   int
		failing  bool            // the last call for saving failed
		alone    bool            // no leader listened at the last look
		dropped  map[string]bool // services for which dropNotes has nothing to do any more

		reads     batch.Call[*streamRead] // of the records, which are added to those of the scheduler
		refreshes batch.Call[struct{}]

		mu      sync.Mutex
		loaded  bool         // this host leads and has read what the leaders before it have written
		notes   *verkv.Notes // as the store has them; nil if that is not known
		assumed bool         // this process has read the notes once
	}

	// streamRead is what the store has at a time.
	streamRead struct {
		notes *verkv.Notes
		keys  []string // of records
	}

	// savedKey is a key of records and when its records were saved, or found in the store.
	savedKey struct {
		key string
		at  time.Time
	}
)

// run saves new records while this host is the leader, and those of its own streams while no leader listens, until
// ctx ends.
func (s *streamStore) run(ctx context.Context) {
	go s.learn(ctx)
	for interval := saveInterval; clock.Sleep(ctx, interval); {
		save := s.save
		leads := s.elector.IsLeader()
		s.noteAlone(!leads && s.tickets.listeningLeader() == nil)
		if interval = saveInterval; !leads {
			s.setLoaded(false, nil)
			if !s.alone {
				continue
			}
			save, interval = s.saveOwn, max(saveInterval, s.ownInterval())
		}
		err := save(ctx)
		if errors.Is(err, store.ErrRestored) {
			s.setLoaded(false, nil)
		}
		if failing := err != nil; failing != s.failing && ctx.Err() == nil {
			s.failing = failing
			message := "records of streams can be saved again"
			if failing {
				message = "records of streams cannot be saved"
			}
			s.log.Info().Err(err).Msg(message)
		}
		if err != nil {
			clock.Sleep(ctx, saveRetryDelay)
		}
	}
}

// noteAlone records whether this host has to do without a leader, and logs when that changes.
func (s *streamStore) noteAlone(alone bool) {
	if alone == s.alone {
		return
	}
	s.alone, s.dropped = alone, make(map[string]bool)
	if alone {
		s.log.Info().Msg("no leader listens, records of streams are saved by this host")
		return
	}
	s.log.Info().Msg("a leader listens again")
}

func (s *streamStore) setLoaded(loaded bool, notes *verkv.Notes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded, s.notes = loaded, notes
}

// state reports whether this host leads and knows what the store has, and the versions of services in the store.
func (s *streamStore) state() (loaded bool, notes *verkv.Notes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded, s.notes
}

// save brings the records in the store up to date with one transaction at most.
func (s *streamStore) save(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	now := time.Now()
	if loaded, _ := s.state(); !loaded || s.knownEra() > s.era || now.Sub(s.loadedAt) > reloadInterval {
		if err := s.load(ctx); err != nil {
			return err
		}
	}
	s.tickets.mu.Lock()
	streams := &s.tickets.scheduler.Streams
	versions := s.knownVersions(now)
	var records []vers.Record
	if len(streams.Mixed(now)) > 0 {
		records = streams.Unsaved()
	}
	retention := streams.Retention()
	s.tickets.mu.Unlock()
	records = records[:min(len(records), maxRecords)]
	txn, notes, err := s.transaction(now, versions, records, retention)
	if err != nil || len(txn.Puts)+len(txn.Remove) == 0 {
		return err
	}
	if len(records) > 0 {
		// The transaction may be executed later if it gets no response, so no other one writes the same key.
		s.keys = append(s.keys, savedKey{s.key(), now})
		s.keySeq++
	}
	if _, err := s.store.Commit(ctx, txn); err != nil {
		return err
	}
	s.stats.CountEvent("stream_saves")
	s.setLoaded(true, notes)
	s.keys = slices.DeleteFunc(s.keys, func(k savedKey) bool { return slices.Contains(txn.Remove, k.key) })
	s.tickets.mu.Lock()
	s.tickets.scheduler.Streams.SetSaved(records, true)
	s.tickets.mu.Unlock()
	return nil
}

// saveOwn saves the new records of the streams that began at this host. The next leader finds them in the store, also
// if this host is lost before.
func (s *streamStore) saveOwn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	s.tickets.mu.Lock()
	streams := &s.tickets.scheduler.Streams
	mixed := streams.Mixed(time.Now())
	var records []vers.Record
	if len(mixed) > 0 {
		records = streams.UnsavedOwn()
	}
	s.tickets.mu.Unlock()
	if err := s.dropNotes(ctx, mixed); err != nil {
		return err
	}
	if len(records) == 0 {
		return nil
	}
	value, err := cbor.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "encode records of streams")
	}
	txn := store.Txn{Era: s.knownEra(), Puts: []store.Item{{Key: s.key(), Value: value}}}
	s.keySeq++
	if _, err := s.store.Commit(ctx, txn); err != nil {
		return err
	}
	s.stats.CountEvent("stream_saves")
	s.tickets.mu.Lock()
	s.tickets.scheduler.Streams.SetSaved(records, true)
	s.tickets.mu.Unlock()
	return nil
}

// hostInterval returns the minimum time between two calls of one host, so that those of a large fleet are not too many.
func (s *streamStore) hostInterval() time.Duration { return time.Duration(s.hosts()) * intervalPerHost }

// ownInterval returns the minimum time between two saves of a host without a leader. Together the hosts stay within
// their share of the store's limit, and all save well within the time after which a silent leader is replaced.
func (s *streamStore) ownInterval() time.Duration {
	if s.writesPerS == 0 {
		return s.hostInterval()
	}
	return time.Duration(float64(s.hosts()) / (saveShare * s.writesPerS) * float64(time.Second))
}

// key returns the key of the next records of this host. No other process uses it, also not a later one of the same
// host.
func (s *streamStore) key() string {
	if s.process == "" {
		s.process = strconv.FormatUint(rand.Uint64(), 36)
	}
	return recordsPrefix + s.tickets.self + "/" + s.process + "/" + strconv.Itoa(s.keySeq)
}

// transaction returns what has to be written: the versions of services, new records, and the removal of old ones. It
// also returns the notes after that.
func (s *streamStore) transaction(
	now time.Time, versions map[string][]string, records []vers.Record, retention time.Duration,
) (store.Txn, *verkv.Notes, error) {
	txn := store.Txn{Era: s.era}
	_, saved := s.state()
	var notes *verkv.Notes
	notes, txn.Puts, txn.Remove = saved.Changes(versions, maxNotes)
	for _, it := range txn.Puts {
		s.log.Info().Str("key", it.Key).RawJSON("versions", it.Value).Msg("software versions of a service change")
	}
	if len(records) > 0 {
		value, err := cbor.Marshal(records)
		if err != nil {
			return txn, nil, errors.Wrap(err, "encode records of streams")
		}
		txn.Puts = append(txn.Puts, store.Item{Key: s.key(), Value: value})
	}
	for _, k := range s.keys[:min(len(s.keys), maxOldKeys)] {
		if now.Sub(k.at) > retention {
			txn.Remove = append(txn.Remove, k.key)
		}
	}
	return txn, notes, nil
}

// load reads what the store has. What a new leader finds there counts as in service until now, because it does not know
// when the versions ended.
func (s *streamStore) load(ctx context.Context) error {
	r, err := s.reads.Do(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	loaded, _ := s.state()
	if !loaded {
		s.assume(r.notes)
	}
	s.tickets.mu.Lock()
	streams := &s.tickets.scheduler.Streams
	if !loaded {
		r.notes.Each(func(service, version string) { streams.SetInService(now, service, version) })
	}
	if r.notes.Era != s.era {
		streams.Forget()
	}
	s.tickets.mu.Unlock()
	known := make(map[string]time.Time, len(s.keys))
	for _, k := range s.keys {
		known[k.key] = k.at
	}
	s.keys = nil
	for _, key := range r.keys {
		at, ok := known[key]
		if !ok {
			at = now
		}
		s.keys = append(s.keys, savedKey{key, at})
	}
	slices.SortFunc(s.keys, func(a, b savedKey) int { return a.at.Compare(b.at) })
	s.era, s.loadedAt = r.notes.Era, now
	s.setLoaded(true, r.notes)
	return nil
}

// init sets up the calls that several takers-up of streams share. It is called before any other method.
func (s *streamStore) init() {
	// A leader reads for all hosts that it listens to.
	interval := func() time.Duration {
		if s.elector.IsLeader() {
			return lookupInterval
		}
		return max(lookupInterval, s.hostInterval())
	}
	s.reads.Run, s.reads.Interval = s.read, interval
	s.refreshes.Interval = interval
	s.refreshes.Run = func() (struct{}, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
		defer cancel()
		return struct{}{}, s.refresh(ctx)
	}
}

// read reads the records in the store and adds them to those of the scheduler.
func (s *streamStore) read() (*streamRead, error) {
	s.stats.CountEvent("stream_lookups")
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	items, as, err := s.store.List(ctx, streamPrefix)
	if err != nil {
		return nil, err
	}
	r := &streamRead{notes: &verkv.Notes{Prefix: streamPrefix, Era: as.Era}}
	var records []vers.Record
	for _, it := range items {
		if r.notes.Add(it, s.logInvalid) {
			continue
		}
		r.keys = append(r.keys, it.Key)
		var list []vers.Record
		if err := cbor.Unmarshal(it.Value, &list); err != nil {
			s.log.Warn().Err(err).Str("key", it.Key).Msg("invalid records of streams")
			continue
		}
		records = append(records, list...)
	}
	s.tickets.mu.Lock()
	s.tickets.scheduler.Streams.Load(time.Now(), records...)
	s.tickets.mu.Unlock()
	s.assumeOnce(r.notes)
	return r, nil
}

// originOf returns what began the stream of an attempt, and false if this host does not know it.
func (s *ticketService) originOf(id string) (vers.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Streams.Lookup(id)
}

// needsLookup reports whether a call was rejected for a stream that the scheduler does not know, while the store may
// know it: hosts save records themselves while no leader listens to them.
func (s *ticketService) needsLookup(d *sched.Decision) bool {
	return s.streams != nil && d.Reason == sched.ReasonVersionUnknown && !d.Final
}

// findOrigin finds what began the stream of a call that the scheduler does not know, and sets it in the call, whose
// remaining time it reduces by its own. It returns false if nobody knows it. If the store knows of only one version in
// service, and lists no other one now, it is that one. A host that cannot read the store does not know that, however
// new its list is; it gets an error.
func (s *ticketService) findOrigin(ctx context.Context, req *sched.Request) (bool, error) {
	start := time.Now()
	origin, err := s.streams.find(ctx, req)
	found := origin.Software != ""
	s.log.Info().Err(err).Str("call", req.Call).Str("resumes", req.Resumes).Str("service", origin.Service).
		Str("software", origin.Software).Bool("found", found).Dur("took_ms", time.Since(start)).
		Msg("software version of a stream looked up")
	req.SetOrigin(origin)
	req.Remaining -= time.Since(start)
	return found, err
}

// find is findOrigin without the changes of the call. The software version is empty if nobody knows it.
func (s *streamStore) find(ctx context.Context, req *sched.Request) (vers.Version, error) {
	r, err := s.reads.Do(ctx)
	if origin, ok := s.tickets.originOf(req.Resumes); ok {
		return origin, nil
	}
	if err != nil {
		return vers.Version{}, err
	}
	if software, ok := s.assumedVersion(req.Service); ok {
		return vers.Version{Service: req.Service, Software: software}, nil
	}
	if len(r.notes.Several(req.Service)) > 0 || s.onlyVersion(req.Service) == "" {
		return vers.Version{}, nil
	}
	if _, err := s.refreshes.Do(ctx); err != nil {
		return vers.Version{}, err
	}
	return vers.Version{Service: req.Service, Software: s.onlyVersion(req.Service)}, nil
}

// onlyVersion returns the software version of a service that this host knows, or an empty string if there is not just
// one.
func (s *streamStore) onlyVersion(service string) string {
	s.tickets.mu.Lock()
	defer s.tickets.mu.Unlock()
	if versions := s.tickets.scheduler.Streams.Versions(time.Now(), service); len(versions) == 1 {
		return versions[0]
	}
	return ""
}

// noteStartCheck sets in a grant whether the start of the engine has to be checked before a stream begins or goes on
// there.
func (s *ticketService) noteStartCheck(req *sched.Request, decision sched.Decision) sched.Decision {
	current := s.isCurrent()
	s.mu.Lock()
	defer s.mu.Unlock()
	service := cmp.Or(decision.Grant.Service, req.Service)
	versions := s.scheduler.Streams.Versions(time.Now(), service)
	decision.Grant.CheckStart = req.Resumable && (len(versions) > 1 || !current)
	return decision
}

// hasOtherSoftware reports whether the engine of a grant has started again with another software version since.
func (s *ticketService) hasOtherSoftware(g sched.Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.SoftwareOf(g) != g.Software
}
