package docrev

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/kvapi"
)

const (
	retryPause = 200 * time.Millisecond
	readTries  = 3
	// A caller without a deadline gets this one.
	proposeTimeout = 15 * time.Second
	// MaxHistory is the most records that History returns; each one is a read of a whole document.
	MaxHistory = 50
)

var (
	// ErrUnavailable means that this proposal wrote nothing; an earlier one with the same id may have been accepted.
	ErrUnavailable = errors.New("key-value service not available: this attempt wrote nothing")
	// ErrOutcomeUnknown means that the change may have been accepted; proposing it again with its id settles it.
	ErrOutcomeUnknown = errors.New("outcome unknown: the key-value service did not confirm the change")
	// ErrNoBase means that the base revision of a change does not exist.
	ErrNoBase = errors.New("base revision does not exist")
	// ErrTooLarge means that the document does not fit into one value of the key-value service.
	ErrTooLarge = errors.New("document is too large")
)

type (
	// Change is a proposed document; ID must be unique and stay the same when the change is proposed again.
	Change struct {
		ID     string `json:"id"`
		Author string `json:"author"`
		Base   int64  `json:"base"`
		Body   []byte `json:"body"`
	}

	// Conflict means that another change was accepted on the same base.
	Conflict struct {
		Revision int64  `json:"revision"`
		ChangeID string `json:"change_id"`
		Author   string `json:"author"`
	}

	// HistoryEntry is one accepted revision.
	HistoryEntry struct {
		Revision int64 `json:"revision"`
		Record
	}
)

// Error names the revision and the change that won.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d is change %q by %q; base the change on the newest revision",
		c.Revision, c.ChangeID, c.Author)
}

// Propose writes the change as the revision after its base and returns that revision once it is accepted.
// Errors are *find.List, *Conflict and the errors of this package.
func (s *Replicator) Propose(ctx context.Context, c Change) (int64, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
	}
	r := Record{ChangeID: c.ID, Author: c.Author, Time: time.Now(), Body: c.Body}
	if _, err := r.document("document", s.Environment); err != nil {
		return 0, err
	}
	value, err := r.encode()
	if err != nil {
		return 0, err
	}
	stored, err := s.before(ctx, c)
	if stored == nil && err == nil {
		stored, err = s.write(ctx, c, value)
	}
	if err != nil {
		return 0, err
	}
	s.accepted(ctx, held{c.Base + 1, stored})
	return c.Base + 1, nil
}

// Read returns an accepted revision, or kvapi.ErrNotFound.
func (s *Replicator) Read(ctx context.Context, revision int64) (Record, error) {
	value, err := s.journal().get(ctx, revision)
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(value)
}

// History returns the newest revisions, newest first.
func (s *Replicator) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	newest, _, err := s.journal().newest(ctx, s.Latest())
	if err != nil {
		return nil, err
	}
	var past []HistoryEntry
	for r := newest; r > 0 && len(past) < min(limit, MaxHistory); r-- {
		record, err := s.Read(ctx, r)
		if err != nil {
			return nil, err
		}
		past = append(past, HistoryEntry{Revision: r, Record: record})
	}
	return past, nil
}

// Reads before the first write, so that an outage is refused with a certain outcome.
// It returns the stored record if the change has been accepted by an earlier proposal.
func (s *Replicator) before(ctx context.Context, c Change) ([]byte, error) {
	if c.Base < 0 {
		return nil, ErrNoBase
	}
	if c.Base > s.Latest() {
		if _, err := s.read(ctx, c.Base); errors.Is(err, kvapi.ErrNotFound) {
			return nil, errors.Wrapf(ErrNoBase, "revision %d", c.Base)
		} else if err != nil {
			return nil, err
		}
	}
	value, err := s.read(ctx, c.Base+1)
	if errors.Is(err, kvapi.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return value, c.wrote(value)
}

func (s *Replicator) read(ctx context.Context, revision int64) ([]byte, error) {
	for range readTries {
		value, err := s.journal().get(ctx, revision)
		if err == nil || errors.Is(err, kvapi.ErrNotFound) {
			return value, err
		}
		clock.Sleep(ctx, retryPause)
	}
	return nil, ErrUnavailable
}

// Writes until the outcome is certain or ctx ends, and returns the stored record.
// Repeating is safe, because only one write can create the key.
func (s *Replicator) write(ctx context.Context, c Change, value []byte) ([]byte, error) {
	sent := false // a write without an answer may take effect even later
	for hasTime(ctx) {
		err := s.journal().create(ctx, c.Base+1, value)
		switch {
		case err == nil:
			return value, nil
		case errors.Is(err, kvapi.ErrConflict):
			if stored, err := s.journal().get(ctx, c.Base+1); err == nil {
				return stored, c.wrote(stored)
			}
			sent = true
		case !errors.Is(err, kvapi.ErrRateLimited):
			sent = true
		}
		clock.Sleep(ctx, retryPause)
	}
	if sent {
		return nil, ErrOutcomeUnknown
	}
	return nil, ErrUnavailable
}

// A write that starts as ctx ends would turn a certain refusal into an unknown outcome.
func hasTime(ctx context.Context) bool {
	deadline, bounded := ctx.Deadline()
	return ctx.Err() == nil && (!bounded || time.Until(deadline) > retryPause)
}

// Returns nil if this change wrote the record, and otherwise the conflict with the change that did.
func (c Change) wrote(stored []byte) error {
	r, err := decodeRecord(stored)
	if err != nil {
		return err
	}
	if r.ChangeID != c.ID || !bytes.Equal(r.Body, c.Body) {
		return &Conflict{Revision: c.Base + 1, ChangeID: r.ChangeID, Author: r.Author}
	}
	return nil
}

// Puts an accepted revision into force here; adopt tells other hosts.
func (s *Replicator) accepted(ctx context.Context, h held) {
	s.init()
	offering, cancel := context.WithTimeout(ctx, callTimeout) // a host that has not started cannot take it yet
	defer cancel()
	s.offer(offering, h)
	if err := s.journal().setHint(ctx, h.revision); err != nil {
		s.Stats.CountEvent("config_hint_failed")
	}
}
