package ctrl_test

import (
	"context"
	"testing"

	"github.com/figreel/figreel/internal/ctrl"
)

// Guards against a stopping host that still decides on calls: a function that runs after the loop's context has ended,
// and one that counts as queued after the loop has ended.
func TestNothingRunsAfterEnd(t *testing.T) {
	const tries = 200
	for range tries {
		l := ctrl.New()
		ctx, cancel := context.WithCancel(context.Background())
		ran := false
		for range 10 {
			l.Post(func() { ran = true })
		}
		cancel()
		l.Run(ctx)
		if ran {
			t.Fatal("a function ran after the context had ended")
		}
		if l.Post(func() {}) {
			t.Fatal("a function was queued after the loop had ended")
		}
	}
}
