package fault

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// maxBodyBytes bounds the bodies that a stand-in accepts.
const maxBodyBytes = 16 << 20

type (
	// Spec is a fault in force; the zero value is none.
	Spec struct {
		// Path limits the fault to requests whose paths start with it.
		Path string `json:"path,omitempty"`
		// Contains limits the fault to requests whose bodies contain it, such as a key of the key-value service.
		Contains string `json:"contains,omitempty"`
		DelayMS  int    `json:"delay_ms,omitempty"`
		// DropRequest closes the connection after reading the request and before any effect.
		DropRequest bool `json:"drop_request,omitempty"`
		// DropResponse closes the connection after the effect without a byte of the answer.
		DropResponse bool `json:"drop_answer,omitempty"`
		// Freeze stops requests and running answers until another plan is set.
		Freeze bool `json:"freeze,omitempty"`
		// CutAfterWrites closes the connection after so many writes of the answer's body; an engine's first write
		// only accepts the call, and each further one is a token.
		CutAfterWrites int `json:"cut_after_writes,omitempty"`
		// Response is sent instead of the real answer, after the effect.
		Response *Response `json:"answer,omitempty"`
		// WrongAttempt makes an engine answer with the id of another attempt.
		WrongAttempt bool `json:"wrong_attempt,omitempty"`
		// Slowdown multiplies the time of an engine's iterations.
		Slowdown float64 `json:"slow,omitempty"`
		// Count ends the fault after so many requests; 0 means that it lasts.
		Count int `json:"count,omitempty"`
	}

	// Response is a whole answer, right or wrong.
	Response struct {
		Status      int    `json:"status"`
		ContentType string `json:"content_type"`
		Body        []byte `json:"body"`
	}

	// Injector applies one plan at a time to the requests of a stand-in; the zero value is ready.
	Injector struct {
		mu       sync.Mutex
		plan     Spec
		replace  chan struct{}
		requests map[string]int
	}

	planKey struct{}
)

// Set replaces the plan; frozen requests continue.
func (c *Injector) Set(p Spec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan = p
	if c.replace != nil {
		close(c.replace)
	}
	c.replace = nil
}

// Spec returns the plan in force.
func (c *Injector) Spec() Spec {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan
}

// Requests returns how many requests for path have arrived, whatever became of them.
func (c *Injector) Requests(path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[path]
}

// Serve answers /fault and /record, and applies the plan to every other request before and after next.
func (c *Injector) Serve(w http.ResponseWriter, r *http.Request, next http.HandlerFunc, record func() any) {
	switch {
	case r.URL.Path == "/record":
		WriteJSON(w, http.StatusOK, record())
	case r.URL.Path == "/fault" && r.Method == http.MethodPost:
		var p Spec
		if ReadJSON(w, r, &p) {
			c.Set(p)
			WriteJSON(w, http.StatusOK, p)
		}
	case r.URL.Path == "/fault":
		WriteJSON(w, http.StatusOK, c.Spec())
	default:
		c.apply(w, r, next)
	}
}

// FromContext returns the plan that applies to the request of ctx.
func FromContext(ctx context.Context) Spec {
	p, _ := ctx.Value(planKey{}).(Spec)
	return p
}

func (c *Injector) apply(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	// The server notices a client that goes away only once the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		WriteJSON(w, http.StatusRequestEntityTooLarge, nil)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	p, replaced := c.take(r.URL.Path, body)
	r = r.WithContext(context.WithValue(r.Context(), planKey{}, p))
	if p.DelayMS > 0 && !sleep(r.Context(), time.Duration(p.DelayMS)*time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	if p.Freeze {
		wait(r.Context(), replaced)
	}
	if p.DropRequest {
		panic(http.ErrAbortHandler)
	}
	if !p.DropResponse && p.Response == nil {
		next(&writer{ResponseWriter: w, r: r, control: c, left: p.CutAfterWrites}, r)
		return
	}
	next(&writer{ResponseWriter: discard{header: make(http.Header)}, r: r, control: c}, r)
	if p.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Content-Type"] = []string{p.Response.ContentType}
	w.WriteHeader(p.Response.Status)
	_, _ = w.Write(p.Response.Body)
}

func (c *Injector) take(path string, body []byte) (Spec, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = make(map[string]int)
	}
	c.requests[path]++
	p := c.plan
	if !strings.HasPrefix(path, p.Path) || !bytes.Contains(body, []byte(p.Contains)) {
		return Spec{}, nil
	}
	if c.replace == nil {
		c.replace = make(chan struct{})
	}
	if p.Count > 0 {
		c.plan.Count--
		if c.plan.Count == 0 {
			c.plan = Spec{}
		}
	}
	return p, c.replace
}

// frozen returns a channel that closes when a lasting freeze of path ends, or nil when there is none.
func (c *Injector) frozen(path string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.plan.Freeze || c.plan.Count > 0 || !strings.HasPrefix(path, c.plan.Path) {
		return nil
	}
	if c.replace == nil {
		c.replace = make(chan struct{})
	}
	return c.replace
}

// WriteJSON sends v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON reads the JSON body of r into v, or answers 400 and reports false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		WriteJSON(w, http.StatusBadRequest, map[string]string{"code": "bad_request", "message": err.Error()})
		return false
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// wait returns when the freeze ends; it aborts the request when its client has gone.
func wait(ctx context.Context, replaced <-chan struct{}) {
	select {
	case <-replaced:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}
