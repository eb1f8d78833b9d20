package site

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	randomMaxHosts   = 6
	randomMaxEngines = 6
	randomMaxPlain   = 5
	randomMaxLimit   = 6.0 // calls per second
	randomMaxHold    = 2 * time.Second
	randomMaxOutage  = 6 * time.Second
	randomWork       = 60 * time.Millisecond
	randomModelRate  = 70.0 // calls per second
	randomPlainRate  = 40.0
	// minStated is the shortest time for which an upstream states something.
	minStated = 2 * time.Second
	// minRestartPause is the shortest time between two restarts. Some overlap, because a stop takes longer.
	minRestartPause = 500 * time.Millisecond
)

// Random returns a deployment with a load of the given duration, which is at least a second. Its size, statements,
// restarts and outages of the store are drawn from the seed; one upstream of each service states nothing.
func Random(seed uint64, d time.Duration) *Site {
	rng := rand.New(rand.NewPCG(seed, seed))
	s := &Site{
		Hosts: 3 + rng.IntN(randomMaxHosts-2), Engines: 3 + rng.IntN(randomMaxEngines-2),
		Plain: 3 + rng.IntN(randomMaxPlain-2), ModelRate: randomModelRate, PlainRate: randomPlainRate,
		WorkTime: randomWork, Duration: d, Seed: seed,
	}
	for i := 1; i < s.Engines; i++ {
		s.Statements = append(s.Statements, randomStatements(rng, fmt.Sprint("engine-", i), d)...)
	}
	for i := 1; i < s.Plain; i++ {
		s.Statements = append(s.Statements, randomStatements(rng, fmt.Sprint("plain-", i), d)...)
	}
	for at := randomTime(rng, d/3); at < d; at += minRestartPause + randomTime(rng, d/3) {
		s.RestartAt = append(s.RestartAt, at)
	}
	for range rng.IntN(3) {
		from := randomTime(rng, d)
		s.Outages = append(s.Outages, Outage{
			From: from, Until: from + randomTime(rng, randomMaxOutage), Hosts: rng.IntN(s.Hosts),
		})
	}
	return s
}

// randomStatements returns what one upstream states, one after the other.
func randomStatements(rng *rand.Rand, upstream string, d time.Duration) []Statement {
	var out []Statement
	from := randomTime(rng, d)
	for from+minStated < d {
		st := Statement{Upstream: upstream, From: from, Until: from + minStated + randomTime(rng, d)}
		switch rng.IntN(4) {
		case 0:
			st.Leaving, st.Until = true, time.Hour
		case 1:
			st.Hold = randomTime(rng, randomMaxHold)
		default:
			st.Limit = 0.5 + rng.Float64()*(randomMaxLimit-0.5)
		}
		out = append(out, st)
		if st.Leaving {
			break
		}
		from = st.Until + randomTime(rng, d/2)
	}
	return out
}

func randomTime(rng *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(most)))
}
