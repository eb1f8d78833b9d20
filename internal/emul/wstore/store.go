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
	// Store answers pulls and catalogue requests; its exported fields are set before the first request.
	Store struct {
		LoadsPerS         float64 // starts of model loads; later ones wait; 0 means no limit
		AtOnce            int     // model loads at full speed, beyond which each is slower; 0 means no limit
		AdaptersInTransit int     // the same for adapter loads
		LoadTime          time.Duration
		AdapterTime       time.Duration
		Items             []weight.Item // catalogue; POST /v1/items replaces it; an empty one does not restrict pulls
		Fault             fault.Injector

		mu       sync.Mutex
		models   int // in transit
		adapters int
		next     time.Time // earliest start of the next model load
		record   Record
	}

	// Record tells what the store has seen.
	Record struct {
		Pulls        []Pull `json:"pulls"`
		PeakModels   int    `json:"peak_models"`
		PeakAdapters int    `json:"peak_adapters"`
		Delayed      int    `json:"delayed"` // by the limit of starts
		Slowed       int    `json:"slowed"`  // by the limit of loads at once
	}

	// Pull is one load with its time in milliseconds.
	Pull struct {
		Item    string    `json:"item"`
		Adapter bool      `json:"adapter,omitempty"`
		At      time.Time `json:"at"`
		TookMS  int64     `json:"took_ms"`
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
		items := s.catalogue()
		if i := index(items, r.URL.Query().Get("name")); i >= 0 {
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

// catalogue returns the items, which are replaced together and never changed.
func (s *Store) catalogue() []weight.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Items
}

func index(items []weight.Item, name string) int {
	return slices.IndexFunc(items, func(it weight.Item) bool { return it.Name == name })
}

// pull answers once the item has been transferred.
func (s *Store) pull(w http.ResponseWriter, r *http.Request) {
	var it weight.Item
	if !fault.ReadJSON(w, r, &it) {
		return
	}
	if items := s.catalogue(); len(items) > 0 && index(items, it.Name) < 0 {
		fault.WriteJSON(w, http.StatusNotFound, map[string]string{"code": "not_found"})
		return
	}
	took := s.begin(it)
	defer s.end(it)
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
		fault.WriteJSON(w, http.StatusOK, it)
	case <-r.Context().Done():
	}
}

// begin takes the item into transit and returns how long its pull lasts.
func (s *Store) begin(it weight.Item) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var took time.Duration
	if it.Adapter {
		s.adapters++
		s.record.PeakAdapters = max(s.record.PeakAdapters, s.adapters)
		took = s.slowed(s.AdapterTime, s.adapters, s.AdaptersInTransit)
	} else {
		s.models++
		s.record.PeakModels = max(s.record.PeakModels, s.models)
		took = s.slowed(s.LoadTime, s.models, s.AtOnce) + s.wait(now)
	}
	s.record.Pulls = append(s.record.Pulls, Pull{
		Item: it.Name, Adapter: it.Adapter, At: now, TookMS: took.Milliseconds(),
	})
	return took
}

// slowed stretches d in proportion to the loads beyond the limit.
func (s *Store) slowed(d time.Duration, n, limit int) time.Duration {
	if n <= cmp.Or(limit, n) {
		return d
	}
	s.record.Slowed++
	return d * time.Duration(n) / time.Duration(limit)
}

// wait returns the time until the model load may start.
func (s *Store) wait(now time.Time) time.Duration {
	if s.LoadsPerS == 0 {
		return 0
	}
	start := now
	if s.next.After(now) {
		start = s.next
		s.record.Delayed++
	}
	s.next = start.Add(time.Duration(float64(time.Second) / s.LoadsPerS))
	return start.Sub(now)
}

func (s *Store) end(it weight.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it.Adapter {
		s.adapters--
		return
	}
	s.models--
}
