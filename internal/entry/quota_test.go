package entry_test

import (
	"context"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/creds"
	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

// usedUp refuses all calls of a workspace.
type usedUp struct{ *fakeTickets }

func (u usedUp) RequestTicket(_ context.Context, req sched.Request) (sched.Decision, error) {
	return sched.Decision{
		Kind: sched.Rejected, Call: req.Call, Reason: sched.ReasonOverQuota, RetryAfter: 1500 * time.Millisecond,
	}, nil
}

func (u usedUp) ChargePlain(workspace string, cost float64) (time.Duration, bool) {
	return 1500 * time.Millisecond, workspace != "a" || cost != 1
}

// Guards against a call beyond the quota that reaches an upstream, or whose response does not promise that it was not
// executed, and against a workspace without a quota that is asked for one.
func TestOverQuota(t *testing.T) {
	for _, path := range []string{"/m/x", "/p/x"} {
		for _, rate := range []float64{0, 10} {
			cfg := keyedConfig("a", false)
			cfg.Workspaces[0].Quota = topo.Quota{Rate: rate, Burst: rate}
			up := newUpstream(t, okResponse)
			srv, _ := newServer(t, cfg, []*upstream{up}, []*upstream{up}, 5, func(s *entry.Server) {
				s.Headers.Key, s.Headers.Workspace = "Authorization", "Tenant"
				s.Keys = &creds.Keys{Config: s.Config}
				used := usedUp{s.Tickets.(*fakeTickets)}
				if s.Quotas = used; rate > 0 {
					s.Tickets = used
				}
			})
			status, body, header, err := send(t, srv.URL, path, "body", "Authorization", "Bearer k")
			want, wantBody, retryAfter, sent := 200, "done", "", 1
			if rate > 0 {
				want, wantBody, retryAfter, sent = 429, "over_quota\n", "1.500", 0
			}
			if err != nil || status != want || body != wantBody || header.Get("Retry-After") != retryAfter {
				t.Errorf("%s at rate %.0f: %d %q %v %v", path, rate, status, body, header, err)
			}
			if n := len(up.requests()); n != sent {
				t.Errorf("%s at rate %.0f: %d requests sent", path, rate, n)
			}
		}
	}
}
