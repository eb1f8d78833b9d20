package vers

import "time"

type (
	// Assumption says that one software version of a service began all of its streams that began before the assumption
	// was made and of which there is no record.
	Assumption struct {
		Service  string `cbor:"1,keyasint"`
		Software string `cbor:"2,keyasint"` // empty if assumptions contradict each other
		AgeMS    int64  `cbor:"3,keyasint"` // how long ago it was made
	}

	assumed struct {
		software string
		at       time.Time
	}
)

// Assume makes assumptions. They hold for as long as streams of before them may be taken up.
func (t *Table) Assume(now time.Time, list ...Assumption) {
	if t.assumed == nil {
		t.assumed = make(map[string]assumed)
	}
	for _, a := range list {
		made := assumed{a.Software, now.Add(-time.Duration(a.AgeMS) * time.Millisecond)}
		if before, ok := t.validAssumption(now, a.Service); ok {
			if before.software != made.software {
				made.software = ""
			}
			if before.at.After(made.at) {
				made.at = before.at
			}
		}
		t.assumed[a.Service] = made
	}
}

// Assumed returns the software version that is assumed for a stream of a service without a record, and false if none
// is. A stream that has begun since has a record at a host that is up or in the store.
func (t *Table) Assumed(now time.Time, service string) (software string, ok bool) {
	a, ok := t.validAssumption(now, service)
	if !ok || a.software == "" {
		return "", false
	}
	return a.software, true
}

// Assumptions returns the assumptions that hold, for another host.
func (t *Table) Assumptions(now time.Time) []Assumption {
	var out []Assumption
	for service := range t.assumed {
		if a, ok := t.validAssumption(now, service); ok {
			out = append(out, Assumption{service, a.software, now.Sub(a.at).Milliseconds()})
		}
	}
	return out
}

// DropAssumptions ends the assumptions for services with several versions, because another host is lost: the newest
// streams of before now may be of any version and have no record.
func (t *Table) DropAssumptions(now time.Time) {
	for service := range t.assumed {
		if len(t.Versions(now, service)) > 1 {
			delete(t.assumed, service)
		}
	}
}

func (t *Table) validAssumption(now time.Time, service string) (assumed, bool) {
	a, ok := t.assumed[service]
	return a, ok && now.Sub(a.at) <= t.Retention()
}
