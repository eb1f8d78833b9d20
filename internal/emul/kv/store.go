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

// maxKeyBytes is the longest key that the service accepts.
const maxKeyBytes = 1024

type (
	// Store is an in-memory key-value service; set its exported fields before the first request.
	Store struct {
		ReadsPerS  int // 0 means no limit; a pending watch counts as one read
		WritesPerS int // 0 means no limit
		Fault      fault.Injector

		mu          sync.Mutex
		entries     map[string]kvapi.Entry
		leases      map[string]*lease
		watches     map[string]chan struct{} // by key; closed at the next change of the key
		calls       map[string]int           // by kind of call, rate-limited calls included
		revision    int64                    // number of changes so far, over all keys
		leaseSeq    int64
		rateLimited int // calls rejected by the rate limits
		readBucket  tokenBucket
		writeBucket tokenBucket
	}

	// lease deletes the keys that are bound to it when it expires or is revoked.
	lease struct {
		ttl       time.Duration
		expiresAt time.Time
		timer     *time.Timer
	}

	// tokenBucket is a rate limit that allows bursts of up to one second's worth of calls.
	tokenBucket struct {
		tokens    float64
		updatedAt time.Time
	}

	// args holds the arguments of all calls; each call uses some of them.
	args struct {
		kvapi.Write
		Prefix string `json:"prefix"`
		Limit  int    `json:"limit"`
		TTLMS  int64  `json:"ttl_ms"`
		After  int64  `json:"after"` // watch: revision that the caller has seen; 0 means no entry
		WaitMS int64  `json:"wait_ms"`
	}

	// Record is a summary of the calls received and of the current contents.
	Record struct {
		Calls    map[string]int `json:"calls"`
		Limited  int            `json:"limited"`
		Keys     []string       `json:"keys"`
		Leases   int            `json:"leases"`
		Revision int64          `json:"revision"`
	}
)

var (
	errUnknownCall = errors.New("no such call")
	emptyResult    = struct{}{}
	errorCodes     = []struct {
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

// ServeHTTP handles the calls under /v1/, /fault and /record.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Fault.Serve(w, r, s.serve, func() any { return s.Record() })
}

// Record returns the current summary.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Record{
		Calls: maps.Clone(s.calls), Limited: s.rateLimited, Keys: s.keys(""),
		Leases: len(s.leases), Revision: s.revision,
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
	for _, e := range errorCodes {
		if e.err == err {
			fault.WriteJSON(w, e.status, map[string]string{"code": e.code})
			return
		}
	}
	fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "no_such_call"})
}

// call checks the rate limits and sizes, and executes one call.
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
		return emptyResult, s.remove(a.Key, a.IfVersion)
	case "grant":
		return s.grant(time.Duration(a.TTLMS) * time.Millisecond), nil
	case "renew":
		return emptyResult, s.renew(a.LeaseID)
	case "revoke":
		return emptyResult, s.revoke(a.LeaseID)
	}
	return nil, errUnknownCall
}

// admit counts the call and reports whether its rate limit allows it.
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
	b, rate := &s.writeBucket, s.WritesPerS
	if kind == "get" || kind == "list" || kind == "watch" {
		b, rate = &s.readBucket, s.ReadsPerS
	}
	if rate == 0 || b.take(time.Now(), float64(rate)) {
		return true
	}
	s.rateLimited++
	return false
}

// take refills the bucket and reports whether it held a token for the call.
func (b *tokenBucket) take(now time.Time, rate float64) bool {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
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
	if w.LeaseID != "" && !s.isLive(w.LeaseID) {
		return nil, kvapi.ErrLeaseNotFound
	}
	s.revision++
	e := kvapi.Entry{
		Key: w.Key, Value: w.Value, Version: old.Version + 1, Revision: s.revision, LeaseID: w.LeaseID,
	}
	s.entries[w.Key] = e
	s.notifyWatches(w.Key)
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
	s.deleteEntry(key)
	return nil
}

func (s *Store) grant(ttl time.Duration) any {
	s.leaseSeq++
	id := fmt.Sprintf("lease-%d", s.leaseSeq)
	l := &lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	l.timer = time.AfterFunc(ttl, func() { s.expire(id) })
	s.leases[id] = l
	return map[string]string{"lease_id": id}
}

func (s *Store) renew(id string) error {
	if !s.isLive(id) {
		return kvapi.ErrLeaseNotFound
	}
	l := s.leases[id]
	l.expiresAt = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	return nil
}

func (s *Store) revoke(id string) error {
	if !s.isLive(id) {
		return kvapi.ErrLeaseNotFound
	}
	s.endLease(id)
	return nil
}

// isLive reports whether the lease exists and has not expired. It ends a lease whose time has passed, because the
// lease's timer may run late.
func (s *Store) isLive(id string) bool {
	l := s.leases[id]
	if l == nil {
		return false
	}
	if !time.Now().Before(l.expiresAt) {
		s.endLease(id)
		return false
	}
	return true
}

func (s *Store) expire(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A renewal may have extended the lease between the firing of the timer and the locking of the mutex.
	s.isLive(id)
}

// endLease removes the lease and deletes all keys that are bound to it.
func (s *Store) endLease(id string) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.LeaseID == id {
			s.deleteEntry(k)
		}
	}
}

func (s *Store) deleteEntry(key string) {
	s.revision++
	delete(s.entries, key)
	s.notifyWatches(key)
}

func (s *Store) notifyWatches(key string) {
	if c, ok := s.watches[key]; ok {
		close(c)
	}
	delete(s.watches, key)
}

// watch is a long poll: it returns the entry once its revision is greater than After, ErrNotFound if the key is missing
// and After is not 0, because the caller has seen it, or ErrNoChange after WaitMS milliseconds.
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

// keys returns the sorted keys that start with prefix.
func (s *Store) keys(prefix string) []string {
	keys := slices.Sorted(maps.Keys(s.entries))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.HasPrefix(k, prefix) })
}
