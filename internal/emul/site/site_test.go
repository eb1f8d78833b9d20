package site_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/emul/site"
)

// Guards against calls that do not follow what upstreams state, with real hosts and sockets: while hosts restart, the
// leader changes and the store is away.
func TestStatements(t *testing.T) {
	const second = time.Second
	s := &site.Site{
		Hosts: 3, Engines: 4, Plain: 3, ModelRate: 80, PlainRate: 30, WorkTime: 80 * time.Millisecond, Duration: 8 * second,
		Seed: 1, RestartAt: []time.Duration{2 * second}, Outages: []site.Outage{{From: 4 * second, Until: 6 * second}},
		Statements: []site.Statement{
			{Upstream: "engine-3", From: second, Until: 8 * second, Limit: 2},
			{Upstream: "plain-0", From: second, Until: 8 * second, Limit: 2},
			{Upstream: "engine-1", From: 3 * second, Until: time.Hour, Leaving: true},
			{Upstream: "plain-1", From: 3 * second, Until: time.Hour, Leaving: true},
			{Upstream: "engine-2", From: 2 * second, Until: 5 * second, Hold: 1500 * time.Millisecond},
			{Upstream: "plain-2", From: 2 * second, Until: 5 * second, Hold: 1500 * time.Millisecond},
		},
	}
	r, err := s.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if v := r.Violations(); len(v) > 0 {
		t.Errorf("not followed: %+v", v)
	}
	out := r.Outcomes()
	if out["200"] < 150 {
		t.Errorf("only %d calls were served: %v", out["200"], out)
	}
	if t.Failed() {
		_ = r.Write(os.Stderr)
	}
}

// Guards against calls that do not follow what upstreams state while restarts overlap and some hosts, or all, lose the
// store. More seeds: go run ./cmd/load --random 50.
func TestRandomStatements(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			r, err := site.Random(seed, 8*time.Second).Run(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if v := r.Violations(); len(v) > 0 {
				t.Errorf("not followed: %+v", v)
				_ = r.Write(os.Stderr)
			}
		})
	}
}

// Guards against a call that reaches an upstream with its key or with another workspace than that of the key, against
// units beyond the quota of a hot workspace, and against refusals of the others because of quotas: with uneven
// upstreams and a restart of a host.
func TestWorkspaces(t *testing.T) {
	const modelRate, plainRate = 40, 20
	s := &site.Site{
		Hosts: 3, Engines: 4, Plain: 3, ModelRate: modelRate, PlainRate: plainRate, WorkTime: 40 * time.Millisecond,
		Duration: 6 * time.Second, Seed: 1, Speeds: []float64{0.55, 1.2},
		Workspaces: site.NewWorkspaces(4, 1, 6, modelRate, plainRate, []int{0, 1, 1}),
	}
	r, err := s.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, breach := range r.Breaches() {
		t.Error(breach)
	}
	for _, u := range r.Usages() {
		switch over := u.Refused["over_quota"]; {
		case u.Served == 0:
			t.Errorf("no call of %s was served", u.Workspace.Name)
		case u.Workspace.Load > 1 && over == 0:
			t.Errorf("no call of %s was refused because of its quota", u.Workspace.Name)
		case u.Workspace.Load == 1 && float64(over) > 0.03*float64(u.Within):
			t.Errorf("%d of %d calls of %s within its quota were refused", over, u.Within, u.Workspace.Name)
		}
	}
	if t.Failed() {
		_ = r.Write(os.Stderr)
	}
}
