package apigw

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// keepHostsS is how long callers keep an address answer; a leaving host accepts calls for a while after it.
	keepHostsS = 30
	// maxHosts is the address in use and two spare ones.
	maxHosts      = 3
	servicePrefix = "/svc/"
)

type (
	hostsAnswer struct {
		Hosts []Address `json:"hosts"`
		KeepS int       `json:"keep_s"`
	}

	modelList struct {
		Object string      `json:"object"`
		Data   []modelInfo `json:"data"`
	}

	modelInfo struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
)

func (s *Server) models(c *call) error {
	out := modelList{Object: "list", Data: make([]modelInfo, 0, len(c.current.Targets))}
	for name := range c.current.Targets {
		out.Data = append(out.Data, modelInfo{ID: name, Object: "model", OwnedBy: c.doc.Environment})
	}
	slices.SortFunc(out.Data, func(a, b modelInfo) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return writeJSON(c.w, out)
}

// hosts answers which hosts to use: live ones that are not leaving, those of the caller's failure domain first.
func (s *Server) hosts(c *call) error {
	domain := c.r.URL.Query().Get("failure_domain")
	if domain == "" {
		domain = c.caller.FailureDomain
	}
	hosts := s.Hosts(domain, c.caller.Name)
	return writeJSON(c.w, hostsAnswer{Hosts: hosts[:min(len(hosts), maxHosts)], KeepS: keepHostsS})
}

// service forwards a request to a plain service, at most once where it is marked not repeatable.
func (s *Server) service(c *call) error {
	svc, ok := findService(c.doc, c.r.PathValue("service"))
	if !ok {
		return &answer.Error{
			Status: http.StatusNotFound, Code: "service_not_found", Outcome: answer.NotRun,
			Message: "the document has no service " + c.r.PathValue("service"),
		}
	}
	if err := s.readBody(c); err != nil {
		return err
	}
	key, err := c.key()
	if err != nil {
		return err
	}
	notRepeatable, err := c.notRepeatable(svc.NotRepeatable)
	if err != nil {
		return err
	}
	limit, err := c.limit()
	if err != nil {
		return err
	}
	if limit > 0 {
		svc.TimeoutMS = min(svc.TimeoutMS, int(limit.Milliseconds()))
	}
	c.parsed = true
	c.answerBy(c.began.Add(time.Duration(svc.TimeoutMS) * time.Millisecond))
	f := c.forward(svc, !notRepeatable)
	if !notRepeatable {
		return s.Forwarder.Forward(c.r.Context(), c.w, f)
	}
	if key == "" && svc.RequireKey {
		return badRequest("key_required", "service %q needs an Idempotency-Key", svc.Name)
	}
	return s.serviceOnce(c, f, key)
}

func (c *call) forward(svc envdoc.Service, repeatable bool) ServiceRequest {
	// The path is passed on as it was sent, because decoding would turn %2F and %3F into separators.
	_, path, _ := strings.Cut(strings.TrimPrefix(c.r.URL.EscapedPath(), servicePrefix), "/")
	path = "/" + path
	if c.r.URL.RawQuery != "" {
		path += "?" + c.r.URL.RawQuery
	}
	header := c.r.Header.Clone()
	header.Del("Authorization")
	return ServiceRequest{
		Service: svc, Method: c.r.Method, Path: path, Header: header, Body: c.body,
		Idempotent: repeatable, RequestID: c.id,
	}
}

func findService(doc *envdoc.Doc, name string) (envdoc.Service, bool) {
	for _, svc := range doc.Services {
		if svc.Name == name {
			return svc, true
		}
	}
	return envdoc.Service{}, false
}

func writeJSON(w http.ResponseWriter, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return writeAnswer(w, &idem.Response{Status: http.StatusOK, ContentType: contentTypeJSON, Body: b})
}
