package vers_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/vers"
)

const life = 20 * time.Second

func listed(versions ...string) []*topo.Upstream {
	var out []*topo.Upstream
	for i, v := range versions {
		out = append(out, &topo.Upstream{ID: fmt.Sprint("e", i), Service: "llm", Software: v})
	}
	return out
}

// Guards against a version that is forgotten while its streams may still be taken up, and against one that is
// remembered for ever, because all take-ups of unknown streams would be rejected.
func TestVersions(t *testing.T) {
	type step struct {
		at      time.Duration
		list    []string
		changes bool // the list has changed
		want    []string
	}
	for _, tt := range []struct {
		name  string
		steps []step
	}{
		{"one version", []step{
			{0, []string{"v1"}, true, []string{"v1"}},
			{life, nil, false, []string{"v1"}},
			{10 * life, nil, false, []string{"v1"}},
		}},
		{"a second version", []step{
			{0, []string{"v1"}, true, []string{"v1"}},
			{time.Second, []string{"v1", "v2"}, true, []string{"v1", "v2"}},
		}},
		{"the first version leaves", []step{
			{0, []string{"v1", "v2"}, true, []string{"v1", "v2"}},
			{time.Second, []string{"v2"}, true, []string{"v1", "v2"}},
			{life, nil, false, []string{"v1", "v2"}},
			{time.Second + life + 1, nil, false, []string{"v2"}},
		}},
		{"the first version leaves after a long time without changes", []step{
			{0, []string{"v1", "v2"}, true, []string{"v1", "v2"}},
			{10 * life, []string{"v2"}, true, []string{"v1", "v2"}},
			{11 * life, nil, false, []string{"v1", "v2"}},
			{11*life + 1, []string{"v2"}, true, []string{"v2"}},
		}},
		{"no upstream for a while", []step{
			{0, []string{"v1"}, true, []string{"v1"}},
			{time.Second, nil, true, []string{"v1"}},
			{2 * time.Second, []string{"v2"}, true, []string{"v1", "v2"}},
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			start := time.Now()
			tb := vers.Table{Life: life}
			for _, s := range tt.steps {
				now := start.Add(s.at)
				if s.changes {
					tb.SetListed(now, listed(s.list...))
				}
				if got := tb.Versions(now, "llm"); !slices.Equal(got, s.want) {
					t.Errorf("at %v: versions %q, want %q", s.at, got, s.want)
				}
				if mixed := tb.Mixed(now); (mixed["llm"] != nil) != (len(s.want) > 1) {
					t.Errorf("at %v: mixed %q", s.at, mixed)
				}
			}
		})
	}
}

// Guards against a record that is lost while its stream may be taken up, that changes, or that is kept for ever.
func TestRecords(t *testing.T) {
	start := time.Now()
	tb := vers.Table{Life: life}
	tb.Begin(start, vers.Record{Stream: vers.Stream("a"), Software: "v1"})
	tb.Learn(start, vers.Record{Stream: vers.Stream("a"), Software: "v2"}, vers.Record{Stream: vers.Stream("b"), Software: "v2"})
	tb.Load(start, vers.Record{Stream: vers.Stream("c"), Software: "v1"})
	check := func(id, want string) {
		t.Helper()
		if got, ok := tb.Lookup(id); got.Software != want || ok != (want != "") {
			t.Errorf("stream of %s: version %q, %v, want %q", id, got, ok, want)
		}
	}
	check("a", "v1")
	check("b", "v2")
	check("c", "v1")
	check("d", "")
	if own := tb.Own(); len(own) != 1 || own[0].Stream != vers.Stream("a") {
		t.Errorf("own records %v", own)
	}
	if own := tb.UnsavedOwn(); len(own) != 1 || own[0].Stream != vers.Stream("a") {
		t.Errorf("own records to save %v", own)
	}
	if n := len(tb.Unsaved()); n != 2 {
		t.Errorf("%d records to save, want those begun here and learned", n)
	}
	tb.SetSaved(tb.Unsaved(), true)
	if n := len(tb.Unsaved()); n != 0 {
		t.Errorf("%d records to save after they were saved", n)
	}
	tb.Forget()
	if n := len(tb.Unsaved()); n != 3 {
		t.Errorf("%d records to save after the store was restored, want all", n)
	}
	late := start.Add(life)
	tb.Begin(late, vers.Record{Stream: vers.Stream("e"), Software: "v1"})
	check("a", "v1")
	tb.Begin(late.Add(life), vers.Record{Stream: vers.Stream("f"), Software: "v1"})
	check("a", "")
	check("e", "v1")
	check("f", "v1")
}

// Guards against a record of a host of an earlier release, which names no service, that takes the place of one that
// does, or is not completed by it.
func TestRecordsWithoutService(t *testing.T) {
	with := vers.Record{Stream: vers.Stream("a"), Software: "v1", Service: "llm"}
	without := vers.Record{Stream: vers.Stream("a"), Software: "v1"}
	for _, list := range [][]vers.Record{{with, without}, {without, with}, {with}} {
		tb := vers.Table{Life: life}
		for _, r := range list {
			tb.Learn(time.Now(), r)
		}
		if got, _ := tb.Lookup("a"); got != (vers.Version{Service: "llm", Software: "v1"}) {
			t.Errorf("%+v after %+v", got, list)
		}
		if got := tb.Unsaved(); len(got) != 1 || got[0] != with {
			t.Errorf("records to save %+v", got)
		}
	}
}

// Guards against an assumption about streams without records that is kept when it may be wrong: for too long, after it
// was contradicted, or after a host was lost beside a second version.
func TestAssumptions(t *testing.T) {
	start := time.Now()
	const short = time.Second
	v1 := vers.Assumption{Service: "llm", Software: "v1"}
	aged := vers.Assumption{Service: "llm", Software: "v1", AgeMS: (life - short).Milliseconds()}
	for _, tt := range []struct {
		name   string
		listed []string
		made   []vers.Assumption
		lost   bool // a host is lost
		after  time.Duration
		want   string
	}{
		{"made", []string{"v1", "v2"}, []vers.Assumption{v1}, false, life, "v1"},
		{"too old", []string{"v1", "v2"}, []vers.Assumption{v1}, false, life + 1, ""},
		{"of another host", []string{"v1", "v2"}, []vers.Assumption{aged}, false, short, "v1"},
		{"of another host, too old", []string{"v1", "v2"}, []vers.Assumption{aged}, false, short + 1, ""},
		{"made again", []string{"v1", "v2"}, []vers.Assumption{v1, aged}, false, life, "v1"},
		{"contradicted", []string{"v1", "v2"}, []vers.Assumption{v1, {Service: "llm", Software: "v2"}}, false, 0, ""},
		{"host lost", []string{"v1", "v2"}, []vers.Assumption{v1}, true, 0, ""},
		{"host lost while one version serves", []string{"v1"}, []vers.Assumption{v1}, true, 0, "v1"},
		{"other service", []string{"v1"}, []vers.Assumption{{Service: "other", Software: "v1"}}, false, 0, ""},
	} {
		tb := vers.Table{Life: life}
		tb.SetListed(start, listed(tt.listed...))
		for _, a := range tt.made {
			tb.Assume(start, a)
		}
		if tt.lost {
			tb.DropAssumptions(start)
		}
		if got, ok := tb.Assumed(start.Add(tt.after), "llm"); got != tt.want || ok != (got != "") {
			t.Errorf("%s: %q, %v, want %q", tt.name, got, ok, tt.want)
		}
	}
}
