package rendez_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/figreel/figreel/internal/rendez"
)

// Guards against ranks that depend on the input order or change when another member is removed, and against an uneven
// distribution, where few members rank first for most keys.
func TestRank(t *testing.T) {
	var members []string
	for i := range 40 {
		members = append(members, fmt.Sprintf("host-%d", i))
	}
	firstCounts := make(map[string]int)
	for i := range 400 {
		key := fmt.Sprintf("pool/%d", i)
		ranked := rendez.Rank(key, members)
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if !slices.Equal(ranked, rendez.Rank(key, reversed)) {
			t.Fatalf("rank for %s depends on the order of the members", key)
		}
		if !slices.Equal(ranked[1:], rendez.Rank(key, ranked[1:])) {
			t.Fatalf("rank for %s changes when the first member is removed", key)
		}
		firstCounts[ranked[0]]++
	}
	for m, n := range firstCounts {
		if n > 30 {
			t.Errorf("%s is first for %d of 400 keys, expected about 10", m, n)
		}
	}
}
