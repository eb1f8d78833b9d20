package poison

import "time"

// maxServed bounds how many served requests are remembered in each of two generations.
const maxServed = 4096

// servedRequests remembers which requests were served lately; its zero value is empty. Each call has a request, so they
// are kept apart from the evidence, which they would displace.
type servedRequests struct {
	recent, old map[uint64]time.Time
}

// add records that a request was served.
func (s *servedRequests) add(now time.Time, request uint64) {
	if s.recent == nil || len(s.recent) >= maxServed {
		s.old, s.recent = s.recent, make(map[uint64]time.Time)
	}
	s.recent[request] = now
}

// at returns when a request was served, or the zero time if that is not known.
func (s *servedRequests) at(request uint64) time.Time {
	if at, ok := s.recent[request]; ok {
		return at
	}
	return s.old[request]
}
