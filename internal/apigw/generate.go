package apigw

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	defaultMaxTokens = 256
	maxTokensLimit   = 32_768
	// charsPerToken estimates prompt tokens; the engine's own count is used once it is known.
	charsPerToken = 4
	// prefixChars is how much of a prompt identifies its cached prefix; system prompts are mostly longer.
	prefixChars = 512
)

type (
	// generation is the part of a request body that the host itself reads; the rest goes to the engine as it is.
	generation struct {
		Model         string          `json:"model"`
		Prompt        json.RawMessage `json:"prompt"`
		Messages      []message       `json:"messages"`
		MaxTokens     int             `json:"max_tokens"`
		MaxCompletion int             `json:"max_completion_tokens"`
		Stream        bool            `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
		Seed *int64 `json:"seed"`
		N    *int   `json:"n"`
	}

	message struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}

	// job is a generation that has been checked against the document.
	job struct {
		generation
		chat          bool
		prompt        string
		target        envdoc.Target
		class         envdoc.Class
		notRepeatable bool
		key           string
		request       relay.Request
	}
)

func (s *Server) chat(c *call) error       { return s.generate(c, true) }
func (s *Server) completion(c *call) error { return s.generate(c, false) }

func (s *Server) generate(c *call, chat bool) error {
	if err := s.readBody(c); err != nil {
		return err
	}
	j, err := c.job(chat)
	if err != nil {
		return err
	}
	c.parsed = true
	c.answerBy(j.request.TicketRequest.Deadline)
	if j.notRepeatable && j.key != "" {
		return s.generateOnce(c, j)
	}
	if j.Stream {
		return s.stream(c, j)
	}
	a, err := s.collect(c.r.Context(), c, j)
	if err != nil {
		return err
	}
	return writeAnswer(c.w, a)
}

// generateOnce runs the generation at most once for its key; the answer is kept whole, also when it is streamed.
func (s *Server) generateOnce(c *call, j *job) error {
	claim := idem.Claim{
		Caller: c.caller.Name, Key: j.key, Attempt: s.HostName + "/" + j.request.TicketRequest.CallID,
		Fingerprint: c.body,
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), j.request.TicketRequest.Deadline)
	defer cancel()
	a, err := s.Idempotency.Run(ctx, claim, func(ctx context.Context) (*idem.Response, error) {
		return s.collect(ctx, c, j)
	})
	if err != nil {
		return err
	}
	if a.Replayed {
		c.w.Header().Set(headerReplayed, "true")
	}
	if j.Stream {
		return streamRecorded(c, j, a)
	}
	return writeAnswer(c.w, a)
}

func (c *call) job(chat bool) (*job, error) {
	j := &job{chat: chat}
	if err := json.Unmarshal(c.body, &j.generation); err != nil {
		return nil, badRequest("bad_json", "the body is not a valid request: %s", err)
	}
	target, ok := c.current.Targets[j.Model]
	if !ok {
		return nil, &answer.Error{
			Status: http.StatusNotFound, Code: "model_not_found", Outcome: answer.NotRun,
			Message: errors.Errorf("the document has no model or adapter %q", j.Model).Error(),
		}
	}
	j.target = target
	for _, step := range []func(*call) error{j.readPrompt, j.readLimits, j.readMarks} {
		if err := step(c); err != nil {
			return nil, err
		}
	}
	return j, j.describe(c)
}

func (j *job) readPrompt(*call) error {
	if !j.chat {
		if err := json.Unmarshal(j.Prompt, &j.prompt); err != nil || j.prompt == "" {
			return badRequest("bad_prompt", "prompt must be a string that is not empty")
		}
		return nil
	}
	if len(j.Messages) == 0 {
		return badRequest("bad_messages", "messages must not be empty")
	}
	var b strings.Builder
	for _, m := range j.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.text())
		b.WriteByte('\n')
	}
	j.prompt = b.String()
	return nil
}

// text returns the content of a message, which is a string or a list of parts.
func (m message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return string(m.Content)
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

func (j *job) readLimits(*call) error {
	if j.MaxTokens == 0 {
		j.MaxTokens = j.MaxCompletion
	}
	if j.MaxTokens == 0 {
		j.MaxTokens = defaultMaxTokens
	}
	if j.MaxTokens < 0 || j.MaxTokens > maxTokensLimit {
		return badRequest("bad_max_tokens", "max_tokens must be from 1 to %d", maxTokensLimit)
	}
	if j.N != nil && *j.N != 1 {
		return badRequest("bad_n", "n must be 1")
	}
	return nil
}

func (j *job) readMarks(c *call) error {
	var err error
	if j.class, err = c.class(j.target.Class); err != nil {
		return err
	}
	if j.notRepeatable, err = c.notRepeatable(j.target.NotRepeatable); err != nil {
		return err
	}
	j.key, err = c.key()
	return err
}

// describe fills in what the dispatcher and the engine are told.
func (j *job) describe(c *call) error {
	deadline, err := c.deadline(j.class)
	if err != nil {
		return err
	}
	expected := j.MaxTokens
	if j.class.ExpectedTokens > 0 {
		expected = min(expected, j.class.ExpectedTokens)
	}
	seed := rand.Int64()
	if j.Seed != nil {
		seed = *j.Seed
	}
	j.request = relay.Request{
		Idempotent: !j.notRepeatable,
		TicketRequest: wire.TicketRequest{
			CallID: callID(c), Pool: j.target.Pool,
			Class: j.class.Name, Caller: c.caller.Name, Deadline: deadline,
			PromptTokens: len(j.prompt)/charsPerToken + 1, ExpectedTokens: expected,
			PrefixHash: prefixHash(j.prompt),
		},
		EngineCall: engine.Call{
			RequestID: c.id, Prompt: j.prompt, MaxTokens: j.MaxTokens, Seed: seed, Params: c.body,
		},
	}
	// The dispatcher knows which version answers, so it gets names and its grant tells the items.
	if j.target.Adapter == "" {
		j.request.TicketRequest.Model = j.Model
	} else {
		j.request.TicketRequest.Adapter = j.Model
	}
	return nil
}

// callID is unique even when callers send the same request id twice.
func callID(c *call) string {
	return c.id + "-" + time.Now().UTC().Format("150405") + "-" + randomSuffix()
}

func randomSuffix() string {
	const digits = "0123456789abcdefghjkmnpqrstvwxyz"
	b := make([]byte, 10)
	for i := range b {
		b[i] = digits[rand.IntN(len(digits))]
	}
	return string(b)
}

func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixChars)])
}
