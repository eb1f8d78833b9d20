//go:build !unix

package scale

import "time"

// cpuTime returns 0, because the CPU time is not available on this platform.
func cpuTime() time.Duration { return 0 }
