package oper

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
	"github.com/figreel/figreel/pkg/find"
)

const defaultHistoryLimit = 20

var errNoDocument = errors.New("no document is active yet")

func (s *Server) check(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeBody[CandidateDoc](w, r)
	if !ok {
		return
	}
	if _, err := envdoc.Parse("document", []byte(req.Document)); err != nil {
		writeError(w, newErrorResponse(err))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeBody[ApplyRequest](w, r)
	if !ok {
		return
	}
	if req.ChangeID == "" {
		writeError(w, &ErrorResponse{Code: CodeBadRequest, Message: "change_id is required"})
		return
	}
	id, _ := r.Context().Value(keyID{}).(string)
	change := docrev.Change{
		ID: req.ChangeID, Author: req.Author + " (key " + id + ")", Base: req.Base, Body: []byte(req.Document),
	}
	revision, err := s.DocumentStore.Propose(r.Context(), change)
	if err != nil {
		s.Log.Warn().Err(err).Str("change", req.ChangeID).Str("author", change.Author).Msg("change not accepted")
		writeError(w, newErrorResponse(err))
		return
	}
	s.Log.Info().Int64("revision", revision).Str("author", change.Author).Msg("change accepted")
	writeJSON(w, http.StatusOK, ApplyResponse{Revision: revision})
}

func (s *Server) diff(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeBody[CandidateDoc](w, r)
	if !ok {
		return
	}
	candidate, err := envdoc.Parse("document", []byte(req.Document))
	if err != nil {
		writeError(w, newErrorResponse(err))
		return
	}
	current, revision := s.DocumentStore.Current()
	if current == nil {
		current = &envdoc.Doc{}
	}
	writeJSON(w, http.StatusOK, DiffResponse{Base: revision, Changes: envdoc.Diff(current, candidate)})
}

// promote responds with the document that results from promoting a document of another environment into this one, the
// changes, and the base revision. It applies nothing; the operator applies the result against that revision.
func (s *Server) promote(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeBody[CandidateDoc](w, r)
	if !ok {
		return
	}
	result, err := s.promoteDocument(req)
	if err != nil {
		writeError(w, newErrorResponse(err))
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (s *Server) promoteDocument(source CandidateDoc) (DiffResponse, error) {
	from, err := envdoc.Parse("source document", []byte(source.Document))
	if err != nil {
		return DiffResponse{}, err
	}
	current, revision := s.DocumentStore.Current()
	if current == nil {
		return DiffResponse{}, errNoDocument
	}
	body, err := envdoc.Promote(from, current).Encode()
	if err != nil {
		return DiffResponse{}, err
	}
	promoted, err := envdoc.Parse("promoted document", body)
	if err != nil {
		return DiffResponse{}, err
	}
	return DiffResponse{Base: revision, Changes: envdoc.Diff(current, promoted), Document: string(body)}, nil
}

func (s *Server) document(w http.ResponseWriter, r *http.Request) {
	_, revision := s.DocumentStore.Current()
	if param := r.URL.Query().Get("revision"); param != "" {
		var err error
		if revision, err = strconv.ParseInt(param, 10, 64); err != nil {
			writeError(w, &ErrorResponse{Code: CodeBadRequest, Message: "revision must be a whole number"})
			return
		}
	}
	record, err := s.DocumentStore.ReadRevision(r.Context(), revision)
	if err != nil {
		writeError(w, newErrorResponse(err))
		return
	}
	entry := docrev.HistoryEntry{Revision: revision, Record: record}
	writeJSON(w, http.StatusOK, DocumentRevision{HistoryEntry: entry, Document: string(record.Body)})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultHistoryLimit
	}
	entries, err := s.DocumentStore.History(r.Context(), limit)
	if err != nil {
		writeError(w, newErrorResponse(err))
		return
	}
	writeJSON(w, http.StatusOK, entries)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Status())
}

func (s *Server) hosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Hosts())
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	req, ok := decodeBody[DrainRequest](w, r)
	if !ok {
		return
	}
	switch {
	case req.Kind != DrainHost && req.Kind != DrainUpstream:
		writeError(w, &ErrorResponse{Code: CodeBadRequest, Message: "kind must be host or upstream"})
	case req.Kind == DrainHost && req.End:
		writeError(w, &ErrorResponse{Code: CodeBadRequest, Message: "a host cannot be undrained; restart it"})
	case req.Kind == DrainHost && req.Name != s.Name:
		writeError(w, &ErrorResponse{Code: CodeOtherHost, Message: "this is host " + s.Name + ", not " + req.Name})
	default:
		if err := s.Drain(r.Context(), req); err != nil {
			e := newErrorResponse(err)
			if errors.Is(err, kvapi.ErrOutcomeUnknown) {
				e.Code, e.Outcome = CodeOutcomeUnknown, answer.Unknown
			}
			writeError(w, e)
			return
		}
		s.Log.Info().Str("kind", req.Kind).Str("name", req.Name).Bool("back", req.End).Msg("drain by operator")
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

// Decodes the JSON body of a request; when it is invalid, writes an error response and returns false.
func decodeBody[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		writeError(w, &ErrorResponse{Code: CodeBadRequest, Message: err.Error()})
		return v, false
	}
	return v, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only when the operator has disconnected
}

// Writes e as the response; without an outcome, the request is reported as not executed.
func writeError(w http.ResponseWriter, e *ErrorResponse) {
	if e.Outcome == "" {
		e.Outcome = answer.NotRun
	}
	writeJSON(w, httpStatus(e.Code), e)
}

func httpStatus(code string) int {
	switch code {
	case CodeFindings:
		return http.StatusUnprocessableEntity
	case CodeConflict:
		return http.StatusConflict
	case CodeKVUnavailable:
		return http.StatusServiceUnavailable
	case CodeOutcomeUnknown:
		return http.StatusGatewayTimeout
	case CodeNotFound:
		return http.StatusNotFound
	case CodeOtherHost:
		return http.StatusMisdirectedRequest
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeUnauthorized:
		return http.StatusUnauthorized
	default:
		return http.StatusInternalServerError
	}
}

func newErrorResponse(err error) *ErrorResponse {
	e := &ErrorResponse{Code: CodeFailed, Message: err.Error()}
	var findings *find.List
	switch {
	case errors.As(err, &findings):
		e.Code, e.Findings = CodeFindings, findings.Findings
	case errors.As(err, &e.Conflict):
		e.Code = CodeConflict
	case errors.Is(err, docrev.ErrOutcomeUnknown):
		e.Code, e.Outcome = CodeOutcomeUnknown, answer.Unknown
	case errors.Is(err, docrev.ErrUnavailable), errors.Is(err, kvapi.ErrOutcomeUnknown),
		errors.Is(err, kvapi.ErrRateLimited):
		e.Code = CodeKVUnavailable
	case errors.Is(err, kvapi.ErrNotFound), errors.Is(err, ErrNoUpstream), errors.Is(err, errNoDocument):
		e.Code = CodeNotFound
	case errors.Is(err, docrev.ErrNoBase), errors.Is(err, docrev.ErrTooLarge):
		e.Code = CodeBadRequest
	}
	return e
}
