package model

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/xhttp"
)

const (
	// defaultMaxSeqs is the number of sequences that a batch holds if MaxSeqs is 0.
	defaultMaxSeqs = 16
	// defaultMaxTokens is the length of a response if the call does not give one.
	defaultMaxTokens = 16
	// maxTokensLimit is the longest response that a call may request.
	maxTokensLimit = 1 << 15
)

type (
	// Engine handles generation, order and status requests; set its exported fields before the first request.
	Engine struct {
		MemoryMB      int  // capacity; loads beyond it succeed and are counted as overcommits
		MaxSeqs       int  // 0 means 16
		ChecksFencing bool // reject orders whose fencing token is lower than the highest one received
		// An iteration takes StepTime, plus SeqTime for each running sequence, plus PrefillTime for each prompt word of
		// newly admitted sequences that is not in the prefix cache.
		StepTime, SeqTime, PrefillTime time.Duration
		// LoadTime and AdapterTime are the durations of model and adapter loads without a weight store; UnloadTime is
		// the duration of any unload.
		LoadTime, AdapterTime, UnloadTime time.Duration
		LoadLag                           time.Duration // age of the load metrics in a status report
		WeightURL                         string        // weight store to load from; empty means none
		CacheBlocks                       int           // size of the prefix cache in blocks of 16 words
		CacheLag                          time.Duration // delay between a cache event and its publication
		Client                            xhttp.Client  // used for the weight store; Dial may be set
		Fault                             fault.Injector

		mu          sync.Mutex
		bootID      string
		seq         int64
		fence       int64
		role        string
		lastOrderID string
		leaving     bool
		items       map[string]*memoryItem
		attempts    []*Attempt
		record      Record
		batch       batch
		cache       cache
	}

	// memoryItem is a model or adapter that is resident, loading or unloading; baseModel is the model of an adapter.
	memoryItem struct {
		engine.Item
		baseModel string
	}

	// Record holds the orders and attempts that the engine received, and counters. Restarts do not reset it.
	// Overcommits of memory are counted, never rejected.
	Record struct {
		Boots             int                  `json:"boots"`
		Attempts          []Attempt            `json:"attempts"`
		Refused           int                  `json:"refused"`
		Orders            []engine.Order       `json:"orders"`
		Results           []engine.OrderResult `json:"results"`
		Loads             int                  `json:"loads"`
		PeakMB            int                  `json:"peak_mb"`
		Overcommits       int                  `json:"overcommits"`
		WorstOvercommitMB int                  `json:"worst_overcommit_mb"`
		PrefixHits        int                  `json:"prefix_hits"`
		WordsPrefilled    int                  `json:"words_prefilled"`
	}

	// Attempt is a generation that was executed: From is the index of its first token, Next is the index after the last
	// token that was sent.
	Attempt struct {
		AttemptID string `json:"attempt_id"`
		RequestID string `json:"request_id"`
		Item      string `json:"item"`
		From      int    `json:"from"`
		Next      int    `json:"next"`
		Done      bool   `json:"done"`
		Cancelled bool   `json:"cancelled"`
	}

	// errorBody is the body of an error response.
	errorBody struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		NotRun  bool   `json:"not_run"`
		Leaving bool   `json:"leaving"`
	}
)

// ServeHTTP handles the calls under /v1/, /fault and /record.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.Fault.Serve(w, r, e.serve, func() any { return e.Record() })
}

// Restart emulates a crash and restart: it clears the memory, the prefix cache and the fencing token, aborts all
// streams and changes the boot ID.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// Leave makes the engine reject further generations; those in progress continue.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Record returns a copy of the record.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.record
	out.Attempts = make([]Attempt, 0, len(e.attempts))
	for _, a := range e.attempts {
		out.Attempts = append(out.Attempts, *a)
	}
	out.Orders = slices.Clone(out.Orders)
	out.Results = slices.Clone(out.Results)
	return out
}

// restart does the work of Restart with the mutex held; it also initializes a new engine.
func (e *Engine) restart() {
	e.bootID, e.seq, e.fence, e.lastOrderID, e.leaving = rand.Text(), 0, 0, "", false
	e.items = make(map[string]*memoryItem)
	e.cache = cache{}
	e.batch.abortAll()
	e.record.Boots++
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if e.bootID == "" {
		e.restart()
	}
	e.mu.Unlock()
	handlers := map[string]http.HandlerFunc{
		"/v1/generate": e.generate, "/v1/orders": e.handleOrder, "/v1/status": e.status,
		"/v1/cache/events": e.cacheEvents, "/v1/kv/export": e.exportKV, "/v1/kv/import": e.importKV,
		"/v1/leave": actionHandler(e.Leave), "/v1/restart": actionHandler(e.Restart),
	}
	handler, ok := handlers[r.URL.Path]
	if !ok {
		fault.WriteJSON(w, http.StatusNotFound, errorBody{Code: "no_such_call", NotRun: true})
		return
	}
	handler(w, r)
}

// actionHandler returns a handler that calls f and responds with an empty object.
func actionHandler(f func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		f()
		fault.WriteJSON(w, http.StatusOK, struct{}{})
	}
}

func (e *Engine) status(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	now := time.Now()
	e.seq++
	load := e.batch.loadAt(now.Add(-e.LoadLag))
	out := engine.Status{
		BootID: e.bootID, Seq: e.seq, TakenAt: now, Leaving: e.leaving, Fence: e.fence, Role: e.role,
		MemoryMB: e.MemoryMB, UsedMB: e.usedMB(), Items: []engine.Item{}, LastOrderID: e.lastOrderID,
		Running: load.running, Waiting: load.waiting, TokensPerS: load.tokensPerS,
		LoadAgeMS: e.LoadLag.Milliseconds(),
	}
	for _, name := range slices.Sorted(maps.Keys(e.items)) {
		out.Items = append(out.Items, e.items[name].Item)
	}
	e.mu.Unlock()
	fault.WriteJSON(w, http.StatusOK, out)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var c engine.Call
	if !fault.ReadJSON(w, r, &c) {
		return
	}
	c.MaxTokens = cmp.Or(c.MaxTokens, defaultMaxTokens)
	if c.MaxTokens < 0 || c.MaxTokens > maxTokensLimit {
		fault.WriteJSON(w, http.StatusBadRequest, errorBody{Code: "bad_request", Message: "max_tokens", NotRun: true})
		return
	}
	seq, rejected := e.enqueue(c)
	if rejected != nil {
		fault.WriteJSON(w, http.StatusServiceUnavailable, rejected)
		return
	}
	defer e.finish(seq)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	writeEvent(w, nil)
	for {
		select {
		case i := <-seq.out:
			ev := eventOf(c, i)
			if fault.FromContext(r.Context()).WrongAttempt {
				ev.AttemptID = "other-" + ev.AttemptID
			}
			writeEvent(w, &ev)
			e.recordSent(seq, ev)
			if ev.Final {
				return
			}
		case <-seq.aborted:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventOf returns the event of token i, or the final event if i is MaxTokens.
func eventOf(c engine.Call, i int) engine.Event {
	if i < c.MaxTokens {
		return engine.Event{AttemptID: c.AttemptID, Index: i, Token: Token(c, i)}
	}
	return engine.Event{
		AttemptID: c.AttemptID, Index: i, Final: true, FinishReason: "length",
		PromptTokens: len(strings.Fields(c.Prompt)), CompletionTokens: i,
	}
}

// writeEvent writes and flushes one server-sent event. A nil event becomes a comment, which sends the response headers
// before the first token exists.
func writeEvent(w http.ResponseWriter, ev *engine.Event) {
	line := []byte(": accepted\n\n")
	if ev != nil {
		b, _ := json.Marshal(ev)
		line = append(append([]byte("data: "), b...), "\n\n"...)
	}
	_, _ = w.Write(line)
	_ = http.NewResponseController(w).Flush()
}
