package site

import (
	"net/http"
	"testing"
	"time"
)

// Guards against checks of upstreams that pass a wrong workspace, credentials, or more units than a quota allows.
func TestBreaches(t *testing.T) {
	const name = "ws-0"
	header := func(id, workspace, key string) http.Header {
		h := http.Header{headerID: {id}, headerWorkspace: {workspace}, headerTokens: {"8800,440"}}
		if key != "" {
			h.Set(headerKey, key)
		}
		return h
	}
	newReport := func() *Report {
		return &Report{usages: newUsages(NewWorkspaces(2, 0, 1, 40, 20, nil))}
	}
	tests := map[string]struct {
		header http.Header
		want   int
	}{
		"as it should be":     {header("c1.ws-0@h", name, ""), 0},
		"other workspace":     {header("c1.ws-0@h", "ws-1", ""), 1},
		"claimed workspace":   {header("c1.ws-0@h", "claimed", ""), 1},
		"no workspace":        {http.Header{headerID: {"c1.ws-0@h"}}, 1},
		"credentials":         {header("c1.ws-0@h", name, "Bearer x"), 1},
		"call that none sent": {header("c1@h", name, ""), 1},
	}
	for what, tt := range tests {
		r := newReport()
		r.check(tt.header, "engine-0", true, 0)
		if got := r.Breaches(); len(got) != tt.want {
			t.Errorf("%s: breaches %q, want %d", what, got, tt.want)
		}
	}
	limit := allowedUnits(&newReport().usages[name].Workspace.Quota)
	for _, over := range []bool{false, true} {
		r := newReport()
		n := int(limit / (longPrompt + longOutput))
		if over {
			n++
		}
		for i := range n {
			id := "c" + string(rune('A'+i%26)) + string(rune('A'+i/26)) + ".ws-0@h"
			// The second attempt of a call runs no further units, and the last calls are just within the window.
			for range 2 {
				r.check(header(id, name, ""), "engine-0", true, time.Duration(i)*7999*time.Millisecond/time.Duration(n))
			}
		}
		r.check(header("later.ws-0@h", name, ""), "engine-0", true, 16*time.Second)
		if got := r.Breaches(); len(got) > 0 != over {
			t.Errorf("%d calls, limit %.0f units: breaches %q", n, limit, got)
		}
	}
}
