package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of one answer of the store.
const storeDelay = 4 * time.Millisecond

type (
	// item is an item of the store, or with Deleted set the event of its removal.
	item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value,omitempty"`
		Revision  int64  `json:"revision"`
		CreatedAt int64  `json:"created_at,omitempty"`
		Lease     int64  `json:"lease"`
		Deleted   bool   `json:"deleted,omitempty"`
	}

	condition struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	}

	put struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	}

	txn struct {
		Expected []condition `json:"expected"`
		Puts     []put       `json:"puts"`
		Remove   []string    `json:"remove"`
	}

	lease struct {
		ttl, end time.Duration
	}

	// store is a stand-in of the platform's store. Each host reaches it at an address of its own, so that the calls of
	// one host can be told from those of others.
	store struct {
		start time.Time

		mu        sync.Mutex
		revision  int64
		items     map[string]item
		history   []item
		leases    map[int64]*lease
		lastLease int64
		changed   chan struct{}
		// watches holds when the pending watch of a host for a prefix began.
		watches map[string]map[string]time.Time
	}
)

func newStore() *store {
	s := &store{
		start: time.Now(), revision: 1, items: make(map[string]item), leases: make(map[int64]*lease),
		changed: make(chan struct{}), watches: make(map[string]map[string]time.Time),
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// listen serves the calls of one host and returns the address.
func (s *store) listen(host string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /figreel/kv-range", s.list)
	mux.HandleFunc("GET /figreel/kv-watch", func(w http.ResponseWriter, r *http.Request) { s.watch(host, w, r) })
	mux.HandleFunc("POST /figreel/kv-txn", s.commit)
	mux.HandleFunc("POST /figreel/kv-lease", s.grant)
	mux.HandleFunc("POST /figreel/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /figreel/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }() //nolint:gosec // ends with the process
	return l.Addr().String(), nil
}

func answer(w http.ResponseWriter, status int, body any) {
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// put writes an item without a lease, as the operator and the engines do.
func (s *store) put(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(put{Key: key, Value: b})
	s.notify()
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// watchAge returns for how long a host's watch of a prefix has been pending, and false if there is none.
func (s *store) watchAge(host, prefix string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.watches[host][prefix]
	return time.Since(at), ok
}

// write stores an item at the current revision. The caller holds s.mu.
func (s *store) write(p put) {
	it := item{Key: p.Key, Value: p.Value, Revision: s.revision, CreatedAt: s.revision, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[p.Key] = it
	s.history = append(s.history, it)
}

// remove removes a key at a revision of its own. The caller holds s.mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Since(s.start) >= l.end {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.remove(key)
	}
	if len(keys) > 0 {
		s.notify()
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path_prefix")
	s.mu.Lock()
	out := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, it)
		}
	}
	as := s.revision
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	answer(w, http.StatusOK, map[string]any{"items": out, "truncated": false, "as_of": as})
}

func (s *store) watch(host string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("path_prefix")
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	if s.watches[host] == nil {
		s.watches[host] = make(map[string]time.Time)
	}
	s.watches[host][prefix] = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches[host], prefix)
		s.mu.Unlock()
	}()
	for {
		events, as, changed := s.since(prefix, after)
		timedOut := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
				timedOut = true
			}
		}
		if len(events) > 0 || timedOut {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": as})
			return
		}
	}
}

func (s *store) since(prefix string, after int64) (events []item, as int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []item{}
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	for _, it := range s.history[i:] {
		if strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	status, body := s.apply(&t)
	answer(w, status, body)
}

func (s *store) apply(t *txn) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, c := range t.Expected {
		it := s.items[c.Key]
		failed = failed || it.Revision != c.Revision
		if it.Key != "" {
			current = append(current, it)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	as := s.revision
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": as}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, end: time.Since(s.start) + ttl}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Since(s.start) + l.ttl
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.leases[id] != nil
	s.endLease(id)
	s.mu.Unlock()
	if !known {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}
