package vers

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/topo"
)

// minRetention is the time for which records are kept at least.
const minRetention = 10 * time.Second

type (
	// Version is a software version of a service.
	Version struct{ Service, Software string }

	// Record says which software version of which service began a stream.
	Record struct {
		Stream   uint64 `cbor:"1,keyasint"` // see Stream
		Software string `cbor:"2,keyasint"`
		// Service is empty in records of hosts of earlier releases.
		Service string `cbor:"3,keyasint,omitempty"`
	}

	// Table holds the records and the versions in service that one host knows; its zero value is empty.
	Table struct {
		// Life is how long a stream can last with all attempts of its caller; records are kept for that long at least.
		Life time.Duration

		// Records are kept in two generations, so that the older half can be dropped at once.
		recent, old map[uint64]entry
		rotatedAt   time.Time
		listed      map[Version]bool
		lastSeen    map[Version]time.Time // when a version was last known to be in service
		origins     map[Version]*Version  // one copy of each version in the recent records
		watchedFrom time.Time             // when the versions in service were first known, zero before
		assumed     map[string]assumed    // by service
	}

	entry struct {
		origin *Version
		own    bool // this host answers for the record
		saved  bool
	}
)

// Stream returns what identifies the stream that an attempt began, from the ID of that attempt.
func Stream(id string) uint64 { return xxhash.Sum64String(id) }

// Begin records that a stream began at this host, or at a leader for which this host keeps the record.
func (t *Table) Begin(now time.Time, r Record) { t.put(now, r, entry{own: true}) }

// Learn records what another host knows of a stream.
func (t *Table) Learn(now time.Time, list ...Record) {
	for _, r := range list {
		t.put(now, r, entry{})
	}
}

// Load records what the store has of a stream.
func (t *Table) Load(now time.Time, list ...Record) {
	for _, r := range list {
		t.put(now, r, entry{saved: true})
	}
}

// put adds a record. What began a stream never changes, but a record may lack the service.
func (t *Table) put(now time.Time, r Record, e entry) {
	if now.Sub(t.rotatedAt) >= t.Retention() {
		t.recent, t.old = make(map[uint64]entry), t.recent
		t.origins = make(map[Version]*Version)
		t.rotatedAt = now
	}
	origin := Version{r.Service, r.Software}
	if known, ok := t.lookup(r.Stream); ok {
		e.own, e.saved = known.own || e.own, known.saved || e.saved
		if known.origin.Service != "" || origin.Service == "" || known.origin.Software != origin.Software {
			origin = *known.origin
		}
	}
	if e.origin = t.origins[origin]; e.origin == nil {
		e.origin = &Version{origin.Service, origin.Software}
		t.origins[origin] = e.origin
	}
	t.recent[r.Stream] = e
}

func (t *Table) lookup(stream uint64) (entry, bool) {
	if e, ok := t.recent[stream]; ok {
		return e, true
	}
	e, ok := t.old[stream]
	return e, ok
}

// Lookup returns what began the stream of an attempt, and false if it is not known. The service is empty if only the
// software version is known.
func (t *Table) Lookup(id string) (Version, bool) {
	e, ok := t.lookup(Stream(id))
	if !ok {
		return Version{}, false
	}
	return *e.origin, true
}

// Own returns the records that Begin has added.
func (t *Table) Own() []Record { return t.records(func(e entry) bool { return e.own }) }

// UnsavedOwn returns the records that Begin has added and that are not in the store.
func (t *Table) UnsavedOwn() []Record {
	return t.records(func(e entry) bool { return e.own && !e.saved })
}

// Unsaved returns the records that are not in the store.
func (t *Table) Unsaved() []Record { return t.records(func(e entry) bool { return !e.saved }) }

func (t *Table) records(want func(entry) bool) []Record {
	var out []Record
	for _, m := range []map[uint64]entry{t.recent, t.old} {
		for stream, e := range m {
			if want(e) {
				out = append(out, Record{Stream: stream, Software: e.origin.Software, Service: e.origin.Service})
			}
		}
	}
	return out
}

// SetSaved records that the store has records, or with saved false that it may have lost them.
func (t *Table) SetSaved(list []Record, saved bool) {
	for _, r := range list {
		for _, m := range []map[uint64]entry{t.recent, t.old} {
			if e, ok := m[r.Stream]; ok {
				e.saved = saved
				m[r.Stream] = e
			}
		}
	}
}

// Forget records that the store may have lost all records.
func (t *Table) Forget() { t.SetSaved(t.records(func(entry) bool { return true }), false) }

// SetListed records the upstreams in service.
func (t *Table) SetListed(now time.Time, list []*topo.Upstream) {
	if t.watchedFrom.IsZero() {
		t.watchedFrom = now
	}
	// The versions of the previous list were in service until now.
	for v := range t.listed {
		t.setInService(now, v)
	}
	t.listed = make(map[Version]bool)
	for _, u := range list {
		v := Version{u.Service, u.Software}
		t.listed[v] = true
		t.setInService(now, v)
	}
	maps.DeleteFunc(t.lastSeen, func(v Version, _ time.Time) bool { return !t.matters(now, v) })
}

// SetInService records that a version of a service was in service just now.
func (t *Table) SetInService(now time.Time, service, software string) {
	t.setInService(now, Version{service, software})
}

func (t *Table) setInService(now time.Time, v Version) {
	if t.lastSeen == nil {
		t.lastSeen = make(map[Version]time.Time)
	}
	t.lastSeen[v] = now
}

// matters reports whether streams of a version may still be taken up.
func (t *Table) matters(now time.Time, v Version) bool {
	return t.listed[v] || now.Sub(t.lastSeen[v]) <= t.Retention()
}

// Versions returns the versions of a service of which streams may still be taken up, as far as this host knows, sorted.
func (t *Table) Versions(now time.Time, service string) []string {
	var out []string
	for v := range t.lastSeen {
		if v.Service == service && t.matters(now, v) {
			out = append(out, v.Software)
		}
	}
	slices.Sort(out)
	return out
}

// InService returns the services with versions of which streams may still be taken up, with these versions.
func (t *Table) InService(now time.Time) map[string][]string {
	out := make(map[string][]string)
	for v := range t.lastSeen {
		if out[v.Service] == nil {
			out[v.Service] = t.Versions(now, v.Service)
		}
	}
	return out
}

// Mixed returns the services with several versions of which streams may still be taken up, with these versions.
func (t *Table) Mixed(now time.Time) map[string][]string {
	out := t.InService(now)
	maps.DeleteFunc(out, func(_ string, versions []string) bool { return len(versions) <= 1 })
	return out
}

// IsComplete reports whether the versions in service have been known for so long that no other version began a stream
// that may still be taken up.
func (t *Table) IsComplete(now time.Time) bool {
	return !t.watchedFrom.IsZero() && now.Sub(t.watchedFrom) > t.Retention()
}

// Retention returns how long records are kept at least.
func (t *Table) Retention() time.Duration { return max(t.Life, minRetention) }
