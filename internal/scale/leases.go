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
	leaseStart  = time.Minute
	leaseQuiet  = 3 * time.Minute
	leaseOutage = 2 * time.Minute
	// noticeTime is how long membership takes to notice a death.
	noticeTime = 7 * time.Second
)

type (
	// LeaseResult is the load that leases put on the key-value service, in calls per second of all hosts.
	LeaseResult struct {
		Pools, Hosts        int
		FirstMinute         float64
		IdleReads           float64
		IdleWrites          float64
		Outage              float64
		Recovery            time.Duration // until every key is held again
		RecoveryPeak        int           // most calls in one second after the outage
		Takeover            time.Duration // longest after the death of a holder
		CPUPerHostAndSecond time.Duration
	}

	leaseFleet struct {
		kv      *kvCounter
		holders [][]*lease.Holder // by pool, then host
		stops   []context.CancelFunc
		version atomic.Uint64

		mu   sync.Mutex
		live []wire.Member
	}
)

// SimulateLeases simulates hosts that campaign for the keys of pools, with an outage of the service and a holder's
// death. It runs in RunInVirtualTime.
func SimulateLeases(pools, hosts int) LeaseResult {
	res := LeaseResult{Pools: pools, Hosts: hosts}
	f := &leaseFleet{kv: newKVCounter()}
	f.start(pools, hosts)
	reads, writes := f.rate(time.Minute)
	res.FirstMinute = reads + writes
	time.Sleep(leaseStart)
	cpu := cpuTime()
	res.IdleReads, res.IdleWrites = f.rate(leaseQuiet)
	res.CPUPerHostAndSecond = (cpuTime() - cpu) / time.Duration(float64(hosts)*leaseQuiet.Seconds())
	f.kv.setDown(true)
	time.Sleep(time.Minute)
	reads, writes = f.rate(leaseOutage)
	res.Outage = reads + writes
	f.kv.setDown(false)
	res.Recovery, res.RecoveryPeak = f.recover()
	time.Sleep(time.Minute)
	res.Takeover = f.kill()
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

// rate returns reads and writes per second over d.
func (f *leaseFleet) rate(d time.Duration) (reads, writes float64) {
	r, w := f.kv.counts()
	time.Sleep(d)
	r2, w2 := f.kv.counts()
	return float64(r2-r) / d.Seconds(), float64(w2-w) / d.Seconds()
}

// recover waits until every key is held, and returns the most calls in one second of the first minute.
func (f *leaseFleet) recover() (took time.Duration, peak int) {
	for s := range 60 {
		r, w := f.kv.counts()
		time.Sleep(time.Second)
		r2, w2 := f.kv.counts()
		peak = max(peak, r2+w2-r-w)
		if took == 0 && f.unheld() == 0 {
			took = time.Duration(s+1) * time.Second
		}
	}
	return took, peak
}

// kill stops the holder of the first key without a word and returns how long its keys have no holder.
func (f *leaseFleet) kill() time.Duration {
	victim := f.holder(0)
	if victim < 0 {
		return 0
	}
	f.stops[victim]()
	start := time.Now()
	time.Sleep(time.Millisecond) // The holder reports the loss when its goroutine has ended.
	time.AfterFunc(noticeTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.live = slices.DeleteFunc(f.live, func(m wire.Member) bool { return m.Name == nameOf(victim) })
		f.version.Add(1)
	})
	for f.unheld() > 0 && time.Since(start) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

func (f *leaseFleet) unheld() int {
	n := 0
	for p := range f.holders {
		if f.holder(p) < 0 {
			n++
		}
	}
	return n
}

func (f *leaseFleet) holder(pool int) int {
	now := time.Now()
	return slices.IndexFunc(f.holders[pool], func(h *lease.Holder) bool { return h.Valid(now) })
}

// rank orders hosts by the hash of key and name, as rendezvous hashing does.
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

// WriteLeases prints results as a markdown table.
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
