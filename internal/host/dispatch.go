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
	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/stats"
)

const (
	// replyTime is how long the dispatching host may take to say that it has an ask.
	replyTime = 80 * time.Millisecond
	// avoidTime is how long a host that did not reply is not asked.
	avoidTime = 400 * time.Millisecond
	// stepEvery is the pause between two looks at calls that wait.
	stepEvery = 4 * time.Millisecond
	// dialPause is the pause between two attempts to reach the dispatching host.
	dialPause = 150 * time.Millisecond
	// rejoinTime is how long the tickets of a host are kept after its connection ended.
	rejoinTime = time.Second
)

// dispatch decides for calls to engines: at this host's desk, or at that of the host with the seat.
type dispatch struct {
	self  string
	seat  *elect.Elector
	stats *stats.Set
	log   zerolog.Logger
	// needs is called with the adapters to load.
	needs func([]sched.AdapterLoad)

	mu      sync.Mutex
	desk    *sched.Scheduler
	replies map[string]func(sched.Decision) // of calls that wait at this desk
	remote  map[string]chan sched.Decision  // of this host's asks at another desk
	own     map[uint64]*sched.OpenTicket    // tickets of this host's calls
	line    *link.Conn
	avoid   time.Time
	hosts   map[string]*guest
	kick    chan struct{}
}

// guest is a host whose calls this desk decides on.
type guest struct {
	conn    *link.Conn
	tickets map[uint64]bool
	waiting map[string]bool
}

func newDispatch(self string, s *elect.Elector, st *stats.Set, log zerolog.Logger) *dispatch {
	return &dispatch{
		self: self, seat: s, stats: st, log: log,
		desk:    &sched.Scheduler{FirstTicket: rand.Uint64() << 32},
		replies: make(map[string]func(sched.Decision)), remote: make(map[string]chan sched.Decision),
		own: make(map[uint64]*sched.OpenTicket), hosts: make(map[string]*guest), kick: make(chan struct{}, 1),
	}
}

// RequestTicket returns the decision on one of this host's calls.
func (d *dispatch) RequestTicket(ctx context.Context, a sched.Request) (sched.Decision, error) {
	start := time.Now()
	if line := d.remoteLine(); line != nil {
		got, ok, err := d.askRemote(ctx, line, a)
		if ok || err != nil {
			return got, err
		}
		d.stats.CountEvent("local_decision")
		a.Remaining -= time.Since(start)
	}
	return d.askHere(ctx, a)
}

// FirstEvent tells of the first event of a call's answer.
func (d *dispatch) FirstEvent(g sched.Grant) {
	d.mu.Lock()
	if h := d.own[g.Ticket]; h != nil {
		h.FirstEvent = true
	}
	d.desk.FirstEvent(time.Now(), g.Ticket)
	line := d.line
	d.mu.Unlock()
	d.send(line, &link.Message{Kind: link.FirstEvent, Ticket: g.Ticket})
}

// Release returns a ticket.
func (d *dispatch) Release(g sched.Grant, how sched.Outcome) {
	d.mu.Lock()
	delete(d.own, g.Ticket)
	d.desk.Release(time.Now(), g.Ticket, how)
	line := d.line
	d.mu.Unlock()
	d.wake()
	d.send(line, &link.Message{Kind: link.Release, Ticket: g.Ticket, Outcome: how})
}

// with runs f on the desk and carries out what follows.
func (d *dispatch) with(f func(now time.Time, k *sched.Scheduler)) {
	d.mu.Lock()
	f(time.Now(), d.desk)
	needs := d.desk.AdapterLoads()
	d.mu.Unlock()
	d.order(needs)
	d.wake()
}

// run decides on calls that wait until ctx ends.
func (d *dispatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-d.kick:
		case <-ctx.Done():
			return
		}
		for d.step() && clock.Sleep(ctx, stepEvery) {
			continue
		}
	}
}

// step answers the calls that waited and reports whether some still wait.
func (d *dispatch) step() bool {
	d.mu.Lock()
	got := d.desk.Step(time.Now())
	type answer struct {
		tell func(sched.Decision)
		what sched.Decision
	}
	var out []answer
	for _, g := range got {
		if tell := d.replies[g.Call]; tell != nil {
			delete(d.replies, g.Call)
			out = append(out, answer{tell, g})
			continue
		}
		if g.Kind == sched.Granted {
			d.desk.Release(time.Now(), g.Grant.Ticket, sched.Canceled)
		}
	}
	needs := d.desk.AdapterLoads()
	waiting := d.desk.Waiting() > 0
	d.mu.Unlock()
	d.order(needs)
	for _, a := range out {
		a.tell(a.what)
	}
	return waiting
}

func (d *dispatch) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

func (d *dispatch) order(needs []sched.AdapterLoad) {
	if len(needs) > 0 {
		d.needs(needs)
	}
}

func (d *dispatch) send(line *link.Conn, m *link.Message) {
	if line == nil {
		return
	}
	if err := line.Send(m); err != nil {
		d.log.Warn().Err(err).Msg("message to the dispatching host lost")
	}
}

func (d *dispatch) remoteLine() *link.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.line == nil || time.Now().Before(d.avoid) {
		return nil
	}
	return d.line
}

// askHere decides at this host's desk.
func (d *dispatch) askHere(ctx context.Context, a sched.Request) (sched.Decision, error) {
	reply := make(chan sched.Decision, 1)
	d.mu.Lock()
	got := d.desk.Schedule(time.Now(), a)
	needs := d.desk.AdapterLoads()
	switch got.Kind {
	case sched.Waiting:
		d.replies[a.Call] = func(g sched.Decision) { reply <- g }
	case sched.Granted:
		d.own[got.Grant.Ticket] = &sched.OpenTicket{Request: a, Grant: got.Grant}
	}
	d.mu.Unlock()
	d.order(needs)
	if got.Kind != sched.Waiting {
		return got, nil
	}
	d.wake()
	select {
	case got = <-reply:
		d.keep(a, got)
		return got, nil
	case <-ctx.Done():
		d.mu.Lock()
		d.desk.Cancel(a.Call)
		delete(d.replies, a.Call)
		d.mu.Unlock()
		select {
		case got = <-reply:
			d.drop(got)
		default:
		}
		return sched.Decision{}, errors.Wrap(ctx.Err(), "wait for an engine")
	}
}

func (d *dispatch) keep(a sched.Request, got sched.Decision) {
	if got.Kind != sched.Granted {
		return
	}
	d.mu.Lock()
	d.own[got.Grant.Ticket] = &sched.OpenTicket{Request: a, Grant: got.Grant}
	d.mu.Unlock()
}

// drop returns a ticket that came too late.
func (d *dispatch) drop(got sched.Decision) {
	if got.Kind == sched.Granted {
		d.Release(got.Grant, sched.Canceled)
	}
}

// askRemote asks the host with the seat; ok is false when that host does not reply.
func (d *dispatch) askRemote(ctx context.Context, line *link.Conn, a sched.Request) (sched.Decision, bool, error) {
	reply := make(chan sched.Decision, 2)
	d.mu.Lock()
	d.remote[a.Call] = reply
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.remote, a.Call)
		d.mu.Unlock()
	}()
	if line.Send(&link.Message{Kind: link.TicketRequest, Call: a.Call, Request: &a}) != nil {
		return sched.Decision{}, false, nil
	}
	timer := time.NewTimer(replyTime)
	defer timer.Stop()
	for {
		select {
		case got, open := <-reply:
			if !open {
				return sched.Decision{}, false, nil
			}
			if got.Kind == sched.Waiting {
				timer.Stop()
				continue
			}
			d.takeOver(a, got)
			return got, true, nil
		case <-timer.C:
			d.mu.Lock()
			d.avoid = time.Now().Add(avoidTime)
			d.mu.Unlock()
			d.log.Warn().Str("call", a.Call).Msg("dispatching host does not reply")
			d.send(line, &link.Message{Kind: link.Cancel, Call: a.Call})
			return sched.Decision{}, false, nil
		case <-ctx.Done():
			d.send(line, &link.Message{Kind: link.Cancel, Call: a.Call})
			return sched.Decision{}, false, errors.Wrap(ctx.Err(), "wait for an engine")
		}
	}
}

// takeOver counts a ticket of another desk at this one too, so that this desk knows its own calls.
func (d *dispatch) takeOver(a sched.Request, got sched.Decision) {
	if got.Kind != sched.Granted {
		return
	}
	d.mu.Lock()
	h := &sched.OpenTicket{Request: a, Grant: got.Grant}
	d.own[got.Grant.Ticket] = h
	d.desk.RestoreTicket(time.Now(), *h)
	d.mu.Unlock()
}

// follow keeps a connection to the host with the seat until ctx ends.
func (d *dispatch) follow(ctx context.Context) {
	for ctx.Err() == nil {
		t, ok := d.seat.Leader()
		if !ok || t.Host == d.self {
			clock.Sleep(ctx, dialPause)
			continue
		}
		if err := d.attend(ctx, t); err != nil && ctx.Err() == nil {
			d.log.Info().Err(err).Str("holder", t.Host).Msg("dispatching host lost")
		}
		clock.Sleep(ctx, dialPause)
	}
}

// attend serves one connection to the holder until it ends or another host holds the seat.
func (d *dispatch) attend(ctx context.Context, t elect.Leader) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := link.Dial(ctx, t.Link)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, c.Close)
	go func() {
		for clock.Sleep(ctx, dialPause) {
			if now, ok := d.seat.Leader(); !ok || now != t {
				cancel()
			}
		}
	}()
	d.mu.Lock()
	hello := &link.Message{Kind: link.Hello, Host: d.self}
	for _, h := range d.own {
		hello.OpenTickets = append(hello.OpenTickets, *h)
	}
	d.mu.Unlock()
	if err := c.Send(hello); err != nil {
		return err
	}
	d.mu.Lock()
	d.line, d.avoid = c, time.Time{}
	d.mu.Unlock()
	err = d.read(c)
	d.mu.Lock()
	d.line = nil
	for call, reply := range d.remote {
		close(reply)
		delete(d.remote, call)
	}
	d.mu.Unlock()
	return err
}

func (d *dispatch) read(c *link.Conn) error {
	for {
		m, err := c.Receive()
		if err != nil {
			return err
		}
		if m.Kind != link.Reply || m.Decision == nil {
			continue
		}
		d.mu.Lock()
		reply := d.remote[m.Call]
		if reply != nil {
			select {
			case reply <- *m.Decision:
			default:
			}
		}
		d.mu.Unlock()
		if reply == nil && m.Decision.Kind == sched.Granted {
			d.send(c, &link.Message{Kind: link.Release, Ticket: m.Decision.Grant.Ticket, Outcome: sched.Canceled})
		}
	}
}

// serve handles the messages of another host until its connection ends.
func (d *dispatch) serve(c *link.Conn, hello *link.Message) {
	g := &guest{conn: c, tickets: make(map[uint64]bool), waiting: make(map[string]bool)}
	d.mu.Lock()
	d.hosts[hello.Host] = g
	for _, h := range hello.OpenTickets {
		d.desk.RestoreTicket(time.Now(), h)
		g.tickets[h.Grant.Ticket] = true
	}
	d.mu.Unlock()
	for {
		m, err := c.Receive()
		if err != nil {
			break
		}
		d.handle(g, m)
	}
	time.AfterFunc(rejoinTime, func() { d.release(hello.Host, g) })
}

func (d *dispatch) handle(g *guest, m *link.Message) {
	switch m.Kind {
	case link.TicketRequest:
		if m.Request != nil {
			d.askFor(g, *m.Request)
		}
	case link.Cancel:
		d.mu.Lock()
		d.desk.Cancel(m.Call)
		delete(d.replies, m.Call)
		delete(g.waiting, m.Call)
		d.mu.Unlock()
	case link.FirstEvent:
		d.mu.Lock()
		d.desk.FirstEvent(time.Now(), m.Ticket)
		d.mu.Unlock()
	case link.Release:
		d.mu.Lock()
		d.desk.Release(time.Now(), m.Ticket, m.Outcome)
		delete(g.tickets, m.Ticket)
		d.mu.Unlock()
		d.wake()
	}
}

func (d *dispatch) askFor(g *guest, a sched.Request) {
	d.mu.Lock()
	got := d.desk.Schedule(time.Now(), a)
	needs := d.desk.AdapterLoads()
	switch got.Kind {
	case sched.Granted:
		g.tickets[got.Grant.Ticket] = true
	case sched.Waiting:
		g.waiting[a.Call] = true
		d.replies[a.Call] = func(later sched.Decision) { d.reply(g, later) }
	}
	d.mu.Unlock()
	d.order(needs)
	d.send(g.conn, &link.Message{Kind: link.Reply, Call: a.Call, Decision: &got})
	if got.Kind == sched.Waiting {
		d.wake()
	}
}

func (d *dispatch) reply(g *guest, got sched.Decision) {
	d.mu.Lock()
	delete(g.waiting, got.Call)
	if got.Kind == sched.Granted {
		g.tickets[got.Grant.Ticket] = true
	}
	d.mu.Unlock()
	d.send(g.conn, &link.Message{Kind: link.Reply, Call: got.Call, Decision: &got})
}

// release returns the tickets of a host that did not come back.
func (d *dispatch) release(host string, g *guest) {
	now := time.Now()
	d.mu.Lock()
	again := d.hosts[host]
	for t := range g.tickets {
		if again == g || !again.tickets[t] {
			d.desk.Release(now, t, sched.Canceled)
		}
	}
	for call := range g.waiting {
		d.desk.Cancel(call)
		delete(d.replies, call)
	}
	if again == g {
		delete(d.hosts, host)
	}
	d.mu.Unlock()
	d.wake()
}
