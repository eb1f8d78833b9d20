package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	serviceName = "desk"
	modelName   = "m1"
	streamPath  = "/desk/"
	slots       = 64
	kvTokens    = 250_000
	// heartbeat is how often an engine writes its entry, and silence how long after its last one the entry is removed.
	heartbeat = 1200 * time.Millisecond
	silence   = 3 * heartbeat
	// firstEvent is the time from a request to its first event, and eventGap that between events.
	firstEvent = 30 * time.Millisecond
	eventGap   = 60 * time.Millisecond
)

type (
	// engine is a stand-in of a model engine with one model. Its events name its software version.
	engine struct {
		id, zone, addr string
		store          *platformStore
		record         *record

		mu         sync.Mutex
		run        *engineRun // nil while the engine is down
		lastBeat   time.Time
		registered bool // this start has written its entry
	}

	// engineRun is one start of an engine.
	engineRun struct {
		*engine
		version  string
		born     int64
		sequence int
		server   *http.Server
		conns    map[net.Conn]struct{}
		running  int
	}

	connKey struct{}
)

// start starts the engine, at the same address and with the same id each time, and registers it at once.
func (e *engine) start(version string) error {
	addr := e.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr = l.Addr().String()
	r := &engineRun{engine: e, version: version, born: time.Now().UnixMilli(), conns: make(map[net.Conn]struct{})}
	r.server = &http.Server{
		Handler: r, ReadHeaderTimeout: time.Minute,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			e.mu.Lock()
			defer e.mu.Unlock()
			if s == http.StateClosed {
				delete(r.conns, c)
			} else {
				r.conns[c] = struct{}{}
			}
		},
	}
	e.run = r
	go func() { _ = r.server.Serve(l) }()
	e.register()
	e.record.note("engine %s starts with version %s", e.id, version)
	return nil
}

// register writes the entry, unless the store is down; e.mu is held. It is called again until it succeeds.
func (e *engine) register() {
	if e.store.down.Load() {
		e.registered = false
		return
	}
	e.registered = true
	e.store.set("servers/"+e.id, map[string]any{
		"service": serviceName, "address": e.addr, "zone": e.zone, "version": e.run.version, "state": "ready",
		"born": e.run.born, "cold_left_ms": 0, "sequence": e.run.sequence, "slots": slots, "stage": "both",
		"models": heldModels(), "available": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	})
	e.run.sequence++
	e.lastBeat = time.Now()
}

func heldModels() []map[string]any {
	return []map[string]any{{"name": modelName, "version": 1, "adapters": []string{}}}
}

// beat writes the entry until ctx ends. The entry of an engine that is down is removed after a while.
func (e *engine) beat(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, heartbeat/4)
		e.mu.Lock()
		since := time.Since(e.lastBeat)
		switch {
		case e.run != nil && !e.registered:
			e.register()
		case e.run != nil && since >= heartbeat:
			// Only the sequence has changed, so the entry does not.
			e.lastBeat = time.Now()
		case e.run == nil && since >= silence && !e.store.down.Load():
			e.store.Delete("servers/" + e.id)
			e.lastBeat = time.Now().Add(time.Hour)
		}
		e.mu.Unlock()
	}
}

// crash ends the engine. Its connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	r := e.run
	e.run = nil
	if r == nil {
		e.mu.Unlock()
		return
	}
	for c := range r.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
	}
	n := r.running
	e.mu.Unlock()
	_ = r.server.Close()
	e.record.note("engine %s crashes with %d streams", e.id, n)
}

// ServeHTTP implements http.Handler.
func (r *engineRun) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	if id := req.Header.Get("Attempt-Id"); id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	w.Header().Set("Instance-Id", r.id)
	want := req.Header.Get("Expect-Instance")
	switch {
	case want != "" && want != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case req.URL.Path == "/figreel/report":
		r.report(w)
	case req.URL.Path == "/figreel/order":
		r.record.note("engine %s gets an order", r.id)
		w.WriteHeader(http.StatusOK)
	case strings.HasPrefix(req.URL.Path, streamPath):
		r.stream(w, req)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *engineRun) report(w http.ResponseWriter) {
	r.mu.Lock()
	running := r.running
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": heldModels(), "busy": false, "sequence": 0, "waiting": 0, "running": running,
		"kv_used": 0, "kv_total": kvTokens, "handles": 0, "born": r.born,
	})
}

// stream sends the events after the one that the request names, until the deadline.
func (r *engineRun) stream(w http.ResponseWriter, req *http.Request) {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	_, tokens, _ := strings.Cut(req.Header.Get("Token-Count"), ",")
	total, _ := strconv.Atoi(tokens)
	id := req.Header.Get("Attempt-Id")
	r.count(1)
	defer r.count(-1)
	r.record.note("engine %s (%s) runs %s after event %d", r.id, r.version, id, last)
	w.Header().Set("Server-Signature", "sig."+r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	pause(req.Context(), firstEvent)
	for n := last + 1; n <= total && req.Context().Err() == nil; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s\n\n", n, r.version, r.id); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		pause(req.Context(), eventGap)
	}
}

func (r *engineRun) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += n
}
