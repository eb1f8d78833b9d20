package serve

import (
	"math/rand/v2"
	"slices"

	"github.com/figreel/figreel/internal/apigw"
	"github.com/figreel/figreel/internal/wire"
)

// addresses returns the addresses of live hosts for callers in a failure domain. Hosts of that domain come before
// others, and suspected hosts come last, because a host that missed a probe is the least likely to respond. Hosts of
// equal rank are shuffled, so that callers spread over them.
func addresses(live []wire.Member, domain string, shuffle func(n int, swap func(i, j int))) []apigw.Address {
	hosts := slices.DeleteFunc(slices.Clone(live), func(m wire.Member) bool { return m.State > wire.Suspect })
	shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b wire.Member) int {
		return rank(a, domain) - rank(b, domain)
	})
	out := make([]apigw.Address, 0, len(hosts))
	for _, m := range hosts {
		out = append(out, apigw.Address{Name: m.Name, URL: m.CallerURL, FailureDomain: m.Domain})
	}
	return out
}

// rank returns the preference of a host for callers in a failure domain; the best rank is 0.
func rank(m wire.Member, domain string) int {
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
	return addresses(h.members.Live(), domain, rand.Shuffle)
}
