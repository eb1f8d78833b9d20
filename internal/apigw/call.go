package apigw

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	headerRequestID     = "X-Request-Id"
	headerClass         = "X-Figreel-Class"
	headerNotRepeatable = "X-Figreel-Not-Repeatable"
	headerDeadlineMS    = "X-Figreel-Deadline-Ms"
	headerKey           = "Idempotency-Key"
	headerReplayed      = "X-Figreel-Replayed"

	maxKeyBytes = 256
	maxDeadline = time.Hour
	// writeGrace is how long after its deadline an answer may still be taken by a slow caller.
	writeGrace = 10 * time.Second
)

// requestIDForm keeps foreign request ids out of logs when they are long or hold control characters.
var requestIDForm = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,64}$`)

// call is one authenticated request with what its headers ask for.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	id      string
	log     zerolog.Logger
	current *ActiveDoc
	doc     *envdoc.Doc
	caller  envdoc.Caller
	began   time.Time
	body    []byte
	// parsed is set once it is known whether the request's key has a record that decides on it.
	parsed bool
}

type handler func(c *call) error

// wrap authenticates, counts, limits and logs a request, and writes the error of its handler.
func (s *Server) wrap(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{w: w, r: r, id: requestID(r), began: time.Now()}
		c.log = s.Log.With().Str("request_id", c.id).Logger()
		w.Header().Set(headerRequestID, c.id)
		n := s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		err := s.admit(c, n)
		if err == nil {
			err = h(c)
		}
		s.end(c, err)
	}
}

func (s *Server) admit(c *call, n int64) error {
	if n > s.MaxInFlight {
		return &answer.Error{
			Status: http.StatusServiceUnavailable, Code: "host_overloaded", Outcome: answer.NotRun,
			Message: "this host has reached its limit of calls in flight", RetryAfter: time.Second,
		}
	}
	c.current = s.ActiveDoc()
	if c.current == nil {
		return notReady(errors.New("no document is in force yet"))
	}
	c.doc = c.current.Doc
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

func (s *Server) end(c *call, err error) {
	took := time.Since(c.began)
	if err == nil {
		c.log.Info().Str("caller", c.caller.Name).Str("path", c.r.URL.Path).Dur("took_ms", took).Msg("request answered")
		return
	}
	e := c.truthful(answer.From(err))
	s.Stats.CountRejection(e.Code)
	c.log.Warn().Str("caller", c.caller.Name).Str("path", c.r.URL.Path).Dur("took_ms", took).
		Str("code", e.Code).Str("outcome", string(e.Outcome)).Str("reason", e.Message).Msg("request not answered")
	if !errors.Is(err, errWritten) {
		e.Write(c.w, c.id)
	}
}

// truthful keeps a request with a key from being called not run before its record was read, because an earlier
// attempt with that key may have run.
func (c *call) truthful(e *answer.Error) *answer.Error {
	if c.parsed || e.Outcome != answer.NotRun || c.r.Header.Get(headerKey) == "" {
		return e
	}
	out := *e
	out.Outcome = answer.Unknown
	out.Message += "; an earlier attempt with the same key may have run"
	return &out
}

// errWritten marks an error that the handler has already sent inside a stream.
var errWritten = errors.New("the error was sent inside the stream")

// authenticate compares with every caller in constant time, so that timing tells nothing about keys.
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

func requestID(r *http.Request) string {
	if id := r.Header.Get(headerRequestID); requestIDForm.MatchString(id) {
		return id
	}
	return uuid.NewString()
}

// readBody reads the whole body within the size and time limits.
func (s *Server) readBody(c *call) error {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	b, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, s.MaxBodyBytes))
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
		c.body = b
		return nil
	}
	// The deadline stays in force, because net/http reads the rest of the body before it sends the error.
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		e := badRequest("body_too_large", "the body is larger than %d bytes", large.Limit)
		e.Status = http.StatusRequestEntityTooLarge
		return e
	}
	return badRequest("body_unreadable", "the body could not be read: %s", err)
}

// answerBy bounds the writes of the answer, so that a caller that stops reading does not hold its call.
func (c *call) answerBy(deadline time.Time) {
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(writeGrace))
}

func (c *call) key() (string, error) {
	key := c.r.Header.Get(headerKey)
	if len(key) > maxKeyBytes {
		return "", badRequest("key_too_long", "Idempotency-Key is longer than %d bytes", maxKeyBytes)
	}
	return key, nil
}

// notRepeatable combines the document's mark with the header; the header can only add the mark.
func (c *call) notRepeatable(marked bool) (bool, error) {
	v := c.r.Header.Get(headerNotRepeatable)
	if v == "" {
		return marked, nil
	}
	b, err := strconv.ParseBool(v)
	if err != nil {
		return false, badRequest("bad_header", "%s must be true or false, not %q", headerNotRepeatable, v)
	}
	return b || marked, nil
}

// deadline returns the time by which the answer must be whole.
func (c *call) deadline(class envdoc.Class) (time.Time, error) {
	limit := defaultDeadline
	if class.TotalMS > 0 {
		limit = time.Duration(class.TotalMS) * time.Millisecond
	}
	asked, err := c.limit()
	if err != nil {
		return time.Time{}, err
	}
	if asked > 0 {
		limit = asked
	}
	return c.began.Add(limit), nil
}

// limit returns the time that the caller allows for the answer, or 0 when it sets none.
func (c *call) limit() (time.Duration, error) {
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
