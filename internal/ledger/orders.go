package ledger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
)

const rolePrefix = "role/"

// Takeover makes epoch the owner: it raises the fencing counter and restarts every horizon at now.
// It must be stored before the new owner sends any order.
func (l *Ledger) Takeover(now time.Time, epoch int64) {
	old := l.Fence
	l.Fence++
	l.Epoch = epoch
	l.flying = ""
	l.seen = false
	l.reported = now
	l.ackedAt = now
	for i := range l.Items {
		it := &l.Items[i]
		it.LoadFence = old
		it.LoadSent = now
		if it.UnloadFence > 0 {
			it.UnloadFence = old
			it.UnloadSent = now
		}
		it.OrderEnded = now
		it.Confirmed = false
	}
}

// BeginLoad reserves memory and returns the load order to send once the ledger is stored; it also repeats a lost load.
func (l *Ledger) BeginLoad(now time.Time, id string, spec Item) (engine.Order, error) {
	it, err := l.reserve(spec)
	if err != nil {
		return engine.Order{}, err
	}
	kind := engine.LoadModel
	if it.Adapter {
		kind = engine.LoadAdapter
	}
	o := l.begin(id, kind, it)
	it.LoadFence = o.Fence
	it.LoadSent = now
	return o, nil
}

// BeginUnload gives up the item and returns the unload order; its memory stays reserved until a report settles it.
func (l *Ledger) BeginUnload(now time.Time, id, name string) (engine.Order, error) {
	it := l.Item(name)
	if it == nil || it.Gone || it.Role {
		return engine.Order{}, errors.Wrapf(ErrItemState, "unload %s", name)
	}
	if err := l.ready(); err != nil {
		return engine.Order{}, err
	}
	kind := engine.UnloadModel
	if it.Adapter {
		kind = engine.UnloadAdapter
	}
	o := l.begin(id, kind, it)
	it.Desired = false
	it.UnloadFence = o.Fence
	it.UnloadSent = now
	return o, nil
}

// BeginRole reserves the memory of the role beside that of earlier roles, which a late order may bring back.
func (l *Ledger) BeginRole(now time.Time, id, role string, memoryMB int) (engine.Order, error) {
	it, err := l.reserve(Item{Name: rolePrefix + role, Role: true, MemoryMB: memoryMB})
	if err != nil {
		return engine.Order{}, err
	}
	o := l.begin(id, engine.SetRole, it)
	o.Item = ""
	o.Role = role
	it.LoadFence = o.Fence
	it.LoadSent = now
	for i := range l.Items {
		other := &l.Items[i]
		if other.Role && other.Name != it.Name && !other.Gone {
			other.Desired = false
			other.OrderEnded = time.Time{}
			other.OrderID = id
		}
	}
	return o, nil
}

// BeginSync returns an order that changes nothing but voids all earlier ones on an engine that checks fencing.
func (l *Ledger) BeginSync(id string) (engine.Order, error) {
	if l.Busy() {
		return engine.Order{}, ErrBusy
	}
	l.Fence++
	l.flying = id
	return engine.Order{ID: id, Kind: engine.Sync, Fence: l.Fence}, nil
}

// BeginStoredLoad returns the order that loads a stored wanted item again without a new write, for engines that check
// fencing during an outage of the key-value service. Its number is that of the stored ledger: an owner that took over
// has raised the number before it freed anything.
func (l *Ledger) BeginStoredLoad(now time.Time, id, name string, stored *Ledger) (engine.Order, error) {
	it, kept := l.Item(name), stored.Item(name)
	if it == nil || kept == nil || !it.Desired || !kept.Desired || it.Role {
		return engine.Order{}, errors.Wrapf(ErrItemState, "load %s again", name)
	}
	if err := l.ready(); err != nil {
		return engine.Order{}, err
	}
	if !l.Fencing() {
		return engine.Order{}, errors.Wrap(ErrItemState, "engine ignores fencing numbers")
	}
	kind := engine.LoadModel
	if it.Adapter {
		kind = engine.LoadAdapter
	}
	o := l.begin(id, kind, it)
	l.Fence--
	o.Fence = stored.Fence
	it.LoadFence = max(it.LoadFence, stored.Fence)
	it.LoadSent = now
	return o, nil
}

// EndOrder records the outcome of the order in flight; a nil result means that it is unknown.
// It returns true when the engine refused the order because it has seen a higher number.
func (l *Ledger) EndOrder(now time.Time, o engine.Order, res *engine.OrderResult) bool {
	if l.flying != o.ID {
		return false
	}
	l.flying = ""
	for i := range l.Items {
		l.close(now, &l.Items[i], o)
	}
	if res == nil {
		return false
	}
	if res.BootID == l.BootID {
		l.Seq = max(l.Seq, res.Seq)
	}
	if res.Applied {
		l.accepted(now, o.Fence, res.BootID)
		return false
	}
	if l.Rules.ChecksFencing && res.Fence > o.Fence {
		l.Fence = max(l.Fence, res.Fence)
		return true
	}
	l.drop(o)
	return false
}

// close ends the order for its item; the order can have left this host as late as now.
func (l *Ledger) close(now time.Time, it *Item, o engine.Order) {
	if it.OrderID != o.ID {
		return
	}
	it.OrderEnded = now
	switch o.Kind {
	case engine.UnloadModel, engine.UnloadAdapter:
		it.UnloadSent = now
	case engine.LoadModel, engine.LoadAdapter, engine.SetRole:
		it.LoadSent = now
	}
}

// drop gives up a load that the engine refused; a copy of it may still be accepted, so the memory stays reserved.
func (l *Ledger) drop(o engine.Order) {
	name := o.Item
	if o.Kind == engine.SetRole {
		name = rolePrefix + o.Role
	}
	it := l.Item(name)
	if it == nil || o.Kind == engine.UnloadModel || o.Kind == engine.UnloadAdapter {
		return
	}
	if it.Reported == "" {
		it.Desired = false
		it.Confirmed = false
	}
	if o.Kind == engine.SetRole {
		l.keepRole()
	}
}

// keepRole wants the reported role again after a refused change.
func (l *Ledger) keepRole() {
	for i := range l.Items {
		if it := &l.Items[i]; it.Role && it.Reported != "" {
			it.Desired = true
		}
	}
}

// Abandon stops wanting an item without an order; a report that shows it present makes an unload due.
func (l *Ledger) Abandon(name string) {
	if it := l.Item(name); it != nil && it.Desired && !it.Role && (!l.Busy() || it.OrderID != l.flying) {
		it.Desired = false
		it.Confirmed = false
	}
}

func (l *Ledger) accepted(now time.Time, fence int64, boot string) {
	if fence >= l.Acked || boot != l.AckedBoot {
		l.Acked = max(l.Acked, fence)
		l.AckedBoot = boot
		l.ackedAt = now
	}
}

func (l *Ledger) ready() error {
	if l.Busy() {
		return ErrBusy
	}
	if !l.seen {
		return ErrNoReport
	}
	return nil
}

// reserve finds or adds the item and counts its memory; a larger size than before needs the difference.
func (l *Ledger) reserve(spec Item) (*Item, error) {
	if err := l.ready(); err != nil {
		return nil, err
	}
	it := l.Item(spec.Name)
	need := spec.MemoryMB
	if it != nil && !it.Gone {
		need = max(0, spec.MemoryMB-it.MemoryMB)
	}
	if need > 0 && need > l.FreeMB() {
		return nil, errors.Wrapf(ErrNoMemory, "load %s: %d MB of %d free", spec.Name, need, l.FreeMB())
	}
	if it == nil {
		it = l.put(Item{Name: spec.Name})
	}
	if it.Gone {
		it.MemoryMB = 0
	}
	it.Model = spec.Model
	it.Adapter = spec.Adapter
	it.Role = spec.Role
	it.MemoryMB = max(it.MemoryMB, spec.MemoryMB)
	it.Gone = false
	it.Desired = true
	return it, nil
}

func (l *Ledger) begin(id string, kind engine.OrderKind, it *Item) engine.Order {
	l.Fence++
	l.flying = id
	it.OrderID = id
	it.OrderEnded = time.Time{}
	it.Confirmed = false
	it.Attempts++
	return engine.Order{
		ID: id, Kind: kind, Item: it.Name, Model: it.Model, MemoryMB: it.MemoryMB, Fence: l.Fence,
	}
}
