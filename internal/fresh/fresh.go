package fresh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/store"
)

// Shares of RevokeTime. Confirmations by other hosts are at most waitShare old, plus the time of one call to the store
// and of one message, plus the time for which the other host holds a request. From lapseShare on a host calls the store
// itself, which leaves it time for a call before its copy is too old at 0.8. The spread keeps hosts that lose their
// sources at the same time from calling the store at once.
const (
	waitShare   = 0.2
	lapseShare  = 0.55
	spreadShare = 0.1
)

const (
	// missedAfter is how long a watch call may wait although another host has stated a newer item. For each host
	// missedSpread times its Place is added, so that a slow store does not get the calls of all hosts again at once.
	missedAfter  = 500 * time.Millisecond
	missedSpread = 500 * time.Millisecond
)

const (
	// minWait is the shortest wait of a watch call.
	minWait = 10 * time.Millisecond
	// checkInterval is the interval at which it is checked whether a watch call must end early.
	checkInterval = 100 * time.Millisecond
)

var (
	// ErrConfirmNow is the cause of the end of a watch call that would have confirmed the copy too late.
	ErrConfirmNow = errors.New("the configuration must be confirmed")
	// ErrMissed is the cause of the end of a watch call that has not returned an item that another host has.
	ErrMissed = errors.New("another host has an item that this watch call has not returned")
)

type (
	// Copy is what is known of the age of a host's copy. Its exported fields are set before use.
	Copy struct {
		// RevokeTime is the time from the removal of a key until no call that is sent with it may be executed; 0 means
		// that the age of the copy does not matter.
		RevokeTime time.Duration
		// Place is this host's place among those that turn to the store, from 0 to 1.
		Place float64

		mu          sync.Mutex
		confirmedAt time.Duration // 0 before the first confirmation
		relayedAt   time.Duration // as of which other hosts have confirmed the copy
		missing     store.Version // of the first item that another host has stated and this copy lacked
		missingAt   time.Duration // when that was
	}

	// State says how new the copy of the sender of a message is.
	State struct {
		Era      int64 `cbor:"1,keyasint,omitempty"` // of the newest item
		Revision int64 `cbor:"2,keyasint"`           // of the newest item
		// ConfirmedMS is the time from the arrival of the request to the moment as of which there is no newer item. It
		// is negative if that was before, and rounded down.
		ConfirmedMS int64 `cbor:"3,keyasint"`
	}
)

// Enabled reports whether the age of the copy matters.
func (c *Copy) Enabled() bool { return c.RevokeTime > 0 }

// ConfirmedAt returns the time as of which the copy is complete, or 0 if that is not known.
func (c *Copy) ConfirmedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt
}

// NoteList records that the store has responded to a list call, and that the copy has its items.
func (c *Copy) NoteList(sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = max(c.confirmedAt, sent)
}

// NoteWatch records that the store has responded to a watch call, and that the copy has its changes. A response without
// changes after the full wait was sent when the wait had ended. Any other may have been sent at once and read late.
func (c *Copy) NoteWatch(sent, received, wait time.Duration, changed bool) {
	if !changed && received-sent >= wait {
		sent += wait
	}
	c.NoteList(sent)
}

// Lapsed reports whether no other host has confirmed the copy for so long that this host must call the store itself.
func (c *Copy) Lapsed(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Enabled() && now-c.relayedAt > c.share(lapseShare+spreadShare*c.Place)
}

// MaxWait returns the longest wait of a watch call whose response confirms the copy in time.
func (c *Copy) MaxWait() time.Duration { return c.share(waitShare) }

// Wait returns the wait of the next watch call of a host that must call the store itself, in whole milliseconds as in
// calls to the store.
func (c *Copy) Wait(now time.Duration) time.Duration {
	return max(c.ConfirmedAt()+c.MaxWait()-now, minWait).Truncate(time.Millisecond)
}

// EndWhen ends a watch call with the error that due returns, unless that is nil, until ctx ends.
func (c *Copy) EndWhen(ctx context.Context, cancel context.CancelCauseFunc, due func() error) {
	for clock.Sleep(ctx, checkInterval) {
		if err := due(); err != nil {
			cancel(err)
		}
	}
}

// State returns the state of the copy for a host whose request arrived at a time, or nil if it is not known. newest
// returns the version of the newest item of the copy.
func (c *Copy) State(arrived time.Duration, newest func() store.Version) *State {
	// The version is read later, so it covers all changes up to that time.
	at := c.ConfirmedAt()
	if at == 0 {
		return nil
	}
	v := newest()
	s := &State{Era: v.Era, Revision: v.Revision, ConfirmedMS: (at - arrived).Milliseconds()}
	if s.confirmed() > at-arrived {
		s.ConfirmedMS--
	}
	return s
}

// Merge records the state of another host's copy, in the response to a request that was sent at a time. It confirms
// this host's copy, which is complete as of a version, unless the other host has a newer item.
func (c *Copy) Merge(sent time.Duration, s *State, own store.Version) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if newest := (store.Version{Era: s.Era, Revision: s.Revision}); own.Compare(newest) < 0 {
		if own.Compare(c.missing) >= 0 {
			c.missing, c.missingAt = newest, sent
		}
		return
	}
	if at := sent + s.confirmed(); c.Enabled() {
		c.confirmedAt, c.relayedAt = max(c.confirmedAt, at), max(c.relayedAt, at)
	}
}

// Behind reports whether another host has stated an item that is newer than this host's copy, which is complete as of
// a version.
func (c *Copy) Behind(own store.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return own.Compare(c.missing) < 0
}

// Missed reports whether a watch call of this host, whose copy is complete as of a version, has been waiting for so
// long since another host stated a newer item that its response must be lost.
func (c *Copy) Missed(sent, now time.Duration, own store.Version) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := missedAfter + time.Duration(c.Place*float64(missedSpread))
	return own.Compare(c.missing) < 0 && now-max(sent, c.missingAt) >= late
}

func (s *State) confirmed() time.Duration { return time.Duration(s.ConfirmedMS) * time.Millisecond }

func (c *Copy) share(of float64) time.Duration { return time.Duration(of * float64(c.RevokeTime)) }
