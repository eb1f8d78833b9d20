package ticket

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/qrpc/simnet"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
)

// frameStream is a stream on which the peer sends the frames of in and then ends it.
type frameStream struct {
	in   [][]byte
	sent []any
}

func (f *frameStream) Send(v any) error {
	f.sent = append(f.sent, v)
	return nil
}

func (f *frameStream) Recv(v any) error {
	if len(f.in) == 0 {
		return io.EOF
	}
	b := f.in[0]
	f.in = f.in[1:]
	return wire.Unmarshal(b, v)
}

func (f *frameStream) Close() error { return nil }

func encode(t testing.TB, v any) []byte {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against frames of a faulty host that make the dispatcher panic, or leave a ticket open or an item counted as
// in use.
func FuzzFrames(f *testing.F) {
	good := ticketRequest("1")
	good.RemainingMS = 1000
	late, large := good, good
	late.RemainingMS, large.PromptTokens = 1<<62, 1<<40
	open := wire.OpenTicket{Request: good, Ticket: "t", Engine: "e1", ModelItem: "m@1", Tokens: 3}
	for _, a := range []wire.TicketRequest{good, late, large, {}} {
		f.Add(false, encode(f, a), encode(f, wire.Progress{Tokens: 1, FirstTokenMS: 5}),
			encode(f, wire.Progress{Done: true}))
	}
	f.Add(true, encode(f, open), encode(f, wire.Progress{Tokens: -1}), []byte{})
	f.Add(true, encode(f, wire.OpenTicket{}), []byte{0xff}, []byte{})
	f.Fuzz(func(t *testing.T, restore bool, first, second, third []byte) {
		synctest.Test(t, func(t *testing.T) {
			s := newTestHost(t, &simnet.Net{}, "owner")
			server := &Server{Stats: &stats.Set{}, Owned: func(string) *Runner { return s.runner }}
			kind := wire.KindTicket
			if restore {
				kind = wire.KindRestore
			}
			server.Handle(t.Context(), kind, &frameStream{in: [][]byte{first, second, third}})
			time.Sleep(time.Minute)
			s.loop.Call(func() {
				if waiting, open := s.runner.Counts(); waiting+open != 0 {
					t.Errorf("%d calls and %d tickets left", waiting, open)
				}
			})
			if n := s.runner.Running("e1", "m@1"); n != 0 {
				t.Errorf("item counted in use %d times", n)
			}
		})
	})
}

// Guards against values that distort the dispatcher's estimates, and rejected frames that are not counted.
func TestBadFrames(t *testing.T) {
	tests := []struct {
		name string
		edit func(a *wire.TicketRequest)
	}{
		{"no id", func(a *wire.TicketRequest) { a.CallID = "" }},
		{"deadline out of range", func(a *wire.TicketRequest) { a.RemainingMS = 1 << 62 }},
		{"negative token count", func(a *wire.TicketRequest) { a.ExpectedTokens = -1 }},
		{"token count out of range", func(a *wire.TicketRequest) { a.PromptTokens = 1 << 40 }},
		{"too many tried engines", func(a *wire.TicketRequest) { a.Tried = make([]string, maxTried+1) }},
	}
	for _, tt := range tests {
		a := ticketRequest("1")
		tt.edit(&a)
		c := &frameStream{in: [][]byte{encode(t, a)}}
		server := &Server{Stats: &stats.Set{}}
		server.Handle(t.Context(), wire.KindTicket, c)
		server.Handle(t.Context(), wire.KindRestore,
			&frameStream{in: [][]byte{encode(t, wire.OpenTicket{Request: a, Ticket: "t"})}})
		if g, ok := c.sent[0].(wire.TicketResponse); !ok || g.Code != codeBadRequest || g.Reason == "" {
			t.Errorf("%s: response %+v", tt.name, c.sent)
		}
		if n := server.Stats.Events.Get(eventBadFrame); n == nil || n.String() != "2" {
			t.Errorf("%s: counted %v, want 2", tt.name, n)
		}
	}
}

// Guards against an item that stays counted as in use, or a call that loses its ticket, when an entry host restores a
// ticket twice.
func TestRestoredTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestHost(t, &simnet.Net{}, "owner")
		h := wire.OpenTicket{Request: ticketRequest("1"), Ticket: "t", Engine: "e1", ModelItem: "m@1"}
		first := s.runner.RestoreTicket(h)
		second := s.runner.RestoreTicket(h)
		first.Close()
		synctest.Wait()
		if n := s.runner.Running("e1", "m@1"); n != 1 || s.openTickets() != 1 {
			t.Errorf("%d in use and %d open after the first stream ended, want 1 and 1", n, s.openTickets())
		}
		second.Close()
		synctest.Wait()
		if n := s.runner.Running("e1", "m@1"); n != 0 || s.openTickets() != 0 {
			t.Errorf("%d in use and %d open at the end, want none", n, s.openTickets())
		}
	})
}
