package topo

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

// PickService returns the service for a draw between 0 and 1, by the weights of the route's shares.
func (r *Route) PickService(draw float64) string {
	var sum float64
	for _, s := range r.TrafficSplit {
		sum += s.Weight
	}
	draw *= sum
	for _, s := range r.TrafficSplit {
		if draw < s.Weight {
			return s.Service
		}
		draw -= s.Weight
	}
	if len(r.TrafficSplit) == 0 {
		return ""
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}
