package apigw

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/relay"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	contentTypeJSON = "application/json"
	contentTypeSSE  = "text/event-stream"
)

type (
	// completion is an answer or one chunk of it in the OpenAI form.
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

	// sse writes server-sent events and flushes each, so that a token is never held back.
	sse struct {
		c       *call
		j       *job
		started bool
	}
)

// collect runs the generation and returns its answer in one piece.
func (s *Server) collect(ctx context.Context, c *call, j *job) (*idem.Response, error) {
	var b strings.Builder
	res, err := s.Generator.Do(ctx, j.request, func(token string) error {
		b.WriteString(token)
		return nil
	})
	s.record(c, j, res, err)
	if err != nil {
		return nil, err
	}
	out := j.frame(c, false)
	out.Choices[0].FinishReason = &res.FinishReason
	out.Usage = usageOf(res)
	text := b.String()
	if j.chat {
		out.Choices[0].Message = &content{Role: "assistant", Content: text}
	} else {
		out.Choices[0].Text = &text
	}
	body, err := json.Marshal(out)
	if err != nil {
		return nil, errors.Wrap(err, "encode answer")
	}
	return &idem.Response{Status: http.StatusOK, ContentType: contentTypeJSON, Body: body}, nil
}

func writeAnswer(w http.ResponseWriter, a *idem.Response) error {
	w.Header().Set("Content-Type", a.ContentType)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	return nil
}

// stream sends the answer as it is generated; an answer that cannot be completed ends with an error event.
func (s *Server) stream(c *call, j *job) error {
	out := &sse{c: c, j: j}
	res, err := s.Generator.Do(c.r.Context(), j.request, out.token)
	s.record(c, j, res, err)
	if err != nil {
		return out.fail(err)
	}
	return out.finish(res.FinishReason, usageOf(res))
}

// streamRecorded sends a recorded answer to a caller that asked for a stream.
func streamRecorded(c *call, j *job, a *idem.Response) error {
	var rec completion
	if err := json.Unmarshal(a.Body, &rec); err != nil || len(rec.Choices) == 0 {
		return errors.New("recorded answer cannot be read")
	}
	out := &sse{c: c, j: j}
	ch := rec.Choices[0]
	text := ""
	switch {
	case ch.Message != nil:
		text = ch.Message.Content
	case ch.Text != nil:
		text = *ch.Text
	}
	if err := out.token(text); err != nil {
		return errWritten
	}
	reason := ""
	if ch.FinishReason != nil {
		reason = *ch.FinishReason
	}
	return out.finish(reason, rec.Usage)
}

func (o *sse) token(token string) error {
	o.start()
	f := o.j.frame(o.c, true)
	if o.j.chat {
		f.Choices[0].Delta = &content{Content: token}
	} else {
		f.Choices[0].Text = &token
	}
	return o.event(f)
}

func (o *sse) start() {
	if o.started {
		return
	}
	o.started = true
	o.c.w.Header().Set("Content-Type", contentTypeSSE)
	o.c.w.Header().Set("Cache-Control", "no-cache")
	o.c.w.WriteHeader(http.StatusOK)
	if o.j.chat {
		f := o.j.frame(o.c, true)
		f.Choices[0].Delta = &content{Role: "assistant"}
		_ = o.event(f)
	}
}

func (o *sse) finish(reason string, u *usage) error {
	o.start()
	f := o.j.frame(o.c, true)
	f.Choices[0].FinishReason = &reason
	if o.j.chat {
		f.Choices[0].Delta = &content{}
	} else {
		empty := ""
		f.Choices[0].Text = &empty
	}
	if err := o.event(f); err != nil {
		return errWritten
	}
	if o.j.StreamOptions.IncludeUsage {
		f = o.j.frame(o.c, true)
		f.Choices = []choice{}
		f.Usage = u
		_ = o.event(f)
	}
	return o.data([]byte("[DONE]"))
}

// fail ends a started stream with an error event and without [DONE], so that a cut answer never looks whole.
func (o *sse) fail(err error) error {
	if !o.started {
		return err
	}
	e := answer.From(err)
	_ = o.data(e.Body(o.c.id))
	return &sentError{sent: e}
}

func (o *sse) event(f completion) error {
	b, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode event")
	}
	return o.data(b)
}

func (o *sse) data(b []byte) error {
	if _, err := o.c.w.Write([]byte("data: " + string(b) + "\n\n")); err != nil {
		return errors.Wrap(err, "write event")
	}
	return http.NewResponseController(o.c.w).Flush()
}

// frame returns the answer's fixed fields with one empty choice.
func (j *job) frame(c *call, chunk bool) completion {
	f := completion{ID: "cmpl-" + c.id, Object: "text_completion", Created: c.began.Unix(), Model: j.Model}
	switch {
	case j.chat && chunk:
		f.ID, f.Object = "chatcmpl-"+c.id, "chat.completion.chunk"
	case j.chat:
		f.ID, f.Object = "chatcmpl-"+c.id, "chat.completion"
	}
	f.Choices = []choice{{}}
	return f
}

func usageOf(res relay.Result) *usage {
	return &usage{
		PromptTokens: res.PromptTokens, CompletionTokens: res.CompletionTokens,
		TotalTokens: res.PromptTokens + res.CompletionTokens,
	}
}

// sentError is an error that the handler has already sent inside a stream.
type sentError struct {
	sent *answer.Error
}

// Error returns the text of the error that was sent.
func (e *sentError) Error() string { return e.sent.Error() }

// Is reports errWritten, so that the error is not sent a second time.
func (e *sentError) Is(target error) bool { return target == errWritten }

// Unwrap returns the error that was sent.
func (e *sentError) Unwrap() error { return e.sent }
