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
	// hostsTTLSeconds is how long callers may use the returned addresses. A leaving host still accepts calls
	// for some time after it is removed from the list.
	hostsTTLSeconds = 30
	// maxHosts limits the returned addresses: the one that a caller uses and two alternatives.
	maxHosts      = 3
	servicePrefix = "/svc/"
)

type (
	hostsResponse struct {
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

func (s *Server) handleModels(c *call) error {
	out := modelList{Object: "list", Data: make([]modelInfo, 0, len(c.active.Targets))}
	for name := range c.active.Targets {
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

// handleHosts returns the addresses of live hosts that are not leaving, those of the requested failure domain first. If
// the request names none, the caller's failure domain applies.
func (s *Server) handleHosts(c *call) error {
	domain := c.r.URL.Query().Get("failure_domain")
	if domain == "" {
		domain = c.caller.FailureDomain
	}
	hosts := s.Hosts(domain, c.caller.Name)
	return writeJSON(c.w, hostsResponse{Hosts: hosts[:min(len(hosts), maxHosts)], KeepS: hostsTTLSeconds})
}

// handleService forwards a request to a plain service. A non-idempotent request is forwarded by forwardOnce.
func (s *Server) handleService(c *call) error {
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
	key, err := c.idempotencyKey()
	if err != nil {
		return err
	}
	nonIdempotent, err := c.nonIdempotent(svc.NotRepeatable)
	if err != nil {
		return err
	}
	limit, err := c.requestedTimeout()
	if err != nil {
		return err
	}
	if limit > 0 {
		svc.TimeoutMS = min(svc.TimeoutMS, int(limit.Milliseconds()))
	}
	c.recordChecked = true
	c.setWriteDeadline(c.start.Add(time.Duration(svc.TimeoutMS) * time.Millisecond))
	req := c.serviceRequest(svc, !nonIdempotent)
	if !nonIdempotent {
		return s.Forwarder.Forward(c.r.Context(), c.w, req)
	}
	if key == "" && svc.RequireKey {
		return badRequest("key_required", "service %q needs an Idempotency-Key", svc.Name)
	}
	return s.forwardOnce(c, req, key)
}

// serviceRequest returns the request to forward; the upstream does not get the caller's bearer key.
func (c *call) serviceRequest(svc envdoc.Service, idempotent bool) ServiceRequest {
	// The path stays escaped, because decoding would turn %2F and %3F into separators.
	_, path, _ := strings.Cut(strings.TrimPrefix(c.r.URL.EscapedPath(), servicePrefix), "/")
	path = "/" + path
	if c.r.URL.RawQuery != "" {
		path += "?" + c.r.URL.RawQuery
	}
	header := c.r.Header.Clone()
	header.Del("Authorization")
	return ServiceRequest{
		Service: svc, Method: c.r.Method, Path: path, Header: header, Body: c.body,
		Idempotent: idempotent, RequestID: c.id,
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
	return writeResponse(w, &idem.Response{Status: http.StatusOK, ContentType: contentTypeJSON, Body: b})
}
