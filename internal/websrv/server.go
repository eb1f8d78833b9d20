package websrv

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/figreel/figreel/internal/ingres"
)

const (
	// readHeaderTimeout closes connections of slow senders before they occupy a handler.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 90 * time.Second
	// connectionShare is the share of the descriptors of the process that connections of the server may take.
	connectionShare = 0.5
	// noForceQuit keeps go-zero's signal handler from ending the process. By default it does so 5.5 s after SIGTERM,
	// but a graceful shutdown waits for calls in flight.
	noForceQuit = 10 * 365 * 24 * time.Hour
)

// Server serves routes on one address; its fields are set before Run.
type Server struct {
	Name     string
	Addr     string // host:port
	CertFile string
	KeyFile  string
	Routes   []rest.Route
	// Gate limits the connections of the process; nil has the defaults.
	Gate *ingres.Gate
	// OnRejected is called with the error code of each request that no route matches; it may be nil.
	OnRejected func(code string)
	// Stop is closed by the creator of the server to make it stop accepting connections.
	Stop <-chan struct{}
}

// Run serves until Stop is closed and every open request has ended, or until ctx ends. It returns an error if it cannot
// listen or serve.
func (s *Server) Run(ctx context.Context) error {
	h, err := s.Handler()
	if err != nil {
		return err
	}
	bound, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen for %s", s.Name)
	}
	l := s.Gate.Wrap(bound, ingres.Port{Name: s.Name, Share: connectionShare, Encrypted: s.CertFile != ""})
	svr := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	l.Prepare(svr)
	failed := make(chan error, 1)
	go func() { failed <- s.serve(svr, l) }()
	select {
	case err := <-failed:
		return errors.Wrapf(err, "serve %s", s.Name)
	case <-s.Stop:
		if err := svr.Shutdown(ctx); err != nil {
			return errors.Wrapf(svr.Close(), "close %s", s.Name)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrapf(svr.Close(), "close %s", s.Name)
	}
}

// Handler returns a handler of the routes as go-zero's rest server builds it, without a listener.
func (s *Server) Handler() (http.Handler, error) {
	logx.Disable()
	router := NewRouter()
	router.OnRejected = s.OnRejected
	server, err := rest.NewServer(restConf(s.Name), rest.WithRouter(router))
	if err != nil {
		return nil, errors.Wrapf(err, "create HTTP server %s", s.Name)
	}
	server.AddRoutes(s.Routes)
	built, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrapf(err, "build routes of HTTP server %s", s.Name)
	}
	return http.HandlerFunc(built.Serve), nil
}

// Mux returns a handler of the routes without go-zero, for tests in synctest bubbles: they can't share the process-wide
// state that go-zero's rest registers.
func (s *Server) Mux() http.Handler {
	r := NewRouter()
	for _, route := range s.Routes {
		_ = r.Handle(route.Method, route.Path, route.Handler)
	}
	return r
}

func (s *Server) serve(svr *http.Server, l net.Listener) error {
	if s.CertFile != "" {
		return svr.ServeTLS(l, s.CertFile, s.KeyFile)
	}
	return svr.Serve(l)
}

func restConf(name string) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: noForceQuit, WaitTime: 2 * noForceQuit},
		},
		// Breaker, shedding, connection limit, timeout and body limit stay off: their responses would not appear in
		// figreel's metrics, and a timeout response would be wrong for a call that was already sent to an upstream.
		Middlewares: rest.MiddlewaresConf{},
	}
}
