package apigw

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// defaultDeadline applies where neither the caller nor the class sets one.
	defaultDeadline = 10 * time.Minute
	// bodyTimeout is the time in which a request's whole body must arrive, so that slow senders don't hold a call.
	bodyTimeout = 30 * time.Second
)

type (
	// Generator executes generation requests; *relay.Relay implements it.
	Generator interface {
		Do(ctx context.Context, req relay.Request, sink relay.Sink) (relay.Result, error)
	}

	// Forwarder forwards requests to plain services.
	Forwarder interface {
		// Forward sends the request to an upstream of the service and writes the response to w, or returns an
		// *answer.Error if nothing was written yet.
		Forward(ctx context.Context, w http.ResponseWriter, req ServiceRequest) error
	}

	// ActiveDoc is the active document. Targets holds its models and adapters by the names that callers use.
	ActiveDoc struct {
		Doc      *envdoc.Doc
		Revision int64
		Targets  map[string]envdoc.Target
	}

	// ServiceRequest is one request for a plain service.
	ServiceRequest struct {
		Service    envdoc.Service
		Method     string
		Path       string
		Header     http.Header
		Body       []byte
		Idempotent bool
		RequestID  string
	}

	// Address is a host to which a caller may send requests.
	Address struct {
		Name          string `json:"name"`
		URL           string `json:"url"`
		FailureDomain string `json:"failure_domain"`
	}

	// Server serves the API for callers. Its exported fields are set before use.
	Server struct {
		// ActiveDoc returns the active document, or nil if the host has none yet.
		ActiveDoc   func() *ActiveDoc
		Generator   Generator
		Forwarder   Forwarder
		Idempotency *idem.Records
		// Hosts returns the live hosts that are not leaving, those of the failure domain first.
		Hosts func(failureDomain string, callerName string) []Address
		// Ready returns nil if the host can serve requests, or the reason why it can't yet.
		Ready        func() error
		Stats        *stats.Set
		Log          zerolog.Logger
		HostName     string
		MaxBodyBytes int64
		MaxInFlight  int64
		// RequestMemory and ResponseMemory bound what is held of all requests, and of all responses that are stored
		// before they are sent; nil does not.
		RequestMemory, ResponseMemory *mem.Budget
		// Trace records each finished generation without its text, in the order in which they finish; nil turns it off.
		Trace *trace.Writer

		inFlight atomic.Int64
		started  time.Time // origin of the AtMS field of trace records
	}
)

// Routes returns the endpoints for callers. Times in trace records count from this call.
func (s *Server) Routes() []rest.Route {
	s.started = time.Now()
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.wrap(s.handleModels)},
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.wrap(s.handleChat)},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: s.wrap(s.handleCompletion)},
		{Method: http.MethodGet, Path: "/v1/hosts", Handler: s.wrap(s.handleHosts)},
		{Path: servicePrefix + "{service}", Handler: s.wrap(s.handleService)},
		{Path: servicePrefix + "{service}/{path...}", Handler: s.wrap(s.handleService)},
		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.readyz},
	}
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) readyz(w http.ResponseWriter, r *http.Request) {
	if err := s.Ready(); err != nil {
		notReady(err).Write(w, r.Header.Get(headerRequestID))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func notReady(err error) *answer.Error {
	return &answer.Error{
		Status: http.StatusServiceUnavailable, Code: "not_ready", Outcome: answer.NotRun, Message: err.Error(),
		RetryAfter: time.Second,
	}
}
