package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/quota"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// loads keeps the environment's load tickets while this host holds their lease, and gets tickets for owned pools.
type loads struct {
	key    string
	host   *Host
	lease  *lease.Holder
	epoch  atomic.Int64
	keeper *quota.Limiter
	client *quota.Client
	runs   context.Context // of the campaign; ends with the host or after a hand-over that failed
	stop   context.CancelFunc
}

func (h *Host) newLoads() *loads {
	l := &loads{key: "weight/" + h.Config.Environment, host: h}
	l.runs, l.stop = context.WithCancel(context.Background())
	l.lease = h.newLease(l.key, l.key, l.gained, func() {})
	l.keeper = &quota.Limiter{Limits: l.limits, Pools: l.pools, Valid: l.lease.Valid, Epoch: l.epoch.Load}
	l.client = &quota.Client{Dialer: h.node, Addr: l.addr, Limits: l.limits, Pools: l.pools, Owned: l.owned}
	return l
}

func (l *loads) run(ctx context.Context) error {
	defer l.stop()
	context.AfterFunc(ctx, l.stop)
	var wg sync.WaitGroup
	wg.Go(func() { _ = l.lease.Run(l.runs) })
	wg.Go(func() { _ = l.keeper.Run(ctx) })
	wg.Go(func() { _ = l.client.Run(ctx) })
	wg.Wait()
	return nil
}

func (l *loads) gained(epoch int64) {
	l.epoch.Store(epoch)
	l.host.table.SetOwner(wire.Owner{Pool: l.key, Host: l.host.Config.Name, Epoch: epoch})
}

func (l *loads) acquire(ctx context.Context, a wire.LoadRequest) (func(), error) {
	return l.client.Acquire(ctx, a)
}

func (l *loads) release(ctx context.Context) {
	if err := l.lease.Release(ctx); err != nil {
		l.stop()
		l.host.Log.Warn().Err(err).Msg("the lease of the load tickets was not handed over and will lapse")
	}
}

func (l *loads) limits() envdoc.WeightStore {
	if doc := l.host.doc(); doc != nil {
		return doc.WeightStore
	}
	return envdoc.WeightStore{}
}

func (l *loads) pools() []string {
	doc := l.host.doc()
	if doc == nil {
		return nil
	}
	names := make([]string, 0, len(doc.Pools))
	for _, p := range doc.Pools {
		names = append(names, p.Name)
	}
	return names
}

func (l *loads) owned() []string {
	var names []string
	for _, d := range l.host.pools.all() {
		if d.Owned() {
			names = append(names, d.Pool)
		}
	}
	return names
}

// addr returns the keeper's address, also when it is this host.
func (l *loads) addr() string {
	if l.lease.Valid(time.Now()) {
		return l.host.Config.Peers.Advertise
	}
	o, ok := l.host.table.Owner(l.key)
	if !ok {
		return ""
	}
	return l.host.memberAddr(o.Host)
}
