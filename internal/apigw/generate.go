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
	// bytesPerToken is the assumed size of a token. The token count of a prompt is estimated with it until the engine
	// reports its own count.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix whose hash identifies a prefix that an engine may have cached.
	// Most system prompts are longer.
	prefixBytes = 512
)

type (
	// genBody holds the fields of a request body that the host uses; the engine receives the body unchanged.
	genBody struct {
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

	// genRequest is a generation request that is valid under the active document.
	genRequest struct {
		genBody
		chat           bool
		prompt         string
		target         envdoc.Target
		class          envdoc.Class
		nonIdempotent  bool
		idempotencyKey string
		request        relay.Request
	}
)

func (s *Server) handleChat(c *call) error       { return s.generate(c, true) }
func (s *Server) handleCompletion(c *call) error { return s.generate(c, false) }

func (s *Server) generate(c *call, chat bool) error {
	if err := s.readBody(c); err != nil {
		return err
	}
	g, err := c.parseGenRequest(chat)
	if err != nil {
		return err
	}
	c.recordChecked = true
	c.setWriteDeadline(g.request.TicketRequest.Deadline)
	if g.nonIdempotent && g.idempotencyKey != "" {
		return s.generateOnce(c, g)
	}
	if g.Stream {
		return s.stream(c, g)
	}
	resp, err := s.collect(c.r.Context(), c, g)
	if err != nil {
		return err
	}
	return writeResponse(c.w, resp)
}

// generateOnce executes the generation at most once for its idempotency key. The complete response is stored before it
// is sent, also if the caller asked for a stream.
func (s *Server) generateOnce(c *call, g *genRequest) error {
	claim := idem.Claim{
		Caller: c.caller.Name, Key: g.idempotencyKey, Attempt: s.HostName + "/" + g.request.TicketRequest.CallID,
		Fingerprint: c.body,
	}
	ctx, cancel := context.WithDeadline(c.r.Context(), g.request.TicketRequest.Deadline)
	defer cancel()
	resp, err := s.Idempotency.Run(ctx, claim, func(ctx context.Context) (*idem.Response, error) {
		return s.collect(ctx, c, g)
	})
	if err != nil {
		return err
	}
	if resp.Replayed {
		c.w.Header().Set(headerReplayed, "true")
	}
	if g.Stream {
		return streamStored(c, g, resp)
	}
	return writeResponse(c.w, resp)
}

// parseGenRequest checks the body and the headers of a generation request against the active document.
func (c *call) parseGenRequest(chat bool) (*genRequest, error) {
	g := &genRequest{chat: chat}
	if err := json.Unmarshal(c.body, &g.genBody); err != nil {
		return nil, badRequest("bad_json", "the body is not a valid request: %s", err)
	}
	target, ok := c.active.Targets[g.Model]
	if !ok {
		return nil, &answer.Error{
			Status: http.StatusNotFound, Code: "model_not_found", Outcome: answer.NotRun,
			Message: errors.Errorf("the document has no model or adapter %q", g.Model).Error(),
		}
	}
	g.target = target
	for _, step := range []func(*call) error{g.readPrompt, g.readLimits, g.readFlags} {
		if err := step(c); err != nil {
			return nil, err
		}
	}
	return g, g.buildRelayRequest(c)
}

// readPrompt sets the prompt text; chat messages become lines of the form "role: text".
func (g *genRequest) readPrompt(*call) error {
	if !g.chat {
		if err := json.Unmarshal(g.Prompt, &g.prompt); err != nil || g.prompt == "" {
			return badRequest("bad_prompt", "prompt must be a string that is not empty")
		}
		return nil
	}
	if len(g.Messages) == 0 {
		return badRequest("bad_messages", "messages must not be empty")
	}
	var b strings.Builder
	for _, m := range g.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.text())
		b.WriteByte('\n')
	}
	g.prompt = b.String()
	return nil
}

// text returns the text of a message, whose content is a string or a list of parts.
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

// readLimits sets the maximum number of tokens and rejects requests for more than one choice.
func (g *genRequest) readLimits(*call) error {
	if g.MaxTokens == 0 {
		g.MaxTokens = g.MaxCompletion
	}
	if g.MaxTokens == 0 {
		g.MaxTokens = defaultMaxTokens
	}
	if g.MaxTokens < 0 || g.MaxTokens > maxTokensLimit {
		return badRequest("bad_max_tokens", "max_tokens must be from 1 to %d", maxTokensLimit)
	}
	if g.N != nil && *g.N != 1 {
		return badRequest("bad_n", "n must be 1")
	}
	return nil
}

// readFlags sets the class, the idempotency and the idempotency key from the headers and the document.
func (g *genRequest) readFlags(c *call) error {
	var err error
	if g.class, err = c.class(g.target.Class); err != nil {
		return err
	}
	if g.nonIdempotent, err = c.nonIdempotent(g.target.NotRepeatable); err != nil {
		return err
	}
	g.idempotencyKey, err = c.idempotencyKey()
	return err
}

// buildRelayRequest sets the ticket request for the dispatcher and the call for the engine.
func (g *genRequest) buildRelayRequest(c *call) error {
	deadline, err := c.deadline(g.class)
	if err != nil {
		return err
	}
	expected := g.MaxTokens
	if g.class.ExpectedTokens > 0 {
		expected = min(expected, g.class.ExpectedTokens)
	}
	seed := rand.Int64()
	if g.Seed != nil {
		seed = *g.Seed
	}
	g.request = relay.Request{
		Idempotent: !g.nonIdempotent,
		TicketRequest: wire.TicketRequest{
			CallID: callID(c), Pool: g.target.Pool,
			Class: g.class.Name, Caller: c.caller.Name, Deadline: deadline,
			PromptTokens: len(g.prompt)/bytesPerToken + 1, ExpectedTokens: expected,
			PrefixHash: prefixHash(g.prompt),
		},
		EngineCall: engine.Call{
			RequestID: c.id, Prompt: g.prompt, MaxTokens: g.MaxTokens, Seed: seed, Params: c.body,
		},
	}
	// The ticket request has names without versions: the dispatcher chooses the versions and returns them in the grant.
	if g.target.Adapter == "" {
		g.request.TicketRequest.Model = g.Model
	} else {
		g.request.TicketRequest.Adapter = g.Model
	}
	return nil
}

// callID returns an ID for the call that is unique even if callers reuse a request ID.
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

// prefixHash returns the hash of the prompt's prefix, by which the dispatcher recognizes prompts with a common start.
func prefixHash(prompt string) uint64 {
	return xxhash.Sum64String(prompt[:min(len(prompt), prefixBytes)])
}
