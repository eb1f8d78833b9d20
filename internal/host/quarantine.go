package host

import (
	"strconv"
	"time"

	"github.com/figreel/figreel/internal/poison"
	"github.com/figreel/figreel/internal/topo"
)

// blocks reports whether calls with this prompt are rejected because it crashes engines.
func (s *ticketService) blocks(spec *topo.CallSpec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Poison.Blocks(spec)
}

// Admits implements entry.Quarantine. Only the host that places models tests a quarantine.
func (s *ticketService) Admits(call *topo.CallSpec) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := &s.scheduler.Poison
	return !p.Blocks(call) || !s.scheduler.PlacementFrom.IsZero() && p.Probe(time.Now(), call)
}

// Broken implements entry.Quarantine.
func (s *ticketService) Broken(sent time.Time, u topo.Instance, call *topo.CallSpec) {
	s.mu.Lock()
	s.scheduler.Poison.Broken(time.Now(), sent, u.String(), call)
	changed := s.scheduler.Poison.Changes()
	s.mu.Unlock()
	s.logQuarantines(changed, s.self)
}

// Served implements entry.Quarantine.
func (s *ticketService) Served(call *topo.CallSpec) {
	s.mu.Lock()
	s.scheduler.Poison.Served(time.Now(), call)
	changed := s.scheduler.Poison.Changes()
	s.mu.Unlock()
	s.logQuarantines(changed, s.self)
}

// poisonState returns what this host knows of prompt segments that crash engines, for other hosts.
func (s *ticketService) poisonState() *poison.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Poison.State(time.Now())
}

// mergePoison applies what another host knows of prompt segments that crash engines. Every host does so itself, because
// the leader may be lost at any time.
func (s *ticketService) mergePoison(state *poison.State, via string) {
	if state == nil {
		return
	}
	s.mu.Lock()
	s.scheduler.Poison.Merge(time.Now(), state)
	changed := s.scheduler.Poison.Changes()
	s.mu.Unlock()
	s.logQuarantines(changed, via)
}

// logQuarantines logs the quarantines that have begun or ended; via is the host that has told this one.
func (s *ticketService) logQuarantines(changed []poison.Record, via string) {
	for _, r := range changed {
		segments := make([]string, 0, len(r.Segments))
		for _, id := range r.Segments {
			segments = append(segments, strconv.FormatUint(id, 16))
		}
		msg, event := "prompt segments quarantined", "quarantine_begun"
		if !r.Active {
			msg, event = "quarantine ended", "quarantine_ended"
		}
		s.stats.CountEvent(event)
		s.log.Warn().Strs("segments", segments).Int("version", r.Version).Str("via", via).Msg(msg)
	}
}
