package pool

import (
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	// CodeOverloaded refuses a call that cannot start before its deadline.
	CodeOverloaded = "overloaded"
	// CodeDeadline refuses a call whose deadline passed while it waited.
	CodeDeadline = "deadline_exceeded"
	// CodeUnknownModel refuses a call for a model or adapter that the document does not name.
	CodeUnknownModel = "unknown_model"
	// CodeUnknownClass refuses a call of a class that the document does not name.
	CodeUnknownClass = "unknown_class"
	// CodeNoEngine refuses a hedge or a move that no other engine can take now.
	CodeNoEngine = "no_engine"

	evaluateEvery   = 100 * time.Millisecond
	minRetryAfterMS = 200
	maxRetryAfterMS = 30_000
)

// Dispatcher decides for the calls of one pool; one goroutine owns it, and the fields are set before first use.
type Dispatcher struct {
	Pool string
	// TicketPrefix makes the tickets of successive dispatchers of the pool distinct.
	TicketPrefix string
	// Version is the residency version that grants carry.
	Version  int64
	Classes  []envdoc.Class
	Callers  []envdoc.Caller
	Models   []envdoc.Model
	Adapters []envdoc.Adapter
	Tune     Tunables

	ready    bool
	seq      int64
	tune     Tunables
	shares   map[string]float64
	byName   map[string]*item
	items    map[string]*item
	itemList []*item
	baseOf   map[*item]*item
	classes  map[string]*class
	ranked   []*class
	engines  []*engine
	byEngine map[string]*engine
	calls    map[string]*call
	tickets  map[string]*ticket
	open     map[string][]*ticket
	due      heap[*call]
	expiry   heap[*ticket]
	lengths  map[lengthKey]*length
	perToken fit
	first    fit
	nextEval time.Time
	grants   rate
	hedges   []*call
	step     int64
	turn     int
	room     [2]mask
	roomAny  [2]mask
	ejected  mask
	ratios   []float64
	out      []Decision
}

// Configure applies the exported fields; waiting calls and tickets are kept.
func (d *Dispatcher) Configure() {
	d.tune = d.Tune.withDefaults()
	if !d.ready {
		d.init()
	}
	d.shares = make(map[string]float64, len(d.Callers))
	for _, c := range d.Callers {
		d.shares[c.Name] = float64(max(c.Share, 1))
	}
	d.configureClasses()
	d.configureItems()
	d.place()
}

// Enqueue queues a call; Step decides on it. Without Hedge, a call that holds a ticket gives it up when the new one
// is granted.
func (d *Dispatcher) Enqueue(now time.Time, a wire.TicketRequest) {
	d.ensure()
	if old := d.calls[a.CallID]; old != nil && !a.Hedge {
		d.drop(old)
	}
	c, refusal := d.newCall(now, a)
	if refusal.Code != "" {
		d.out = append(d.out, Decision{Kind: Refused, CallID: a.CallID, Grant: refusal})
		return
	}
	c.need.calls.add(now, 1)
	c.need.tokens.add(now, c.expected)
	if c.base != c.need {
		c.base.calls.add(now, 1)
		c.base.tokens.add(now, c.expected)
	}
	if !c.startBy.After(now) {
		d.refuse(now, c, CodeDeadline, "the deadline has passed")
		return
	}
	if wait, ok := d.wait(now, c); !ok && !c.class.Deferrable {
		d.refuse(now, c, CodeOverloaded, "the queue is longer than the deadline allows: "+wait.String())
		return
	}
	d.enqueue(c)
}

// Cancel drops a waiting call; a ticket that was granted is returned by a Progress with Done.
func (d *Dispatcher) Cancel(_ time.Time, callID string) {
	if c := d.calls[callID]; c != nil {
		d.drop(c)
	}
	for _, c := range d.hedges {
		if c.ask.CallID == callID && c.flow != nil {
			d.drop(c)
		}
	}
}

// RestoreTicket takes over a ticket that another dispatcher granted.
func (d *Dispatcher) RestoreTicket(now time.Time, h wire.OpenTicket) {
	d.ensure()
	if d.tickets[h.Ticket] != nil {
		return
	}
	c, refusal := d.newCall(now, h.Request)
	if refusal.Code != "" {
		return
	}
	e := d.engineNamed(h.Engine)
	if e == nil {
		return
	}
	t := d.issue(now, h.Ticket, c, e)
	if h.Tokens > 0 {
		d.started(now, t, 0)
		t.tokens = h.Tokens
		d.recheckLength(t)
	}
}

// SetEngines replaces what is known of the pool's engines; tickets on engines that are leaving are asked to move.
func (d *Dispatcher) SetEngines(now time.Time, engines []EngineState) {
	d.ensure()
	for _, e := range d.engines {
		e.known = false
	}
	for _, s := range engines {
		d.setEngine(now, s)
	}
	for _, e := range d.engines {
		if !e.known {
			e.Up = false
		}
		if !e.Up && e.mode == ejected {
			e.restore(now)
		}
	}
	d.refreshEjected()
	d.place()
}

// Step returns the decisions that are due, and when it has to run again without any other event.
func (d *Dispatcher) Step(now time.Time) ([]Decision, time.Time) {
	d.ensure()
	d.expire(now)
	d.timeouts(now)
	if !now.Before(d.nextEval) {
		d.evaluate(now)
		d.nextEval = now.Add(evaluateEvery)
	}
	d.assign(now)
	out := d.out
	d.out = nil
	return out, d.next(now)
}

// InFlight returns the number of tickets held on an engine.
func (d *Dispatcher) InFlight(engine string) int {
	if e := d.byEngine[engine]; e != nil {
		return e.inflight
	}
	return 0
}

// Waiting returns the number of calls that have no decision yet.
func (d *Dispatcher) Waiting() int { return len(d.calls) }

func (d *Dispatcher) ensure() {
	if !d.ready {
		d.Configure()
	}
}

func (d *Dispatcher) init() {
	d.ready = true
	d.byName = make(map[string]*item)
	d.items = make(map[string]*item)
	d.baseOf = make(map[*item]*item)
	d.classes = make(map[string]*class)
	d.byEngine = make(map[string]*engine)
	d.calls = make(map[string]*call)
	d.tickets = make(map[string]*ticket)
	d.open = make(map[string][]*ticket)
	d.lengths = make(map[lengthKey]*length)
	d.perToken = fit{a: initialTokenMS, b: initialTokenMSPerSeq}
	d.first = fit{a: initialFirstMS, b: initialFirstMSPerToken}
	d.due = heap[*call]{
		less:  func(a, b *call) bool { return a.dueAt().Before(b.dueAt()) },
		place: func(c *call, i int) { c.inTimer = i },
	}
	d.expiry = heap[*ticket]{
		less:  func(a, b *ticket) bool { return a.beat.Before(b.beat) },
		place: func(t *ticket, i int) { t.inTimer = i },
	}
}

func (d *Dispatcher) configureClasses() {
	d.ranked = d.ranked[:0]
	for _, c := range d.Classes {
		known := d.classes[c.Name]
		if known == nil {
			known = &class{byName: make(map[string]*caller)}
			d.classes[c.Name] = known
		}
		known.Class = c
		for name, cl := range known.byName {
			cl.share = d.share(name)
		}
		d.ranked = append(d.ranked, known)
	}
	sort.SliceStable(d.ranked, func(i, j int) bool {
		a, b := d.ranked[i], d.ranked[j]
		if a.Deferrable != b.Deferrable {
			return b.Deferrable
		}
		return a.Priority < b.Priority
	})
}

func (d *Dispatcher) configureItems() {
	previous := d.byName
	d.byName = make(map[string]*item, len(d.Models)+len(d.Adapters))
	for _, m := range d.Models {
		d.nameItem(previous, m.Name, m.Item())
	}
	for _, a := range d.Adapters {
		it := d.nameItem(previous, a.Name, a.Item())
		if base := d.byName[a.Model]; base != nil {
			d.baseOf[it] = base
		}
	}
}

func (d *Dispatcher) nameItem(previous map[string]*item, name, full string) *item {
	it := d.itemNamed(full)
	if old := previous[name]; old != nil && old != it {
		it.older = old
	}
	d.byName[name] = it
	return it
}

func (d *Dispatcher) itemNamed(full string) *item {
	it := d.items[full]
	if it == nil {
		it = &item{name: full}
		d.items[full] = it
		d.itemList = append(d.itemList, it)
	}
	return it
}

func (d *Dispatcher) share(name string) float64 {
	if s := d.shares[name]; s > 0 {
		return s
	}
	return 1
}

func (d *Dispatcher) newCall(now time.Time, a wire.TicketRequest) (*call, wire.TicketResponse) {
	cl := d.classes[a.Class]
	if cl == nil {
		return nil, wire.TicketResponse{Code: CodeUnknownClass, Reason: "the document has no class " + a.Class}
	}
	base := d.byName[a.Model]
	need := base
	if a.Adapter != "" {
		need = d.byName[a.Adapter]
	}
	if base == nil && need != nil {
		base = d.baseOf[need]
	}
	if base == nil || need == nil {
		return nil, wire.TicketResponse{
			Code: CodeUnknownModel, Reason: "the pool has no model " + a.Model + " " + a.Adapter,
		}
	}
	c := &call{ask: a, class: cl, need: need, base: base, arrived: now, inFlow: -1, inTimer: -1, seq: d.seq}
	d.seq++
	for _, name := range a.Tried {
		if e := d.byEngine[name]; e != nil {
			c.tried |= e.bit
		}
	}
	c.caller = cl.caller(a.Caller, d.share(a.Caller))
	c.expected = d.expect(c)
	c.long = d.isLong(c)
	d.setTimes(c)
	return c, wire.TicketResponse{}
}

// setTimes derives the last moments at which a start still meets the class target and the deadline.
func (d *Dispatcher) setTimes(c *call) {
	first := ms(d.first.at(float64(c.ask.PromptTokens)))
	c.startBy = c.ask.Deadline
	if c.startBy.IsZero() {
		c.startBy = c.arrived.Add(ms(float64(max(c.class.TotalMS, c.class.FirstTokenMS))))
	}
	if c.class.Deferrable || c.class.FirstTokenMS <= 0 {
		c.targetBy = c.startBy
		return
	}
	c.targetBy = c.arrived.Add(ms(float64(c.class.FirstTokenMS)) - first)
}

func (cl *class) caller(name string, share float64) *caller {
	c := cl.byName[name]
	if c == nil {
		c = &caller{share: share}
		cl.byName[name] = c
		cl.callers = append(cl.callers, c)
	}
	return c
}

func (d *Dispatcher) setEngine(now time.Time, s EngineState) {
	e := d.engineNamed(s.Name)
	if e == nil {
		return
	}
	restarted := e.BootID != "" && e.BootID != s.BootID
	if restarted {
		e.forget(now)
		d.refreshEjected()
	}
	left := s.Leaving && !e.Leaving
	e.EngineState = s
	e.known = true
	if left {
		d.moveAll(e)
	}
}

// engineNamed returns the engine's state, created when new; it is nil when the pool has too many engines.
func (d *Dispatcher) engineNamed(name string) *engine {
	if e := d.byEngine[name]; e != nil {
		return e
	}
	index := len(d.engines)
	if index >= maxEngines {
		index = d.freeIndex()
	}
	if index < 0 {
		return nil
	}
	if index == len(d.engines) {
		d.engines = append(d.engines, nil)
	} else {
		delete(d.byEngine, d.engines[index].Name)
	}
	e := &engine{index: index, bit: 1 << index, ratio: 1, relative: 1, prefixes: newRecent(prefixesPerEngine)}
	e.Name = name
	d.engines[index] = e
	d.byEngine[name] = e
	return e
}

// freeIndex returns the index of an engine that left the pool and holds no ticket, or -1.
func (d *Dispatcher) freeIndex() int {
	for i, e := range d.engines {
		if !e.known && e.inflight == 0 {
			return i
		}
	}
	return -1
}

// place rebuilds which engines hold which items.
func (d *Dispatcher) place() {
	for _, it := range d.itemList {
		it.resident, it.loading = 0, 0
	}
	for _, e := range d.engines {
		if !e.Up || e.Leaving {
			continue
		}
		for _, name := range e.Items {
			d.itemNamed(name).resident |= e.bit
		}
		for _, name := range e.Loading {
			d.itemNamed(name).loading |= e.bit
		}
	}
	d.linkVersions()
}

// linkVersions finds versions that still answer although this dispatcher never saw the document that named them.
func (d *Dispatcher) linkVersions() {
	for _, it := range d.itemList {
		name, _, _ := strings.Cut(it.name, "@")
		newest := d.byName[name]
		if it.resident != 0 && newest != nil && newest != it && newest.older == nil {
			newest.older = it
		}
	}
}

func (d *Dispatcher) nextTicket() string {
	d.seq++
	return d.Pool + "-" + d.TicketPrefix + "-" + strconv.FormatInt(d.seq, 36)
}

func (d *Dispatcher) next(now time.Time) time.Time {
	next := now.Add(d.tune.TicketExpiry)
	if len(d.calls) > 0 || len(d.tickets) > 0 {
		next = d.nextEval
	}
	if len(d.due.items) > 0 && d.due.items[0].dueAt().Before(next) {
		next = d.due.items[0].dueAt()
	}
	if len(d.expiry.items) > 0 {
		if at := d.expiry.items[0].beat.Add(d.tune.TicketExpiry); at.Before(next) {
			next = at
		}
	}
	return next
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func inMS(v time.Duration) float64 { return float64(v) / float64(time.Millisecond) }
