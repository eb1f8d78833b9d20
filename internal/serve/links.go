package serve

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/lease"
	"github.com/figreel/figreel/internal/wire"
)

const (
	// snapTimeout bounds the fetch of a pool's residency.
	snapTimeout = 2 * time.Second
	// snapGap is the least time between two fetches for the same pool.
	snapGap = 10 * time.Second
	// snapBytesPerS bounds all fetches together. A pool of 24 engines with 20 items each takes about 10 kB, and a host
	// of a large fleet asks many pools whose residency changes every few seconds.
	snapBytesPerS = 300
)

// fetched tells which residency of a pool this host has.
type fetched struct {
	version int64
	at      time.Time
}

// handlers returns what this host serves to other hosts.
func (h *Host) handlers() map[wire.Kind]wire.Handler {
	out := h.table.Handlers()
	out[wire.KindTicket] = h.serveTicket
	out[wire.KindRestore] = h.serveTicket
	out[wire.KindSnapshot] = h.serveSnap
	out[wire.KindPull] = h.servePull
	out[wire.KindLoad] = h.loads.keeper.Handle
	out[wire.KindHandover] = lease.ServeHandover(h.campaign)
	return out
}

func (h *Host) serveTicket(ctx context.Context, _ string, kind wire.Kind, c wire.Stream) {
	h.tickets.Handle(ctx, kind, c)
}

func (h *Host) servePull(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
	defer func() { _ = c.Close() }()
	if err := h.spreader.ServePull(c); err != nil {
		h.stats.CountEvent("pull_failed")
	}
}

// serveSnap answers with the residency of a pool that this host dispatches.
func (h *Host) serveSnap(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
	defer func() { _ = c.Close() }()
	var s wire.SnapshotRequest
	if err := c.Recv(&s); err != nil {
		return
	}
	var view wire.PoolView
	if runner := h.pools.owned(s.Pool); runner != nil {
		h.loop.Call(func() { view = runner.View() })
	}
	_ = c.Send(view)
}

// learn fetches the residency of a pool from its dispatcher, for local dispatch.
func (h *Host) learn(pool string) {
	addr, ok := h.ownerAddr(pool)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(h.applyCtx, snapTimeout)
	defer cancel()
	var view wire.PoolView
	if err := wire.Call(ctx, h.node, addr, wire.KindSnapshot, wire.SnapshotRequest{Pool: pool}, &view); err != nil {
		h.stats.CountEvent("snapshot_failed")
		return
	}
	d := h.pools.get(pool)
	if d == nil || len(view.Engines) == 0 {
		return
	}
	h.views.Store(pool, fetched{version: view.Version, at: time.Now()})
	if b, err := wire.Marshal(view); err == nil {
		wait := time.Duration(len(b)) * time.Second / snapBytesPerS
		h.nextSnap.Store(time.Now().Add(wait).UnixNano())
	}
	h.loop.Post(func() { d.ApplyView(view) })
}

// stale fetches the residency when a grant shows that it has changed, within the limits for such fetches. An older
// residency costs local dispatch a refused attempt, not an answer.
func (h *Host) stale(pool string, version int64) {
	now := time.Now()
	if now.UnixNano() < h.nextSnap.Load() {
		return
	}
	if v, ok := h.views.Load(pool); ok {
		if known, _ := v.(fetched); known.version == version || now.Sub(known.at) < snapGap {
			return
		}
	}
	h.refetch(pool)
}

// catchUp fetches the residency for calls that wait at a runner of this host although another host owns the pool. They
// were asked before it did, no grant tells this host of changes while all its calls wait, and without news of a loaded
// model they would wait until their deadlines. The limits for other fetches do not apply: calls wait like this only for
// a few seconds after a change of the owner.
func (h *Host) catchUp() {
	for _, pool := range h.pools.waiting(h.loop) {
		h.refetch(pool)
	}
}

func (h *Host) refetch(pool string) {
	if _, busy := h.learning.LoadOrStore(pool, true); busy {
		return
	}
	go func() {
		defer h.learning.Delete(pool)
		h.learn(pool)
	}()
}

// ownerAddr returns the address of the live host that dispatches a pool, unless it is this one.
func (h *Host) ownerAddr(pool string) (string, bool) {
	if h.pools.owned(pool) != nil {
		return "", false
	}
	o, ok := h.table.Owner(pool)
	if !ok || o.Host == h.Config.Name {
		return "", false
	}
	addr := h.memberAddr(o.Host)
	return addr, addr != ""
}

// memberAddr returns the address of a host that is not known to be dead, or an empty string.
func (h *Host) memberAddr(name string) string {
	m, ok := h.table.Member(name)
	if !ok || m.State == wire.Dead {
		return ""
	}
	return m.Addr
}

// ownerChanged reacts to the news of a pool's owner.
func (h *Host) ownerChanged(o wire.Owner) {
	h.pools.heard(o)
	if o.Host == h.Config.Name || h.pools.get(o.Pool) == nil {
		return
	}
	go func() {
		h.learn(o.Pool)
		if addr, ok := h.ownerAddr(o.Pool); ok {
			h.router.OwnerChanged(h.applyCtx, o.Pool, addr)
		}
	}()
}
