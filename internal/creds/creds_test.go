package creds_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/creds"
	"github.com/figreel/figreel/internal/topo"
)

func workspace(name string, keys ...string) topo.Workspace {
	w := topo.Workspace{Name: name}
	for _, k := range keys {
		w.Keys = append(w.Keys, topo.DigestKey(k))
	}
	return w
}

// Guards against calls that are served without a key of the configuration, or for another workspace than that of their
// key, and against calls refused for the form of a valid key.
func TestCheck(t *testing.T) {
	long := strings.Repeat("k", 4<<10)
	cfg := &topo.Config{Version: 1, Workspaces: []topo.Workspace{
		workspace("a", "k1", "both"), workspace("b", "both", "a+b/c=="), workspace("long", long, long+"k", ""),
	}}
	warnings := ""
	keys := &creds.Keys{Config: func() *topo.Config { return cfg }, Shared: func(v int64, n int, owner, other string) {
		warnings += fmt.Sprintln(v, n, owner, other)
	}}
	for _, tt := range []struct{ credentials, workspace, refusal string }{
		{"", "", creds.ReasonNoKey},
		{"Bearer K1", "", creds.ReasonUnknownKey},
		{"Bearer k1", "a", ""},
		{"bEARER  a+b/c==", "b", ""},
		{"Bearer both", "a", ""},
		{"Bearer " + long, "long", ""},
		{"Bearer " + long + "k", "", creds.ReasonBadKey},
		{"Bearer k1|Bearer k1", "", creds.ReasonBadKey},
		{"Bearer k1|", "", creds.ReasonBadKey},
		{"Bearer ", "", creds.ReasonBadKey},
		{"k1", "", creds.ReasonBadKey},
		{"Basic k1", "", creds.ReasonBadKey},
		{"Bearer k1 k1", "", creds.ReasonBadKey},
	} {
		values := strings.Split(tt.credentials, "|")
		if tt.credentials == "" {
			values = nil
		}
		for public, want := range map[bool]string{false: tt.refusal, true: ""} {
			w, keyed, refusal := keys.Check(public, values)
			if w == nil {
				w = &topo.Workspace{}
			}
			if w.Name != tt.workspace || refusal != want || !keyed {
				t.Errorf("%.30q, public %v: %q %q %v", tt.credentials, public, w.Name, refusal, keyed)
			}
		}
	}
	if warnings != "1 1 a b\n" {
		t.Errorf("warnings %q, want one for the key of a and b", warnings)
	}
	cfg = &topo.Config{Version: 2}
	if w, keyed, refusal := keys.Check(false, nil); w != nil || keyed || refusal != "" {
		t.Errorf("without workspaces: %v %v %q", w, keyed, refusal)
	}
}

// Guards against a key that is accepted although the newest configuration may have removed it, also by a host that is
// suspended between two steps of the check, and against public routes that depend on the store.
func TestStaleness(t *testing.T) {
	now, confirmedAt := time.Hour, time.Hour
	cfg := &topo.Config{Version: 1, Workspaces: []topo.Workspace{workspace("a", "k")}}
	suspend := func() {}
	keys := &creds.Keys{
		RevokeTime: 5 * time.Second, Now: func() time.Duration { return now },
		ConfirmedAt: func() time.Duration { return confirmedAt },
		Config:      func() *topo.Config { suspend(); return cfg },
	}
	for _, tt := range []struct {
		confirmedAt time.Duration
		public      bool
		key         string
		refusal     string
	}{
		{now - 4*time.Second, false, "k", ""},
		{now - 4*time.Second - 1, false, "k", creds.ReasonStale},
		{0, false, "k", creds.ReasonStale},
		{0, false, "unknown", creds.ReasonStale},
		{0, true, "k", ""},
	} {
		confirmedAt = tt.confirmedAt
		if _, _, got := keys.Check(tt.public, []string{"Bearer " + tt.key}); got != tt.refusal {
			t.Errorf("%+v: %q", tt, got)
		}
	}
	confirmedAt = now
	suspend = func() {
		now, confirmedAt = now+time.Minute, now+time.Minute
		cfg = &topo.Config{Version: 2, Workspaces: []topo.Workspace{workspace("a", "other")}}
	}
	if _, _, got := keys.Check(false, []string{"Bearer k"}); got != creds.ReasonUnknownKey {
		t.Errorf("key removed during the check: %q", got)
	}
}
