package elect

import (
	"github.com/figreel/figreel/internal/store"
)

// Replace sets the state from a list of all keys with Prefix at a version of the store.
func (e *Elector) Replace(as store.Version, items []store.Item) {
	var leader, own *store.Item
	promised := e.promisedUntil()
	e.mu.Lock()
	if e.era.known && as.Era < e.era.number {
		e.mu.Unlock()
		return
	}
	changed := e.enterEra(as.Era, promised)
	e.lastLeader, e.recordRevision = Leader{}, 0
	for i := range items {
		switch items[i].Key {
		case leaderKey:
			leader = &items[i]
		case leaderRecordKey:
			e.lastLeader, e.recordRevision = decodeLeader(items[i].Value), items[i].Revision
		case HostPrefix + e.Self.Name:
			own = &items[i]
		}
	}
	e.checkCopy(own)
	if !e.registered || as.Compare(e.registeredAs) >= 0 {
		e.applyRegistration(own)
	}
	changed = e.applyLeader(leader) || changed
	e.mu.Unlock()
	e.notify(changed)
}

// Apply applies changes of keys with Prefix in an era of the store.
func (e *Elector) Apply(era int64, events []store.Event) {
	changed := false
	e.mu.Lock()
	if era != e.era.number {
		e.mu.Unlock()
		return
	}
	for i := range events {
		ev := &events[i]
		it := &ev.Item
		if ev.Deleted {
			it = nil
		}
		switch ev.Key {
		case leaderKey:
			changed = e.applyLeader(it) || changed
		case leaderRecordKey:
			if it != nil {
				e.lastLeader, e.recordRevision = decodeLeader(it.Value), it.Revision
			}
		case HostPrefix + e.Self.Name:
			e.applyRegistration(it)
		}
	}
	e.mu.Unlock()
	e.notify(changed)
}

// applyRegistration applies this host's registration in the store. It confirms a registration whose response was lost,
// and drops the lease if the registration was removed although the lease seems valid.
func (e *Elector) applyRegistration(it *store.Item) {
	if it != nil && e.lease.ID != 0 && it.Lease == e.lease.ID {
		e.confirmRegistration()
		return
	}
	if e.registered && (it == nil || it.Lease != e.lease.ID) {
		e.registered = false
		e.lease = store.Lease{}
	}
}

// confirmRegistration records that the registration is in the store. The caller holds e.mu.
func (e *Elector) confirmRegistration() {
	if e.registered {
		return
	}
	e.registered = true
	if !e.stillRegistered || e.now() > e.era.since+registerTime {
		e.registeredSince = e.now()
	}
	e.stillRegistered = false
}

// applyLeader applies the state of the leader key, and reports whether this host became leader or lost the leadership.
func (e *Elector) applyLeader(it *store.Item) bool {
	e.currentKnown = true
	fence := e.fence
	if it == nil {
		if e.current != nil || e.vacantSince == 0 {
			e.vacantSince = e.now()
			if len(e.lastLeader.After) == 0 && !e.era.pending || e.firstVacancy == 0 {
				e.firstVacancy = e.vacantSince
			}
		}
		e.current, e.fence = nil, 0
		return fence != 0
	}
	e.current = it
	if t := decodeLeader(it.Value); t.Nonce != e.nonce || it.Lease != e.lease.ID || e.leaving {
		e.fence = 0
		return fence != 0
	}
	if e.fence != 0 {
		return false
	}
	// The watch may report a different revision than the response to the write did, because a store may give each key
	// of a write its own revision. The revision seen first stays the fencing token, also if an older copy of the store
	// has ended the leadership for a moment.
	if e.tokenNonce != e.nonce {
		e.tokenNonce, e.token = e.nonce, fencingToken(store.Version{Era: e.era.number, Revision: it.Revision})
	}
	e.fence = e.token
	return true
}
