package serve

import (
	"context"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/config"
	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/pmgr"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/answer"
	"github.com/figreel/figreel/pkg/envdoc"
)

// idleLease is a campaign that never acquires its lease; runs and ended count the campaigns that started and ended.
type idleLease struct {
	runs, ended *int
	mu          *sync.Mutex
}

func (l idleLease) Run(ctx context.Context) error {
	l.count(l.runs)
	<-ctx.Done()
	l.count(l.ended)
	return nil
}

func (l idleLease) Valid(time.Time) bool          { return false }
func (l idleLease) Release(context.Context) error { return nil }
func (l idleLease) CampaignNow()                  {}

func (l idleLease) count(n *int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*n++
}

// TestPoolsApplyDocuments guards against pool managers that are missing when a call needs them, that outlive their
// pool, or that start during a graceful shutdown.
func TestPoolsApplyDocuments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		loop := ctrl.New()
		go loop.Run(ctx)
		var runs, ended int
		l := idleLease{runs: &runs, ended: &ended, mu: new(sync.Mutex)}
		p := &pools{newManager: func(name string) *pmgr.Manager {
			return &pmgr.Manager{
				Host: "a", Pool: name, Loop: loop, Log: zerolog.Nop(), IsLeaving: func(string) bool { return false },
				NewLease: func(func(int64), func()) pmgr.Lease { return l },
			}
		}}
		put := func(names ...string) {
			p.apply(ctx, documentOf(names...))
			p.removeMissing(documentOf(names...))
			synctest.Wait()
		}
		steps := []struct {
			name        string
			do          func()
			runs, ended int
		}{
			{"two pools", func() { put("x", "y") }, 2, 0},
			{"the same pools", func() { put("x", "y") }, 2, 0},
			{"one is removed", func() { put("y") }, 2, 1},
			{"it returns", func() { put("x", "y") }, 3, 1},
			{"graceful shutdown", func() { p.releaseLeases(ctx) }, 3, 1},
			{"a pool is added during the shutdown", func() { put("x", "y", "z") }, 3, 1},
		}
		for _, s := range steps {
			s.do()
			if runs != s.runs || ended != s.ended {
				t.Errorf("%s: %d campaigns started, %d ended, want %d and %d", s.name, runs, ended, s.runs, s.ended)
			}
		}
		checkWaiting(ctx, t, p, loop)
		for name, code := range map[string]string{"z": "deadline_exceeded", "removed": "unknown_class"} {
			req := wire.TicketRequest{
				CallID: "1", Pool: name,
				Model: "m-" + name, Class: "quick", Caller: "c", Deadline: time.Now(),
			}
			_, err := p.runner(name).RequestTicket(ctx, req)
			var e *answer.Error
			if !errors.As(err, &e) || e.Outcome != answer.NotRun || e.Code != code {
				t.Errorf("ticket request for pool %s: %v, want %s and not executed", name, err, code)
			}
		}
		cancel()
		p.wait()
		if ended != runs {
			t.Errorf("%d of %d campaigns have ended with the host", ended, runs)
		}
	})
}

// checkWaiting checks that waiting returns a pool exactly while a call waits for it.
func checkWaiting(ctx context.Context, t *testing.T, p *pools, loop *ctrl.Loop) {
	t.Helper()
	if got := p.waiting(loop); len(got) != 0 {
		t.Errorf("calls wait for %v before any was made", got)
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		req := wire.TicketRequest{CallID: "w", Pool: "y", Model: "m-y", Class: "quick", Caller: "c"}
		_, _ = p.runner("y").RequestTicket(ctx, req)
	}()
	synctest.Wait()
	if got := p.waiting(loop); !slices.Equal(got, []string{"y"}) {
		t.Errorf("calls wait for %v, want y", got)
	}
	cancel()
	<-ended
	if got := p.waiting(loop); len(got) != 0 {
		t.Errorf("calls wait for %v after the last has ended", got)
	}
}

// documentOf returns a document with the given pools, each with one model.
func documentOf(pools ...string) *envdoc.Doc {
	doc := &envdoc.Doc{Classes: []envdoc.Class{{Name: "quick", FirstTokenMS: 1000, TotalMS: 1000}}}
	for _, name := range pools {
		doc.Pools = append(doc.Pools, envdoc.Pool{Name: name})
		doc.Models = append(doc.Models, envdoc.Model{Name: "m-" + name, Version: "1", Pool: name, Class: "quick"})
	}
	return doc
}

// TestSignalAfterDrain guards against a SIGTERM of a process supervisor that forces the host to end, and thereby
// truncates responses, because an operator has drained the host before.
func TestSignalAfterDrain(t *testing.T) {
	for _, c := range []struct {
		name    string
		drain   bool
		signals int
		forced  bool
	}{
		{"drain", true, 0, false},
		{"drain and one signal", true, 1, false},
		{"drain and two signals", true, 2, true},
		{"one signal", false, 1, false},
		{"two signals", false, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop := make(chan os.Signal, 2)
				h := &Host{
					Config: new(config.Config), Stop: stop, Log: zerolog.Nop(), drainRequested: make(chan struct{}),
				}
				stopped := make(chan struct{})
				ended := make(chan error, 1)
				if c.drain {
					h.requestDrain()
				}
				go func() { ended <- h.wait(t.Context(), nil, func() { <-stopped }) }()
				synctest.Wait()
				for range c.signals {
					stop <- syscall.SIGTERM
					synctest.Wait()
				}
				time.Sleep(time.Hour)
				close(stopped)
				if err := <-ended; errors.Is(err, ErrForcedStop) != c.forced {
					t.Errorf("the shutdown ended with %v, want forced %t", err, c.forced)
				}
			})
		})
	}
}
