package svc

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
)

// maxRecordedBody is the number of bytes of each request body that the record keeps.
const maxRecordedBody = 4 << 10

type (
	// Service records and executes every request except those for /fault and /record; set its exported fields before
	// the first request.
	Service struct {
		WorkTime  time.Duration // execution time of each request
		KeyHeader string        // request header whose value is recorded as the key
		Fault     fault.Injector

		mu         sync.Mutex
		executions []Execution
	}

	// Execution is a request that was executed; it is also the body of the response.
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

// ServeHTTP executes the request, or handles /fault and /record.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Fault.Serve(w, r, s.serve, func() any { return map[string]any{"runs": s.Executions()} })
}

// Executions returns all executions so far.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

// serve records the execution before it sleeps for WorkTime, because a client disconnect does not undo the execution.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	exec := Execution{
		At: time.Now(), Method: r.Method, Path: r.URL.RequestURI(), Key: r.Header.Get(s.KeyHeader),
		RequestID: r.Header.Get("X-Request-Id"), Body: string(body[:min(len(body), maxRecordedBody)]),
	}
	s.mu.Lock()
	exec.Number = len(s.executions) + 1
	s.executions = append(s.executions, exec)
	s.mu.Unlock()
	time.Sleep(s.WorkTime)
	fault.WriteJSON(w, http.StatusOK, exec)
}
