package svc

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
)

// maxRecordedBody bounds the part of each body that is kept in the record.
const maxRecordedBody = 4 << 10

type (
	// Service runs every request that is no fault control; its exported fields are set before the first request.
	Service struct {
		WorkTime  time.Duration
		KeyHeader string // request header whose value is recorded as the key
		Fault     fault.Injector

		mu   sync.Mutex
		runs []Execution
	}

	// Execution is a request that took effect, and the answer to it.
	Execution struct {
		Number    int       `json:"number"`
		At        time.Time `json:"at"`
		Method    string    `json:"method"`
		Path      string    `json:"path"`
		Key       string    `json:"key,omitempty"`
		RequestID string    `json:"request_id,omitempty"`
		Body      string    `json:"body"`
	}
)

// ServeHTTP runs the request, or answers the fault control.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Fault.Serve(w, r, s.serve, func() any { return map[string]any{"runs": s.Executions()} })
}

// Executions returns every run so far.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs)
}

// serve records the run before its work, because a client that goes away does not undo it.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	run := Execution{
		At: time.Now(), Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get(s.KeyHeader),
		RequestID: r.Header.Get("X-Request-Id"), Body: string(body[:min(len(body), maxRecordedBody)]),
	}
	s.mu.Lock()
	run.Number = len(s.runs) + 1
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	time.Sleep(s.WorkTime)
	fault.WriteJSON(w, http.StatusOK, run)
}
