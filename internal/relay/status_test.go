package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
)

// oneTicket grants one ticket, for the engine at url, and then returns rejection.
type oneTicket struct {
	fakeDispatcher
	url       string
	rejection *answer.Error
}

func (d *oneTicket) RequestTicket(ctx context.Context, req wire.TicketRequest) (ticket.Ticket, error) {
	if len(d.requests) > 0 {
		return nil, d.rejection
	}
	t, err := d.fakeDispatcher.RequestTicket(ctx, req)
	if granted, ok := t.(*fakeTicket); ok {
		granted.grant.URL = d.url
	}
	return t, err
}

// Guards against a status that tells callers that the call was not executed, for a call that an engine has executed.
func TestRejectedAfterExecution(t *testing.T) {
	const tooMany, unavailable = http.StatusTooManyRequests, http.StatusServiceUnavailable
	for _, tt := range []struct {
		name      string
		rejection int    // status with which the dispatcher rejects the second attempt
		response  string // of the engine; empty if it breaks the connection
		status    int
		outcome   answer.Outcome
	}{
		{"executed, then overloaded", tooMany, "", http.StatusBadGateway, answer.Failed},
		{"executed, then unavailable", unavailable, "", http.StatusBadGateway, answer.Failed},
		{"not executed, then overloaded", tooMany, `{"not_run":true}`, tooMany, answer.NotRun},
		{"not executed, then unavailable", unavailable, `{"not_run":true}`, unavailable, answer.NotRun},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.response == "" {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", "application/json")
				w.WriteHeader(unavailable)
				_, _ = io.WriteString(w, tt.response)
			}))
			defer s.Close()
			r := newRelay(nil, nil)
			r.Engines = &engine.Client{}
			r.Tickets = &oneTicket{url: s.URL, rejection: &answer.Error{
				Status: tt.rejection, Code: "rejected", Outcome: answer.NotRun, RetryAfter: time.Second,
			}}
			_, err := r.Do(t.Context(), newRequest(true), func(string) error { return nil })
			var got *answer.Error
			if !errors.As(err, &got) {
				t.Fatalf("got %v, want an error for the caller", err)
			}
			if got.Status != tt.status || got.Outcome != tt.outcome || got.Code != "rejected" {
				t.Errorf("got status %d and %v, want %d and %s", got.Status, got, tt.status, tt.outcome)
			}
		})
	}
}
