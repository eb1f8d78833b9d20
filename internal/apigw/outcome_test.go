package apigw_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/emul/fault"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/internal/ticket"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

type (
	// stalledKV stands still once after its first put has taken effect, as a paused host does.
	stalledKV struct {
		kvapi.Service
		pause time.Duration
		done  atomic.Bool
	}

	// asker replaces the dispatcher.
	asker func(ctx context.Context, a wire.TicketRequest) (ticket.Ticket, error)
)

// Put writes and then stands still once.
func (k *stalledKV) Put(ctx context.Context, w kvapi.Write) (kvapi.Entry, error) {
	e, err := k.Service.Put(ctx, w)
	if !k.done.Swap(true) {
		time.Sleep(k.pause)
	}
	return e, err
}

// RequestTicket calls the function.
func (f asker) RequestTicket(ctx context.Context, a wire.TicketRequest) (ticket.Ticket, error) {
	return f(ctx, a)
}

// stallTickets makes the host stand still for d between its next ticket and the use of it.
func (h *host) stallTickets(d time.Duration) { h.ticketStall.Store(int64(d)) }

// stallPick makes the host stand still for d before its next request to a service.
func (h *host) stallPick(d time.Duration) { h.pickStall.Store(int64(d)) }

// stall sleeps once for the time that is set.
func stall(d *atomic.Int64) { time.Sleep(time.Duration(d.Swap(0))) }

// runs returns how often the request id appears in what the upstreams recorded.
func (s *site) runs(requestID string) int {
	n := 0
	for _, e := range s.engines {
		for _, a := range e.Record().Attempts {
			if a.RequestID == requestID {
				n++
			}
		}
	}
	for _, up := range s.services {
		for _, r := range up.Executions() {
			if r.RequestID == requestID {
				n++
			}
		}
	}
	return n
}

// upstreams puts one fault into force on every upstream.
func (s *site) upstreams(p fault.Spec) {
	for _, e := range s.engines {
		e.Fault.Set(p)
	}
	for _, up := range s.services {
		up.Fault.Set(p)
	}
}

// stopUpstreams refuses connections to every upstream.
func (s *site) stopUpstreams() {
	for _, stop := range s.stops[:len(s.engines)+len(s.services)] {
		stop()
	}
}

const (
	penBody = `{"model":"pen","prompt":"hello","max_tokens":5,"seed":3}`
	gen     = "/v1/completions"
	read    = "/svc/read/x"
	pay     = "/svc/pay/x"
)

// Guards P4: for every way to refuse or to lose a call, against an answer that says not_run although the call ran, and
// against one that hides a provable not_run.
func TestOutcomes(t *testing.T) {
	none := func(*site, *host) {}
	plan := func(p fault.Spec) func(*site, *host) { return func(s *site, _ *host) { s.upstreams(p) } }
	freeze, dropped := plan(fault.Spec{Freeze: true}), plan(fault.Spec{DropRequest: true})
	lost := plan(fault.Spec{DropResponse: true})
	stopped := func(s *site, _ *host) { s.stopUpstreams() }
	ended := func(_ *site, h *host) { h.end() }
	key := map[string]string{"Idempotency-Key": "k"}
	short := map[string]string{"X-Figreel-Deadline-Ms": "1000"}
	full := func(_ *site, h *host) { h.MaxInFlight = 0 }
	tiny := func(_ *site, h *host) { h.MaxBodyBytes = 5 }
	words, wordsSoon := query{path: gen, body: textBody}, query{path: gen, body: textBody, header: short}
	pen, penSoon := query{path: gen, body: penBody}, query{path: gen, body: penBody, header: short}
	penKey, payKey := query{path: gen, body: penBody, header: key}, query{path: pay, header: key}
	crowded := func(s *site, h *host) {
		s.upstreams(fault.Spec{Freeze: true})
		h.MaxInFlight = 1000
		for range 500 {
			go s.do(context.Background(), h, words)
		}
		time.Sleep(4 * time.Second) // until the dispatcher sees that nothing is granted
	}
	leave := func(s *site, _ *host) {
		for _, e := range s.engines {
			e.Leave()
		}
	}
	tests := []struct {
		name  string
		q     query
		fault func(s *site, h *host)
		code  string // empty for a whole answer
		out   answer.Outcome
	}{
		{"whole", words, none, "", ""},
		{"host overloaded", words, full, "host_overloaded", answer.NotRun},
		{"host overloaded, key", payKey, full, "host_overloaded", answer.Unknown},
		{"no document", words, func(_ *site, h *host) {
			h.ActiveDoc = func() *apigw.ActiveDoc { return nil }
		}, "not_ready", answer.NotRun},
		{"body above the limit", words, tiny, "body_too_large", answer.NotRun},
		{"body above the limit, key", query{path: pay, body: "123456", header: key}, tiny, "body_too_large", answer.Unknown},
		{"stopping host", words, ended, "host_stopping", answer.NotRun},
		{"stopping host, key", penKey, ended, "host_stopping", answer.NotRun},
		{"no engine up before the deadline", wordsSoon, func(s *site, h *host) {
			h.relay.Tickets = asker(func(ctx context.Context, _ wire.TicketRequest) (ticket.Ticket, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
		}, "deadline_exceeded", answer.NotRun},
		{"dispatcher overloaded", query{path: gen, body: textBody, header: map[string]string{
			"X-Figreel-Deadline-Ms": "50",
		}}, crowded, "overloaded", answer.NotRun},
		{"dispatcher refuses", query{path: gen, body: strings.Replace(textBody, `"m"`, `"lost"`, 1)}, func(_ *site, h *host) {
			c := *h.ActiveDoc()
			c.Targets = map[string]envdoc.Target{"lost": {Pool: "p", Model: "lost@1", Class: "quick"}}
			h.ActiveDoc = func() *apigw.ActiveDoc { return &c }
		}, "unknown_model", answer.NotRun},
		{"paused between ticket and send", wordsSoon, func(_ *site, h *host) {
			h.stallTickets(2 * time.Second)
		}, "deadline_exceeded", answer.NotRun},
		{"engines refuse connections", words, stopped, "upstream_failed", answer.NotRun},
		{"engines leaving", wordsSoon, leave, "deadline_exceeded", answer.NotRun},
		{"model not loaded", words, func(s *site, _ *host) {
			for _, e := range s.engines {
				e.Restart()
			}
		}, "upstream_failed", answer.NotRun},
		{"engine drops requests", words, dropped, "upstream_failed", answer.Failed},
		{"engine loses answers", words, lost, "upstream_failed", answer.Failed},
		{"engine frozen past the deadline", wordsSoon, freeze, "deadline_exceeded", answer.Failed},
		{"engine cuts, then all leave", wordsSoon, func(s *site, h *host) {
			s.upstreams(fault.Spec{CutAfterWrites: 2})
			time.AfterFunc(3*time.Millisecond, func() { leave(s, h) })
		}, "deadline_exceeded", answer.Failed},
		{"not repeatable, engine drops requests", pen, dropped, "upstream_failed", answer.Unknown},
		{"not repeatable, engine loses answers", penKey, lost, "upstream_failed", answer.Unknown},
		{"not repeatable, engines refuse connections", penKey, stopped, "upstream_failed", answer.NotRun},
		{"not repeatable, engine frozen", penSoon, freeze, "deadline_exceeded", answer.Unknown},
		{"services refuse connections", query{path: read}, stopped, "upstream_failed", answer.NotRun},
		{"services have left", query{path: read}, func(_ *site, h *host) {
			h.proxy.IsLeaving = func(string) bool { return true }
		}, "no_upstream", answer.NotRun},
		{"service drops requests", query{path: read}, dropped, "upstream_failed", answer.Failed},
		{"service frozen", query{path: read, header: short}, freeze, "upstream_failed", answer.Failed},
		{"paused before the service", query{path: read}, func(_ *site, h *host) {
			h.stallPick(6 * time.Second)
		}, "upstream_failed", answer.NotRun},
		{"not repeatable, services refuse connections", query{path: pay}, stopped, "upstream_failed", answer.NotRun},
		{"not repeatable, service drops requests", query{path: pay}, dropped, "upstream_failed", answer.Unknown},
		{"not repeatable, service loses answers", query{path: pay}, lost, "upstream_failed", answer.Unknown},
		{"not repeatable, paused before the service", payKey, func(_ *site, h *host) {
			h.stallPick(6 * time.Second)
		}, "upstream_failed", answer.NotRun},
		{"key, services refuse connections", payKey, stopped, "upstream_failed", answer.NotRun},
		{"key, outage", payKey, func(s *site, _ *host) {
			s.kv.SetDown(true)
		}, "record_unavailable", answer.Unknown},
		{"key, writes limited", payKey, func(s *site, _ *host) {
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Grant, Err: kvapi.ErrRateLimited})
		}, "record_unavailable", answer.Unknown},
		{"key of another body", query{path: pay, header: key, body: "2"}, func(s *site, h *host) {
			s.do(context.Background(), h, query{path: pay, header: key, body: "1"})
		}, "key_reused", answer.NotRun},
		{"key of a running call that is then released", payKey, func(s *site, h *host) {
			h.stallPick(3 * time.Second)
			s.stopUpstreams()
			go s.do(context.Background(), h, payKey)
			time.Sleep(time.Second)
		}, "earlier_attempt_refused", answer.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, s *site, hosts []*host) {
				tt.fault(s, hosts[0])
				q := tt.q
				q.header = map[string]string{"X-Request-Id": "r1"}
				for name, value := range tt.q.header {
					q.header[name] = value
				}
				r := s.do(t.Context(), hosts[0], q)
				s.upstreams(fault.Spec{})
				time.Sleep(time.Minute)
				if r.err.Code != tt.code || r.err.Outcome != tt.out || r.cut != nil {
					t.Errorf("got %d %s (%v), want %s with %s", r.status, r.body, r.cut, tt.code, tt.out)
				}
				if n := s.runs("r1"); tt.out == answer.NotRun && n != 0 {
					t.Errorf("ran %d times although the caller was told not_run", n)
				}
				if tt.code != "" && r.status < http.StatusBadRequest {
					t.Errorf("status %d", r.status)
				}
			})
		})
	}
}

// Guards against connections that net/http would use to send a request twice: an upstream takes a request that must not
// repeat on a kept connection, runs it and closes the connection without an answer.
func TestNoTransportReplay(t *testing.T) {
	for _, path := range []string{pay, gen} {
		bubble(t, func(t *testing.T, s *site, hosts []*host) {
			for range 4 {
				s.do(t.Context(), hosts[0], query{path: read})
			}
			s.upstreams(fault.Spec{DropResponse: true, Count: 1})
			q := query{path: path, header: map[string]string{
				"X-Request-Id": "r1", "Idempotency-Key": "k", "X-Idempotency-Key": "k",
			}}
			if path == gen {
				q.body = penBody
			}
			r := s.do(t.Context(), hosts[0], q)
			if n := s.runs("r1"); n != 1 || r.err.Outcome != answer.Unknown {
				t.Errorf("%s ran %d times and gave %s, want 1 run and %s", path, n, r.body, answer.Unknown)
			}
		})
	}
}

// Guards P5: against a second run of a key, or an answer that is not given again, over hosts, outages and retries.
func TestAtMostOnce(t *testing.T) {
	type step func(s *site, h []*host, ask func(h *host) reply)
	tests := []struct {
		name  string
		play  step
		runs  int
		after answer.Outcome // of a retry on the second host an hour later; empty for the completed answer
	}{
		{"one call", func(_ *site, h []*host, ask func(*host) reply) { ask(h[0]) }, 1, ""},
		{"two hosts at once", func(_ *site, h []*host, ask func(*host) reply) {
			go ask(h[0])
			ask(h[1])
		}, 1, ""},
		{"host lost before the upstream ran it", func(s *site, h []*host, ask func(*host) reply) {
			s.upstreams(fault.Spec{Freeze: true})
			go ask(h[0])
			time.Sleep(time.Second)
			s.kv.SetPartitioned("h1", true)
			time.AfterFunc(time.Second, func() { s.upstreams(fault.Spec{}) })
			ask(h[1])
		}, 1, answer.Unknown},
		{"host lost after the upstream ran it", func(s *site, h []*host, ask func(*host) reply) {
			s.upstreams(fault.Spec{DropResponse: true})
			time.AfterFunc(20*time.Millisecond, func() { s.kv.SetPartitioned("h1", true) })
			ask(h[0])
			s.upstreams(fault.Spec{})
			ask(h[1])
		}, 1, answer.Unknown},
		{"outage before", func(s *site, h []*host, ask func(*host) reply) {
			s.kv.SetDown(true)
			ask(h[0])
			s.kv.SetDown(false)
			time.Sleep(time.Minute)
		}, 0, ""},
		{"outage from the middle on", func(s *site, h []*host, ask func(*host) reply) {
			time.AfterFunc(20*time.Millisecond, func() { s.kv.SetDown(true) })
			ask(h[0])
			ask(h[1])
			s.kv.SetDown(false)
			time.Sleep(time.Second)
		}, 1, ""},
		{"outage after", func(s *site, h []*host, ask func(*host) reply) {
			ask(h[0])
			s.kv.SetDown(true)
			ask(h[1])
			s.kv.SetDown(false)
		}, 1, ""},
		{"claim written, its answer lost", func(s *site, h []*host, ask func(*host) reply) {
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, AfterEffect: true})
			ask(h[0])
		}, 1, ""},
		{"claim written, its answer lost, then writes limited", func(s *site, h []*host, ask func(*host) reply) {
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, AfterEffect: true})
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, Err: kvapi.ErrRateLimited})
			ask(h[0])
		}, 1, ""},
		{"claim lost for good", func(s *site, h []*host, ask func(*host) reply) {
			s.kv.InjectFault(kvfake.Fault{Client: "h1", Kind: kvfake.Put, AfterEffect: true, Times: 1})
			s.kv.InjectFault(kvfake.Fault{Client: "h1", Kind: kvfake.Put, Times: 200})
			ask(h[0])
			time.Sleep(time.Minute)
		}, 0, ""},
		{"completion written, its answer lost", func(s *site, h []*host, ask func(*host) reply) {
			time.AfterFunc(20*time.Millisecond, func() { s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, AfterEffect: true}) })
			ask(h[0])
		}, 1, ""},
		{"completion lost", func(s *site, h []*host, ask func(*host) reply) {
			time.AfterFunc(20*time.Millisecond, func() { s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put}) })
			ask(h[0])
		}, 1, ""},
		{"paused right after the claim", func(s *site, h []*host, ask func(*host) reply) {
			h[0].records.KV = &stalledKV{Service: h[0].records.KV, pause: 6 * time.Second}
			ask(h[0])
			time.Sleep(time.Second)
		}, 0, ""},
		{"paused between claim and send until the record has gone", func(s *site, h []*host, ask func(*host) reply) {
			s.keep.Store(int64(10 * time.Second))
			h[0].stallTickets(20 * time.Second)
			h[0].stallPick(20 * time.Second)
			go ask(h[0])
			time.Sleep(12 * time.Second)
			s.keep.Store(int64(time.Hour))
			ask(h[1])
			time.Sleep(9 * time.Second)
		}, 1, ""},
	}
	for _, path := range []string{pay, gen} {
		for _, tt := range tests {
			t.Run(tt.name+path, func(t *testing.T) {
				bubble(t, func(t *testing.T, s *site, hosts []*host) {
					id := "r1"
					ask := func(h *host) reply {
						q := query{path: path, header: map[string]string{"X-Request-Id": id, "Idempotency-Key": "k"}}
						if path == gen {
							q.body = penBody
						}
						r := s.do(t.Context(), h, q)
						if n := s.runs(id); r.err.Outcome == answer.NotRun && n != 0 {
							t.Errorf("%s says not_run after %d runs", r.body, n)
						}
						return r
					}
					tt.play(s, hosts, ask)
					if n := s.runs(id); n != tt.runs {
						t.Errorf("ran %d times, want %d", n, tt.runs)
					}
					time.Sleep(time.Minute)
					synctest.Wait()
					r := ask(hosts[1])
					if r.err.Outcome != tt.after || tt.after == "" && r.status != http.StatusOK {
						t.Errorf("later: %d %s, want %q", r.status, r.body, tt.after)
					}
					if n := s.runs(id); n != 1 {
						t.Errorf("ran %d times after another request, want 1", n)
					}
				})
			})
		}
	}
}

// Guards the documented bound: after the retention time a key runs again, and not a moment earlier.
func TestRetention(t *testing.T) {
	bubble(t, func(t *testing.T, s *site, hosts []*host) {
		s.keep.Store(int64(time.Minute))
		q := query{path: pay, header: map[string]string{"X-Request-Id": "r1", "Idempotency-Key": "k"}}
		for _, want := range []int{1, 1, 2} {
			s.do(t.Context(), hosts[0], q)
			if n := s.runs("r1"); n != want {
				t.Errorf("ran %d times, want %d", n, want)
			}
			time.Sleep(59 * time.Second)
		}
	})
}
