package host

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/quota"
)

// quotaInterval is the interval at which a host looks for messages on quotas that are due.
const quotaInterval = 250 * time.Millisecond

// limitWorkspaces sets up the limiter of quotas.
func (h *Host) limitWorkspaces() {
	s := h.tickets
	s.quota.Bounds, s.quota.Hosts = quota.Bounds(h.Settings.Quota), h.cache.Hosts
	s.quota.Log, s.quota.Count = h.Log, h.Stats.CountEvent
	for name, f := range s.quota.Gauges() {
		h.Stats.SetGaugeFunc(name, func() int64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return f()
		})
	}
}

// ChargePlain charges a call to a plain service to the quota of its workspace. If the quota does not allow the call
// yet, it returns the time until it does, and false.
func (s *ticketService) ChargePlain(workspace string, cost float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateQuota()
	defer s.wakeQuota()
	return s.quota.ChargePlain(time.Now(), workspace, cost)
}

// updateQuota tells the limiter the time and the state of this host. The caller holds s.mu.
func (s *ticketService) updateQuota() {
	if !s.quota.Active() {
		return
	}
	hosts := 1
	if s.senders != nil {
		hosts = s.senders()
	}
	_, leads := s.elector.OrderDelay()
	s.quota.Update(time.Now(), clock.SinceBoot(), leads, hosts)
}

// receiveQuota applies a message of the leader, or of a follower unless that has a newer connection.
func (s *ticketService) receiveQuota(f *follower, m *quota.Message) {
	s.mu.Lock()
	s.updateQuota()
	if f == nil {
		s.quota.Apply(time.Now(), m)
	} else if s.followers[f.host] == f {
		s.quota.Receive(time.Now(), f.host, m)
		s.quotaDue[f.host] = true
	}
	s.mu.Unlock()
	s.wakeQuota()
}

func (s *ticketService) wakeQuota() {
	select {
	case s.quotaCh <- struct{}{}:
	default:
	}
}

// runQuota sends the messages on quotas until ctx ends. It sleeps while no workspace has a quota.
func (s *ticketService) runQuota(ctx context.Context) {
	var tick <-chan time.Time
	for {
		all := false
		select {
		case <-ctx.Done():
			return
		case <-s.quotaCh:
		case <-tick:
			all, tick = true, nil
		}
		if active := s.sendQuotas(all); active && tick == nil {
			tick = time.After(quotaInterval)
		}
	}
}

// sendQuotas sends the messages that are due to the leader, and to all followers or those that have reported charges.
// It reports whether any workspace has a quota.
func (s *ticketService) sendQuotas(all bool) bool {
	conns := make(map[*link.Conn]*quota.Message)
	now := time.Now()
	s.mu.Lock()
	s.updateQuota()
	if m := s.quota.Report(now); m != nil {
		conns[s.leaderConn] = m
	}
	leads := s.quota.Leads()
	for host, f := range s.followers {
		if !f.ended && s.quota.Active() && !leads {
			f.conn.Close()
			continue
		}
		if f.ended || !all && !s.quotaDue[host] {
			continue
		}
		if m := s.quota.Message(now, host); m != nil {
			conns[f.conn] = m
		}
	}
	clear(s.quotaDue)
	s.quota.EndSpells(now)
	active := s.quota.Active()
	s.mu.Unlock()
	for c, m := range conns {
		s.send(c, &link.Message{Kind: link.Quota, Quota: m})
	}
	return active
}
