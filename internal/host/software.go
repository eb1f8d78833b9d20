package host

import (
	"time"

	"github.com/figreel/figreel/internal/sched"
)

// softwareOf returns the software version that began the stream of an attempt, or an empty string if this host does not
// know it.
func (s *ticketService) softwareOf(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	software, _ := s.scheduler.Streams.Lookup(id)
	return software
}

// findSoftware returns the software version that began the stream of a call, which neither this host nor the leader
// remembers, if this host has known of only one version for as long as a stream can last.
func (s *ticketService) findSoftware(req *sched.Request) (string, bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := &s.scheduler.Streams
	if versions := streams.Versions(now, req.Service); len(versions) == 1 {
		return versions[0], streams.Complete(now)
	}
	return "", false
}

// hasOtherSoftware reports whether the engine of a grant has started again with another software version since.
func (s *ticketService) hasOtherSoftware(g sched.Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.SoftwareOf(g) != g.Software
}
