package ledger

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figreel/figreel/internal/engine"
)

const (
	capacity  = 10
	maxDelay  = 60 * time.Second
	hostCount = 3
)

var sizes = map[string]int{"a": 3, "b": 4, "c": 5, "d": 6, "x": 1, "y": 2}

func init() {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

type (
	// simulation is one engine with its stored ledger, the hosts that compete for its ownership, and the network.
	simulation struct {
		rules         Rules
		now           time.Time
		boot          int
		seq           int64
		fence         int64
		items         map[string]int
		role          string
		stored        []byte
		version       int
		delayedWrites []write
		owner         int
		epoch         int64
		ids           int
		inTransit     []transmission
		hosts         [hostCount]host
	}

	// host is a current, former or later owner. unsent is the order to send once the ledger is stored, and inFlight the
	// one whose outcome the host waits for.
	host struct {
		led        *Ledger
		storedBody []byte
		version    int
		epoch      int64
		unsent     *engine.Order
		writing    *write
		inFlight   *engine.Order
		poll       *poll
	}

	write struct {
		body    []byte
		version int
	}

	poll struct {
		started time.Time
		status  *engine.Status
	}

	// transmission is an order in transit, which arrives at the given time; the sender gets the response unless
	// noResponse is set. An order that the network duplicates has several transmissions.
	transmission struct {
		at         time.Time
		order      engine.Order
		from       int
		noResponse bool
	}
)

func newSimulation(checks bool) *simulation {
	return &simulation{
		rules: Rules{CapacityMB: capacity, MaxOrderDelay: maxDelay, ChecksFencing: checks},
		now:   time.Unix(0, 0),
		items: make(map[string]int),
		owner: -1,
	}
}

// id returns a new order or write id.
func (s *simulation) id() string {
	s.ids++
	return fmt.Sprint(s.ids)
}

// used returns the memory that the engine's items and role occupy, in MB.
func (s *simulation) used() int {
	sum := sizes[s.role]
	for _, mb := range s.items {
		sum += mb
	}
	return sum
}

// cas is the conditional write of the key-value service.
func (s *simulation) cas(w write) bool {
	if w.version != s.version {
		return false
	}
	s.stored = w.body
	s.version++
	return true
}

// acquireLease gives the lease to a host, which reads the ledger and starts the write of its takeover.
func (s *simulation) acquireLease(i int) {
	s.owner = i
	s.epoch++
	led := &Ledger{}
	if s.stored != nil {
		var err error
		if led, err = Decode(s.stored); err != nil {
			panic(err)
		}
	}
	led.Rules = s.rules
	led.Takeover(s.now, s.epoch)
	s.hosts[i] = host{led: led, version: s.version, epoch: s.epoch, poll: s.hosts[i].poll}
	s.startWrite(i, nil)
}

// startWrite encodes the host's ledger for a write, after which the order is sent.
func (s *simulation) startWrite(i int, o *engine.Order) {
	h := &s.hosts[i]
	h.led.WriteID = s.id()
	body, err := h.led.Encode()
	if err != nil {
		panic(err)
	}
	h.writing = &write{body, h.version}
	h.unsent = o
}

// put tries the host's write. Fate 0 delivers the response, 1 loses the response, 2 loses the write, 3 delays the
// write.
func (s *simulation) put(i, fate int) {
	h := &s.hosts[i]
	w := *h.writing
	switch fate {
	case 2:
		return
	case 3:
		s.delayedWrites = append(s.delayedWrites, w)
		return
	}
	done := s.cas(w) || s.readBack(w)
	switch {
	case fate == 1:
	case !done:
		*h = host{}
	default:
		h.version = s.version
		h.storedBody = w.body
		h.writing = nil
	}
}

// readBack reports whether the stored ledger is the host's own earlier write, by its write id.
func (s *simulation) readBack(w write) bool {
	mine, err := Decode(w.body)
	if err != nil || s.stored == nil {
		return false
	}
	have, err := Decode(s.stored)
	return err == nil && have.WriteID == mine.WriteID
}

// send checks the lease and sends one transmission of the order per delay, each shorter than the maximum order delay.
func (s *simulation) send(i int, delays []time.Duration, noResponse bool) {
	h := &s.hosts[i]
	o := h.unsent
	h.unsent = nil
	if s.owner != i || h.epoch != s.epoch {
		h.led.EndOrder(s.now, *o, nil)
		return
	}
	h.inFlight = o
	s.transmit(i, *o, delays, noResponse)
}

func (s *simulation) transmit(i int, o engine.Order, delays []time.Duration, noResponse bool) {
	for _, d := range delays {
		s.inTransit = append(s.inTransit, transmission{at: s.now.Add(d), order: o, from: i, noResponse: noResponse})
	}
	slices.SortStableFunc(s.inTransit, func(a, b transmission) int { return a.at.Compare(b.at) })
}

// advance moves the clock by d. Orders that arrive in that time are executed, and check runs after each.
func (s *simulation) advance(d time.Duration, check func()) {
	end := s.now.Add(d)
	for len(s.inTransit) > 0 && !s.inTransit[0].at.After(end) {
		t := s.inTransit[0]
		s.inTransit = s.inTransit[1:]
		s.now = t.at
		res := s.execute(t.order)
		check()
		h := &s.hosts[t.from]
		if !t.noResponse && h.inFlight != nil && h.inFlight.ID == t.order.ID {
			h.inFlight = nil
			h.led.EndOrder(s.now, t.order, &res)
		}
	}
	s.now = end
}

// execute applies an order at the engine, which rejects one with an old fencing token if it checks fencing.
func (s *simulation) execute(o engine.Order) engine.OrderResult {
	s.seq++
	res := engine.OrderResult{Fence: s.fence, BootID: fmt.Sprint(s.boot), Seq: s.seq}
	if s.rules.ChecksFencing && o.Fence < s.fence {
		return res
	}
	s.fence = max(s.fence, o.Fence)
	res.Fence = s.fence
	res.Applied = true
	switch o.Kind {
	case engine.LoadModel:
		s.items[o.Item] = o.MemoryMB
	case engine.UnloadModel:
		delete(s.items, o.Item)
	case engine.SetRole:
		s.role = o.Role
	}
	return res
}

// restart empties the engine; its fencing token stays.
func (s *simulation) restart() {
	s.boot++
	s.seq = 0
	s.items = make(map[string]int)
	s.role = ""
}

func (s *simulation) status() *engine.Status {
	s.seq++
	st := engine.Status{BootID: fmt.Sprint(s.boot), Seq: s.seq, Fence: s.fence, Role: s.role}
	for name, mb := range s.items {
		st.Items = append(st.Items, engine.Item{Name: name, MemoryMB: mb, State: engine.Resident})
	}
	return &st
}

// begin starts an order for the named item or role if the host is idle.
func (s *simulation) begin(i int, kind engine.OrderKind, name string) {
	h := &s.hosts[i]
	if h.led == nil || h.writing != nil || h.unsent != nil || h.inFlight != nil {
		return
	}
	var o engine.Order
	var err error
	switch kind {
	case engine.LoadModel:
		o, err = h.led.BeginLoad(s.now, s.id(), Item{Name: name, MemoryMB: sizes[name]})
	case engine.UnloadModel:
		o, err = h.led.BeginUnload(s.now, s.id(), name)
	case engine.SetRole:
		o, err = h.led.BeginRole(s.now, s.id(), name, sizes[name])
	default:
		o, err = h.led.BeginSync(s.id())
	}
	if err == nil {
		s.startWrite(i, &o)
	}
}

// beginCorrection starts the first correction for which the host's ledger returns an order.
func (s *simulation) beginCorrection(i int) {
	h := &s.hosts[i]
	if h.led == nil {
		return
	}
	for _, c := range h.led.Corrections() {
		switch {
		case c.Kind == SyncFence:
			s.begin(i, engine.Sync, "")
		case c.Kind == UnloadAgain:
			s.begin(i, engine.UnloadModel, c.Item.Name)
		case c.Item.Role:
			s.begin(i, engine.SetRole, c.Item.Name[len(rolePrefix):])
		default:
			s.begin(i, engine.LoadModel, c.Item.Name)
		}
	}
}

// sendStoredLoad sends a stored load again without a lease; such an order may be delayed by any time.
func (s *simulation) sendStoredLoad(i int, name string, delay time.Duration) {
	h := &s.hosts[i]
	if h.led == nil || h.storedBody == nil || h.inFlight != nil || h.writing != nil || h.unsent != nil {
		return
	}
	stored, err := Decode(h.storedBody)
	if err != nil {
		panic(err)
	}
	if o, err := h.led.BeginStoredLoad(s.now, s.id(), name, stored); err == nil {
		h.inFlight = &o
		s.transmit(i, o, []time.Duration{delay}, false)
	}
}

// actions returns the steps of the test, from which rapid draws a sequence.
func (s *simulation) actions(check func(*rapid.T)) []func(*rapid.T) {
	// Most actions concern the owner, the others any host, which may be a former owner that still runs.
	pickHost := func(t *rapid.T) int {
		return rapid.SampledFrom([]int{max(s.owner, 0), max(s.owner, 0), 0, 1, 2}).Draw(t, "host")
	}
	delay := func(t *rapid.T) time.Duration {
		return rapid.SampledFrom([]time.Duration{0, time.Second, maxDelay / 2, maxDelay - 1}).Draw(t, "delay")
	}
	proceed := func(t *rapid.T, i int) {
		for range 3 {
			if oneIn(t, 8) {
				return
			}
			s.proceed(t, i, rapid.SliceOfN(rapid.Custom(delay), 0, 2).Draw(t, "delays"))
		}
	}
	begin := func(kind engine.OrderKind, names ...string) func(*rapid.T) {
		return func(t *rapid.T) {
			i := pickHost(t)
			s.begin(i, kind, rapid.SampledFrom(names).Draw(t, "name"))
			proceed(t, i)
		}
	}
	// rapid draws the first entries most often.
	return []func(*rapid.T){
		begin(engine.LoadModel, "c", "d", "b", "a"),
		begin(engine.UnloadModel, "c", "d", "b", "a"),
		func(t *rapid.T) { s.poll(pickHost(t)) },
		func(t *rapid.T) {
			s.advance(delay(t)+rapid.SampledFrom(shortDelays).Draw(t, "more"), func() { check(t) })
		},
		func(t *rapid.T) { proceed(t, pickHost(t)) },
		func(t *rapid.T) {
			i := pickHost(t)
			s.beginCorrection(i)
			proceed(t, i)
		},
		func(t *rapid.T) { s.pollStep(pickHost(t)) },
		func(t *rapid.T) {
			if h := &s.hosts[pickHost(t)]; h.inFlight != nil {
				h.led.EndOrder(s.now, *h.inFlight, nil)
				h.inFlight = nil
			}
		},
		func(t *rapid.T) {
			if s.owner < 0 || oneIn(t, 3) {
				i := rapid.IntRange(0, hostCount-1).Draw(t, "host")
				s.acquireLease(i)
				proceed(t, i)
			}
		},
		func(t *rapid.T) { s.report(pickHost(t)) },
		func(t *rapid.T) {
			s.sendStoredLoad(pickHost(t), rapid.SampledFrom([]string{"c", "d", "b", "a"}).Draw(t, "name"), 3*delay(t))
		},
		begin(engine.SetRole, "x", "y"),
		func(t *rapid.T) {
			if oneIn(t, 3) {
				s.restart()
			}
		},
		func(*rapid.T) {
			if len(s.delayedWrites) > 0 {
				s.cas(s.delayedWrites[0])
				s.delayedWrites = s.delayedWrites[1:]
			}
		},
		func(t *rapid.T) {
			if i := pickHost(t); oneIn(t, 5) {
				s.hosts[i] = noHost
			}
		},
	}
}

// poll requests a report and applies it at once.
func (s *simulation) poll(i int) {
	s.pollStep(i)
	s.pollStep(i)
	s.report(i)
}

func (s *simulation) tryWrite(t *rapid.T, i int) {
	if s.hosts[i].writing != nil {
		s.put(i, rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "fate"))
	}
}

// oneIn returns true in about one of n draws.
func oneIn(t *rapid.T, n int) bool {
	odds := make([]bool, n)
	odds[n-1] = true
	return rapid.SampledFrom(odds).Draw(t, "odds")
}

// proceed takes the host's next step: the pending write, then the order after it, or else a step of a report.
func (s *simulation) proceed(t *rapid.T, i int, delays []time.Duration) {
	h := &s.hosts[i]
	s.tryWrite(t, i)
	switch {
	case h.writing != nil:
	case h.unsent != nil:
		s.send(i, delays, rapid.Bool().Draw(t, "no response"))
	default:
		s.pollStep(i)
		s.report(i)
	}
}

var (
	noHost      host
	shortDelays = []time.Duration{0, time.Millisecond, time.Second}
)

// pollStep requests a report, or reads the engine's status for the request. These are separate steps, so that a report
// can be old.
func (s *simulation) pollStep(i int) {
	h := &s.hosts[i]
	switch {
	case h.poll == nil:
		h.poll = &poll{started: s.now}
	case h.poll.status == nil:
		h.poll.status = s.status()
	}
}

// report applies the status that the host's request has read.
func (s *simulation) report(i int) {
	h := &s.hosts[i]
	if h.poll == nil || h.poll.status == nil {
		return
	}
	if h.led != nil {
		h.led.ApplyReport(s.now, h.poll.started, *h.poll.status)
	}
	h.poll = nil
}

// recoverOwner makes host 0 the owner, without further failures, and returns the orders that stay in doubt.
func (s *simulation) recoverOwner(check func()) []InDoubtOrder {
	s.advance(3*maxDelay, check)
	s.delayedWrites = nil
	for i := range s.hosts {
		s.hosts[i] = noHost
	}
	s.acquireLease(0)
	s.put(0, 0)
	for range 100 {
		s.pollStep(0)
		s.pollStep(0)
		s.report(0)
		s.beginCorrection(0)
		if h := &s.hosts[0]; h.unsent != nil {
			s.put(0, 0)
			s.send(0, []time.Duration{0}, false)
		}
		s.advance(time.Second, check)
	}
	return s.hosts[0].led.InDoubt()
}

// Guards against reservations that let an engine's memory be exceeded when messages are lost, delayed or duplicated and
// the owner changes, and against orders that stay in doubt after a recovery.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", checks), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(checks)
				check := func(t *rapid.T) {
					if s.used() > capacity {
						t.Fatalf("engine holds %d of %d: %v role %q", s.used(), capacity, s.items, s.role)
					}
				}
				s.acquireLease(0)
				s.put(0, 0)
				actions := s.actions(check)
				t.Repeat(map[string]func(*rapid.T){
					"":     check,
					"step": func(t *rapid.T) { rapid.SampledFrom(actions).Draw(t, "action")(t) },
				})
				if left := s.recoverOwner(func() { check(t) }); len(left) > 0 {
					t.Fatalf("in doubt after recovery: %+v", left)
				}
				for _, it := range s.hosts[0].led.Items {
					if it.Desired && it.State() != Resident {
						t.Fatalf("desired item is %s: %+v", it.State(), it)
					}
				}
			})
		})
	}
}
