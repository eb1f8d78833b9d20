package kvfake

import (
	"bytes"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/kvapi"
)

const (
	// Get reads a key.
	Get Kind = "get"
	// List reads keys by prefix.
	List Kind = "list"
	// Put writes a key.
	Put Kind = "put"
	// Delete removes a key.
	Delete Kind = "delete"
	// Grant creates a lease.
	Grant Kind = "grant"
	// Renew extends a lease.
	Renew Kind = "renew"
	// Revoke ends a lease.
	Revoke Kind = "revoke"
	// Watch waits for a change of a key.
	Watch Kind = "watch"
)

type (
	// Kind is a method of kvapi.Service.
	Kind string

	// Store is the data that all clients share. Latency delays every call and is set before the first one.
	Store struct {
		Latency time.Duration

		mu          sync.Mutex
		entries     map[string]kvapi.Entry
		leases      map[string]*lease
		revision    int64
		leaseCount  int
		outage      bool
		partitioned map[string]bool
		faults      []*Fault
		calls       map[string]map[Kind]int
		changed     chan struct{} // closed and replaced when an entry or the reachability changes, to wake watches
	}

	// Fault makes matching calls fail; an empty Client, Kind or Prefix matches every call.
	Fault struct {
		Client string
		Kind   Kind
		Prefix string // of the key
		// AfterExecution executes the call before it fails, as when a response is lost.
		AfterExecution bool
		// Hang blocks the call until its context ends.
		Hang bool
		// Err is the error of the failed call; nil means kvapi.ErrOutcomeUnknown.
		Err error
		// Times is the number of calls that fail; 0 means 1.
		Times int
	}

	lease struct {
		ttl       time.Duration
		expiresAt time.Time
	}
)

// New returns an empty store that is reachable.
func New() *Store {
	return &Store{
		entries:     make(map[string]kvapi.Entry),
		leases:      make(map[string]*lease),
		partitioned: make(map[string]bool),
		calls:       make(map[string]map[Kind]int),
		changed:     make(chan struct{}),
	}
}

// Client returns a client of the store; its name selects partitions, faults and call counts.
func (s *Store) Client(name string) *Client {
	return &Client{store: s, name: name}
}

// SetOutage starts or ends an outage, during which every call and pending watch returns kvapi.ErrOutcomeUnknown.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.wakeWatches()
}

// SetPartitioned starts or ends a partition between one client and the store.
func (s *Store) SetPartitioned(client string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[client] = partitioned
	s.wakeWatches()
}

// InjectFault adds a fault. A call consumes the first matching fault in the order of injection.
func (s *Store) InjectFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Times == 0 {
		f.Times = 1
	}
	if f.Err == nil {
		f.Err = kvapi.ErrOutcomeUnknown
	}
	s.faults = append(s.faults, &f)
}

// ClearFaults removes the faults that have not been consumed.
func (s *Store) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// Calls returns the number of calls of the given kinds by all clients; without kinds it counts every call.
func (s *Store) Calls(kinds ...Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, byKind := range s.calls {
		total += countOf(byKind, kinds)
	}
	return total
}

// CallsOf returns the number of calls of the given kinds by one client; without kinds it counts every call.
func (s *Store) CallsOf(client string, kinds ...Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return countOf(s.calls[client], kinds)
}

// Keys returns the existing keys with the prefix, sorted. It is not counted as a call.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.keys(prefix)
}

func countOf(byKind map[Kind]int, kinds []Kind) int {
	total := 0
	for k, n := range byKind {
		if len(kinds) == 0 {
			total += n
		}
		for _, want := range kinds {
			if k == want {
				total += n
			}
		}
	}
	return total
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire deletes the leases that have expired, with their keys.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id string) {
	delete(s.leases, id)
	for key, e := range s.entries {
		if e.LeaseID == id {
			delete(s.entries, key)
		}
	}
}

func (s *Store) keys(prefix string) []string {
	var keys []string
	for key := range s.entries {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) reachable(client string) bool {
	return !s.outage && !s.partitioned[client]
}

func (s *Store) countCall(client string, kind Kind) {
	if s.calls[client] == nil {
		s.calls[client] = make(map[Kind]int)
	}
	s.calls[client][kind]++
}

// takeFault consumes and returns the first fault that matches the call, or nil.
func (s *Store) takeFault(client string, kind Kind, key string) *Fault {
	for _, f := range s.faults {
		matches := (f.Client == "" || f.Client == client) && (f.Kind == "" || f.Kind == kind)
		if f.Times > 0 && matches && strings.HasPrefix(key, f.Prefix) {
			f.Times--
			return f
		}
	}
	return nil
}

func (s *Store) get(key string) (kvapi.Entry, error) {
	e, ok := s.entries[key]
	if !ok {
		return kvapi.Entry{}, kvapi.ErrNotFound
	}
	e.Value = bytes.Clone(e.Value)
	return e, nil
}

func (s *Store) put(w kvapi.Write) (kvapi.Entry, error) {
	old := s.entries[w.Key] // zero if the key does not exist, so that its version equals IfAbsent
	if w.IfVersion != kvapi.AnyVersion && w.IfVersion != old.Version {
		return kvapi.Entry{}, kvapi.ErrConflict
	}
	if w.LeaseID != "" && s.leases[w.LeaseID] == nil {
		return kvapi.Entry{}, kvapi.ErrLeaseNotFound
	}
	s.revision++
	s.entries[w.Key] = kvapi.Entry{
		Key: w.Key, Value: bytes.Clone(w.Value), Version: old.Version + 1, Revision: s.revision, LeaseID: w.LeaseID,
	}
	s.wakeWatches()
	return s.get(w.Key)
}

func (s *Store) delete(key string, ifVersion int64) error {
	old, ok := s.entries[key]
	if !ok {
		return kvapi.ErrNotFound
	}
	if ifVersion != kvapi.AnyVersion && ifVersion != old.Version {
		return kvapi.ErrConflict
	}
	s.revision++
	delete(s.entries, key)
	s.wakeWatches()
	return nil
}

func (s *Store) grant(ttl time.Duration) string {
	s.leaseCount++
	id := "lease-" + strconv.Itoa(s.leaseCount)
	s.leases[id] = &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return id
}

func (s *Store) renew(id string) error {
	l := s.leases[id]
	if l == nil {
		return kvapi.ErrLeaseNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

func (s *Store) revoke(id string) error {
	if s.leases[id] == nil {
		return kvapi.ErrLeaseNotFound
	}
	s.endLease(id)
	s.wakeWatches()
	return nil
}
