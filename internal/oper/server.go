package oper

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/ingres"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// A document can take about twice its size once it is escaped as a JSON string; 64 KiB are for the other fields.
	maxBodyBytes = 2*docrev.MaxDocumentBytes + 1<<16
	readTimeout  = 10 * time.Second
	// Includes the time that a change may wait for the key-value service.
	requestTimeout  = 15 * time.Second
	shutdownTimeout = 5 * time.Second
	// connectionShare is the share of the descriptors of the process that connections of operators may take.
	connectionShare = 0.1
	keyIDLength     = 8 // hexadecimal digits of a key's digest that identify it in revisions
)

type (
	// DocumentStore reads and proposes document revisions; *docrev.Replicator implements it.
	DocumentStore interface {
		Current() (*envdoc.Doc, int64)
		Propose(ctx context.Context, c docrev.Change) (int64, error)
		ReadRevision(ctx context.Context, revision int64) (docrev.Record, error)
		History(ctx context.Context, limit int) ([]docrev.HistoryEntry, error)
	}

	// Server serves the operator API; set the exported fields before Run or Handler.
	Server struct {
		Name          string // of this host
		Environment   string
		Listen        string
		CertFile      string // if empty, the server uses plain HTTP
		KeyFile       string
		KeySHA256     []string // hex digests of the operators' keys
		DocumentStore DocumentStore
		Status        func() Status
		// Drain starts a graceful shutdown of this host, or starts or ends the drain of an upstream.
		// It returns ErrNoUpstream for an unknown upstream.
		Drain func(ctx context.Context, d DrainRequest) error
		Hosts func() []wire.Member
		Stats *stats.Set
		Gate  *ingres.Gate // limits the connections of the process; nil has the defaults
		Log   zerolog.Logger
	}

	keyID struct{} // context key of the digest prefix that identifies the operator's key
)

// ErrNoUpstream means that no upstream has the given name.
var ErrNoUpstream = errors.New("upstream does not exist")

// Run serves until ctx ends, then waits up to 5 s for requests in flight.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	bound, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for the operator API")
	}
	listener := s.Gate.Wrap(bound, ingres.Port{
		Name: "operators", Share: connectionShare, Encrypted: s.CertFile != "",
	})
	server := &http.Server{Handler: handler, ReadTimeout: readTimeout, WriteTimeout: 2 * requestTimeout}
	listener.Prepare(server)
	shutdownErr := make(chan error, 1)
	cancelShutdown := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		shutdownErr <- server.Shutdown(shutdownCtx)
	})
	if s.CertFile != "" {
		err = server.ServeTLS(listener, s.CertFile, s.KeyFile)
	} else {
		err = server.Serve(listener)
	}
	if cancelShutdown() || !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve the operator API")
	}
	return errors.Wrap(<-shutdownErr, "shut down the operator API")
}

// Handler returns the API; every request needs an operator key.
func (s *Server) Handler() (http.Handler, error) {
	var conf rest.RestConf
	conf.ServiceConf = service.ServiceConf{Name: "operators", Log: logx.LogConf{Mode: "console", Level: "error"}}
	// The other middlewares of go-zero would reject requests with errors that carry none of this package's codes.
	// The limits on time and size are set by requireKey.
	conf.Middlewares = rest.MiddlewaresConf{Recover: true}
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "create operator API")
	}
	server.Use(s.requireKey)
	server.AddRoutes(s.routes())
	router, err := rest.NewServerless(server)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { router.Serve(w, r) }), err
}

func (s *Server) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/check", Handler: s.check},
		{Method: http.MethodPost, Path: "/v1/apply", Handler: s.apply},
		{Method: http.MethodPost, Path: "/v1/diff", Handler: s.diff},
		{Method: http.MethodPost, Path: "/v1/promote", Handler: s.promote},
		{Method: http.MethodGet, Path: "/v1/document", Handler: s.document},
		{Method: http.MethodGet, Path: "/v1/history", Handler: s.history},
		{Method: http.MethodGet, Path: "/v1/status", Handler: s.status},
		{Method: http.MethodGet, Path: "/v1/hosts", Handler: s.hosts},
		{Method: http.MethodPost, Path: "/v1/drain", Handler: s.drain},
		{Method: http.MethodGet, Path: "/debug/vars", Handler: expvar.Handler().ServeHTTP},
	}
}

// Rejects requests without a known key. Limits the time and body size of the others, and stores the id of their key
// in the context.
func (s *Server) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, ok := s.authenticate(r.Header.Get("Authorization"))
		if !ok {
			s.Stats.CountRejection("operator_unauthorized")
			writeError(w, &ErrorResponse{Code: CodeUnauthorized, Message: "missing or unknown operator key"})
			return
		}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), keyID{}, id), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next(w, r.WithContext(ctx))
	}
}

// Returns the id of the key in an Authorization header, and whether the key is known. Compares it with every key in
// constant time, so that the duration of a rejection reveals nothing about the keys.
func (s *Server) authenticate(header string) (string, bool) {
	key, bearer := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	match := 0
	for _, k := range s.KeySHA256 {
		match |= subtle.ConstantTimeCompare([]byte(k), []byte(digest))
	}
	return digest[:keyIDLength], bearer && match == 1
}
