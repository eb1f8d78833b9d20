package host

import (
	"time"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/creds"
)

// keys returns what finds the workspaces of callers.
func (h *Host) keys() *creds.Keys {
	h.Stats.SetGaugeFunc("configuration_age_ms", func() int64 {
		return (clock.SinceBoot() - h.cache.configConfirmedAt()).Milliseconds()
	})
	return &creds.Keys{
		Config: h.cache.Config, ConfirmedAt: h.cache.configConfirmedAt,
		Now: clock.SinceBoot, Shared: func(version int64, keys int, owner, other string) {
			h.Log.Warn().Int64("version", version).Int("keys", keys).Str("owner", owner).Str("other", other).
				Msg("several workspaces have the same keys")
		},
	}
}

// configConfirmedAt returns the boot time as of which the configuration is complete, 0 before the first list.
func (sc *storeCache) configConfirmedAt() time.Duration {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.states[sc.platform.ConfigPrefix].confirmedAt
}
