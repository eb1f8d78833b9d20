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
	// Kind names a method of kvapi.Service.
	Kind string

	// Store is the state that all clients share; Latency delays every call and is set before the first one.
	Store struct {
		Latency time.Duration

		mu       sync.Mutex
		entries  map[string]kvapi.Entry
		leases   map[string]*lease
		revision int64
		granted  int
		down     bool
		cut      map[string]bool
		faults   []*Fault
		calls    map[string]map[Kind]int
		changed  chan struct{} // closed and replaced at every change of entries or reachability
	}

	// Fault makes matching calls fail; empty fields match every call.
	Fault struct {
		Client string
		Kind   Kind
		Prefix string // of the key
		// AfterEffect applies the call's effect before it fails.
		AfterEffect bool
		// Hang keeps the caller waiting until its context ends.
		Hang bool
		// Err is returned; kvapi.ErrOutcomeUnknown by default.
		Err error
		// Times is the number of calls that fail; 0 means 1.
		Times int
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
	}
)

// New returns an empty store that is reachable.
func New() *Store {
	return &Store{
		entries: make(map[string]kvapi.Entry),
		leases:  make(map[string]*lease),
		cut:     make(map[string]bool),
		calls:   make(map[string]map[Kind]int),
		changed: make(chan struct{}),
	}
}

// Client returns the service as the named client sees it.
func (s *Store) Client(name string) *Client {
	return &Client{store: s, name: name}
}

// SetDown starts or ends an outage: meanwhile every call, including a pending watch, returns kvapi.ErrOutcomeUnknown.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// SetPartitioned separates one client from the service or reconnects it.
func (s *Store) SetPartitioned(client string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[client] = cut
	s.notify()
}

// InjectFault injects a fault; faults are consumed in the order of their injection.
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

// Calls returns how many calls of the given kinds arrived from all clients, or of every kind when none is given.
func (s *Store) Calls(kinds ...Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, byKind := range s.calls {
		total += count(byKind, kinds)
	}
	return total
}

// CallsOf is Calls for one client.
func (s *Store) CallsOf(client string, kinds ...Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return count(s.calls[client], kinds)
}

// Keys returns the existing keys with the prefix in order; it is not a counted call.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.keys(prefix)
}

func count(byKind map[Kind]int, kinds []Kind) int {
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

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Removes leases that have ended and their keys.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if !now.Before(l.ends) {
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
	return !s.down && !s.cut[client]
}

func (s *Store) arrive(client string, kind Kind) {
	if s.calls[client] == nil {
		s.calls[client] = make(map[Kind]int)
	}
	s.calls[client][kind]++
}

// Consumes and returns the first fault that matches the call.
func (s *Store) fault(client string, kind Kind, key string) *Fault {
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
	old := s.entries[w.Key] // a key that does not exist has version IfAbsent
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
	s.notify()
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
	s.notify()
	return nil
}

func (s *Store) grant(ttl time.Duration) string {
	s.granted++
	id := "lease-" + strconv.Itoa(s.granted)
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return id
}

func (s *Store) renew(id string) error {
	l := s.leases[id]
	if l == nil {
		return kvapi.ErrLeaseNotFound
	}
	l.ends = time.Now().Add(l.ttl)
	return nil
}

func (s *Store) revoke(id string) error {
	if s.leases[id] == nil {
		return kvapi.ErrLeaseNotFound
	}
	s.endLease(id)
	s.notify()
	return nil
}
