package clock

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether it passed in full; it returns false early if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
