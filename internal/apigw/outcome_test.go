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
	// pausingKV pauses once after its first put was executed, as if the host's process were suspended.
	pausingKV struct {
		kvapi.Service
		pause time.Duration
		done  atomic.Bool
	}

	// ticketFunc is a function that replaces the dispatcher.
	ticketFunc func(ctx context.Context, req wire.TicketRequest) (ticket.Ticket, error)
)

// Put executes the write, and the first time pauses before it returns.
func (k *pausingKV) Put(ctx context.Context, w kvapi.Write) (kvapi.Entry, error) {
	e, err := k.Service.Put(ctx, w)
	if !k.done.Swap(true) {
		time.Sleep(k.pause)
	}
	return e, err
}

// RequestTicket calls f.
func (f ticketFunc) RequestTicket(ctx context.Context, req wire.TicketRequest) (ticket.Ticket, error) {
	return f(ctx, req)
}

// pauseAfterTicket makes the host pause for d between the grant of its next ticket and the use of it.
func (h *host) pauseAfterTicket(d time.Duration) { h.pauseAfterTicketNS.Store(int64(d)) }

// pauseBeforePick makes the host pause for d before it chooses an upstream for its next request to a service.
func (h *host) pauseBeforePick(d time.Duration) { h.pauseBeforePickNS.Store(int64(d)) }

// pauseOnce sleeps for the duration d and resets it to zero.
func pauseOnce(d *atomic.Int64) { time.Sleep(time.Duration(d.Swap(0))) }

// executions returns how many times engines and services have executed the request with this ID.
func (s *system) executions(requestID string) int {
	n := 0
	for _, e := range s.engines {
		for _, a := range e.Record().Attempts {
			if a.RequestID == requestID {
				n++
			}
		}
	}
	for _, service := range s.services {
		for _, r := range service.Executions() {
			if r.RequestID == requestID {
				n++
			}
		}
	}
	return n
}

// setFaults sets the same fault spec on every engine and service.
func (s *system) setFaults(spec fault.Spec) {
	for _, e := range s.engines {
		e.Fault.Set(spec)
	}
	for _, service := range s.services {
		service.Fault.Set(spec)
	}
}

// stopUpstreams stops the listeners of all engines and services, so that connections to them are refused.
func (s *system) stopUpstreams() {
	for _, stop := range s.stops[:len(s.engines)+len(s.services)] {
		stop()
	}
}

const (
	nonIdempotentBody = `{"model":"pen","prompt":"hello","max_tokens":5,"seed":3}`
	generatePath      = "/v1/completions"
	readPath          = "/svc/read/x"
	payPath           = "/svc/pay/x"
)

// TestOutcomes guards, for each way in which a call is rejected or lost, against the outcome not_run although an
// upstream executed the call, and against another outcome although the call was certainly not executed.
func TestOutcomes(t *testing.T) {
	none := func(*system, *host) {}
	withFaults := func(spec fault.Spec) func(*system, *host) { return func(s *system, _ *host) { s.setFaults(spec) } }
	frozen, requestsDropped := withFaults(fault.Spec{Freeze: true}), withFaults(fault.Spec{DropRequest: true})
	responsesDropped := withFaults(fault.Spec{DropResponse: true})
	upstreamsStopped := func(s *system, _ *host) { s.stopUpstreams() }
	hostStopping := func(_ *system, h *host) { h.stopDispatcher() }
	key := map[string]string{"Idempotency-Key": "k"}
	shortDeadline := map[string]string{"X-Figreel-Deadline-Ms": "1000"}
	noCallsAllowed := func(_ *system, h *host) { h.MaxInFlight = 0 }
	smallBodyLimit := func(_ *system, h *host) { h.MaxBodyBytes = 5 }
	idempotent, idempotentShort := request{path: generatePath, body: textBody},
		request{path: generatePath, body: textBody, header: shortDeadline}
	nonIdem, nonIdemShort := request{path: generatePath, body: nonIdempotentBody},
		request{path: generatePath, body: nonIdempotentBody, header: shortDeadline}
	nonIdemKey, serviceKey := request{path: generatePath, body: nonIdempotentBody, header: key},
		request{path: payPath, header: key}
	dispatcherOverloaded := func(s *system, h *host) {
		s.setFaults(fault.Spec{Freeze: true})
		h.MaxInFlight = 1000
		for range 500 {
			go s.do(context.Background(), h, idempotent)
		}
		time.Sleep(4 * time.Second) // until the dispatcher notices that it has granted no ticket
	}
	enginesLeave := func(s *system, _ *host) {
		for _, e := range s.engines {
			e.Leave()
		}
	}
	tests := []struct {
		name    string
		req     request
		fault   func(s *system, h *host)
		code    string // empty for a complete response
		outcome answer.Outcome
	}{
		{"whole", idempotent, none, "", ""},
		{"host overloaded", idempotent, noCallsAllowed, "host_overloaded", answer.NotRun},
		{"host overloaded, key", serviceKey, noCallsAllowed, "host_overloaded", answer.Unknown},
		{"no document", idempotent, func(_ *system, h *host) {
			h.ActiveDoc = func() *apigw.ActiveDoc { return nil }
		}, "not_ready", answer.NotRun},
		{"body above the limit", idempotent, smallBodyLimit, "body_too_large", answer.NotRun},
		{
			"body above the limit, key",
			request{path: payPath, body: "123456", header: key},
			smallBodyLimit,
			"body_too_large", answer.Unknown,
		},
		{"stopping host", idempotent, hostStopping, "host_stopping", answer.NotRun},
		{"stopping host, key", nonIdemKey, hostStopping, "host_stopping", answer.NotRun},
		{"no engine up before the deadline", idempotentShort, func(s *system, h *host) {
			h.relay.Tickets = ticketFunc(func(ctx context.Context, _ wire.TicketRequest) (ticket.Ticket, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			})
		}, "deadline_exceeded", answer.NotRun},
		{"dispatcher overloaded", request{path: generatePath, body: textBody, header: map[string]string{
			"X-Figreel-Deadline-Ms": "50",
		}}, dispatcherOverloaded, "overloaded", answer.NotRun},
		{"dispatcher refuses", request{
			path: generatePath, body: strings.Replace(textBody, `"m"`, `"lost"`, 1),
		}, func(_ *system, h *host) {
			c := *h.ActiveDoc()
			c.Targets = map[string]envdoc.Target{"lost": {Pool: "p", Model: "lost@1", Class: "quick"}}
			h.ActiveDoc = func() *apigw.ActiveDoc { return &c }
		}, "unknown_model", answer.NotRun},
		{"paused between ticket and send", idempotentShort, func(_ *system, h *host) {
			h.pauseAfterTicket(2 * time.Second)
		}, "deadline_exceeded", answer.NotRun},
		{"engines refuse connections", idempotent, upstreamsStopped, "upstream_failed", answer.NotRun},
		{"engines leaving", idempotentShort, enginesLeave, "deadline_exceeded", answer.NotRun},
		{"model not loaded", idempotent, func(s *system, _ *host) {
			for _, e := range s.engines {
				e.Restart()
			}
		}, "upstream_failed", answer.NotRun},
		{"engine drops requests", idempotent, requestsDropped, "upstream_failed", answer.Failed},
		{"engine loses answers", idempotent, responsesDropped, "upstream_failed", answer.Failed},
		{"engine frozen past the deadline", idempotentShort, frozen, "deadline_exceeded", answer.Failed},
		{"engine cuts, then all leave", idempotentShort, func(s *system, h *host) {
			s.setFaults(fault.Spec{CutAfterWrites: 2})
			time.AfterFunc(3*time.Millisecond, func() { enginesLeave(s, h) })
		}, "deadline_exceeded", answer.Failed},
		{"not repeatable, engine drops requests", nonIdem, requestsDropped, "upstream_failed", answer.Unknown},
		{"not repeatable, engine loses answers", nonIdemKey, responsesDropped, "upstream_failed", answer.Unknown},
		{"not repeatable, engines refuse connections", nonIdemKey, upstreamsStopped, "upstream_failed", answer.NotRun},
		{"not repeatable, engine frozen", nonIdemShort, frozen, "deadline_exceeded", answer.Unknown},
		{"services refuse connections", request{path: readPath}, upstreamsStopped, "upstream_failed", answer.NotRun},
		{"services have left", request{path: readPath}, func(_ *system, h *host) {
			h.proxy.IsLeaving = func(string) bool { return true }
		}, "no_upstream", answer.NotRun},
		{"service drops requests", request{path: readPath}, requestsDropped, "upstream_failed", answer.Failed},
		{"service frozen", request{path: readPath, header: shortDeadline}, frozen, "upstream_failed", answer.Failed},
		{"paused before the service", request{path: readPath}, func(_ *system, h *host) {
			h.pauseBeforePick(6 * time.Second)
		}, "upstream_failed", answer.NotRun},
		{
			"not repeatable, services refuse connections",
			request{path: payPath},
			upstreamsStopped,
			"upstream_failed", answer.NotRun,
		},
		{
			"not repeatable, service drops requests",
			request{path: payPath},
			requestsDropped,
			"upstream_failed", answer.Unknown,
		},
		{
			"not repeatable, service loses answers",
			request{path: payPath},
			responsesDropped,
			"upstream_failed", answer.Unknown,
		},
		{"not repeatable, paused before the service", serviceKey, func(_ *system, h *host) {
			h.pauseBeforePick(6 * time.Second)
		}, "upstream_failed", answer.NotRun},
		{"key, services refuse connections", serviceKey, upstreamsStopped, "upstream_failed", answer.NotRun},
		{"key, outage", serviceKey, func(s *system, _ *host) {
			s.kv.SetOutage(true)
		}, "record_unavailable", answer.Unknown},
		{"key, writes limited", serviceKey, func(s *system, _ *host) {
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Grant, Err: kvapi.ErrRateLimited})
		}, "record_unavailable", answer.Unknown},
		{"key of another body", request{path: payPath, header: key, body: "2"}, func(s *system, h *host) {
			s.do(context.Background(), h, request{path: payPath, header: key, body: "1"})
		}, "key_reused", answer.NotRun},
		{"key of a running call that is then released", serviceKey, func(s *system, h *host) {
			h.pauseBeforePick(3 * time.Second)
			s.stopUpstreams()
			go s.do(context.Background(), h, serviceKey)
			time.Sleep(time.Second)
		}, "earlier_attempt_refused", answer.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
				tt.fault(s, hosts[0])
				req := tt.req
				req.header = map[string]string{"X-Request-Id": "r1"}
				for name, value := range tt.req.header {
					req.header[name] = value
				}
				r := s.do(t.Context(), hosts[0], req)
				s.setFaults(fault.Spec{})
				time.Sleep(time.Minute)
				if r.err.Code != tt.code || r.err.Outcome != tt.outcome || r.connErr != nil {
					t.Errorf("got %d %s (%v), want %s with %s", r.status, r.body, r.connErr, tt.code, tt.outcome)
				}
				if n := s.executions("r1"); tt.outcome == answer.NotRun && n != 0 {
					t.Errorf("executed %d times although the outcome is not_run", n)
				}
				if tt.code != "" && r.status < http.StatusBadRequest {
					t.Errorf("status %d", r.status)
				}
			})
		})
	}
}

// TestNoAutomaticRetry guards against the retries of net/http on keep-alive connections: an upstream executes a
// non-idempotent request and closes the connection without a response. If such a request has an idempotency key,
// net/http would send it again on another connection.
func TestNoAutomaticRetry(t *testing.T) {
	for _, path := range []string{payPath, generatePath} {
		runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
			for range 4 {
				s.do(t.Context(), hosts[0], request{path: readPath})
			}
			s.setFaults(fault.Spec{DropResponse: true, Count: 1})
			req := request{path: path, header: map[string]string{
				"X-Request-Id": "r1", "Idempotency-Key": "k", "X-Idempotency-Key": "k",
			}}
			if path == generatePath {
				req.body = nonIdempotentBody
			}
			r := s.do(t.Context(), hosts[0], req)
			if n := s.executions("r1"); n != 1 || r.err.Outcome != answer.Unknown {
				t.Errorf("%s executed %d times with response %s, want 1 execution and %s", path, n, r.body, answer.Unknown)
			}
		})
	}
}

// TestAtMostOnce guards against a second execution of a request with the same idempotency key, and against a completed
// response that is not replayed, when callers retry on other hosts and during outages of the key-value service.
func TestAtMostOnce(t *testing.T) {
	type scenarioFunc func(s *system, h []*host, send func(h *host) response)
	tests := []struct {
		name       string
		run        scenarioFunc
		executions int
		after      answer.Outcome // of a retry on the second host a minute later; empty for the completed response
	}{
		{"one call", func(_ *system, h []*host, send func(*host) response) { send(h[0]) }, 1, ""},
		{"two hosts at once", func(_ *system, h []*host, send func(*host) response) {
			go send(h[0])
			send(h[1])
		}, 1, ""},
		{"host lost before the upstream executed it", func(s *system, h []*host, send func(*host) response) {
			s.setFaults(fault.Spec{Freeze: true})
			go send(h[0])
			time.Sleep(time.Second)
			s.kv.SetPartitioned("h1", true)
			time.AfterFunc(time.Second, func() { s.setFaults(fault.Spec{}) })
			send(h[1])
		}, 1, answer.Unknown},
		{"host lost after the upstream executed it", func(s *system, h []*host, send func(*host) response) {
			s.setFaults(fault.Spec{DropResponse: true})
			time.AfterFunc(20*time.Millisecond, func() { s.kv.SetPartitioned("h1", true) })
			send(h[0])
			s.setFaults(fault.Spec{})
			send(h[1])
		}, 1, answer.Unknown},
		{"outage before", func(s *system, h []*host, send func(*host) response) {
			s.kv.SetOutage(true)
			send(h[0])
			s.kv.SetOutage(false)
			time.Sleep(time.Minute)
		}, 0, ""},
		{"outage from the middle on", func(s *system, h []*host, send func(*host) response) {
			time.AfterFunc(20*time.Millisecond, func() { s.kv.SetOutage(true) })
			send(h[0])
			send(h[1])
			s.kv.SetOutage(false)
			time.Sleep(time.Second)
		}, 1, ""},
		{"outage after", func(s *system, h []*host, send func(*host) response) {
			send(h[0])
			s.kv.SetOutage(true)
			send(h[1])
			s.kv.SetOutage(false)
		}, 1, ""},
		{"claim written, its response lost", func(s *system, h []*host, send func(*host) response) {
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, AfterExecution: true})
			send(h[0])
		}, 1, ""},
		{"claim written, its response lost, then writes limited", func(
			s *system, h []*host, send func(*host) response,
		) {
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, AfterExecution: true})
			s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, Err: kvapi.ErrRateLimited})
			send(h[0])
		}, 1, ""},
		{"claim lost for good", func(s *system, h []*host, send func(*host) response) {
			s.kv.InjectFault(kvfake.Fault{Client: "h1", Kind: kvfake.Put, AfterExecution: true, Times: 1})
			s.kv.InjectFault(kvfake.Fault{Client: "h1", Kind: kvfake.Put, Times: 200})
			send(h[0])
			time.Sleep(time.Minute)
		}, 0, ""},
		{"completion written, its response lost", func(s *system, h []*host, send func(*host) response) {
			time.AfterFunc(20*time.Millisecond, func() {
				s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put, AfterExecution: true})
			})
			send(h[0])
		}, 1, ""},
		{"completion lost", func(s *system, h []*host, send func(*host) response) {
			time.AfterFunc(20*time.Millisecond, func() { s.kv.InjectFault(kvfake.Fault{Kind: kvfake.Put}) })
			send(h[0])
		}, 1, ""},
		{"paused right after the claim", func(s *system, h []*host, send func(*host) response) {
			h[0].records.KV = &pausingKV{Service: h[0].records.KV, pause: 6 * time.Second}
			send(h[0])
			time.Sleep(time.Second)
		}, 0, ""},
		{"paused between claim and send until the record has expired", func(
			s *system, h []*host, send func(*host) response,
		) {
			s.retention.Store(int64(10 * time.Second))
			h[0].pauseAfterTicket(20 * time.Second)
			h[0].pauseBeforePick(20 * time.Second)
			go send(h[0])
			time.Sleep(12 * time.Second)
			s.retention.Store(int64(time.Hour))
			send(h[1])
			time.Sleep(9 * time.Second)
		}, 1, ""},
	}
	for _, path := range []string{payPath, generatePath} {
		for _, tt := range tests {
			t.Run(tt.name+path, func(t *testing.T) {
				runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
					id := "r1"
					send := func(h *host) response {
						req := request{path: path, header: map[string]string{"X-Request-Id": id, "Idempotency-Key": "k"}}
						if path == generatePath {
							req.body = nonIdempotentBody
						}
						r := s.do(t.Context(), h, req)
						if n := s.executions(id); r.err.Outcome == answer.NotRun && n != 0 {
							t.Errorf("outcome not_run in %s after %d executions", r.body, n)
						}
						return r
					}
					tt.run(s, hosts, send)
					if n := s.executions(id); n != tt.executions {
						t.Errorf("executed %d times, want %d", n, tt.executions)
					}
					time.Sleep(time.Minute)
					synctest.Wait()
					r := send(hosts[1])
					if r.err.Outcome != tt.after || tt.after == "" && r.status != http.StatusOK {
						t.Errorf("later: %d %s, want %q", r.status, r.body, tt.after)
					}
					if n := s.executions(id); n != 1 {
						t.Errorf("executed %d times after another request, want 1", n)
					}
				})
			})
		}
	}
}

// TestRetention checks the documented limit: a request with the same key is executed again only after the retention
// time of its record.
func TestRetention(t *testing.T) {
	runInBubble(t, func(t *testing.T, s *system, hosts []*host) {
		s.retention.Store(int64(time.Minute))
		req := request{path: payPath, header: map[string]string{"X-Request-Id": "r1", "Idempotency-Key": "k"}}
		for _, want := range []int{1, 1, 2} {
			s.do(t.Context(), hosts[0], req)
			if n := s.executions("r1"); n != want {
				t.Errorf("executed %d times, want %d", n, want)
			}
			time.Sleep(59 * time.Second)
		}
	})
}
