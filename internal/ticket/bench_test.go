package ticket

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/figreel/figreel/internal/certs"
	"github.com/figreel/figreel/internal/ctrl"
	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/qrpc"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

// BenchmarkTicket measures a ticket over QUIC on loopback from its request to its return, with three progress reports;
// the CPU time is that of both hosts.
func BenchmarkTicket(b *testing.B) {
	for _, concurrent := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("concurrent=%d", concurrent), func(b *testing.B) { benchTickets(b, concurrent) })
	}
}

func benchTickets(b *testing.B, concurrent int) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	authority, err := certs.NewAuthority(time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	runner := benchRunner(ctx, concurrent)
	server := &Server{Owned: func(string) *Runner { return runner }}
	handler := func(ctx context.Context, _ string, kind wire.Kind, c wire.Stream) { server.Handle(ctx, kind, c) }
	_, addr := benchEndpoint(ctx, b, authority, "dispatcher", map[wire.Kind]wire.Handler{wire.KindTicket: handler})
	entry, _ := benchEndpoint(ctx, b, authority, "entry", nil)
	r := &Router{Dial: entry, Stats: &stats.Set{}, Owner: func(string) (string, bool) { return addr, true }}
	var n atomic.Int64
	cpu := cpuTime()
	b.SetParallelism(max(1, concurrent/10))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := ticketRequest(fmt.Sprint("call-", n.Add(1)))
			t, err := r.RequestTicket(ctx, a)
			if err != nil {
				b.Error(err)
				return
			}
			t.ReportProgress(wire.Progress{Tokens: 1, FirstTokenMS: 40})
			t.ReportProgress(wire.Progress{Tokens: 60})
			t.ReportProgress(wire.Progress{Tokens: 90, Done: true})
		}
	})
	b.StopTimer()
	b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/float64(b.N), "cpu-µs/ticket")
	b.ReportMetric(frameBytes(b), "frame-bytes/ticket")
}

func benchRunner(ctx context.Context, seqs int) *Runner {
	loop := ctrl.New()
	go loop.Run(ctx)
	dispatcher := &pool.Dispatcher{
		Pool: "p", TicketPrefix: "b/",
		Classes: []envdoc.Class{{Name: "quick", FirstTokenMS: 500, TotalMS: 60000, ExpectedTokens: 10}},
		Callers: []envdoc.Caller{{Name: "c", Share: 1}},
		Models:  []envdoc.Model{{Name: "m", Version: "1"}},
	}
	dispatcher.Configure()
	d := &Runner{Pool: "p", Loop: loop, Dispatcher: dispatcher}
	var engines []pool.EngineState
	for i := range 12 {
		engines = append(engines, pool.EngineState{
			Name: fmt.Sprint("e", i), URL: "http://127.0.0.1:1", Up: true, MaxSeqs: 2 * seqs,
			Items: []string{"m@1"}, BootID: "b",
		})
	}
	loop.Call(func() { d.SetEngines(engines) })
	return d
}

func benchEndpoint(
	ctx context.Context, b *testing.B, a *certs.Authority, name string, handlers map[wire.Kind]wire.Handler,
) (*qrpc.Endpoint, string) {
	b.Helper()
	cert, err := a.IssueHost(name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		b.Fatal(err)
	}
	node := &qrpc.Endpoint{Addr: "127.0.0.1:0", Cert: cert, CA: a.Pool, Handlers: handlers, Stats: &stats.Set{}}
	addr, err := node.Listen()
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = node.Run(ctx) }()
	return node, addr.String()
}

// frameBytes returns the size of the frames of one ticket, without QUIC and UDP headers.
func frameBytes(b *testing.B) float64 {
	b.Helper()
	const frameHeader = 4
	a := ticketRequest("call-100000")
	a.RemainingMS = 60_000
	total := 0
	for _, v := range []any{
		a,
		wire.TicketResponse{
			Ticket: "p-b/-2n9c", Engine: "engine-17", URL: "http://10.0.0.17:8000", ModelItem: "m@1", HedgeAfterMS: 300,
		},
		wire.Progress{Tokens: 1, FirstTokenMS: 40},
		wire.Progress{Tokens: 60},
		wire.Progress{Tokens: 90, Done: true},
	} {
		f, err := wire.Marshal(v)
		if err != nil {
			b.Fatal(err)
		}
		total += len(f) + frameHeader
	}
	return float64(total)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
