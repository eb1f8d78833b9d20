package host

import (
	"time"

	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

// noticeChanged logs and counts a statement of an upstream that has begun or ended, and tells the leader of one that
// this host has got itself.
func (h *Host) noticeChanged(c notice.Change) {
	if c.Via == "" {
		h.tickets.tellLeader(c.Instance)
	}
	if c.Frequent {
		return
	}
	msg, event := "statement of upstream begun", "notice_begun/"
	if !c.Active {
		msg, event = "statement of upstream ended", "notice_ended/"
	}
	h.Stats.CountEvent(event + string(c.Kind))
	h.Log.Info().Str("upstream", c.Instance.ID).Int64("boot", c.Instance.Boot).Str("kind", string(c.Kind)).
		Float64("limit", c.Limit).Dur("hold_ms", c.Hold).Str("via", c.Via).Msg(msg)
}

// noticeMalformed counts a statement that cannot be read.
func (h *Host) noticeMalformed(id topo.Instance, err error) {
	h.Stats.CountEvent("notice_malformed")
	h.Log.Debug().Err(err).Str("upstream", id.ID).Msg("statement of upstream ignored")
}

// tellLeader sends what an upstream has just stated to the leader, which schedules calls of all hosts.
func (s *ticketService) tellLeader(id topo.Instance) {
	s.mu.Lock()
	leader := s.leaderConn
	s.mu.Unlock()
	if leader == nil {
		return
	}
	if state := s.notices.StateOf(time.Now(), id); state != nil {
		s.send(leader, &link.Message{Kind: link.Notices, Host: s.self, Notices: state})
	}
}

// hostShare returns the share of the upstreams' limits of a host that decides alone.
func (s *ticketService) hostShare() float64 {
	if s.senders == nil {
		return 1
	}
	return 1 / float64(max(s.senders(), 1))
}

// updateLimitShare sets the share of the limits that the local scheduler uses: that of this host and of the hosts whose
// calls it schedules. The caller holds s.mu.
func (s *ticketService) updateLimitShare() {
	s.updateQuota()
	scheduled := 1
	for _, f := range s.followers {
		if !f.ended {
			scheduled++
		}
	}
	s.scheduler.LimitShare = min(float64(scheduled)*s.hostShare(), 1)
}

// holds returns the engines that want no calls from this host for a while.
func (s *ticketService) holds() []sched.Hold {
	var out []sched.Hold
	for id, wait := range s.notices.Holds(time.Now()) {
		out = append(out, sched.Hold{Engine: id, For: wait})
	}
	return out
}

func instanceOf(g sched.Grant) topo.Instance { return topo.Instance{ID: g.Engine, Boot: g.Boot} }
