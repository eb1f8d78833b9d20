package elect

import (
	"bytes"

	"github.com/figreel/figreel/internal/store"
)

// Replace sets the state from a list of all keys with Prefix at a version of the store. What this host knows as of a
// later version, from an event or from the response to its own write, stays.
func (e *Elector) Replace(as store.Version, items []store.Item) {
	var leader, record, own *store.Item
	promised := e.promisedUntil()
	e.mu.Lock()
	if e.era.known && as.Era < e.era.number {
		e.mu.Unlock()
		return
	}
	changed := e.enterEra(as.Era, promised)
	for i := range items {
		switch items[i].Key {
		case leaderKey:
			leader = &items[i]
		case leaderRecordKey:
			record = &items[i]
		case HostPrefix + e.Self.Name:
			own = &items[i]
		}
	}
	e.checkCopy(own)
	if e.learnList(leaderRecordKey, as) {
		e.applyRecord(record)
	}
	if e.learnList(HostPrefix+e.Self.Name, as) {
		e.applyRegistration(own)
	}
	if e.learnList(leaderKey, as) {
		changed = e.applyLeader(leader) || changed
	}
	e.mu.Unlock()
	e.notify(changed)
}

// Apply applies changes of keys with Prefix in an era of the store. Hosts get changes from several sources, of which
// one may have been suspended, so an event may be older than what this host knows; such events are dropped.
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
		as := store.Version{Era: era, Revision: ev.Revision}
		switch ev.Key {
		case leaderKey:
			if e.learn(ev.Key, as) {
				changed = e.applyLeader(it) || changed
			} else {
				e.noteRevision(it)
			}
		case leaderRecordKey:
			if it != nil && e.learn(ev.Key, as) {
				e.applyRecord(it)
			}
		case HostPrefix + e.Self.Name:
			if e.learn(ev.Key, as) {
				e.applyRegistration(it)
			}
		}
	}
	e.mu.Unlock()
	e.notify(changed)
}

// learn records that the state of a key as of a version of the store is known, and reports whether it was known only as
// of an earlier version. The caller holds e.mu.
func (e *Elector) learn(key string, as store.Version) bool {
	known, ok := e.known[key]
	if ok && as.Compare(known) <= 0 || as.Era < e.era.number {
		return false
	}
	if e.known == nil {
		e.known = make(map[string]store.Version)
	}
	e.known[key] = as
	return true
}

// learnList is learn for a list, which is applied again if it is as old as what is known: a response to a write does
// not state the revision of each key. The caller holds e.mu.
func (e *Elector) learnList(key string, as store.Version) bool {
	return e.learn(key, as) || as == e.known[key]
}

// noteRevision corrects the revision of this leadership's key, which may be lower than that of the response to its
// write. The caller holds e.mu.
func (e *Elector) noteRevision(it *store.Item) {
	if it != nil && e.isCurrent(it.Value) {
		e.current = it
	}
}

// isCurrent reports whether the leader key has this value, which differs from leadership to leadership. The caller
// holds e.mu.
func (e *Elector) isCurrent(value []byte) bool {
	return e.current != nil && bytes.Equal(value, e.current.Value)
}

// applyRecord applies the state of the leader record.
func (e *Elector) applyRecord(it *store.Item) {
	e.lastLeader, e.recordRevision = Leader{}, 0
	if it != nil {
		e.lastLeader, e.recordRevision = decodeLeader(it.Value), it.Revision
	}
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
	e.current, e.rejections = it, 0
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
