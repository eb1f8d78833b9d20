package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// usualFirstEvent is the time until the first event of a stream, and eventGap that between two events.
	usualFirstEvent = 50 * time.Millisecond
	eventGap        = 200 * time.Millisecond
	// loadTime is how long an engine takes to load a model.
	loadTime = 4 * time.Second
)

// engine is a stand-in of a model engine. It writes its software version into each event.
type engine struct {
	id, zone, version string
	store             *storeServer
	record            *record
	addr              string
	srv               *http.Server
	born              int64
	firstEvent        time.Duration // until the first event of a stream

	mu       sync.Mutex
	beats    int
	sequence int
	resident []string // models
	busy     bool
	crashed  bool
}

// startEngine starts an engine and registers it. One that holds models is an engine of the start of the system; any other
// starts empty.
func (s *site) startEngine(id, zone, version string, resident ...string) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for an engine")
	}
	e := &engine{
		id: id, zone: zone, version: version, store: s.store, record: s.record, addr: l.Addr().String(),
		born: time.Now().UnixMilli(), resident: resident,
		firstEvent: usualFirstEvent,
	}
	e.srv = &http.Server{ReadHeaderTimeout: time.Minute, Handler: e}
	go func() { _ = e.srv.Serve(l) }()
	e.beat()
	s.engines = append(s.engines, e)
	s.record.add("engine %s of version %s registers as ready with %v", id, version, resident)
	return e, nil
}

func (e *engine) close() { _ = e.srv.Close() }

// crash ends the engine for good, with all its channels. The platform removes its entry after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	e.record.add("engine %s of version %s crashes", e.id, e.version)
	e.close()
	time.AfterFunc(3*heartbeat, func() { e.store.Delete("servers/" + e.id) })
}

// beat writes the entry of the engine.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		return
	}
	e.beats++
	e.store.set("servers/"+e.id, map[string]any{
		"service": streamService, "address": e.addr, "zone": e.zone, "version": e.version, "state": "ready",
		"born": e.born, "cold_left_ms": 0, "sequence": e.beats, "slots": engineSlots, "stage": "both",
		"models": e.models(), "available": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	})
}

// models returns what the engine holds; e.mu is held.
func (e *engine) models() []map[string]any {
	out := []map[string]any{}
	for _, name := range e.resident {
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Id", e.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/figreel/report":
		e.report(w)
	case r.URL.Path == "/figreel/order":
		e.order(w, body)
	case strings.HasPrefix(r.URL.Path, streamPath):
		e.stream(w, r)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": 0,
		"kv_used": 0, "kv_total": kvTokens, "handles": 0, "born": e.born,
	})
}

// order carries out an order to load the model.
func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Expected  *int   `json:"expected"`
		Holder    string `json:"holder"`
		Token     int64  `json:"fencing_token"`
	}
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case e.busy, o.Expected != nil && *o.Expected != e.sequence:
		status = http.StatusConflict
	case slices.Contains(e.resident, o.Model) == (o.Operation == "loading"):
		status = http.StatusOK
	case o.Operation == "loading":
		e.sequence++
		e.busy = true
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.busy, e.resident = false, append(e.resident, o.Model)
			e.mu.Unlock()
		})
	default:
		e.sequence++
		e.resident = slices.DeleteFunc(e.resident, func(name string) bool { return name == o.Model })
	}
	e.record.add("engine %s is ordered by %s, token %d: %s %s, answers %d",
		e.id, o.Holder, o.Token, o.Operation, o.Model, status)
	w.WriteHeader(status)
}

// stream sends the events after the one that the request names.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	holds := slices.Contains(e.resident, r.Header.Get("Model"))
	e.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	if !holds {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, tokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	total, _ := strconv.Atoi(tokens)
	e.record.add("engine %s of version %s runs %s after event %d", e.id, e.version, id, last)
	w.Header().Set("Server-Signature", "sig."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	ctrl := http.NewResponseController(w)
	wait := e.firstEvent
	for n := last + 1; n <= total; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.version); err != nil {
			return
		}
		if ctrl.Flush() != nil {
			return
		}
		wait = eventGap
	}
}
