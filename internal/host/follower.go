package host

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/sched"
)

// join tells a leader what it has to know before it schedules calls of this host: the open tickets, which it restores,
// the streams that began here and what upstreams state. A process that has just started may lead before it has heard of
// any statement.
func (s *ticketService) join(leader *link.Conn) error {
	s.mu.Lock()
	hello := s.hello()
	s.mu.Unlock()
	if err := leader.Send(hello); err != nil {
		return err
	}
	state, _ := s.notices.Changes(time.Now(), 0)
	if state == nil {
		return nil
	}
	return leader.Send(&link.Message{Kind: link.Notices, Host: s.self, Notices: state})
}

// hello returns the first message to a leader: what it has to know of this host's calls. s.mu is held.
func (s *ticketService) hello() *link.Message {
	m := &link.Message{
		Kind: link.Hello, Host: s.self, Streams: s.scheduler.Streams.Own(), Speeds: s.scheduler.Speeds(time.Now()),
		Assumed: s.scheduler.Streams.Assumptions(time.Now()),
	}
	for _, t := range s.openTickets {
		m.OpenTickets = append(m.OpenTickets, *t)
	}
	return m
}

// serveFollower restores the open tickets of a follower and handles its messages until the connection ends.
func (s *ticketService) serveFollower(c *link.Conn, hello *link.Message) {
	f := &follower{host: hello.Host, conn: c, tickets: make(map[uint64]bool), waiting: make(map[string]bool)}
	s.mu.Lock()
	s.followers[hello.Host] = f
	s.quota.Join(hello.Host)
	s.quotaDue[hello.Host] = true
	for _, t := range hello.OpenTickets {
		s.scheduler.RestoreTicket(time.Now(), t)
		f.tickets[t.Grant.Ticket] = true
	}
	s.scheduler.Streams.Learn(time.Now(), hello.Streams...)
	s.scheduler.Streams.Assume(time.Now(), hello.Assumed...)
	s.scheduler.LearnSpeeds(time.Now(), hello.Speeds)
	s.mu.Unlock()
	s.wakeQuota()
	s.ensureKeeper()
	c.Acknowledge(ackDelay, func(err error) {
		s.log.Warn().Err(err).Str("follower", hello.Host).Msg("messages of host cannot be acknowledged")
	})
	for {
		m, err := c.Receive()
		if err != nil {
			break
		}
		s.handle(f, m)
	}
	s.mu.Lock()
	f.ended = true
	if s.followers[hello.Host] == f {
		s.quota.Leave(hello.Host)
	}
	s.mu.Unlock()
	s.ensureKeeper()
	time.AfterFunc(rejoinPeriod, func() { s.releaseFollower(hello.Host, f) })
}

func (s *ticketService) handle(f *follower, m *link.Message) {
	switch m.Kind {
	case link.Notices:
		s.notices.Merge(time.Now(), m.Notices, m.Host)
	case link.Quota:
		s.receiveQuota(f, m.Quota)
	case link.TicketRequest:
		if m.Request != nil {
			s.requestFor(f, *m.Request)
		}
	case link.Cancel:
		s.mu.Lock()
		s.scheduler.Cancel(m.Call)
		delete(s.replies, m.Call)
		delete(f.waiting, m.Call)
		s.mu.Unlock()
	case link.FirstEvent:
		s.mu.Lock()
		s.scheduler.SetLoad(time.Now(), m.Ticket, m.Load)
		s.scheduler.FirstEvent(time.Now(), m.Ticket)
		s.scheduler.Streams.Learn(time.Now(), m.Streams...)
		s.mu.Unlock()
	case link.Release:
		s.mu.Lock()
		s.scheduler.Release(time.Now(), m.Ticket, m.Outcome)
		changed := s.scheduler.Poison.Changes()
		delete(f.tickets, m.Ticket)
		s.mu.Unlock()
		s.logQuarantines(changed, s.self)
		s.wake()
	}
}

func (s *ticketService) requestFor(f *follower, req sched.Request) {
	s.mu.Lock()
	s.updateLimitShare()
	if s.quota.Active() && !s.quota.Leads() {
		// The follower takes its part of the quotas back when its leader closes the connection.
		s.mu.Unlock()
		f.conn.Close()
		return
	}
	if f.ended {
		s.mu.Unlock()
		return
	}
	decision := s.scheduler.Schedule(time.Now(), req)
	if s.needsLookup(&decision) {
		s.mu.Unlock()
		s.send(f.conn, &link.Message{
			Kind: link.Reply, Call: req.Call, Decision: &sched.Decision{Call: req.Call, Kind: sched.Waiting},
		})
		go s.lookUpFor(f, req, decision)
		return
	}
	loads := s.scheduler.AdapterLoads()
	switch decision.Kind {
	case sched.Granted:
		f.tickets[decision.Grant.Ticket] = true
	case sched.Waiting:
		f.waiting[req.Call] = true
		s.replies[req.Call] = func(later sched.Decision) { s.reply(f, later) }
	}
	s.mu.Unlock()
	s.requestLoads(loads)
	s.send(f.conn, &link.Message{Kind: link.Reply, Call: req.Call, Decision: &decision})
	if decision.Kind == sched.Waiting {
		s.wake()
	}
}

// lookUpFor answers a follower's take-up of a stream that this host does not know, once it has asked the store. If the
// store does not know the stream either, the follower need not ask it.
func (s *ticketService) lookUpFor(f *follower, req sched.Request, unknown sched.Decision) {
	ctx, cancel := context.WithTimeout(context.Background(), req.Remaining)
	defer cancel()
	found, err := s.findOrigin(ctx, &req)
	if !found {
		unknown.Final = err == nil
		s.reply(f, unknown)
		return
	}
	s.requestFor(f, req)
}

func (s *ticketService) reply(f *follower, decision sched.Decision) {
	s.mu.Lock()
	delete(f.waiting, decision.Call)
	if decision.Kind == sched.Granted {
		f.tickets[decision.Grant.Ticket] = true
	}
	s.mu.Unlock()
	s.send(f.conn, &link.Message{Kind: link.Reply, Call: decision.Call, Decision: &decision})
}

// releaseFollower releases the tickets and calls of an ended connection, except tickets that the follower has sent
// again on a new one.
func (s *ticketService) releaseFollower(host string, f *follower) {
	now := time.Now()
	s.mu.Lock()
	current := s.followers[host]
	for t := range f.tickets {
		if current == nil || current == f || !current.tickets[t] {
			s.scheduler.Release(now, t, sched.Canceled)
		}
	}
	for call := range f.waiting {
		s.scheduler.Cancel(call)
		delete(s.replies, call)
	}
	if current == f {
		delete(s.followers, host)
	}
	s.mu.Unlock()
	s.wake()
}
