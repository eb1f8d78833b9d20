package host

import (
	"cmp"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/vers"
)

// appointKeeper chooses the follower that keeps the records of streams that begin at this host, unless there is one.
// The leader is the only host whose records no other host has, and while a service has one version they are not in the
// store. It returns the message that tells the follower the records so far, or nil. s.mu is held.
func (s *ticketService) appointKeeper() (*link.Conn, *link.Message) {
	if s.keeper != nil && !s.keeper.ended {
		return nil, nil
	}
	s.keeper = nil
	var connected []*follower
	for _, f := range s.followers {
		if !f.ended {
			connected = append(connected, f)
		}
	}
	if len(connected) == 0 {
		return nil, nil
	}
	s.keeper = slices.MinFunc(connected, func(a, b *follower) int { return cmp.Compare(a.host, b.host) })
	s.log.Info().Str("keeper", s.keeper.host).Msg("host keeps the records of streams that begin here")
	return s.keeper.conn, &link.Message{Kind: link.Keep, Streams: s.scheduler.Streams.Own()}
}

// ensureKeeper appoints a keeper if there is none and sends it the records so far.
func (s *ticketService) ensureKeeper() {
	s.mu.Lock()
	c, m := s.appointKeeper()
	s.mu.Unlock()
	s.send(c, m)
}

// keep adds records of streams that began at the leader to those that this host answers for.
func (s *ticketService) keep(records []vers.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.scheduler.Streams.Begin(time.Now(), r)
	}
}
