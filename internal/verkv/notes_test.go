package verkv_test

import (
	"fmt"
	"testing"

	"github.com/figreel/figreel/internal/store"
	"github.com/figreel/figreel/internal/store/stub"
	"github.com/figreel/figreel/internal/verkv"
)

// Guards against notes that say more than is known: a single version after a restore of the store, beside several or in
// an invalid note, and against changes that do not bring the store to the versions that are wanted.
func TestNotes(t *testing.T) {
	const prefix = "p/"
	s := &stub.Store{}
	invalid := 0
	read := func() *verkv.Notes {
		n, err := verkv.Read(t.Context(), s, prefix, func(string, error) { invalid++ })
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	check := func(name, service string, several int, single string) {
		t.Helper()
		n := read()
		if got := n.Several(service); len(got) != several {
			t.Errorf("%s: versions %q, want %d", name, got, several)
		}
		if got := n.Single(service); got != single {
			t.Errorf("%s: single version %q, want %q", name, got, single)
		}
	}
	write := func(want map[string][]string, most int) (services int) {
		next, puts, remove := read().Changes(want, most)
		as, err := s.Commit(t.Context(), store.Txn{Era: read().Era, Puts: puts, Remove: remove})
		if err != nil {
			t.Fatal(err)
		}
		if _, puts, remove := next.Changes(want, most); most > len(want) && len(puts)+len(remove) > 0 {
			t.Errorf("changes after the change at %v: %v, %v", as, puts, remove)
		}
		return len(puts)
	}
	check("nothing written", "a", 0, "")
	write(map[string][]string{"a": {"v1"}, "b": {"v1", "v2"}}, 9)
	check("written", "a", 0, "v1")
	check("written", "b", 2, "")
	write(map[string][]string{"a": {"v1", "v2"}, "b": {"v2"}}, 9)
	check("changed", "a", 2, "")
	check("changed", "b", 0, "v2")
	s.Restore(s.Copy())
	check("restored", "b", 0, "")
	write(map[string][]string{"b": {"v2"}}, 9)
	check("written again", "b", 0, "v2")
	check("removed", "a", 0, "")
	s.Set(prefix+"mixed/b", `["v1","v2"]`)
	check("of a host of an earlier release", "b", 2, "")
	if got := read().SingleKeys(map[string][]string{"a": nil, "b": nil}); len(got) != 1 || got[0] != prefix+"single/b" {
		t.Errorf("keys %q", got)
	}
	s.Set(prefix+"single/c", "?")
	check("invalid", "c", 0, "")
	read().Each(func(service, version string) {
		if version == "" {
			t.Errorf("service %s has an empty version", service)
		}
	})
	if invalid == 0 {
		t.Error("the invalid note was not reported")
	}
	many := make(map[string][]string)
	for i := range 9 {
		many[fmt.Sprint("s", i)] = []string{"v1"}
	}
	if n := write(many, 4); n > 4 {
		t.Errorf("%d services written at once, want at most 4", n)
	}
}
