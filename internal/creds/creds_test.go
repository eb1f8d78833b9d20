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
// key, against calls refused for the form of a valid key, and against a key that is accepted although the newest
// configuration may have removed it, also by a host that is suspended between two steps of the check.
func TestCheck(t *testing.T) {
	long := strings.Repeat("k", 4<<10)
	cfg := &topo.Config{Version: 1, Workspaces: []topo.Workspace{
		workspace("a", "k1", "both"), workspace("b", "both", "a+b/c=="), workspace("long", long, long+"k", ""),
	}}
	warnings, now, confirmedAt, suspend := "", time.Hour, time.Hour, func() {}
	keys := &creds.Keys{
		RevokeTime: 5 * time.Second, Now: func() time.Duration { return now },
		ConfirmedAt: func() time.Duration { return confirmedAt },
		Config:      func() *topo.Config { defer suspend(); return cfg },
		Shared:      func(v int64, n int, owner, other string) { warnings += fmt.Sprintln(v, n, owner, other) },
	}
	for _, tt := range []struct {
		credentials, workspace, refusal string
		age                             time.Duration
	}{
		{"", "", creds.ReasonNoKey, 0},
		{"Bearer k1", "a", "", 0},
		{"bEARER  a+b/c==", "b", "", 0},
		{"Bearer both", "a", "", 0},
		{"Bearer " + long, "long", "", 0},
		{"Bearer K1", "", creds.ReasonUnknownKey, 0},
		{"Bearer " + long + "k", "", creds.ReasonBadKey, 0},
		{"Bearer k1|Bearer k1", "", creds.ReasonBadKey, 0},
		{"Bearer k1|", "", creds.ReasonBadKey, 0},
		{"Bearer ", "", creds.ReasonBadKey, 0},
		{"Basic k1", "", creds.ReasonBadKey, 0},
		{"k1", "", creds.ReasonBadKey, 0},
		{"Bearer k1 k1", "", creds.ReasonBadKey, 0},
		{"Bearer k1", "a", "", 4 * time.Second},
		{"Bearer k1", "a", creds.ReasonStale, 4*time.Second + 1},
		{"Bearer new", "", creds.ReasonStale, now},
		{"", "", creds.ReasonNoKey, now},
	} {
		values := strings.Split(tt.credentials, "|")
		if tt.credentials == "" {
			values = nil
		}
		confirmedAt = now - tt.age
		for public, refusal := range map[bool]string{false: tt.refusal, true: ""} {
			w, keyed, got := keys.Check(public, values)
			if w == nil {
				w = &topo.Workspace{}
			}
			if w.Name != tt.workspace && got == "" || got != refusal || got != "" && w.Name != "" || !keyed {
				t.Errorf("%.30q of age %v, public %v: %q %q %v", tt.credentials, tt.age, public, w.Name, got, keyed)
			}
		}
	}
	if warnings != "1 1 a b\n" {
		t.Errorf("warnings %q, want one for the key of a and b", warnings)
	}
	confirmedAt, suspend = now-time.Minute, func() { confirmedAt = now }
	if _, _, got := keys.Check(false, []string{"Bearer k1"}); got != creds.ReasonStale {
		t.Errorf("old configuration, confirmed again after it was read: %q", got)
	}
	suspend, cfg = func() {}, &topo.Config{Version: 3}
	if w, keyed, refusal := keys.Check(false, nil); w != nil || keyed || refusal != "" {
		t.Errorf("without workspaces: %v %v %q", w, keyed, refusal)
	}
}
