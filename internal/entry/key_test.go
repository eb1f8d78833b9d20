package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/creds"
	"github.com/figreel/figreel/internal/entry"
	"github.com/figreel/figreel/internal/topo"
)

// keyedConfig returns a configuration in which the workspace has the key "k".
func keyedConfig(workspace string, public bool) *topo.Config {
	cfg := config(topo.Idempotent, false, 3)
	digest := topo.DigestKey(map[bool]string{true: "k", false: "other"}[workspace != ""])
	cfg.Workspaces = []topo.Workspace{{Name: workspace, Keys: []topo.KeyDigest{digest}, Priority: 2, HasPriority: true}}
	for i := range cfg.Routes {
		cfg.Routes[i].Priority, cfg.Routes[i].Public = 1, public
	}
	return cfg
}

// Guards against calls without a valid key that reach an upstream, keys or names of workspaces from clients that do,
// attempts with a key that was removed after the call had been admitted, and calls whose outcome is misstated then.
func TestKeys(t *testing.T) {
	a, b, none, stale := keyedConfig("a", false), keyedConfig("b", false), keyedConfig("", false), &topo.Config{}
	type configs []*topo.Config // active at the check on admission and at that of each attempt
	type scripts []string       // of the upstreams
	ok := scripts{okResponse, okResponse}
	for _, tt := range []struct {
		name, path, key string
		configs         configs
		scripts         scripts
		status          int
		body, want      string // want has the workspace and the key in each request that an upstream got
	}{
		{"model", "/m/x", "Bearer k", configs{a}, ok, 200, "done", "[a] []"},
		{"no key", "/p/x", "", configs{a}, nil, 401, "no_key\n", ""},
		{"no route", "/q", "", configs{a}, nil, 404, "no_route\n", ""},
		{"public", "/p/x", "Bearer k", configs{keyedConfig("a", true)}, ok, 200, "done", "[a] []"},
		{"public, unknown key", "/p/x", "Bearer k", configs{keyedConfig("", true)}, ok, 200, "done", "[] []"},
		{
			"no workspaces", "/p/x", "Bearer k",
			configs{config(topo.Idempotent, false, 3)},
			ok, 200, "done",
			"[forged] [Bearer k]",
		},
		{"moved before the attempt", "/p/x", "Bearer k", configs{a, b}, ok, 200, "done", "[b] []"},
		{"removed before the attempt", "/m/x", "Bearer k", configs{a, none}, nil, 401, "unknown_key\n", ""},
		{
			"moved after an error", "/m/x", "Bearer k",
			configs{a, a, b},
			scripts{serverError, okResponse},
			200, "done",
			"[a] [][b] []",
		},
		{
			"removed, not executed", "/p/x", "Bearer k",
			configs{a, a, none},
			scripts{notExecuted, notExecuted},
			401,
			"unknown_key\n", "[a] []",
		},
		{"removed, broken", "/m/x", "Bearer k", configs{a, a, none}, scripts{"RESET"}, 502, "unknown_key\n", "[a] []"},
		{
			"removed after an error", "/p/x", "Bearer k",
			configs{a, a, none},
			scripts{serverError, serverError},
			500,
			"oops", "[a] []",
		},
		{"stale", "/p/x", "Bearer k", configs{stale}, nil, 503, "configuration_stale\n", ""},
		{"stale before the attempt", "/m/x", "Bearer k", configs{a, stale}, nil, 503, "configuration_stale\n", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			script := append(tt.scripts, "", "")
			ups := []*upstream{newUpstream(t, script[0]), newUpstream(t, script[1])}
			var active *topo.Config
			srv, tk := newServer(t, a, ups, ups, 5, func(s *entry.Server) {
				s.Headers.Key, s.Headers.Workspace = "Authorization", "Tenant"
				s.Keys = &creds.Keys{
					RevokeTime: time.Second, Now: func() time.Duration {
						active, tt.configs = tt.configs[0], tt.configs[min(1, len(tt.configs)-1):]
						return time.Hour
					},
					ConfirmedAt: func() time.Duration { return time.Duration(active.Version) * time.Hour },
					Config:      func() *topo.Config { return map[bool]*topo.Config{true: a, false: active}[active == stale] },
				}
				if tt.configs[0].Version > 0 {
					s.Config = func() *topo.Config { return tt.configs[0] }
				}
			})
			header := []string{"Tenant", "forged", "Authorization", tt.key}
			if tt.key == "" {
				header = header[:2]
			}
			status, body, answer, err := send(t, srv.URL, tt.path, "body", header...)
			if err != nil || status != tt.status || body != tt.body {
				t.Fatalf("status %d, %q, %v, want %d, %q", status, body, err, tt.status, tt.body)
			}
			if (answer.Get("Retry-After") != "") != (status == http.StatusServiceUnavailable) {
				t.Errorf("Retry-After %q with status %d", answer.Get("Retry-After"), status)
			}
			got := ""
			for _, r := range append(ups[0].requests(), ups[1].requests()...) {
				got += fmt.Sprint(r.Header.Values("Tenant"), " ", r.Header.Values("Authorization"))
				if p := r.Header.Get("X-Priority"); tt.path == "/m/x" && p != "7" {
					t.Errorf("priority %q, want 7", p)
				}
			}
			if got != tt.want {
				t.Errorf("workspaces and keys %s, want %s", got, tt.want)
			}
			if srv.Close(); len(tk.outcomes) != tk.granted || tk.granted > 0 && tk.requests[0].Workspace != "a" {
				t.Errorf("%d tickets released of %d for %+v", len(tk.outcomes), tk.granted, tk.requests)
			}
		})
	}
}
