package wstore

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/weight"
)

type (
	// Store is a weight store with a catalog of items, a limited start rate and limited bandwidth; set its exported
	// fields before the first request.
	Store struct {
		LoadsPerS                 float64       // starts of model loads per second; others wait; 0 means no limit
		MaxConcurrentLoads        int           // model loads at full speed; more are slower; 0 means no limit
		MaxConcurrentAdapterLoads int           // adapter loads at full speed, as MaxConcurrentLoads
		LoadTime                  time.Duration // of a model load at full speed
		AdapterTime               time.Duration // of an adapter load at full speed
		Items                     []weight.Item // catalog, replaced by POST /v1/items; if empty, any item can be pulled
		Fault                     fault.Injector

		mu           sync.Mutex
		modelLoads   int       // in progress
		adapterLoads int       // in progress
		nextStart    time.Time // earliest start of the next model load
		record       Record
	}

	// Record lists the pulls, and counts the effects of the limits on them.
	Record struct {
		Pulls        []Pull `json:"pulls"`
		PeakModels   int    `json:"peak_models"`   // concurrent model loads
		PeakAdapters int    `json:"peak_adapters"` // concurrent adapter loads
		Delayed      int    `json:"delayed"`       // model loads that waited because of LoadsPerS
		Slowed       int    `json:"slowed"`        // loads slowed by MaxConcurrentLoads or MaxConcurrentAdapterLoads
	}

	// Pull is one load from the store, with its start and its duration in milliseconds.
	Pull struct {
		Item    string    `json:"item"`
		Adapter bool      `json:"adapter,omitempty"`
		At      time.Time `json:"at"`
		TookMS  int64     `json:"took_ms"`
	}
)

// ServeHTTP handles the calls under /v1/, /fault and /record.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Fault.Serve(w, r, s.serve, func() any { return s.Record() })
}

// Record returns all pulls and counts so far.
func (s *Store) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.record
	out.Pulls = slices.Clone(out.Pulls)
	return out
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/health":
		fault.WriteJSON(w, http.StatusOK, map[string]bool{"ok": true})
	case r.URL.Path == "/v1/items" && r.Method == http.MethodPost:
		s.setItems(w, r)
	case r.URL.Path == "/v1/items":
		items := s.catalog()
		if i := indexByName(items, r.URL.Query().Get("name")); i >= 0 {
			fault.WriteJSON(w, http.StatusOK, items[i])
			return
		}
		fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "not_found"})
	case r.URL.Path == "/v1/pull":
		s.pull(w, r)
	default:
		fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "no_such_call"})
	}
}

func (s *Store) setItems(w http.ResponseWriter, r *http.Request) {
	var items []weight.Item
	if !fault.ReadJSON(w, r, &items) {
		return
	}
	s.mu.Lock()
	s.Items = items
	s.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, struct{}{})
}

// catalog returns the items. The slice may be read without the lock: setItems replaces it and never modifies it.
func (s *Store) catalog() []weight.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Items
}

// indexByName returns the index of the named item, or -1.
func indexByName(items []weight.Item, name string) int {
	return slices.IndexFunc(items, func(it weight.Item) bool { return it.Name == name })
}

// pull responds when the transfer of the item is complete.
func (s *Store) pull(w http.ResponseWriter, r *http.Request) {
	var it weight.Item
	if !fault.ReadJSON(w, r, &it) {
		return
	}
	if items := s.catalog(); len(items) > 0 && indexByName(items, it.Name) < 0 {
		fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "not_found"})
		return
	}
	duration := s.beginLoad(it)
	defer s.endLoad(it)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		fault.WriteJSON(w, http.StatusOK, it)
	case <-r.Context().Done():
	}
}

// beginLoad counts the load as in progress, records it and returns its duration, which later loads do not change.
func (s *Store) beginLoad(it weight.Item) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var duration time.Duration
	if it.Adapter {
		s.adapterLoads++
		s.record.PeakAdapters = max(s.record.PeakAdapters, s.adapterLoads)
		duration = s.slowDown(s.AdapterTime, s.adapterLoads, s.MaxConcurrentAdapterLoads)
	} else {
		s.modelLoads++
		s.record.PeakModels = max(s.record.PeakModels, s.modelLoads)
		duration = s.slowDown(s.LoadTime, s.modelLoads, s.MaxConcurrentLoads) + s.startDelay(now)
	}
	s.record.Pulls = append(s.record.Pulls, Pull{
		Item: it.Name, Adapter: it.Adapter, At: now, TookMS: duration.Milliseconds(),
	})
	return duration
}

// slowDown returns the duration of a load that takes d at full speed, with n loads in progress: n/limit times d if n
// exceeds the limit.
func (s *Store) slowDown(d time.Duration, n, limit int) time.Duration {
	if n <= cmp.Or(limit, n) {
		return d
	}
	s.record.Slowed++
	return d * time.Duration(n) / time.Duration(limit)
}

// startDelay returns the time until LoadsPerS allows the model load to start, and reserves that start.
func (s *Store) startDelay(now time.Time) time.Duration {
	if s.LoadsPerS == 0 {
		return 0
	}
	start := now
	if s.nextStart.After(now) {
		start = s.nextStart
		s.record.Delayed++
	}
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.LoadsPerS))
	return start.Sub(now)
}

func (s *Store) endLoad(it weight.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it.Adapter {
		s.adapterLoads--
		return
	}
	s.modelLoads--
}
