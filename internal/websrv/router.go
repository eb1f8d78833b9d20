package websrv

import (
	"net/http"
	"path"
	"strings"

	"github.com/figreel/figreel/pkg/answer"
)

// Router is a go-zero router on http.ServeMux, whose patterns can match the arbitrary paths below a plain service.
type Router struct {
	// OnRejected is called with the error code of each request that no handler matches; it may be nil.
	OnRejected func(code string)

	mux     *http.ServeMux
	methods map[string][]string // allowed methods by path pattern
}

// NewRouter returns a router that responds to unknown paths with a JSON error.
func NewRouter() *Router {
	r := &Router{mux: http.NewServeMux(), methods: make(map[string][]string)}
	r.mux.HandleFunc("/", r.notFound)
	return r
}

// Handle registers a handler for a method and a ServeMux path pattern; an empty method means every method.
func (r *Router) Handle(method, path string, h http.Handler) error {
	if method == "" {
		r.mux.Handle(path, h)
		return nil
	}
	r.mux.Handle(method+" "+path, h)
	if r.methods[path] == nil {
		r.mux.HandleFunc(path, func(w http.ResponseWriter, req *http.Request) { r.methodNotAllowed(w, req, path) })
	}
	r.methods[path] = append(r.methods[path], method)
	return nil
}

// ServeHTTP dispatches to the registered handler. It responds with the JSON error to a path such as /svc/a/../b, which
// ServeMux would redirect.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if p := req.URL.EscapedPath(); cleanPath(p) != p {
		r.notFound(w, req)
		return
	}
	r.mux.ServeHTTP(w, req)
}

// SetNotFoundHandler does nothing, because unknown paths always get the JSON error.
func (r *Router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing, because wrong methods always get the JSON error.
func (r *Router) SetNotAllowedHandler(http.Handler) {}

func (r *Router) methodNotAllowed(w http.ResponseWriter, req *http.Request, path string) {
	w.Header().Set("Allow", strings.Join(r.methods[path], ", "))
	r.reject(w, req, &answer.Error{
		Status: http.StatusMethodNotAllowed, Code: "wrong_method", Message: path + " does not take " + req.Method,
	})
}

func (r *Router) notFound(w http.ResponseWriter, req *http.Request) {
	r.reject(w, req, &answer.Error{
		Status: http.StatusNotFound, Code: "unknown_path", Message: "no endpoint at " + req.URL.Path,
	})
}

func (r *Router) reject(w http.ResponseWriter, req *http.Request, e *answer.Error) {
	e.Outcome = answer.NotRun
	if r.OnRejected != nil {
		r.OnRejected(e.Code)
	}
	e.Write(w, req.Header.Get("X-Request-Id"))
}

// cleanPath returns the path without empty and dot segments; it keeps a trailing slash.
func cleanPath(p string) string {
	out := path.Clean("/" + p)
	if strings.HasSuffix(p, "/") && out != "/" {
		out += "/"
	}
	return out
}
