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
	capacity = 10
	horizon  = 60 * time.Second
	owners   = 3
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
	// rig is one engine with its stored ledger, the owners that compete for it and the network between them.
	rig struct {
		rules   Rules
		now     time.Time
		boot    int
		seq     int64
		fence   int64
		items   map[string]int
		role    string
		stored  []byte
		version int
		late    []write
		holder  int
		epoch   int64
		ids     int
		wire    []copyOf
		hosts   [owners]host
	}

	// host is one owner; next is the order to send once body is stored, and out the order that it waits for.
	host struct {
		led     *Ledger
		kept    []byte
		version int
		epoch   int64
		next    *engine.Order
		writing *write
		out     *engine.Order
		poll    *poll
	}

	write struct {
		body    []byte
		version int
	}

	poll struct {
		started time.Time
		taken   *engine.Status
	}

	// copyOf is an order on its way; the answer goes to the sender unless quiet.
	copyOf struct {
		at    time.Time
		order engine.Order
		from  int
		quiet bool
	}
)

func newRig(checks bool) *rig {
	return &rig{
		rules:  Rules{CapacityMB: capacity, MaxOrderDelay: horizon, ChecksFencing: checks},
		now:    time.Unix(0, 0),
		items:  make(map[string]int),
		holder: -1,
	}
}

func (r *rig) id() string {
	r.ids++
	return fmt.Sprint(r.ids)
}

func (r *rig) used() int {
	sum := sizes[r.role]
	for _, mb := range r.items {
		sum += mb
	}
	return sum
}

// cas is the key-value service's conditional write.
func (r *rig) cas(w write) bool {
	if w.version != r.version {
		return false
	}
	r.stored = w.body
	r.version++
	return true
}

// campaign gives the lease to a host, which reads the ledger and prepares its takeover.
func (r *rig) campaign(i int) {
	r.holder = i
	r.epoch++
	led := &Ledger{}
	if r.stored != nil {
		var err error
		if led, err = Decode(r.stored); err != nil {
			panic(err)
		}
	}
	led.Rules = r.rules
	led.Takeover(r.now, r.epoch)
	r.hosts[i] = host{led: led, version: r.version, epoch: r.epoch, poll: r.hosts[i].poll}
	r.prepare(i, nil)
}

// prepare encodes the host's ledger for a write; the order is sent after it.
func (r *rig) prepare(i int, o *engine.Order) {
	h := &r.hosts[i]
	h.led.WriteID = r.id()
	body, err := h.led.Encode()
	if err != nil {
		panic(err)
	}
	h.writing = &write{body, h.version}
	h.next = o
}

// put tries the host's write: fate 0 answers, 1 loses the answer, 2 loses the write, 3 delays it.
func (r *rig) put(i, fate int) {
	h := &r.hosts[i]
	w := *h.writing
	switch fate {
	case 2:
		return
	case 3:
		r.late = append(r.late, w)
		return
	}
	done := r.cas(w) || r.readBack(w)
	switch {
	case fate == 1:
	case !done:
		*h = host{}
	default:
		h.version = r.version
		h.kept = w.body
		h.writing = nil
	}
}

// readBack resolves a conflict by the write id.
func (r *rig) readBack(w write) bool {
	mine, err := Decode(w.body)
	if err != nil || r.stored == nil {
		return false
	}
	have, err := Decode(r.stored)
	return err == nil && have.WriteID == mine.WriteID
}

// send passes the lease check and puts copies of the order on the wire, each within the horizon.
func (r *rig) send(i int, delays []time.Duration, quiet bool) {
	h := &r.hosts[i]
	o := h.next
	h.next = nil
	if r.holder != i || h.epoch != r.epoch {
		h.led.EndOrder(r.now, *o, nil)
		return
	}
	h.out = o
	r.transmit(i, *o, delays, quiet)
}

func (r *rig) transmit(i int, o engine.Order, delays []time.Duration, quiet bool) {
	for _, d := range delays {
		r.wire = append(r.wire, copyOf{at: r.now.Add(d), order: o, from: i, quiet: quiet})
	}
	slices.SortStableFunc(r.wire, func(a, b copyOf) int { return a.at.Compare(b.at) })
}

// advance moves time; copies that are due arrive on the way, and check runs after each.
func (r *rig) advance(d time.Duration, check func()) {
	end := r.now.Add(d)
	for len(r.wire) > 0 && !r.wire[0].at.After(end) {
		c := r.wire[0]
		r.wire = r.wire[1:]
		r.now = c.at
		res := r.arrive(c.order)
		check()
		h := &r.hosts[c.from]
		if !c.quiet && h.out != nil && h.out.ID == c.order.ID {
			h.out = nil
			h.led.EndOrder(r.now, c.order, &res)
		}
	}
	r.now = end
}

func (r *rig) arrive(o engine.Order) engine.OrderResult {
	r.seq++
	res := engine.OrderResult{Fence: r.fence, BootID: fmt.Sprint(r.boot), Seq: r.seq}
	if r.rules.ChecksFencing && o.Fence < r.fence {
		return res
	}
	r.fence = max(r.fence, o.Fence)
	res.Fence = r.fence
	res.Applied = true
	switch o.Kind {
	case engine.LoadModel:
		r.items[o.Item] = o.MemoryMB
	case engine.UnloadModel:
		delete(r.items, o.Item)
	case engine.SetRole:
		r.role = o.Role
	}
	return res
}

func (r *rig) restart() {
	r.boot++
	r.seq = 0
	r.items = make(map[string]int)
	r.role = ""
}

func (r *rig) status() *engine.Status {
	r.seq++
	st := engine.Status{BootID: fmt.Sprint(r.boot), Seq: r.seq, Fence: r.fence, Role: r.role}
	for name, mb := range r.items {
		st.Items = append(st.Items, engine.Item{Name: name, MemoryMB: mb, State: engine.Resident})
	}
	return &st
}

// begin starts one order at a host that is idle; what is a kind and an item or role.
func (r *rig) begin(i int, kind engine.OrderKind, name string) {
	h := &r.hosts[i]
	if h.led == nil || h.writing != nil || h.next != nil || h.out != nil {
		return
	}
	var o engine.Order
	var err error
	switch kind {
	case engine.LoadModel:
		o, err = h.led.BeginLoad(r.now, r.id(), Item{Name: name, MemoryMB: sizes[name]})
	case engine.UnloadModel:
		o, err = h.led.BeginUnload(r.now, r.id(), name)
	case engine.SetRole:
		o, err = h.led.BeginRole(r.now, r.id(), name, sizes[name])
	default:
		o, err = h.led.BeginSync(r.id())
	}
	if err == nil {
		r.prepare(i, &o)
	}
}

func (r *rig) need(i int) {
	h := &r.hosts[i]
	if h.led == nil {
		return
	}
	for _, n := range h.led.Corrections() {
		switch {
		case n.Kind == SyncFence:
			r.begin(i, engine.Sync, "")
		case n.Kind == UnloadAgain:
			r.begin(i, engine.UnloadModel, n.Item.Name)
		case n.Item.Role:
			r.begin(i, engine.SetRole, n.Item.Name[len(rolePrefix):])
		default:
			r.begin(i, engine.LoadModel, n.Item.Name)
		}
	}
}

// recorded sends a stored load again without a lease; such an order may take any time.
func (r *rig) recorded(i int, name string, delay time.Duration) {
	h := &r.hosts[i]
	if h.led == nil || h.kept == nil || h.out != nil || h.writing != nil || h.next != nil {
		return
	}
	stored, err := Decode(h.kept)
	if err != nil {
		panic(err)
	}
	if o, err := h.led.BeginStoredLoad(r.now, r.id(), name, stored); err == nil {
		h.out = &o
		r.transmit(i, o, []time.Duration{delay}, false)
	}
}

func (r *rig) actions(check func(*rapid.T)) []func(*rapid.T) {
	// Most actions concern the owner; the others are hosts that were owners and are still running.
	host := func(t *rapid.T) int {
		return rapid.SampledFrom([]int{max(r.holder, 0), max(r.holder, 0), 0, 1, 2}).Draw(t, "host")
	}
	delay := func(t *rapid.T) time.Duration {
		return rapid.SampledFrom([]time.Duration{0, time.Second, horizon / 2, horizon - 1}).Draw(t, "delay")
	}
	push := func(t *rapid.T, i int) {
		for range 3 {
			if once(t, 8) {
				return
			}
			r.work(t, i, rapid.SliceOfN(rapid.Custom(delay), 0, 2).Draw(t, "delays"))
		}
	}
	begin := func(kind engine.OrderKind, names ...string) func(*rapid.T) {
		return func(t *rapid.T) {
			i := host(t)
			r.begin(i, kind, rapid.SampledFrom(names).Draw(t, "name"))
			push(t, i)
		}
	}
	// rapid draws the first entries most often.
	return []func(*rapid.T){
		begin(engine.LoadModel, "c", "d", "b", "a"),
		begin(engine.UnloadModel, "c", "d", "b", "a"),
		func(t *rapid.T) { r.poll(host(t)) },
		func(t *rapid.T) { r.advance(delay(t)+rapid.SampledFrom(steps).Draw(t, "more"), func() { check(t) }) },
		func(t *rapid.T) { push(t, host(t)) },
		func(t *rapid.T) {
			i := host(t)
			r.need(i)
			push(t, i)
		},
		func(t *rapid.T) { r.ask(host(t)) },
		func(t *rapid.T) {
			if h := &r.hosts[host(t)]; h.out != nil {
				h.led.EndOrder(r.now, *h.out, nil)
				h.out = nil
			}
		},
		func(t *rapid.T) {
			if r.holder < 0 || once(t, 3) {
				i := rapid.IntRange(0, owners-1).Draw(t, "host")
				r.campaign(i)
				push(t, i)
			}
		},
		func(t *rapid.T) { r.report(host(t)) },
		func(t *rapid.T) {
			r.recorded(host(t), rapid.SampledFrom([]string{"c", "d", "b", "a"}).Draw(t, "name"), 3*delay(t))
		},
		begin(engine.SetRole, "x", "y"),
		func(t *rapid.T) {
			if once(t, 3) {
				r.restart()
			}
		},
		func(*rapid.T) {
			if len(r.late) > 0 {
				r.cas(r.late[0])
				r.late = r.late[1:]
			}
		},
		func(t *rapid.T) {
			if i := host(t); once(t, 5) {
				r.hosts[i] = host0
			}
		},
	}
}

// poll reads a report at once.
func (r *rig) poll(i int) {
	r.ask(i)
	r.ask(i)
	r.report(i)
}

func (r *rig) write(t *rapid.T, i int) {
	if r.hosts[i].writing != nil {
		r.put(i, rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "fate"))
	}
}

// once is true in about one of n draws.
func once(t *rapid.T, n int) bool {
	odds := make([]bool, n)
	odds[n-1] = true
	return rapid.SampledFrom(odds).Draw(t, "odds")
}

// work takes the host's next step: a write, then the order, then a report.
func (r *rig) work(t *rapid.T, i int, delays []time.Duration) {
	h := &r.hosts[i]
	r.write(t, i)
	switch {
	case h.writing != nil:
	case h.next != nil:
		r.send(i, delays, rapid.Bool().Draw(t, "quiet"))
	default:
		r.ask(i)
		r.report(i)
	}
}

var (
	host0 host
	steps = []time.Duration{0, time.Millisecond, time.Second}
)

// ask starts a report, or takes the one that was started; the two lie apart so that a report can be old.
func (r *rig) ask(i int) {
	h := &r.hosts[i]
	switch {
	case h.poll == nil:
		h.poll = &poll{started: r.now}
	case h.poll.taken == nil:
		h.poll.taken = r.status()
	}
}

func (r *rig) report(i int) {
	h := &r.hosts[i]
	if h.poll == nil || h.poll.taken == nil {
		return
	}
	if h.led != nil {
		h.led.ApplyReport(r.now, h.poll.started, *h.poll.taken)
	}
	h.poll = nil
}

// recover lets host 0 own the engine without further failures and returns what stays in doubt.
func (r *rig) recover(check func()) []InDoubtOrder {
	r.advance(3*horizon, check)
	r.late = nil
	for i := range r.hosts {
		r.hosts[i] = host0
	}
	r.campaign(0)
	r.put(0, 0)
	for range 100 {
		r.ask(0)
		r.ask(0)
		r.report(0)
		r.need(0)
		if h := &r.hosts[0]; h.next != nil {
			r.put(0, 0)
			r.send(0, []time.Duration{0}, false)
		}
		r.advance(time.Second, check)
	}
	return r.hosts[0].led.InDoubt()
}

// Guards against memory that is promised twice, whatever is lost, late or doubled and whoever owns the engine, and
// against orders that are never settled.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", checks), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				r := newRig(checks)
				check := func(t *rapid.T) {
					if r.used() > capacity {
						t.Fatalf("engine holds %d of %d: %v role %q", r.used(), capacity, r.items, r.role)
					}
				}
				r.campaign(0)
				r.put(0, 0)
				actions := r.actions(check)
				t.Repeat(map[string]func(*rapid.T){
					"":     check,
					"step": func(t *rapid.T) { rapid.SampledFrom(actions).Draw(t, "action")(t) },
				})
				if left := r.recover(func() { check(t) }); len(left) > 0 {
					t.Fatalf("in doubt after recovery: %+v", left)
				}
				for _, it := range r.hosts[0].led.Items {
					if it.Desired && it.State() != Resident {
						t.Fatalf("wanted item is %s: %+v", it.State(), it)
					}
				}
			})
		})
	}
}
