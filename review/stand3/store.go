package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
)

const (
	// storeDelay is the time of one answer of the store.
	storeDelay = 4 * time.Millisecond
	eraHeader  = "Store-Era"
)

type (
	// storeServer serves a store in memory as the platform does, on one address for each host.
	storeServer struct {
		*stub.Store
		mux   *http.ServeMux
		ports []*storePort
	}

	// storePort is the address of the store for one host.
	storePort struct {
		addr string
		srv  *http.Server
		// mute means that calls of the host get no response. A channel on which a response is lost returns nothing
		// further.
		mute atomic.Bool
	}

	// portWriter sends the responses of one call, unless its port is mute.
	portWriter struct {
		http.ResponseWriter
		port *storePort
		done <-chan struct{} // closed when the channel ends
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

func newStoreServer() *storeServer {
	s := &storeServer{Store: &stub.Store{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /figreel/kv-range", s.list)
	s.mux.HandleFunc("GET /figreel/kv-watch", s.watch)
	s.mux.HandleFunc("POST /figreel/kv-txn", s.commit)
	s.mux.HandleFunc("POST /figreel/kv-lease", s.grant)
	s.mux.HandleFunc("POST /figreel/kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /figreel/kv-lease-end/{id}", s.end)
	return s
}

// listen serves the calls of one host on a free port.
func (s *storeServer) listen() (*storePort, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	p := &storePort{addr: l.Addr().String()}
	p.srv = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeDelay)
			s.mux.ServeHTTP(&portWriter{w, p, r.Context().Done()}, r)
		})}
	go func() { _ = p.srv.Serve(l) }()
	s.ports = append(s.ports, p)
	return p, nil
}

func (s *storeServer) close() {
	for _, p := range s.ports {
		_ = p.srv.Close()
	}
}

// WriteHeader implements http.ResponseWriter. Of a response that is lost it sends nothing until the channel ends.
func (w *portWriter) WriteHeader(status int) {
	if w.port.mute.Load() {
		<-w.done
		panic(http.ErrAbortHandler)
	}
	w.ResponseWriter.WriteHeader(status)
}

// set writes a key without a lease, as the operator and the engines do.
func (s *storeServer) set(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are maps of plain types
	}
	s.Set(key, string(b))
}

// answer sends the result of a call.
func answer(w http.ResponseWriter, era int64, err error, body any) {
	status := http.StatusOK
	switch {
	case errors.Is(err, store.ErrConflict):
		status = http.StatusPreconditionFailed
	case errors.Is(err, store.ErrLeaseGone):
		status = http.StatusNotFound
	case errors.Is(err, store.ErrCompacted):
		status = http.StatusGone
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *storeServer) list(w http.ResponseWriter, r *http.Request) {
	items, as, err := s.List(r.Context(), r.URL.Query().Get("path_prefix"))
	out := make([]storeItem, 0, len(items))
	for _, it := range items {
		out = append(out, storeItem{Key: it.Key, Value: it.Value, Revision: it.Revision, Lease: it.Lease})
	}
	answer(w, as.Era, err, map[string]any{"items": out, "truncated": false, "as_of": as.Revision})
}

func (s *storeServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	wait := time.Duration(waitMS) * time.Millisecond
	events, as, err := s.Watch(r.Context(), q.Get("path_prefix"), store.Version{Revision: after}, wait)
	out := make([]storeItem, 0, len(events))
	for _, e := range events {
		out = append(out, storeItem{
			Key: e.Key, Value: e.Value, Revision: e.Revision, Lease: e.Lease, Deleted: e.Deleted,
		})
	}
	answer(w, as.Era, err, map[string]any{"events": out, "as_of": as.Revision})
}

func (s *storeServer) commit(w http.ResponseWriter, r *http.Request) {
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

func (s *storeServer) grant(w http.ResponseWriter, r *http.Request) {
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

func (s *storeServer) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	answer(w, 0, s.Renew(r.Context(), store.Lease{ID: id}), map[string]any{})
}

func (s *storeServer) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	answer(w, 0, s.Revoke(r.Context(), store.Lease{ID: id}), map[string]any{})
}
