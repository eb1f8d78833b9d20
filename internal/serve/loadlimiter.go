package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/loads"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// loadLimiter limits weight loads in the environment. The host that holds the lease weight/ENVIRONMENT grants load
// tickets to all hosts; every host requests tickets from it for the pools that it owns.
type loadLimiter struct {
	key          string
	host         *Host
	lease        *lease.Holder
	epoch        atomic.Int64
	limiter      *loads.Limiter
	client       *loads.Client
	campaignCtx  context.Context // ends with the host, or after a failed handover so that the lease expires
	stopCampaign context.CancelFunc
}

func (h *Host) newLoadLimiter() *loadLimiter {
	l := &loadLimiter{key: "weight/" + h.Config.Environment, host: h}
	l.campaignCtx, l.stopCampaign = context.WithCancel(context.Background())
	l.lease = h.newLease(l.key, l.key, l.onAcquired, func() {})
	l.limiter = &loads.Limiter{Limits: l.limits, Pools: l.allPools, Valid: l.lease.Valid, Epoch: l.epoch.Load}
	l.client = &loads.Client{
		Dialer: h.endpoint, Addr: l.limiterAddr, Limits: l.limits, Pools: l.allPools, Owned: l.ownedPools,
	}
	return l
}

func (l *loadLimiter) run(ctx context.Context) error {
	defer l.stopCampaign()
	context.AfterFunc(ctx, l.stopCampaign)
	var wg sync.WaitGroup
	wg.Go(func() { _ = l.lease.Run(l.campaignCtx) })
	wg.Go(func() { _ = l.limiter.Run(ctx) })
	wg.Go(func() { _ = l.client.Run(ctx) })
	wg.Wait()
	return nil
}

// onAcquired announces this host as the lease holder.
func (l *loadLimiter) onAcquired(epoch int64) {
	l.epoch.Store(epoch)
	l.host.members.SetOwner(wire.Owner{Pool: l.key, Host: l.host.Config.Name, Epoch: epoch})
}

func (l *loadLimiter) acquire(ctx context.Context, req wire.LoadRequest) (func(), error) {
	return l.client.Acquire(ctx, req)
}

// releaseLease hands the lease over to another host. If that fails, it ends the campaign.
func (l *loadLimiter) releaseLease(ctx context.Context) {
	if err := l.lease.Release(ctx); err != nil {
		l.stopCampaign()
		l.host.Log.Warn().Err(err).Msg("lease for load tickets was not handed over and will expire")
	}
}

// limits returns the limits of the document, which are zero without a document.
func (l *loadLimiter) limits() envdoc.WeightStore {
	if doc := l.host.doc(); doc != nil {
		return doc.WeightStore
	}
	return envdoc.WeightStore{}
}

// allPools returns the names of all pools of the document.
func (l *loadLimiter) allPools() []string {
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

// ownedPools returns the names of the pools that this host owns.
func (l *loadLimiter) ownedPools() []string {
	var names []string
	for _, m := range l.host.pools.all() {
		if m.Owned() {
			names = append(names, m.Pool)
		}
	}
	return names
}

// limiterAddr returns the address of the host that grants load tickets, which may be this host, or an empty string.
func (l *loadLimiter) limiterAddr() string {
	if l.lease.Valid(time.Now()) {
		return l.host.Config.Peers.Advertise
	}
	o, ok := l.host.members.Owner(l.key)
	if !ok {
		return ""
	}
	return l.host.memberAddr(o.Host)
}
