package apigw

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	headerRequestID      = "X-Request-Id"
	headerClass          = "X-Figreel-Class"
	headerNonIdempotent  = "X-Figreel-Not-Repeatable"
	headerDeadlineMS     = "X-Figreel-Deadline-Ms"
	headerIdempotencyKey = "Idempotency-Key"
	headerReplayed       = "X-Figreel-Replayed"

	maxKeyBytes = 256
	maxDeadline = time.Hour
	// writeGracePeriod is the time after a call's deadline in which a slow caller may still read the response.
	writeGracePeriod = 10 * time.Second
)

// requestIDPattern matches the request IDs that are accepted from callers. Others are replaced, because long ones and
// ones with control characters must not get into logs.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// call is the state of one request to the API.
type call struct {
	w      http.ResponseWriter
	r      *http.Request
	id     string
	log    zerolog.Logger
	active *ActiveDoc
	doc    *envdoc.Doc
	caller envdoc.Caller
	start  time.Time
	body   []byte
	memory mem.Share // of the body
	// recordChecked means that errors may report not_run although the request has an idempotency key, because either
	// no record applies to the request, or Server.Idempotency reads the record and sets the outcome.
	recordChecked bool
}

type handler func(c *call) error

// wrap returns an HTTP handler that admits and logs each request and writes the error that h returns.
func (s *Server) wrap(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r, id: requestID(r), start: time.Now()}
		c.memory.Budget = s.RequestMemory
		defer c.memory.Release()
		c.log = s.Log.With().Str("request_id", c.id).Logger()
		w.Header().Set(headerRequestID, c.id)
		n := s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		err := s.admit(c, n)
		if err == nil {
			err = h(c)
		}
		s.finish(c, err)
	}
}

// admit rejects a request if it exceeds the limit of calls in flight, if there is no active document, or if its bearer
// key is unknown; n is the number of calls in flight, this one included.
func (s *Server) admit(c *call, n int64) error {
	if n > s.MaxInFlight {
		return &answer.Error{
			Status: http.StatusServiceUnavailable, Code: "host_overloaded", Outcome: answer.NotRun,
			Message: "this host has reached its limit of calls in flight", RetryAfter: time.Second,
		}
	}
	c.active = s.ActiveDoc()
	if c.active == nil {
		return notReady(errors.New("no document is active yet"))
	}
	c.doc = c.active.Doc
	caller, ok := authenticate(c.doc, c.r.Header.Get("Authorization"))
	if !ok {
		return &answer.Error{
			Status: http.StatusUnauthorized, Code: "unauthorized", Outcome: answer.NotRun,
			Message: "the bearer key is missing or not known",
		}
	}
	c.caller = caller
	return nil
}

// finish logs and counts the outcome of a request and writes its error unless the handler has sent it.
func (s *Server) finish(c *call, err error) {
	elapsed := time.Since(c.start)
	if err == nil {
		c.log.Info().Str("caller", c.caller.Name).Str("path", c.r.URL.Path).Dur("took_ms", elapsed).
			Msg("request answered")
		return
	}
	e := c.withOutcome(answer.From(err))
	s.Stats.CountRejection(e.Code)
	c.log.Warn().Str("caller", c.caller.Name).Str("path", c.r.URL.Path).Dur("took_ms", elapsed).
		Str("code", e.Code).Str("outcome", string(e.Outcome)).Str("reason", e.Message).Msg("request not answered")
	if !errors.Is(err, errAlreadySent) {
		e.Write(c.w, c.id)
	}
}

// withOutcome returns e with an accurate outcome: it replaces not_run by outcome_unknown if the request has an
// idempotency key whose record has not been checked, because an earlier attempt with the key may have been executed.
func (c *call) withOutcome(e *answer.Error) *answer.Error {
	if c.recordChecked || e.Outcome != answer.NotRun || c.r.Header.Get(headerIdempotencyKey) == "" {
		return e
	}
	out := *e
	out.Outcome = answer.Unknown
	out.Message += "; an earlier attempt with the same key may have been executed"
	return &out
}

// errAlreadySent means that the response stream has begun, so that no error response can be written any more.
var errAlreadySent = errors.New("the response stream has already begun")

// authenticate returns the caller whose key the Authorization header holds. It compares the key's digest with that of
// every caller in constant time, so that the response time reveals nothing about valid keys.
func authenticate(doc *envdoc.Doc, header string) (envdoc.Caller, bool) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return envdoc.Caller{}, false
	}
	sum := sha256.Sum256([]byte(key))
	digest := []byte(hex.EncodeToString(sum[:]))
	found := -1
	for i, c := range doc.Callers {
		if subtle.ConstantTimeCompare(digest, []byte(strings.ToLower(c.KeySHA256))) == 1 {
			found = i
		}
	}
	if found < 0 {
		return envdoc.Caller{}, false
	}
	return doc.Callers[found], true
}

// requestID returns the request ID that the caller sent if it is acceptable, or a new one.
func requestID(r *http.Request) string {
	if id := r.Header.Get(headerRequestID); requestIDPattern.MatchString(id) {
		return id
	}
	return uuid.NewString()
}

// readBody reads the whole body within the size and time limits.
func (s *Server) readBody(c *call) error {
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	b, err := c.memory.ReadAll(http.MaxBytesReader(c.w, c.r.Body, s.MaxBodyBytes), s.MaxBodyBytes)
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
		c.body = b
		return nil
	}
	if errors.Is(err, mem.ErrNoMemory) {
		return &answer.Error{
			Status: http.StatusServiceUnavailable, Code: "memory_used_up", Outcome: answer.NotRun,
			Message: "this host has no memory left for the request", RetryAfter: time.Second,
		}
	}
	// The read deadline stays set, because net/http reads the rest of the body before it sends the error response and a
	// slow sender must not delay that.
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		e := badRequest("body_too_large", "the body is larger than %d bytes", large.Limit)
		e.Status = http.StatusRequestEntityTooLarge
		return e
	}
	return badRequest("body_unreadable", "the body could not be read: %s", err)
}

// setWriteDeadline bounds the writes of the response, so that a caller that stops reading can't keep its call open.
func (c *call) setWriteDeadline(deadline time.Time) {
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(writeGracePeriod))
}

func (c *call) idempotencyKey() (string, error) {
	key := c.r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return "", badRequest("key_too_long", "Idempotency-Key is longer than %d bytes", maxKeyBytes)
	}
	return key, nil
}

// nonIdempotent reports whether the document or the request's header declares the request non-idempotent. The header
// can't override a declaration in the document.
func (c *call) nonIdempotent(inDocument bool) (bool, error) {
	v := c.r.Header.Get(headerNonIdempotent)
	if v == "" {
		return inDocument, nil
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		return false, badRequest("bad_header", "%s must be true or false, not %q", headerNonIdempotent, v)
	}
	return b || inDocument, nil
}

// deadline returns the time by which the response must be complete: the caller's limit, else the class's, else the
// default.
func (c *call) deadline(class envdoc.Class) (time.Time, error) {
	limit := defaultDeadline
	if class.TotalMS > 0 {
		limit = time.Duration(class.TotalMS) * time.Millisecond
	}
	timeout, err := c.requestedTimeout()
	if err != nil {
		return time.Time{}, err
	}
	if timeout > 0 {
		limit = timeout
	}
	return c.start.Add(limit), nil
}

// requestedTimeout returns the time that the caller allows for the complete response, or 0 if it sets no limit.
func (c *call) requestedTimeout() (time.Duration, error) {
	v := c.r.Header.Get(headerDeadlineMS)
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n <= 0 || n > int(maxDeadline.Milliseconds()) {
		return 0, badRequest("bad_header", "%s must be a whole number of milliseconds from 1 to %d, not %q",
			headerDeadlineMS, maxDeadline.Milliseconds(), v)
	}
	return time.Duration(n) * time.Millisecond, nil
}

// class returns the class that the caller's header names, or the fallback class if there is no header.
func (c *call) class(fallback string) (envdoc.Class, error) {
	name := c.r.Header.Get(headerClass)
	if name == "" {
		name = fallback
	}
	for _, class := range c.doc.Classes {
		if class.Name == name {
			return class, nil
		}
	}
	return envdoc.Class{}, badRequest("unknown_class", "the document has no class %q", name)
}

func badRequest(code, format string, args ...any) *answer.Error {
	return &answer.Error{
		Status: http.StatusBadRequest, Code: code, Outcome: answer.NotRun,
		Message: errors.Errorf(format, args...).Error(),
	}
}
