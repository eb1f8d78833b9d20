package stub

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/store"
)

// watchPollInterval is how often a watch checks for expired leases. It checks for changes as they happen.
const watchPollInterval = 50 * time.Millisecond

// Store is an in-memory store.Store; its zero value is an empty store. While it is in use, its fields may be changed
// only inside Do.
type Store struct {
	// Fault is called with the kind of each call before it is executed; its error rejects the call.
	Fault func(kind string) error
	// LoseResponse is called after each executed call; if it returns true, the caller gets ErrOutcomeUnknown.
	LoseResponse func(kind string) bool

	mu          sync.Mutex
	era         int64
	revision    int64
	items       map[string]store.Item
	leases      map[int64]*lease
	lastLease   int64
	nextExpiry  time.Time // no lease expires before it
	events      []store.Event
	compactedTo int64 // events up to this revision are dropped
	calls       map[string]int
	changed     chan struct{} // closed at the next change of the items or of the faults
}

type (
	// Copy is a copy of the items and leases of a store.
	Copy struct {
		revision  int64
		items     map[string]store.Item
		leases    map[int64]lease
		lastLease int64
	}

	lease struct {
		ttl time.Duration
		end time.Time
	}
)

// Do runs f while no call is in progress.
func (s *Store) Do(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	f()
	s.notify()
}

// Set writes a key without a lease, as another client of the store would.
func (s *Store) Set(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.put(store.Item{Key: key, Value: []byte(value)})
}

// Delete removes a key, as another client of the store would.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.remove(key)
}

// Compact drops the history up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedTo = nil, s.revision
}

// Copy returns a copy of the current state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.expireLeases()
	c := &Copy{
		revision: s.revision, items: maps.Clone(s.items), leases: make(map[int64]lease), lastLease: s.lastLease,
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the state by an earlier one and starts a new era. Revisions and leases that the copy does not have
// are given out again. The leases in the copy expire as if they had been renewed now.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.era++
	s.revision, s.items, s.lastLease = c.revision, maps.Clone(c.items), c.lastLease
	s.leases, s.nextExpiry = make(map[int64]*lease), time.Time{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, end: time.Now().Add(l.ttl)}
	}
	s.events = slices.DeleteFunc(s.events, func(e store.Event) bool { return e.Revision > s.revision })
	s.compactedTo = min(s.compactedTo, s.revision)
	s.notify()
}

// Calls returns the number of calls of one kind, rejected ones included.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// Value returns the value of a key, or an empty string if the key does not exist.
func (s *Store) Value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	return string(s.items[key].Value)
}

// List implements store.Store.
func (s *Store) List(_ context.Context, prefix string) (list []store.Item, as store.Version, err error) {
	err = s.call("list", func() error {
		for _, it := range s.items {
			if strings.HasPrefix(it.Key, prefix) {
				list = append(list, it)
			}
		}
		slices.SortFunc(list, func(a, b store.Item) int { return strings.Compare(a.Key, b.Key) })
		as = s.version()
		return nil
	})
	return list, as, err
}

// Watch implements store.Store.
func (s *Store) Watch(
	ctx context.Context, prefix string, after store.Version, wait time.Duration,
) (list []store.Event, as store.Version, err error) {
	until := time.Now().Add(wait)
	first := true
	var era int64
	for {
		// The first check is counted as a call of kind watch, each later one as a call of kind look.
		kind := "look"
		var changed chan struct{}
		if first {
			kind = "watch"
		}
		err = s.call(kind, func() error {
			changed = s.changed
			if first {
				era = s.era
			}
			switch {
			case s.era != era:
				// The connections of before a restore are cut.
				return store.ErrOutcomeUnknown
			case after.Revision < s.compactedTo || after.Revision > s.revision:
				return store.ErrCompacted
			}
			first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after.Revision })
			for _, e := range s.events[first:] {
				if strings.HasPrefix(e.Key, prefix) {
					list = append(list, e)
				}
			}
			as = s.version()
			return nil
		})
		if err != nil || len(list) > 0 || !time.Now().Before(until) {
			return list, as, err
		}
		first = false
		select {
		case <-changed:
		case <-time.After(watchPollInterval):
		case <-ctx.Done():
			return nil, store.Version{}, store.ErrOutcomeUnknown
		}
	}
}

// Commit implements store.Store.
func (s *Store) Commit(_ context.Context, t store.Txn) (as store.Version, err error) {
	err = s.call("commit", func() error {
		for _, c := range t.If {
			if s.items[c.Key].Revision != c.Revision {
				return store.ErrConflict
			}
		}
		for _, it := range t.Puts {
			if it.Lease != 0 && s.leases[it.Lease] == nil {
				return store.ErrLeaseGone
			}
		}
		for _, it := range t.Puts {
			s.put(it)
		}
		for _, key := range t.Remove {
			s.remove(key)
		}
		as = s.version()
		return s.checkEra(t.Era)
	})
	return as, err
}

// Grant implements store.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (granted store.Lease, err error) {
	err = s.call("grant", func() error {
		s.lastLease++
		granted = store.Lease{ID: s.lastLease, Era: s.era}
		l := &lease{ttl: ttl, end: time.Now().Add(ttl)}
		s.leases[granted.ID] = l
		if l.end.Before(s.nextExpiry) {
			s.nextExpiry = l.end
		}
		return nil
	})
	return granted, err
}

// Renew implements store.Store.
func (s *Store) Renew(_ context.Context, renewed store.Lease) error {
	return s.call("renew", func() error {
		l := s.leases[renewed.ID]
		if l == nil {
			return store.ErrLeaseGone
		}
		l.end = time.Now().Add(l.ttl)
		return s.checkEra(renewed.Era)
	})
}

// Revoke implements store.Store.
func (s *Store) Revoke(_ context.Context, l store.Lease) error {
	return s.call("end", func() error {
		s.endLease(l.ID)
		return s.checkEra(l.Era)
	})
}

// RemoveKey removes a key and leaves its lease in place, unlike Revoke.
func (s *Store) RemoveKey(key string) { s.Delete(key) }

// call counts a call, injects the configured faults and executes f.
func (s *Store) call(kind string, f func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.init()
	s.calls[kind]++
	s.expireLeases()
	if s.Fault != nil {
		if err := s.Fault(kind); err != nil {
			return err
		}
	}
	if err := f(); err != nil {
		return err
	}
	if s.LoseResponse != nil && s.LoseResponse(kind) {
		return store.ErrOutcomeUnknown
	}
	return nil
}

func (s *Store) init() {
	if s.items == nil {
		s.items = make(map[string]store.Item)
		s.leases = make(map[int64]*lease)
		s.calls = make(map[string]int)
		s.changed = make(chan struct{})
	}
}

// checkEra returns an error for a call that refers to another era. The store does not know that, but its client does.
func (s *Store) checkEra(era int64) error {
	if era != s.era {
		return store.ErrRestored
	}
	return nil
}

func (s *Store) version() store.Version { return store.Version{Era: s.era, Revision: s.revision} }

// notify wakes the waiting watches.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that have expired. Renewals only extend leases, so none expires before nextExpiry.
func (s *Store) expireLeases() {
	now := time.Now()
	if len(s.leases) == 0 || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	for id, l := range s.leases {
		if !now.Before(l.end) {
			s.endLease(id)
			continue
		}
		if s.nextExpiry.IsZero() || l.end.Before(s.nextExpiry) {
			s.nextExpiry = l.end
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) put(it store.Item) {
	s.revision++
	it.Revision = s.revision
	s.items[it.Key] = it
	s.events = append(s.events, store.Event{Item: it})
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, store.Event{Item: store.Item{Key: key, Revision: s.revision}, Deleted: true})
	s.notify()
}
