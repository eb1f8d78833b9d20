package apigw

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/internal/mem"
	"github.com/figreel/figreel/pkg/answer"
)

// responseBuffer is an http.ResponseWriter that buffers an upstream's response, so that it can be stored before it is
// sent to the caller.
type responseBuffer struct {
	header http.Header
	status int
	body   []byte
	memory mem.Share
}

// forwardOnce forwards a non-idempotent request. With an idempotency key it is executed at most once. Without a key
// there is no record, so if the caller sends it again, it is executed again. The call continues if the caller
// disconnects.
func (s *Server) forwardOnce(c *call, req ServiceRequest, key string) error {
	forward := func(ctx context.Context) (*idem.Response, error) {
		w := &responseBuffer{
			header: make(http.Header), status: http.StatusOK, memory: mem.Share{Budget: s.ResponseMemory},
		}
		defer w.memory.Release()
		if err := s.Forwarder.Forward(ctx, w, req); err != nil {
			return nil, err
		}
		return &idem.Response{Status: w.status, ContentType: w.header.Get("Content-Type"), Body: w.body}, nil
	}
	if key == "" {
		resp, err := forward(context.WithoutCancel(c.r.Context()))
		if err != nil {
			return err
		}
		return writeResponse(c.w, resp)
	}
	claim := idem.Claim{
		Caller: c.caller.Name + "/" + req.Service.Name, Key: key, Attempt: s.HostName + "/" + callID(c),
		Fingerprint: append([]byte(req.Method+" "+req.Path+"\n"), req.Body...),
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), time.Duration(req.Service.TimeoutMS)*time.Millisecond)
	defer cancel()
	resp, err := s.Idempotency.Run(ctx, claim, forward)
	if err != nil {
		return err
	}
	if resp.Replayed {
		c.w.Header().Set(headerReplayed, "true")
	}
	return writeResponse(c.w, resp)
}

// Header returns the buffered header.
func (w *responseBuffer) Header() http.Header { return w.header }

// WriteHeader stores the status.
func (w *responseBuffer) WriteHeader(status int) { w.status = status }

// Write buffers a part of the body. It returns an error if the body becomes larger than maxBufferedBytes or the memory
// is used up, because a truncated response must not be stored as a complete one.
func (w *responseBuffer) Write(b []byte) (int, error) {
	if len(w.body)+len(b) > maxBufferedBytes {
		return 0, errors.WithStack(&answer.Error{
			Status: http.StatusBadGateway, Code: "answer_too_large", Outcome: answer.Unknown,
			Message: "the response to a non-idempotent request is too large",
		})
	}
	var fits bool
	if w.body, fits = w.memory.Append(w.body, b); !fits {
		return 0, errors.WithStack(&answer.Error{
			Status: http.StatusBadGateway, Code: "memory_used_up", Outcome: answer.Unknown,
			Message: "this host has no memory left for the response",
		})
	}
	return len(b), nil
}

// Truncated returns the error for a response that the upstream truncated. Package proxy calls it instead of closing
// the caller's connection.
func (w *responseBuffer) Truncated() error {
	return &answer.Error{
		Status: http.StatusBadGateway, Code: "answer_cut", Outcome: answer.Unknown,
		Message: "the service's response was truncated; the request may have been executed",
	}
}

// maxBufferedBytes limits the memory for one buffered response.
const maxBufferedBytes = 8 << 20
