package ledger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/engine"
)

const rolePrefix = "role/"

// Takeover prepares the ledger for the owner with the given epoch: it raises the fencing token and counts the maximum
// order delay of every item from now. The ledger must be stored before the new owner sends any order.
func (l *Ledger) Takeover(now time.Time, epoch int64) {
	old := l.Fence
	l.Fence++
	l.Epoch = epoch
	l.inFlight = ""
	l.hasReport = false
	l.reportStarted = now
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

// BeginLoad reserves memory and returns the load order, which may be sent once the ledger is stored. It also repeats a
// lost load. It returns ErrBusy, ErrNoReport or ErrNoMemory.
func (l *Ledger) BeginLoad(now time.Time, id string, spec Item) (engine.Order, error) {
	it, err := l.reserve(spec)
	if err != nil {
		return engine.Order{}, err
	}
	kind := engine.LoadModel
	if it.Adapter {
		kind = engine.LoadAdapter
	}
	o := l.newOrder(id, kind, it)
	it.LoadFence = o.Fence
	it.LoadSent = now
	return o, nil
}

// BeginUnload marks the item as no longer desired and returns the unload order. The memory stays reserved until a
// report confirms the unload. It returns ErrItemState, ErrBusy or ErrNoReport.
func (l *Ledger) BeginUnload(now time.Time, id, name string) (engine.Order, error) {
	it := l.Item(name)
	if it == nil || it.Gone || it.Role {
		return engine.Order{}, errors.Wrapf(ErrItemState, "unload %s", name)
	}
	if err := l.checkReady(); err != nil {
		return engine.Order{}, err
	}
	kind := engine.UnloadModel
	if it.Adapter {
		kind = engine.UnloadAdapter
	}
	o := l.newOrder(id, kind, it)
	it.Desired = false
	it.UnloadFence = o.Fence
	it.UnloadSent = now
	return o, nil
}

// BeginRole reserves the memory of the role in addition to that of earlier roles, which a late order may set again.
func (l *Ledger) BeginRole(now time.Time, id, role string, memoryMB int) (engine.Order, error) {
	it, err := l.reserve(Item{Name: rolePrefix + role, Role: true, MemoryMB: memoryMB})
	if err != nil {
		return engine.Order{}, err
	}
	o := l.newOrder(id, engine.SetRole, it)
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

// BeginSync returns an order that changes nothing, except that an engine that checks fencing rejects all earlier orders
// once it has accepted this one. It returns ErrBusy.
func (l *Ledger) BeginSync(id string) (engine.Order, error) {
	if l.Busy() {
		return engine.Order{}, ErrBusy
	}
	l.Fence++
	l.inFlight = id
	return engine.Order{ID: id, Kind: engine.Sync, Fence: l.Fence}, nil
}

// BeginStoredLoad returns an order that loads again an item that is desired in the ledger and in its stored form. It
// needs no new write and serves engines that check fencing during an outage of the key-value service. Its fencing token
// is that of the stored ledger: if another owner took over, it has raised the token before it freed any memory, so that
// the engine rejects this order.
func (l *Ledger) BeginStoredLoad(now time.Time, id, name string, stored *Ledger) (engine.Order, error) {
	it, storedItem := l.Item(name), stored.Item(name)
	if it == nil || storedItem == nil || !it.Desired || !storedItem.Desired || it.Role {
		return engine.Order{}, errors.Wrapf(ErrItemState, "load %s again", name)
	}
	if err := l.checkReady(); err != nil {
		return engine.Order{}, err
	}
	if !l.Fencing() {
		return engine.Order{}, errors.Wrap(ErrItemState, "engine does not check fencing tokens")
	}
	kind := engine.LoadModel
	if it.Adapter {
		kind = engine.LoadAdapter
	}
	o := l.newOrder(id, kind, it)
	l.Fence--
	o.Fence = stored.Fence
	it.LoadFence = max(it.LoadFence, stored.Fence)
	it.LoadSent = now
	return o, nil
}

// EndOrder records the outcome of the order in flight; a nil result means that it is unknown.
// It returns true if the engine rejected the order because it has accepted a higher fencing token.
func (l *Ledger) EndOrder(now time.Time, o engine.Order, res *engine.OrderResult) bool {
	if l.inFlight != o.ID {
		return false
	}
	l.inFlight = ""
	for i := range l.Items {
		l.endItemOrder(now, &l.Items[i], o)
	}
	if res == nil {
		return false
	}
	if res.BootID == l.BootID {
		l.Seq = max(l.Seq, res.Seq)
	}
	if res.Applied {
		l.recordAccepted(now, o.Fence, res.BootID)
		return false
	}
	if l.Rules.ChecksFencing && res.Fence > o.Fence {
		l.Fence = max(l.Fence, res.Fence)
		return true
	}
	l.dropRejected(o)
	return false
}

// endItemOrder records that the order for the item ended at now; this host may have sent the order as late as now.
func (l *Ledger) endItemOrder(now time.Time, it *Item, o engine.Order) {
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

// dropRejected marks the item of a rejected load as no longer desired unless the last report showed it. Another
// transmission of the order may still be accepted, so the memory stays reserved.
func (l *Ledger) dropRejected(o engine.Order) {
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
		l.restoreRole()
	}
}

// restoreRole marks the reported role as desired again after a rejected change.
func (l *Ledger) restoreRole() {
	for i := range l.Items {
		if it := &l.Items[i]; it.Role && it.Reported != "" {
			it.Desired = true
		}
	}
}

// Drop marks an item as no longer desired without an order; if a report then shows it present, Corrections returns
// an unload. Items with an order in flight and roles do not change.
func (l *Ledger) Drop(name string) {
	if it := l.Item(name); it != nil && it.Desired && !it.Role && (!l.Busy() || it.OrderID != l.inFlight) {
		it.Desired = false
		it.Confirmed = false
	}
}

// recordAccepted records that the engine accepted the fencing token.
func (l *Ledger) recordAccepted(now time.Time, fence int64, boot string) {
	if fence >= l.Acked || boot != l.AckedBoot {
		l.Acked = max(l.Acked, fence)
		l.AckedBoot = boot
		l.ackedAt = now
	}
}

// checkReady returns ErrBusy or ErrNoReport if no order may begin.
func (l *Ledger) checkReady() error {
	if l.Busy() {
		return ErrBusy
	}
	if !l.hasReport {
		return ErrNoReport
	}
	return nil
}

// reserve finds or adds the item and reserves its memory; for an existing item only the increase must be free.
func (l *Ledger) reserve(spec Item) (*Item, error) {
	if err := l.checkReady(); err != nil {
		return nil, err
	}
	it := l.Item(spec.Name)
	neededMB := spec.MemoryMB
	if it != nil && !it.Gone {
		neededMB = max(0, spec.MemoryMB-it.MemoryMB)
	}
	if neededMB > 0 && neededMB > l.FreeMB() {
		return nil, errors.Wrapf(ErrNoMemory, "load %s: %d MB of %d free", spec.Name, neededMB, l.FreeMB())
	}
	if it == nil {
		it = l.insert(Item{Name: spec.Name})
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

// newOrder returns an order with the next fencing token and marks it as in flight.
func (l *Ledger) newOrder(id string, kind engine.OrderKind, it *Item) engine.Order {
	l.Fence++
	l.inFlight = id
	it.OrderID = id
	it.OrderEnded = time.Time{}
	it.Confirmed = false
	it.Attempts++
	return engine.Order{
		ID: id, Kind: kind, Item: it.Name, Model: it.Model, MemoryMB: it.MemoryMB, Fence: l.Fence,
	}
}
