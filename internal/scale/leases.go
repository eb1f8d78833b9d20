package scale

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/qrpc/simnet"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// The durations of the warm-up after the first minute, of the idle phase, and of the measured part of the outage.
	leaseWarmUp     = time.Minute
	leaseIdleTime   = 3 * time.Minute
	leaseOutageTime = 2 * time.Minute
	// detectionTime is the time that membership takes to detect a failed host.
	detectionTime = 7 * time.Second
)

type (
	// LeaseResult is the load of leases on the key-value service, in calls per second summed over all hosts.
	LeaseResult struct {
		Pools, Hosts        int
		FirstMinute         float64
		IdleReads           float64
		IdleWrites          float64
		Outage              float64
		Recovery            time.Duration // from the end of the outage until every key has a holder
		RecoveryPeak        int           // most calls in any second of the first minute after the outage
		Takeover            time.Duration // from the failure of a host until every key has a holder again
		CPUPerHostAndSecond time.Duration
	}

	// leaseFleet is a set of simulated hosts; live is the membership that all of them see, and version changes with it.
	leaseFleet struct {
		kv      *fakeKV
		holders [][]*lease.Holder // by pool, then host
		stops   []context.CancelFunc
		version atomic.Uint64

		mu   sync.Mutex
		live []wire.Member
	}
)

// SimulateLeases simulates hosts that campaign for the leases of pools, through an outage of the key-value service and
// the failure of a lease holder. It must run within RunInVirtualTime.
func SimulateLeases(pools, hosts int) LeaseResult {
	res := LeaseResult{Pools: pools, Hosts: hosts}
	f := &leaseFleet{kv: newFakeKV()}
	f.start(pools, hosts)
	reads, writes := f.callRates(time.Minute)
	res.FirstMinute = reads + writes
	time.Sleep(leaseWarmUp)
	cpu := cpuTime()
	res.IdleReads, res.IdleWrites = f.callRates(leaseIdleTime)
	res.CPUPerHostAndSecond = (cpuTime() - cpu) / time.Duration(float64(hosts)*leaseIdleTime.Seconds())
	f.kv.setOutage(true)
	time.Sleep(time.Minute)
	reads, writes = f.callRates(leaseOutageTime)
	res.Outage = reads + writes
	f.kv.setOutage(false)
	res.Recovery, res.RecoveryPeak = f.awaitRecovery()
	time.Sleep(time.Minute)
	res.Takeover = f.killHolder()
	for _, stop := range f.stops {
		stop()
	}
	time.Sleep(time.Minute)
	return res
}

func (f *leaseFleet) start(pools, hosts int) {
	network := &simnet.Net{Delay: oneWayDelay}
	f.holders = make([][]*lease.Holder, pools)
	for i := range hosts {
		f.live = append(f.live, wire.Member{Name: nameOf(i), Addr: addrOf(i)})
	}
	f.version.Store(1)
	for i := range hosts {
		ctx, cancel := context.WithCancel(context.Background())
		f.stops = append(f.stops, cancel)
		host := network.Host(ctx, nameOf(i), addrOf(i))
		for p := range pools {
			h := &lease.Holder{
				Key: fmt.Sprint("pool/scale/", p), Pool: fmt.Sprint(p), Self: nameOf(i), KV: f.kv, Dialer: host,
				Live: f.members, LiveVersion: f.version.Load, Rank: rank,
				Rand: rand.New(rand.NewPCG(uint64(i), uint64(p))),
			}
			f.holders[p] = append(f.holders[p], h)
			go func() { _ = h.Run(ctx) }()
		}
	}
}

func (f *leaseFleet) members() []wire.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.live)
}

// callRates waits for d and returns the reads and writes per second during it.
func (f *leaseFleet) callRates(d time.Duration) (reads, writes float64) {
	r, w := f.kv.counts()
	time.Sleep(d)
	r2, w2 := f.kv.counts()
	return float64(r2-r) / d.Seconds(), float64(w2-w) / d.Seconds()
}

// awaitRecovery observes the first minute after an outage. It returns the time until every key had a holder (0 if this
// did not happen) and the most calls in any second.
func (f *leaseFleet) awaitRecovery() (took time.Duration, peak int) {
	for s := range 60 {
		r, w := f.kv.counts()
		time.Sleep(time.Second)
		r2, w2 := f.kv.counts()
		peak = max(peak, r2+w2-r-w)
		if took == 0 && f.unheldKeys() == 0 {
			took = time.Duration(s+1) * time.Second
		}
	}
	return took, peak
}

// killHolder stops the host that holds the first key, without releasing its leases, and returns the time until all keys
// have holders again. Membership removes the host after detectionTime.
func (f *leaseFleet) killHolder() time.Duration {
	killed := f.holder(0)
	if killed < 0 {
		return 0
	}
	f.stops[killed]()
	start := time.Now()
	time.Sleep(time.Millisecond) // Valid turns false only after the holder's goroutine has ended.
	time.AfterFunc(detectionTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.live = slices.DeleteFunc(f.live, func(m wire.Member) bool { return m.Name == nameOf(killed) })
		f.version.Add(1)
	})
	for f.unheldKeys() > 0 && time.Since(start) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *leaseFleet) unheldKeys() int {
	n := 0
	for p := range f.holders {
		if f.holder(p) < 0 {
			n++
		}
	}
	return n
}

// holder returns the index of the host that holds a pool's key, or -1.
func (f *leaseFleet) holder(pool int) int {
	now := time.Now()
	return slices.IndexFunc(f.holders[pool], func(h *lease.Holder) bool { return h.Valid(now) })
}

// rank orders host names by the hash of key and name (rendezvous hashing).
func rank(key string, names []string) []string {
	type ranked struct {
		name string
		hash uint64
	}
	list := make([]ranked, 0, len(names))
	for _, n := range names {
		list = append(list, ranked{n, xxhash.Sum64String(key + "\x00" + n)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]string, 0, len(list))
	for _, r := range list {
		out = append(out, r.name)
	}
	return out
}

// WriteLeases writes the results to w as a markdown table.
func WriteLeases(w io.Writer, list []LeaseResult) {
	fmt.Fprintln(w, "| pools | hosts | first minute calls/s | reads/s | writes/s | in outage calls/s | recovery "+
		"| recovery peak calls/s | takeover | CPU µs/s per host |")
	fmt.Fprintln(w, "|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	for _, r := range list {
		fmt.Fprintf(w, "| %d | %d | %.1f | %.1f | %.1f | %.1f | %.0f s | %d | %.1f s | %d |\n",
			r.Pools, r.Hosts, r.FirstMinute, r.IdleReads, r.IdleWrites, r.Outage, r.Recovery.Seconds(),
			r.RecoveryPeak, r.Takeover.Seconds(), r.CPUPerHostAndSecond.Microseconds())
	}
}
