package serve

import (
	"math/rand/v2"
	"slices"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/wire"
)

// addresses returns live hosts for callers of a failure domain: those of the domain first, in random order within both
// parts, so that callers spread. Suspected hosts come last, because one that missed a probe is the worst spare.
func addresses(live []wire.Member, domain string, shuffle func(n int, swap func(i, j int))) []apigw.Address {
	hosts := slices.DeleteFunc(slices.Clone(live), func(m wire.Member) bool { return m.State > wire.Suspect })
	shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b wire.Member) int {
		return distance(a, domain) - distance(b, domain)
	})
	out := make([]apigw.Address, 0, len(hosts))
	for _, m := range hosts {
		out = append(out, apigw.Address{Name: m.Name, URL: m.CallerURL, FailureDomain: m.Domain})
	}
	return out
}

// distance ranks a host for callers of a failure domain, with the best at 0.
func distance(m wire.Member, domain string) int {
	n := 0
	if m.Domain != domain {
		n++
	}
	if m.State == wire.Suspect {
		n += 2
	}
	return n
}

func (h *Host) addresses(domain, _ string) []apigw.Address {
	return addresses(h.table.Live(), domain, rand.Shuffle)
}
