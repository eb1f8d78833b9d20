package apigw_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/engine"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
)

const concurrentCallers = 40

// hedgedTicket is a ticket whose grant lets the relay send a hedge after 12 ms.
type hedgedTicket struct{ ticket.Ticket }

// Grant returns the ticket's grant with a hedge delay of 12 ms.
func (h hedgedTicket) Grant() wire.TicketResponse {
	g := h.Ticket.Grant()
	g.HedgeAfterMS = 12
	return g
}

type (
	// mixingEngines is an engine client whose streams also deliver events of each other. The events keep the ID of the
	// attempt that they belong to.
	mixingEngines struct {
		engine.API
		lastEvent atomic.Pointer[engine.Event]
	}

	mixedStream struct {
		engine.Stream
		engines   *mixingEngines
		sendOther bool // toggled by each call of Next
	}
)

// Generate starts an attempt whose stream also delivers events of other attempts.
func (c *mixingEngines) Generate(ctx context.Context, url string, call engine.Call) (engine.Stream, error) {
	s, err := c.API.Generate(ctx, url, call)
	if err != nil {
		return nil, err
	}
	return &mixedStream{Stream: s, engines: c}, nil
}

// Next alternates between the last event that any stream delivered and the next event of its own stream.
func (s *mixedStream) Next(ctx context.Context) (engine.Event, error) {
	s.sendOther = !s.sendOther
	if ev := s.engines.lastEvent.Load(); s.sendOther && ev != nil {
		return *ev, nil
	}
	ev, err := s.Stream.Next(ctx)
	if err == nil {
		s.engines.lastEvent.Store(&ev)
	}
	return ev, err
}

// TestCompleteAndOwnResponses guards against responses that are truncated, contain text twice or contain text of other
// calls, while engines truncate streams, send events of other attempts, delay or drop responses and restart, and while
// hedged attempts race.
func TestCompleteAndOwnResponses(t *testing.T) {
	tests := []struct {
		name       string
		specs      []fault.Spec // set one after the other, one per step of 11 ms
		hedge      bool
		restarts   bool // each fifth step restarts an engine
		mixed      bool // streams also deliver events of other calls
		allEngines bool // faults on all engines: calls may fail, but no response may be wrong
	}{
		{name: "no fault"},
		{name: "truncated streams", specs: []fault.Spec{{CutAfterWrites: 3, Count: 5}}},
		{name: "responses to other attempts", specs: []fault.Spec{{WrongAttempt: true, Count: 2}}},
		{name: "dropped requests and responses", specs: []fault.Spec{
			{DropResponse: true, Count: 1},
			{DropRequest: true, Count: 1},
		}},
		{name: "hedges with slow engines", specs: []fault.Spec{{DelayMS: 40, Count: 4}, {Slowdown: 6}}, hedge: true},
		{name: "restarts", restarts: true},
		{name: "events of other calls", mixed: true, specs: []fault.Spec{{CutAfterWrites: 3, Count: 2}}},
		{name: "all at once", hedge: true, restarts: true, allEngines: true, specs: []fault.Spec{
			{CutAfterWrites: 4, Count: 3},
			{WrongAttempt: true, Count: 2},
			{DelayMS: 30, Count: 3},
			{DropResponse: true, Count: 2},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
				for _, h := range hosts {
					if tt.mixed {
						h.relay.Engines = &mixingEngines{API: h.relay.Engines}
					}
					tickets := h.relay.Tickets
					h.relay.Tickets = ticketFunc(func(ctx context.Context, req wire.TicketRequest) (ticket.Ticket, error) {
						tk, err := tickets.RequestTicket(ctx, req)
						if err != nil || !tt.hedge {
							return tk, err
						}
						return hedgedTicket{tk}, nil
					})
				}
				done := make(chan string)
				for i := range concurrentCallers {
					go func() { done <- s.checkGeneration(hosts[i%len(hosts)], i, tt.allEngines) }()
				}
				rnd := rand.New(rand.NewPCG(1, 2))
				for n, pending := 0, concurrentCallers; pending > 0; n++ {
					select {
					case problem := <-done:
						pending--
						if problem != "" {
							t.Error(problem)
						}
					case <-time.After(11 * time.Millisecond):
						// Faults on only the first engine leave one healthy, so every call must complete.
						i := 0
						if tt.allEngines {
							i = rnd.IntN(len(s.engines))
						}
						s.injectNext(n, i, tt.specs, tt.restarts)
					}
				}
				s.setFaults(fault.Spec{})
			})
		})
	}
}

// injectNext sets the fault spec for step n on engine i. With restarts, each fifth step instead clears the engine's
// fault, restarts it and loads its items again.
func (s *system) injectNext(n, i int, specs []fault.Spec, restarts bool) {
	if restarts && n%5 == 4 {
		s.engines[i].Fault.Set(fault.Spec{})
		s.engines[i].Restart()
		s.loadItems(i)
		return
	}
	if len(specs) > 0 {
		s.engines[i].Fault.Set(specs[n%len(specs)])
	}
}

// checkGeneration sends generation request i, which has its own prompt, and returns what is wrong with the response, or
// an empty string. With mayFail, an error after a prefix of the right text is correct too.
func (s *system) checkGeneration(h *host, i int, mayFail bool) string {
	time.Sleep(time.Duration(i*7) * time.Millisecond)
	tokens, name, adapter := 5+i%20, "m", ""
	if i%3 == 0 {
		name, adapter = "ad", adapterItem
	}
	prompt := fmt.Sprintf("prompt of caller %d", i)
	format := `{"model":%q,"prompt":%q,"max_tokens":%d,"seed":%d,"stream":%t}`
	body := fmt.Sprintf(format, name, prompt, tokens, i, i%2 == 0)
	r := s.do(context.Background(), h, request{path: generatePath, body: body})
	text, finish, err := r.text()
	wantText := expectedText(modelItem, adapter, prompt, int64(i), tokens)
	if mayFail && err != nil && r.connErr == nil && strings.HasPrefix(wantText, text) {
		return ""
	}
	if err != nil || text != wantText || finish != "length" {
		n := len(strings.Fields(text))
		return fmt.Sprintf("caller %d got %d words, %q, %v instead of %d: %s", i, n, finish, err, tokens, text)
	}
	return ""
}
