package member

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/wire"
)

// ring selects ping targets in rounds: each target is pinged once per round, in an order that is shuffled at its start.
type ring struct {
	targets []string
	next    int    // index in targets of the next one to ping
	version uint64 // state.version that targets were built from
	built   bool
}

// pick returns the next target that is not dead; it returns false if there is none.
func (r *ring) pick(s *state, fanout int, rnd *rand.Rand) (wire.Member, bool) {
	r.update(s, fanout, rnd)
	for range len(r.targets) {
		if r.next >= len(r.targets) {
			r.next = 0
			rnd.Shuffle(len(r.targets), func(i, j int) {
				r.targets[i], r.targets[j] = r.targets[j], r.targets[i]
			})
		}
		rec := s.members[r.targets[r.next]]
		r.next++
		if rec != nil && rec.member.State != wire.Dead {
			return rec.member, true
		}
	}
	return wire.Member{}, false
}

// sample returns up to n random targets that are not dead.
func (r *ring) sample(s *state, fanout, n int, rnd *rand.Rand) []wire.Member {
	r.update(s, fanout, rnd)
	var out []wire.Member
	for _, i := range rnd.Perm(len(r.targets)) {
		rec := s.members[r.targets[i]]
		if rec == nil || rec.member.State == wire.Dead {
			continue
		}
		if out = append(out, rec.member); len(out) == n {
			break
		}
	}
	return out
}

// update rebuilds the targets if the members have changed. Remaining targets keep their order, and new ones are
// inserted at random positions. A reshuffle at each change could delay the ping of a target without limit.
func (r *ring) update(s *state, fanout int, rnd *rand.Rand) {
	if r.built && r.version == s.version {
		return
	}
	r.built, r.version = true, s.version
	wanted := targets(s, fanout)
	kept, next := r.targets[:0], r.next
	for i, name := range r.targets {
		if _, ok := wanted[name]; ok {
			kept = append(kept, name)
			delete(wanted, name)
		} else if i < r.next {
			next--
		}
	}
	r.targets, r.next = kept, next
	for _, name := range sortedKeys(wanted) {
		// Targets before r.next have been pinged in this round, so a new one is inserted after them.
		at := r.next + rnd.IntN(len(r.targets)-r.next+1)
		r.targets = slices.Insert(r.targets, at, name)
	}
}

// targets returns the names of all members that are not dead if fanout is zero. Otherwise it returns the successor of
// this host on each of fanout hash rings, which sort the members by different hashes. Each member also has one
// predecessor on each ring, so it is pinged by about as many members as it pings.
func targets(s *state, fanout int) map[string]struct{} {
	out := make(map[string]struct{}, fanout)
	for name, r := range s.members {
		if fanout == 0 && r.member.State != wire.Dead {
			out[name] = struct{}{}
		}
	}
	for i := range fanout {
		prefix := strconv.Itoa(i) + "/"
		selfHash := xxhash.Sum64String(prefix + s.self.Name)
		minDistance, nearest := uint64(0), ""
		for name, r := range s.members {
			if r.member.State == wire.Dead {
				continue
			}
			// Unsigned subtraction wraps around and so gives the distance along the ring.
			if d := xxhash.Sum64String(prefix+name) - selfHash; nearest == "" || d < minDistance {
				minDistance, nearest = d, name
			}
		}
		if nearest != "" {
			out[nearest] = struct{}{}
		}
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
