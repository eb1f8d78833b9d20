package main

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
)

// storeDelay is the time of one answer of the store.
const storeDelay = 4 * time.Millisecond

type (
	// platformStore serves a store in memory as the platform's pages describe it.
	platformStore struct {
		*stub.Store
		addr string
		down atomic.Bool // every call gets 503, which says that nothing was done
	}

	storeItem struct {
		Key      string `json:"key"`
		Value    []byte `json:"value,omitempty"`
		Revision int64  `json:"revision"`
		Lease    int64  `json:"lease"`
		Deleted  bool   `json:"deleted,omitempty"`
	}

	storeTxn struct {
		Expected []store.Condition `json:"expected"`
		Puts     []storeItem       `json:"puts"`
		Remove   []string          `json:"remove"`
	}
)

func newPlatformStore() (*platformStore, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &platformStore{Store: &stub.Store{}, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /figreel/kv-range", s.list)
	mux.HandleFunc("GET /figreel/kv-watch", s.watch)
	mux.HandleFunc("POST /figreel/kv-txn", s.commit)
	mux.HandleFunc("POST /figreel/kv-lease", s.grant)
	mux.HandleFunc("POST /figreel/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /figreel/kv-lease-end/{id}", s.end)
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeDelay)
			if s.down.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		})}
	go func() { _ = srv.Serve(l) }()
	return s, nil
}

// set writes a key without a lease, as the operator and the engines do.
func (s *platformStore) set(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.Set(key, string(b))
}

func answer(w http.ResponseWriter, era int64, err error, body any) {
	status := http.StatusOK
	switch {
	case errors.Is(err, store.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, store.ErrLeaseGone):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrCompacted):
		status = http.StatusGone
	case errors.Is(err, store.ErrNotExecuted):
		status = http.StatusServiceUnavailable
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request) {
	items, as, err := s.List(r.Context(), r.URL.Query().Get("path_prefix"))
	out := make([]storeItem, 0, len(items))
	for _, it := range items {
		out = append(out, storeItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Lease: it.Lease})
	}
	answer(w, as.Era, err, map[string]any{"items": out, "truncated": false, "as_of": as.Revision})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	events, as, err := s.Watch(r.Context(), q.Get("path_prefix"), store.Version{Revision: after},
		time.Duration(waitMS)*time.Millisecond)
	out := make([]storeItem, 0, len(events))
	for _, e := range events {
		out = append(out, storeItem{
			Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: e.Lease, Deleted: e.Deleted,
		})
	}
	answer(w, as.Era, err, map[string]any{"events": out, "as_of": as.Revision})
}

func (s *platformStore) commit(w http.ResponseWriter, r *http.Request) {
	var body storeTxn
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	txn := store.Txn{If: body.Expected, Remove: body.Remove}
	for _, p := range body.Puts {
		txn.Puts = append(txn.Puts, store.Item{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	as, err := s.Commit(r.Context(), txn)
	answer(w, as.Era, err, map[string]any{"revision": as.Revision})
}

func (s *platformStore) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l, err := s.Grant(r.Context(), time.Duration(body.TTLMS)*time.Millisecond)
	answer(w, l.Era, err, map[string]any{"lease": l.ID, "ttl_ms": body.TTLMS})
}

func (s *platformStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	answer(w, 0, s.Renew(r.Context(), store.Lease{ID: id}), map[string]any{})
}

func (s *platformStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	answer(w, 0, s.Revoke(r.Context(), store.Lease{ID: id}), map[string]any{})
}
