package host

import (
	"context"
	"maps"
	"time"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/verkv"
	"github.com/figreel/figreel/internal/vers"
)

// knownVersions returns the versions of the services for which this host, the leader, knows all that may have begun a
// stream that can still be taken up. Where it lists one version, a leader before it may have seen another one, unless
// it has noted that one too, there was no leader, or this host has been watching for long enough. s.tickets.mu is
// held.
func (s *streamStore) knownVersions(now time.Time) map[string][]string {
	_, notes := s.state()
	k := s.tickets.scheduler
	complete := s.first() || k.Streams.IsComplete(now)
	out := k.Streams.InService(now)
	maps.DeleteFunc(out, func(service string, versions []string) bool {
		return len(versions) == 1 && (!k.RunsModels(service) || !complete && notes.Single(service) != versions[0])
	})
	return out
}

// dropNotes removes the notes that services have a single version if they have several, for which there is no leader.
// Otherwise they would outlast the first streams of the second version. It does so once for each service while this
// host has to do without a leader.
func (s *streamStore) dropNotes(ctx context.Context, mixed map[string][]string) error {
	rest := maps.Clone(mixed)
	maps.DeleteFunc(rest, func(service string, _ []string) bool { return s.dropped[service] })
	if len(rest) == 0 {
		return nil
	}
	notes, err := s.readNotes(ctx)
	if err != nil {
		return err
	}
	if keys := notes.SingleKeys(rest); len(keys) > 0 {
		txn := store.Txn{Era: s.knownEra(), Remove: keys[:min(len(keys), maxOldKeys)]}
		if _, err := s.store.Commit(ctx, txn); err != nil {
			return err
		}
		s.log.Info().Strs("keys", txn.Remove).Msg("services have several software versions and no leader")
		if len(keys) > maxOldKeys {
			return nil
		}
	}
	for service := range rest {
		s.dropped[service] = true
	}
	return nil
}

// learn reads the notes once, as soon as the store can be read.
func (s *streamStore) learn(ctx context.Context) {
	for ctx.Err() == nil {
		notes, err := s.readNotes(ctx)
		if err == nil {
			s.assumeOnce(notes)
			return
		}
		s.log.Debug().Err(err).Msg("versions of services cannot be read")
		clock.Sleep(ctx, max(saveRetryDelay, s.hostInterval()))
	}
}

func (s *streamStore) readNotes(ctx context.Context) (*verkv.Notes, error) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	return verkv.Read(ctx, s.store, streamPrefix, s.logInvalid)
}

func (s *streamStore) logInvalid(key string, err error) {
	s.log.Warn().Err(err).Str("key", key).Msg("invalid versions of a service")
}

// assumeOnce is assume for the notes that this process reads first. Of the streams that begin later it knows, or finds
// in the store, what began them.
func (s *streamStore) assumeOnce(notes *verkv.Notes) {
	s.mu.Lock()
	again := s.assumed
	s.assumed = true
	s.mu.Unlock()
	if !again {
		s.assume(notes)
	}
}

// assume makes streams that began before now and have no record those of the version of their service, if the store
// says that there was only one. All hosts that knew them are lost.
func (s *streamStore) assume(notes *verkv.Notes) {
	s.tickets.mu.Lock()
	defer s.tickets.mu.Unlock()
	notes.Each(func(service, version string) {
		if notes.Single(service) == "" {
			return
		}
		s.log.Info().Str("service", service).Str("software", version).
			Msg("streams without a record are of the only software version")
		s.tickets.scheduler.Streams.Assume(time.Now(), vers.Assumption{Service: service, Software: version})
	})
}

// assumedVersion returns the version that is assumed for streams of a service without a record.
func (s *streamStore) assumedVersion(service string) (string, bool) {
	s.tickets.mu.Lock()
	defer s.tickets.mu.Unlock()
	return s.tickets.scheduler.Streams.Assumed(time.Now(), service)
}
