package scale

import (
	"flag"
	"runtime"
	"testing"
	"testing/synctest"
)

// RunInVirtualTime runs each step in its own testing/synctest bubble, where time is virtual, and exits the process. A
// bubble requires a *testing.T, which testing.Main provides outside of go test.
func RunInVirtualTime(steps ...func()) {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		panic(err)
	}
	match := func(string, string) (bool, error) { return true, nil }
	var tests []testing.InternalTest
	for _, step := range steps {
		tests = append(tests, testing.InternalTest{Name: "step", F: func(t *testing.T) {
			synctest.Test(t, func(*testing.T) { step() })
		}})
	}
	testing.Main(match, tests, nil, nil)
}

// heapBytes returns the size of the live heap and of the goroutine stacks after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
