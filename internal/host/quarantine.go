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
	return s.scheduler.Poison.Blocks(spec.Segments)
}

// quarantines returns the quarantines that this host knows, for other hosts.
func (s *ticketService) quarantines() []poison.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Poison.Records(time.Now())
}

// mergeQuarantines applies the quarantines that another host knows. Every host applies them itself, so that they hold
// while the leader is lost or another host becomes leader.
func (s *ticketService) mergeQuarantines(records []poison.Record, via string) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	s.scheduler.Poison.Merge(time.Now(), records)
	s.mu.Unlock()
	s.logQuarantines(via)
}

// logQuarantines logs the quarantines that have begun or ended; via is the host that has told this one.
func (s *ticketService) logQuarantines(via string) {
	s.mu.Lock()
	changed := s.scheduler.Poison.Changes()
	s.mu.Unlock()
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
