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
	retryDelay   = 200 * time.Millisecond
	readAttempts = 3 // per read before the first write
	// proposeTimeout applies to proposals whose context has no deadline.
	proposeTimeout = 15 * time.Second
	// MaxHistory is the largest number of entries that History returns; each entry takes a read of a whole document.
	MaxHistory = 50
)

var (
	// ErrUnavailable means that this call of Propose wrote nothing; an earlier call with the same change ID may have
	// been accepted.
	ErrUnavailable = errors.New("key-value service is unavailable: this attempt wrote nothing")
	// ErrOutcomeUnknown means that the change may have been accepted; proposing it again with the same ID resolves the
	// outcome.
	ErrOutcomeUnknown = errors.New("outcome unknown: the key-value service did not confirm the change")
	// ErrNoBase means that the base revision of a change does not exist or is negative.
	ErrNoBase = errors.New("base revision does not exist")
	// ErrTooLarge means that the document exceeds MaxDocumentBytes, or that its record, compressed, does not fit into
	// one value of the key-value service.
	ErrTooLarge = errors.New("document is too large")
)

type (
	// Change is a proposed document that replaces revision Base. ID must be unique to the change, and the same each
	// time that the change is proposed, because it identifies repeated proposals.
	Change struct {
		ID     string `json:"id"`
		Author string `json:"author"`
		Base   int64  `json:"base"`
		Body   []byte `json:"body"`
	}

	// Conflict is the error of a proposal whose base already has a successor; its fields describe the change that was
	// accepted instead.
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

// Error describes the revision and the change that was accepted instead.
func (c *Conflict) Error() string {
	return fmt.Sprintf("revision %d is change %q by %q; base the change on the newest revision",
		c.Revision, c.ChangeID, c.Author)
}

// Propose writes the change as the revision after its base and returns that revision once it is accepted.
// It returns a *find.List for an invalid document, a *Conflict if another change was accepted on the same base, and
// otherwise one of this package's errors or the error of a record that cannot be decoded.
func (rep *Replicator) Propose(ctx context.Context, c Change) (int64, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
	}
	r := Record{ChangeID: c.ID, Author: c.Author, Time: time.Now(), Body: c.Body}
	if _, err := r.document("document", rep.Environment); err != nil {
		return 0, err
	}
	value, err := r.encode()
	if err != nil {
		return 0, err
	}
	stored, err := rep.findAccepted(ctx, c)
	if stored == nil && err == nil {
		stored, err = rep.write(ctx, c, value)
	}
	if err != nil {
		return 0, err
	}
	rep.publish(ctx, storedRevision{c.Base + 1, stored})
	return c.Base + 1, nil
}

// ReadRevision returns an accepted revision, or kvapi.ErrNotFound if it does not exist.
func (rep *Replicator) ReadRevision(ctx context.Context, revision int64) (Record, error) {
	value, err := rep.revisionLog().get(ctx, revision)
	if err != nil {
		return Record{}, err
	}
	return decodeRecord(value)
}

// History returns at most limit revisions, but no more than MaxHistory, newest first.
func (rep *Replicator) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	newest, _, err := rep.revisionLog().newest(ctx, rep.Latest())
	if err != nil {
		return nil, err
	}
	var entries []HistoryEntry
	for r := newest; r > 0 && len(entries) < min(limit, MaxHistory); r-- {
		record, err := rep.ReadRevision(ctx, r)
		if err != nil {
			return nil, err
		}
		entries = append(entries, HistoryEntry{Revision: r, Record: record})
	}
	return entries, nil
}

// findAccepted returns the stored record if an earlier proposal of this change was accepted, nil if the base has no
// successor yet, and otherwise an error. Because it only reads, a proposal that fails here certainly wrote nothing,
// which covers most proposals during an outage of the key-value service.
func (rep *Replicator) findAccepted(ctx context.Context, c Change) ([]byte, error) {
	if c.Base < 0 {
		return nil, ErrNoBase
	}
	if c.Base > rep.Latest() {
		if _, err := rep.read(ctx, c.Base); errors.Is(err, kvapi.ErrNotFound) {
			return nil, errors.Wrapf(ErrNoBase, "revision %d", c.Base)
		} else if err != nil {
			return nil, err
		}
	}
	value, err := rep.read(ctx, c.Base+1)
	if errors.Is(err, kvapi.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return value, c.checkStored(value)
}

func (rep *Replicator) read(ctx context.Context, revision int64) ([]byte, error) {
	for range readAttempts {
		value, err := rep.revisionLog().get(ctx, revision)
		if err == nil || errors.Is(err, kvapi.ErrNotFound) {
			return value, err
		}
		clock.Sleep(ctx, retryDelay)
	}
	return nil, ErrUnavailable
}

// write retries the write until its outcome is known or ctx is about to end, and returns the stored record.
// Retries are safe, because only one write can create the key.
func (rep *Replicator) write(ctx context.Context, c Change, value []byte) ([]byte, error) {
	maybeWritten := false // a write without a response may take effect even later
	for canStartWrite(ctx) {
		err := rep.revisionLog().create(ctx, c.Base+1, value)
		switch {
		case err == nil:
			return value, nil
		case errors.Is(err, kvapi.ErrConflict):
			if stored, err := rep.revisionLog().get(ctx, c.Base+1); err == nil {
				return stored, c.checkStored(stored)
			}
			maybeWritten = true
		case !errors.Is(err, kvapi.ErrRateLimited):
			maybeWritten = true
		}
		clock.Sleep(ctx, retryDelay)
	}
	if maybeWritten {
		return nil, ErrOutcomeUnknown
	}
	return nil, ErrUnavailable
}

// canStartWrite reports whether ctx leaves more time than one retry delay. The outcome of a write that starts just
// before the deadline would stay unknown, whereas without it the proposal certainly wrote nothing.
func canStartWrite(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return ctx.Err() == nil && (!hasDeadline || time.Until(deadline) > retryDelay)
}

// checkStored returns nil if the stored record is that of this change, and a *Conflict if it is that of another one.
func (c Change) checkStored(stored []byte) error {
	r, err := decodeRecord(stored)
	if err != nil {
		return err
	}
	if r.ChangeID != c.ID || !bytes.Equal(r.Body, c.Body) {
		return &Conflict{Revision: c.Base + 1, ChangeID: r.ChangeID, Author: r.Author}
	}
	return nil
}

// publish submits an accepted revision to Run, which applies it and notifies other hosts, and updates the hint.
func (rep *Replicator) publish(ctx context.Context, sr storedRevision) {
	rep.init()
	submitCtx, cancel := context.WithTimeout(ctx, callTimeout) // Run receives no submissions while the host starts
	defer cancel()
	rep.submit(submitCtx, sr)
	if err := rep.revisionLog().setHint(ctx, sr.revision); err != nil {
		rep.Stats.CountEvent("config_hint_failed")
	}
}
