package simnet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/figreel/figreel/internal/wire"
)

// Guards against simulated faults that behave differently from the transport of package qrpc, which would invalidate
// the tests that use them.
func TestFaultsBetweenTwoHosts(t *testing.T) {
	tests := []struct {
		give   string
		before func(n *Net)
		during func(n *Net, b *Host)
		after  time.Duration
		want   error
	}{
		{"no fault", func(*Net) {}, func(*Net, *Host) {}, 2 * time.Millisecond, nil},
		{"delay", func(n *Net) { n.SetDelay("a", "b", time.Second) }, func(*Net, *Host) {}, 2 * time.Second, nil},
		{"partition first", func(n *Net) { n.Partition("a", "b") }, func(*Net, *Host) {}, dialTimeout, ErrUnreachable},
		{"partition later", func(*Net) {}, func(n *Net, _ *Host) { n.Partition("a", "b") }, failAfter, ErrStreamFailed},
		{"killed later", func(*Net) {}, func(_ *Net, b *Host) { b.Kill() }, failAfter, ErrStreamFailed},
		{"frozen for 7 s", func(*Net) {}, func(n *Net, _ *Host) {
			n.Freeze("a", "b")
			time.AfterFunc(7*time.Second, func() { n.Heal("a", "b") })
		}, 7*time.Second + time.Millisecond, nil},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			n := &Net{Delay: time.Millisecond}
			a, b := n.Host(ctx, "a", "a"), n.Host(ctx, "b", "b")
			b.Handlers[wire.KindPing] = func(_ context.Context, _ string, _ wire.Kind, c wire.Stream) {
				var p wire.Ping
				if c.Recv(&p) == nil {
					_ = c.Send(p)
				}
			}
			tt.before(n)
			start := time.Now()
			err := sendPing(ctx, a, func() { tt.during(n, b) })
			if !errors.Is(err, tt.want) || time.Since(start) != tt.after {
				t.Errorf("%s: got %v after %v, want %v after %v", tt.give, err, time.Since(start), tt.want, tt.after)
			}
			cancel()
			time.Sleep(2 * failAfter)
		})
	}
}

// sendPing sends a ping to host b, calls during, and returns the first error, or nil if the response is complete and
// followed by io.EOF.
func sendPing(ctx context.Context, a *Host, during func()) error {
	c, err := a.Open(ctx, "b", wire.KindPing)
	if err != nil {
		return err
	}
	if err := c.Send(wire.Ping{Revision: 3}); err != nil {
		return err
	}
	during()
	var p wire.Ping
	if err := c.Recv(&p); err != nil {
		return err
	}
	if p.Revision != 3 {
		return errors.New("wrong response")
	}
	if err := c.Recv(&p); !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "after the response")
	}
	return c.Close()
}
