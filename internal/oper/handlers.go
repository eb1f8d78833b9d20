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

const defaultHistory = 20

var errNoDocument = errors.New("no document is in force yet")

func (s *Server) check(w http.ResponseWriter, r *http.Request) {
	d, ok := read[CandidateDoc](w, r)
	if !ok {
		return
	}
	if _, err := envdoc.Parse("document", []byte(d.Document)); err != nil {
		fail(w, failure(err))
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	a, ok := read[ApplyRequest](w, r)
	if !ok {
		return
	}
	if a.ChangeID == "" {
		fail(w, &ErrorResponse{Code: CodeBadRequest, Message: "change_id is required"})
		return
	}
	id, _ := r.Context().Value(keyID{}).(string)
	change := docrev.Change{
		ID: a.ChangeID, Author: a.Author + " (key " + id + ")", Base: a.Base, Body: []byte(a.Document),
	}
	revision, err := s.DocumentStore.Propose(r.Context(), change)
	if err != nil {
		s.Log.Warn().Err(err).Str("change", a.ChangeID).Str("author", change.Author).Msg("change not accepted")
		fail(w, failure(err))
		return
	}
	s.Log.Info().Int64("revision", revision).Str("author", change.Author).Msg("change accepted")
	reply(w, http.StatusOK, ApplyResponse{Revision: revision})
}

func (s *Server) diff(w http.ResponseWriter, r *http.Request) {
	d, ok := read[CandidateDoc](w, r)
	if !ok {
		return
	}
	draft, err := envdoc.Parse("document", []byte(d.Document))
	if err != nil {
		fail(w, failure(err))
		return
	}
	current, revision := s.DocumentStore.Current()
	if current == nil {
		current = &envdoc.Doc{}
	}
	reply(w, http.StatusOK, DiffResponse{Base: revision, Changes: envdoc.Diff(current, draft)})
}

// Returns the draft as promoted into this environment; the operator applies it with the base that is returned.
func (s *Server) promote(w http.ResponseWriter, r *http.Request) {
	d, ok := read[CandidateDoc](w, r)
	if !ok {
		return
	}
	compared, err := s.promoted(d)
	if err != nil {
		fail(w, failure(err))
		return
	}
	reply(w, http.StatusOK, compared)
}

func (s *Server) promoted(d CandidateDoc) (DiffResponse, error) {
	from, err := envdoc.Parse("source document", []byte(d.Document))
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
	if wanted := r.URL.Query().Get("revision"); wanted != "" {
		var err error
		if revision, err = strconv.ParseInt(wanted, 10, 64); err != nil {
			fail(w, &ErrorResponse{Code: CodeBadRequest, Message: "revision must be a whole number"})
			return
		}
	}
	record, err := s.DocumentStore.Read(r.Context(), revision)
	if err != nil {
		fail(w, failure(err))
		return
	}
	past := docrev.HistoryEntry{Revision: revision, Record: record}
	reply(w, http.StatusOK, DocumentRevision{HistoryEntry: past, Document: string(record.Body)})
}

func (s *Server) history(w http.ResponseWriter, r *http.Request) {
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || limit < 1 {
		limit = defaultHistory
	}
	past, err := s.DocumentStore.History(r.Context(), limit)
	if err != nil {
		fail(w, failure(err))
		return
	}
	reply(w, http.StatusOK, past)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Status())
}

func (s *Server) hosts(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Hosts())
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	d, ok := read[DrainRequest](w, r)
	if !ok {
		return
	}
	switch {
	case d.Kind != DrainHost && d.Kind != DrainUpstream:
		fail(w, &ErrorResponse{Code: CodeBadRequest, Message: "kind must be host or upstream"})
	case d.Kind == DrainHost && d.End:
		fail(w, &ErrorResponse{Code: CodeBadRequest, Message: "the stop of a host cannot be undone; start it again"})
	case d.Kind == DrainHost && d.Name != s.Name:
		fail(w, &ErrorResponse{Code: CodeOtherHost, Message: "this is host " + s.Name + ", not " + d.Name})
	default:
		if err := s.Drain(r.Context(), d); err != nil {
			fail(w, failure(err))
			return
		}
		s.Log.Info().Str("kind", d.Kind).Str("name", d.Name).Bool("back", d.End).Msg("drain by operator")
		reply(w, http.StatusOK, struct{}{})
	}
}

func read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		fail(w, &ErrorResponse{Code: CodeBadRequest, Message: err.Error()})
		return v, false
	}
	return v, true
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the operator's connection is gone
}

func fail(w http.ResponseWriter, f *ErrorResponse) {
	if f.Outcome == "" {
		f.Outcome = answer.NotRun
	}
	reply(w, statusOf(f.Code), f)
}

func statusOf(code string) int {
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

func failure(err error) *ErrorResponse {
	f := &ErrorResponse{Code: CodeFailed, Message: err.Error()}
	var list *find.List
	switch {
	case errors.As(err, &list):
		f.Code, f.Findings = CodeFindings, list.Findings
	case errors.As(err, &f.Conflict):
		f.Code = CodeConflict
	case errors.Is(err, docrev.ErrOutcomeUnknown):
		f.Code, f.Outcome = CodeOutcomeUnknown, answer.Unknown
	case errors.Is(err, docrev.ErrUnavailable), errors.Is(err, kvapi.ErrOutcomeUnknown),
		errors.Is(err, kvapi.ErrRateLimited):
		f.Code = CodeKVUnavailable
	case errors.Is(err, kvapi.ErrNotFound), errors.Is(err, ErrNoUpstream), errors.Is(err, errNoDocument):
		f.Code = CodeNotFound
	case errors.Is(err, docrev.ErrNoBase), errors.Is(err, docrev.ErrTooLarge):
		f.Code = CodeBadRequest
	}
	return f
}
