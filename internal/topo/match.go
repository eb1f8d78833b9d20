package topo

import "strings"

// Match returns the route for the host name whose path prefix is the longest one that matches the path, or nil.
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

// PickService returns the service for a random number x in [0, 1), by the weights of the route's traffic split, or an
// empty string if the route has none.
func (r *Route) PickService(x float64) string {
	var sum float64
	for _, s := range r.TrafficSplit {
		sum += s.Weight
	}
	x *= sum
	for _, s := range r.TrafficSplit {
		if x < s.Weight {
			return s.Service
		}
		x -= s.Weight
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}
