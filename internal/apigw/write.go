package apigw

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/intact"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	contentTypeJSON = "application/json"
	contentTypeSSE  = "text/event-stream"
)

type (
	// completion is a complete response, or one chunk of a streamed one, in the OpenAI format.
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}

	choice struct {
		Index        int      `json:"index"`
		Text         *string  `json:"text,omitempty"`
		Message      *content `json:"message,omitempty"`
		Delta        *content `json:"delta,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}

	content struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}

	// sseWriter writes a response as server-sent events and flushes each one, so that no token waits in a buffer.
	sseWriter struct {
		c       *call
		gen     *genRequest
		started bool
	}
)

// collect executes the generation and returns its complete response once it has ended.
func (s *Server) collect(ctx context.Context, c *call, g *genRequest) (*idem.Response, error) {
	var b strings.Builder
	res, err := s.Generator.Do(ctx, g.request, func(token string) error {
		b.WriteString(token)
		return nil
	})
	s.recordMetrics(c, g, res, err)
	if err != nil {
		return nil, err
	}
	out := g.newCompletion(c, false)
	out.Choices[0].FinishReason = &res.FinishReason
	out.Usage = usageOf(res)
	text := b.String()
	if g.chat {
		out.Choices[0].Message = &content{Role: "assistant", Content: text}
	} else {
		out.Choices[0].Text = &text
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, errors.Wrap(err, "encode response")
	}
	return &idem.Response{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}, nil
}

// writeResponse sends a complete response, which may be the stored one of an earlier call. A stored status that no
// response has would end the handler in a panic.
func writeResponse(w http.ResponseWriter, resp *idem.Response) error {
	if err := intact.CheckStatus(resp.Status); err != nil {
		return &answer.Error{
			Status: http.StatusBadGateway, Code: "answer_invalid", Outcome: answer.Unknown, Message: err.Error(),
		}
	}
	w.Header().Set("Content-Type", resp.ContentType)
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
	return nil
}

// stream sends the response while it is generated. A started response that can't be completed ends with an error event.
func (s *Server) stream(c *call, g *genRequest) error {
	out := &sseWriter{c: c, gen: g}
	res, err := s.Generator.Do(c.r.Context(), g.request, out.writeToken)
	s.recordMetrics(c, g, res, err)
	if err != nil {
		return out.fail(err)
	}
	return out.finish(res.FinishReason, usageOf(res))
}

// streamStored sends a complete response to a caller that asked for a stream: all text in one event.
func streamStored(c *call, g *genRequest, resp *idem.Response) error {
	var stored completion
	if err := json.Unmarshal(resp.Body, &stored); err != nil || len(stored.Choices) == 0 {
		return errors.New("stored response is not a valid completion")
	}
	out := &sseWriter{c: c, gen: g}
	first := stored.Choices[0]
	text := ""
	switch {
	case first.Message != nil:
		text = first.Message.Content
	case first.Text != nil:
		text = *first.Text
	}
	if err := out.writeToken(text); err != nil {
		return errAlreadySent
	}
	reason := ""
	if first.FinishReason != nil {
		reason = *first.FinishReason
	}
	return out.finish(reason, stored.Usage)
}

func (o *sseWriter) writeToken(token string) error {
	o.start()
	chunk := o.gen.newCompletion(o.c, true)
	if o.gen.chat {
		chunk.Choices[0].Delta = &content{Content: token}
	} else {
		chunk.Choices[0].Text = &token
	}
	return o.writeEvent(chunk)
}

// start sends the response header and, for a chat, the event with the role; later calls do nothing.
func (o *sseWriter) start() {
	if o.started {
		return
	}
	o.started = true
	o.c.w.Header().Set("Content-Type", contentTypeSSE)
	o.c.w.Header().Set("Cache-Control", "no-cache")
	o.c.w.WriteHeader(http.StatusOK)
	if o.gen.chat {
		chunk := o.gen.newCompletion(o.c, true)
		chunk.Choices[0].Delta = &content{Role: "assistant"}
		_ = o.writeEvent(chunk)
	}
}

// finish ends a complete stream: the finish reason, the usage if the caller asked for it, and [DONE].
func (o *sseWriter) finish(reason string, u *usage) error {
	o.start()
	chunk := o.gen.newCompletion(o.c, true)
	chunk.Choices[0].FinishReason = &reason
	if o.gen.chat {
		chunk.Choices[0].Delta = &content{}
	} else {
		empty := ""
		chunk.Choices[0].Text = &empty
	}
	if err := o.writeEvent(chunk); err != nil {
		return errAlreadySent
	}
	if o.gen.StreamOptions.IncludeUsage {
		chunk = o.gen.newCompletion(o.c, true)
		chunk.Choices = []choice{}
		chunk.Usage = u
		_ = o.writeEvent(chunk)
	}
	return o.writeData([]byte("[DONE]"))
}

// fail ends a started stream with an error event and without [DONE], so that callers can tell a truncated response from
// a complete one. Before the start of the stream it only returns err.
func (o *sseWriter) fail(err error) error {
	if !o.started {
		return err
	}
	e := answer.From(err)
	_ = o.writeData(e.Body(o.c.id))
	return &sentError{cause: e}
}

func (o *sseWriter) writeEvent(chunk completion) error {
	b, err := json.Marshal(chunk)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return o.writeData(b)
}

func (o *sseWriter) writeData(b []byte) error {
	if _, err := o.c.w.Write([]byte("data: " + string(b) + "\n\n")); err != nil {
		return errors.Wrap(err, "write event")
	}
	return http.NewResponseController(o.c.w).Flush()
}

// newCompletion returns a response or chunk with its constant fields and one empty choice.
func (g *genRequest) newCompletion(c *call, isChunk bool) completion {
	out := completion{ID: "cmpl-" + c.id, Object: "text_completion", Created: c.start.Unix(), Model: g.Model}
	switch {
	case g.chat && isChunk:
		out.ID, out.Object = "chatcmpl-"+c.id, "chat.completion.chunk"
	case g.chat:
		out.ID, out.Object = "chatcmpl-"+c.id, "chat.completion"
	}
	out.Choices = []choice{{}}
	return out
}

func usageOf(res relay.Result) *usage {
	return &usage{
		PromptTokens: res.PromptTokens, CompletionTokens: res.CompletionTokens,
		TotalTokens: res.PromptTokens + res.CompletionTokens,
	}
}

// sentError wraps an error that the caller has already received as an event of the stream.
type sentError struct {
	cause *answer.Error
}

// Error returns the text of the error that the caller received.
func (e *sentError) Error() string { return e.cause.Error() }

// Is reports whether target is errAlreadySent, which keeps Server.finish from sending the error a second time.
func (e *sentError) Is(target error) bool { return target == errAlreadySent }

// Unwrap returns the error that the caller received.
func (e *sentError) Unwrap() error { return e.cause }
