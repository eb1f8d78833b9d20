package serve

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/figreel/figreel/internal/wire"
)

// TestAddresses guards against callers that are sent to another failure domain without need, to a leaving host, or
// first to a host that may be dead.
func TestAddresses(t *testing.T) {
	member := func(name, domain string, state wire.MemberState) wire.Member {
		return wire.Member{Name: name, Domain: domain, State: state, CallerURL: "http://" + name}
	}
	for _, c := range []struct {
		name    string
		members []wire.Member
		want    string
	}{
		{"own failure domain first", []wire.Member{
			member("a", "far", wire.Alive), member("b", "near", wire.Alive),
		}, "b a"},
		{"leaving and dead hosts never", []wire.Member{
			member("a", "near", wire.Leaving), member("b", "near", wire.Dead), member("c", "far", wire.Alive),
		}, "c"},
		{"suspected hosts last, also of the own failure domain", []wire.Member{
			member("a", "near", wire.Suspect), member("b", "far", wire.Suspect), member("c", "far", wire.Alive),
			member("d", "near", wire.Alive),
		}, "d c a b"},
		{"suspected hosts when there is no other", []wire.Member{member("a", "near", wire.Suspect)}, "a"},
		{"none", nil, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var names []string
			for _, a := range addresses(c.members, "near", rand.Shuffle) {
				if a.URL != "http://"+a.Name {
					t.Errorf("%s has address %s", a.Name, a.URL)
				}
				names = append(names, a.Name)
			}
			if got := strings.Join(names, " "); got != c.want {
				t.Errorf("hosts are %q, want %q", got, c.want)
			}
		})
	}
}

// TestAddressesSpread guards against an uneven distribution of callers over hosts.
func TestAddressesSpread(t *testing.T) {
	const perDomain, queries = 6, 12_000
	var live []wire.Member
	for i := range 2 * perDomain {
		live = append(live, wire.Member{Name: fmt.Sprint(i), Domain: []string{"near", "far"}[i%2]})
	}
	before := slices.Clone(live)
	r := rand.New(rand.NewPCG(1, 1))
	// Callers use the host at rank 0 and fall back to the next ones.
	for _, rank := range []int{0, 1, perDomain, perDomain + 1} {
		got := make(map[string]int)
		for range queries {
			got[addresses(live, "near", r.Shuffle)[rank].Name]++
		}
		want := queries / perDomain
		for name, n := range got {
			// 2000 expected draws have a standard deviation of 41.
			if n < want-200 || n > want+200 {
				t.Errorf("host %s is at rank %d in %d of %d responses, want about %d", name, rank, n, queries, want)
			}
		}
		if len(got) != perDomain {
			t.Errorf("%d hosts are at rank %d, want %d", len(got), rank, perDomain)
		}
	}
	if !slices.Equal(live, before) {
		t.Error("the list of members was reordered")
	}
}
