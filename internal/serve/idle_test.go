package serve

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/figreel/figreel/internal/docrev"
	"github.com/figreel/figreel/internal/kvapi/kvfake"
	"github.com/figreel/figreel/internal/member"
	"github.com/figreel/figreel/internal/qrpc/simnet"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// TestIdleHostsDoNotPoll guards against hosts that poll the key-value service although their peers respond. In a fleet
// of the design size these polls would use up its read budget without any new revision to find.
func TestIdleHostsDoNotPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const hosts = 4 // in one failure domain, two of which watch
		kv, network := kvfake.New(), &simnet.Net{Delay: time.Millisecond}
		addr := func(i int) string { return fmt.Sprintf("10.0.0.%d:7000", i+1) }
		replicators := make([]*docrev.Replicator, hosts)
		for i := range hosts {
			host := network.Host(ctx, fmt.Sprint("h", i), addr(i))
			s := &docrev.Replicator{
				Environment: "trial", KV: kv.Client(fmt.Sprint("h", i)), Dialer: host, Stats: new(stats.Set),
				Self:  wire.Member{Name: fmt.Sprint("h", i), Addr: addr(i), Domain: "fd-1"},
				Apply: func(*envdoc.Doc, int64) error { return nil }, Log: zerolog.Nop(),
			}
			table := &member.Table{
				Self: s.Self, Seeds: []string{addr(0), addr(1)}, Dialer: host, Stats: s.Stats,
				Rand: rand.New(rand.NewPCG(1, uint64(i))), Revision: s.Latest, OnPeerRevision: s.ObserveRevision,
			}
			s.Members, s.Notify = table.Live, func(context.Context, wire.Member) { table.RequestPush() }
			host.Handlers = table.Handlers()
			replicators[i] = s
			go func() { _ = table.Run(ctx) }()
			go func() { _ = s.Run(ctx) }()
		}
		time.Sleep(time.Minute)
		before := kv.Calls(kvfake.Get)
		time.Sleep(time.Minute)
		polls := kv.Calls(kvfake.Get) - before
		watching := 0
		for _, s := range replicators {
			if s.Status().Watching {
				watching++
			}
		}
		if watching != 2 {
			t.Errorf("%d hosts watch, want 2", watching)
		}
		if polls > 0 {
			t.Errorf("hosts whose peers respond made %d reads in a minute without a change, want none", polls)
		}
	})
}
