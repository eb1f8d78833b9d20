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
	defaultMaxSeqs   = 16
	defaultMaxTokens = 16
	maxMaxTokens     = 1 << 15
)

type (
	// Engine answers generations, orders and status requests; its exported fields are set before the first request.
	Engine struct {
		MemoryMB      int
		MaxSeqs       int // 0 means 16
		ChecksFencing bool
		// StepTime is the time of one iteration with an empty batch, SeqTime is added for each running sequence, and
		// PrefillTime for each prompt word that is not in the prefix cache.
		StepTime, SeqTime, PrefillTime time.Duration
		// LoadTime and AdapterTime are the times of a load without a weight store, UnloadTime of any unload.
		LoadTime, AdapterTime, UnloadTime time.Duration
		LoadLag                           time.Duration // age of the load figures in a status
		WeightURL                         string        // weight store to pull from; empty means none
		CacheBlocks                       int           // size of the prefix cache in blocks of 16 words
		CacheLag                          time.Duration // age at which cache events are published
		Client                            xhttp.Client  // to the weight store; its Dial may be set
		Fault                             fault.Injector

		mu       sync.Mutex
		boot     string
		seq      int64
		fence    int64
		role     string
		lastID   string
		leaving  bool
		items    map[string]*held
		attempts []*Attempt
		record   Record
		batch    batch
		cache    cache
	}

	// held is an item in memory; model is the one that an adapter belongs to.
	held struct {
		engine.Item
		model string
	}

	// Record tells what the engine has seen; an overcommit is counted and never refused.
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

	// Attempt is a generation that ran, with its first and next token index.
	Attempt struct {
		AttemptID string `json:"attempt_id"`
		RequestID string `json:"request_id"`
		Item      string `json:"item"`
		From      int    `json:"from"`
		Next      int    `json:"next"`
		Done      bool   `json:"done"`
		Cancelled bool   `json:"cancelled"`
	}

	refusal struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		NotRun  bool   `json:"not_run"`
		Leaving bool   `json:"leaving"`
	}
)

// ServeHTTP answers the engine's calls under /v1/ and the fault control.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.Fault.Serve(w, r, e.serve, func() any { return e.Record() })
}

// Restart loses all memory and the fencing number, cuts all streams and takes a new boot id, as after a crash.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restart()
}

// Leave refuses all further generations; those in flight continue.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// Record returns what the engine has seen so far.
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

func (e *Engine) restart() {
	e.boot, e.seq, e.fence, e.lastID, e.leaving = rand.Text(), 0, 0, "", false
	e.items = make(map[string]*held)
	e.cache = cache{}
	e.batch.cutAll()
	e.record.Boots++
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if e.boot == "" {
		e.restart()
	}
	e.mu.Unlock()
	paths := map[string]http.HandlerFunc{
		"/v1/generate": e.generate, "/v1/orders": e.order, "/v1/status": e.status,
		"/v1/cache/events": e.cacheEvents, "/v1/kv/export": e.exportKV, "/v1/kv/import": e.importKV,
		"/v1/leave": act(e.Leave), "/v1/restart": act(e.Restart),
	}
	serve, ok := paths[r.URL.Path]
	if !ok {
		fault.WriteJSON(w, http.StatusNotFound, refusal{Code: "no_such_call", NotRun: true})
		return
	}
	serve(w, r)
}

func act(f func()) http.HandlerFunc {
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
		BootID: e.boot, Seq: e.seq, TakenAt: now, Leaving: e.leaving, Fence: e.fence, Role: e.role,
		MemoryMB: e.MemoryMB, UsedMB: e.used(), Items: []engine.Item{}, LastOrderID: e.lastID,
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
	if c.MaxTokens < 0 || c.MaxTokens > maxMaxTokens {
		fault.WriteJSON(w, http.StatusBadRequest, refusal{Code: "bad_request", Message: "max_tokens", NotRun: true})
		return
	}
	seq, refused := e.start(c)
	if refused != nil {
		fault.WriteJSON(w, http.StatusServiceUnavailable, refused)
		return
	}
	defer e.finish(seq)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	send(w, nil)
	for {
		select {
		case i := <-seq.out:
			ev := eventOf(c, i)
			if fault.FromContext(r.Context()).WrongAttempt {
				ev.AttemptID = "other-" + ev.AttemptID
			}
			send(w, &ev)
			e.sent(seq, ev)
			if ev.Final {
				return
			}
		case <-seq.cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// eventOf returns the event with token i, or the final one when i is past the last token.
func eventOf(c engine.Call, i int) engine.Event {
	if i < c.MaxTokens {
		return engine.Event{AttemptID: c.AttemptID, Index: i, Token: Token(c, i)}
	}
	return engine.Event{
		AttemptID: c.AttemptID, Index: i, Final: true, FinishReason: "length",
		PromptTokens: len(strings.Fields(c.Prompt)), CompletionTokens: i,
	}
}

// send writes one event, or a comment that sends the headers.
func send(w http.ResponseWriter, ev *engine.Event) {
	line := []byte(": accepted\n\n")
	if ev != nil {
		b, _ := json.Marshal(ev)
		line = append(append([]byte("data: "), b...), "\n\n"...)
	}
	_, _ = w.Write(line)
	_ = http.NewResponseController(w).Flush()
}
