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
	// CodeOverloaded rejects a call that, by the estimated wait, will not start before its deadline.
	CodeOverloaded = "overloaded"
	// CodeDeadline rejects a call whose deadline passed while it waited.
	CodeDeadline = "deadline_exceeded"
	// CodeUnknownModel rejects a call for a model or adapter that is not in the document.
	CodeUnknownModel = "unknown_model"
	// CodeUnknownClass rejects a call of a class that is not in the document.
	CodeUnknownClass = "unknown_class"
	// CodeNoEngine rejects a hedge or a migration if no other engine can serve it now.
	CodeNoEngine = "no_engine"

	// evaluateInterval is the interval at which engines are compared and hedging delays are updated.
	evaluateInterval = 100 * time.Millisecond
	// minRetryAfterMS and maxRetryAfterMS bound the retry delay in a rejection.
	minRetryAfterMS = 200
	maxRetryAfterMS = 30_000
)

// Dispatcher schedules the calls of one pool. It is not safe for concurrent use; the fields are set before first use.
type Dispatcher struct {
	Pool string
	// TicketPrefix keeps the ticket ids of successive dispatchers of the pool distinct.
	TicketPrefix string
	// Version is the version of the residency snapshot; tickets include it.
	Version  int64
	Classes  []envdoc.Class
	Callers  []envdoc.Caller
	Models   []envdoc.Model
	Adapters []envdoc.Adapter
	Tune     Tunables

	initialized       bool
	seq               int64
	tune              Tunables
	callerShares      map[string]float64
	itemByName        map[string]*item
	itemByVersion     map[string]*item
	itemList          []*item
	modelOf           map[*item]*item // adapter to its model
	classes           map[string]*class
	classesByPriority []*class
	engines           []*engine
	engineByName      map[string]*engine
	calls             map[string]*call
	tickets           map[string]*ticket
	openTickets       map[string][]*ticket // by call id; several while a call is hedged
	deadlines         heap[*call]
	expiries          heap[*ticket]
	outputLengths     map[lengthKey]*length
	tokenTime         fit // ms per output token by batch size
	ttft              fit // ms to the first token by prompt tokens in prefill
	nextEval          time.Time
	grantRate         rate
	hedges            []*call
	stepSeq           int64
	scanOffset        int
	// freeSlots are the engines with a free slot for short calls (index 0) and long calls (index 1), within the share
	// that their mode allows. freeSlotsAnyMode disregards the mode; it is used if all engines of a call are ejected.
	freeSlots        [2]mask
	freeSlotsAnyMode [2]mask
	ejected          mask
	slowdowns        []float64 // buffer that medianSlowdown reuses
	decisions        []Decision
}

// Configure applies the exported fields after a change; waiting calls and open tickets are kept.
func (d *Dispatcher) Configure() {
	d.tune = d.Tune.withDefaults()
	if !d.initialized {
		d.init()
	}
	d.callerShares = make(map[string]float64, len(d.Callers))
	for _, c := range d.Callers {
		d.callerShares[c.Name] = float64(max(c.Share, 1))
	}
	d.configureClasses()
	d.configureItems()
	d.updateResidency()
}

// Enqueue adds a call to the queue; Step returns the decision on it. Unless the request is a hedge, earlier tickets of
// the same call are released when the new one is granted.
func (d *Dispatcher) Enqueue(now time.Time, req wire.TicketRequest) {
	d.ensureInit()
	if old := d.calls[req.CallID]; old != nil && !req.Hedge {
		d.removeCall(old)
	}
	c, rejection := d.newCall(now, req)
	if rejection.Code != "" {
		d.decisions = append(d.decisions, Decision{Kind: Rejected, CallID: req.CallID, Grant: rejection})
		return
	}
	c.item.callRate.add(now, 1)
	c.item.tokenRate.add(now, c.expectedTokens)
	if c.model != c.item {
		c.model.callRate.add(now, 1)
		c.model.tokenRate.add(now, c.expectedTokens)
	}
	if !c.latestStart.After(now) {
		d.reject(now, c, CodeDeadline, "the deadline passed before the call was queued")
		return
	}
	if wait, ok := d.estimateWait(now, c); !ok && !c.class.Deferrable {
		d.reject(now, c, CodeOverloaded, "the deadline is too short for the estimated wait of "+wait.String())
		return
	}
	d.addCall(c)
}

// Cancel removes a waiting call. It does not release a granted ticket; ReportProgress with Done does.
func (d *Dispatcher) Cancel(_ time.Time, callID string) {
	if c := d.calls[callID]; c != nil {
		d.removeCall(c)
	}
	for _, c := range d.hedges {
		if c.req.CallID == callID && c.flow != nil {
			d.removeCall(c)
		}
	}
}

// RestoreTicket adds an open ticket that another dispatcher granted. It ignores a ticket that it already has, one whose
// class, or whose adapter or else model, is unknown here, and one on a new engine for which the pool has no room.
func (d *Dispatcher) RestoreTicket(now time.Time, ot wire.OpenTicket) {
	d.ensureInit()
	if d.tickets[ot.Ticket] != nil {
		return
	}
	c, rejection := d.newCall(now, ot.Request)
	if rejection.Code != "" {
		return
	}
	e := d.engineFor(ot.Engine)
	if e == nil {
		return
	}
	t := d.openTicket(now, ot.Ticket, c, e)
	if ot.Tokens > 0 {
		d.recordFirstToken(now, t, 0)
		t.tokens = ot.Tokens
		d.updateLength(t)
	}
}

// SetEngines replaces the states of the pool's engines. The next Step returns a Migrate decision for tickets on engines
// that start to leave.
func (d *Dispatcher) SetEngines(now time.Time, engines []EngineState) {
	d.ensureInit()
	for _, e := range d.engines {
		e.listed = false
	}
	for _, s := range engines {
		d.setEngine(now, s)
	}
	for _, e := range d.engines {
		if !e.listed {
			e.Up = false
		}
		if !e.Up && e.mode == ejected {
			e.reinstate(now)
		}
	}
	d.rebuildEjected()
	d.updateResidency()
}

// Step returns the decisions made since the last Step, and the time of the next Step if no other event comes first.
func (d *Dispatcher) Step(now time.Time) ([]Decision, time.Time) {
	d.ensureInit()
	d.expireTickets(now)
	d.handleDeadlines(now)
	if !now.Before(d.nextEval) {
		d.evaluate(now)
		d.nextEval = now.Add(evaluateInterval)
	}
	d.grantTickets(now)
	out := d.decisions
	d.decisions = nil
	return out, d.nextStep(now)
}

// InFlight returns the number of open tickets on an engine.
func (d *Dispatcher) InFlight(engine string) int {
	if e := d.engineByName[engine]; e != nil {
		return e.inFlight
	}
	return 0
}

// Waiting returns the number of calls without a decision, hedges excluded.
func (d *Dispatcher) Waiting() int { return len(d.calls) }

func (d *Dispatcher) ensureInit() {
	if !d.initialized {
		d.Configure()
	}
}

func (d *Dispatcher) init() {
	d.initialized = true
	d.itemByName = make(map[string]*item)
	d.itemByVersion = make(map[string]*item)
	d.modelOf = make(map[*item]*item)
	d.classes = make(map[string]*class)
	d.engineByName = make(map[string]*engine)
	d.calls = make(map[string]*call)
	d.tickets = make(map[string]*ticket)
	d.openTickets = make(map[string][]*ticket)
	d.outputLengths = make(map[lengthKey]*length)
	d.tokenTime = fit{a: initialTokenMS, b: initialTokenMSPerSeq}
	d.ttft = fit{a: initialTTFTMS, b: initialTTFTMSPerToken}
	d.deadlines = heap[*call]{
		less:     func(a, b *call) bool { return a.nextDeadline().Before(b.nextDeadline()) },
		setIndex: func(c *call, i int) { c.deadlineIndex = i },
	}
	d.expiries = heap[*ticket]{
		less:     func(a, b *ticket) bool { return a.lastReport.Before(b.lastReport) },
		setIndex: func(t *ticket, i int) { t.expiryIndex = i },
	}
}

func (d *Dispatcher) configureClasses() {
	d.classesByPriority = d.classesByPriority[:0]
	for _, c := range d.Classes {
		cl := d.classes[c.Name]
		if cl == nil {
			cl = &class{byName: make(map[string]*caller)}
			d.classes[c.Name] = cl
		}
		cl.Class = c
		for name, cr := range cl.byName {
			cr.share = d.shareOf(name)
		}
		d.classesByPriority = append(d.classesByPriority, cl)
	}
	sort.SliceStable(d.classesByPriority, func(i, j int) bool {
		a, b := d.classesByPriority[i], d.classesByPriority[j]
		if a.Deferrable != b.Deferrable {
			return b.Deferrable
		}
		return a.Priority < b.Priority
	})
}

func (d *Dispatcher) configureItems() {
	previous := d.itemByName
	d.itemByName = make(map[string]*item, len(d.Models)+len(d.Adapters))
	for _, m := range d.Models {
		d.setCurrentItem(previous, m.Name, m.Item())
	}
	for _, a := range d.Adapters {
		it := d.setCurrentItem(previous, a.Name, a.Item())
		if model := d.itemByName[a.Model]; model != nil {
			d.modelOf[it] = model
		}
	}
}

// setCurrentItem makes a version the current one of its name; the previous version becomes its fallback.
func (d *Dispatcher) setCurrentItem(previous map[string]*item, name, version string) *item {
	it := d.itemFor(version)
	if prev := previous[name]; prev != nil && prev != it {
		it.fallback = prev
	}
	d.itemByName[name] = it
	return it
}

func (d *Dispatcher) itemFor(version string) *item {
	it := d.itemByVersion[version]
	if it == nil {
		it = &item{name: version}
		d.itemByVersion[version] = it
		d.itemList = append(d.itemList, it)
	}
	return it
}

func (d *Dispatcher) shareOf(name string) float64 {
	if s := d.callerShares[name]; s > 0 {
		return s
	}
	return 1
}

func (d *Dispatcher) newCall(now time.Time, req wire.TicketRequest) (*call, wire.TicketResponse) {
	cl := d.classes[req.Class]
	if cl == nil {
		return nil, wire.TicketResponse{Code: CodeUnknownClass, Reason: "the document has no class " + req.Class}
	}
	model := d.itemByName[req.Model]
	it := model
	if req.Adapter != "" {
		it = d.itemByName[req.Adapter]
	}
	if model == nil && it != nil {
		model = d.modelOf[it]
	}
	if model == nil || it == nil {
		return nil, wire.TicketResponse{
			Code: CodeUnknownModel, Reason: "the pool has no model " + req.Model + " " + req.Adapter,
		}
	}
	c := &call{req: req, class: cl, item: it, model: model, arrived: now, flowIndex: -1, deadlineIndex: -1, seq: d.seq}
	d.seq++
	for _, name := range req.Tried {
		if e := d.engineByName[name]; e != nil {
			c.tried |= e.bit
		}
	}
	c.caller = cl.callerFor(req.Caller, d.shareOf(req.Caller))
	c.expectedTokens = d.estimateLength(c)
	c.long = d.isLong(c)
	d.setDeadlines(c)
	return c, wire.TicketResponse{}
}

// setDeadlines sets the latest times of a grant that can meet the target of the class and the deadline. The target is a
// time to first token, so the predicted one is subtracted from it.
func (d *Dispatcher) setDeadlines(c *call) {
	ttft := ms(d.ttft.predict(float64(c.req.PromptTokens)))
	c.latestStart = c.req.Deadline
	if c.latestStart.IsZero() {
		c.latestStart = c.arrived.Add(ms(float64(max(c.class.TotalMS, c.class.FirstTokenMS))))
	}
	if c.class.Deferrable || c.class.FirstTokenMS <= 0 {
		c.latestStartForTarget = c.latestStart
		return
	}
	c.latestStartForTarget = c.arrived.Add(ms(float64(c.class.FirstTokenMS)) - ttft)
}

func (cl *class) callerFor(name string, share float64) *caller {
	c := cl.byName[name]
	if c == nil {
		c = &caller{share: share}
		cl.byName[name] = c
		cl.callers = append(cl.callers, c)
	}
	return c
}

func (d *Dispatcher) setEngine(now time.Time, s EngineState) {
	e := d.engineFor(s.Name)
	if e == nil {
		return
	}
	restarted := e.BootID != "" && e.BootID != s.BootID
	if restarted {
		e.reset(now)
		d.rebuildEjected()
	}
	startsLeaving := s.Leaving && !e.Leaving
	e.EngineState = s
	e.listed = true
	if startsLeaving {
		d.migrateAll(e)
	}
}

// engineFor returns the engine with that name and adds it if it is new. It returns nil if the pool has maxEngines
// engines and none of them can be replaced.
func (d *Dispatcher) engineFor(name string) *engine {
	if e := d.engineByName[name]; e != nil {
		return e
	}
	index := len(d.engines)
	if index >= maxEngines {
		index = d.reusableIndex()
	}
	if index < 0 {
		return nil
	}
	if index == len(d.engines) {
		d.engines = append(d.engines, nil)
	} else {
		delete(d.engineByName, d.engines[index].Name)
	}
	e := &engine{
		index: index, bit: 1 << index, slowdown: 1, relativeSlowdown: 1, prefixes: newRecentSet(prefixesPerEngine),
	}
	e.Name = name
	d.engines[index] = e
	d.engineByName[name] = e
	return e
}

// reusableIndex returns the index of an engine that left the pool and has no open ticket, or -1.
func (d *Dispatcher) reusableIndex() int {
	for i, e := range d.engines {
		if !e.listed && e.inFlight == 0 {
			return i
		}
	}
	return -1
}

// updateResidency recomputes on which engines each item is resident or loading; engines that are down or leaving are
// excluded.
func (d *Dispatcher) updateResidency() {
	for _, it := range d.itemList {
		it.resident, it.loading = 0, 0
	}
	for _, e := range d.engines {
		if !e.Up || e.Leaving {
			continue
		}
		for _, name := range e.Items {
			d.itemFor(name).resident |= e.bit
		}
		for _, name := range e.Loading {
			d.itemFor(name).loading |= e.bit
		}
	}
	d.linkFallbacks()
}

// linkFallbacks sets resident older versions as fallbacks. It covers versions from a document that was replaced before
// this dispatcher started, which Configure never sees.
func (d *Dispatcher) linkFallbacks() {
	for _, it := range d.itemList {
		name, _, _ := strings.Cut(it.name, "@")
		current := d.itemByName[name]
		if it.resident != 0 && current != nil && current != it && current.fallback == nil {
			current.fallback = it
		}
	}
}

func (d *Dispatcher) newTicketID() string {
	d.seq++
	return d.Pool + "-" + d.TicketPrefix + "-" + strconv.FormatInt(d.seq, 36)
}

// nextStep returns the time of the next deadline, ticket expiry or evaluation.
func (d *Dispatcher) nextStep(now time.Time) time.Time {
	next := now.Add(d.tune.TicketExpiry)
	if len(d.calls) > 0 || len(d.tickets) > 0 {
		next = d.nextEval
	}
	if len(d.deadlines.items) > 0 && d.deadlines.items[0].nextDeadline().Before(next) {
		next = d.deadlines.items[0].nextDeadline()
	}
	if len(d.expiries.items) > 0 {
		if at := d.expiries.items[0].lastReport.Add(d.tune.TicketExpiry); at.Before(next) {
			next = at
		}
	}
	return next
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func inMS(v time.Duration) float64 { return float64(v) / float64(time.Millisecond) }
