package websrv

import (
	"net/http"
	"path"
	"strings"

	"github.com/figreel/figreel/pkg/answer"
)

// Router adapts http.ServeMux to go-zero's router, because services are reached under arbitrary paths.
type Router struct {
	// OnRejected is told the code of each request that no handler takes; nil ignores it.
	OnRejected func(code string)

	mux     *http.ServeMux
	methods map[string][]string // allowed methods by path pattern
}

// NewRouter returns a router that answers unknown paths with a JSON error.
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
		r.mux.HandleFunc(path, func(w http.ResponseWriter, req *http.Request) { r.wrongMethod(w, req, path) })
	}
	r.methods[path] = append(r.methods[path], method)
	return nil
}

// ServeHTTP dispatches to the registered handler. ServeMux would answer a path such as /svc/a/../b with a redirect
// instead of the JSON error, so such paths do not reach it.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if p := req.URL.EscapedPath(); shortest(p) != p {
		r.notFound(w, req)
		return
	}
	r.mux.ServeHTTP(w, req)
}

// SetNotFoundHandler does nothing: unknown paths always get the JSON error.
func (r *Router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler does nothing: wrong methods always get the JSON error.
func (r *Router) SetNotAllowedHandler(http.Handler) {}

func (r *Router) wrongMethod(w http.ResponseWriter, req *http.Request, path string) {
	w.Header().Set("Allow", strings.Join(r.methods[path], ", "))
	r.refuse(w, req, &answer.Error{
		Status: http.StatusMethodNotAllowed, Code: "wrong_method", Message: path + " does not take " + req.Method,
	})
}

func (r *Router) notFound(w http.ResponseWriter, req *http.Request) {
	r.refuse(w, req, &answer.Error{
		Status: http.StatusNotFound, Code: "unknown_path", Message: "no endpoint at " + req.URL.Path,
	})
}

func (r *Router) refuse(w http.ResponseWriter, req *http.Request, e *answer.Error) {
	e.Outcome = answer.NotRun
	if r.OnRejected != nil {
		r.OnRejected(e.Code)
	}
	e.Write(w, req.Header.Get("X-Request-Id"))
}

// shortest returns the path without empty and dot segments; a slash at its end stays.
func shortest(p string) string {
	out := path.Clean("/" + p)
	if strings.HasSuffix(p, "/") && out != "/" {
		out += "/"
	}
	return out
}
