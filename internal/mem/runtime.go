package mem

import (
	"math"
	"runtime/debug"
)

// runtimeShare is the share of the memory from which on the collector runs more often.
const runtimeShare = 0.7

// LimitRuntime makes the collector run more often where the process takes most of its memory, which is in bytes, unless
// the environment sets a limit.
func LimitRuntime(memory int64) {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(int64(runtimeShare * float64(memory)))
	}
}
