package place

import "time"

const (
	// hysteresis is the factor by which the load per replica of a model must exceed what each remaining replica of the
	// victim would carry. It applies twice if the latter reaches targetLoad.
	hysteresis = 1.5
	// maxVictimLoad bounds an eviction for an unserved model: each remaining replica of the victim must carry less load
	// than this afterwards.
	maxVictimLoad = 0.6
	// minResidency protects a new replica from eviction before its calls have arrived, unless it is evicted for an
	// unserved model.
	minResidency = 4 * time.Second
	// minLastResidency protects the only replica of a model, in every case, until the calls that waited for it have
	// been sent to it.
	minLastResidency = time.Second
	// lastReplicaLoad is the load that the eviction of a last replica counts as, besides the calls that it delays.
	lastReplicaLoad = targetLoad
	// swapOverhead is the time that an unload and the reports on it add to the exchange of two models.
	swapOverhead = 600 * time.Millisecond
)

// eviction names the model to evict from an engine, or none, and the load that each of the remaining replicas of that
// model would then carry.
type eviction struct {
	victim     *target
	victimLoad float64
}

// evictFor returns the eviction that makes t fit on the engine, with the victim whose remaining replicas carry the
// least load. It names no victim if the free memory suffices, and returns false if there is no possible victim.
func (r *round) evictFor(s *site, t *target, loadTime time.Duration) (eviction, bool) {
	if s.usedMB+t.model.MemoryMB <= r.Spec.MemoryMB {
		return eviction{}, true
	}
	var best eviction
	for i := range s.residents {
		v := &s.residents[i]
		load, ok := t.mayEvict(v, s.speed(), loadTime)
		if ok && (best.victim == nil || load < best.victimLoad) {
			best = eviction{v.target, load}
		}
	}
	return best, best.victim != nil
}

// mayEvict reports whether a replica of v on an engine of that speed may be evicted for one of t, and returns the load
// that each remaining replica of v would carry, or that the eviction of the last one counts as.
func (t *target) mayEvict(v *resident, speed float64, loadTime time.Duration) (victimLoad float64, ok bool) {
	if v.replicas < 2 {
		if v.calls > 0 || v.waiting > 0 || v.age < minLastResidency || v.age < minResidency && !t.unserved {
			return 0, false
		}
		return t.outranksLast(v.target, loadTime)
	}
	if !t.unserved && (v.calls > 0 || v.age < minResidency && v.load > idleLoad) {
		return 0, false
	}
	return t.outranks(v.target, speed)
}

// outranks reports whether a replica of v on an engine of that speed may be evicted for one of t although t has fewer
// calls, and returns the load that each remaining replica of v would carry, on engines of usual speed. The replica must
// not be the last one of v.
func (t *target) outranks(v *target, speed float64) (victimLoad float64, ok bool) {
	after := v.load / max(v.capacity-speed, minSpeed)
	switch t.class() {
	case overdue:
		// Any model with another replica makes room, whatever its load.
		return after, true
	case unserved:
		return after, after < maxVictimLoad
	case known:
		return after, after < targetLoad
	case unused:
		// A model without demand would lose the place again as soon as the load rises by the hysteresis.
		return after, after < targetLoad/hysteresis
	}
	return after, t.relieves(after)
}

// outranksLast reports whether the last replica of v may be evicted for one of t, and returns the load that this counts
// as. It depends on the calls for v that are expected while it is away: until t has been loaded and v could be loaded
// again from the machine's memory. For a model without a replica they must be fewer than the calls that wait for it,
// which count for more the longer they have had no engine, so that no model is unserved for ever.
func (t *target) outranksLast(v *target, loadTime time.Duration) (victimLoad float64, ok bool) {
	away := loadTime + v.model.RAMLoadTime + swapOverhead
	delayed := max(v.callRate*away.Seconds(), v.load)
	after := lastReplicaLoad + delayed
	switch {
	case t.unserved:
		return after, delayed*hysteresis < t.claim()
	case t.replicas == 0:
		return after, false
	}
	return after, t.relieves(after)
}

// relieves reports whether a further replica of t is worth more than a victim with the given load.
func (t *target) relieves(victimLoad float64) bool {
	limit := t.priority() / hysteresis
	return victimLoad < limit && victimLoad < targetLoad || victimLoad < limit/hysteresis
}
