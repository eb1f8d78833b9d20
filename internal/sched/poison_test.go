package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// Segments of the calls in TestCallsThatCrashEngines.
	systemSegment = 1
	tenantSegment = 10 // the first of tenants
	deadlySegment = 2
	tenants       = 6
	// After maxCrashes crashes, at most maxLate more calls with the segment may be sent; maxRequestCrashes applies to a
	// request.
	maxCrashes        = 5
	maxRequestCrashes = 3
	maxLate           = 3
	// deadlyRequest is a request that comes again and crashes engines.
	deadlyRequest = 7
)

// crashRun is a run of calls at engines that crash when they begin to respond to a call with deadlySegment.
type crashRun struct {
	s       *sched.Scheduler
	now     time.Time
	engines []*topo.Upstream
	backAt  map[string]time.Time
	running []*crashCall
	crashes []time.Time
	// sent holds the times at which calls with deadlySegment were sent.
	sent          []time.Time
	sound, served int
	rejected      int // sound calls
}

type crashCall struct {
	req     sched.Request
	deadly  bool
	late    bool // it crashes its engine after the first event
	retry   int
	grant   sched.Grant
	firstAt time.Time
	endAt   time.Time
	started bool
}

// send requests a ticket for a call.
func (r *crashRun) send(c *crashCall) {
	dec := r.s.Schedule(r.now, c.req)
	if dec.Kind != sched.Granted {
		r.s.Cancel(c.req.Call)
		if !c.deadly {
			r.rejected++
		}
		return
	}
	if c.deadly {
		r.sent = append(r.sent, r.now)
	}
	c.grant, c.started = dec.Grant, false
	c.firstAt = r.now.Add(80 * time.Millisecond)
	c.endAt = r.now.Add(400 * time.Millisecond)
	r.running = append(r.running, c)
}

// advance ends the calls that are due and crashes engines.
func (r *crashRun) advance(d time.Duration) {
	r.now = r.now.Add(d)
	for id, at := range r.backAt {
		if !r.now.Before(at) {
			delete(r.backAt, id)
		}
	}
	for _, c := range slices.Clone(r.running) {
		if slices.Contains(r.running, c) {
			r.advanceCall(c)
		}
	}
	var up []*topo.Upstream
	for _, u := range r.engines {
		if r.backAt[u.ID].IsZero() {
			up = append(up, u)
		}
	}
	r.s.SetUpstreams(r.now, up)
}

func (r *crashRun) advanceCall(c *crashCall) {
	switch {
	case !c.started && !r.now.Before(c.firstAt) && c.deadly && !c.late:
		r.crash(c.grant.Engine)
	case !c.started && !r.now.Before(c.firstAt):
		c.started = true
		r.s.FirstEvent(r.now, c.grant.Ticket)
	case !r.now.Before(c.endAt) && c.deadly:
		r.crash(c.grant.Engine)
	case !r.now.Before(c.endAt):
		r.running = slices.DeleteFunc(r.running, func(o *crashCall) bool { return o == c })
		r.s.Release(r.now, c.grant.Ticket, sched.Served)
		r.served++
	}
}

// crash breaks all calls on an engine. Each is tried once more on another engine.
func (r *crashRun) crash(id string) {
	r.crashes = append(r.crashes, r.now)
	r.backAt[id] = r.now.Add(3500 * time.Millisecond)
	for _, u := range r.engines {
		if u.ID == id {
			u.Boot++
		}
	}
	var broken []*crashCall
	r.running = slices.DeleteFunc(r.running, func(c *crashCall) bool {
		if c.grant.Engine != id {
			return false
		}
		broken = append(broken, c)
		return true
	})
	for _, c := range broken {
		r.s.Release(r.now, c.grant.Ticket, sched.Broken)
		if c.retry++; c.retry < 2 {
			c.req.Tried = append(c.req.Tried, id)
			r.send(c)
		}
	}
}

// Guards against calls of one kind that crash one engine after the other: a twentieth of the calls has a segment that
// no engine survives, beside a system prompt and a tenant's segment that sound calls have too.
func TestCallsThatCrashEngines(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			r := &crashRun{s: newScheduler(18), now: start, engines: upstreams(18), backAt: make(map[string]time.Time)}
			for i := range uint64(40 * 25) {
				c := &crashCall{deadly: i > 80 && rng.Float64() < 0.05}
				ids := []uint64{systemSegment, tenantSegment + rng.Uint64N(tenants)}
				if c.deadly {
					ids = append(ids, deadlySegment)
				}
				c.req = call(fmt.Sprint("c", i), 900, append(ids, 1000+i)...)
				r.sendNext(c)
			}
			r.check(t, maxCrashes)
		})
	}
}

// Guards against one request that comes again, with segments that sound calls have too, and crashes one engine after the
// other: before its first event, or later.
func TestRequestThatCrashesEngines(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			r := &crashRun{s: newScheduler(18), now: start, engines: upstreams(18), backAt: make(map[string]time.Time)}
			for i := range uint64(40 * 25) {
				c := &crashCall{deadly: i > 80 && rng.Float64() < 0.05, late: seed%2 == 1}
				tenant, session := tenantSegment+rng.Uint64N(tenants), 1000+i
				if c.deadly {
					tenant, session = tenantSegment, 1000
				}
				c.req = call(fmt.Sprint("c", i), 900, systemSegment, tenant, session)
				c.req.Spec.Request = 1000 + i
				if c.deadly {
					c.req.Spec.Request = deadlyRequest
				}
				r.sendNext(c)
			}
			r.check(t, maxRequestCrashes)
		})
	}
}

// sendNext sends a call and lets 40 ms pass.
func (r *crashRun) sendNext(c *crashCall) {
	if !c.deadly {
		r.sound++
	}
	c.req.TargetLatency = time.Second
	r.send(c)
	for range 4 {
		r.advance(10 * time.Millisecond)
	}
}

// check fails the test if too many engines crashed, too many deadly calls were sent after the first crashes, or too many
// sound calls were rejected.
func (r *crashRun) check(t *testing.T, crashes int) {
	t.Helper()
	if len(r.crashes) > crashes+maxLate {
		t.Errorf("%d engines crashed", len(r.crashes))
	}
	late := 0
	for _, at := range r.sent {
		if len(r.crashes) >= crashes && at.After(r.crashes[crashes-1]) {
			late++
		}
	}
	if late > maxLate {
		t.Errorf("%d deadly calls were sent after crash %d", late, crashes)
	}
	if r.rejected > r.sound/50 {
		t.Errorf("%d of %d sound calls were rejected", r.rejected, r.sound)
	}
}
