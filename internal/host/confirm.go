package host

import (
	"context"
	"time"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/creds"
	"github.com/figreel/figreel/internal/fresh"
	"github.com/figreel/figreel/internal/store"
)

// keys returns what finds the workspaces of callers.
func (h *Host) keys() *creds.Keys {
	h.Stats.SetGaugeFunc("configuration_age_ms", func() int64 {
		return (clock.SinceBoot() - h.cache.age.ConfirmedAt()).Milliseconds()
	})
	return &creds.Keys{
		Config: h.cache.Config, RevokeTime: h.Settings.RevokeTime, ConfirmedAt: h.cache.age.ConfirmedAt,
		Now: clock.SinceBoot, Shared: func(version int64, keys int, owner, other string) {
			h.Log.Warn().Int64("version", version).Int("keys", keys).Str("owner", owner).Str("other", other).
				Msg("several workspaces have the same keys")
		},
	}
}

// setRevokeTime sets the time from the removal of a key until it must not be accepted; 0 sets none.
func (sc *storeCache) setRevokeTime(d time.Duration) {
	if sc.age.RevokeTime = d; sc.age.Enabled() {
		sc.limits.Poll = min(sc.limits.Poll, sc.age.MaxWait())
	}
}

// confirmsConfig reports whether the store must confirm the configuration to this host often, because this host
// confirms it to others or no other host confirms it.
func (sc *storeCache) confirmsConfig() bool {
	return sc.age.Enabled() && (sc.age.Lapsed(sc.now()) || sc.isSource != nil && sc.isSource())
}

// callWatch makes a watch call. The store may have lost its response, while the connection stays open. So the call
// ends with errOutageEnded when other calls are answered again, and one for the configuration with fresh.ErrMissed
// when another host has a newer item. One with a long wait also ends with fresh.ErrConfirmNow when the store must
// confirm the configuration sooner.
func (sc *storeCache) callWatch(
	ctx context.Context, prefix string, after store.Version, wait time.Duration,
) ([]store.Event, store.Version, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	sc.mu.Lock()
	outageEnded := sc.retryNow
	sc.mu.Unlock()
	go func() {
		select {
		case <-outageEnded:
			cancel(errOutageEnded)
		case <-ctx.Done():
		}
	}()
	if prefix == sc.platform.ConfigPrefix && wait > probeWait {
		sent := sc.now()
		go sc.age.EndWhen(ctx, cancel, func() error {
			switch {
			case sc.age.Missed(sent, sc.now(), sc.configVersion()):
				return fresh.ErrMissed
			case sc.age.Enabled() && wait > sc.age.MaxWait() && sc.confirmsConfig():
				return fresh.ErrConfirmNow
			}
			return nil
		})
	}
	events, as, err := sc.platform.Store.Watch(ctx, prefix, after, wait)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		err = cause
	}
	return events, as, err
}

// configVersion returns the version of the store as of which the configuration is complete.
func (sc *storeCache) configVersion() store.Version {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.states[sc.platform.ConfigPrefix].version
}

// newestConfig returns the version of the newest item of the configuration. Deletions do not count, because they do not
// change the active configuration.
func (sc *storeCache) newestConfig() store.Version {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p := sc.states[sc.platform.ConfigPrefix]
	v := store.Version{Era: p.version.Era}
	for _, it := range p.items {
		v.Revision = max(v.Revision, it.Revision)
	}
	return v
}

// isSource reports whether this host watches the store for others.
func (r *watchRelay) isSource() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateHosts()
	_, isWatcher := r.sources.choose()
	return isWatcher
}
