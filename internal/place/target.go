package place

import (
	"maps"
	"slices"
	"time"

	"github.com/figreel/figreel/internal/sched"
	"github.com/figreel/figreel/internal/topo"
)

const (
	// waitingLoad is the offered load that each waiting call for a model without a replica counts as.
	waitingLoad = 0.3
	// maxUnserved is how long a model may be unserved because the load of all possible victims exceeds maxVictimLoad.
	maxUnserved = 5 * time.Second
	// agingTime is the time without an engine after which the calls that wait for a model count twice against victims.
	agingTime = 30 * time.Second
	// agingLoad is the offered load that each second without an engine counts as in the order of unserved models, so
	// that the one that has been unserved for longest comes first among those with as many calls.
	agingLoad = 0.06
)

const (
	growing  class = iota // it has a replica and needs more
	unserved              // calls wait and there is no replica
	overdue               // unserved for longer than maxUnserved
	known                 // no replica, but it has been called before
	unused                // no replica and no call yet
)

type (
	// class is why a model needs a further replica.
	class uint8

	// target is the planning state of one model.
	target struct {
		model       *topo.Model
		index       int           // position in the spec
		replicas    int           // loaded, loading, or with memory being freed for them
		capacity    float64       // sum of the speeds of their engines
		load        float64       // offered load in engine-seconds per second
		callRate    float64       // calls per second
		waiting     int           // waiting calls
		unserved    bool          // calls wait and there is no replica
		unservedFor time.Duration // how long it has been unserved
		requested   bool
		// software is the version that an engine must have, or empty. Such a target is that of calls which no replica
		// of another version can serve; whole is then the target of the model.
		software string
		whole    *target
	}
)

// newTargets returns the planning state of each model of the spec, by name.
func (p *Planner) newTargets(now time.Time, engines []Engine, demand map[string]sched.ModelDemand) map[string]*target {
	out := make(map[string]*target, len(p.Spec.Models))
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		d := demand[m.Name]
		out[m.Name] = &target{
			model: m, index: i, load: d.OfferedLoad, callRate: d.CallRate, waiting: d.Waiting, requested: d.Requested,
		}
	}
	for i := range engines {
		for _, name := range engines[i].replicas() {
			if t := out[name]; t != nil {
				t.replicas++
				t.capacity += engines[i].speed()
			}
		}
		if t := out[p.reservedFor[engines[i].ID]]; t != nil {
			t.replicas++
			t.capacity += engines[i].speed()
		}
	}
	if p.unservedSince == nil {
		p.unservedSince = make(map[string]time.Time)
	}
	for name, t := range out {
		if t.replicas > 0 {
			delete(p.unservedSince, name)
			continue
		}
		if t.waiting == 0 {
			continue
		}
		since, known := p.unservedSince[name]
		if !known {
			since = now
			p.unservedSince[name] = since
		}
		t.setUnserved(now.Sub(since))
	}
	return out
}

// setUnserved marks the target as unserved for some time.
func (t *target) setUnserved(d time.Duration) {
	t.unserved, t.unservedFor = true, d
	t.load = max(t.load, waitingLoad*float64(t.waiting))
}

// versionTargets returns the targets of models that calls need on engines of a software version of which none holds or
// loads them.
func (p *Planner) versionTargets(
	now time.Time, engines []Engine, demand map[string]sched.ModelDemand, whole map[string]*target,
) []*target {
	var out []*target
	unservedSince := make(map[versionKey]time.Time)
	for i := range p.Spec.Models {
		m := &p.Spec.Models[i]
		waiting := demand[m.Name].Versions
		for _, version := range slices.Sorted(maps.Keys(waiting)) {
			holds := func(e Engine) bool {
				return e.Software == version && (slices.Contains(e.replicas(), m.Name) || p.reservedFor[e.ID] == m.Name)
			}
			if slices.ContainsFunc(engines, holds) {
				continue
			}
			key := versionKey{m.Name, version}
			since, known := p.versionUnservedSince[key]
			if !known {
				since = now
			}
			unservedSince[key] = since
			t := &target{
				model: m, index: i, waiting: waiting[version], requested: true, software: version, whole: whole[m.Name],
			}
			t.setUnserved(now.Sub(since))
			out = append(out, t)
		}
	}
	p.versionUnservedSince = unservedSince
	return out
}

// add counts a replica on an engine of that speed.
func (t *target) add(speed float64) {
	t.replicas++
	t.capacity += speed
	t.unserved = false
	if t.whole != nil {
		t.whole.add(speed)
	}
}

// replicas returns the models that the engine holds or loads, except one that is being unloaded.
func (e *Engine) replicas() []string {
	out := make([]string, 0, len(e.Resident)+1)
	loaded := false
	for _, name := range e.Resident {
		if name != e.Unloading {
			out = append(out, name)
		}
		loaded = loaded || name == e.Loading
	}
	if e.Loading != "" && !loaded {
		out = append(out, e.Loading)
	}
	return out
}

// class returns why the model needs a further replica.
func (t *target) class() class {
	switch {
	case t.unserved && t.unservedFor > maxUnserved:
		return overdue
	case t.unserved:
		return unserved
	case t.replicas > 0:
		return growing
	case t.requested:
		return known
	}
	return unused
}

// claim returns how much the model's need weighs against victims, within its class: the waiting calls, which count for
// more the longer the model has been unserved, or the load per replica of usual speed.
func (t *target) claim() float64 {
	switch t.class() {
	case unserved, overdue:
		return float64(t.waiting) * (1 + t.unservedFor.Seconds()/agingTime.Seconds())
	case growing:
		return t.priority()
	}
	return 0
}

// priority returns how urgently the model needs a further replica; the highest value comes first. Models with replicas
// are ordered by their load per replica of usual speed.
func (t *target) priority() float64 {
	const unservedFirst, noReplica, notRequested = 1000.0, 100.0, 0.001
	switch t.class() {
	case unserved, overdue:
		return unservedFirst + t.load + agingLoad*t.unservedFor.Seconds()
	case known:
		return noReplica
	case unused:
		return notRequested
	}
	return t.load / t.capacity
}
