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
	// loadTime is how long an engine takes to load a model, and adapterTime an adapter.
	loadTime    = 4 * time.Second
	adapterTime = 6 * time.Millisecond
)

// engine is a stand-in of a model engine. It writes its software version into each event.
type engine struct {
	id, zone, version string
	service           string
	store             *storeServer
	record            *record
	addr              string
	srv               *http.Server
	born              int64
	firstEvent        time.Duration // until the first event of a stream
	finishes          bool          // it finishes a request whose channel has closed

	mu       sync.Mutex
	beats    int
	sequence int
	resident []string // models
	busy     bool
	crashed  bool
	adapters map[string]*adapter // by name MODEL/NAME
	overfull int                 // orders to load more adapters than there is room for
}

// order is an order to an engine.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Expected  *int   `json:"expected"`
	Holder    string `json:"holder"`
	Token     int64  `json:"fencing_token"`
}

// adapter is an adapter that an engine holds, loads or is about to unload.
type adapter struct {
	runs      int  // requests that use it
	incoming  bool // it is being loaded
	unloading bool // it is unloaded when its runs have ended
}

// startEngine starts an engine of the service and registers it. One that holds models is an engine of the start of the
// system; any other starts empty.
func (s *site) startEngine(id, zone, version string, resident ...string) (*engine, error) {
	return s.startEngineOf(streamService, id, zone, version, resident...)
}

// startEngineOf is startEngine for a named service.
func (s *site) startEngineOf(service, id, zone, version string, resident ...string) (*engine, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for an engine")
	}
	e := &engine{
		id: id, zone: zone, version: version, service: service, addr: l.Addr().String(),
		store: s.store, record: s.record,
		born: time.Now().UnixMilli(), resident: resident,
		firstEvent: usualFirstEvent, adapters: make(map[string]*adapter),
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
		"service": e.service, "address": e.addr, "zone": e.zone, "version": e.version, "state": "ready",
		"born": e.born, "cold_left_ms": 0, "sequence": e.beats, "slots": engineSlots, "stage": "both",
		"models": e.models(), "available": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
	})
}

// models returns what the engine holds; e.mu is held.
func (e *engine) models() []map[string]any {
	out := []map[string]any{}
	for _, name := range e.resident {
		held := []string{}
		for full, a := range e.adapters {
			if short, ok := strings.CutPrefix(full, name+"/"); ok && !a.incoming {
				held = append(held, short)
			}
		}
		out = append(out, map[string]any{"name": name, "version": 1, "adapters": held})
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
	incoming := []string{}
	for full, a := range e.adapters {
		if a.incoming {
			incoming = append(incoming, full+"@1")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": 0,
		"kv_used": 0, "kv_total": kvTokens, "handles": 0, "born": e.born, "incoming": incoming,
	})
}

// order carries out an order to load or unload a model or an adapter.
func (e *engine) order(w http.ResponseWriter, body []byte) {
	var o order
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
	case o.Adapter != "":
		status = e.orderAdapter(&o)
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
	e.record.add("engine %s is ordered by %s, token %d: %s %s %s, answers %d",
		e.id, o.Holder, o.Token, o.Operation, o.Model, o.Adapter, status)
	w.WriteHeader(status)
}

// orderAdapter carries out an order for an adapter and returns the status of the answer. An adapter that no request
// uses is unloaded immediately; any other is unloaded when its runs have ended. e.mu is held.
func (e *engine) orderAdapter(o *order) int {
	full := o.Model + "/" + o.Adapter
	a := e.adapters[full]
	switch {
	case o.Operation == "unloading" && a == nil, o.Operation == "loading" && a != nil && !a.unloading:
		return http.StatusOK
	case o.Operation == "unloading" && a.runs == 0:
		e.sequence++
		delete(e.adapters, full)
		return http.StatusOK
	case o.Operation == "unloading":
		e.sequence++
		a.unloading = true
		return http.StatusAccepted
	}
	e.sequence++
	if len(e.adapters) >= adapterSlots {
		e.overfull++
		e.record.add("engine %s holds %d adapters in %d places and is ordered to load %s", e.id, len(e.adapters),
			adapterSlots, full)
		go e.crash()
		return http.StatusAccepted
	}
	a = &adapter{incoming: true}
	e.adapters[full] = a
	time.AfterFunc(adapterTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.incoming = false
	})
	return http.StatusAccepted
}

// begin reports whether the engine holds what a request needs, and counts the run.
func (e *engine) begin(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, _, adapted := strings.Cut(name, "/")
	if !slices.Contains(e.resident, model) {
		return false
	}
	if !adapted {
		return true
	}
	a := e.adapters[name]
	if a == nil || a.incoming || a.unloading {
		return false
	}
	a.runs++
	return true
}

// end ends a run.
func (e *engine) end(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.adapters[name]
	if a == nil {
		return
	}
	if a.runs--; a.runs == 0 && a.unloading {
		delete(e.adapters, name)
	}
}

// stream sends the events after the one that the request names.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	id, name := r.Header.Get("Attempt-Id"), r.Header.Get("Model")
	if !e.begin(name) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer e.end(name)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, tokens, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	total, _ := strconv.Atoi(tokens)
	e.record.add("engine %s of version %s runs %s with %s after event %d", e.id, e.version, id, name, last)
	w.Header().Set("Server-Signature", "sig."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	ctrl, begun := http.NewResponseController(w), time.Now()
	wait := e.firstEvent
	left := false
	for n := last + 1; n <= total && !left; n++ {
		select {
		case <-r.Context().Done():
			left = true
		case <-time.After(wait):
		}
		if left {
			break
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, e.version); err != nil || ctrl.Flush() != nil {
			left = true
		}
		wait = eventGap
	}
	if left && e.finishes {
		// The engine does not drop the request when its channel closes.
		time.Sleep(time.Until(begun.Add(time.Duration(total-last) * eventGap)))
	}
}
