package site

import "strings"

// Match returns the route of the host with the longest prefix that begins the path, or nil.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}

// Pick returns the service for a draw between 0 and 1, by the weights of the route's shares.
func (r *Route) Pick(draw float64) string {
	var sum float64
	for _, s := range r.Shares {
		sum += s.Weight
	}
	draw *= sum
	for _, s := range r.Shares {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
