package rendez

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the members sorted by the hash of key and member, highest first; ties are broken by name.
// Removing a member does not reorder the others.
func Rank(key string, members []string) []string {
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m] = xxhash.Sum64String(key + "\x00" + m)
	}
	ranked := append([]string(nil), members...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if scores[a] != scores[b] {
			return scores[a] > scores[b]
		}
		return a < b
	})
	return ranked
}
