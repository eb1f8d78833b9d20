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
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// A document takes up to about twice its size as a JSON string.
	maxBodyBytes = 2*docrev.MaxDocumentBytes + 1<<16
	readTimeout  = 10 * time.Second
	// A change may wait for the key-value service until this deadline.
	requestTimeout = 15 * time.Second
	stopTimeout    = 5 * time.Second
	keyIDLength    = 8 // hexadecimal digits of a key's digest that name it in records
)

type (
	// DocumentStore holds the revisions; *docrev.Replicator implements it.
	DocumentStore interface {
		Current() (*envdoc.Doc, int64)
		Propose(ctx context.Context, c docrev.Change) (int64, error)
		Read(ctx context.Context, revision int64) (docrev.Record, error)
		History(ctx context.Context, limit int) ([]docrev.HistoryEntry, error)
	}

	// Server serves the operator API; exported fields are set before Run or Handler.
	Server struct {
		Name          string // of this host
		Environment   string
		Listen        string
		CertFile      string // empty serves plain HTTP
		KeyFile       string
		KeySHA256     []string // hex digests of the operators' keys
		DocumentStore DocumentStore
		Status        func() Status
		// Drain starts a planned stop of this host, or marks an upstream; it returns ErrNoUpstream for unknown names.
		Drain func(ctx context.Context, d DrainRequest) error
		Hosts func() []wire.Member
		Stats *stats.Set
		Log   zerolog.Logger
	}

	keyID struct{}
)

// ErrNoUpstream means that no upstream has the name.
var ErrNoUpstream = errors.New("upstream does not exist")

// Run serves until ctx ends, then lets requests in flight finish.
func (s *Server) Run(ctx context.Context) error {
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	server := &http.Server{Handler: handler, ReadTimeout: readTimeout, WriteTimeout: 2 * requestTimeout}
	stopped := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() {
		last, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(last)
	})
	if s.CertFile != "" {
		err = server.ServeTLS(listener, s.CertFile, s.KeyFile)
	} else {
		err = server.Serve(listener)
	}
	if stop() || !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return errors.Wrap(<-stopped, "stop serving operators")
}

// Handler returns the API with authentication.
func (s *Server) Handler() (http.Handler, error) {
	var conf rest.RestConf
	conf.ServiceConf = service.ServiceConf{Name: "operators", Log: logx.LogConf{Mode: "console", Level: "error"}}
	// The other middlewares would refuse or answer outside our own codes; limits are set in this package.
	conf.Middlewares = rest.MiddlewaresConf{Recover: true}
	server, err := rest.NewServer(conf)
	if err != nil {
		return nil, errors.Wrap(err, "create operator API")
	}
	server.Use(s.authenticate)
	server.AddRoutes(s.routes())
	built, err := rest.NewServerless(server)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { built.Serve(w, r) }), err
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

// Lets requests with a known key pass, bounds them, and notes which key it is.
func (s *Server) authenticate(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, ok := s.known(r.Header.Get("Authorization"))
		if !ok {
			s.Stats.CountRejection("operator_unauthorized")
			fail(w, &ErrorResponse{Code: CodeUnauthorized, Message: "no known operator key"})
			return
		}
		ctx, cancel := context.WithTimeout(context.WithValue(r.Context(), keyID{}, id), requestTimeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next(w, r.WithContext(ctx))
	}
}

// Compares with every key in constant time, so that the time of a refusal tells nothing about the keys.
func (s *Server) known(header string) (string, bool) {
	key, bearer := strings.CutPrefix(header, "Bearer ")
	sum := sha256.Sum256([]byte(key))
	digest := hex.EncodeToString(sum[:])
	match := 0
	for _, k := range s.KeySHA256 {
		match |= subtle.ConstantTimeCompare([]byte(k), []byte(digest))
	}
	return digest[:keyIDLength], bearer && match == 1
}
