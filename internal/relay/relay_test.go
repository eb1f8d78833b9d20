package relay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/budget"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
)

const tokens = 6

type (
	// script defines the behaviour of one attempt.
	script struct {
		sendErr    *engine.SendError
		firstAfter time.Duration
		truncateAt int  // number of events before the stream breaks; 0 means that it does not
		stallAt    int  // number of events before the stream stalls; 0 means that it does not
		foreign    bool // an event of another attempt precedes each event
		repeat     bool // each event arrives twice
		skipAt     int  // 0 means no token is skipped
		wrongCount bool // the final event counts one token too many
	}

	// fakeEngines applies the scripts in the order of the attempts; further attempts succeed.
	fakeEngines struct {
		mu      sync.Mutex
		scripts []script
		calls   []engine.Call
	}

	// fakeStream yields the events of a script.
	fakeStream struct {
		script
		call   engine.Call
		events []engine.Event
		n      int
	}

	// fakeDispatcher grants a ticket for another engine to each request and records the final reports.
	fakeDispatcher struct {
		mu            sync.Mutex
		requests      []wire.TicketRequest
		hedgeMS       int // hedge delay in each grant
		openTickets   int
		failedReports int
		migrateAfter  time.Duration // when the first call is migrated; 0 means never
		newVersions   bool          // each grant names a new model version
		engine        string        // engine that is granted; empty means another one for each request
	}

	fakeTicket struct {
		dispatcher *fakeDispatcher
		grant      wire.TicketResponse
		migrated   chan struct{}
		once       sync.Once
	}
)

func (e *fakeEngines) Generate(ctx context.Context, _ string, c engine.Call) (engine.Stream, error) {
	e.mu.Lock()
	s := script{}
	if n := len(e.calls); n < len(e.scripts) {
		s = e.scripts[n]
	}
	e.calls = append(e.calls, c)
	e.mu.Unlock()
	if s.sendErr != nil {
		return nil, s.sendErr
	}
	if err := sleep(ctx, s.firstAfter); err != nil {
		return nil, err
	}
	return &fakeStream{script: s, call: c, events: s.eventsFor(c)}, nil
}

func (e *fakeEngines) SendOrder(context.Context, string, engine.Order) (engine.OrderResult, error) {
	return engine.OrderResult{}, nil
}

func (e *fakeEngines) Status(context.Context, string) (engine.Status, error) {
	return engine.Status{}, nil
}

func (s script) eventsFor(c engine.Call) []engine.Event {
	var out []engine.Event
	for i := len(c.DeliveredTokens); i < tokens; i++ {
		ev := engine.Event{AttemptID: c.AttemptID, Index: i, Token: fmt.Sprintf("t%d ", i)}
		if s.foreign {
			out = append(out, engine.Event{AttemptID: "other", Index: i, Token: "foreign "})
		}
		if s.skipAt != 0 && i == s.skipAt {
			continue
		}
		out = append(out, ev)
		if s.repeat {
			out = append(out, ev)
		}
	}
	n := tokens
	if s.wrongCount {
		n++
	}
	return append(out, engine.Event{AttemptID: c.AttemptID, Final: true, FinishReason: "stop", CompletionTokens: n})
}

func (s *fakeStream) Next(ctx context.Context) (engine.Event, error) {
	if s.stallAt != 0 && s.n == s.stallAt {
		<-ctx.Done()
		return engine.Event{}, ctx.Err()
	}
	if s.truncateAt != 0 && s.n == s.truncateAt {
		return engine.Event{}, engine.ErrTruncated
	}
	if s.n == len(s.events) {
		return engine.Event{}, io.EOF
	}
	if err := sleep(ctx, 20*time.Millisecond); err != nil {
		return engine.Event{}, err
	}
	s.n++
	return s.events[s.n-1], nil
}

func (s *fakeStream) Close() error { return nil }

func (d *fakeDispatcher) RequestTicket(_ context.Context, req wire.TicketRequest) (ticket.Ticket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requests = append(d.requests, req)
	d.openTickets++
	g := wire.TicketResponse{
		Ticket: fmt.Sprint(len(d.requests)), Engine: fmt.Sprint("e", len(d.requests)), HedgeAfterMS: d.hedgeMS,
	}
	if d.engine != "" {
		g.Engine = d.engine
	}
	g.ModelItem = "m@1"
	if d.newVersions {
		g.ModelItem = fmt.Sprint("m@", len(d.requests))
	}
	t := &fakeTicket{dispatcher: d, grant: g, migrated: make(chan struct{})}
	if d.migrateAfter > 0 && len(d.requests) == 1 {
		time.AfterFunc(d.migrateAfter, func() { close(t.migrated) })
	}
	return t, nil
}

func (t *fakeTicket) Grant() wire.TicketResponse { return t.grant }
func (t *fakeTicket) Migrate() <-chan struct{}   { return t.migrated }
func (t *fakeTicket) Close()                     { t.ReportProgress(wire.Progress{Done: true}) }
func (t *fakeTicket) ReportProgress(p wire.Progress) {
	if !p.Done {
		return
	}
	t.once.Do(func() {
		t.dispatcher.mu.Lock()
		defer t.dispatcher.mu.Unlock()
		t.dispatcher.openTickets--
		if p.Failed {
			t.dispatcher.failedReports++
		}
	})
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newRelay(e *fakeEngines, d *fakeDispatcher) *Relay {
	return &Relay{
		Tickets: d, Engines: e, Stats: &stats.Set{},
		RetryBudget: &budget.Budget{Share: 0.1, Max: 10, Initial: 10},
		HedgeBudget: &budget.Budget{Share: 0.05, Max: 10, Initial: 1},
	}
}

func newRequest(idempotent bool) Request {
	return Request{
		Idempotent:    idempotent,
		TicketRequest: wire.TicketRequest{CallID: "c1", Deadline: time.Now().Add(time.Minute)},
		EngineCall:    engine.Call{Model: "m@1", MaxTokens: tokens},
	}
}

// Guards against tokens that are lost, delivered twice or taken from another attempt, and against a wrong outcome in
// the error, for each way in which an attempt can fail.
func TestResponses(t *testing.T) {
	notSent := &engine.SendError{NotExecuted: true, Reason: "dial failed"}
	lost := &engine.SendError{Reason: "no response"}
	tests := []struct {
		name          string
		scripts       []script
		nonIdempotent bool
		migrateAfter  time.Duration
		attempts      int
		outcome       answer.Outcome // empty for a complete response
	}{
		{name: "complete at the first attempt", attempts: 1},
		{name: "truncated and resumed", scripts: []script{{truncateAt: 3}}, attempts: 2},
		{name: "truncated twice", scripts: []script{{truncateAt: 1}, {truncateAt: 2}}, attempts: 3},
		{name: "no response, outcome unknown", scripts: []script{{sendErr: lost}}, attempts: 2},
		{name: "ends without a final event", scripts: []script{{truncateAt: tokens}}, attempts: 2},
		{name: "stalled and resumed", scripts: []script{{stallAt: 2}}, attempts: 2},
		{name: "events of another attempt in between", scripts: []script{{foreign: true}}, attempts: 1},
		{name: "events repeated", scripts: []script{{repeat: true}}, attempts: 1},
		{name: "token skipped", scripts: []script{{skipAt: 2}}, attempts: 2},
		{name: "final event counts more tokens", scripts: []script{{wrongCount: true}}, attempts: 2},
		{name: "migrated between two tokens", migrateAfter: 50 * time.Millisecond, attempts: 2},
		{name: "not executed, then retried on another engine", scripts: []script{{sendErr: notSent}}, attempts: 2},
		{
			name: "no attempt executed", attempts: maxAttempts, outcome: answer.NotRun,
			scripts: []script{{sendErr: notSent}, {sendErr: notSent}, {sendErr: notSent}, {sendErr: notSent}},
		},
		{
			name: "every attempt truncated", attempts: maxAttempts, outcome: answer.Failed,
			scripts: []script{{truncateAt: 1}, {truncateAt: 1}, {truncateAt: 1}, {truncateAt: 1}},
		},
		{
			name: "non-idempotent, truncated", nonIdempotent: true, attempts: 1, outcome: answer.Unknown,
			scripts: []script{{truncateAt: 3}},
		},
		{
			name: "non-idempotent, no response", nonIdempotent: true, attempts: 1, outcome: answer.Unknown,
			scripts: []script{{sendErr: lost}},
		},
		{
			name: "non-idempotent, known not to be executed", nonIdempotent: true, attempts: 2,
			scripts: []script{{sendErr: notSent}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, d := &fakeEngines{scripts: tt.scripts}, &fakeDispatcher{migrateAfter: tt.migrateAfter}
				var got strings.Builder
				res, err := newRelay(e, d).Do(t.Context(), newRequest(!tt.nonIdempotent), func(token string) error {
					got.WriteString(token)
					return nil
				})
				synctest.Wait()
				checkOutcome(t, err, tt.outcome)
				if want := "t0 t1 t2 t3 t4 t5 "; tt.outcome == "" && got.String() != want {
					t.Errorf("response %q, want %q", got.String(), want)
				}
				if res.Attempts != tt.attempts {
					t.Errorf("%d attempts, want %d", res.Attempts, tt.attempts)
				}
				if d.openTickets != 0 {
					t.Errorf("%d tickets are still open", d.openTickets)
				}
			})
		})
	}
}

func checkOutcome(t *testing.T, err error, want answer.Outcome) {
	t.Helper()
	var got answer.Outcome
	if err != nil {
		got = answer.From(err).Outcome
	}
	if got != want {
		t.Errorf("outcome %q, want %q (%v)", got, want, err)
	}
}

// Guards against responses with tokens of two attempts, tickets that stay open, and hedges of non-idempotent calls.
func TestHedge(t *testing.T) {
	slow, fast := script{firstAfter: 5 * time.Second}, script{}
	tests := []struct {
		name       string
		scripts    []script
		idempotent bool
		requests   int
	}{
		{name: "slow engine loses", scripts: []script{slow, fast}, idempotent: true, requests: 2},
		{
			name: "hedge loses", scripts: []script{{firstAfter: 300 * time.Millisecond}, slow},
			idempotent: true, requests: 2,
		},
		{name: "fast engine is not hedged", scripts: []script{fast}, idempotent: true, requests: 1},
		{name: "non-idempotent", scripts: []script{slow}, requests: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, d := &fakeEngines{scripts: tt.scripts}, &fakeDispatcher{hedgeMS: 200}
				var got strings.Builder
				_, err := newRelay(e, d).Do(t.Context(), newRequest(tt.idempotent), func(token string) error {
					got.WriteString(token)
					return nil
				})
				synctest.Wait()
				if err != nil || got.String() != "t0 t1 t2 t3 t4 t5 " {
					t.Errorf("response %q, %v", got.String(), err)
				}
				if len(d.requests) != tt.requests || d.openTickets != 0 || d.failedReports != 0 {
					t.Errorf("%d ticket requests, %d open tickets, %d failure reports; want %d, 0, 0",
						len(d.requests), d.openTickets, d.failedReports, tt.requests)
				}
			})
		})
	}
}

// Guards against a response whose first tokens come from one model version and the rest from another.
func TestVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, d := &fakeEngines{scripts: []script{{truncateAt: 3}}}, &fakeDispatcher{newVersions: true}
		_, err := newRelay(e, d).Do(t.Context(), newRequest(true), func(string) error { return nil })
		checkOutcome(t, err, answer.Failed)
		if d.openTickets != 0 || len(e.calls) != 1 {
			t.Errorf("%d tickets open after %d attempts, want 0 after 1", d.openTickets, len(e.calls))
		}
	})
}

// Guards against retries that amplify an overload: with an empty budget a truncated call is not retried.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, d := &fakeEngines{scripts: []script{{truncateAt: 1}}}, &fakeDispatcher{}
		r := newRelay(e, d)
		r.RetryBudget = &budget.Budget{}
		_, err := r.Do(t.Context(), newRequest(true), func(string) error { return nil })
		checkOutcome(t, err, answer.Failed)
		if len(e.calls) != 1 {
			t.Errorf("%d attempts, want 1", len(e.calls))
		}
	})
}
