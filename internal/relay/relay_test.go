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
	// script tells how one attempt behaves.
	script struct {
		refuse     *engine.SendError
		firstAfter time.Duration
		cutAt      int  // 0 means no cut
		stallAt    int  // 0 means no stall
		crossed    bool // a foreign event arrives before each own one
		repeat     bool // each event arrives twice
		skipAt     int  // 0 means no token is skipped
		short      bool // the final event counts one token too many
	}

	// engines plays scripts in the order of the attempts.
	engines struct {
		mu      sync.Mutex
		scripts []script
		calls   []engine.Call
	}

	scripted struct {
		script
		call   engine.Call
		events []engine.Event
		n      int
	}

	// asker grants tickets in order and notes what comes back.
	asker struct {
		mu      sync.Mutex
		asks    []wire.TicketRequest
		hedgeMS int
		open    int
		blamed  int
		moveAt  time.Duration
		upgrade bool // every grant names another version
	}

	fakeTicket struct {
		asker *asker
		grant wire.TicketResponse
		moved chan struct{}
		once  sync.Once
	}
)

func (e *engines) Generate(ctx context.Context, _ string, c engine.Call) (engine.Stream, error) {
	e.mu.Lock()
	s := script{}
	if n := len(e.calls); n < len(e.scripts) {
		s = e.scripts[n]
	}
	e.calls = append(e.calls, c)
	e.mu.Unlock()
	if s.refuse != nil {
		return nil, s.refuse
	}
	if err := sleep(ctx, s.firstAfter); err != nil {
		return nil, err
	}
	return &scripted{script: s, call: c, events: s.play(c)}, nil
}

func (e *engines) SendOrder(context.Context, string, engine.Order) (engine.OrderResult, error) {
	return engine.OrderResult{}, nil
}

func (e *engines) Status(context.Context, string) (engine.Status, error) {
	return engine.Status{}, nil
}

func (s script) play(c engine.Call) []engine.Event {
	var out []engine.Event
	for i := len(c.DeliveredTokens); i < tokens; i++ {
		ev := engine.Event{AttemptID: c.AttemptID, Index: i, Token: fmt.Sprintf("t%d ", i)}
		if s.crossed {
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
	if s.short {
		n++
	}
	return append(out, engine.Event{AttemptID: c.AttemptID, Final: true, FinishReason: "stop", CompletionTokens: n})
}

func (s *scripted) Next(ctx context.Context) (engine.Event, error) {
	if s.stallAt != 0 && s.n == s.stallAt {
		<-ctx.Done()
		return engine.Event{}, ctx.Err()
	}
	if s.cutAt != 0 && s.n == s.cutAt {
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

func (s *scripted) Close() error { return nil }

func (a *asker) RequestTicket(_ context.Context, ask wire.TicketRequest) (ticket.Ticket, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asks = append(a.asks, ask)
	a.open++
	g := wire.TicketResponse{
		Ticket: fmt.Sprint(len(a.asks)), Engine: fmt.Sprint("e", len(a.asks)), HedgeAfterMS: a.hedgeMS,
	}
	g.ModelItem = "m@1"
	if a.upgrade {
		g.ModelItem = fmt.Sprint("m@", len(a.asks))
	}
	t := &fakeTicket{asker: a, grant: g, moved: make(chan struct{})}
	if a.moveAt > 0 && len(a.asks) == 1 {
		time.AfterFunc(a.moveAt, func() { close(t.moved) })
	}
	return t, nil
}

func (t *fakeTicket) Grant() wire.TicketResponse { return t.grant }
func (t *fakeTicket) Migrate() <-chan struct{}   { return t.moved }
func (t *fakeTicket) Close()                     { t.ReportProgress(wire.Progress{Done: true}) }
func (t *fakeTicket) ReportProgress(b wire.Progress) {
	if !b.Done {
		return
	}
	t.once.Do(func() {
		t.asker.mu.Lock()
		defer t.asker.mu.Unlock()
		t.asker.open--
		if b.Failed {
			t.asker.blamed++
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

func relayOf(e *engines, a *asker) *Relay {
	return &Relay{
		Tickets: a, Engines: e, Stats: &stats.Set{},
		RetryBudget: &budget.Budget{Share: 0.1, Max: 10, Min: 10},
		HedgeBudget: &budget.Budget{Share: 0.05, Max: 10, Min: 1},
	}
}

func request(repeatable bool) Request {
	return Request{
		Idempotent:    repeatable,
		TicketRequest: wire.TicketRequest{CallID: "c1", Deadline: time.Now().Add(time.Minute)},
		EngineCall:    engine.Call{Model: "m@1", MaxTokens: tokens},
	}
}

// Guards against lost, doubled or foreign tokens, and against untrue outcomes, over every way an attempt can fail.
func TestAnswers(t *testing.T) {
	refused := &engine.SendError{NotExecuted: true, Reason: "dial failed"}
	lost := &engine.SendError{Reason: "no answer"}
	tests := []struct {
		name          string
		scripts       []script
		notRepeatable bool
		moveAt        time.Duration
		attempts      int
		outcome       answer.Outcome // empty for a whole answer
	}{
		{name: "whole at once", attempts: 1},
		{name: "cut and resumed", scripts: []script{{cutAt: 3}}, attempts: 2},
		{name: "cut twice", scripts: []script{{cutAt: 1}, {cutAt: 2}}, attempts: 3},
		{name: "cut before the first token", scripts: []script{{refuse: lost}}, attempts: 2},
		{name: "ends without a final event", scripts: []script{{cutAt: tokens}}, attempts: 2},
		{name: "stalled and resumed", scripts: []script{{stallAt: 2}}, attempts: 2},
		{name: "foreign events between", scripts: []script{{crossed: true}}, attempts: 1},
		{name: "events repeated", scripts: []script{{repeat: true}}, attempts: 1},
		{name: "token skipped", scripts: []script{{skipAt: 2}}, attempts: 2},
		{name: "final event counts more", scripts: []script{{short: true}}, attempts: 2},
		{name: "moved in the middle", moveAt: 50 * time.Millisecond, attempts: 2},
		{name: "refused and run elsewhere", scripts: []script{{refuse: refused}}, attempts: 2},
		{
			name: "every attempt refused", attempts: maxAttempts, outcome: answer.NotRun,
			scripts: []script{{refuse: refused}, {refuse: refused}, {refuse: refused}, {refuse: refused}},
		},
		{
			name: "every attempt cut", attempts: maxAttempts, outcome: answer.Failed,
			scripts: []script{{cutAt: 1}, {cutAt: 1}, {cutAt: 1}, {cutAt: 1}},
		},
		{
			name: "not repeatable, cut", notRepeatable: true, attempts: 1, outcome: answer.Unknown,
			scripts: []script{{cutAt: 3}},
		},
		{
			name: "not repeatable, no answer", notRepeatable: true, attempts: 1, outcome: answer.Unknown,
			scripts: []script{{refuse: lost}},
		},
		{
			name: "not repeatable, provably not sent", notRepeatable: true, attempts: 2,
			scripts: []script{{refuse: refused}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, a := &engines{scripts: tt.scripts}, &asker{moveAt: tt.moveAt}
				var got strings.Builder
				res, err := relayOf(e, a).Do(t.Context(), request(!tt.notRepeatable), func(token string) error {
					got.WriteString(token)
					return nil
				})
				synctest.Wait()
				checkOutcome(t, err, tt.outcome)
				if want := "t0 t1 t2 t3 t4 t5 "; tt.outcome == "" && got.String() != want {
					t.Errorf("answer %q, want %q", got.String(), want)
				}
				if res.Attempts != tt.attempts {
					t.Errorf("%d attempts, want %d", res.Attempts, tt.attempts)
				}
				if a.open != 0 {
					t.Errorf("%d tickets were not returned", a.open)
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

// Guards against mixed answers, kept tickets and hedges of calls that must not repeat.
func TestHedge(t *testing.T) {
	slow, quick := script{firstAfter: 5 * time.Second}, script{}
	tests := []struct {
		name       string
		scripts    []script
		repeatable bool
		asks       int
	}{
		{name: "slow engine loses", scripts: []script{slow, quick}, repeatable: true, asks: 2},
		{name: "hedge loses", scripts: []script{{firstAfter: 300 * time.Millisecond}, slow}, repeatable: true, asks: 2},
		{name: "quick engine is not hedged", scripts: []script{quick}, repeatable: true, asks: 1},
		{name: "not repeatable", scripts: []script{slow}, asks: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e, a := &engines{scripts: tt.scripts}, &asker{hedgeMS: 200}
				var got strings.Builder
				_, err := relayOf(e, a).Do(t.Context(), request(tt.repeatable), func(token string) error {
					got.WriteString(token)
					return nil
				})
				synctest.Wait()
				if err != nil || got.String() != "t0 t1 t2 t3 t4 t5 " {
					t.Errorf("answer %q, %v", got.String(), err)
				}
				if len(a.asks) != tt.asks || a.open != 0 || a.blamed != 0 {
					t.Errorf("%d asks, %d open, %d blamed; want %d, 0, 0", len(a.asks), a.open, a.blamed, tt.asks)
				}
			})
		})
	}
}

// Guards against an answer whose first tokens come from one model version and the rest from another.
func TestVersionChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, a := &engines{scripts: []script{{cutAt: 3}}}, &asker{upgrade: true}
		_, err := relayOf(e, a).Do(t.Context(), request(true), func(string) error { return nil })
		checkOutcome(t, err, answer.Failed)
		if a.open != 0 || len(e.calls) != 1 {
			t.Errorf("%d tickets open after %d attempts, want 0 after 1", a.open, len(e.calls))
		}
	})
}

// Guards against retries that amplify an overload: with an empty budget a cut call is not tried again.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, a := &engines{scripts: []script{{cutAt: 1}}}, &asker{}
		r := relayOf(e, a)
		r.RetryBudget = &budget.Budget{}
		_, err := r.Do(t.Context(), request(true), func(string) error { return nil })
		checkOutcome(t, err, answer.Failed)
		if len(e.calls) != 1 {
			t.Errorf("%d attempts, want 1", len(e.calls))
		}
	})
}
