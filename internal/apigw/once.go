package apigw

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/idem"
	"github.com/figreel/figreel/pkg/answer"
)

// capture keeps an upstream's answer so that it can be recorded before the caller sees it.
type capture struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// serviceOnce runs a request that must not repeat; without a key there is one attempt and no record.
func (s *Server) serviceOnce(c *call, f ServiceRequest, key string) error {
	do := func(ctx context.Context) (*idem.Response, error) {
		w := &capture{header: make(http.Header), status: http.StatusOK}
		if err := s.Forwarder.Forward(ctx, w, f); err != nil {
			return nil, err
		}
		return &idem.Response{Status: w.status, ContentType: w.header.Get("Content-Type"), Body: w.body.Bytes()}, nil
	}
	if key == "" {
		a, err := do(context.WithoutCancel(c.r.Context()))
		if err != nil {
			return err
		}
		return writeAnswer(c.w, a)
	}
	claim := idem.Claim{
		Caller: c.caller.Name + "/" + f.Service.Name, Key: key, Attempt: s.HostName + "/" + callID(c),
		Fingerprint: append([]byte(f.Method+" "+f.Path+"\n"), f.Body...),
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), time.Duration(f.Service.TimeoutMS)*time.Millisecond)
	defer cancel()
	a, err := s.Idempotency.Run(ctx, claim, do)
	if err != nil {
		return err
	}
	if a.Replayed {
		c.w.Header().Set(headerReplayed, "true")
	}
	return writeAnswer(c.w, a)
}

// Header returns the captured header.
func (w *capture) Header() http.Header { return w.header }

// WriteHeader captures the status.
func (w *capture) WriteHeader(status int) { w.status = status }

// Write captures a part of the body; an answer that is cut must not be recorded as whole.
func (w *capture) Write(b []byte) (int, error) {
	if w.body.Len()+len(b) > maxCapturedBytes {
		return 0, errors.WithStack(&answer.Error{
			Status: http.StatusBadGateway, Code: "answer_too_large", Outcome: answer.Unknown,
			Message: "the answer of a request that must not repeat is too large",
		})
	}
	return w.body.Write(b)
}

// Cut reports that the upstream's answer ended early.
func (w *capture) Cut() error {
	return &answer.Error{
		Status: http.StatusBadGateway, Code: "answer_cut", Outcome: answer.Unknown,
		Message: "the service's answer was cut; the request may have been run",
	}
}

// maxCapturedBytes bounds the memory that one captured answer takes.
const maxCapturedBytes = 8 << 20
