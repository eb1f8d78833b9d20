package serve

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// snapshotTimeout limits the fetch of a pool's residency snapshot.
	snapshotTimeout = 2 * time.Second
	// snapshotInterval is the minimum time between two fetches for the same pool.
	snapshotInterval = 10 * time.Second
	// snapshotBytesPerS limits the average rate of all fetches together. The snapshot of a pool of 24 engines with 20
	// items each takes about 10 kB, and in a large fleet a host uses many pools whose residency changes every few
	// seconds.
	snapshotBytesPerS = 300
)

// cachedSnapshot is the version and age of the residency snapshot that this host has of a pool.
type cachedSnapshot struct {
	version   int64
	fetchedAt time.Time
}

// handlers returns the handlers for streams from other hosts, by message kind.
func (h *Host) handlers() map[wire.Kind]wire.Handler {
	out := h.members.Handlers()
	out[wire.KindTicket] = h.serveTicket
	out[wire.KindRestore] = h.serveTicket
	out[wire.KindSnapshot] = h.serveSnapshot
	out[wire.KindPull] = h.servePull
	out[wire.KindLoad] = h.loadLimiter.limiter.Handle
	out[wire.KindHandover] = lease.ServeHandover(h.campaign)
	return out
}

func (h *Host) serveTicket(ctx context.Context, _ string, kind wire.Kind, c wire.Stream) {
	h.tickets.Handle(ctx, kind, c)
}

func (h *Host) servePull(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
	defer func() { _ = c.Close() }()
	if err := h.replicator.ServePull(c); err != nil {
		h.stats.CountEvent("pull_failed")
	}
}

// serveSnapshot sends the residency snapshot of a pool. It is empty if this host does not own the pool.
func (h *Host) serveSnapshot(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
	defer func() { _ = c.Close() }()
	var req wire.SnapshotRequest
	if err := c.Recv(&req); err != nil {
		return
	}
	var view wire.PoolView
	if runner := h.pools.ownedRunner(req.Pool); runner != nil {
		h.loop.Call(func() { view = runner.View() })
	}
	_ = c.Send(view)
}

// fetchSnapshot fetches the residency snapshot of a pool from its owner. With it, this host can dispatch calls itself
// while the owner cannot be reached.
func (h *Host) fetchSnapshot(pool string) {
	addr, ok := h.ownerAddr(pool)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(h.runCtx, snapshotTimeout)
	defer cancel()
	var view wire.PoolView
	if err := wire.Call(ctx, h.endpoint, addr, wire.KindSnapshot, wire.SnapshotRequest{Pool: pool}, &view); err != nil {
		h.stats.CountEvent("snapshot_failed")
		return
	}
	m := h.pools.get(pool)
	if m == nil || len(view.Engines) == 0 {
		return
	}
	h.snapshots.Store(pool, cachedSnapshot{version: view.Version, fetchedAt: time.Now()})
	if b, err := wire.Marshal(view); err == nil {
		wait := time.Duration(len(b)) * time.Second / snapshotBytesPerS
		h.nextSnapshot.Store(time.Now().Add(wait).UnixNano())
	}
	h.loop.Post(func() { m.ApplyView(view) })
}

// onVersion fetches the residency snapshot of a pool when a grant shows a newer version, unless that exceeds the
// rate limits for fetches. Skipping a fetch is harmless: an outdated snapshot may send a locally dispatched call to an
// engine that rejects it, and the call is then retried.
func (h *Host) onVersion(pool string, version int64) {
	now := time.Now()
	if now.UnixNano() < h.nextSnapshot.Load() {
		return
	}
	if v, ok := h.snapshots.Load(pool); ok {
		if cached, _ := v.(cachedSnapshot); cached.version == version || now.Sub(cached.fetchedAt) < snapshotInterval {
			return
		}
	}
	h.fetchAsync(pool)
}

// refreshWaitingPools fetches the snapshots of pools that another host owns although calls still wait at the local
// runner. These calls requested their tickets before the other host became the owner. While all calls of a pool wait,
// no grant shows a newer version, so without this fetch they would miss a newly loaded model and wait until their
// deadlines. The rate limits are not applied, because calls wait in this way only for a few seconds after a change of
// owner.
func (h *Host) refreshWaitingPools() {
	for _, pool := range h.pools.waiting(h.loop) {
		h.fetchAsync(pool)
	}
}

// fetchAsync fetches a snapshot in the background, unless a fetch for the pool is already running.
func (h *Host) fetchAsync(pool string) {
	if _, busy := h.fetching.LoadOrStore(pool, true); busy {
		return
	}
	go func() {
		defer h.fetching.Delete(pool)
		h.fetchSnapshot(pool)
	}()
}

// ownerAddr returns the address of the host that owns a pool; ok is false if it is this host, unknown or dead.
func (h *Host) ownerAddr(pool string) (string, bool) {
	if h.pools.ownedRunner(pool) != nil {
		return "", false
	}
	o, ok := h.members.Owner(pool)
	if !ok || o.Host == h.Config.Name {
		return "", false
	}
	addr := h.memberAddr(o.Host)
	return addr, addr != ""
}

// memberAddr returns the peer address of a member, or an empty string if the member is unknown or dead.
func (h *Host) memberAddr(name string) string {
	m, ok := h.members.Member(name)
	if !ok || m.State == wire.Dead {
		return ""
	}
	return m.Addr
}

// ownerChanged handles a change of a pool's owner: it fetches a snapshot from the new owner, and then informs the
// router.
func (h *Host) ownerChanged(o wire.Owner) {
	h.pools.observeOwner(o)
	if o.Host == h.Config.Name || h.pools.get(o.Pool) == nil {
		return
	}
	go func() {
		h.fetchSnapshot(o.Pool)
		if addr, ok := h.ownerAddr(o.Pool); ok {
			h.router.OwnerChanged(h.runCtx, o.Pool, addr)
		}
	}()
}
