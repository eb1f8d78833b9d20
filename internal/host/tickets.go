package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/elect"
	"github.com/figreel/figreel/internal/link"
	"github.com/figreel/figreel/internal/notice"
	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/topo"
	"github.com/figreel/figreel/internal/vers"
)

const (
	// replyTimeout is how long the leader may take to acknowledge a ticket request.
	replyTimeout = 80 * time.Millisecond
	// waitCheckInterval is the interval at which a call that waits for the leader checks whether that still listens.
	waitCheckInterval = 100 * time.Millisecond
	// avoidPeriod is how long ticket requests go to the local scheduler after the leader did not reply.
	avoidPeriod = 400 * time.Millisecond
	// ackDelay is how long the leader may wait with the acknowledgement of a message, for one that it sends anyway.
	ackDelay = 100 * time.Millisecond
	// maxStall is how long the leader may acknowledge nothing before this host does without it.
	maxStall = ackDelay + replyTimeout
	// longStall is the same before this host does what is costly if the leader goes on after all: it fetches what it
	// needs to schedule for longer, and takes calls back that wait in the order of all hosts.
	longStall = 500 * time.Millisecond
	// maxReplies is the number of replies to one ticket request: that the leader looks the stream up, that the call has
	// to wait, and the decision.
	maxReplies = 3
	// stepInterval is the interval between scheduler steps while calls wait.
	stepInterval = 4 * time.Millisecond
	// redialDelay is the delay between two connection attempts to the leader, and the interval of checks whether the
	// leader has changed.
	redialDelay = 150 * time.Millisecond
	// rejoinPeriod is how long the tickets of a follower are kept after its connection ended.
	rejoinPeriod = time.Second
)

// ticketService obtains tickets for calls to engines from the leader's scheduler, or from the local one if this host is
// the leader or cannot reach it. On the leader it also serves the followers.
type ticketService struct {
	self    string
	elector *elect.Elector
	stats   *stats.Set
	log     zerolog.Logger
	// dial connects to another host.
	dial func(ctx context.Context, addr string) (*link.Conn, error)
	// departed reports whether an engine has left as far as this host knows.
	departed func(engine string) bool
	// isCurrent reports whether this host's list of upstreams is new enough to be used.
	isCurrent func() bool
	// loadAdapters orders adapter loads that the scheduler asks for.
	loadAdapters func([]sched.AdapterLoad)
	// notices holds what upstreams state about the calls that they take. It also serves the scheduler.
	notices *notice.Table
	// streams finds what the store has of streams that the schedulers do not know; nil finds nothing.
	streams *streamStore
	// senders returns the number of hosts that share the limits of upstreams; nil means one.
	senders func() int
	// quota charges calls to the quotas of workspaces. It also serves the scheduler.
	quota *quota.Limiter

	mu            sync.Mutex
	scheduler     *sched.Scheduler
	replies       map[string]func(sched.Decision) // callbacks of calls that wait in the local scheduler, by call
	remoteReplies map[string]chan sched.Decision  // replies to ticket requests at the leader, by call
	openTickets   map[uint64]*sched.OpenTicket    // tickets of this host's own calls
	leaderConn    *link.Conn                      // nil on the leader and without a connection
	avoidUntil    time.Time                       // until then the leader gets no ticket requests
	followers     map[string]*follower
	keeper        *follower // keeps the records of streams that begin at this host, or nil
	wakeCh        chan struct{}
	quotaDue      map[string]bool // followers that have reported charges
	quotaCh       chan struct{}   // wakes runQuota
}

// follower is a host whose calls this host schedules.
type follower struct {
	host    string
	conn    *link.Conn
	tickets map[uint64]bool // open tickets
	waiting map[string]bool // calls that wait in the scheduler
	ended   bool            // the connection has ended
}

func newTicketService(
	self string, s *elect.Elector, notices *notice.Table, st *stats.Set, log zerolog.Logger,
) *ticketService {
	limiter := &quota.Limiter{Self: self}
	return &ticketService{
		self: self, elector: s, notices: notices, stats: st, log: log, quota: limiter,
		scheduler: &sched.Scheduler{
			FirstTicket: rand.Uint64() << 32, Notices: notices, LimitShare: 1, Quota: limiter,
		},
		quotaDue: make(map[string]bool), quotaCh: make(chan struct{}, 1),
		replies: make(map[string]func(sched.Decision)), remoteReplies: make(map[string]chan sched.Decision),
		openTickets: make(map[uint64]*sched.OpenTicket), followers: make(map[string]*follower),
		wakeCh: make(chan struct{}, 1), dial: link.Dial, isCurrent: func() bool { return true },
	}
}

// RequestTicket returns the scheduler's decision on one of this host's calls; the error is that of ctx. If the
// scheduler does not know the software version that began the stream of the call, it is looked up in the store.
func (s *ticketService) RequestTicket(ctx context.Context, req sched.Request) (sched.Decision, error) {
	if req.TakesUp && req.Software == "" {
		if origin, ok := s.originOf(req.Resumes); ok {
			req.SetOrigin(origin)
		}
	}
	start := time.Now()
	decision, err := s.requestTicket(ctx, req)
	if err != nil || !s.needsLookup(&decision) {
		return s.noteStartCheck(&req, decision), err
	}
	req.Remaining -= time.Since(start)
	if found, _ := s.findOrigin(ctx, &req); !found {
		return decision, nil
	}
	decision, err = s.requestTicket(ctx, req)
	return s.noteStartCheck(&req, decision), err
}

// requestTicket requests a ticket from the leader, or from the local scheduler if the leader does not reply.
func (s *ticketService) requestTicket(ctx context.Context, req sched.Request) (sched.Decision, error) {
	start := time.Now()
	req.Holds = s.holds()
	if leader := s.leaderConnFor(&req); leader != nil {
		decision, ok, err := s.requestRemote(ctx, leader, req)
		if ok || err != nil {
			return decision, err
		}
		req.Charged = decision.Kind == sched.Granted
		s.stats.CountEvent("local_decision")
	}
	for {
		asked := req
		asked.Remaining -= time.Since(start)
		asked.Holds = s.holds()
		decision, err := s.requestLocal(ctx, asked)
		if err != nil || decision.Kind != sched.Granted || s.notices.Admit(time.Now(), instanceOf(decision.Grant)) {
			return decision, err
		}
		s.Release(decision.Grant, sched.Canceled)
		req.Charged = true
	}
}

// FirstEvent reports the first event of a response, and the load that the engine stated with it or nil, to the local
// scheduler and to that of the leader.
func (s *ticketService) FirstEvent(g sched.Grant, load *topo.Load) {
	m := &link.Message{Kind: link.FirstEvent, Ticket: g.Ticket, Load: load}
	s.mu.Lock()
	if t := s.openTickets[g.Ticket]; t != nil {
		t.FirstEvent = true
		if t.Request.BeginsStream() {
			begun := vers.Record{
				Stream: vers.Stream(t.Request.Call), Software: s.scheduler.SoftwareOf(g), Service: t.Request.Service,
			}
			s.scheduler.Streams.Begin(time.Now(), begun)
			m.Streams = append(m.Streams, begun)
		}
	}
	s.scheduler.SetLoad(time.Now(), g.Ticket, load)
	s.scheduler.FirstEvent(time.Now(), g.Ticket)
	leader := s.leaderConn
	if leader == nil && s.keeper != nil && len(m.Streams) > 0 {
		leader, m = s.keeper.conn, &link.Message{Kind: link.Keep, Streams: m.Streams}
	}
	s.mu.Unlock()
	s.send(leader, m)
}

// Release returns a ticket to the local scheduler and to that of the leader.
func (s *ticketService) Release(g sched.Grant, outcome sched.Outcome) {
	s.mu.Lock()
	delete(s.openTickets, g.Ticket)
	s.scheduler.Release(time.Now(), g.Ticket, outcome)
	changed := s.scheduler.Poison.Changes()
	leader := s.leaderConn
	s.mu.Unlock()
	s.logQuarantines(changed, s.self)
	s.wake()
	s.send(leader, &link.Message{Kind: link.Release, Ticket: g.Ticket, Outcome: outcome})
}

// withScheduler runs f on the local scheduler, then requests the adapter loads that follow from it and wakes run.
func (s *ticketService) withScheduler(f func(now time.Time, k *sched.Scheduler)) {
	s.mu.Lock()
	f(time.Now(), s.scheduler)
	loads := s.scheduler.AdapterLoads()
	s.mu.Unlock()
	s.requestLoads(loads)
	s.wake()
}

// run steps the local scheduler while calls wait, until ctx ends.
func (s *ticketService) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.wakeCh:
		case <-ctx.Done():
			return
		}
		for s.step() && clock.Sleep(ctx, stepInterval) {
			continue
		}
	}
}

// step delivers the decisions on calls that waited and reports whether some still wait.
func (s *ticketService) step() bool {
	s.mu.Lock()
	s.updateLimitShare()
	decisions := s.scheduler.Step(time.Now())
	type delivery struct {
		reply    func(sched.Decision)
		decision sched.Decision
	}
	var out []delivery
	for _, g := range decisions {
		if reply := s.replies[g.Call]; reply != nil {
			delete(s.replies, g.Call)
			out = append(out, delivery{reply, g})
			continue
		}
		if g.Kind == sched.Granted {
			s.scheduler.Release(time.Now(), g.Grant.Ticket, sched.Canceled)
		}
	}
	loads := s.scheduler.AdapterLoads()
	waiting := s.scheduler.Waiting() > 0
	s.mu.Unlock()
	s.requestLoads(loads)
	for _, o := range out {
		o.reply(o.decision)
	}
	return waiting
}

// backloggedWorkspaces returns the number of workspaces with calls that wait at this host's scheduler.
func (s *ticketService) backloggedWorkspaces() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.scheduler.BackloggedWorkspaces())
}

func (s *ticketService) wake() {
	select {
	case s.wakeCh <- struct{}{}:
	default:
	}
}

func (s *ticketService) requestLoads(loads []sched.AdapterLoad) {
	if len(loads) > 0 {
		s.loadAdapters(loads)
	}
}

func (s *ticketService) send(c *link.Conn, m *link.Message) {
	if c == nil {
		return
	}
	if err := c.Send(m); err != nil {
		s.log.Warn().Err(err).Msg("message to host failed")
	}
}

// listeningLeader returns the connection to the leader, or nil if this host has none or the leader does not handle what
// it is sent: it may be suspended or cut off while the connection stays open.
func (s *ticketService) listeningLeader() *link.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderConn == nil || time.Now().Before(s.avoidUntil) || s.leaderConn.Stalled() > maxStall {
		return nil
	}
	return s.leaderConn
}

// schedulesAlone reports whether this host has had to do without a leader for a while, or has no connection to one.
func (s *ticketService) schedulesAlone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderConn == nil || s.leaderConn.Stalled() > longStall
}

// leaderConnFor returns the connection to the leader for a ticket request, or nil if the local scheduler decides.
func (s *ticketService) leaderConnFor(req *sched.Request) *link.Conn {
	if c := s.listeningLeader(); c != nil || !s.waitsForLeader(req) {
		return c
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaderConn
}

// waitsForLeader reports whether a call waits for the leader even if that is slow to reply. While the leader has this
// host's part of the quotas, the host has next to nothing for calls that it decides on alone.
func (s *ticketService) waitsForLeader(req *sched.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderConn == nil || !s.quota.Limits(req.Workspace) {
		return false
	}
	s.updateQuota()
	return s.quota.Lent()
}

// requestLocal requests a ticket from the local scheduler.
func (s *ticketService) requestLocal(ctx context.Context, req sched.Request) (sched.Decision, error) {
	reply := make(chan sched.Decision, 1)
	s.mu.Lock()
	s.updateLimitShare()
	decision := s.scheduler.Schedule(time.Now(), req)
	loads := s.scheduler.AdapterLoads()
	switch decision.Kind {
	case sched.Waiting:
		s.replies[req.Call] = func(g sched.Decision) { reply <- g }
	case sched.Granted:
		s.openTickets[decision.Grant.Ticket] = &sched.OpenTicket{Request: req, Grant: decision.Grant}
	}
	s.mu.Unlock()
	s.requestLoads(loads)
	if decision.Kind != sched.Waiting {
		return decision, nil
	}
	s.wake()
	select {
	case decision = <-reply:
		s.addTicket(req, decision)
		return decision, nil
	case <-ctx.Done():
		s.mu.Lock()
		s.scheduler.Cancel(req.Call)
		delete(s.replies, req.Call)
		s.mu.Unlock()
		select {
		case decision = <-reply:
			s.releaseLate(decision)
		default:
		}
		return sched.Decision{}, errors.Wrap(ctx.Err(), "wait for an engine")
	}
}

func (s *ticketService) addTicket(req sched.Request, decision sched.Decision) {
	if decision.Kind != sched.Granted {
		return
	}
	s.mu.Lock()
	s.openTickets[decision.Grant.Ticket] = &sched.OpenTicket{Request: req, Grant: decision.Grant}
	s.mu.Unlock()
}

// releaseLate returns a ticket that was granted after its call had ended.
func (s *ticketService) releaseLate(decision sched.Decision) {
	if decision.Kind == sched.Granted {
		s.Release(decision.Grant, sched.Canceled)
	}
}

// requestRemote requests a ticket from the leader; the bool is false if the leader does not reply or this host knows
// better than to use its grant. In that case the decision is Granted, because the leader has charged the call.
func (s *ticketService) requestRemote(ctx context.Context, leader *link.Conn, req sched.Request) (
	sched.Decision, bool, error,
) {
	reply := make(chan sched.Decision, maxReplies)
	s.mu.Lock()
	s.remoteReplies[req.Call] = reply
	s.mu.Unlock()
	returned := false
	defer func() {
		s.mu.Lock()
		delete(s.remoteReplies, req.Call)
		s.mu.Unlock()
		if !returned {
			s.releaseUnread(leader, reply)
		}
	}()
	if leader.Send(&link.Message{Kind: link.TicketRequest, Call: req.Call, Request: &req}) != nil {
		return sched.Decision{}, false, nil
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	waits := false // the leader has replied that the call waits there
	for {
		select {
		case decision, open := <-reply:
			if !open {
				return sched.Decision{}, false, nil
			}
			if decision.Kind == sched.Waiting {
				waits = true
				timer.Reset(waitCheckInterval)
				continue
			}
			returned = true
			if decision.Kind == sched.Granted && !s.isUsable(&req, decision.Grant) {
				s.releaseAtLeader(leader, decision.Grant)
				return sched.Decision{Kind: sched.Granted}, false, nil
			}
			if decision.Grant.Service != "" {
				req.Service = decision.Grant.Service
			}
			s.restore(req, decision)
			return decision, true, nil
		case <-timer.C:
			if waits && leader.Stalled() <= longStall || s.waitsForLeader(&req) {
				timer.Reset(waitCheckInterval)
				continue
			}
			s.mu.Lock()
			s.avoidUntil = time.Now().Add(avoidPeriod)
			s.mu.Unlock()
			s.log.Warn().Str("call", req.Call).Msg("leader does not reply")
			s.send(leader, &link.Message{Kind: link.Cancel, Call: req.Call})
			return sched.Decision{}, false, nil
		case <-ctx.Done():
			s.send(leader, &link.Message{Kind: link.Cancel, Call: req.Call})
			return sched.Decision{}, false, errors.Wrap(ctx.Err(), "wait for an engine")
		}
	}
}

// isUsable reports whether a grant of the leader may be used as far as this host knows. The leader may not know yet
// that the engine has left or that the prompt crashes engines.
func (s *ticketService) isUsable(req *sched.Request, g sched.Grant) bool {
	switch {
	case s.departed(g.Engine):
		s.log.Warn().Str("call", req.Call).Str("upstream", g.Engine).Msg("leader granted a departed engine")
		s.stats.CountEvent("departed_grant")
		return false
	case s.hasOtherSoftware(g):
		s.log.Info().Str("call", req.Call).Str("upstream", g.Engine).
			Msg("leader granted an engine that has started again")
		s.stats.CountEvent("outdated_grant")
		return false
	case !g.Probe && s.blocks(&req.Spec):
		s.stats.CountEvent("quarantined_grant")
		return false
	case !s.notices.Admit(time.Now(), instanceOf(g)):
		s.log.Info().Str("call", req.Call).Str("upstream", g.Engine).Msg("leader granted an engine that takes no call")
		s.stats.CountEvent("unwanted_grant")
		return false
	}
	return true
}

// releaseUnread returns a ticket whose grant arrived after its call had stopped waiting for it.
func (s *ticketService) releaseUnread(leader *link.Conn, reply <-chan sched.Decision) {
	for {
		select {
		case decision, open := <-reply:
			if !open {
				return
			}
			if decision.Kind == sched.Granted {
				s.releaseAtLeader(leader, decision.Grant)
			}
		default:
			return
		}
	}
}

// releaseAtLeader returns a ticket of the leader that was not used.
func (s *ticketService) releaseAtLeader(leader *link.Conn, g sched.Grant) {
	s.send(leader, &link.Message{Kind: link.Release, Ticket: g.Ticket, Outcome: sched.Canceled})
}

// restore adds to the local scheduler a ticket that the leader granted, because the local scheduler has to know this
// host's calls when it schedules without the leader.
func (s *ticketService) restore(req sched.Request, decision sched.Decision) {
	if decision.Kind != sched.Granted {
		return
	}
	s.mu.Lock()
	t := &sched.OpenTicket{Request: req, Grant: decision.Grant}
	s.openTickets[decision.Grant.Ticket] = t
	s.scheduler.RestoreTicket(time.Now(), *t)
	s.scheduler.LearnGrant(time.Now(), &req, &t.Grant)
	s.mu.Unlock()
}

// connectLeader keeps a connection to the leader until ctx ends.
func (s *ticketService) connectLeader(ctx context.Context) {
	for ctx.Err() == nil {
		leader, ok := s.elector.Leader()
		if !ok || leader.Host == s.self {
			clock.Sleep(ctx, redialDelay)
			continue
		}
		if err := s.serveLeader(ctx, leader); err != nil && ctx.Err() == nil {
			s.log.Info().Err(err).Str("holder", leader.Host).Msg("connection to leader ended")
		}
		clock.Sleep(ctx, redialDelay)
	}
}

// serveLeader handles one connection to the leader until it ends or the leader changes.
func (s *ticketService) serveLeader(ctx context.Context, leader elect.Leader) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := s.dial(ctx, leader.Link)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, c.Close)
	go func() {
		for clock.Sleep(ctx, redialDelay) {
			if now, ok := s.elector.Leader(); !ok || now.Nonce != leader.Nonce {
				cancel()
			}
		}
	}()
	if err := s.join(c); err != nil {
		return err
	}
	s.mu.Lock()
	s.leaderConn, s.avoidUntil = c, time.Time{}
	s.quota.Follow(leader.Nonce)
	s.mu.Unlock()
	err = s.readReplies(c)
	s.mu.Lock()
	s.leaderConn = nil
	s.scheduler.Streams.DropAssumptions(time.Now())
	s.quota.Unfollow(clock.SinceBoot(), link.ClosedByPeer(err))
	for call, reply := range s.remoteReplies {
		close(reply)
		delete(s.remoteReplies, call)
	}
	s.mu.Unlock()
	return err
}

func (s *ticketService) readReplies(c *link.Conn) error {
	for {
		m, err := c.Receive()
		if err != nil {
			return err
		}
		if m.Kind == link.Quota {
			s.receiveQuota(nil, m.Quota)
			continue
		}
		if m.Kind == link.Keep {
			s.keep(m.Streams)
			continue
		}
		if m.Kind != link.Reply || m.Decision == nil {
			continue
		}
		s.mu.Lock()
		reply := s.remoteReplies[m.Call]
		if reply != nil {
			select {
			case reply <- *m.Decision:
			default:
			}
		}
		s.mu.Unlock()
		if reply == nil && m.Decision.Kind == sched.Granted {
			s.releaseAtLeader(c, m.Decision.Grant)
		}
	}
}
