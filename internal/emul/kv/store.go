package kv

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/kvapi"
)

const maxKeyBytes = 1024

type (
	// Store answers the calls of the key-value service; its exported fields are set before the first request.
	Store struct {
		ReadsPerS  int // 0 means no limit; a pending watch counts as one read
		WritesPerS int // 0 means no limit
		Fault      fault.Injector

		mu       sync.Mutex
		entries  map[string]kvapi.Entry
		leases   map[string]*lease
		watches  map[string]chan struct{} // closed when the key changes
		calls    map[string]int
		revision int64
		leaseSeq int64
		limited  int
		reads    bucket
		writes   bucket
	}

	lease struct {
		ttl   time.Duration
		ends  time.Time
		timer *time.Timer
	}

	// bucket allows one second's worth of calls at once.
	bucket struct {
		tokens float64
		at     time.Time
	}

	// args holds the arguments of every call.
	args struct {
		kvapi.Write
		Prefix string `json:"prefix"`
		Limit  int    `json:"limit"`
		TTLMS  int64  `json:"ttl_ms"`
		After  int64  `json:"after"`
		WaitMS int64  `json:"wait_ms"`
	}

	// Record tells what the store has seen.
	Record struct {
		Calls    map[string]int `json:"calls"`
		Limited  int            `json:"limited"`
		Keys     []string       `json:"keys"`
		Leases   int            `json:"leases"`
		Revision int64          `json:"revision"`
	}
)

var (
	errNoCall = errors.New("no such call")
	done      = struct{}{}
	refusals  = []struct {
		err    error
		status int
		code   string
	}{
		{kvapi.ErrNotFound, http.StatusNotFound, "not_found"},
		{kvapi.ErrNoChange, http.StatusNotFound, "no_change"},
		{kvapi.ErrConflict, http.StatusConflict, "conflict"},
		{kvapi.ErrLeaseNotFound, http.StatusGone, "lease_gone"},
		{kvapi.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
		{kvapi.ErrRateLimited, http.StatusTooManyRequests, "limited"},
	}
)

// ServeHTTP answers the calls under /v1/ and the fault control.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Fault.Serve(w, r, s.serve, func() any { return s.Record() })
}

// Record returns what the store has seen so far.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{
		Calls: maps.Clone(s.calls), Limited: s.limited, Keys: s.keys(""), Leases: len(s.leases), Revision: s.revision,
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	var a args
	if !fault.ReadJSON(w, r, &a) {
		return
	}
	out, err := s.call(r.Context(), strings.TrimPrefix(r.URL.Path, "/v1/"), a)
	if err == nil {
		fault.WriteJSON(w, http.StatusOK, out)
		return
	}
	for _, e := range refusals {
		if e.err == err {
			fault.WriteJSON(w, e.status, map[string]string{"code": e.code})
			return
		}
	}
	fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "no_such_call"})
}

func (s *Store) call(ctx context.Context, kind string, a args) (any, error) {
	if !s.admit(kind) {
		return nil, kvapi.ErrRateLimited
	}
	if len(a.Value) > kvapi.MaxValueBytes || len(a.Key) > maxKeyBytes {
		return nil, kvapi.ErrTooLarge
	}
	if kind == "watch" {
		return s.watch(ctx, a)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch kind {
	case "get":
		return s.get(a.Key)
	case "list":
		return s.list(a.Prefix, a.Limit), nil
	case "put":
		return s.put(a.Write)
	case "delete":
		return done, s.remove(a.Key, a.IfVersion)
	case "grant":
		return s.grant(time.Duration(a.TTLMS) * time.Millisecond), nil
	case "renew":
		return done, s.renew(a.LeaseID)
	case "revoke":
		return done, s.revoke(a.LeaseID)
	}
	return nil, errNoCall
}

// admit counts the call and takes it from its rate limit.
func (s *Store) admit(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[string]kvapi.Entry)
		s.leases = make(map[string]*lease)
		s.watches = make(map[string]chan struct{})
		s.calls = make(map[string]int)
	}
	s.calls[kind]++
	b, rate := &s.writes, s.WritesPerS
	if kind == "get" || kind == "list" || kind == "watch" {
		b, rate = &s.reads, s.ReadsPerS
	}
	if rate == 0 || b.take(time.Now(), float64(rate)) {
		return true
	}
	s.limited++
	return false
}

func (b *bucket) take(now time.Time, rate float64) bool {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (s *Store) get(key string) (any, error) {
	e, ok := s.entries[key]
	if !ok {
		return nil, kvapi.ErrNotFound
	}
	return e, nil
}

func (s *Store) list(prefix string, limit int) any {
	out := []kvapi.Entry{}
	for _, k := range s.keys(prefix) {
		if limit == 0 || len(out) < limit {
			out = append(out, s.entries[k])
		}
	}
	return map[string]any{"entries": out}
}

func (s *Store) put(w kvapi.Write) (any, error) {
	old := s.entries[w.Key]
	if w.IfVersion != kvapi.AnyVersion && w.IfVersion != old.Version {
		return nil, kvapi.ErrConflict
	}
	if w.LeaseID != "" && !s.live(w.LeaseID) {
		return nil, kvapi.ErrLeaseNotFound
	}
	s.revision++
	e := kvapi.Entry{
		Key: w.Key, Value: w.Value, Version: old.Version + 1, Revision: s.revision, LeaseID: w.LeaseID,
	}
	s.entries[w.Key] = e
	s.wake(w.Key)
	return e, nil
}

func (s *Store) remove(key string, ifVersion int64) error {
	old, ok := s.entries[key]
	if !ok {
		return kvapi.ErrNotFound
	}
	if ifVersion != kvapi.AnyVersion && ifVersion != old.Version {
		return kvapi.ErrConflict
	}
	s.drop(key)
	return nil
}

func (s *Store) grant(ttl time.Duration) any {
	s.leaseSeq++
	id := fmt.Sprintf("lease-%d", s.leaseSeq)
	l := &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
	return map[string]string{"lease_id": id}
}

func (s *Store) renew(id string) error {
	if !s.live(id) {
		return kvapi.ErrLeaseNotFound
	}
	l := s.leases[id]
	l.ends = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

func (s *Store) revoke(id string) error {
	if !s.live(id) {
		return kvapi.ErrLeaseNotFound
	}
	s.end(id)
	return nil
}

// live ends the lease if its time has passed and its timer has not run yet.
func (s *Store) live(id string) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	if !time.Now().Before(l.ends) {
		s.end(id)
		return false
	}
	return true
}

func (s *Store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A renewal may have moved the end after the timer fired.
	s.live(id)
}

func (s *Store) end(id string) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.LeaseID == id {
			s.drop(k)
		}
	}
}

func (s *Store) drop(key string) {
	s.revision++
	delete(s.entries, key)
	s.wake(key)
}

func (s *Store) wake(key string) {
	if c, ok := s.watches[key]; ok {
		close(c)
	}
	delete(s.watches, key)
}

// watch returns a newer entry, or ErrNotFound when a key that was seen at revision after has gone.
func (s *Store) watch(ctx context.Context, a args) (any, error) {
	timer := time.NewTimer(time.Duration(a.WaitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		e, ok := s.entries[a.Key]
		changed, watched := s.watches[a.Key]
		if !watched {
			changed = make(chan struct{})
			s.watches[a.Key] = changed
		}
		s.mu.Unlock()
		if ok && e.Revision > a.After {
			return e, nil
		}
		if !ok && a.After > 0 {
			return nil, kvapi.ErrNotFound
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, kvapi.ErrNoChange
		case <-ctx.Done():
			return nil, kvapi.ErrNoChange
		}
	}
}

func (s *Store) keys(prefix string) []string {
	keys := slices.Sorted(maps.Keys(s.entries))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.HasPrefix(k, prefix) })
}
