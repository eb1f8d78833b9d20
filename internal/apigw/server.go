package apigw

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest"

	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/trace"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// defaultDeadline applies where neither the caller nor the class sets one.
	defaultDeadline = 10 * time.Minute
	// bodyTimeout ends requests whose body arrives too slowly.
	bodyTimeout = 30 * time.Second
)

type (
	// Generator runs generations; *relay.Relay is the one in use.
	Generator interface {
		Do(ctx context.Context, req relay.Request, sink relay.Sink) (relay.Result, error)
	}

	// Forwarder forwards requests to plain services.
	Forwarder interface {
		// Forward sends the request to an upstream of the service and writes its answer to w, or returns an
		// *answer.Error before anything was written.
		Forward(ctx context.Context, w http.ResponseWriter, f ServiceRequest) error
	}

	// ActiveDoc is the document in force with its lookup by caller-visible names.
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

	// Address is one host that a caller may use.
	Address struct {
		Name          string `json:"name"`
		URL           string `json:"url"`
		FailureDomain string `json:"failure_domain"`
	}

	// Server answers callers; its fields are set before use.
	Server struct {
		// ActiveDoc returns the document in force, or nil before the first one.
		ActiveDoc   func() *ActiveDoc
		Generator   Generator
		Forwarder   Forwarder
		Idempotency *idem.Records
		// Hosts returns live hosts that are not leaving, best first for a failure domain.
		Hosts func(failureDomain string, callerName string) []Address
		// Ready returns why the host can't serve yet, or nil.
		Ready        func() error
		Stats        *stats.Set
		Log          zerolog.Logger
		HostName     string
		MaxBodyBytes int64
		MaxInFlight  int64
		// Trace records every finished generation, without its text; nil records none. Lines are in order of the ends.
		Trace *trace.Writer

		inFlight atomic.Int64
		began    time.Time // AtMS of a trace counts from here
	}
)

// Routes returns the endpoints for callers.
func (s *Server) Routes() []rest.Route {
	s.began = time.Now()
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/models", Handler: s.wrap(s.models)},
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: s.wrap(s.chat)},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: s.wrap(s.completion)},
		{Method: http.MethodGet, Path: "/v1/hosts", Handler: s.wrap(s.hosts)},
		{Path: servicePrefix + "{service}", Handler: s.wrap(s.service)},
		{Path: servicePrefix + "{service}/{path...}", Handler: s.wrap(s.service)},
		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.readyz},
	}
}

// InFlight returns the number of requests being answered.
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
