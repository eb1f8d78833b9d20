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

// maxBodyBytes is the largest request body that an emulator accepts.
const maxBodyBytes = 16 << 20

type (
	// Spec describes one fault; the zero value is no fault.
	Spec struct {
		// Path limits the fault to requests whose paths start with it.
		Path string `json:"path,omitempty"`
		// Contains limits the fault to requests whose bodies contain this text, such as a key of the key-value service.
		Contains string `json:"contains,omitempty"`
		// DelayMS is the delay in milliseconds between reading and executing a request.
		DelayMS int `json:"delay_ms,omitempty"`
		// DropRequest closes the connection after reading the request, without executing it.
		DropRequest bool `json:"drop_request,omitempty"`
		// RetryAfter rejects the request with status 503 and this Retry-After header, without executing it.
		RetryAfter string `json:"retry_after,omitempty"`
		// DropResponse executes the request and closes the connection without sending any byte of the response.
		DropResponse bool `json:"drop_answer,omitempty"`
		// Freeze blocks requests, and writes of responses in progress, until another spec is set. With a Count it
		// blocks only requests.
		Freeze bool `json:"freeze,omitempty"`
		// CutAfterWrites closes the connection after this number of writes to the response body. The first write of
		// a model engine is a comment that accepts the call; each later one is an event, usually with one token.
		CutAfterWrites int `json:"cut_after_writes,omitempty"`
		// Response replaces the real response after the request was executed.
		Response *Response `json:"answer,omitempty"`
		// WrongAttempt makes a model engine send events with the ID of another attempt.
		WrongAttempt bool `json:"wrong_attempt,omitempty"`
		// Slowdown multiplies the duration of a model engine's iterations; 0 leaves it unchanged.
		Slowdown float64 `json:"slow,omitempty"`
		// Count is the number of requests that the fault applies to; 0 means no limit.
		Count int `json:"count,omitempty"`
	}

	// Response is a complete HTTP response, which may be malformed.
	Response struct {
		Status      int    `json:"status"`
		ContentType string `json:"content_type"`
		Body        []byte `json:"body"`
	}

	// Injector applies one fault spec at a time to the requests of an emulator; the zero value is ready to use.
	Injector struct {
		mu       sync.Mutex
		spec     Spec
		changed  chan struct{} // closed by the next Set; nil until a request needs it
		requests map[string]int
	}

	specKey struct{}
)

// Set replaces the fault spec and releases frozen requests.
func (in *Injector) Set(spec Spec) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.spec = spec
	if in.changed != nil {
		close(in.changed)
	}
	in.changed = nil
}

// Spec returns the active fault spec.
func (in *Injector) Spec() Spec {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.spec
}

// Requests returns the number of requests received for path, including delayed and dropped ones.
func (in *Injector) Requests(path string) int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.requests[path]
}

// Serve handles /fault and /record itself; every other request goes to next, with the fault spec applied before and
// after it.
func (in *Injector) Serve(w http.ResponseWriter, r *http.Request, next http.HandlerFunc, record func() any) {
	switch {
	case r.URL.Path == "/record":
		WriteJSON(w, http.StatusOK, record())
	case r.URL.Path == "/fault" && r.Method == http.MethodPost:
		var spec Spec
		if ReadJSON(w, r, &spec) {
			in.Set(spec)
			WriteJSON(w, http.StatusOK, spec)
		}
	case r.URL.Path == "/fault":
		WriteJSON(w, http.StatusOK, in.Spec())
	default:
		in.apply(w, r, next)
	}
}

// FromContext returns the fault spec that applies to the request of ctx, or the zero value.
func FromContext(ctx context.Context) Spec {
	spec, _ := ctx.Value(specKey{}).(Spec)
	return spec
}

// apply runs next with the faults that the spec asks for; it panics with http.ErrAbortHandler to close the connection.
func (in *Injector) apply(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	// net/http detects a client disconnect only after the request body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		WriteJSON(w, http.StatusRequestEntityTooLarge, nil)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	spec, changed := in.specFor(r.URL.Path, body)
	r = r.WithContext(context.WithValue(r.Context(), specKey{}, spec))
	if spec.DelayMS > 0 && !sleep(r.Context(), time.Duration(spec.DelayMS)*time.Millisecond) {
		panic(http.ErrAbortHandler)
	}
	if spec.Freeze {
		waitUnfrozen(r.Context(), changed)
	}
	if spec.DropRequest {
		panic(http.ErrAbortHandler)
	}
	if spec.RetryAfter != "" {
		w.Header().Set("Retry-After", spec.RetryAfter)
		WriteJSON(w, http.StatusServiceUnavailable, map[string]any{"code": "paused", "not_run": true})
		return
	}
	if !spec.DropResponse && spec.Response == nil {
		next(&faultWriter{ResponseWriter: w, r: r, injector: in, writesLeft: spec.CutAfterWrites}, r)
		return
	}
	next(&faultWriter{ResponseWriter: discardWriter{header: make(http.Header)}, r: r, injector: in}, r)
	if spec.DropResponse {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Content-Type"] = []string{spec.Response.ContentType}
	w.WriteHeader(spec.Response.Status)
	_, _ = w.Write(spec.Response.Body)
}

// specFor counts the request and returns the spec that applies to it, with a channel that the next Set closes.
func (in *Injector) specFor(path string, body []byte) (Spec, <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.requests == nil {
		in.requests = make(map[string]int)
	}
	in.requests[path]++
	spec := in.spec
	if !strings.HasPrefix(path, spec.Path) || !bytes.Contains(body, []byte(spec.Contains)) {
		return Spec{}, nil
	}
	if in.changed == nil {
		in.changed = make(chan struct{})
	}
	if spec.Count > 0 {
		in.spec.Count--
		if in.spec.Count == 0 {
			in.spec = Spec{}
		}
	}
	return spec, in.changed
}

// untilUnfrozen returns a channel that the next Set closes if path is frozen, or nil otherwise. A freeze with
// a Count only blocks requests before they are executed, not the writes of their responses.
func (in *Injector) untilUnfrozen(path string) <-chan struct{} {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.spec.Freeze || in.spec.Count > 0 || !strings.HasPrefix(path, in.spec.Path) {
		return nil
	}
	if in.changed == nil {
		in.changed = make(chan struct{})
	}
	return in.changed
}

// WriteJSON sends v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the JSON body of r into v and reports whether it succeeded; on failure it has sent status 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		WriteJSON(w, http.StatusBadRequest, map[string]string{"code": "bad_request", "message": err.Error()})
		return false
	}
	return true
}

// sleep waits for d and reports false if ctx ends first.
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

// waitUnfrozen waits for the end of the freeze, and aborts the request if its client disconnects.
func waitUnfrozen(ctx context.Context, unfrozen <-chan struct{}) {
	select {
	case <-unfrozen:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}
