package entry_test

import (
	"testing"
	"time"

	"github.com/figreel/figreel/internal/creds"
	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/hedge"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
)

// warmPolicy returns a policy that allows second attempts of calls to the service plain after 5 ms.
func warmPolicy(usual time.Duration) *hedge.Policy {
	p, k := &hedge.Policy{Share: 0.5}, hedge.Key{Service: "plain"}
	for range 64 {
		p.Count(time.Now(), k)
		p.FirstByte(k, time.Now().Add(time.Hour), usual, false)
	}
	return p
}

func events(s *stats.Set, name string) string {
	if v := s.Events.Get(name); v != nil {
		return v.String()
	}
	return "0"
}

// Guards against second attempts of calls that must not be repeated or are beyond a limit, a slow attempt that is not
// cancelled, a failed second attempt that ends the call, and a promise that a call was not executed that may have been.
func TestHedge(t *testing.T) {
	const slow, start = "HANG", "HTTP/1.1 200 OK\nX-Id: $ID\nX-Sign: s1\nContent-Length: 4\n\ndo"
	const cut, stuck = start + "RESET", start + "HANG"
	const ok, notRun = "DELAYDELAY" + okResponse, "DELAYDELAY" + notExecuted // after the first attempt has failed
	for _, tt := range []struct {
		name             string
		kind             topo.CallKind
		attempts, budget int
		removed          bool // the key is removed after the first attempt began
		waiting          bool // the other upstream has stated that calls wait
		first, second    string
		status           int
		body             string
		won, lost        string
		refused          string
	}{
		{"won", topo.Idempotent, 2, 1, false, false, slow, okResponse, 200, "done", "1", "0", ""},
		{"fast first attempt", topo.Idempotent, 2, 1, false, false, okResponse, "", 200, "done", "0", "0", ""},
		{"not idempotent", topo.NonIdempotent, 2, 1, false, false, slow, "", 504, "deadline\n", "0", "0", ""},
		{"stream", topo.Stream, 2, 1, false, false, slow, "", 504, "deadline\n", "0", "0", ""},
		{"one attempt", topo.Idempotent, 1, 1, false, false, slow, "", 504, "deadline\n", "0", "0", ""},
		{"no retry budget", topo.Idempotent, 2, 0, false, false, slow, "", 504, "deadline\n", "0", "0", "retry_budget"},
		{"key removed", topo.Idempotent, 2, 1, true, false, slow, "", 504, "deadline\n", "0", "0", "key"},
		{"busy", topo.Idempotent, 2, 1, false, true, slow, "", 504, "deadline\n", "0", "0", "upstream"},
		{"second fails", topo.Idempotent, 2, 1, false, false, slow, serverError, 504, "deadline\n", "0", "1", ""},
		{"second not executed", topo.Idempotent, 2, 1, false, false, slow, notExecuted, 504, "deadline\n", "0", "1", ""},
		{"second breaks", topo.Idempotent, 2, 1, false, false, slow, "RESET", 504, "deadline\n", "0", "1", ""},
		{"second cut", topo.Idempotent, 2, 1, false, false, slow, cut, 502, "upstream_broken\n", "1", "0", ""},
		{"second hangs after its head", topo.Idempotent, 2, 1, false, false, slow, stuck, 504, "deadline\n", "1", "0", ""},
		{"first fails late", topo.Idempotent, 2, 1, false, false, "DELAY" + serverError, ok, 200, "done", "1", "0", ""},
		{
			"first breaks late, second not executed", topo.Idempotent, 3, 1, false, false,
			"DELAYRESET", notRun,
			502, "rejected_by_upstreams\n", "0", "1", "",
		},
		{"third", topo.Idempotent, 3, 1, false, false, slow, cut, 502, "rejected_by_upstreams\n", "1", "0", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newUpstream(t, tt.first), newUpstream(t, tt.second)
			before, after := keyedConfig("a", false), keyedConfig("", false)
			before.Routes[0].Kind, before.Routes[0].MaxAttempts = tt.kind, tt.attempts
			after.Version++
			var set *stats.Set
			checks := 0
			srv, _ := newServer(t, before, nil, nil, tt.budget, func(s *entry.Server) {
				s.Headers.Key, s.Headers.Workspace = "Authorization", "Tenant"
				s.Keys = &creds.Keys{Config: func() *topo.Config {
					if checks++; tt.removed && checks > 2 {
						return after
					}
					return before
				}}
				usual := time.Millisecond
				if tt.first == okResponse {
					// Longer than a fast attempt takes on a busy machine.
					usual = 400 * time.Millisecond
				}
				s.Hedges, set = warmPolicy(usual), s.Stats
				s.Balancer = &entry.Balancer{Domain: "x", Upstreams: func(string) []*topo.Upstream {
					return []*topo.Upstream{{ID: "a", Addr: a.addr, Domain: "x"}, {ID: "b", Addr: b.addr, Domain: "y"}}
				}}
				if tt.waiting {
					s.Balancer.SetLoad(time.Now(), "b", &topo.Load{Running: 1, Waiting: 1, Slots: 1})
				}
			})
			cancelled, sent := make(chan time.Time, 1), time.Now()
			go func() {
				if tt.first == slow {
					<-a.callerLeft
					cancelled <- time.Now()
				}
			}()
			status, body, header, err := send(t, srv.URL, "/p/x", "body",
				"X-Deadline", "900", "X-Model", "", "Authorization", "Bearer k")
			if err != nil || status != tt.status || body != tt.body || header.Get("Retry-After") != "" {
				t.Fatalf("status %d, %q, %v, %v, want %d, %q", status, body, header, err, tt.status, tt.body)
			}
			srv.Close()
			if won, lost := events(set, "hedges_won"), events(set, "hedges_lost"); won != tt.won || lost != tt.lost {
				t.Errorf("%s won, %s lost, want %s and %s", won, lost, tt.won, tt.lost)
			}
			if tt.refused != "" && events(set, "hedges_refused/"+tt.refused) != "1" {
				t.Errorf("not refused by %s: %v", tt.refused, set.Events.String())
			}
			wantSecond := map[bool]int{true: 1, false: 0}[tt.won != tt.lost]
			if n, m := len(a.requests()), len(b.requests()); n != 1 || m != wantSecond {
				t.Errorf("%d requests to the first upstream and %d to the second", n, m)
			}
			if tt.first == slow {
				select {
				case at := <-cancelled:
					if tt.won == "1" && at.Sub(sent) > 600*time.Millisecond {
						t.Errorf("the slow attempt was cancelled after %v", at.Sub(sent))
					}
				case <-time.After(5 * time.Second):
					t.Error("the slow attempt was not cancelled")
				}
			}
		})
	}
}
