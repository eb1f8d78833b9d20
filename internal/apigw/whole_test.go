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

const crowd = 40 // callers at once

// hedged advises a hedge for every grant.
type hedged struct{ ticket.Ticket }

// Grant returns the grant with a short hedge delay.
func (h hedged) Grant() wire.TicketResponse {
	g := h.Ticket.Grant()
	g.HedgeAfterMS = 12
	return g
}

type (
	// crossing passes events of every stream to the other streams too, under the id of their own attempt.
	crossing struct {
		engine.API
		last atomic.Pointer[engine.Event]
	}

	crossed struct {
		engine.Stream
		from  *crossing
		other bool
	}
)

// Generate starts an attempt whose stream holds events of others.
func (c *crossing) Generate(ctx context.Context, url string, call engine.Call) (engine.Stream, error) {
	s, err := c.API.Generate(ctx, url, call)
	if err != nil {
		return nil, err
	}
	return &crossed{Stream: s, from: c}, nil
}

// Next returns the newest event of any stream before each own one.
func (s *crossed) Next(ctx context.Context) (engine.Event, error) {
	s.other = !s.other
	if ev := s.from.last.Load(); s.other && ev != nil {
		return *ev, nil
	}
	ev, err := s.Stream.Next(ctx)
	if err == nil {
		s.from.last.Store(&ev)
	}
	return ev, err
}

// Guards P3: against answers that are cut, doubled, mixed or foreign while engines cut streams, answer for other
// attempts, stand still, lose answers and restart, and while hedges race.
func TestWholeAndOwnAnswers(t *testing.T) {
	tests := []struct {
		name  string
		plans []fault.Spec // put on engines in turn
		hedge bool
		boots bool // engines restart in turn
		cross bool // streams hold events of other calls
		dense bool // on every engine: too many faults for every answer to be completed; none may be wrong
	}{
		{name: "no fault"},
		{name: "cuts", plans: []fault.Spec{{CutAfterWrites: 3, Count: 5}}},
		{name: "crossed attempts", plans: []fault.Spec{{WrongAttempt: true, Count: 2}}},
		{name: "lost answers", plans: []fault.Spec{{DropResponse: true, Count: 1}, {DropRequest: true, Count: 1}}},
		{name: "hedges beside slow engines", plans: []fault.Spec{{DelayMS: 40, Count: 4}, {Slowdown: 6}}, hedge: true},
		{name: "restarts", boots: true},
		{name: "events of other calls", cross: true, plans: []fault.Spec{{CutAfterWrites: 3, Count: 2}}},
		{name: "all at once", hedge: true, boots: true, dense: true, plans: []fault.Spec{
			{CutAfterWrites: 4, Count: 3},
			{WrongAttempt: true, Count: 2},
			{DelayMS: 30, Count: 3},
			{DropResponse: true, Count: 2},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, s *site, hosts []*host) {
				for _, h := range hosts {
					if tt.cross {
						h.relay.Engines = &crossing{API: h.relay.Engines}
					}
					tickets := h.relay.Tickets
					h.relay.Tickets = asker(func(ctx context.Context, a wire.TicketRequest) (ticket.Ticket, error) {
						tk, err := tickets.RequestTicket(ctx, a)
						if err != nil || !tt.hedge {
							return tk, err
						}
						return hedged{tk}, nil
					})
				}
				done := make(chan string)
				for i := range crowd {
					go func() { done <- s.compare(hosts[i%len(hosts)], i, tt.dense) }()
				}
				rnd := rand.New(rand.NewPCG(1, 2))
				for n, open := 0, crowd; open > 0; n++ {
					select {
					case problem := <-done:
						open--
						if problem != "" {
							t.Error(problem)
						}
					case <-time.After(11 * time.Millisecond):
						// While one engine stays well, every answer must be completed.
						i := 0
						if tt.dense {
							i = rnd.IntN(len(s.engines))
						}
						s.disturb(n, i, tt.plans, tt.boots)
					}
				}
				s.upstreams(fault.Spec{})
			})
		})
	}
}

// disturb puts the next fault on engine i, or restarts it and loads its items again.
func (s *site) disturb(n, i int, plans []fault.Spec, boots bool) {
	if boots && n%5 == 4 {
		s.engines[i].Fault.Set(fault.Spec{})
		s.engines[i].Restart()
		s.load(i)
		return
	}
	if len(plans) > 0 {
		s.engines[i].Fault.Set(plans[n%len(plans)])
	}
}

// compare asks for a generation of its own and returns what is wrong with the answer; with mayFail an answer may end
// with an error after a part of its own text.
func (s *site) compare(h *host, i int, mayFail bool) string {
	time.Sleep(time.Duration(i*7) * time.Millisecond)
	tokens, name, adapter := 5+i%20, "m", ""
	if i%3 == 0 {
		name, adapter = "ad", adaptItem
	}
	prompt := fmt.Sprintf("prompt of caller %d", i)
	form := `{"model":%q,"prompt":%q,"max_tokens":%d,"seed":%d,"stream":%t}`
	body := fmt.Sprintf(form, name, prompt, tokens, i, i%2 == 0)
	r := s.do(context.Background(), h, query{path: gen, body: body})
	text, finish, err := r.text()
	w := want(modelItem, adapter, prompt, int64(i), tokens)
	if mayFail && err != nil && r.cut == nil && strings.HasPrefix(w, text) {
		return ""
	}
	if err != nil || text != w || finish != "length" {
		n := len(strings.Fields(text))
		return fmt.Sprintf("caller %d got %d words, %q, %v instead of %d: %s", i, n, finish, err, tokens, text)
	}
	return ""
}
