package main

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/figreel/figreel/internal/pool"
	"github.com/figreel/figreel/internal/wire"
	"github.com/figreel/figreel/pkg/envdoc"
)

const (
	decideRequests = 200_000
	decideCallers  = 50
	decideSeqs     = 16
)

type decideCase struct {
	pools, engines, models int
	backlog                int
}

func decideCommand() *cli.Command {
	return &cli.Command{
		Name:   "decide",
		Usage:  "measures decision time per request and memory per model, engine, queued call and ticket",
		Action: func(context.Context, *cli.Command) error { return decide() },
	}
}

func decide() error {
	fmt.Println("| pools | engines/pool | models/pool | queued calls | us per request | us of CPU per request |")
	fmt.Println("|---|---|---|---|---|---|")
	cases := []decideCase{
		{1, 6, 17, 0},
		{1, 12, 17, 0},
		{1, 24, 17, 0},
		{40, 20, 17, 0},
		{1, 6, 17, 500},
		{1, 12, 17, 500},
		{1, 24, 17, 500},
		{40, 20, 17, 500},
	}
	for _, c := range cases {
		wall, cpu := c.time()
		fmt.Printf("| %d | %d | %d | %d | %.2f | %.2f |\n", c.pools, c.engines, c.models, c.backlog, wall, cpu)
	}
	fmt.Println("\n| what | bytes each |\n|---|---|")
	for _, n := range []int{50, 200, 800} {
		fmt.Printf("| model, of %d | %.0f |\n", n, perItem(n, func() any { return newDecide(1, n) }))
	}
	for _, n := range []int{6, 12, 24} {
		fmt.Printf("| engine, of %d | %.0f |\n", n, perItem(n, func() any { return newDecide(n, 17) }))
	}
	for _, n := range []int{500, 2000, 8000} {
		fmt.Printf("| queued call, of %d | %.0f |\n", n, perItem(n, func() any { return filled(1, n) }))
	}
	for _, n := range []int{96, 192, 384} {
		fmt.Printf("| ticket, of %d | %.0f |\n", n, perItem(n, func() any { return filled(n/decideSeqs, n) }))
	}
	return nil
}

// time returns microseconds per request, by the clock and of all CPUs, for ask, decision, first token and return,
// with a standing backlog per pool.
func (c decideCase) time() (wall, cpu float64) {
	pools := make([]*pool.Dispatcher, c.pools)
	now := time.Unix(0, 0)
	for i := range pools {
		pools[i] = newDecide(c.engines, c.models)
		for j := range c.backlog + c.engines*decideSeqs/2 {
			pools[i].Enqueue(now, decideAsk(fmt.Sprint("b", j), j, c.models, now))
		}
	}
	ring := make([][]string, c.pools)
	ids := make([]string, decideRequests)
	for i := range ids {
		ids[i] = fmt.Sprint("r", i)
	}
	begin, used := time.Now(), cpuTime()
	for i, id := range ids {
		d := pools[i%c.pools]
		now = now.Add(time.Duration(1+i%3) * 300 * time.Microsecond / time.Duration(c.pools))
		d.Enqueue(now, decideAsk(id, i, c.models, now))
		ring[i%c.pools] = answer(d, now, ring[i%c.pools], c.engines*decideSeqs)
	}
	return float64(time.Since(begin).Microseconds()) / decideRequests,
		float64((cpuTime() - used).Microseconds()) / decideRequests
}

// cpuTime returns the processor time of this process, garbage collection included.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func answer(d *pool.Dispatcher, now time.Time, held []string, limit int) []string {
	out, _ := d.Step(now)
	for _, v := range out {
		if v.Kind == pool.Granted {
			d.ReportProgress(now, v.Grant.Ticket, wire.Progress{FirstTokenMS: 50, Tokens: 1})
			held = append(held, v.Grant.Ticket)
		}
	}
	if len(held) > 0 && len(held) >= limit/2 {
		d.ReportProgress(now, held[0], wire.Progress{Tokens: 90, Done: true})
		held = held[1:]
	}
	return held
}

func newDecide(engines, models int) *pool.Dispatcher {
	d := &pool.Dispatcher{
		Pool: "p", TicketPrefix: "1",
		Classes: []envdoc.Class{{Name: "chat", FirstTokenMS: 400, TotalMS: 600_000, ExpectedTokens: 100}},
	}
	var items []string
	for i := range models {
		m := envdoc.Model{Name: fmt.Sprint("model-", i), Version: "1"}
		d.Models = append(d.Models, m)
		items = append(items, m.Item())
	}
	states := make([]pool.EngineState, engines)
	for i := range states {
		states[i] = pool.EngineState{Name: fmt.Sprint("engine-", i), Up: true, MaxSeqs: decideSeqs, Items: items}
	}
	d.SetEngines(time.Unix(0, 0), states)
	return d
}

func filled(engines, n int) *pool.Dispatcher {
	now := time.Unix(0, 0)
	d := newDecide(engines, 17)
	for i := range n {
		d.Enqueue(now, decideAsk(fmt.Sprint(i), i, 17, now))
	}
	d.Step(now)
	return d
}

func decideAsk(id string, i, models int, now time.Time) wire.TicketRequest {
	return wire.TicketRequest{
		CallID: id, Model: fmt.Sprint("model-", i%models), Class: "chat",
		Caller: fmt.Sprint("caller-", i%decideCallers), Deadline: now.Add(time.Hour), PromptTokens: 300,
		PrefixHash: uint64(i%1000) + 1,
	}
}

func perItem(n int, build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}
