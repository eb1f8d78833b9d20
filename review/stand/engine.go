package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	engineMB     = 230_000.0
	modelMB      = 72_700.0
	adapterMB    = 66.0
	adapterSlots = 5
	slots        = 64
	kvTokens     = 252_855
	// loadTime is the time of a load from the weight store, diskTime that from the machine's disk, adapterTime that of
	// an adapter, firstTime the time to the first event of a stream and gapTime that between two events.
	loadTime    = 2800 * time.Millisecond
	diskTime    = 560 * time.Millisecond
	adapterTime = 5 * time.Millisecond
	firstTime   = 30 * time.Millisecond
	gapTime     = 10 * time.Millisecond
	streamLen   = 5
)

type (
	// engine is a stand-in of a model engine. It serves what it holds and takes orders.
	engine struct {
		id, zone, addr, service string
		born                    int64
		store                   *store
		rec                     *record

		// onOrder may keep an order from being carried out now; the order then gets no answer. It may be nil.
		onOrder func(*order) (lost bool)

		listener net.Listener
		server   *http.Server

		mu       sync.Mutex
		models   map[string]map[string]bool // adapters by model
		disk     map[string]bool            // models whose weights are on the machine's disk
		incoming map[string]bool
		busy     bool
		loading  string // the model that an order is loading
		sequence int64
		running  int
		overfull string // the order that did not fit, if there was one
	}

	order struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected"`
		Holder    string `json:"holder"`
		Fence     *int64 `json:"fencing_token"`
	}

	heldModel struct {
		Name     string   `json:"name"`
		Version  int      `json:"version"`
		Adapters []string `json:"adapters"`
	}
)

// start serves the engine, on a free port if it has none yet, and registers it in the store.
func (e *engine) start() error {
	addr := e.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /figreel/report", e.report)
	mux.HandleFunc("POST /figreel/order", e.order)
	mux.HandleFunc("/", e.serve)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: deadline}
	e.mu.Lock()
	e.addr, e.born = l.Addr().String(), time.Now().UnixMilli()
	e.incoming = make(map[string]bool)
	if e.disk == nil {
		e.disk = make(map[string]bool)
		for name := range e.models {
			e.disk[name] = true
		}
	}
	e.listener, e.server = l, srv
	e.mu.Unlock()
	go func() { _ = srv.Serve(l) }()
	e.register()
	return nil
}

// crash ends all connections of the engine and all that it holds but its disk; its counts start anew.
func (e *engine) crash() {
	_ = e.server.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models, e.busy, e.loading, e.sequence = make(map[string]map[string]bool), false, "", 0
}

// has reports whether the engine holds or loads a model.
func (e *engine) has(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, held := e.models[model]
	return held || e.loading == model
}

func (e *engine) held() []heldModel {
	out := make([]heldModel, 0, len(e.models))
	for name, adapters := range e.models {
		m := heldModel{Name: name, Version: 1, Adapters: []string{}}
		for a := range adapters {
			m.Adapters = append(m.Adapters, a)
		}
		slices.Sort(m.Adapters)
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b heldModel) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// available returns the copies of weights that the machine keeps. The caller holds e.mu.
func (e *engine) available() map[string]any {
	disk := slices.Sorted(maps.Keys(e.disk))
	return map[string]any{"in_memory": []string{}, "on_disk": append([]string{}, disk...)}
}

// register writes the engine's entry.
func (e *engine) register() {
	e.mu.Lock()
	entry := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_left_ms": 0, "stage": "both", "models": e.held(), "sequence": e.sequence, "born": e.born,
		"available": e.available(),
	}
	e.mu.Unlock()
	e.store.put("servers/"+e.id, entry)
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	e.mu.Lock()
	incoming := []string{}
	for a := range e.incoming {
		incoming = append(incoming, a+"@1")
	}
	body := map[string]any{
		"stage": "both", "models": e.held(), "busy": e.busy, "sequence": e.sequence, "waiting": 0, "running": e.running,
		"kv_used": 0, "kv_total": kvTokens, "handles": 0, "incoming": incoming, "born": e.born,
		"available": e.available(),
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// misdirected answers a request that is for another instance.
func (e *engine) misdirected(w http.ResponseWriter, r *http.Request) bool {
	if want := r.Header.Get("Expect-Instance"); want == "" || want == e.id {
		return false
	}
	w.Header().Set("Instance-Id", e.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	if e.misdirected(w, r) {
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.onOrder != nil && e.onOrder(&o) {
		<-r.Context().Done()
		return
	}
	status := e.take(&o)
	e.rec.printf("order %s from %s, generation %d: %s %s %s, status %d", e.id, o.Holder, *o.Fence, o.Operation, o.Model,
		o.Adapter, status)
	writeJSON(w, status, map[string]any{})
}

// take begins an order and returns the status of its answer.
func (e *engine) take(o *order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, present := e.models[o.Model]
	switch {
	case e.busy, o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case o.Adapter != "" && !present:
		return http.StatusBadRequest
	case o.Operation == "loading" && o.Adapter == "" && present, o.Operation == "unloading" && !present:
		return http.StatusOK
	case o.Operation == "loading" && o.Adapter != "" && adapters[o.Adapter]:
		return http.StatusOK
	}
	e.sequence++
	if o.Adapter != "" {
		return e.takeAdapter(o, adapters)
	}
	unload := o.Operation == "unloading"
	if used := float64(len(e.models)+1) * modelMB; !unload && used > engineMB && e.overfull == "" {
		held := strings.Join(slices.Sorted(maps.Keys(e.models)), " ")
		e.overfull = fmt.Sprintf("%s holds %s and is ordered by %s to load %s: %.0f MB of %.0f MB", e.id, held,
			o.Holder, o.Model, used, engineMB)
	}
	e.busy = true
	if !unload {
		e.loading = o.Model
	}
	d := loadTime
	switch {
	case unload:
		d = gapTime
	case e.disk[o.Model]:
		d = diskTime
	}
	born := e.born
	time.AfterFunc(d, func() {
		e.mu.Lock()
		if e.born != born {
			e.mu.Unlock()
			return
		}
		e.busy, e.loading = false, ""
		if unload {
			delete(e.models, o.Model)
		} else {
			e.models[o.Model] = make(map[string]bool)
			e.disk[o.Model] = true
		}
		e.mu.Unlock()
		e.register()
	})
	return http.StatusAccepted
}

func (e *engine) takeAdapter(o *order, adapters map[string]bool) int {
	if o.Operation == "unloading" {
		delete(adapters, o.Adapter)
		go e.register()
		return http.StatusOK
	}
	name := o.Model + "/" + o.Adapter
	e.incoming[name] = true
	time.AfterFunc(adapterTime, func() {
		e.mu.Lock()
		delete(e.incoming, name)
		adapters[o.Adapter] = true
		e.mu.Unlock()
		e.register()
	})
	return http.StatusAccepted
}

// serve runs one request as a stream of events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if e.misdirected(w, r) {
		return
	}
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	e.mu.Lock()
	adapters, present := e.models[model]
	present = present && (adapter == "" || adapters[adapter])
	full := e.running >= slots
	if present && !full {
		e.running++
	}
	e.mu.Unlock()
	switch {
	case !present:
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	e.rec.printf("run %s at %s", id, e.id)
	e.stream(w, r)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	time.Sleep(firstTime)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Signature", "sig."+e.id+"."+r.Header.Get("Attempt-Id"))
	for i := 1; i <= streamLen; i++ {
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", i, i, streamLen); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(gapTime)
	}
}
